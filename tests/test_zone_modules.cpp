#include <plumsill/config.h>
#include <plumsill/hubs.h>
#include <plumsill/list_relay.h>
#include <plumsill/repeats.h>
#include <plumsill/reply_wait.h>
#include <plumsill/target_list.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);

Target target(const std::string &name, std::uint16_t port = 1, std::uint64_t startedAt = 100, std::uint64_t sequence = 1)
{
    return {{name}, {"s"}, {"z"}, {"10.0.0.1", port}, false, 3, 0, startedAt, sequence};
}

RegisteredDaemon daemon(const std::string &name, const std::string &zone, std::uint64_t incarnation = 1)
{
    return {{{name}, incarnation}, {zone}, {"10.0.0." + name.substr(1), 7000}, 0.2};
}

std::vector<std::string> namesOf(const std::vector<Target> &targets)
{
    std::vector<std::string> names;
    names.reserve(targets.size());
    for (const auto &entry : targets) {
        names.push_back(entry.name.value);
    }
    return names;
}
}

TEST_GROUP(TargetList)
{
    TargetList list;
};

TEST(TargetList, MissingEntryIsRemovedImmediatelyWithoutAnOutage)
{
    list.read({target("a"), target("b", 2)}, t0, t0);
    list.read({target("a")}, t0 + 500ms, t0 + 500ms);
    LONGS_EQUAL(1, list.targets().size());
}

TEST(TargetList, EntriesMissingAfterAnOutageAreKeptForAGracePeriod)
{
    list.read({target("a"), target("b", 2)}, t0, t0);
    list.read({target("a")}, t0 + 6s, t0 + 6s);
    LONGS_EQUAL(2, list.targets().size());
    list.read({target("a")}, t0 + 8s, t0 + 8s);
    LONGS_EQUAL(2, list.targets().size());
    list.read({target("a")}, t0 + 8500ms, t0 + 8500ms);
    LONGS_EQUAL(1, list.targets().size());
}

TEST(TargetList, EntryWithAReusedAddressIsRemovedEvenAfterAnOutage)
{
    list.read({target("a"), target("b", 2)}, t0, t0);
    list.read({target("a"), target("c", 2)}, t0 + 6s, t0 + 6s);
    const auto names = namesOf(list.targets());
    LONGS_EQUAL(2, names.size());
    CHECK(names[1] == "c");
}

TEST(TargetList, OlderEntryIsIgnored)
{
    auto leaving = target("a", 1, 100, 8);
    leaving.leaving = true;
    list.read({leaving}, t0, t0);
    list.read({target("a", 1, 100, 7)}, t0 + 1s, t0 + 1s);
    CHECK(list.targets().front().leaving);
    list.read({target("a", 1, 90, 9)}, t0 + 1500ms, t0 + 1500ms);
    CHECK(list.targets().front().leaving);
    list.read({target("a", 1, 200, 1)}, t0 + 2s, t0 + 2s);
    CHECK(!list.targets().front().leaving);
}

// Guards against requests to a target that has left: a store that has come back from a copy lists it again, as it was.
TEST(TargetList, EntryThatReturnsAsItWasIsNotUsed)
{
    TargetList list;
    Target leaving = target("a", 1, 100, 7);
    list.read({leaving, target("b", 2)}, t0, t0);
    leaving.leaving = true;
    leaving.sequence = 8;
    list.read({leaving, target("b", 2)}, t0 + 500ms, t0 + 500ms);
    list.read({target("b", 2)}, t0 + 1s, t0 + 1s);
    list.read({target("a", 1, 100, 7), target("b", 2)}, t0 + 1500ms, t0 + 1500ms);
    CHECK(list.find({"a"}) == nullptr);
    list.read({target("a", 1, 100, 9), target("b", 2)}, t0 + 2s, t0 + 2s);
    CHECK(list.find({"a"}) != nullptr);
    list.read({target("b", 2)}, t0 + 2500ms, t0 + 2500ms);
    list.read({target("a", 1, 200, 1), target("b", 2)}, t0 + 3s, t0 + 3s);
    CHECK(list.find({"a"}) != nullptr); // a new run
}

