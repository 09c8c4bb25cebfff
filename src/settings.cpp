#include <plumsill/settings.h>

#include <plumsill/ini.h>

#include <algorithm>
#include <array>
#include <map>

namespace plumsill
{
namespace
{
using ErrorText = std::string; // empty when the value was accepted

constexpr unsigned MaxTrafficThreads = 64;
constexpr unsigned MaxZones = 100;

ErrorText assignEndpoint(const std::string &value, Endpoint &endpoint)
{
    const auto parsed = parseEndpoint(value);
    if (!parsed) {
        return "not IP:PORT: " + value;
    }
    endpoint = *parsed;
    return {};
}

ErrorText assignText(const std::string &value, std::string &text)
{
    if (value.empty()) {
        return "empty";
    }
    text = value;
    return {};
}

ErrorText assignThreads(const std::string &value, unsigned &threads)
{
    const auto number = parseNumber(value);
    if (!number || *number < 1 || *number > MaxTrafficThreads || *number != static_cast<unsigned>(*number)) {
        return "not a whole number from 1 to " + std::to_string(MaxTrafficThreads) + ": " + value;
    }
    threads = static_cast<unsigned>(*number);
    return {};
}

ErrorText assignSeeds(const std::string &value, std::vector<Endpoint> &seeds)
{
    for (const auto &item : splitList(value)) {
        Endpoint seed;
        if (auto reason = assignEndpoint(item, seed); !reason.empty()) {
            return reason;
        }
        seeds.push_back(seed);
    }
    return {};
}

ErrorText assignPlatform(const std::string &value, Endpoint &platform)
{
    static const std::string scheme = "http://";
    if (!value.starts_with(scheme)) {
        return "not http://IP:PORT: " + value;
    }
    return assignEndpoint(value.substr(scheme.size()), platform);
}

ErrorText assignLevel(const std::string &value, LogLevel &level)
{
    static const std::map<std::string, LogLevel> levels {
        {"debug", LogLevel::Debug},
        {"info", LogLevel::Info},
        {"warning", LogLevel::Warning},
        {"error", LogLevel::Error},
    };
    const auto found = levels.find(value);
    if (found == levels.end()) {
        return "not debug, info, warning or error: " + value;
    }
    level = found->second;
    return {};
}

ErrorText assignFormat(const std::string &value, LogFormat &format)
{
    if (value != "text" && value != "json") {
        return "not text or json: " + value;
    }
    format = value == "json" ? LogFormat::Json : LogFormat::Text;
    return {};
}

ErrorText assignForm(const std::string &value, FleetForm &form)
{
    if (value != "cell" && value != "zone") {
        return "not cell or zone: " + value;
    }
    form = value == "zone" ? FleetForm::Zone : FleetForm::Cell;
    return {};
}

ErrorText assignZones(const std::string &value, unsigned &zones)
{
    const auto number = parseNumber(value);
    if (!number || *number < 1 || *number > MaxZones || *number != static_cast<unsigned>(*number)) {
        return "not a whole number from 1 to " + std::to_string(MaxZones) + ": " + value;
    }
    zones = static_cast<unsigned>(*number);
    return {};
}

ErrorText assignPath(const std::string &value, std::string &path)
{
    if (!value.starts_with('/')) {
        return "not a path that begins with a slash: " + value;
    }
    path = value;
    return {};
}

ErrorText assignDuration(const std::string &value, Duration &duration)
{
    const auto parsed = parseDuration(value);
    if (!parsed || *parsed <= Duration::zero()) {
        return "not a duration such as 5s or 200ms: " + value;
    }
    duration = *parsed;
    return {};
}

ErrorText assignPositive(const std::string &value, double &number)
{
    const auto parsed = parseNumber(value);
    if (!parsed || *parsed <= 0) {
        return "not a number above 0: " + value;
    }
    number = *parsed;
    return {};
}

ErrorText assignLimit(const std::string &value, const LimitRange &range, std::optional<double> &limit)
{
    const auto number = parseNumber(value);
    if (!number || !limitProblem(number, range).empty()) {
        return "not a number from " + decimalText(range.min) + " to " + decimalText(range.max) + ": " + value;
    }
    limit = *number;
    return {};
}

/// Fleet forms in which a key of the settings file is mandatory.
enum class Requirement
{
    Always,
    Cell, ///< mandatory in a fleet of the form "cell"
    Zone, ///< mandatory in a fleet of the form "zone"
    Never,
};

struct Field {
    const char *name; // section.key
    Requirement requirement;
    ErrorText (*assign)(const std::string &value, Settings &settings);
};

constexpr std::array Fields {
    Field {"instance.id", Requirement::Always, [](const std::string &value, Settings &settings) { return assignText(value, settings.instance.value); }},
    Field {"instance.zone", Requirement::Always, [](const std::string &value, Settings &settings) { return assignText(value, settings.zone.value); }},
    Field {"instance.region", Requirement::Always, [](const std::string &value, Settings &settings) { return assignText(value, settings.region); }},
    Field {"traffic.listen", Requirement::Always, [](const std::string &value, Settings &settings) { return assignEndpoint(value, settings.trafficListen); }},
    Field {"traffic.threads", Requirement::Never, [](const std::string &value, Settings &settings) { return assignThreads(value, settings.trafficThreads); }},
    Field {"admin.listen", Requirement::Cell, [](const std::string &value, Settings &settings) { return assignEndpoint(value, settings.adminListen); }},
    Field {"admin.token_file", Requirement::Cell, [](const std::string &value, Settings &settings) { return assignText(value, settings.adminTokenFile); }},
    Field {"peer.listen", Requirement::Always, [](const std::string &value, Settings &settings) { return assignEndpoint(value, settings.peerListen); }},
    Field {"peer.secret_file", Requirement::Cell, [](const std::string &value, Settings &settings) { return assignText(value, settings.peerSecretFile); }},
    Field {"peer.seeds", Requirement::Never, [](const std::string &value, Settings &settings) { return assignSeeds(value, settings.peerSeeds); }},
    Field {"platform.url", Requirement::Always, [](const std::string &value, Settings &settings) { return assignPlatform(value, settings.platform); }},
    Field {"platform.environment", Requirement::Always, [](const std::string &value, Settings &settings) { return assignText(value, settings.environment); }},
    Field {"log.level", Requirement::Never, [](const std::string &value, Settings &settings) { return assignLevel(value, settings.logLevel); }},
    Field {"log.format", Requirement::Never, [](const std::string &value, Settings &settings) { return assignFormat(value, settings.logFormat); }},
    Field {"log.file", Requirement::Never, [](const std::string &value, Settings &settings) { return assignText(value, settings.logFile); }},
    Field {"fleet.form", Requirement::Never, [](const std::string &value, Settings &settings) { return assignForm(value, settings.form); }},
    Field {"fleet.zones", Requirement::Never, [](const std::string &value, Settings &settings) { return assignZones(value, settings.zones); }},
    Field {"instance.capacity", Requirement::Never, [](const std::string &value, Settings &settings) { return assignPositive(value, settings.capacity); }},
    Field {"limits.link_megabits", Requirement::Never,
           [](const std::string &value, Settings &settings) { return assignLimit(value, LinkMegabitsRange, settings.limits.linkMegabits); }},
    Field {"limits.memory_megabytes", Requirement::Never,
           [](const std::string &value, Settings &settings) { return assignLimit(value, MemoryMegabytesRange, settings.limits.memoryMegabytes); }},
    Field {"limits.processor_cores", Requirement::Never,
           [](const std::string &value, Settings &settings) { return assignLimit(value, ProcessorCoresRange, settings.limits.processorCores); }},
    Field {"readiness.listen", Requirement::Zone, [](const std::string &value, Settings &settings) { return assignEndpoint(value, settings.readinessListen); }},
    Field {"readiness.path", Requirement::Never, [](const std::string &value, Settings &settings) { return assignPath(value, settings.readinessPath); }},
    Field {"metrics.listen", Requirement::Zone, [](const std::string &value, Settings &settings) { return assignEndpoint(value, settings.metricsListen); }},
    Field {"metrics.path", Requirement::Never, [](const std::string &value, Settings &settings) { return assignPath(value, settings.metricsPath); }},
    Field {"bounds.key_lifetime", Requirement::Never,
           [](const std::string &value, Settings &settings) { return assignDuration(value, settings.bounds.keyLifetime); }},
    Field {"bounds.stop_grace", Requirement::Never,
           [](const std::string &value, Settings &settings) { return assignDuration(value, settings.bounds.stopGrace); }},
    Field {"bounds.repeat_ratio", Requirement::Never,
           [](const std::string &value, Settings &settings) { return assignPositive(value, settings.bounds.repeatRatio); }},
    Field {"bounds.repeat_slack", Requirement::Never,
           [](const std::string &value, Settings &settings) { return assignPositive(value, settings.bounds.repeatSlack); }},
    Field {"bounds.repeat_window", Requirement::Never,
           [](const std::string &value, Settings &settings) { return assignDuration(value, settings.bounds.repeatWindow); }},
};

const Field *findField(const std::string &name)
{
    const auto *const found = std::find_if(Fields.begin(), Fields.end(), [&](const Field &field) { return name == field.name; });
    return found == Fields.end() ? nullptr : found;
}

bool isRequired(Requirement requirement, FleetForm form)
{
    return requirement == Requirement::Always || (requirement == Requirement::Cell && form == FleetForm::Cell)
        || (requirement == Requirement::Zone && form == FleetForm::Zone);
}

// A missing key is reported at the first entry of its section, or at the last entry of the file when the section is missing too.
unsigned lineForMissing(const std::string &name, const IniText &ini)
{
    const std::string section = name.substr(0, name.find('.'));
    unsigned line = 0;
    for (const auto &entry : ini.entries) {
        if (entry.section == section) {
            return entry.line;
        }
        line = entry.line;
    }
    return line;
}
}

ParsedSettings parseSettings(const std::string &text, const std::string &file)
{
    ParsedSettings result;
    const IniText ini = readIni(text, file);
    result.problems = ini.problems;
    std::map<std::string, unsigned> seen;
    for (const auto &entry : ini.entries) {
        const std::string name = entry.section + "." + entry.key;
        const Field *field = findField(name);
        ErrorText reason;
        if (field == nullptr) {
            reason = "unknown key";
        } else if (!seen.emplace(name, entry.line).second) {
            reason = "given twice, first in line " + std::to_string(seen[name]);
        } else {
            reason = field->assign(entry.value, result.settings);
        }
        if (!reason.empty()) {
            result.problems.push_back({file, entry.line, name, reason});
        }
    }
    for (const auto &field : Fields) {
        if (isRequired(field.requirement, result.settings.form) && !seen.contains(field.name)) {
            result.problems.push_back({file, lineForMissing(field.name, ini), field.name, "missing"});
        }
    }
    return result;
}
}
