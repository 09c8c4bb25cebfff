#include <plumsill/config.h>
#include <plumsill/limits.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
unsigned partCount(const TeamLimits &limits, unsigned maxParts)
{
    const double parts = std::floor(limits.burst / config::MinPartBurst);
    return static_cast<unsigned>(std::clamp(parts, 1.0, double(maxParts)));
}

TeamLimits partLimits(const TeamLimits &limits, std::uint32_t part, unsigned maxParts)
{
    const auto parts = partCount(limits, maxParts);
    return part < parts ? TeamLimits {limits.rate / parts, limits.burst / parts} : TeamLimits {};
}

// If all tokens of a grant are for waiting requests, they are used on receipt or after the delay, so a short lifetime
// suffices. The owner charges them at their expiry, which is soon, so the holder need not report that they were spent.
Duration grantLifetime(const GrantRequest &request, const Grant &grant)
{
    if (grant.tokens > request.waiting) {
        return config::GrantLifetime;
    }
    return config::WaitingTokenLifetime + std::chrono::milliseconds(grant.delayMilliseconds);
}

std::vector<LimitsChange> changedLimits(const Document &before, const Document &after)
{
    std::map<TeamName, LimitsChange> teams;
    for (const auto &team : before.teams) {
        teams[team.name].before = {team.rate, team.burst};
    }
    for (const auto &team : after.teams) {
        teams[team.name].after = {team.rate, team.burst};
    }
    std::vector<LimitsChange> changes;
    for (auto &[name, change] : teams) {
        change.team = name;
        if (change.before != change.after) {
            changes.push_back(change);
        }
    }
    return changes;
}

// Proof that the admissions in any window (x, x + t] are at most burst + rate * t:
// `level` is the level of a token bucket. A token is charged to it when it is reported as spent or expires, so never before
// it was spent. `level <= burst` always holds. Each admission in the window spends a token that was outstanding at x or was
// granted in the window. A grant requires `outstanding + tokens <= level` at the time from which it may be spent, which is
// the same as `tokens <= available`. `available` grows by the rate only. So the admissions are at most
// outstanding(x) + available(x) + rate * t = level(x) + rate * t <= burst + rate * t.
// The owner's clock may run fast, so the bucket refills slightly slower than the rate.
// Returned tokens only move from outstanding to available. A grant that expires without a report counts as spent at its
// expiry. Counting it as spent when it was granted would charge it too early and invalidate the proof.
PartBucket::PartBucket(const TeamLimits &limits, double level, TimePoint now)
    : m_limits(limits)
    , m_level(0)
    , m_time(now)
{
    setLevel(level);
}

void PartBucket::setLevel(double level)
{
    m_level = std::min(level, m_limits.burst);
    m_fullSince.reset();
    if (m_level == m_limits.burst) {
        m_fullSince = m_time;
    }
}

void PartBucket::refill(Duration passed, TimePoint from)
{
    const double tokens = refillRate() * seconds(passed);
    const double missing = m_limits.burst - m_level;
    if (tokens < missing || refillRate() <= 0) {
        m_level += tokens;
        return;
    }
    m_level = m_limits.burst;
    m_fullSince = from + fromSeconds(missing / refillRate());
}

void PartBucket::advance(TimePoint now)
{
    if (now <= m_time) {
        return;
    }
    const auto from = m_time;
    m_time = now;
    if (!m_fullSince) {
        refill(now - from, from);
    }
}

void PartBucket::setLimits(const TeamLimits &limits)
{
    if (limits == m_limits) {
        return;
    }
    m_limits = limits;
    setLevel(m_level);
}

// The bucket is charged only when tokens are reported as spent or expire, and it does not refill while it is full. If the
// outstanding and the requested tokens together exceed the burst, no refill can cover them, so no delay can be given.
std::optional<Duration> PartBucket::delayFor(double tokens) const
{
    if (m_outstanding + tokens > m_limits.burst) {
        return std::nullopt;
    }
    const double missing = m_outstanding + tokens - m_level;
    if (missing <= 0) {
        return Duration(0);
    }
    if (refillRate() <= 0) {
        return std::nullopt;
    }
    return fromSeconds(missing / refillRate());
}

void PartBucket::grant(double tokens)
{
    m_outstanding += tokens;
}

// The tokens were spent some time before the report arrived. If the bucket was full during that time, it discarded tokens
// that it would have kept if the report had arrived immediately. These tokens are added again.
void PartBucket::recordSpent(double tokens, Duration age)
{
    m_outstanding -= tokens;
    m_level -= tokens;
    if (!m_fullSince) {
        return;
    }
    const auto from = std::max(*m_fullSince, m_time - age);
    m_fullSince.reset();
    refill(m_time - from, from);
}

void PartBucket::returnTokens(double tokens)
{
    m_outstanding -= tokens;
}

void PartBucket::inherit(double balance, double outstanding)
{
    m_outstanding += outstanding;
    setLevel(m_level + balance + outstanding);
}
}
