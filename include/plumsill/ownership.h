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

/// Ownership of keys: which member owns a key, and when it may act for it.
namespace plumsill
{
/// Identifies the verdict on the targets of one service.
struct VerdictKey {
    ServiceName service;

    auto operator<=>(const VerdictKey &) const = default;
};

using OwnedKey = std::variant<PartKey, VerdictKey>;

/// Longest time for which an owner's action for @p key stays in effect.
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

/// Decides whether this daemon may act for a key. It reads the membership passed to the constructor, which must outlive
/// it.
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
    /// Right to act for @p key. `since` reaches back to the oldest epoch in the membership's history at most.
    Tenure tenure(const OwnedKey &key, TimePoint now) const;
    /// This member was ready to act for @p key in the previous epoch and does not own it any more, so it may hand the key
    /// over. The new owner may still be fetching the roster, so repeat the hand-over every HandOverRepeat for
    /// HandOverRepeatFor.
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