// Guards against the loss of targets that live: the copy is older than their entries, which they write again within two seconds.
TEST(TargetList, EntriesMissingInANewEraAreKeptForAGracePeriod)
{
    TargetList list;
    list.read({target("a", 1), target("b", 2)}, t0, t0, 1);
    list.read({target("a", 1)}, t0 + 500ms, t0 + 500ms, 2);
    CHECK(list.find({"b"}) != nullptr);
    list.read({target("a", 1)}, t0 + 3s, t0 + 3s, 2);
    CHECK(list.find({"b"}) == nullptr);
}

// Guards against requests to a target that is gone: a list that is only confirmed after an outage kept the target for good.
TEST(TargetList, TargetKeptForAnOutageIsRemovedWhenALaterReadConfirmsTheList)
{
    list.read({target("a"), target("b", 2)}, t0, t0);
    list.read({target("a")}, t0 + 6s, t0 + 6s);
    list.confirm(t0 + 8s);
    LONGS_EQUAL(2, list.targets().size());
    const auto before = list.revision();
    list.confirm(t0 + 8500ms);
    LONGS_EQUAL(1, list.targets().size());
    LONGS_EQUAL(before + 1, list.revision());
    CHECK(list.wasRemoved({"b"}, {"10.0.0.1", 2}));
}

// Guards against a target kept for an outage of the store that was a pause of the reading process.
TEST(TargetList, EntriesMissingAfterAPauseOfTheProcessAreRemoved)
{
    list.read({target("a"), target("b", 2)}, t0, t0);
    list.recordPause(4s);
    list.read({target("a")}, t0 + 4500ms, t0 + 4500ms);
    LONGS_EQUAL(1, list.targets().size());
    list.read({}, t0 + 9s, t0 + 9s);
    LONGS_EQUAL(1, list.targets().size());
}

// Guards against requests to a target that another daemon still lists, though this one has seen its entry go.
TEST(TargetList, RemovedRunIsRememberedUntilItIsListedAgain)
{
    list.read({target("a"), target("b", 2)}, t0, t0);
    list.read({target("b", 2)}, t0 + 1s, t0 + 1s);
    CHECK(list.wasRemoved({"a"}, {"10.0.0.1", 1}));
    CHECK(!list.wasRemoved({"a"}, {"10.0.0.1", 3}));
    CHECK(!list.wasRemoved({"b"}, {"10.0.0.1", 2}));
    list.read({target("a", 1, 100, 2), target("b", 2)}, t0 + 2s, t0 + 2s);
    CHECK(!list.wasRemoved({"a"}, {"10.0.0.1", 1}));
}

TEST(TargetList, RevisionRisesOnlyWithChanges)
{
    list.read({target("a")}, t0, t0);
    const auto before = list.revision();
    auto warmer = target("a", 1, 100, 2);
    warmer.coldMilliseconds = 500;
    list.read({warmer}, t0 + 1s, t0 + 1s);
    LONGS_EQUAL(before, list.revision());
    warmer.leaving = true;
    list.read({warmer}, t0 + 2s, t0 + 2s);
    LONGS_EQUAL(before + 1, list.revision());
}

TEST(TargetList, ReadThatWasSentEarlierIsIgnored)
{
    list.read({target("a"), target("b", 2)}, t0 + 1s, t0 + 1s);
    list.read({target("a")}, t0, t0 + 2s);
    LONGS_EQUAL(2, list.targets().size());
}

TEST_GROUP(Hubs)
{
    HubDirectory hubs {daemon("d1", "x")};

    void setup() override
    {
        std::vector<RegisteredDaemon> all;
        for (unsigned i = 1; i <= 9; ++i) {
            all.push_back(daemon("d" + std::to_string(i), i <= 5 ? "x" : "y"));
        }
        hubs.setRegistered(all);
    }
};

TEST(Hubs, AllDaemonsOfAZoneAgreeOnTheHub)
{
    const auto here = hubs.hub({"x"}, t0);
    std::vector<RegisteredDaemon> all = hubs.registered();
    for (unsigned i = 2; i <= 5; ++i) {
        HubDirectory other {daemon("d" + std::to_string(i), "x")};
        other.setRegistered(all);
        CHECK(other.hub({"x"}, t0)->id == here->id);
    }
}

