#include <plumsill/quota.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace plumsill
{
namespace
{
using namespace std::chrono_literals;

// Factor on the refill rate, which keeps a daemon with a fast clock within the rate.
constexpr double RateMargin = 0.995;
constexpr auto DemandTime = 2s; // time constant of DemandRate
// Tokens that a scheduler may take beyond its allowance. The resulting excess over the team's rate is small
// compared with the excess that the delay of digests causes.
constexpr double MaxAllowanceOverdraft = 2;
// Minimum demand that is assumed for each scheduler, in requests per second and daemon, so that the
// first request of a team at a scheduler finds a token.
constexpr double MinMemberDemand = 0.02;
// Tokens that a team has when all schedulers have just started: half of the number by which a fleet may exceed a team's rate
// and burst.
constexpr double StartUpTokens = 10;
constexpr auto StartUpTime = 4s;
// Time after a pause in which the reports that were sent during it are received.
constexpr auto LateReportTime = 500ms;
// Bounds of the retry delay. Delays above the maximum are replaced by delays spread between half of the maximum and the
// maximum.
constexpr auto MaxRetryDelay = 4s;
constexpr auto MinRetryDelay = 50ms;
}

void TeamBucket::refill(TimePoint now)
{
    const double elapsed = seconds(std::max(now - m_at, Duration::zero()));
    m_at = std::max(m_at, now);
    const double tokens = elapsed * poolRate() * RateMargin;
    m_level += tokens;
    capLevel(now);
    m_allowance = std::min(std::max(m_level, 0.0), m_allowance + tokens * m_part.share);
    m_announcedTokens = std::max(0.0, m_announcedTokens - tokens * m_part.share);
}

void TeamBucket::capLevel(TimePoint now)
{
    m_cutOff = now < m_lateReportsUntil ? m_cutOff + std::max(0.0, m_level - burst()) : 0;
    m_level = std::min(m_level, burst());
}

void TeamBucket::recordPause(TimePoint now)
{
    m_lateReportsUntil = now + LateReportTime;
    m_cutOff = 0;
    refill(now);
}

// At least one token: a part of a small burst may be less than one, and take() would then never find a token.
double TeamBucket::burst() const
{
    return std::max(1.0, m_rate.burst * m_part.pool);
}

// While the pool holds a token, a scheduler may exceed its allowance by MaxAllowanceOverdraft. The other schedulers
// receive the number of taken tokens in the next digest, and the level of the pool falls accordingly.
bool TeamBucket::take(TimePoint now, double reserved)
{
    if (m_rate.rate <= 0) {
        return true;
    }
    refill(now);
    // Other schedulers reserve their parts of the pool for the same priorities, so the level is to hold the parts of all.
    const double ofPool = m_part.share > 0 ? std::min(reserved / m_part.share, burst() * config::MaxReservedShare) : 0;
    if (m_level < 1 + ofPool || m_allowance < 1 - MaxAllowanceOverdraft + ofPool * m_part.share) {
        return false;
    }
    spend(1);
    m_allowance -= 1;
    ++m_taken;
    return true;
}

void TeamBucket::spend(double tokens)
{
    m_level -= tokens;
    if (m_reportedLevel) {
        *m_reportedLevel -= tokens;
    }
}

void TeamBucket::returnTokens()
{
    spend(-1);
    m_level = std::min(burst(), m_level);
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
    // Tokens taken before a restart of all daemons are unknown, so only a part of the burst is granted again.
    if (now - *m_startedAt < StartUpTime && part.pool > m_part.pool) {
        m_level += (part.pool - m_part.pool) * std::min(StartUpTokens, m_rate.burst / 2);
    }
    m_part = part;
    if (m_reportedLevel) {
        m_level = std::max(m_level, *m_reportedLevel);
    }
    capLevel(now);
    m_allowance = std::max(m_level, 0.0) * part.share;
}

// After a pause, the reports of its whole time arrive at once. The bucket would not have been full, and would have lost no tokens, had the
// reported ones been subtracted when they were taken.
void TeamBucket::addRemoteTaken(std::int32_t tokens, TimePoint now)
{
    refill(now);
    const double covered = std::clamp(static_cast<double>(tokens), 0.0, m_cutOff);
    m_cutOff -= covered;
    spend(tokens);
    m_level += covered;
}

void TeamBucket::addMemberTaken(std::uint32_t tokens, TimePoint now)
{
    refill(now);
    spend(tokens);
    m_allowance -= tokens;
    m_taken += tokens;
}

void TeamBucket::mergeRemoteLevel(std::uint32_t level, TimePoint now)
{
    refill(now);
    if (!m_takesOver) {
        m_level = std::min(m_level, static_cast<double>(level) + 1); // the reported level is rounded down to whole tokens
        return;
    }
    const double reported = level;
    m_reportedLevel = std::min(m_reportedLevel.value_or(reported), reported);
    m_level = std::min(*m_reportedLevel, burst());
}

void TeamBucket::beginTakeOver()
{
    m_takesOver = true;
    m_reportedLevel.reset();
}

std::uint32_t TeamBucket::level(TimePoint now) const
{
    const double due = seconds(std::max(now - m_at, Duration::zero())) * poolRate() * RateMargin;
    return static_cast<std::uint32_t>(std::max(std::floor(std::min(burst(), m_level + due)), 0.0));
}

Duration TeamBucket::nextRetryDelay(TimePoint now)
{
    refill(now);
    const double perSecond = std::max(poolRate() * m_part.share, 0.01);
    const double maxAnnounced = perSecond * seconds(MaxRetryDelay);
    m_announcedTokens = m_announcedTokens + 1 > maxAnnounced ? std::max(1.0, maxAnnounced / 2) : m_announcedTokens + 1;
    const double wait = (m_announcedTokens - std::min(m_level, 0.0)) / perSecond;
    return std::clamp<Duration>(fromSeconds(wait), MinRetryDelay, MaxRetryDelay);
}

void ReportedCounts::beginReport(Duration lifetime, TimePoint now)
{
    if (now - m_reportedAt > lifetime) {
        m_counts.clear();
    }
    m_reportedAt = now;
}

std::optional<std::uint32_t> ReportedCounts::increase(std::uint32_t key, std::uint32_t count)
{
    const auto [known, first] = m_counts.emplace(key, count);
    return first ? std::nullopt : std::optional(count - std::exchange(known->second, count));
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

QuotaPart quotaPart(const TeamName &team, const SchedulerDemand &own, const std::vector<const SchedulerDemand *> &others, unsigned registered, double maxPool)
{
    const auto hash = shortHash(team.value);
    const auto demandOf = [hash](const SchedulerDemand &demand) {
        const auto found = demand.teams.find(hash);
        return MinMemberDemand * demand.members + (found == demand.teams.end() ? 0.0 : found->second);
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
    return {std::min(members / fleet, maxPool), demandOf(own) / demand};
}
}
