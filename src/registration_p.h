#pragma once

#include <plumsill/hubs.h>

#include <boost/json/value.hpp>

#include <optional>
#include <string>

/// A daemon's own entry in the registry, the same wherever the registry is kept.
namespace plumsill
{
boost::json::value toJson(const RegisteredDaemon &daemon);
/// The daemon of that name; none where the entry can't be used.
std::optional<RegisteredDaemon> registeredDaemon(const std::string &name, const boost::json::value &entry);
}
