#include <plumsill/config.h>
#include <plumsill/ownership.h>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <map>

namespace plumsill
{
namespace
{
constexpr std::uint64_t VerdictSeed = 1;
constexpr std::uint64_t PartSeed = 2;

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t mix(std::uint64_t key, std::uint64_t node)
{
    return XXH3_64bits_withSeed(&key, sizeof(key), node);
}

bool sameId(const Member *member, const MemberId &id)
{
    return member && member->id == id;
}
}

Duration effectLifetime(const OwnedKey &key)
{
    return std::holds_alternative<PartKey>(key) ? Duration(config::GrantLifetime) : Duration(config::EjectionPermitLifetime);
}

OwnerTable::OwnerTable(const std::vector<Member> &members)
{
    std::map<ZoneName, Zone> zones;
    for (const auto &member : members) {
        Zone &zone = zones[member.zone];
        zone.hash = hashOf(member.zone.value, 0);
        // Hashes the name without the incarnation, so that a restarted daemon owns the same keys.
        zone.members.push_back({hashOf(member.id.name.value, 0), member});
    }
    for (auto &[name, zone] : zones) {
        m_zones.push_back(std::move(zone));
    }
}

const Member *OwnerTable::ownerOf(const OwnedKey &key) const
{
    if (const auto *part = std::get_if<PartKey>(&key)) {
        return ownerOfPart(*part);
    }
    return ownerOfVerdict(std::get<VerdictKey>(key));
}

const OwnerTable::Candidate *OwnerTable::highest(const Zone &zone, std::uint64_t hash)
{
    const auto found = std::max_element(zone.members.begin(), zone.members.end(),
                                        [hash](const Candidate &left, const Candidate &right) { return mix(hash, left.hash) < mix(hash, right.hash); });
    return &*found;
}

// Assigns the parts of a team to different zones, in an order that depends on the team. With more parts than zones, the
// order repeats.
const Member *OwnerTable::ownerOfPart(const PartKey &key) const
{
    if (m_zones.empty()) {
        return nullptr;
    }
    const auto hash = hashOf(key.team.value, PartSeed);
    std::vector<std::pair<std::uint64_t, const Zone *>> order;
    order.reserve(m_zones.size());
    for (const Zone &zone : m_zones) {
        order.emplace_back(mix(hash, zone.hash), &zone);
    }
    const auto zoneOfPart = order.begin() + static_cast<std::ptrdiff_t>(key.part % order.size());
    std::nth_element(order.begin(), zoneOfPart, order.end());
    return &highest(*zoneOfPart->second, hash + key.part)->member;
}

const Member *OwnerTable::ownerOfVerdict(const VerdictKey &key) const
{
    const auto hash = hashOf(key.service.value, VerdictSeed);
    const Candidate *best = nullptr;
    for (const Zone &zone : m_zones) {
        const Candidate *candidate = highest(zone, hash);
        if (!best || mix(hash, candidate->hash) > mix(hash, best->hash)) {
            best = candidate;
        }
    }
    return best ? &best->member : nullptr;
}

Ownership::Ownership(const Membership &membership)
    : m_membership(membership)
{
    update();
}

void Ownership::update()
{
    const auto &history = m_membership.history();
    while (!m_epochs.empty() && (history.empty() || m_epochs.front().number != history.front().roster.epoch)) {
        m_epochs.pop_front();
    }
    for (std::size_t index = m_epochs.size(); index < history.size(); ++index) {
        const Roster &roster = history[index].roster;
        m_epochs.push_back({roster.epoch, OwnerTable(roster.members), OwnerTable(roster.predecessor), {}});
    }
}

const OwnerTable &Ownership::table() const
{
    static const OwnerTable none;
    return m_epochs.empty() ? none : m_epochs.back().table;
}

const Member *Ownership::ownerOf(const OwnedKey &key) const
{
    return table().ownerOf(key);
}

bool Ownership::owns(const OwnedKey &key) const
{
    return rosterIsCurrent() && ownedIn(m_epochs.back(), key);
}

bool Ownership::mayAct(const OwnedKey &key, TimePoint now) const
{
    return owns(key) && m_membership.epochConfirmed(now) && ready(key, m_epochs.size() - 1, now);
}

// This daemon has left the epoch in which it owned the key, so it does not act for the key any more. It was ready in that
// epoch, so no action of an earlier owner is in effect either.
bool Ownership::mayHandOver(const OwnedKey &key, TimePoint now) const
{
    if (!rosterIsCurrent() || m_epochs.size() < 2 || m_membership.superseded()) {
        return false;
    }
    const std::size_t before = m_epochs.size() - 2;
    return ownedIn(m_epochs[before], key) && !ownedIn(m_epochs.back(), key) && ready(key, before, now);
}

// The hand-over must carry exactly the current epoch. After a hand-over from an earlier epoch, another member may have acted
// for the key. A message from a later epoch has already raised this daemon's epoch when it arrives here. Once this member is
// ready to act for the key, a late or repeated hand-over has no effect.
bool Ownership::acceptHandOver(const Envelope &envelope, TimePoint now)
{
    const auto *handOver = std::get_if<HandOver>(&envelope.message);
    if (!handOver || !rosterIsCurrent() || envelope.epoch != m_epochs.back().number) {
        return false;
    }
    const PartKey key {handOver->team, handOver->part};
    Epoch &epoch = m_epochs.back();
    if (!sameId(epoch.predecessor.ownerOf(key), envelope.sender) || !ownedIn(epoch, key) || ready(key, m_epochs.size() - 1, now)) {
        return false;
    }
    return epoch.handedOver.emplace(hashOfKey(key), now).second;
}

bool Ownership::rosterIsCurrent() const
{
    return !m_epochs.empty() && m_epochs.back().number == m_membership.epoch();
}

bool Ownership::ownedIn(const Epoch &epoch, const OwnedKey &key) const
{
    return sameId(epoch.table.ownerOf(key), m_membership.self().id);
}

// Time from which no action of an earlier owner can be in effect, derived only from the epoch at @p index. Nothing while it is
// unknown.
std::optional<TimePoint> Ownership::readyAt(const OwnedKey &key, std::size_t index) const
{
    const EpochRecord &record = m_membership.history()[index];
    if (record.roster.predecessor.empty()) {
        return record.adoptedAt;
    }
    const auto handedOver = m_epochs[index].handedOver.find(hashOfKey(key));
    if (handedOver != m_epochs[index].handedOver.end()) {
        return handedOver->second;
    }
    if (record.predecessorAdoptedAt) {
        return *record.predecessorAdoptedAt + config::ConfirmationLifetime + config::ClockDriftMargin + effectLifetime(key);
    }
    return std::nullopt;
}

// A member is ready in an epoch once no action of an earlier owner can be in effect. This stays true while the member
// keeps the key, so readiness carries over from the directly preceding epoch, however short that epoch was.
bool Ownership::ready(const OwnedKey &key, std::size_t index, TimePoint now) const
{
    const auto at = readyAt(key, index);
    if (at && now >= *at) {
        return true;
    }
    return index > 0 && ownedIn(m_epochs[index - 1], key) && ready(key, index - 1, now);
}

Tenure Ownership::tenure(const OwnedKey &key, TimePoint now) const
{
    return mayAct(key, now) ? tenureUpTo(key, m_epochs.size(), now) : Tenure {false, 0, now};
}

Tenure Ownership::handOverTenure(const OwnedKey &key, TimePoint now) const
{
    return mayHandOver(key, now) ? tenureUpTo(key, m_epochs.size() - 1, now) : Tenure {false, 0, now};
}

// Computes the tenure that ends with the epoch at index `count` - 1, going back while this member owned the key.
Tenure Ownership::tenureUpTo(const OwnedKey &key, std::size_t count, TimePoint now) const
{
    Tenure tenure {true, 0, now};
    for (std::size_t index = count; index > 0 && ownedIn(m_epochs[index - 1], key); --index) {
        tenure.since = m_epochs[index - 1].number;
        tenure.from = std::min(tenure.from, readyAt(key, index - 1).value_or(now));
    }
    return tenure;
}

Ownership::KeyHash Ownership::hashOfKey(const OwnedKey &key)
{
    const auto *part = std::get_if<PartKey>(&key);
    const std::string &name = part ? part->team.value : std::get<VerdictKey>(key).service.value;
    const auto hash = XXH3_128bits_withSeed(name.data(), name.size(), part ? PartSeed + part->part : VerdictSeed);
    return {hash.low64, hash.high64};
}
}
