#include "fleet_oracle.h"
#include "fuzz_settings.h"

#include <rapidcheck.h>

#include <iostream>

// Must be the last include, since it defines `new` as a macro.
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::fake;

namespace
{
constexpr auto FaultsStart = 12s;
constexpr auto FaultsEnd = 90s;
constexpr auto RunEnd = 120s;

enum class Kind
{
    Crash,
    RestartSoon,
    CrashMany,
    Pause,
    Split,
    OneWay,
    StoreDown,
    StoreSlow,
    StoreCut,
    LostAnswers,
    StaleReads,
    Leave,
    Document,
    Count,
};

struct Fault {
    Kind kind = Kind::Crash;
    unsigned node = 0;
    unsigned other = 0;
    unsigned startMs = 0;
    unsigned lengthMs = 0;
};

std::ostream &operator<<(std::ostream &stream, const Fault &fault)
{
    return stream << "fault " << static_cast<int>(fault.kind) << " node " << fault.node << " other " << fault.other << " at " << fault.startMs << " ms for "
                  << fault.lengthMs << " ms";
}

rc::Gen<Fault> anyFault()
{
    const auto numberBelow = [](unsigned end) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, end)); };
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind, rc::gen::map(numberBelow(static_cast<unsigned>(Kind::Count)), [](unsigned kind) { return static_cast<Kind>(kind); })),
        rc::gen::set(&Fault::node, numberBelow(64)), rc::gen::set(&Fault::other, numberBelow(64)), rc::gen::set(&Fault::startMs, numberBelow(70'000)),
        rc::gen::set(&Fault::lengthMs, numberBelow(20'000)));
}

Profile anyProfile(std::mt19937_64 &random)
{
    const auto chance = [&random] { return std::uniform_real_distribution<double>(0, 1)(random); };
    Profile profile;
    profile.loss = chance() < 0.5 ? 0.2 * chance() : 0;
    profile.duplicates = chance() < 0.5 ? 0.1 : 0;
    profile.maxDelay = chance() < 0.3 ? Duration(2s) : chance() < 0.5 ? Duration(300ms) : Duration(5ms);
    profile.listLag = chance() < 0.5 ? Duration(4s) : Duration(500ms);
    profile.drift = chance() < 0.5 ? 0.02 : 0;
    profile.alwaysHandOver = chance() < 0.5;
    return profile;
}

void startIfDown(Fleet &fleet, std::size_t index)
{
    if (!fleet.nodes[index].alive) {
        fleet.start(index);
    }
}

void split(Fleet &fleet, unsigned mask, bool on)
{
    for (std::size_t from = 0; from < fleet.nodes.size(); ++from) {
        for (std::size_t to = 0; to < fleet.nodes.size(); ++to) {
            if (((mask >> from) & 1U) != ((mask >> to) & 1U)) {
                fleet.cut(from, to, on);
            }
        }
    }
}

void crashMany(Fleet &fleet, unsigned mask, Duration length)
{
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        if (((mask >> index) & 1U) != 0) {
            fleet.crash(index);
            fleet.at(length + 10s, [&fleet, index] { startIfDown(fleet, index); });
        }
    }
}

// Starts a fault. RestartSoon restarts a daemon under its name before the platform's listing removes the name.
void begin(Fleet &fleet, const Fault &fault)
{
    const std::size_t node = fault.node % fleet.nodes.size();
    const Duration length = std::chrono::milliseconds(fault.lengthMs);
    switch (fault.kind) {
    case Kind::Crash:
        fleet.crash(node);
        fleet.at(length + 10s, [&fleet, node] { startIfDown(fleet, node); });
        return;
    case Kind::RestartSoon:
        fleet.crash(node, false);
        fleet.at(length / 10, [&fleet, node] { startIfDown(fleet, node); });
        return;
    case Kind::CrashMany:
        crashMany(fleet, fault.other, length);
        return;
    case Kind::Pause:
        fleet.pause(node, length * 12 / 20);
        return;
    case Kind::Split:
        split(fleet, fault.other, true);
        return;
    case Kind::OneWay:
        fleet.isolate(node, fault.other % 2 == 0, fault.other % 2 == 1, true);
        return;
    case Kind::StoreDown:
        fleet.store.down = true;
        return;
    case Kind::StoreSlow:
        fleet.store.delay = 4s;
        return;
    case Kind::StoreCut:
        fleet.nodes[node].storeCut = true;
        return;
    case Kind::LostAnswers:
        fleet.store.lostAnswers = 0.7;
        return;
    case Kind::StaleReads:
        fleet.store.staleReads = 0.5;
        return;
    case Kind::Leave:
        fleet.leave(node);
        fleet.at(8s, [&fleet, node] { fleet.crash(node); });
        fleet.at(length + 20s, [&fleet, node] { startIfDown(fleet, node); });
        return;
    case Kind::Document:
        fleet.putDocument();
        return;
    case Kind::Count:
        return;
    }
}

void end(Fleet &fleet, const Fault &fault)
{
    const std::size_t node = fault.node % fleet.nodes.size();
    switch (fault.kind) {
    case Kind::Split:
        split(fleet, fault.other, false);
        return;
    case Kind::OneWay:
        fleet.isolate(node, true, true, false);
        return;
    case Kind::StoreDown:
        fleet.store.down = false;
        return;
    case Kind::StoreSlow:
        fleet.store.delay = 5ms;
        return;
    case Kind::StoreCut:
        fleet.nodes[node].storeCut = false;
        return;
    case Kind::LostAnswers:
        fleet.store.lostAnswers = 0;
        return;
    case Kind::StaleReads:
        fleet.store.staleReads = 0;
        return;
    default:
        return;
    }
}

// Delivers some recorded messages again, including hand-overs, long after they were sent.
void replaySome(Fleet &fleet, std::vector<std::pair<Endpoint, Envelope>> &seen)
{
    for (int count = 0; count < 3 && !seen.empty(); ++count) {
        const auto &[to, envelope] = seen[fleet.random() % seen.size()];
        fleet.deliver(to, envelope);
    }
    fleet.at(2s, [&fleet, &seen] { replaySome(fleet, seen); });
}

std::string runModel(std::uint64_t seed, const std::vector<Fault> &faults)
{
    std::mt19937_64 random(seed);
    const std::size_t size = 5 + random() % 3;
    Fleet fleet(size, random(), anyProfile(random));
    std::vector<std::pair<Endpoint, Envelope>> seen;
    fleet.filter = [&](const Endpoint &to, const Envelope &envelope) {
        if (std::holds_alternative<HandOver>(envelope.message) || fleet.random() % 50 == 0) {
            seen.emplace_back(to, envelope);
        }
        return true;
    };
    fleet.at(10s, [&] { replaySome(fleet, seen); });
    for (std::size_t index = 0; index < size; ++index) {
        fleet.start(index);
    }
    for (const Fault &fault : faults) {
        const Duration start = FaultsStart + std::chrono::milliseconds(fault.startMs);
        const Duration stop = std::min<Duration>(start + std::chrono::milliseconds(fault.lengthMs), FaultsEnd);
        fleet.at(start, [&fleet, fault] { begin(fleet, fault); });
        fleet.at(stop, [&fleet, fault] { end(fleet, fault); });
    }
    fleet.run(FaultsEnd);
    fleet.profile.loss = 0;
    fleet.profile.maxDelay = 5ms;
    for (std::size_t index = 0; index < size; ++index) {
        fleet.nodes[index].pausedUntil = std::min(fleet.nodes[index].pausedUntil, fleet.now + 1ms);
        startIfDown(fleet, index);
    }
    if (!fleet.settle(RunEnd - FaultsEnd)) {
        fleet.violations.push_back("not settled: " + fleet.unsettledReason());
    }
    return fleet.violations.empty() ? std::string() : fleet.violations.front();
}
}

TEST_GROUP(FuzzMembership) {};

TEST(FuzzMembership, OneActingOwnerUnderFaults)
{
    fuzzSettings(40);
    const bool good = rc::check("at most one acting owner per key, epochs increase, and the fleet settles within 30 s", [] {
        const auto seed = *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        const auto count = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, 14));
        const auto faults = *rc::gen::container<std::vector<Fault>>(count, anyFault());
        const auto failure = runModel(seed, faults);
        if (!failure.empty()) {
            RC_FAIL(failure);
        }
    });
    CHECK(good);
}
