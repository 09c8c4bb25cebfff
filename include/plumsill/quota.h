#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// A team's rate over several schedulers: each gives out a share, in proportion to what is asked of it.
namespace plumsill
{
/// Rate and burst of a team over the whole fleet; a rate of zero sets no limit.
struct TeamRate {
    double rate = 0; ///< requests a second
    double burst = 0; ///< requests

    auto operator<=>(const TeamRate &) const = default;
};

/// Part of a team's rate that a scheduler works with.
struct QuotaPart {
    double pool = 0; ///< of the fleet's rate: what the schedulers that hear each other give out together
    double share = 0; ///< of the pool: what this scheduler gives out until the others are heard again

    auto operator<=>(const QuotaPart &) const = default;
};

/// Token bucket of one team as one scheduler sees it. The level is that of the whole pool, after what the others have
/// told of theirs; only what is left of it is divided anew each time, so no token is lost to a change of shares.
class TeamBucket
{
public:
    /// Takes a token, if one is due.
    bool take(TimePoint now);
    /// Puts a token back that was not used.
    void returnTokens();
    void setRate(const TeamRate &rate, TimePoint now);
    void setPart(const QuotaPart &part, TimePoint now);
    /// Tokens that another scheduler of the pool took.
    void addRemoteTaken(std::int32_t tokens, TimePoint now);
    /// What a scheduler that is heard for the first time believes the level to be: it may know of tokens that this one
    /// doesn't, such as those that the last scheduler of this zone gave out.
    void mergeRemoteLevel(std::uint32_t level, TimePoint now);
    /// Whole tokens of the pool that are left.
    std::uint32_t level(TimePoint now) const;
    /// Tokens that a daemon gave out by itself which asks this scheduler; they count as taken here.
    void takenByMember(std::uint32_t tokens, TimePoint now);
    /// Tokens taken here since the start; wraps around.
    std::uint32_t taken() const { return m_taken; }
    /// Time until a token is due for the next refused request; each call promises the token after the last promised one.
    Duration promise(TimePoint now);

private:
    void refill(TimePoint now);
    double poolRate() const { return m_rate.rate * m_part.pool; }
    double burst() const;

    TeamRate m_rate;
    QuotaPart m_part;
    double m_level = 0; // tokens of the pool
    double m_allowance = 0; // of these, tokens that this scheduler may take before it hears the others
    double m_promised = 0; // tokens told to refused requests
    std::uint32_t m_taken = 0;
    TimePoint m_at;
    std::optional<TimePoint> m_startedAt;
};

/// Requests of one team a second, recently.
class DemandRate
{
public:
    void add(TimePoint now);
    double value(TimePoint now) const;

private:
    double m_rate = 0;
    TimePoint m_at;
};

/// What one scheduler tells the others of the demand that it sees.
struct SchedulerDemand {
    unsigned members = 0; ///< daemons that ask it
    std::unordered_map<std::uint32_t, double> teams; ///< requests a second, by shortHash() of the name
};

/// Short name of a team in messages between schedulers.
std::uint32_t shortHash(const std::string &name);

/// This scheduler's part of a team's rate. @p registered: daemons of the fleet; those that no known scheduler serves
/// keep their part, since a scheduler that can't be seen may be giving it out. @p largest bounds the pool.
QuotaPart quotaPart(const TeamName &team, const SchedulerDemand &own, const std::vector<const SchedulerDemand *> &others, unsigned registered, double largest);
}
