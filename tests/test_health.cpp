#include <plumsill/health.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const ServiceName orders {"orders"};

TargetName targetName(std::size_t index)
{
    return {"t" + std::to_string(index)};
}

std::vector<Target> targetList(std::size_t count)
{
    std::vector<Target> targets;
    for (std::size_t index = 0; index < count; ++index) {
        targets.push_back({targetName(index), orders, {"z"}, {"10.0.0.1", static_cast<std::uint16_t>(1 + index)}, false});
    }
    return targets;
}

Service serviceOf(double floor)
{
    Service service;
    service.name = orders;
    service.floor = floor;
    return service;
}

EvidenceSource daemonOf(std::size_t index)
{
    return {{{"d" + std::to_string(index)}, 1}, {"z" + std::to_string(index)}};
}

TargetEvidence evidenceOf(std::size_t target, bool unhealthy)
{
    TargetEvidence evidence;
    evidence.target = targetName(target);
    evidence.good = unhealthy ? 0 : 6;
    evidence.fast = evidence.good;
    evidence.errors = unhealthy ? 6 : 0;
    evidence.logLatencySum = static_cast<float>(evidence.good * std::log(0.04));
    return evidence;
}

std::vector<std::string> namesOf(const std::vector<EjectionPermit> &permits)
{
    std::vector<std::string> names;
    names.reserve(permits.size());
    for (const auto &permit : permits) {
        names.push_back(permit.target.value);
    }
    std::sort(names.begin(), names.end());
    return names;
}
}

TEST_GROUP(HealthOwner)
{
    static constexpr std::size_t Targets = 6;
    TimePoint now = TimePoint(1000s);
    HealthOwner owner;
    std::set<std::size_t> unhealthy;
    std::uint64_t sequence = 0;
    std::vector<HealthEvent> events;
    Verdict lastVerdict;

    void setup() override
    {
        owner.setServices({serviceOf(0.5)});
        owner.setTargets(orders, targetList(Targets), now);
    }

    HealthDigest digest(bool empty = false)
    {
        HealthDigest made {sequence, orders, {}};
        for (std::size_t index = 0; index < Targets && !empty; ++index) {
            const auto out = namesOf(lastVerdict.ejected);
            const bool trial = std::any_of(lastVerdict.ejected.begin(), lastVerdict.ejected.end(),
                                           [&](const auto &permit) { return permit.target == targetName(index) && permit.trialPerMille > 0; });
            if (trial || std::find(out.begin(), out.end(), targetName(index).value) == out.end()) {
                made.targets.push_back(evidenceOf(index, unhealthy.contains(index)));
            }
        }
        return made;
    }

    void collect(const std::vector<OwnerEffect> &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *verdict = std::get_if<SendVerdict>(&effect)) {
                lastVerdict = verdict->verdict;
            } else {
                events.push_back(std::get<HealthEvent>(effect));
            }
        }
    }

    void advance(Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += 100ms) {
            ++sequence;
            for (std::size_t daemon = 0; daemon < 3; ++daemon) {
                collect(owner.handleDigest(daemonOf(daemon), digest(), true, now));
            }
        }
    }

    std::size_t ejections() const
    {
        return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(), [](const auto &event) { return std::holds_alternative<TargetEjected>(event); }));
    }
};

TEST(HealthOwner, FloorRoundsInFavourOfCapacity)
{
    LONGS_EQUAL(3, maxTargetsOutOfUse(0.5, 6));
    LONGS_EQUAL(2, maxTargetsOutOfUse(0.6, 7));
    LONGS_EQUAL(3, maxTargetsOutOfUse(0.7, 10));
    LONGS_EQUAL(0, maxTargetsOutOfUse(1, 6));
    LONGS_EQUAL(6, maxTargetsOutOfUse(0, 6));
    LONGS_EQUAL(0, maxTargetsOutOfUse(0.5, 1));
}

TEST(HealthOwner, UnhealthyTargetIsEjected)
{
    advance(5s);
    CHECK(lastVerdict.ejected.empty());
    CHECK(lastVerdict.slowAfterMicroseconds > 0);
    unhealthy = {2};
    advance(2s);
    CHECK(namesOf(lastVerdict.ejected) == std::vector<std::string> {"t2"});
    LONGS_EQUAL(1, ejections());
}

