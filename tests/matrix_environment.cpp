#include "operator_run.h"

#include <plumsill/config.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <deque>

/// Fault matrix of documents: every fault at every step of an operator's change and of its distribution to the daemons.
using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
enum class Fault
{
    Crash,
    Pause,
    CutToStore,
    StoreDown,
    Slow,
    AnswerLost,
    StaleRead,
    ConcurrentChange, ///< a change of another operator runs before the step
    LostThenStale,
    SlowThenDown,
};

constexpr std::array<std::pair<Fault, const char *>, 10> OperatorFaults {{{Fault::Crash, "crash"},
                                                                          {Fault::Pause, "pause"},
                                                                          {Fault::CutToStore, "cut to the store"},
                                                                          {Fault::StoreDown, "store down"},
                                                                          {Fault::Slow, "store slow"},
                                                                          {Fault::AnswerLost, "answer lost after the write"},
                                                                          {Fault::StaleRead, "stale read"},
                                                                          {Fault::ConcurrentChange, "two operators at once"},
                                                                          {Fault::LostThenStale, "answer lost, then stale reads"},
                                                                          {Fault::SlowThenDown, "store slow, then down"}}};

enum class Step
{
    Put,
    Prove,
    Promote,
};

constexpr std::array<std::pair<Step, const char *>, 3> OperatorSteps {{{Step::Put, "put"}, {Step::Prove, "prove"}, {Step::Promote, "promote"}}};

/// Records every write, to check that versions only increase and to find the write ids that took effect.
struct Oracle {
    std::map<std::string, std::uint64_t> highest;
    std::vector<std::string> values;
    bool versionDecreased = false;

    void recordWrite(const StoredObject &object)
    {
        values.push_back(object.value);
        const auto manifest = parseManifest(object.value);
        if (manifest) {
            versionDecreased = versionDecreased || manifest->stamp.version <= highest[object.key];
            highest[object.key] = manifest->stamp.version;
        }
    }
    bool tookEffect(const std::string &writeId) const
    {
        return std::any_of(values.begin(), values.end(), [&](const std::string &value) { return value.find('"' + writeId + '"') != std::string::npos; });
    }
};

struct OperatorFixture {
    FakeStore store;
    Oracle oracle;
    TimePoint now {1000s};
    const std::string first = documentWithTeam("first");
    const std::string second = documentWithTeam("second");

    // Puts the first document in production and the second one in trial, where it is proved if @p step is a promotion.
    explicit OperatorFixture(Step step)
    {
        store.written = [this](const StoredObject &object) { oracle.recordWrite(object); };
        runToEnd(store, now, PutRequest {first, 0}, "setup-1");
        runToEnd(store, now, ProveRequest {1}, "setup-2");
        runToEnd(store, now, PromoteRequest {sha256Hex(first), 0}, "setup-3");
        runToEnd(store, now, PutRequest {second, 1}, "setup-4");
        if (step == Step::Promote) {
            runToEnd(store, now, ProveRequest {2}, "setup-5");
        }
    }
    ChangeRequest request(Step step, const std::string &team) const
    {
        if (step == Step::Put) {
            return PutRequest {documentWithTeam(team), 2};
        }
        if (step == Step::Prove) {
            return ProveRequest {2};
        }
        return PromoteRequest {sha256Hex(second), 1};
    }
};

CallFault callFault(Fault fault, std::size_t stepsSinceFault)
{
    switch (fault) {
    case Fault::CutToStore:
        return CallFault::LostBefore;
    case Fault::StoreDown:
        return CallFault::Down;
    case Fault::Slow:
        return stepsSinceFault == 0 ? CallFault::Delayed : CallFault::None;
    case Fault::AnswerLost:
        return stepsSinceFault == 0 ? CallFault::LostAfter : CallFault::None;
    case Fault::StaleRead:
        return stepsSinceFault < 3 ? CallFault::Stale : CallFault::None;
    case Fault::LostThenStale:
        return stepsSinceFault == 0 ? CallFault::LostAfter : CallFault::Stale;
    case Fault::SlowThenDown:
        return stepsSinceFault == 0 ? CallFault::Delayed : CallFault::Down;
    default:
        return CallFault::None;
    }
}