TEST(Hubs, UnresponsiveHubIsReplacedUntilAMessageArrives)
{
    const auto first = *hubs.hub({"y"}, t0);
    hubs.recordNoAnswer(first.id.name, t0);
    const auto second = *hubs.hub({"y"}, t0);
    CHECK(second.id != first.id);
    hubs.recordMessage(first.id, first.peer, t0 + 1s);
    CHECK(hubs.hub({"y"}, t0 + 1s)->id == first.id);
}

TEST(Hubs, LateMessageOfALeavingHubDoesNotRestoreIt)
{
    const auto first = *hubs.hub({"y"}, t0);
    hubs.recordLeaving(first.id, t0);
    hubs.recordMessage(first.id, first.peer, t0 + 100ms);
    CHECK(hubs.hub({"y"}, t0 + 100ms)->id != first.id);
    MemberId next = first.id;
    next.incarnation += 1;
    hubs.recordMessage(next, first.peer, t0 + 3s);
    CHECK(hubs.hub({"y"}, t0 + 3s)->id == next);
}

TEST(Hubs, ReadOfTheRegistryKeepsTheIncarnationKnownFromMessages)
{
    const std::vector<RegisteredDaemon> all = hubs.registered();
    const auto first = *hubs.hub({"y"}, t0);
    const MemberId restarted {first.id.name, first.id.incarnation + 1};
    hubs.recordMessage(restarted, first.peer, t0);
    hubs.setRegistered(all);
    CHECK(hubs.hub({"y"}, t0)->id == restarted);
}

// Guards against a hub whose proofs nobody accepts: it started again after its time of day had stepped back, so that its
// incarnation is lower than that of its previous run.
TEST(Hubs, RestartedDaemonWithALowerIncarnationIsRecognised)
{
    HubDirectory directory(daemon("d1", "z0"));
    directory.setRegistered({daemon("d2", "z0", 900)});
    directory.recordMessage({{"d2"}, 900}, {"10.0.0.2", 7000}, t0);
    directory.recordMessage({{"d2"}, 400}, {"10.0.0.2", 7000}, t0 + 3s);
    directory.setRegistered({daemon("d2", "z0", 900)});
    const auto found
        = std::find_if(directory.registered().begin(), directory.registered().end(), [](const auto &entry) { return entry.id.name.value == "d2"; });
    CHECK(found != directory.registered().end());
    LONGS_EQUAL(400, found->id.incarnation);
}

TEST(Hubs, UnresponsiveHubsAreProbed)
{
    std::optional<RegisteredDaemon> hub = hubs.hub({"x"}, t0);
    while (hub && hub->id.name.value != "d1") {
        hubs.recordNoAnswer(hub->id.name, t0);
        hub = hubs.hub({"x"}, t0);
    }
    CHECK(hubs.isHub(t0));
    const bool first = hubs.registered().front().zone.value != "x" || hubs.registered().front().id.name.value != "d1";
    CHECK(!first || hubs.unresponsiveHub(t0).has_value() || hubs.registered().front().zone.value == "y");
}

TEST(Hubs, LargeInstancesAreHubsMoreOften)
{
    unsigned large = 0;
    for (unsigned zone = 0; zone < 200; ++zone) {
        const ZoneName name {"zone" + std::to_string(zone)};
        RegisteredDaemon big = daemon("d1", name.value);
        big.capacity = 0.5;
        double bestSmall = 0;
        for (unsigned i = 2; i <= 9; ++i) {
            RegisteredDaemon small = daemon("d" + std::to_string(i), name.value);
            small.capacity = 0.1;
            bestSmall = std::max(bestSmall, hubRank(name, small));
        }
        large += hubRank(name, big) > bestSmall ? 1 : 0;
    }
    CHECK(large > 120);
}

