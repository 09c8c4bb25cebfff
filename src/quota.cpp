#include <plumsill/quota.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
namespace
{
using namespace std::chrono_literals;

// Refill is this much slower than the rate, so that a fast clock stays within it.
constexpr double RateMargin = 0.995;
constexpr auto DemandTime = 2s;
// Tokens that a scheduler takes beyond its allowance; a few of them are within what a digest's delay costs anyhow.
constexpr double AllowanceAhead = 2;
// Demand that each scheduler is taken to have at least, in requests a second and daemon, so that a team's first request there finds a token.
constexpr double LeastDemand = 0.02;
// Tokens that a team finds when all schedulers have just started; half of the slack that a fleet's limit has.
constexpr double StartTokens = 10;
constexpr auto StartTime = 4s;
// Requests are told to come back for tokens due within this time; later ones spread over it.
constexpr auto LongestPromise = 4s;
constexpr auto ShortestPromise = 50ms;
}

void TeamBucket::refill(TimePoint now)
{
    const double passed = seconds(std::max(now - m_at, Duration::zero()));
    m_at = std::max(m_at, now);
    const double tokens = passed * poolRate() * RateMargin;
    m_level = std::min(burst(), m_level + tokens);
    m_allowance = std::min(std::max(m_level, 0.0), m_allowance + tokens * m_part.share);
    m_promised = std::max(0.0, m_promised - tokens * m_part.share);
}

// A part of a small burst would round to nothing.
double TeamBucket::burst() const
{
    return std::max(1.0, m_rate.burst * m_part.pool);
}

// Where the pool holds a token, a scheduler may run ahead of its allowance a little: the others learn of it within
// their next digest, and the bucket's level pays for it.
bool TeamBucket::take(TimePoint now)
{
    if (m_rate.rate <= 0) {
        return true;
    }
    refill(now);
    if (m_level < 1 || m_allowance < 1 - AllowanceAhead) {
        return false;
    }
    m_level -= 1;
    m_allowance -= 1;
    ++m_taken;
    return true;
}

void TeamBucket::returnTokens()
{
    m_level = std::min(burst(), m_level + 1);
    m_allowance += 1;
    --m_taken;
}

void TeamBucket::setRate(const TeamRate &rate, TimePoint now)
{
    refill(now);
    m_rate = rate;
    m_level = std::min(m_level, burst());
}

void TeamBucket::setPart(const QuotaPart &part, TimePoint now)
{
    refill(now);
    m_startedAt = m_startedAt.value_or(now);
    // What was taken before a restart of all daemons is forgotten, so only a part of the burst is given out anew.
    if (now - *m_startedAt < StartTime && part.pool > m_part.pool) {
        m_level += (part.pool - m_part.pool) * std::min(StartTokens, m_rate.burst / 2);
    }
    m_part = part;
    m_level = std::min(m_level, burst());
    m_allowance = std::max(m_level, 0.0) * part.share;
}

void TeamBucket::addRemoteTaken(std::int32_t tokens, TimePoint now)
{
    refill(now);
    m_level -= tokens;
}

void TeamBucket::takenByMember(std::uint32_t tokens, TimePoint now)
{
    refill(now);
    m_level -= tokens;
    m_allowance -= tokens;
    m_taken += tokens;
}

void TeamBucket::mergeRemoteLevel(std::uint32_t level, TimePoint now)
{
    refill(now);
    m_level = std::min(m_level, static_cast<double>(level) + 1); // told in whole tokens
}

std::uint32_t TeamBucket::level(TimePoint now) const
{
    const double due = seconds(std::max(now - m_at, Duration::zero())) * poolRate() * RateMargin;
    return static_cast<std::uint32_t>(std::max(std::floor(std::min(burst(), m_level + due)), 0.0));
}

Duration TeamBucket::promise(TimePoint now)
{
    refill(now);
    const double perSecond = std::max(poolRate() * m_part.share, 0.01);
    const double most = perSecond * seconds(LongestPromise);
    m_promised = m_promised + 1 > most ? std::max(1.0, most / 2) : m_promised + 1;
    const double wait = (m_promised - std::min(m_level, 0.0)) / perSecond;
    return std::clamp<Duration>(fromSeconds(wait), ShortestPromise, LongestPromise);
}

void DemandRate::add(TimePoint now)
{
    m_rate = value(now) + 1 / seconds(DemandTime);
    m_at = now;
}

double DemandRate::value(TimePoint now) const
{
    return m_rate * std::exp(-seconds(std::max(now - m_at, Duration::zero())) / seconds(DemandTime));
}

std::uint32_t shortHash(const std::string &name)
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
}

QuotaPart quotaPart(const TeamName &team, const SchedulerDemand &own, const std::vector<const SchedulerDemand *> &others, unsigned registered, double largest)
{
    const auto hash = shortHash(team.value);
    const auto demandOf = [hash](const SchedulerDemand &demand) {
        const auto found = demand.teams.find(hash);
        return LeastDemand * demand.members + (found == demand.teams.end() ? 0.0 : found->second);
    };
    double members = own.members;
    double demand = demandOf(own);
    for (const auto *other : others) {
        members += other->members;
        demand += demandOf(*other);
    }
    const double fleet = std::max(members, static_cast<double>(registered));
    if (fleet <= 0 || demand <= 0) {
        return {};
    }
    return {std::min(members / fleet, largest), demandOf(own) / demand};
}
}
