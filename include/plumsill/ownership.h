#pragma once

#include <plumsill/clock.h>
#include <plumsill/membership.h>
#include <plumsill/roster.h>
#include <plumsill/tenure.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

/// Ownership of keys. A key stands for one part of a team's token bucket, or for the verdict on one service. The member that
/// owns a key acts for it: it grants the part's tokens, or permits the ejection of the service's targets.
namespace plumsill
{
/// Identifies the verdict on one service: the decision which of its targets may be ejected.
struct VerdictKey {
    ServiceName service;

    auto operator<=>(const VerdictKey &) const = default;
};

using OwnedKey = std::variant<PartKey, VerdictKey>;

/// Longest time for which an owner's action for @p key, a grant or an ejection permit, stays in effect.
Duration effectLifetime(const OwnedKey &key);

/// Maps keys to owners by rendezvous hashing over the members of one epoch. Immutable; stores nothing per key.
class OwnerTable
{
public:
    OwnerTable() = default;
    explicit OwnerTable(const std::vector<Member> &members);

    /// Owner of @p key; null when there are no members.
    const Member *ownerOf(const OwnedKey &key) const;

private:
    struct Candidate {
        std::uint64_t hash = 0;
        Member member;
    };
    struct Zone {
        std::uint64_t hash = 0;
        std::vector<Candidate> members;
    };

    static const Candidate *highest(const Zone &zone, std::uint64_t hash);
    const Member *ownerOfPart(const PartKey &key) const;
    const Member *ownerOfVerdict(const VerdictKey &key) const;

    std::vector<Zone> m_zones;
};

/// Decides whether this daemon may act for a key. The membership passed to the constructor must outlive this object.
class Ownership
{
public:
    explicit Ownership(const Membership &membership);

    /// Follows the membership's epochs. Call it after every Membership input that returned RosterAdopted.
    void update();

    /// Owner of @p key in the newest known roster; null while there is none.
    const Member *ownerOf(const OwnedKey &key) const;
    /// This member owns @p key in the current epoch.
    bool owns(const OwnedKey &key) const;
    /// This member owns @p key, its epoch is confirmed, and no action of an earlier owner can still be in effect.
    bool mayAct(const OwnedKey &key, TimePoint now) const;
    /// Tenure of this member for @p key. If the tenure began before the oldest epoch in the membership's history, its `since`
    /// is that oldest epoch.
    Tenure tenure(const OwnedKey &key, TimePoint now) const;
    /// This member owned @p key in the previous epoch, no action of an earlier owner can still be in effect, and another
    /// member owns the key now, so this member may hand it over. The new owner may still be fetching the roster, so repeat
    /// the hand-over every HandOverRepeat for HandOverRepeatFor.
    bool mayHandOver(const OwnedKey &key, TimePoint now) const;
    /// Like tenure(), for a key that may be handed over: the tenure that ended with the previous epoch.
    Tenure handOverTenure(const OwnedKey &key, TimePoint now) const;
    /// Accepts the hand-over of a key. Returns false when it is not from the current epoch, not sent by the former owner, or
    /// when this member is already ready to act for the key.
    bool acceptHandOver(const Envelope &envelope, TimePoint now);
    /// Owners of the newest known roster.
    const OwnerTable &table() const;

private:
    struct KeyHash {
        std::uint64_t low = 0;
        std::uint64_t high = 0;

        auto operator<=>(const KeyHash &) const = default;
    };
    struct KeyHasher {
        std::size_t operator()(const KeyHash &hash) const { return hash.low; }
    };

    struct Epoch {
        std::uint64_t number = 0;
        OwnerTable table;
        OwnerTable predecessor;
        std::unordered_map<KeyHash, TimePoint, KeyHasher> handedOver; ///< time of each key's hand-over to this member
    };

    bool rosterIsCurrent() const;
    std::optional<TimePoint> readyAt(const OwnedKey &key, std::size_t index) const;
    Tenure tenureUpTo(const OwnedKey &key, std::size_t count, TimePoint now) const;
    bool ready(const OwnedKey &key, std::size_t index, TimePoint now) const;
    bool ownedIn(const Epoch &epoch, const OwnedKey &key) const;
    static KeyHash hashOfKey(const OwnedKey &key);

    const Membership &m_membership;
    std::deque<Epoch> m_epochs;
};
}
