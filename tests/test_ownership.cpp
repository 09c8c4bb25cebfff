#include <plumsill/ownership.h>

#include "member_fixture.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace plumsill;
using namespace plumsill::fake;

namespace
{
const std::vector<std::string> abc {"a", "b", "c"};
const std::vector<std::string> abcd {"a", "b", "c", "d"};

/// Each entry of @p owners is a list of members and the one of them that must own the part while these are all members.
/// Returns a part for which this holds for all entries.
PartKey partOwnedBy(const std::vector<std::pair<std::vector<std::string>, std::string>> &owners)
{
    for (unsigned number = 0; number < 10'000; ++number) {
        PartKey key {TeamName {"team" + std::to_string(number)}, 0};
        const bool fits = std::all_of(owners.begin(), owners.end(),
                                      [&key](const auto &owner) { return OwnerTable(members(owner.first)).ownerOf(key)->id.name.value == owner.second; });
        if (fits) {
            return key;
        }
    }
    FAIL("no part has these owners");
    return {};
}
}

TEST_GROUP(OwnerTable) {};

TEST(OwnerTable, PartsOfATeamAreInDifferentZones)
{
    const OwnerTable table(members({"a", "b", "c", "d", "e", "f"}));
    for (int number = 0; number < 100; ++number) {
        std::set<ZoneName> zones;
        for (std::uint32_t part = 0; part < 3; ++part) {
            zones.insert(table.ownerOf(PartKey {TeamName {std::to_string(number)}, part})->zone);
        }
        LONGS_EQUAL(3, zones.size());
    }
}

TEST(OwnerTable, SpreadsKeysEvenly)
{
    const OwnerTable table(members({"a", "b", "c", "d", "e", "f"}));
    std::map<InstanceName, int> counts;
    for (int number = 0; number < 6000; ++number) {
        ++counts[table.ownerOf(VerdictKey {ServiceName {std::to_string(number)}})->id.name];
        ++counts[table.ownerOf(PartKey {TeamName {std::to_string(number)}, 1})->id.name];
    }
    for (const auto &[name, count] : counts) {
        CHECK(count > 1700 && count < 2300);
    }
}

TEST(OwnerTable, OnlyKeysOfARemovedMemberMove)
{
    const OwnerTable before(members({"a", "b", "c", "d", "e", "f"}));
    const OwnerTable after(members({"a", "b", "c", "d", "e"}));
    for (int number = 0; number < 1000; ++number) {
        const PartKey key {TeamName {std::to_string(number)}, 2};
        const auto *owner = before.ownerOf(key);
        CHECK(owner->id.name.value == "f" || owner->id == after.ownerOf(key)->id);
    }
}

TEST(OwnerTable, NoMembersNoOwner)
{
    POINTERS_EQUAL(nullptr, OwnerTable().ownerOf(VerdictKey {}));
}

TEST_GROUP(Ownership)
{
    MemberFixture node;
    Ownership ownership {node.membership};

    void adopt(const Roster &next)
    {
        node.read(next);
        ownership.update();
        node.tick();
    }
    void adoptAnswered(const Roster &next, const std::vector<std::string> &names)
    {
        adopt(next);
        node.answer(names, next.epoch);
    }
    bool mayAct(const OwnedKey &key)
    {
        return ownership.mayAct(key, node.now);
    }
    bool handOver(const PartKey &key, const std::string &from, std::uint64_t epoch)
    {
        const Envelope envelope {member(from).id, member(from).peer, epoch, HandOver {node.membership.self().id, key.team, key.part, 1, 0}};
        node.membership.receive(envelope, node.now);
        return ownership.acceptHandOver(envelope, node.now);
    }
    static Duration waitFor(const OwnedKey &key)
    {
        return config::ConfirmationLifetime + config::ClockDriftMargin + effectLifetime(key);
    }
};

TEST(Ownership, NewOwnerWaitsUntilTheFormerOwnersEffectsEnd)
{
    const PartKey key = partOwnedBy({{abcd, "d"}, {abc, "a"}});
    const VerdictKey verdict {ServiceName {"s"}};
    adoptAnswered(roster(2, abc, abcd), {"b", "c"});
    CHECK_TRUE(ownership.owns(key));
    CHECK_FALSE(mayAct(key));
    node.runAnswered(waitFor(key) - 100ms, {"b", "c"}, 2);
    CHECK_FALSE(mayAct(key));
    node.runAnswered(100ms, {"b", "c"}, 2);
    CHECK_TRUE(mayAct(key));
    CHECK(waitFor(verdict) - waitFor(key) == config::EjectionPermitLifetime - config::GrantLifetime);
}

