#pragma once

#include <plumsill/types.h>

#include <vector>

namespace plumsill
{
/// One run of a daemon: an instance that restarts comes back with another incarnation.
struct MemberId {
    InstanceName name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemberId &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation);
    }
};

/// A daemon with the addresses of its peer and admin ports.
struct Member {
    MemberId id;
    ZoneName zone;
    Endpoint peer;
    Endpoint admin;

    auto operator<=>(const Member &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, zone, peer, admin);
    }
};

/// Members of a cell in one epoch, and the members of the epoch before it. One object in the platform's service.
struct Roster {
    std::uint64_t epoch = 0;
    std::vector<Member> members;
    std::vector<MemberId> predecessor;

    auto operator<=>(const Roster &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, members, predecessor);
    }
};

/// Life of a daemon as its pulses tell it.
enum class MemberState : std::uint8_t
{
    Starting,
    Serving,
    Leaving,
};
}
