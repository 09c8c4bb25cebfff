#pragma once

#include "soak_oracle.h"

#include <boost/json/parse.hpp>

#include <map>
#include <string>
#include <vector>

/// What the stand-ins of the soak report of themselves.
namespace plumsill::soak
{
/// Runs in the log of the target @p name.
inline std::vector<TargetRun> targetRuns(const std::string &log, const std::string &name)
{
    std::vector<TargetRun> runs;
    const boost::json::value entries = boost::json::parse(log);
    for (const auto &entry : entries.as_array()) {
        const auto text = [&entry](const char *field) { return std::string(entry.at(field).as_string()); };
        runs.push_back({text("id"), text("method"), text("path"), text("team"), name});
    }
    return runs;
}

/// Targets that the object service lists as leaving or removed, and since when.
inline std::map<std::string, Time> leavingTargets(const std::string &report)
{
    std::map<std::string, Time> leavingSince;
    const boost::json::value leaving = boost::json::parse(report);
    for (const auto &[name, at] : leaving.as_object()) {
        leavingSince[std::string(name)] = at.to_number<Time>();
    }
    return leavingSince;
}
}