// Load: a large zone in which three of ninety instances have five times the processor of the others. A hub on a small
// instance has no processor time left for the placements of the zone.
TEST(Hubs, FewLargeInstancesAreHubsOfAZoneOfManySmallOnes)
{
    unsigned large = 0;
    for (unsigned zone = 0; zone < 200; ++zone) {
        const ZoneName name {"zone" + std::to_string(zone)};
        double bestLarge = 0;
        double bestSmall = 0;
        for (unsigned i = 1; i <= 90; ++i) {
            RegisteredDaemon one = daemon("d" + std::to_string(i), name.value);
            one.capacity = i <= 3 ? 0.5 : 0.1;
            double &best = i <= 3 ? bestLarge : bestSmall;
            best = std::max(best, hubRank(name, one));
        }
        large += bestLarge > bestSmall ? 1 : 0;
    }
    CHECK(large > 190);
}

TEST_GROUP(ReplyWait)
{
    ReplyWait wait;
};

TEST(ReplyWait, PeerIsUnresponsiveAfterThreeTimeouts)
{
    wait.recordSent(t0);
    CHECK(wait.timedOut(wait.expiresAt()) == ReplyTimeout::SendAgain);
    wait.recordSent(wait.expiresAt());
    CHECK(wait.timedOut(wait.expiresAt()) == ReplyTimeout::SendAgain);
    wait.recordSent(wait.expiresAt());
    CHECK(wait.timedOut(wait.expiresAt()) == ReplyTimeout::Unresponsive);
    CHECK(wait.expiresAt() - t0 < 300ms);
}

// Load: a daemon with a tenth of a core parses a new document for a hundred milliseconds while replies wait in its socket.
TEST(ReplyWait, LateTimerShowsNothingAboutThePeer)
{
    for (unsigned i = 0; i < config::MaxUnansweredPlacementRequests; ++i) {
        wait.recordSent(t0);
    }
    const TimePoint late = wait.expiresAt() + 100ms;
    CHECK(wait.timedOut(late) == ReplyTimeout::WaitLonger);
    CHECK(wait.expiresAt() > late);
    CHECK(wait.timedOut(wait.expiresAt()) == ReplyTimeout::Unresponsive);
}

TEST(ReplyWait, DaemonThatIsAlwaysBusyStillNoticesAnUnresponsivePeer)
{
    wait.recordSent(t0);
    unsigned waits = 0;
    while (waits < 10 && wait.timedOut(wait.expiresAt() + 100ms) == ReplyTimeout::WaitLonger) {
        ++waits;
    }
    CHECK(waits > 0 && waits < 10);
}

TEST_GROUP(Repeats)
{
    RepeatCounter counter {{0.2, 5, 10s}};
};

TEST(Repeats, RepeatsStayWithinShareAndSlackInEachWindow)
{
    unsigned repeats = 0;
    for (unsigned i = 0; i < 100; ++i) {
        counter.recordRequest(t0 + 50ms * i);
        repeats += counter.tryRepeat(t0 + 50ms * i) ? 1 : 0;
    }
    CHECK(repeats <= 25);
    CHECK(repeats >= 20);
}

TEST(Repeats, OldRepeatsLeaveTheWindow)
{
    while (counter.tryRepeat(t0)) {
    }
    CHECK(!counter.tryRepeat(t0 + 5s));
    CHECK(counter.tryRepeat(t0 + 11s));
}

// Guards against excessive traffic in a large fleet during a release. Without the relay of changes, the complete list would
// be sent to each daemon after each change.
TEST_GROUP(ListRelay)
{
    const MemberId reader {{"d1"}, 5};
    TargetList list;
    RelayedList relayed;
    TimePoint now = t0;

    void read(const std::vector<Target> &targets)
    {
        now += 700ms;
        list.read(targets, now, now);
    }
    ListReply follow()
    {
        ListReply reply = listReply(list, reader, relayed.request(reader.name), now);
        CHECK(relayed.apply(reader.name, reply));
        return reply;
    }
};