TEST(Ownership, WaitStartsWithThePredecessorsMajority)
{
    const std::vector<std::string> before {"a", "x", "y"};
    const PartKey key = partOwnedBy({{before, "y"}, {abc, "a"}});
    adopt(roster(2, abc, before));
    node.runAnswered(20s, {"b", "c"}, 2);
    CHECK_TRUE(node.confirmed());
    CHECK_FALSE(mayAct(key));
    node.answer({"x"}, 2);
    node.runAnswered(waitFor(key), {"b", "c"}, 2);
    CHECK_TRUE(mayAct(key));
}

TEST(Ownership, ActsOnlyWhileConfirmed)
{
    const PartKey key = partOwnedBy({{abc, "a"}});
    adopt(roster(1, abc, {}));
    CHECK_FALSE(mayAct(key));
    node.answer({"b", "c"}, 1);
    CHECK_TRUE(mayAct(key));
    node.now += config::ConfirmationLifetime;
    CHECK_FALSE(mayAct(key));
}

TEST(Ownership, ReadinessCarriesOverFromThePreviousEpoch)
{
    const PartKey key = partOwnedBy({{abcd, "a"}, {abc, "a"}});
    adoptAnswered(roster(1, abcd, {}), {"b", "c"});
    CHECK_TRUE(mayAct(key));
    adoptAnswered(roster(2, abc, abcd), {"b", "c"});
    CHECK_TRUE(mayAct(key));
}

TEST(Ownership, ReadinessDoesNotCarryOverAMissedEpoch)
{
    const PartKey key = partOwnedBy({{abcd, "a"}, {abc, "a"}});
    adoptAnswered(roster(1, abcd, {}), {"b", "c"});
    adoptAnswered(roster(3, abc, {"b", "c", "d"}), {"b", "c"});
    CHECK_TRUE(node.confirmed());
    CHECK_FALSE(mayAct(key));
}

TEST(Ownership, ReadinessEndsWhenAnotherMemberOwnsTheKey)
{
    const PartKey key = partOwnedBy({{abcd, "a"}, {{"b", "c", "d"}, "d"}});
    adoptAnswered(roster(1, abcd, {}), {"b", "c"});
    adopt(roster(2, {"b", "c", "d"}, abcd));
    adoptAnswered(roster(3, abcd, {"b", "c", "d"}), {"b", "c"});
    CHECK_FALSE(mayAct(key));
}

TEST(Ownership, HandedOverKeyNeedsNoWait)
{
    const PartKey key = partOwnedBy({{abcd, "d"}, {abc, "a"}});
    adoptAnswered(roster(2, abc, abcd), {"b", "c"});
    CHECK_TRUE(handOver(key, "d", 2));
    CHECK_TRUE(mayAct(key));
    CHECK_FALSE(handOver(key, "d", 2));
}

TEST(Ownership, HandOverOfAnotherEpochIsRefused)
{
    const PartKey key = partOwnedBy({{abcd, "d"}, {abc, "a"}});
    adopt(roster(2, abc, abcd));
    adoptAnswered(roster(4, abc, abcd), {"b", "c"});
    CHECK_FALSE(handOver(key, "d", 2));
    CHECK_FALSE(mayAct(key));
}

TEST(Ownership, HandOverOfALaterEpochIsRefused)
{
    const PartKey key = partOwnedBy({{abcd, "d"}, {abc, "a"}});
    adoptAnswered(roster(2, abc, abcd), {"b", "c"});
    CHECK_FALSE(handOver(key, "d", 3));
    CHECK_FALSE(mayAct(key));
}

TEST(Ownership, HandOverFromAnyoneButTheFormerOwnerIsRefused)
{
    const PartKey key = partOwnedBy({{abcd, "d"}, {abc, "a"}});
    adoptAnswered(roster(2, abc, abcd), {"b", "c"});
    CHECK_FALSE(handOver(key, "b", 2));
    CHECK_FALSE(mayAct(key));
}

TEST(Ownership, LateHandOverIsRefused)
{
    const PartKey key = partOwnedBy({{abcd, "d"}, {abc, "a"}});
    adoptAnswered(roster(2, abc, abcd), {"b", "c"});
    node.runAnswered(waitFor(key), {"b", "c"}, 2);
    CHECK_TRUE(mayAct(key));
    CHECK_FALSE(handOver(key, "d", 2));
}

TEST(Ownership, HandsOverOnlyKeysItWasReadyFor)
{
    const std::vector<std::string> bcd {"b", "c", "d"};
    const PartKey key = partOwnedBy({{bcd, "d"}, {abcd, "a"}});
    adoptAnswered(roster(2, abcd, bcd), {"b", "c"});
    adopt(roster(3, bcd, abcd));
    CHECK_FALSE(ownership.mayHandOver(key, node.now));
    node.now += waitFor(key);
    CHECK_TRUE(ownership.mayHandOver(key, node.now));
}
