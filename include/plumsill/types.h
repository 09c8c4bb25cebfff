#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace plumsill
{
/// A name that can't be mixed up with a name of another kind.
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

/// IP number and port.
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

/// "IP:PORT".
std::string toString(const Endpoint &endpoint);

/// A target as the platform lists it.
struct Target {
    TargetName name;
    ServiceName service;
    ZoneName zone;
    Endpoint endpoint;
    bool leaving = false;
    std::uint32_t slots = 0; ///< requests that it works on at once; 0: the service's
    std::uint32_t coldMilliseconds = 0; ///< how much longer it was slow after its start when it was listed
    std::uint64_t startedAt = 0; ///< Unix time of its start in milliseconds; 0: not told
    std::uint64_t sequence = 0; ///< rises with each word of the same run

    auto operator<=>(const Target &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, service, zone, endpoint, leaving, slots, coldMilliseconds, startedAt, sequence);
    }
};

/// An instance of the fleet as the platform lists it.
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
