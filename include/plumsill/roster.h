#pragma once

#include <plumsill/types.h>

#include <optional>
#include <string>
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
    bool listed = false; ///< the platform's list has shown it, so its absence from the list means that it is gone

    auto operator<=>(const Member &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, zone, peer, admin, listed);
    }
};

/// A version of the environment's document and the SHA-256 of its text.
struct DocumentStamp {
    std::uint64_t version = 0;
    std::string digest;

    auto operator<=>(const DocumentStamp &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, digest);
    }
};

/// Members of a cell in one epoch, and the members of the epoch before it. One object in the platform's service.
struct Roster {
    std::uint64_t epoch = 0;
    std::vector<Member> members;
    std::vector<Member> predecessor;
    DocumentStamp document; ///< newest document that the writer knew; nobody in this epoch may take an older one for the newest

    auto operator<=>(const Roster &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, members, predecessor, document);
    }
};

/// Text of the roster's object in the platform's service.
std::string toJson(const Roster &roster);
/// Nothing when @p text isn't a roster with unique, complete members.
std::optional<Roster> rosterFromJson(const std::string &text);

/// Life of a daemon as its pulses tell it.
enum class MemberState : std::uint8_t
{
    Starting,
    Serving,
    Leaving,
};
}
