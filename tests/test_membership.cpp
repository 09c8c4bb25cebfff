#include <plumsill/membership.h>

#include "fleet_oracle.h"
#include "member_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::fake;

TEST_GROUP(Confirmation)
{
    MemberFixture node;

    void setup() override
    {
        node.read(roster(1, {"a", "b", "c", "d", "e"}, {}));
        node.tick();
    }
};

TEST(Confirmation, NeedsAMajority)
{
    node.answer({"b"}, 1);
    CHECK_FALSE(node.confirmed());
    node.answer({"c"}, 1);
    CHECK_TRUE(node.confirmed());
}

TEST(Confirmation, LapsesWhileTheDaemonIsPaused)
{
    node.answer({"b", "c"}, 1);
    node.now += config::ConfirmationLifetime - 1ms;
    CHECK_TRUE(node.confirmed());
    node.now += 1ms;
    CHECK_FALSE(node.confirmed());
}

TEST(Confirmation, StartsWhenTheHeartbeatIsSent)
{
    node.now += 2s;
    node.answer({"b", "c"}, 1);
    node.now += 1s;
    CHECK_FALSE(node.confirmed());
}

TEST(Confirmation, AnswerOfAnEarlierEpochDoesNotCount)
{
    node.read(roster(2, {"a", "b", "c", "d"}, {"a", "b", "c", "d", "e"}));
    node.tick();
    node.answer({"b", "c", "d"}, 1);
    CHECK_FALSE(node.confirmed());
    node.answer({"b", "c"}, 2);
    CHECK_TRUE(node.confirmed());
}

TEST(Confirmation, EndsWhenALaterEpochIsReceived)
{
    node.answer({"b", "c", "d"}, 1);
    node.answer({"e"}, 2);
    CHECK_FALSE(node.confirmed());
    LONGS_EQUAL(2, node.membership.epoch());
    CHECK(node.last<FetchRoster>().has_value());
}

TEST(Confirmation, AnswersOfAnotherIncarnationDoNotCount)
{
    node.answer({"b"}, 1);
    node.answerAs(member("c", 2000).id, 1);
    node.answerAs(member("d", 2000).id, 1);
    CHECK_FALSE(node.confirmed());
}

TEST(Confirmation, DelistedMembersStillCount)
{
    for (int second = 0; second < 12; ++second) {
        node.listInstances({"a", "b"});
        node.runAnswered(1s, {"b"}, 1);
    }
    CHECK_FALSE(node.confirmed());
}

