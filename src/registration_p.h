#pragma once

#include <plumsill/hubs.h>

#include <boost/json/value.hpp>

#include <optional>
#include <string>

/// JSON form of a daemon's entry in the registry, the same in every store.
namespace plumsill
{
boost::json::value toJson(const RegisteredDaemon &daemon);
/// Decodes the entry of the daemon @p name; none where the entry is invalid.
std::optional<RegisteredDaemon> registeredDaemon(const std::string &name, const boost::json::value &entry);
}