TEST(HealthOwner, FloorHoldsWithManyUnhealthyTargets)
{
    owner.setServices({serviceOf(0.7)});
    advance(5s);
    unhealthy = {0, 1, 2};
    advance(5s);
    LONGS_EQUAL(maxTargetsOutOfUse(0.7, Targets), lastVerdict.ejected.size());
}

TEST(HealthOwner, LeavingTargetReducesAllowedEjections)
{
    advance(5s);
    unhealthy = {0, 1, 2};
    advance(3s);
    LONGS_EQUAL(3, lastVerdict.ejected.size());
    auto targets = targetList(Targets);
    targets[5].leaving = true;
    owner.setTargets(orders, targets, now);
    advance(100ms);
    LONGS_EQUAL(2, lastVerdict.ejected.size());
    CHECK(std::get<TargetReturned>(events.back()).forFloor);
}

TEST(HealthOwner, WithdrawnPermitCountsUntilItHasExpiredEverywhere)
{
    owner.setServices({serviceOf(0.8)}); // the floor allows one of six targets out of use
    advance(5s);
    unhealthy = {0};
    advance(2s);
    LONGS_EQUAL(1, lastVerdict.ejected.size());
    // The floor allows one target out of use. While t5 leaves, it takes that place, so the ejection of t0 is withdrawn.
    // Afterwards t5 no longer leaves, and t1 becomes unhealthy.
    auto targets = targetList(Targets);
    targets[5].leaving = true;
    owner.setTargets(orders, targets, now);
    advance(100ms);
    CHECK(lastVerdict.ejected.empty());
    const TimePoint withdrawn = now;
    owner.setTargets(orders, targetList(Targets), now);
    unhealthy = {1};
    while (lastVerdict.ejected.empty() && now - withdrawn < 10s) {
        advance(100ms);
    }
    CHECK(namesOf(lastVerdict.ejected) == std::vector<std::string> {"t1"});
    CHECK(now - withdrawn > config::EjectionPermitLifetime);
}

TEST(HealthOwner, RepeatedDigestCountsOnce)
{
    advance(5s);
    unhealthy = {0};
    ++sequence;
    for (int repeat = 0; repeat < 50; ++repeat, now += 50ms) {
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            collect(owner.handleDigest(daemonOf(daemon), digest(), true, now));
        }
    }
    CHECK(lastVerdict.ejected.empty());
    LONGS_EQUAL(sequence, lastVerdict.sequence);
}

TEST(HealthOwner, DaemonThatMayNotActSendsNoVerdict)
{
    ++sequence;
    CHECK(owner.handleDigest(daemonOf(0), digest(), false, now).empty());
    CHECK(owner.handleDigest(daemonOf(0), {1, {"unknown"}, {}}, true, now).empty());
}

TEST(HealthOwner, TrialReturnsRecoveredTarget)
{
    advance(5s);
    unhealthy = {2};
    advance(2s);
    LONGS_EQUAL(1, lastVerdict.ejected.size());
    unhealthy = {};
    advance(config::EjectionBase + 3s);
    CHECK(lastVerdict.ejected.empty());
    CHECK(std::holds_alternative<TargetReturned>(events.back()));
}

TEST(HealthOwner, EjectionTimeGrowsForFlappingTarget)
{
    advance(5s);
    std::vector<Duration> lengths;
    for (int round = 0; round < 4; ++round) {
        unhealthy = {2};
        while (lastVerdict.ejected.empty()) {
            advance(100ms);
        }
        const TimePoint since = now;
        unhealthy = {};
        while (!lastVerdict.ejected.empty()) {
            advance(100ms);
        }
        lengths.push_back(now - since);
    }
    CHECK(lengths[1] > 1.7 * lengths[0]);
    CHECK(lengths[2] > 1.7 * lengths[1]);
    advance(3 * config::EjectionHistoryLifetime);
    advance(config::EjectionHistoryLifetime);
    unhealthy = {2};
    advance(2s);
    unhealthy = {};
    const TimePoint since = now;
    while (!lastVerdict.ejected.empty()) {
        advance(100ms);
    }
    CHECK(now - since < lengths[1]);
}

