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

/// Which member owns which key, and when it may act for it.
namespace plumsill
{
/// The verdict on one service's targets.
struct VerdictKey {
    ServiceName service;

    auto operator<=>(const VerdictKey &) const = default;
};

using OwnedKey = std::variant<PartKey, VerdictKey>;

/// How long the effect of an owner's act can last.
Duration effectLifetime(const OwnedKey &key);

/// Owners by rendezvous hashing over one epoch's members; immutable, no table per key.
class OwnerTable
{
public:
    OwnerTable() = default;
    explicit OwnerTable(const std::vector<Member> &members);

    /// Null when there are no members.
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

/// Decides whether this daemon may act for a key; reads the membership that it is made with.
class Ownership
{
public:
    explicit Ownership(const Membership &membership);

    /// Takes the membership's epochs; call after every Membership input that gave RosterAdopted.
    void update();

    /// Owner in the newest roster known, null while there is none.
    const Member *ownerOf(const OwnedKey &key) const;
    bool owns(const OwnedKey &key) const;
    /// This member owns @p key, its epoch is confirmed, and no earlier owner's act can still have effect.
    bool mayAct(const OwnedKey &key, TimePoint now) const;
    /// Right to act for @p key; `since` goes back as far as the epochs known here.
    Tenure tenure(const OwnedKey &key, TimePoint now) const;
    /// This member was ready for @p key in the epoch before and owns it no more: it may hand the key over. The new owner
    /// may still be fetching the roster, so repeat it every HandOverRepeat for HandOverRepeatFor.
    bool mayHandOver(const OwnedKey &key, TimePoint now) const;
    /// Like tenure(), for a key that may be handed over: of the epoch before.
    Tenure handOverTenure(const OwnedKey &key, TimePoint now) const;
    /// Takes a key over; false when the hand-over is not for this epoch, not from the owner before, or a repeat.
    bool acceptHandOver(const Envelope &envelope, TimePoint now);
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
        std::unordered_map<KeyHash, TimePoint, KeyHasher> handedOver; ///< and when
    };

    bool current() const;
    std::optional<TimePoint> readyAt(const OwnedKey &key, std::size_t index) const;
    Tenure tenureUpTo(const OwnedKey &key, std::size_t count, TimePoint now) const;
    bool ready(const OwnedKey &key, std::size_t index, TimePoint now) const;
    bool ownedIn(const Epoch &epoch, const OwnedKey &key) const;
    static KeyHash hashOfKey(const OwnedKey &key);

    const Membership &m_membership;
    std::deque<Epoch> m_epochs;
};
}