std::string violation(OperatorFixture &fixture, const OperatorRun &run, bool crashed)
{
    fixture.store.deliverDelayed();
    const bool effect = fixture.oracle.tookEffect(run.writeId());
    const auto outcome = crashed ? ChangeOutcome::Unknown : run.reply().outcome;
    if (outcome == ChangeOutcome::Accepted && !effect) {
        return "accepted, but nothing was written";
    }
    if ((outcome == ChangeOutcome::Conflict || outcome == ChangeOutcome::Refused) && effect) {
        return std::string(toString(outcome)) + ", but the write took effect";
    }
    if (fixture.oracle.versionDecreased) {
        return "a version decreased";
    }
    if (!textIn(fixture.store, TrialEnvironment) || !textIn(fixture.store, ProductionEnvironment)) {
        return "a document is damaged";
    }
    return {};
}

/// Runs an operator's change and injects the fault from its step number @p at on. Returns a description of the violated
/// requirement, or an empty text if there is none. Returns nothing if the run ended before that step.
std::optional<std::string> runWithFault(Step step, Fault fault, std::size_t at)
{
    OperatorFixture fixture(step);
    OperatorRun run(orderOf(fixture.request(step, "mine"), "mine"), fixture.now);
    std::size_t steps = 0;
    bool crashed = false;
    for (; !run.done() && !crashed; ++steps) {
        if (steps == at && fault == Fault::Pause) {
            fixture.now += 30s;
        }
        if (steps == at && fault == Fault::ConcurrentChange) {
            runToEnd(fixture.store, fixture.now, fixture.request(step, "other"), "other");
        }
        crashed = steps >= at && fault == Fault::Crash;
        if (!crashed) {
            run.advance(fixture.store, fixture.now, steps >= at ? callFault(fault, steps - at) : CallFault::None, {3, 4});
        }
    }
    if (steps <= at) {
        return std::nullopt;
    }
    if (!crashed) {
        run.finish(fixture.store, fixture.now);
    }
    return violation(fixture, run, crashed);
}

std::size_t runAllSteps(Step step, Fault fault, std::string &failure)
{
    std::size_t at = 0;
    while (true) {
        const auto result = runWithFault(step, fault, at);
        if (!result) {
            return at;
        }
        if (!result->empty()) {
            failure = "at step " + std::to_string(at) + ": " + *result;
            return at;
        }
        ++at;
    }
}

/// Simulates the store, the members and the links between them, for the distribution of a document.
class Fleet
{
public:
    static constexpr std::size_t Size = 5;

    struct Daemon {
        std::optional<DocumentHolder> holder = DocumentHolder();
        bool running = true;
        bool storeReachable = true;
        bool storeStale = false;
        bool receivesFromPeers = true;
        bool sendsToPeers = true;
        Duration storeDelay {};
        /// Acknowledged stamp and sending time of the acknowledged heartbeat, by member.
        std::map<std::size_t, std::pair<DocumentStamp, TimePoint>> acks;
    };

    struct StoreAnswer {
        std::size_t daemon;
        TimePoint due;
        TimePoint sent;
        std::pair<DocumentStamp, std::string> document;
    };

    std::array<Daemon, Size> daemons;
    bool storeUp = true;
    TimePoint now {1000s};

    Fleet() { publish(1, documentWithTeam("withdrawn")); }

    void publish(std::uint64_t version, const std::string &text)
    {
        m_previous = m_current.second.empty() ? std::pair {DocumentStamp {version, sha256Hex(text)}, text} : m_current;
        m_current = {{version, sha256Hex(text)}, text};
    }
    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end; now += 100ms) {
            tick();
        }
    }
    bool majorityHolds(std::uint64_t version) const
    {
        const auto holds = [&](const Daemon &daemon) { return daemon.holder->stamp().version >= version; };
        return 2 * std::count_if(daemons.begin(), daemons.end(), holds) > static_cast<long>(Size);
    }

