#pragma once

#include "limits_oracle.h"

#include <plumsill/config.h>
#include <plumsill/fairqueue.h>

#include <functional>
#include <map>

/// Simple algorithms with which the limits and the fair queue are compared.
namespace plumsill::limits_fleet
{
/// Limits without owners. Either each of N daemons has rate/N and burst/N, or each has the full limits and reports its
/// admitted requests to the others by gossip, with a delay of one second.
class BaselineFleet
{
public:
    BaselineFleet(const std::vector<FleetTeam> &teams, unsigned daemons, bool gossip, bool wholeToken)
        : stats(teams.size())
        , m_daemons(daemons)
        , m_gossip(gossip)
    {
        for (const auto &team : teams) {
            const double burst = team.limits.burst / daemons;
            const TeamLimits share {team.limits.rate / daemons, wholeToken ? std::max(1.0, burst) : burst};
            const auto &local = gossip ? team.limits : share;
            m_ideal.push_back({team.limits, team.limits.burst, m_now});
            m_oracle.push_back({{team.limits, team.limits.burst, m_now}, -1e9});
            m_local.emplace_back(daemons, IdealBucket {local, local.burst, m_now});
        }
    }
    TimePoint now() const { return m_now; }
    void schedule(TimePoint at, std::function<void()> action) { m_events.emplace(at, std::move(action)); }
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }
    void arrive(std::size_t team, unsigned daemon)
    {
        const bool ideal = m_ideal[team].take(m_now);
        ++stats[team].arrived;
        stats[team].idealAdmitted += ideal ? 1 : 0;
        if (!m_local[team][daemon].take(m_now)) {
            ++stats[team].refused;
            stats[team].wrongful += ideal ? 1 : 0;
            return;
        }
        ++stats[team].admitted;
        m_oracle[team].admit(m_now);
        if (m_gossip) {
            schedule(m_now + config::HeartbeatInterval, [this, team, daemon] { spreadAdmission(team, daemon); });
        }
    }
    double overshoot() const
    {
        double worst = -1e9;
        for (const auto &oracle : m_oracle) {
            worst = std::max(worst, oracle.overshoot);
        }
        return worst;
    }

    std::vector<TeamStats> stats;

private:
    void spreadAdmission(std::size_t team, unsigned daemon)
    {
        for (unsigned other = 0; other < m_daemons; ++other) {
            if (other != daemon) {
                m_local[team][other].advance(m_now);
                m_local[team][other].level -= 1;
            }
        }
    }

    const unsigned m_daemons;
    const bool m_gossip;
    TimePoint m_now {};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<IdealBucket> m_ideal;
    std::vector<WindowOracle> m_oracle;
    std::vector<std::vector<IdealBucket>> m_local;
};

/// First-in first-out queue with which the fair queue is compared. Requests have the same deadlines in both.
class FifoQueue
{
public:
    void push(const QueuedRequest &request, TimePoint) { m_requests.push_back(request); }
    void expire(TimePoint now)
    {
        while (!m_requests.empty() && m_requests.front().deadline <= now) {
            m_requests.pop_front();
        }
    }
    std::optional<QueuedRequest> pop(TimePoint)
    {
        if (m_requests.empty()) {
            return std::nullopt;
        }
        const auto request = m_requests.front();
        m_requests.pop_front();
        return request;
    }

private:
    std::deque<QueuedRequest> m_requests;
};
}
