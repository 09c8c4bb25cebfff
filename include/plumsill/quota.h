#pragma once

#include <plumsill/clock.h>
#include <plumsill/config.h>
#include <plumsill/types.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Division of a team's rate among several schedulers: each grants tokens in proportion to the demand that it sees.
namespace plumsill
{
/// Rate and burst of a team over the complete fleet. A rate of zero means no limit.
struct TeamRate {
    double rate = 0; ///< requests per second
    double burst = 0; ///< requests

    auto operator<=>(const TeamRate &) const = default;
};

/// Fraction of a team's rate that a scheduler may grant.
struct QuotaPart {
    double pool = 0; ///< fraction of the team's rate that is granted by all schedulers in contact (those that receive each other's digests)
    double share = 0; ///< fraction of the pool that this scheduler grants until the next digests of the others arrive

    auto operator<=>(const QuotaPart &) const = default;
};

/// Token bucket of one team as one scheduler sees it. The level is that of the complete pool, reduced by the tokens that
/// the other schedulers report as taken. Only the remaining level is divided by the shares, so that no token is
/// lost when the shares change.
class TeamBucket
{
public:
    /// @p taken: value from which the number of taken tokens counts on.
    explicit TeamBucket(std::uint32_t taken = 0)
        : m_taken(taken)
    { }
    /// Takes a token; returns false if none is available beyond @p reserved tokens of this scheduler's part.
    bool take(TimePoint now, double reserved = 0);
    /// Whether requests arrive here faster than this scheduler's part of the rate. @p demand: requests per second.
    bool aboveRate(double demand) const { return m_rate.rate > 0 && demand > poolRate() * m_part.share * config::AboveRateFactor; }
    /// Returns one token that was taken and not used.
    void returnTokens();
    /// Changes the rate and the burst.
    void setRate(const TeamRate &rate, TimePoint now);
    /// Changes the part of the rate that this scheduler may grant, and its share of the remaining tokens.
    void setPart(const QuotaPart &part, TimePoint now);
    /// Records that this scheduler has stood still until now. The reports of that time are still to come.
    void recordPause(TimePoint now);
    /// Records tokens that another scheduler of the pool took.
    void addRemoteTaken(std::int32_t tokens, TimePoint now);
    /// Begins the time in which this scheduler takes over from another one: its own level means nothing until another
    /// scheduler of the pool has reported one.
    void beginTakeOver();
    /// Ends that time.
    void endTakeOver()
    {
        m_reportedLevel.reset();
        m_takesOver = false;
    }
    /// Sets the level to the lowest one that the other schedulers report in their first digests. They know of tokens that this
    /// scheduler does not, such as those granted by the previous scheduler of this zone. After the take-over a report can
    /// only lower the level.
    void mergeRemoteLevel(std::uint32_t level, TimePoint now);
    /// Remaining whole tokens of the pool.
    std::uint32_t level(TimePoint now) const;
    /// Records tokens that a member of this scheduler granted by itself. They count as taken here.
    void addMemberTaken(std::uint32_t tokens, TimePoint now);
    /// Tokens taken here since the start of the daemon; wraps around.
    std::uint32_t taken() const { return m_taken; }
    /// Retry delay for a refused request. Each call reserves the token after the last reserved one, so that refused requests
    /// return at different times.
    Duration nextRetryDelay(TimePoint now);

private:
    void refill(TimePoint now);
    void capLevel(TimePoint now);
    void spend(double tokens);
    double poolRate() const { return m_rate.rate * m_part.pool; }
    double burst() const;

    TeamRate m_rate;
    QuotaPart m_part;
    double m_level = 0; // tokens of the pool
    double m_allowance = 0; // tokens of m_level that this scheduler may take before the next digests of the others
    double m_cutOff = 0; // tokens that the level has lost since a pause because it was full
    TimePoint m_lateReportsUntil; // time until which reports of a pause are expected
    double m_announcedTokens = 0; // tokens that refused requests were told to wait for
    std::uint32_t m_taken;
    bool m_takesOver = false;
    std::optional<double> m_reportedLevel; // tokens of the complete pool by the reports of the others, during the take-over
    TimePoint m_at;
    std::optional<TimePoint> m_startedAt;
};

/// Running counts in the reports of another scheduler, by team or target.
class ReportedCounts
{
public:
    /// Begins a report received at @p now. After a silence of @p lifetime the counts start anew: the sender has spent its own part meanwhile,
    /// which was reserved for it.
    void beginReport(Duration lifetime, TimePoint now);
    /// Increase of a count since the last report; none where this is the first one that counts.
    std::optional<std::uint32_t> increase(std::uint32_t key, std::uint32_t count);

private:
    std::unordered_map<std::uint32_t, std::uint32_t> m_counts;
    TimePoint m_reportedAt;
};

/// Recent request rate of one team, averaged with exponential decay.
class DemandRate
{
public:
    /// Counts a request.
    void add(TimePoint now);
    /// Requests per second.
    double value(TimePoint now) const;

private:
    double m_rate = 0;
    TimePoint m_at;
};

/// Demand that one scheduler sees and reports to the others.
struct SchedulerDemand {
    unsigned members = 0; ///< daemons that use the scheduler
    std::unordered_map<std::uint32_t, double> teams; ///< requests per second, by shortHash() of the team name
};

/// 32-bit hash that stands for a name in messages between schedulers.
std::uint32_t shortHash(const std::string &name);

/// This scheduler's part of a team's rate. @p registered: number of daemons of the fleet. Daemons
/// that no known scheduler serves reduce the pool by their share, since a scheduler that cannot be reached may grant it.
/// @p maxPool: upper bound of the pool.
QuotaPart quotaPart(const TeamName &team, const SchedulerDemand &own, const std::vector<const SchedulerDemand *> &others, unsigned registered, double maxPool);
}
