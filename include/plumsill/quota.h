#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>
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

/// Token bucket of one team at one scheduler.
class TeamBucket
{
public:
    /// Takes a token, if one is due.
    bool take(TimePoint now);
    /// Puts a token back that was not used.
    void giveBack();
    void setRate(const TeamRate &rate, TimePoint now);
    /// Share of the fleet's rate that this bucket gives out.
    void setShare(double share, TimePoint now);
    /// Time until a token is due for the next refused request; each call promises the token after the last promised one.
    Duration promise(TimePoint now);

private:
    void refill(TimePoint now);
    double rate() const { return m_rate.rate * m_share; }
    double burst() const;

    TeamRate m_rate;
    double m_share = 0;
    double m_level = 0; // tokens
    double m_promised = 0; // tokens told to refused requests
    TimePoint m_at;
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

/// This scheduler's share of a team's rate. @p registered: daemons of the fleet; those that no known scheduler serves
/// keep their part, since a scheduler that can't be seen may be giving it out.
double quotaShare(const TeamName &team, const SchedulerDemand &own, const std::vector<const SchedulerDemand *> &others, unsigned registered);
}
