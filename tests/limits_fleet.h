#pragma once

#include "limits_oracle.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <sstream>

/// Daemons with the state machines of the team limits in simulated time, over a modelled network, clocks and ownership.
namespace plumsill::limits_fleet
{
using namespace std::chrono_literals;

struct FleetOptions {
    unsigned daemons = 4;
    std::uint64_t seed = 1;
    Duration minDelay = 500us;
    Duration maxDelay = 1500us;
    double loss = 0; ///< share of datagrams that are lost
    double duplicate = 0; ///< share of datagrams that are delivered twice
    double late = 0; ///< share of datagrams that are delayed by up to `maxLateDelay`
    std::optional<unsigned> unreliable; ///< `loss`, `duplicate` and `late` apply only to what this daemon sends; none: to all daemons
    Duration maxLateDelay = 800ms;
    double drift = 0; ///< maximum drift of each clock in either direction, as a share
    unsigned maxParts = config::TeamParts;
    bool countBytes = false;
};

/// Steps between an owner and a holder at which tests inject faults.
enum class FleetStep
{
    Grant,
    TokenReturn,
    HandOver,
    Spend,
};

struct DaemonStats {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

class LimitsFleet
{
public:
    LimitsFleet(const FleetOptions &options, std::vector<FleetTeam> teams)
        : m_options(options)
        , m_random(options.seed)
        , m_teams(std::move(teams))
        , m_stats(m_teams.size())
    {
        m_daemons.resize(options.daemons);
        for (unsigned i = 0; i < options.daemons; ++i) {
            auto &daemon = m_daemons[i];
            daemon.rate = 1 + options.drift * uniform(-1, 1);
            daemon.offset = fromSeconds(1000 + uniform(0, 50));
            start(i);
            schedule(m_now + fromSeconds(uniform(0, 0.01)), [this, i] { tickDaemon(i); });
        }
        for (std::size_t i = 0; i < m_teams.size(); ++i) {
            m_current.push_back(m_teams[i].limits);
            m_ideal.push_back({m_teams[i].limits, m_teams[i].limits.burst, m_now});
            m_windowOracles.push_back({{m_teams[i].limits, m_teams[i].limits.burst, m_now}, -1e9});
        }
        for (auto &daemon : m_daemons) {
            daemon.limits = m_current;
        }
    }

    TimePoint now() const { return m_now; }
    const FleetOptions &options() const { return m_options; }
    FleetOptions &options() { return m_options; }
    std::vector<TeamStats> &stats() { return m_stats; }
    const DaemonStats &daemonStats(unsigned i) const { return m_daemons[i].stats; }
    LimitsOwner &owner(unsigned i) { return *m_daemons[i].owner; }
    LimitsHolder &holder(unsigned i) { return *m_daemons[i].holder; }
    const TeamLimits &limits(std::size_t team) const { return m_current[team]; }
    std::size_t waiting() const { return m_waiters.size(); }
    double overshoot() const
    {
        double worst = -1e9;
        for (const auto &oracle : m_windowOracles) {
            worst = std::max(worst, oracle.overshoot);
        }
        return worst;
    }
    double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
    bool chance(double probability) { return uniform(0, 1) < probability; }
    unsigned pick(std::size_t count) { return static_cast<unsigned>(std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random)); }

