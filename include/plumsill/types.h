#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace plumsill
{
/// Era of the platform's store. It rises each time the store has come back from an older copy and has lost what was written since; 0 where
/// the store names none.
using StoreEra = std::uint64_t;

/// A name with a type of its own, so that names of different kinds cannot be confused.
template<class Tag>
struct Name {
    std::string value;

    auto operator<=>(const Name &) const = default;
    bool empty() const { return value.empty(); }
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(value);
    }
};

using InstanceName = Name<struct InstanceTag>;
using ZoneName = Name<struct ZoneTag>;
using TeamName = Name<struct TeamTag>;
using ServiceName = Name<struct ServiceTag>;
using TargetName = Name<struct TargetTag>;
using RouteName = Name<struct RouteTag>;

/// Numeric IP address and port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(address, port);
    }
};

/// Text form "IP:PORT".
std::string toString(const Endpoint &endpoint);

/// A target, as shown by the platform's listing.
struct Target {
    TargetName name;
    ServiceName service;
    ZoneName zone;
    Endpoint endpoint;
    bool leaving = false;
    std::uint32_t slots = 0; ///< requests that the target works on in parallel; 0: the number set for its service
    std::uint32_t coldMilliseconds = 0; ///< remaining time of its cold start when it was listed
    std::uint64_t startedAt = 0; ///< Unix time of its start in milliseconds; 0: unknown
    std::uint64_t sequence = 0; ///< incremented with each update from the same run

    auto operator<=>(const Target &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, service, zone, endpoint, leaving, slots, coldMilliseconds, startedAt, sequence);
    }
};

/// An instance of the fleet, as shown by the platform's listing.
struct ListedInstance {
    InstanceName name;
    bool leaving = false;

    auto operator<=>(const ListedInstance &) const = default;
};
}

template<class Tag>
struct std::hash<plumsill::Name<Tag>> {
    std::size_t operator()(const plumsill::Name<Tag> &name) const noexcept { return std::hash<std::string>()(name.value); }
};