private:
    void tick()
    {
        deliver();
        for (std::size_t i = 0; i < Size; ++i) {
            if (daemons[i].running && (now - TimePoint()) % 1s == 100ms * i) {
                readStore(i);
                heartbeat(i);
            }
        }
    }
    void readStore(std::size_t i)
    {
        const auto &daemon = daemons[i];
        if (storeUp && daemon.storeReachable) {
            m_answers.push_back({i, now + daemon.storeDelay, now, daemon.storeStale ? m_previous : m_current});
        }
    }
    void deliver()
    {
        for (auto &answer : std::exchange(m_answers, {})) {
            if (answer.due > now || !daemons[answer.daemon].running) {
                m_answers.push_back(answer);
            } else {
                daemons[answer.daemon].holder->offeredByStore(answer.document.first, answer.document.second, answer.sent);
            }
        }
    }
    bool linked(std::size_t from, std::size_t to) const
    {
        return daemons[from].sendsToPeers && daemons[to].receivesFromPeers && daemons[from].running && daemons[to].running;
    }
    // Exchanges heartbeats and acknowledgements with the other members. A document is fetched over TCP, which needs both
    // directions of a link.
    void heartbeat(std::size_t i)
    {
        auto &daemon = daemons[i];
        daemon.acks[i] = {daemon.holder->stamp(), now};
        for (std::size_t j = 0; j < Size; ++j) {
            if (j != i && linked(i, j)) {
                reportStamp(j, i);
                if (linked(j, i)) {
                    reportStamp(i, j);
                    daemon.acks[j] = {daemons[j].holder->stamp(), now};
                }
            }
        }
        confirm(daemon);
    }
    void reportStamp(std::size_t to, std::size_t from)
    {
        const auto effects = daemons[to].holder->reportedByMember({{std::to_string(from)}, 1}, daemons[from].holder->stamp(), now);
        if (!effects.empty() && linked(to, from) && linked(from, to)) {
            const auto &held = daemons[from].holder->held();
            daemons[to].holder->offeredByMember(held->stamp, held->text);
        }
    }
    // Confirms the held document under the condition that the membership module uses as well: a majority of the members
    // answered within ConfirmationLifetime, and no member reported a later document.
    void confirm(Daemon &daemon)
    {
        std::vector<TimePoint> sent;
        const auto stamp = daemon.holder->stamp();
        for (const auto &[member, ack] : daemon.acks) {
            if (ack.first.version > stamp.version) {
                return;
            }
            if (now - ack.second <= config::ConfirmationLifetime) {
                sent.push_back(ack.second);
            }
        }
        std::sort(sent.rbegin(), sent.rend());
        if (sent.size() > Size / 2) {
            daemon.holder->confirmedByMembers(stamp, sent[Size / 2]);
        }
    }

    std::pair<DocumentStamp, std::string> m_current;
    std::pair<DocumentStamp, std::string> m_previous;
    std::vector<StoreAnswer> m_answers;
};

struct DistributionFault {
    const char *name;
    std::function<void(Fleet &, Fleet::Daemon &)> begin;
    std::function<void(Fleet &, Fleet::Daemon &)> end;
    bool reachesPeers = true;
};

void restart(Fleet &fleet, Fleet::Daemon &daemon)
{
    daemon = Fleet::Daemon();
    static_cast<void>(fleet);
}

std::vector<DistributionFault> distributionFaults()
{
    using Daemon = Fleet::Daemon;
    const auto clearFault = [](Fleet &fleet, Daemon &daemon) {
        fleet.storeUp = daemon.running = daemon.storeReachable = daemon.receivesFromPeers = daemon.sendsToPeers = true;
        daemon.storeStale = false;
        daemon.storeDelay = 0s;
    };
    const auto cutPeers = [](Fleet & /*fleet*/, Daemon &daemon) { daemon.receivesFromPeers = daemon.sendsToPeers = false; };
    return {
        {"crash", restart, clearFault},
        {"pause", [](Fleet &, Daemon &daemon) { daemon.running = false; }, clearFault, false},
        {"cut to the store", [](Fleet &, Daemon &daemon) { daemon.storeReachable = false; }, clearFault},
        {"cut one way, from peers", [](Fleet &, Daemon &daemon) { daemon.receivesFromPeers = false; }, clearFault, false},
        {"cut one way, to peers", [](Fleet &, Daemon &daemon) { daemon.sendsToPeers = false; }, clearFault, false},
        {"cut both ways", cutPeers, clearFault, false},
        {"store down", [](Fleet &fleet, Daemon &) { fleet.storeUp = false; }, clearFault},
        {"store slow", [](Fleet &, Daemon &daemon) { daemon.storeDelay = 3s; }, clearFault},
        {"stale read", [](Fleet &, Daemon &daemon) { daemon.storeStale = true; }, clearFault},
        {"cut to peers and stale read",
         [](Fleet &, Daemon &daemon) {
             daemon.sendsToPeers = false;
             daemon.storeStale = true;
         },
         clearFault, false},
        {"cut both ways and store down",
         [cutPeers](Fleet &fleet, Daemon &daemon) {
             cutPeers(fleet, daemon);
             daemon.storeReachable = false;
         },
         clearFault, false},
        {"crash and store down",
         [](Fleet &fleet, Daemon &daemon) {
             restart(fleet, daemon);
             fleet.storeUp = false;
         },
         clearFault},
    };
}