    void schedule(TimePoint at, std::function<void()> action) { m_events.push({at, m_sequence++, std::move(action)}); }
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.at);
            event.action();
        }
        m_now = end;
    }
    void run(Duration duration) { runUntil(m_now + duration); }

    /// A request of a team arrives at daemon @p i.
    void arrive(std::size_t team, unsigned i)
    {
        auto &daemon = m_daemons[i];
        if (!daemon.alive || daemon.paused) {
            return;
        }
        const bool ideal = m_ideal[team].take(m_now);
        ++m_stats[team].arrived;
        m_stats[team].idealAdmitted += ideal ? 1 : 0;
        const auto local = localTime(i);
        const auto allowance = daemon.holder->allowance(m_teams[team].name, daemon.limits[team], local);
        if (allowance->takeAt(local)) {
            admit(team, i, m_now);
            return;
        }
        const auto waiter = m_nextWaiter++;
        m_waiters[waiter] = {team, i, ideal, m_now};
        apply(i, daemon.holder->requestToken(m_teams[team].name, daemon.limits[team], waiter, local + config::MaxTokenWait, local));
    }

    /// Called immediately after each step with the owner and the holder that take part in it.
    std::function<void(FleetStep, unsigned owner, unsigned holder)> onStep;

    void cut(unsigned from, unsigned to, bool cut) { cut ? void(m_cuts.insert({from, to})) : void(m_cuts.erase({from, to})); }
    void isolate(unsigned i, bool incoming, bool outgoing)
    {
        for (unsigned other = 0; other < m_daemons.size(); ++other) {
            if (other != i) {
                cut(other, i, incoming);
                cut(i, other, outgoing);
            }
        }
    }
    bool usable(unsigned i) const { return m_daemons[i].alive && !m_daemons[i].paused; }
    void pause(unsigned i) { m_daemons[i].paused = true; }
    /// Ends the pause of a daemon. Runs @p first before the deferred actions: after a pause, traffic threads may take tokens
    /// before the control thread processes what has arrived.
    void resume(
        unsigned i, const std::function<void()> &first = [] {})
    {
        if (!m_daemons[i].paused) {
            return;
        }
        m_daemons[i].paused = false;
        first();
        auto backlog = std::move(m_daemons[i].backlog);
        m_daemons[i].backlog.clear();
        for (auto &action : backlog) {
            action();
        }
    }
    void crash(unsigned i)
    {
        m_daemons[i].alive = false;
        m_daemons[i].backlog.clear();
        std::erase_if(m_waiters, [&](const auto &entry) {
            m_stats[entry.second.team].lost += entry.second.daemon == i ? 1 : 0;
            return entry.second.daemon == i;
        });
    }
    void restart(unsigned i)
    {
        crash(i);
        m_daemons[i].paused = false;
        start(i);
    }

    /// Current owner of a part.
    unsigned ownerOf(const PartKey &key) const
    {
        const auto known = m_tenures.find(key);
        return known == m_tenures.end() ? firstOwner(key) : known->second.back().owner;
    }
    /// Makes another daemon the owner of a part. The old owner stops acting now, the new one may act after @p wait.
    void reassign(const PartKey &key, unsigned owner, Duration wait = config::GrantLifetime + config::GrantExpiryMargin)
    {
        if (ownerOf(key) == owner) {
            return;
        }
        ++m_epoch;
        auto &tenures = tenuresOf(key);
        const bool waiting = m_now < tenures.back().from;
        tenures.push_back({owner, m_epoch, waiting ? std::max(tenures.back().from, m_now + wait) : m_now + wait});
        adoptLater(owner);
    }
    /// Planned stop of an owner: hands its parts over to @p successor without a wait. The messages may be lost.
    void handOver(unsigned from, unsigned successor)
    {
        std::vector<OwnedPart> owned;
        for (std::size_t team = 0; team < m_teams.size(); ++team) {
            for (unsigned part = 0; part < partCount(m_daemons[from].limits[team], m_options.maxParts); ++part) {
                const PartKey key {m_teams[team].name, part};
                if (ownerOf(key) == from) {
                    owned.push_back({key, m_daemons[from].limits[team], tenure(from, key), idOf(successor)});
                }
            }
        }
        apply(from, m_daemons[from].holder->release(localTime(from)));
        const auto messages = m_daemons[from].owner->handOver(owned, localTime(from));
        for (const auto &entry : owned) {
            reassign(entry.key, successor);
        }
        for (const auto &message : messages) {
            send(from, successor, message);
        }
    }

    /// Publishes a document with other limits for one team. Until no owner with the old document can act any more, the
    /// larger limits of both documents bound the admissions.
    void changeLimits(std::size_t team, const TeamLimits &limits)
    {
        const auto before = m_current[team];
        if (before == limits || m_changing) {
            return;
        }
        m_changing = true;
        m_current[team] = limits;
        const TeamLimits larger {std::max(before.rate, limits.rate), std::max(before.burst, limits.burst)};
        m_windowOracles[team].setLimits(larger, m_now);
        const auto confirmed = m_now + fromSeconds(uniform(0.1, 1));
        const auto lapsed = confirmed + config::ConfirmationLifetime;
        for (unsigned i = 0; i < m_daemons.size(); ++i) {
            const auto adopted = chance(0.3) ? lapsed : confirmed + fromSeconds(uniform(0, 0.2));
            schedule(adopted, [this, i, team, before, limits] { adoptLimits(i, {m_teams[team].name, before, limits}, team); });
        }
        schedule(lapsed + config::GrantLifetime + config::GrantExpiryMargin, [this, team, limits] {
            m_windowOracles[team].setLimits(limits, m_now);
            m_ideal[team].limits = limits;
            m_changing = false;
        });
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const Event &other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };
    struct Daemon {
        bool alive = false;
        bool paused = false;
        double rate = 1; ///< speed of the daemon's clock relative to the simulated time
        Duration offset {};
        std::uint64_t incarnation = 0;
        std::uint64_t epoch = 1;
        std::unique_ptr<LimitsOwner> owner;
        std::unique_ptr<LimitsHolder> holder;
        std::vector<TeamLimits> limits;
        std::vector<std::function<void()>> backlog;
        std::map<PartKey, std::uint64_t> handedOver; ///< first epoch of a tenure that began with a hand-over
        DaemonStats stats;
    };
    struct PartTenure {
        unsigned owner;
        std::uint64_t since;
        TimePoint from;
    };
    struct Waiter {
        std::size_t team;
        unsigned daemon;
        bool ideal;
        TimePoint arrival;
    };
    struct Link {
        unsigned from;
        unsigned to;

        auto operator<=>(const Link &) const = default;
    };

    TimePoint localTime(unsigned i) const { return toLocal(i, m_now); }
    TimePoint toLocal(unsigned i, TimePoint time) const
    {
        const auto &daemon = m_daemons[i];
        return TimePoint(daemon.offset + std::chrono::duration_cast<Duration>(time.time_since_epoch() * daemon.rate));
    }
    MemberId idOf(unsigned i) const { return {{"entry-" + std::to_string(i)}, m_daemons[i].incarnation}; }

    void start(unsigned i)
    {
        auto &daemon = m_daemons[i];
        daemon.alive = true;
        ++daemon.incarnation;
        daemon.epoch = m_epoch;
        daemon.owner = std::make_unique<LimitsOwner>(m_options.maxParts);
        daemon.holder = std::make_unique<LimitsHolder>(daemon.incarnation * m_daemons.size() + i, m_options.maxParts);
        daemon.holder->adoptEpoch(m_epoch);
        daemon.limits = m_current;
        // The parts belonged to the previous incarnation, so the new one may act only after the tokens granted before have expired.
        for (auto &[key, tenures] : m_tenures) {
            if (tenures.back().owner == i) {
                tenures.push_back({i, ++m_epoch, m_now + config::GrantLifetime + config::GrantExpiryMargin});
            }
        }
    }

    // Spreads the parts over the daemons. The first owner of every part has been acting since long before the start.
    unsigned firstOwner(const PartKey &key) const
    {
        const auto hash = std::hash<std::string>()(key.team.value) % 1009 + key.part * 7;
        return static_cast<unsigned>(hash % m_daemons.size());
    }
    std::vector<PartTenure> &tenuresOf(const PartKey &key)
    {
        auto &tenures = m_tenures[key];
        if (tenures.empty()) {
            tenures.push_back({firstOwner(key), 1, TimePoint(-1000s)});
        }
        return tenures;
    }
    Tenure tenure(unsigned i, const PartKey &key)
    {
        const auto &partTenure = tenuresOf(key).back();
        const auto known = m_daemons[i].handedOver.find(key);
        const bool byHandOver = known != m_daemons[i].handedOver.end() && known->second == partTenure.since;
        const bool isOwner = partTenure.owner == i && m_daemons[i].alive;
        return {isOwner && (m_now >= partTenure.from || byHandOver), partTenure.since,
                toLocal(i, byHandOver ? std::max(partTenure.from, m_now) : partTenure.from)};
    }
    unsigned viewedOwner(unsigned i, const PartKey &key)
    {
        unsigned owner = tenuresOf(key).front().owner;
        for (const auto &partTenure : tenuresOf(key)) {
            if (partTenure.since <= m_daemons[i].epoch) {
                owner = partTenure.owner;
            }
        }
        return owner;
    }
    void adoptLater(unsigned first)
    {
        const auto epoch = m_epoch;
        for (unsigned i = 0; i < m_daemons.size(); ++i) {
            const auto delay = i == first ? Duration(0) : fromSeconds(uniform(0, 0.3));
            schedule(m_now + delay, [this, i, epoch] {
                m_daemons[i].epoch = std::max(m_daemons[i].epoch, epoch);
                m_daemons[i].holder->adoptEpoch(epoch);
            });
        }
    }
    void adoptLimits(unsigned i, const LimitsChange &change, std::size_t team)
    {
        m_daemons[i].limits[team] = change.after;
        m_daemons[i].owner->limitsChanged(change, localTime(i));
        m_daemons[i].holder->limitsChanged(change);
    }

    void tickDaemon(unsigned i)
    {
        schedule(m_now + config::LimitsTick, [this, i] { tickDaemon(i); });
        if (usable(i)) {
            wake(i);
            m_daemons[i].owner->tick(localTime(i));
        }
    }
    void wake(unsigned i) { apply(i, m_daemons[i].holder->tick(localTime(i))); }

    void apply(unsigned i, const LimitsEffects &effects)
    {
        for (const auto &effect : effects) {
            std::visit([this, i](const auto &entry) { applyOne(i, entry); }, effect);
        }
        const auto next = m_daemons[i].holder->nextWake();
        if (next) {
            const auto wait = std::max(*next - localTime(i), Duration(0));
            schedule(m_now + wait + 1us, [this, i] {
                const auto due = m_daemons[i].holder->nextWake();
                if (usable(i) && due && *due <= localTime(i)) {
                    wake(i);
                }
            });
        }
    }
    void applyOne(unsigned i, const SendGrantRequest &effect) { send(i, viewedOwner(i, {effect.message.team, effect.message.part}), effect.message); }
    void applyOne(unsigned i, const SendTokenReturn &effect) { send(i, viewedOwner(i, {effect.message.team, effect.message.part}), effect.message); }
    void applyOne(unsigned, const Admit &effect)
    {
        for (const auto id : effect.waiters) {
            const auto waiter = m_waiters.extract(id).mapped();
            admit(waiter.team, waiter.daemon, waiter.arrival);
        }
    }
    void applyOne(unsigned, const Refuse &effect)
    {
        for (const auto id : effect.waiters) {
            const auto waiter = m_waiters.extract(id).mapped();
            ++m_stats[waiter.team].refused;
            m_stats[waiter.team].wrongful += waiter.ideal ? 1 : 0;
        }
    }
    void admit(std::size_t team, unsigned daemon, TimePoint arrival)
    {
        ++m_stats[team].admitted;
        m_stats[team].waits.push_back(m_now - arrival);
        m_windowOracles[team].admit(m_now);
        notifyStep(FleetStep::Spend, ownerOf({m_teams[team].name, 0}), daemon);
    }
    void notifyStep(FleetStep step, unsigned owner, unsigned holder)
    {
        if (onStep) {
            onStep(step, owner, holder);
        }
    }
    void recordSent(unsigned, unsigned, const GrantRequest &) { }
    void recordSent(unsigned from, unsigned to, const Grant &) { notifyStep(FleetStep::Grant, from, to); }
    void recordSent(unsigned from, unsigned to, const TokenReturn &) { notifyStep(FleetStep::TokenReturn, to, from); }
    void recordSent(unsigned from, unsigned to, const HandOver &) { notifyStep(FleetStep::HandOver, from, to); }

    template<class Body>
    void send(unsigned from, unsigned to, const Body &body)
    {
        auto &stats = m_daemons[from].stats;
        ++stats.messagesSent;
        if (m_options.countBytes) {
            const auto bytes = sizeOf(from, body);
            stats.bytesSent += bytes;
            m_daemons[to].stats.bytesReceived += bytes;
        }
        const auto epoch = m_daemons[from].epoch;
        const auto sender = idOf(from);
        const bool affected = m_options.unreliable.value_or(from) == from;
        const unsigned copies = affected && chance(m_options.duplicate) ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            if ((affected && chance(m_options.loss)) || m_cuts.contains({from, to})) {
                continue;
            }
            const double late = affected && chance(m_options.late) ? uniform(0, seconds(m_options.maxLateDelay)) : 0;
            const double delay = uniform(seconds(m_options.minDelay), seconds(m_options.maxDelay)) + late;
            schedule(m_now + fromSeconds(delay), [this, from, to, sender, epoch, body] { deliver(from, to, sender, epoch, body); });
        }
        recordSent(from, to, body);
    }
    template<class Body>
    void deliver(unsigned from, unsigned to, const MemberId &sender, std::uint64_t epoch, const Body &body)
    {
        auto &daemon = m_daemons[to];
        if (!daemon.alive) {
            return;
        }
        if (daemon.paused) {
            daemon.backlog.push_back([this, from, to, sender, epoch, body] { receive(from, to, sender, epoch, body); });
            return;
        }
        receive(from, to, sender, epoch, body);
    }
    std::size_t teamIndex(const TeamName &name) const
    {
        return static_cast<std::size_t>(std::find_if(m_teams.begin(), m_teams.end(), [&](const auto &team) { return team.name == name; }) - m_teams.begin());
    }
    void receive(unsigned from, unsigned to, const MemberId &sender, std::uint64_t, const GrantRequest &message)
    {
        auto &daemon = m_daemons[to];
        const auto &limits = daemon.limits[teamIndex(message.team)];
        const auto answer = daemon.owner->onGrantRequest(sender, message, limits, tenure(to, {message.team, message.part}), localTime(to));
        if (answer) {
            send(to, from, *answer);
        }
    }
    void receive(unsigned, unsigned to, const MemberId &, std::uint64_t epoch, const Grant &message)
    {
        apply(to, m_daemons[to].holder->onGrant(message, epoch, localTime(to)));
    }
    void receive(unsigned, unsigned to, const MemberId &sender, std::uint64_t, const TokenReturn &message)
    {
        m_daemons[to].owner->onTokenReturn(sender, message, localTime(to));
    }
    void receive(unsigned, unsigned to, const MemberId &, std::uint64_t epoch, const HandOver &message)
    {
        const PartKey key {message.team, message.part};
        auto granted = tenure(to, key);
        const auto &partTenure = tenuresOf(key).back();
        if (partTenure.owner != to) {
            return;
        }
        // After a hand-over, the new owner need not wait until the former owner's tokens have expired.
        if (!granted.mayAct) {
            granted = {true, partTenure.since, localTime(to)};
        }
        const auto &limits = m_daemons[to].limits[teamIndex(message.team)];
        if (m_daemons[to].owner->acceptHandOver(idOf(to), message, epoch, limits, granted, localTime(to))) {
            m_daemons[to].handedOver[key] = partTenure.since;
        }
    }

    template<class Body>
    std::size_t sizeOf(unsigned from, const Body &body)
    {
        std::ostringstream stream;
        cereal::BinaryOutputArchive archive(stream);
        Envelope envelope {idOf(from), {"10.0.0.100", 7000}, m_daemons[from].epoch, body};
        archive(envelope);
        return static_cast<std::size_t>(stream.tellp()) + config::SignatureBytes;
    }

    FleetOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now {};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_nextWaiter = 1;
    bool m_changing = false;
    std::priority_queue<Event> m_events;
    std::vector<FleetTeam> m_teams;
    std::vector<TeamLimits> m_current;
    std::vector<Daemon> m_daemons;
    std::vector<TeamStats> m_stats;
    std::vector<IdealBucket> m_ideal;
    std::vector<WindowOracle> m_windowOracles;
    std::map<PartKey, std::vector<PartTenure>> m_tenures;
    std::map<std::uint64_t, Waiter> m_waiters;
    std::set<Link> m_cuts;
};
}
