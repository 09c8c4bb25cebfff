#include "fuzz_settings.h"

#include <plumsill/health.h>

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>

// Included last, as its macro for "new" breaks other headers.
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr int DefaultRuns = 100;

const ServiceName orders {"orders"};
constexpr std::size_t Daemons = 4;
constexpr std::size_t Targets = 6;
constexpr Duration Step = 100ms;
constexpr Duration NewOwnerWait = config::EjectionPermitLifetime + config::ClockDriftMargin;
// Maximum time until all daemons know that a target is leaving.
constexpr Duration MaxLeavingNoticeTime = 3s;
// Time after the end of a fault until its effects are over. By then the verdicts from before the end have expired, two more
// digests have been answered, and all daemons know which targets are leaving.
constexpr Duration SettleTime = NewOwnerWait + 2 * config::HealthDigestInterval + MaxLeavingNoticeTime;

enum class Op
{
    Run,
    MakeUnhealthy,
    Recover,
    Drain,
    Replace,
    Loss,
    Delay,
    Pause,
    ChangeOwner,
    Cut,
};

struct Action {
    Op op = Op::Run;
    unsigned subject = 0;
    unsigned amount = 0;
};

std::ostream &operator<<(std::ostream &stream, const Action &action)
{
    return stream << "{" << static_cast<int>(action.op) << " " << action.subject << " " << action.amount << "}";
}

rc::Gen<Action> genAction()
{
    const auto op = rc::gen::element(Op::Run, Op::Run, Op::MakeUnhealthy, Op::MakeUnhealthy, Op::MakeUnhealthy, Op::Recover, Op::Recover, Op::Drain,
                                     Op::Replace, Op::Loss, Op::Delay, Op::Pause, Op::ChangeOwner, Op::Cut);
    return rc::gen::construct<Action>(op, rc::gen::inRange(0U, 60U), rc::gen::inRange(0U, 30U));
}

struct MessageInFlight {
    std::size_t to = 0;
    std::size_t from = 0;
    std::uint64_t epoch = 0;
    Message message;
};

struct Daemon {
    explicit Daemon(std::size_t index)
        : source {{{"d" + std::to_string(index)}, 1}, {"z" + std::to_string(index % 2)}}
        , local(source)
    { }
    EvidenceSource source;
    LocalHealth local;
    HealthOwner owner;
    TimePoint pausedUntil;
    TimePoint nextHeartbeatAt;
    std::multimap<TimePoint, std::vector<Target>> lists; ///< listings in flight from the platform, delivered in order
};

/// Simulates daemons, one owner, a lossy network and a delayed listing, in fixed steps of time.
class Simulation
{
public:
    Simulation(double floor, std::uint64_t seed)
        : m_random(seed)
    {
        m_service.name = orders;
        m_service.floor = floor;
        for (std::size_t index = 0; index < Targets; ++index) {
            m_list.push_back(newTarget());
        }
        for (std::size_t index = 0; index < Daemons; ++index) {
            m_daemons.push_back(std::make_unique<Daemon>(index));
            Daemon &daemon = *m_daemons.back();
            daemon.local.setServices({m_service});
            daemon.owner.setServices({m_service});
            daemon.local.setTargets(orders, m_list, m_now);
        }
        run(3s);
    }

    void apply(const Action &action)
    {
        const TargetName target = m_list[action.subject % Targets].name;
        const std::size_t daemon = action.subject % Daemons;
        switch (action.op) {
        case Op::Run:
            break;
        case Op::MakeUnhealthy:
            m_unhealthy.insert(target);
            break;
        case Op::Recover:
            m_unhealthy.erase(target);
            break;
        case Op::Drain:
            drain(daemon, m_list[action.amount % Targets]);
            break;
        case Op::Replace:
            m_list[action.subject % Targets] = newTarget();
            for (auto &daemonState : m_daemons) {
                const TimePoint last = daemonState->lists.empty() ? m_now : daemonState->lists.rbegin()->first;
                daemonState->lists.emplace(std::max(last, m_now + listDelay()), m_list);
            }
            break;
        case Op::Loss:
            m_loss = action.amount % 4 * 0.25;
            break;
        case Op::Delay:
            m_delayMax = action.amount % 4 * 700ms + Step;
            break;
        case Op::Pause:
            m_daemons[daemon]->pausedUntil = m_now + action.amount * 300ms;
            break;
        case Op::ChangeOwner:
            changeOwner(daemon);
            break;
        case Op::Cut:
            m_cutLink = {daemon, target};
            break;
        }
        run(action.amount * 200ms);
    }