/// Withdraws a key by publishing a document without it, while one daemon has a fault. The fault begins @p beforeFault after
/// the withdrawal, or before it if @p beforeFault is negative. If @p joiner is true, the daemon restarts without a document
/// when the fault begins. Returns a description of the violated requirement, or an empty text if there is none.
std::string runWithdrawal(const DistributionFault &fault, bool joiner, Duration beforeFault)
{
    Fleet fleet;
    auto &subject = fleet.daemons[Fleet::Size - 1];
    fleet.run(5s);
    const std::string documentWithoutKey = documentWithTeam("kept");
    const auto injectFault = [&] {
        if (joiner) {
            restart(fleet, subject);
        }
        fault.begin(fleet, subject);
    };
    if (beforeFault < 0s) {
        injectFault();
        fleet.run(-beforeFault);
    }
    // The document without the key is written while the store is up, and at least one daemon reads it.
    const bool storeUp = std::exchange(fleet.storeUp, true);
    fleet.publish(2, documentWithoutKey);
    fleet.daemons[0].holder->offeredByStore({2, sha256Hex(documentWithoutKey)}, documentWithoutKey, fleet.now);
    fleet.storeUp = storeUp;
    if (beforeFault >= 0s) {
        fleet.run(beforeFault);
        injectFault();
    }
    for (unsigned ticks = 0; !fleet.majorityHolds(2); ++ticks) {
        if (ticks > 100) {
            return "not accepted within 10 s";
        }
        fleet.run(100ms);
    }
    fleet.run(5s);
    for (auto &daemon : fleet.daemons) {
        if (daemon.holder->stamp().version < 2 && daemon.running && daemon.holder->trusted(fleet.now)) {
            return "a withdrawn key is trusted 5 s after acceptance";
        }
    }
    if (fault.reachesPeers && subject.holder->stamp().version != 2) {
        return "not in force 5 s after acceptance";
    }
    if (fault.reachesPeers && !subject.holder->trusted(fleet.now)) {
        return "keyed routes refused although peers are in reach";
    }
    fleet.run(10s);
    subject.running = true;
    if (subject.holder->stamp().version < 2 && subject.holder->trusted(fleet.now)) {
        return "a withdrawn key is trusted after a pause";
    }
    fault.end(fleet, subject);
    fleet.run(5s);
    const bool recovered = subject.holder->stamp().version == 2 && subject.holder->trusted(fleet.now);
    return recovered ? std::string() : "not in force 5 s after the fault ended";
}

void printRow(const char *affectedParty, const char *fault, const char *step, std::size_t cases, const std::string &failure)
{
    std::printf("matrix document: %-8s | %-30s | %-8s | %3zu cases | %s\n", affectedParty, fault, step, cases, failure.empty() ? "ok" : failure.c_str());
}
}

TEST_GROUP(MatrixEnvironment) {};

TEST(MatrixEnvironment, OperatorUnderEveryFaultAtEveryStep)
{
    for (const auto &[step, stepName] : OperatorSteps) {
        for (const auto &[fault, faultName] : OperatorFaults) {
            std::string failure;
            const auto cases = runAllSteps(step, fault, failure);
            printRow("operator", faultName, stepName, cases, failure);
            STRCMP_EQUAL("", failure.c_str());
            CHECK(cases >= 4);
        }
    }
}

TEST(MatrixEnvironment, WithdrawalReachesMembersAndJoiners)
{
    for (const bool joiner : {false, true}) {
        for (const auto &fault : distributionFaults()) {
            std::string failure;
            std::size_t cases = 0;
            for (const Duration beforeFault : {Duration(-10s), Duration(-1s), Duration(0s), Duration(100ms), Duration(300ms), Duration(1s), Duration(2s)}) {
                const auto result = runWithdrawal(fault, joiner, beforeFault);
                ++cases;
                failure = failure.empty() ? result : failure;
            }
            printRow(joiner ? "joiner" : "member", fault.name, "spread, withdraw", cases, failure);
            STRCMP_EQUAL("", failure.c_str());
        }
    }
}
