#include "registration_p.h"

#include <plumsill/ini.h>

namespace plumsill
{
namespace json = boost::json;

json::value toJson(const RegisteredDaemon &daemon)
{
    return {{"zone", daemon.zone.value},
            {"peer", toString(daemon.peer)},
            {"incarnation", daemon.id.incarnation},
            {"capacity", daemon.capacity},
            {"settled-era", daemon.settledEra}};
}

std::optional<RegisteredDaemon> registeredDaemon(const std::string &name, const json::value &entry)
{
    const auto *object = entry.if_object();
    if (object == nullptr || name.empty()) {
        return std::nullopt;
    }
    const auto *zone = object->if_contains("zone");
    const auto *peer = object->if_contains("peer");
    const auto *incarnation = object->if_contains("incarnation");
    const auto *capacity = object->if_contains("capacity");
    const auto endpoint = peer != nullptr && peer->is_string() ? parseEndpoint(std::string(peer->get_string())) : std::nullopt;
    boost::system::error_code notInteger;
    const auto number = incarnation == nullptr ? 0 : incarnation->to_number<std::uint64_t>(notInteger);
    if (zone == nullptr || !zone->is_string() || !endpoint || incarnation == nullptr || notInteger) {
        return std::nullopt;
    }
    const double cores = capacity != nullptr && capacity->is_number() ? capacity->to_number<double>() : 1;
    const auto *settledEra = object->if_contains("settled-era");
    boost::system::error_code noEra;
    const auto era = settledEra == nullptr ? 0 : settledEra->to_number<StoreEra>(noEra);
    return RegisteredDaemon {{{name}, number}, {std::string(zone->get_string())}, *endpoint, cores, noEra ? 0 : era};
}
}
