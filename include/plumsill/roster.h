#pragma once

#include <plumsill/types.h>

#include <optional>
#include <string>
#include <vector>

namespace plumsill
{
/// Identifies one run of a daemon. A restarted instance has the same name and a higher incarnation.
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

/// A daemon with the endpoints of its peer and admin ports.
struct Member {
    MemberId id;
    ZoneName zone;
    Endpoint peer;
    Endpoint admin;
    bool listed = false; ///< the platform's listing has contained the member at some time; if it is absent later, the member has departed

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

/// Members of a cell in one epoch, with the members of the previous epoch. Stored as one object in the platform's service.
struct Roster {
    std::uint64_t epoch = 0;
    std::vector<Member> members;
    std::vector<Member> predecessor;
    DocumentStamp document; ///< newest document that the roster's writer knew; no member of this epoch may regard an older document as the newest

    auto operator<=>(const Roster &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, members, predecessor, document);
    }
};

/// Serializes a roster for its object in the platform's service.
std::string toJson(const Roster &roster);
/// Parses a stored roster. Returns nothing when @p text is malformed, has no members, or a member's name is empty or not
/// unique.
std::optional<Roster> rosterFromJson(const std::string &text);

/// Life cycle state that a daemon reports in its heartbeats.
enum class MemberState : std::uint8_t
{
    Starting,
    Serving,
    Leaving,
};
}