TEST(Confirmation, AnswerToAnEarlierIncarnationDoesNotCount)
{
    MemberFixture before("a", 500);
    before.read(roster(1, {"b", "c"}, {}));
    before.tick();
    before.tick(1s);
    MemberFixture after("a", 60'500);
    after.read(roster(1, {"b", "c"}, {}));
    after.tick();
    after.tick(1s);
    for (const char *name : {"b", "c"}) {
        after.receive(member(name).id, 1, HeartbeatAck {before.lastHeartbeat(), MemberState::Serving, {}, false, 0});
    }
    CHECK_FALSE(after.confirmed());
}

TEST(Confirmation, LaterIncarnationOfTheSameNameEndsThisOne)
{
    node.answer({"b", "c"}, 1);
    node.receive(member("a", 2000).id, 1, Heartbeat {});
    CHECK_TRUE(node.membership.superseded());
    CHECK_FALSE(node.confirmed());
}

TEST_GROUP(EpochChange)
{
    MemberFixture node;

    // c leaves while b and d respond, so a has to write epoch 3 without c.
    void leaveInEpochTwo(const std::vector<std::string> &predecessor)
    {
        node.read(roster(2, {"a", "b", "c", "d"}, predecessor));
        node.membership.documentRead({1, "d"}, node.now);
        node.tick();
        node.receive(member("c").id, 2, HeartbeatAck {node.lastHeartbeat(), MemberState::Leaving, {}, false, 0});
    }
};

TEST(EpochChange, WaitsForAMajorityOfThePredecessor)
{
    leaveInEpochTwo({"a", "x", "y"});
    node.runAnswered(10s, {"b", "d"}, 2);
    CHECK_FALSE(node.last<WriteRoster>().has_value());
    node.receive(member("x").id, 2, Heartbeat {});
    node.runAnswered(5s, {"b", "d"}, 2);
    CHECK_TRUE(node.last<WriteRoster>().has_value());
    const auto written = *node.last<WriteRoster>();
    CHECK(written.roster == roster(3, {"a", "b", "d"}, {"a", "b", "c", "d"}) || written.roster.document.version == 1);
    CHECK(written.replaces == std::optional<std::uint64_t>(2));
}

TEST(EpochChange, EarlierIncarnationsDoNotAdopt)
{
    leaveInEpochTwo({"a", "x", "y"});
    node.receive(member("x", 999).id, 2, Heartbeat {});
    node.receive(member("y", 999).id, 2, Heartbeat {});
    node.runAnswered(10s, {"b", "d"}, 2);
    CHECK_FALSE(node.membership.predecessorAdoptedAt().has_value());
    CHECK_FALSE(node.last<WriteRoster>().has_value());
}

TEST(EpochChange, DelistedMembersOfThePredecessorAreNotCounted)
{
    leaveInEpochTwo({"a", "x", "y"});
    for (int second = 0; second < 8; ++second) {
        CHECK_FALSE(node.membership.predecessorAdoptedAt().has_value() && second < 5);
        node.listInstances({"a", "b", "d"});
        node.runAnswered(1s, {"b", "d"}, 2);
    }
    CHECK_TRUE(node.membership.predecessorAdoptedAt().has_value());
}

TEST(EpochChange, NeverListedMemberIsNotDelistedEarly)
{
    auto next = roster(2, {"a", "b", "d"}, {"a", "x", "y"});
    next.predecessor[1].listed = false;
    next.predecessor[2].listed = false;
    node.read(next);
    for (int second = 0; second < 30; ++second) {
        node.listInstances({"a", "b", "d"});
        node.runAnswered(1s, {"b", "d"}, 2);
    }
    CHECK_FALSE(node.membership.predecessorAdoptedAt().has_value());
}

TEST(EpochChange, MinorityDoesNotRemoveTheOthers)
{
    node.read(roster(1, {"a", "b", "c", "d", "e"}, {}));
    node.membership.documentRead({1, "d"}, node.now);
    for (int step = 0; step < 300; ++step) {
        node.tick(100ms);
        node.receive(member("b").id, 1, HeartbeatAck {node.lastHeartbeat(), MemberState::Serving, {}, false, 0b11100});
    }
    CHECK_FALSE(node.last<WriteRoster>().has_value());
}

TEST(EpochChange, OneBrokenPathRemovesNoMember)
{
    node.read(roster(1, {"a", "b", "c", "d", "e"}, {}));
    node.membership.documentRead({1, "d"}, node.now);
    node.runAnswered(30s, {"b", "c", "d"}, 1);
    CHECK_FALSE(node.last<WriteRoster>().has_value());
}

TEST(EpochChange, UnknownWriteResultIsResolvedByARead)
{
    leaveInEpochTwo({"a", "b", "c"});
    node.runAnswered(5s, {"b", "d"}, 2);
    const auto written = node.last<WriteRoster>();
    CHECK_TRUE(written.has_value());
    node.membership.rosterWritten(RosterWriteResult::Unknown, 0, node.now);
    CHECK(node.last<ReadRoster>().has_value());
    node.read(written->roster);
    LONGS_EQUAL(3, node.membership.epoch());
}

TEST(EpochChange, NoSecondWriteBeforeTheAnswerOfTheFirst)
{
    leaveInEpochTwo({"a", "b", "c"});
    node.runAnswered(5s, {"b", "d"}, 2);
    CHECK_TRUE(node.last<WriteRoster>().has_value());
    node.effects.clear();
    node.runAnswered(60s, {"b"}, 2);
    CHECK_FALSE(node.last<WriteRoster>().has_value());
}

TEST(EpochChange, StaleReadChangesNothing)
{
    leaveInEpochTwo({"a", "b", "c"});
    node.read(roster(1, {"a", "b", "c"}, {}));
    LONGS_EQUAL(2, node.membership.epoch());
    LONGS_EQUAL(4, node.membership.roster().members.size());
}

TEST_GROUP(DocumentFreshness)
{
    MemberFixture node;
    const DocumentStamp first {1, "first"};
    const DocumentStamp second {2, "second"};

    void setup() override
    {
        node.membership.documentChanged(first);
    }
};

TEST(DocumentFreshness, AnswerWithALaterDocumentEndsConfirmation)
{
    node.read(roster(2, {"a", "b", "c"}, {"a", "b", "c"}));
    node.tick();
    node.answer({"b", "c"}, 2, first);
    CHECK_TRUE(node.membership.documentConfirmed(node.now));
    CHECK_TRUE(node.membership.majorityHolds(first));
    node.answer({"c"}, 2, second);
    CHECK_FALSE(node.membership.documentConfirmed(node.now));
    CHECK_FALSE(node.membership.majorityHolds(second));
    CHECK(node.membership.highestDocument() == second);
}

TEST(DocumentFreshness, NeedsTheAnswersOfThePredecessorsMajority)
{
    node.read(roster(2, {"a", "x", "y"}, {"a", "b", "c"}));
    node.tick();
    node.answer({"x", "y"}, 2, first);
    CHECK_TRUE(node.confirmed());
    CHECK_FALSE(node.membership.documentConfirmed(node.now));
    node.answer({"b"}, 2, first);
    CHECK_TRUE(node.membership.documentConfirmed(node.now));
}

TEST(DocumentFreshness, RosterCarriesTheDocumentOfEarlierEpochs)
{
    auto next = roster(2, {"a", "b", "c"}, {"a", "b", "c"});
    next.document = second;
    node.read(next);
    node.tick();
    node.answer({"b", "c"}, 2, first);
    CHECK_FALSE(node.membership.documentConfirmed(node.now));
}

TEST(DocumentFreshness, WriterStoresTheNewestDocumentInTheRoster)
{
    node.read(roster(2, {"a", "b", "c", "d"}, {"a", "b", "c"}));
    node.tick();
    node.receive(member("c").id, 2, HeartbeatAck {node.lastHeartbeat(), MemberState::Leaving, second, false, 0});
    node.runAnswered(5s, {"b", "d"}, 2);
    CHECK_TRUE(node.last<WriteRoster>().has_value());
    CHECK(node.last<WriteRoster>()->roster.document == second);
}

TEST(DocumentFreshness, LostMajorityNeedsAReadOfTheStore)
{
    node.read(roster(2, {"a", "x", "y"}, {"a", "b", "c"}));
    for (int second = 0; second < 8; ++second) {
        node.listInstances({"a", "x", "y"});
        node.runAnswered(1s, {"x", "y"}, 2);
    }
    CHECK_TRUE(node.membership.predecessorAdoptedAt().has_value());
    CHECK_FALSE(node.membership.documentConfirmed(node.now));
    CHECK(node.last<ReadDocument>().has_value());
    node.membership.documentRead(first, node.now);
    CHECK_TRUE(node.membership.documentConfirmed(node.now));
}

TEST(DocumentFreshness, PeerThatKnowsTheNewestDocumentConfirmsIt)
{
    node.read(roster(1, {"a", "b", "c"}, {}));
    node.tick();
    node.answer({"b", "c"}, 1, first);
    CHECK_FALSE(node.membership.documentConfirmed(node.now));
    node.receive(member("b").id, 1, HeartbeatAck {node.lastHeartbeat(), MemberState::Serving, first, true, 0});
    CHECK_TRUE(node.membership.documentConfirmed(node.now));
}

TEST(DocumentFreshness, DaemonThatDoesNotKnowTheNewestConfirmsNone)
{
    node.read(roster(1, {"a", "b", "c"}, {}));
    node.tick();
    Heartbeat heartbeat;
    heartbeat.ackRequested = true;
    node.receive(member("b").id, 1, heartbeat);
    const auto answer = node.last<SendDatagram>();
    CHECK_TRUE(answer.has_value() && std::holds_alternative<HeartbeatAck>(answer->envelope.message));
    CHECK_FALSE(std::get<HeartbeatAck>(answer->envelope.message).documentKnown);
}

TEST(DocumentFreshness, IsAsOldAsTheAnsweredHeartbeat)
{
    node.read(roster(2, {"a", "b", "c"}, {"a", "b", "c"}));
    node.tick();
    const TimePoint sentAt = node.now;
    node.now += 800ms;
    node.answer({"b", "c"}, 2, first);
    CHECK(node.membership.documentFreshAt() == std::optional(sentAt));
}

TEST_GROUP(Cell) {};

TEST(Cell, SingleDaemonCreatesTheRoster)
{
    Fleet fleet(1, 1);
    fleet.start(0);
    CHECK(fleet.settle(10s).has_value());
    LONGS_EQUAL(1, fleet.nodes[0].membership->epoch());
    LONGS_EQUAL(1, fleet.store.writes);
}

TEST(Cell, FortyEightDaemonsStartInFewEpochs)
{
    Fleet fleet(48, 1);
    for (std::size_t index = 0; index < 48; ++index) {
        fleet.start(index);
    }
    CHECK_TRUE(fleet.settle(40s).has_value());
    CHECK(fleet.nodes[0].membership->epoch() <= 4);
    CHECK(fleet.violations.empty());
}

TEST(Cell, IdleStoreCallsStayWithinTheBudget)
{
    Fleet fleet(48, 2);
    for (std::size_t index = 0; index < 48; ++index) {
        fleet.start(index);
    }
    CHECK_TRUE(fleet.settle(40s).has_value());
    fleet.run(30s);
    fleet.store.reads = 0;
    fleet.store.writes = 0;
    fleet.run(60s);
    CHECK(fleet.store.reads <= 60 * 60);
    CHECK(fleet.store.writes <= 20 * 60);
    LONGS_EQUAL(0, fleet.store.writes);
}

TEST(Cell, JoinerFetchesTheRosterFromPeersWhileTheStoreIsDown)
{
    Fleet fleet(4, 1);
    for (std::size_t index = 0; index < 3; ++index) {
        fleet.start(index);
    }
    CHECK_TRUE(fleet.settle(30s).has_value());
    fleet.store.down = true;
    fleet.start(3);
    fleet.run(5s);
    const Node &joiner = fleet.nodes[3];
    CHECK_FALSE(joiner.membership->isMember());
    CHECK_TRUE(joiner.membership->documentConfirmed(fleet.local(joiner)));
}