    /// Ends every fault and runs for the maximum time that an ejection can last.
    void settle()
    {
        m_unhealthy.clear();
        m_loss = 0;
        m_delayMax = Step;
        m_cutLink = {};
        run(config::EjectionMax + config::MaxTrialTime + config::SlowStart + SettleTime);
        for (const auto &daemon : m_daemons) {
            for (const auto &seen : daemon->local.view(orders, m_now).targets) {
                RC_ASSERT(seen.use == TargetUse::Active || seen.use == TargetUse::Leaving);
            }
        }
    }

private:
    Target newTarget()
    {
        const auto number = ++m_lastTarget;
        return {{"t" + std::to_string(number)}, orders, {"z"}, {"10.0.0.1", static_cast<std::uint16_t>(number)}, false};
    }

    Duration listDelay() { return std::uniform_int_distribution<int>(0, 50)(m_random) * Step; }
    bool networkFaulty() const { return m_loss > 0 || m_delayMax > Step; }

    void drain(std::size_t daemon, const Target &target)
    {
        m_daemons[daemon]->local.recordLeaving({target.name, target.endpoint}, m_now);
        m_draining.try_emplace({target.name, target.endpoint}, m_now);
    }

    void changeOwner(std::size_t next)
    {
        ++m_epoch;
        m_owner = next;
        m_ownerActsFrom = m_now + NewOwnerWait;
        m_lastFaultAt = m_now;
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now += Step;
            m_lastFaultAt = networkFaulty() ? m_now : m_lastFaultAt;
            for (std::size_t index = 0; index < Daemons; ++index) {
                m_lastListingDelayAt = m_daemons[index]->lists.empty() ? m_lastListingDelayAt : m_now;
                if (m_daemons[index]->pausedUntil > m_now) {
                    m_lastFaultAt = m_now;
                    continue;
                }
                deliver(index);
                act(index);
            }
            check();
        }
    }

    void sendMessage(MessageInFlight envelope)
    {
        if (std::uniform_real_distribution<double>()(m_random) >= m_loss) {
            const auto steps = std::uniform_int_distribution<Duration::rep>(0, m_delayMax / Step)(m_random);
            m_messagesInFlight.emplace(m_now + steps * Step, std::move(envelope));
        }
    }

    // Messages to a paused daemon stay queued, as in its socket.
    void deliver(std::size_t index)
    {
        for (auto entry = m_messagesInFlight.begin(); entry != m_messagesInFlight.end() && entry->first <= m_now;) {
            if (entry->second.to != index) {
                ++entry;
                continue;
            }
            const MessageInFlight envelope = std::move(entry->second);
            entry = m_messagesInFlight.erase(entry);
            handle(index, envelope);
        }
    }

    void handle(std::size_t index, const MessageInFlight &envelope)
    {
        Daemon &daemon = *m_daemons[index];
        if (const auto *digest = std::get_if<HealthDigest>(&envelope.message)) {
            const bool mayAct = index == m_owner && m_now >= m_ownerActsFrom;
            for (const auto &effect : daemon.owner.handleDigest(m_daemons[envelope.from]->source, *digest, mayAct, m_now)) {
                if (const auto *verdict = std::get_if<SendVerdict>(&effect)) {
                    sendMessage({envelope.from, index, m_epoch, verdict->verdict});
                }
            }
        } else if (const auto *verdict = std::get_if<Verdict>(&envelope.message)) {
            daemon.local.handleVerdict(envelope.epoch, *verdict, m_now);
        } else if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message)) {
            for (const auto &target : heartbeat->leavingTargets) {
                daemon.local.recordLeaving(target, m_now);
            }
        }
    }

    TargetEvidence evidenceOf(std::size_t daemon, const TargetName &target) const
    {
        TargetEvidence evidence;
        evidence.target = target;
        const bool cut = m_cutLink == std::pair(daemon, target);
        const bool unhealthy = m_unhealthy.contains(target);
        evidence.timeouts = cut ? 2 : 0;
        evidence.errors = unhealthy && !cut ? 3 : 0;
        evidence.good = unhealthy || cut ? 0 : 3;
        evidence.fast = evidence.good;
        evidence.logLatencySum = static_cast<float>(evidence.good * std::log(0.04));
        return evidence;
    }

    void act(std::size_t index)
    {
        Daemon &daemon = *m_daemons[index];
        while (!daemon.lists.empty() && daemon.lists.begin()->first <= m_now) {
            daemon.local.setTargets(orders, daemon.lists.begin()->second, m_now);
            daemon.lists.erase(daemon.lists.begin());
        }
        for (const auto &seen : daemon.local.view(orders, m_now).targets) {
            if (seen.weight > 0) {
                daemon.local.record(orders, {evidenceOf(index, seen.target.name)}, m_now);
            }
        }
        for (const auto &effect : daemon.local.tick(m_now)) {
            if (const auto *digest = std::get_if<SendDigest>(&effect)) {
                sendMessage({m_owner, index, m_epoch, digest->digest});
            }
        }
        daemon.owner.setTargets(orders, daemon.local.targets(orders), m_now);
        if (m_now >= daemon.nextHeartbeatAt) {
            daemon.nextHeartbeatAt = m_now + config::HeartbeatInterval;
            Heartbeat heartbeat;
            heartbeat.leavingTargets = daemon.local.leavingTargetsForHeartbeat(m_now);
            for (std::size_t to = 0; to < Daemons; ++to) {
                sendMessage({to, index, m_epoch, heartbeat});
            }
        }
    }

    bool listed(const TargetName &name) const
    {
        return std::any_of(m_list.begin(), m_list.end(), [&](const Target &target) { return target.name == name; });
    }

    void check() const
    {
        checkFloorAcrossDaemons();
        for (std::size_t index = 0; index < Daemons; ++index) {
            checkDaemon(*m_daemons[index]);
        }
    }

    // Counts every target that a verdict ejects at one or more daemons. The number of these targets must respect the floor,
    // whichever messages were late, lost or out of order. Once the effects of the last fault are over, draining targets
    // count too.
    void checkFloorAcrossDaemons() const
    {
        std::set<TargetName> out;
        for (const auto &daemon : m_daemons) {
            const bool verdictInForce = daemon->local.verdictInForce(orders, m_now);
            for (const auto &seen : daemon->local.view(orders, m_now).targets) {
                const bool ejected = seen.use == TargetUse::Ejected || seen.use == TargetUse::Trial;
                if (verdictInForce && ejected && listed(seen.target.name)) {
                    out.insert(seen.target.name);
                }
            }
        }
        const std::size_t allowed = maxTargetsOutOfUse(m_service.floor, Targets);
        RC_ASSERT(out.size() <= allowed);
        if (m_now - std::max(m_lastFaultAt, m_lastListingDelayAt) <= SettleTime) {
            return;
        }
        std::size_t leaving = 0;
        for (const auto &[key, since] : m_draining) {
            const bool old = m_now - since > SettleTime;
            if (old && listed(key.target)) {
                ++leaving;
                out.insert(key.target);
            }
        }
        RC_ASSERT(out.size() <= std::max(allowed, leaving));
    }

    void checkDaemon(const Daemon &daemon) const
    {
        const bool noRecentFault = m_now - m_lastFaultAt > MaxLeavingNoticeTime;
        const auto view = daemon.local.view(orders, m_now);
        std::size_t out = 0;
        std::size_t leaving = 0;
        for (const auto &seen : view.targets) {
            leaving += seen.use == TargetUse::Leaving ? 1 : 0;
            out += seen.use == TargetUse::Active || seen.use == TargetUse::SlowStart ? 0 : 1;
            const auto draining = m_draining.find({seen.target.name, seen.target.endpoint});
            if (noRecentFault && draining != m_draining.end() && m_now - draining->second > MaxLeavingNoticeTime) {
                RC_ASSERT(seen.use == TargetUse::Leaving);
            }
        }
        RC_ASSERT(out <= std::max(leaving, maxTargetsOutOfUse(m_service.floor, view.targets.size())));
    }

    std::mt19937_64 m_random;
    Service m_service;
    std::vector<Target> m_list;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::multimap<TimePoint, MessageInFlight> m_messagesInFlight;
    std::set<TargetName> m_unhealthy;
    std::map<LeavingTarget, TimePoint> m_draining; ///< draining targets, with the time at which each was first observed draining
    std::pair<std::size_t, TargetName> m_cutLink;
    double m_loss = 0;
    Duration m_delayMax = Step;
    std::uint64_t m_epoch = 1;
    std::size_t m_owner = 0;
    TimePoint m_ownerActsFrom;
    TimePoint m_lastFaultAt;
    TimePoint m_lastListingDelayAt; ///< last time at which the listing of a daemon was older than the platform's
    std::uint64_t m_lastTarget = 0;
    TimePoint m_now = TimePoint(1000s);
};
}

TEST_GROUP(HealthFuzz) {};

TEST(HealthFuzz, FloorAndLeavingHoldUnderFaults)
{
    fuzzSettings(DefaultRuns);
    const bool held = rc::check("floor and leaving targets hold under faults", [] {
        const auto floor = *rc::gen::element(0.3, 0.5, 0.8);
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
        const auto actions = *rc::gen::container<std::vector<Action>>(genAction());
        Simulation simulation(floor, seed);
        for (const auto &action : actions) {
            simulation.apply(action);
        }
        simulation.settle();
    });
    CHECK(held);
}