TEST(HealthOwner, UnhealthyTargetFailsItsTrial)
{
    advance(5s);
    unhealthy = {2};
    advance(30s);
    CHECK(namesOf(lastVerdict.ejected) == std::vector<std::string> {"t2"});
    LONGS_EQUAL(1, ejections());
}

TEST_GROUP(LocalHealth)
{
    static constexpr std::size_t Targets = 6;
    TimePoint now = TimePoint(1000s);
    LocalHealth local {daemonOf(0)};
    std::vector<HealthDigest> digests;

    void setup() override
    {
        local.setServices({serviceOf(0.5)});
        local.setTargets(orders, targetList(Targets), now);
    }

    void record(std::size_t target, bool unhealthy)
    {
        local.record(orders, {evidenceOf(target, unhealthy)}, now);
    }

    void advance(Duration length, const std::set<std::size_t> &unhealthy = {}, bool used = true)
    {
        for (const TimePoint end = now + length; now < end; now += 100ms) {
            for (std::size_t index = 0; index < Targets && used; ++index) {
                if (weight(index) > 0) {
                    record(index, unhealthy.contains(index));
                }
            }
            for (const auto &effect : local.tick(now)) {
                if (const auto *digest = std::get_if<SendDigest>(&effect)) {
                    digests.push_back(digest->digest);
                }
            }
        }
    }

    TargetView viewOf(std::size_t target) const
    {
        for (const auto &seen : local.view(orders, now).targets) {
            if (seen.target.name == targetName(target)) {
                return seen;
            }
        }
        return {{}, TargetUse::Ejected, 0};
    }
    double weight(std::size_t target) const
    {
        return viewOf(target).weight;
    }

    /// Advances until a digest is sent and returns its sequence.
    std::uint64_t newDigest()
    {
        const std::size_t before = digests.size();
        while (digests.size() == before) {
            advance(100ms);
        }
        return digests.back().sequence;
    }

    Verdict verdict(std::uint64_t sequence, const std::vector<std::size_t> &ejected, std::uint32_t trial = 0) const
    {
        Verdict made {sequence, orders, {}, 200'000};
        for (const std::size_t index : ejected) {
            made.ejected.push_back({targetName(index), trial});
        }
        return made;
    }
};

TEST(LocalHealth, DigestReportsEvidenceOnce)
{
    record(3, false);
    advance(config::HealthDigestInterval, {}, false);
    LONGS_EQUAL(1, digests.size());
    LONGS_EQUAL(1, digests[0].targets.size());
    LONGS_EQUAL(6, digests[0].targets[0].good);
    advance(config::HealthDigestInterval, {}, false);
    CHECK(digests.back().targets.empty());
    advance(2 * config::EvidenceSourceLifetime, {}, false);
    const std::size_t sent = digests.size();
    advance(5s, {}, false);
    LONGS_EQUAL(sent, digests.size());
}

TEST(LocalHealth, EvidenceOfFailureIsSentEarly)
{
    newDigest();
    const std::size_t sent = digests.size();
    advance(100ms);
    record(3, true);
    advance(config::UrgentDigestInterval, {}, false);
    LONGS_EQUAL(sent + 1, digests.size());
}

TEST(LocalHealth, VerdictReplacesThePreviousOne)
{
    CHECK(local.handleVerdict(1, verdict(newDigest(), {1, 2}), now));
    CHECK(local.verdictInForce(orders, now));
    CHECK(viewOf(1).use == TargetUse::Ejected);
    DOUBLES_EQUAL(0, weight(2), 0);
    CHECK(local.view(orders, now).slowAfter == 200ms);
    CHECK(local.handleVerdict(1, verdict(newDigest(), {3}, 100), now));
    CHECK(viewOf(1).use == TargetUse::SlowStart);
    CHECK(viewOf(3).use == TargetUse::Trial);
    DOUBLES_EQUAL(0.1, weight(3), 1e-9);
}

TEST(LocalHealth, VerdictLifetimeStartsWhenItsDigestWasSent)
{
    const std::uint64_t sequence = newDigest();
    const TimePoint sent = now - 100ms;
    now = sent + config::EjectionPermitLifetime - 200ms;
    CHECK(local.handleVerdict(1, verdict(sequence, {1}), now));
    CHECK(local.verdictInForce(orders, now));
    now = sent + config::EjectionPermitLifetime;
    CHECK(!local.verdictInForce(orders, now));
    CHECK(viewOf(1).use == TargetUse::Active);
}

TEST(LocalHealth, LateVerdictIsRefused)
{
    const std::uint64_t sequence = newDigest();
    now += config::EjectionPermitLifetime;
    CHECK(!local.handleVerdict(1, verdict(sequence, {1}), now));
    CHECK(viewOf(1).use == TargetUse::Active);
}

// Guards against targets ejected by the verdict on a digest that was sent before a restart: it was taken for the answer to the digest that has
// the same number in the new life, and in force as long.
TEST(LocalHealth, VerdictOnADigestOfAnEarlierIncarnationIsRefused)
{
    local = LocalHealth({{{"entry-1"}, 1'796'000'000'000'000'000}, {"z0"}});
    setup();
    const std::uint64_t earlier = newDigest();
    local = LocalHealth({{{"entry-1"}, 1'796'000'001'000'000'000}, {"z0"}});
    setup();
    const std::uint64_t present = newDigest();
    CHECK(!local.handleVerdict(1, verdict(earlier, {1}), now));
    CHECK(viewOf(1).use == TargetUse::Active);
    CHECK(local.handleVerdict(1, verdict(present, {2}), now));
}

TEST(LocalHealth, OlderEpochIsRefused)
{
    local.recordEpoch(5);
    const std::uint64_t first = newDigest();
    CHECK(!local.handleVerdict(4, verdict(first, {1}), now));
    CHECK(local.handleVerdict(6, verdict(first, {2}), now));
    CHECK(!local.handleVerdict(5, verdict(newDigest(), {1}), now));
    CHECK(viewOf(1).use == TargetUse::Active);
    CHECK(viewOf(2).use == TargetUse::Ejected);
}

TEST(LocalHealth, OvertakenAndUnsolicitedVerdictsAreRefused)
{
    const std::uint64_t first = newDigest();
    const std::uint64_t second = newDigest();
    CHECK(local.handleVerdict(1, verdict(second, {2}), now));
    CHECK(!local.handleVerdict(1, verdict(first, {1}), now));
    CHECK(!local.handleVerdict(1, verdict(second, {1}), now));
    CHECK(!local.handleVerdict(1, verdict(second + 7, {1}), now));
    CHECK(viewOf(1).use == TargetUse::Active);
}

TEST(LocalHealth, LeavingTargetsTakePrecedenceOverEjections)
{
    local.handleVerdict(1, verdict(newDigest(), {0, 1, 2}), now);
    CHECK(viewOf(2).use == TargetUse::Ejected);
    local.recordLeaving({targetName(5), targetList(Targets)[5].endpoint}, now);
    CHECK(viewOf(5).use == TargetUse::Leaving);
    CHECK(viewOf(1).use == TargetUse::Ejected);
    CHECK(viewOf(2).use == TargetUse::Active); // the least severe of the verdict's ejections
}

TEST(LocalHealth, WithoutOwnerTheDaemonEjectsWithinTheFloor)
{
    advance(10s);
    advance(10s, {0, 1, 2});
    std::size_t out = 0;
    for (std::size_t index = 0; index < Targets; ++index) {
        out += weight(index) > 0 ? 0 : 1;
    }
    LONGS_EQUAL(maxTargetsOutOfUse(0.5, Targets), out);
}

TEST(LocalHealth, EjectionContinuesLocallyAfterVerdictExpires)
{
    advance(5s);
    local.handleVerdict(1, verdict(newDigest(), {1}), now);
    advance(config::EjectionPermitLifetime + 200ms);
    CHECK(!local.verdictInForce(orders, now));
    CHECK(viewOf(1).use == TargetUse::Ejected);
}

TEST(LocalHealth, ReturnedTargetStartsSlowly)
{
    local.handleVerdict(1, verdict(newDigest(), {1}), now);
    local.handleVerdict(1, verdict(newDigest(), {}), now);
    CHECK(viewOf(1).use == TargetUse::SlowStart);
    DOUBLES_EQUAL(config::SlowStartWeight, weight(1), 0.02);
    now += config::SlowStart / 2;
    DOUBLES_EQUAL(0.5, weight(1), 0.02);
    now += config::SlowStart;
    CHECK(viewOf(1).use == TargetUse::Active);
}

TEST(LocalHealth, OnlyTargetsAddedAfterTheFirstListingStartSlowly)
{
    CHECK(viewOf(0).use == TargetUse::Active);
    local.setTargets(orders, targetList(Targets + 1), now);
    CHECK(viewOf(Targets).use == TargetUse::SlowStart);
    CHECK(viewOf(0).use == TargetUse::Active);
}

TEST(LocalHealth, UnreachableTargetIsAvoidedForAGrowingTime)
{
    TargetEvidence failed;
    failed.target = targetName(2);
    failed.unreachable = config::UnansweredRequestsBeforeAvoidance;
    local.record(orders, {failed}, now);
    CHECK(viewOf(2).use == TargetUse::Avoided);
    now += config::AvoidanceBase;
    CHECK(viewOf(2).use == TargetUse::Active);
    failed.unreachable = 1;
    local.record(orders, {failed}, now);
    now += config::AvoidanceBase;
    CHECK(viewOf(2).use == TargetUse::Avoided);
    record(2, false);
    CHECK(viewOf(2).use == TargetUse::Active);
}

TEST(LocalHealth, AvoidanceRespectsTheFloor)
{
    for (std::size_t index = 0; index < Targets; ++index) {
        TargetEvidence failed;
        failed.target = targetName(index);
        failed.unreachable = 10;
        local.record(orders, {failed}, now);
    }
    std::size_t used = 0;
    for (std::size_t index = 0; index < Targets; ++index) {
        used += weight(index) > 0 ? 1 : 0;
    }
    LONGS_EQUAL(3, used);
}

TEST(LocalHealth, SlowAnswersDoNotCauseAvoidance)
{
    TargetEvidence slow;
    slow.target = targetName(2);
    slow.slow = 10;
    local.record(orders, {slow}, now);
    CHECK(viewOf(2).use == TargetUse::Active);
}

TEST(LocalHealth, LeavingStateIsKeptUntilDelisted)
{
    auto targets = targetList(Targets);
    targets[1].leaving = true;
    local.setTargets(orders, targets, now);
    local.setTargets(orders, targetList(Targets), now); // the listing of a lagging replica
    CHECK(viewOf(1).use == TargetUse::Leaving);
    CHECK(local.targets(orders).at(1).leaving);
    targets = targetList(Targets);
    targets.erase(targets.begin() + 1);
    local.setTargets(orders, targets, now);
    advance(config::LeavingTargetLifetime + 200ms);
    local.setTargets(orders, targetList(Targets), now);
    CHECK(viewOf(1).use != TargetUse::Leaving);
}

TEST(LocalHealth, SameNameOnAnotherEndpointIsAnotherTarget)
{
    local.recordLeaving({targetName(1), {"10.9.9.9", 1}}, now);
    CHECK(viewOf(1).use == TargetUse::Active);
    local.recordLeaving({targetName(1), targetList(Targets)[1].endpoint}, now);
    CHECK(viewOf(1).use == TargetUse::Leaving);
}

TEST(LocalHealth, HeartbeatsReportEveryLeavingTarget)
{
    const auto targets = targetList(40);
    local.setTargets(orders, targets, now);
    for (const auto &target : targets) {
        local.recordLeaving({target.name, target.endpoint}, now);
    }
    std::set<LeavingTarget> reported;
    for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
        const auto leaving = local.leavingTargetsForHeartbeat(now);
        CHECK(leaving.size() <= config::MaxLeavingTargetsPerHeartbeat);
        reported.insert(leaving.begin(), leaving.end());
    }
    LONGS_EQUAL(40, reported.size());
    CHECK(local.leavingTargetsForHeartbeat(now + config::LeavingAnnounceTime).empty());
}