TEST(ListRelay, FollowerGetsTheCompleteListOnceAndThenOnlyChanges)
{
    std::vector<Target> targets;
    targets.reserve(3001);
    for (int index = 0; index < 3000; ++index) {
        targets.push_back(target("t" + std::to_string(index), static_cast<std::uint16_t>(1 + index)));
    }
    read(targets);
    LONGS_EQUAL(3000, follow().targets.size());
    targets[7].leaving = true;
    targets.erase(targets.begin() + 20);
    targets.push_back(target("new", 9000));
    read(targets);
    const ListReply reply = follow();
    CHECK(!reply.full);
    LONGS_EQUAL(2, reply.targets.size());
    LONGS_EQUAL(1, reply.removed.size());
    CHECK(relayed.targets() == list.targets());
}

TEST(ListRelay, SeveralRevisionsAreSentAsOneChange)
{
    read({target("a"), target("b", 2)});
    follow();
    read({target("a")});
    read({target("a"), target("c", 3)});
    read({target("a"), target("b", 2, 200), target("c", 3)});
    const ListReply reply = follow();
    CHECK(!reply.full);
    CHECK(relayed.targets() == list.targets());
    LONGS_EQUAL(2, reply.targets.size());
}

TEST(ListRelay, RestartedReaderSendsTheCompleteList)
{
    read({target("a")});
    follow();
    const MemberId restarted {{"d1"}, 6};
    TargetList fresh;
    fresh.read({target("z", 4)}, now, now);
    const ListReply reply = listReply(fresh, restarted, relayed.request(reader.name), now);
    CHECK(reply.full);
    CHECK(relayed.apply(reader.name, reply));
    LONGS_EQUAL(1, relayed.targets().size());
    CHECK(relayed.source()->daemon == restarted);
}

TEST(ListRelay, ChangesOfAListThatIsNotHeldAreRejected)
{
    read({target("a")});
    follow();
    ListReply reply;
    reply.incarnation = 77;
    reply.full = false;
    CHECK(!relayed.apply(reader.name, reply));
    LONGS_EQUAL(1, relayed.targets().size());
}

TEST(ListRelay, RequestForDiscardedChangesGetsTheCompleteList)
{
    read({target("a")});
    follow();
    for (std::uint64_t run = 0; run < 5000; ++run) {
        read({target("a", 1, 1000 + run)});
    }
    CHECK(follow().full);
    CHECK(relayed.targets() == list.targets());
}

// Guards against a target that is alive and used by no daemon of a zone: its entry expired while the store refused writes, the zone's
// hub saw that, and the relayed list, in which it had never been missing, has an older sequence number for it.
TEST(ListRelay, TargetThatThisDaemonSawExpireReturnsWithTheRelayedList)
{
    read({target("a", 1, 100, 5)});
    follow();
    TargetList own;
    own.read({target("a", 1, 100, 9)}, now, now, 1);
    own.read({}, now + 100ms, now + 100ms, 1);
    read({target("a", 1, 100, 12)});
    follow();
    own.read(relayed.targets(), now, now);
    CHECK(own.find({"a"}) != nullptr);
}

// Guards against the loss of a zone's targets: its hub read the list while their entries, expired in an outage that only the daemon it
// follows had noticed, were still missing.
TEST(ListRelay, OwnReadInTheGracePeriodOfAnotherDaemonKeepsMissingTargets)
{
    read({target("a")});
    now += 4s;
    read({});
    const ListReply reply = follow();
    TargetList own;
    CHECK(own.recordRelayed({reader.name, now, 0ms, std::chrono::milliseconds(reply.graceMilliseconds)}, now));
    own.read(relayed.targets(), now, now);
    own.read({}, now + 400ms, now + 400ms);
    LONGS_EQUAL(1, own.targets().size());
    own.read({}, now + 2400ms, now + 2400ms);
    LONGS_EQUAL(0, own.targets().size());
}

// Guards against requests to a target that has left: a daemon that started while the store was an older copy relays it as ready.
TEST(ListRelay, RelayedListOfACopyDoesNotBringADepartedTargetBack)
{
    TargetList own;
    own.read({target("a", 1, 100, 9)}, now, now, 1);
    own.read({}, now + 100ms, now + 100ms, 1);
    now += 500ms;
    list.read({target("a", 1, 100, 5)}, now, now, 2);
    const ListReply reply = follow();
    own.read(relayed.targets(), now, now, reply.era);
    CHECK(own.find({"a"}) == nullptr);
}
