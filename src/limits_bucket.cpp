#include <plumsill/config.h>
#include <plumsill/limits.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
unsigned partCount(const TeamLimits &limits, unsigned most)
{
    const double parts = std::floor(limits.burst / config::MinPartBurst);
    return static_cast<unsigned>(std::clamp(parts, 1.0, double(most)));
}

TeamLimits partLimits(const TeamLimits &limits, std::uint32_t part, unsigned most)
{
    const auto parts = partCount(limits, most);
    return part < parts ? TeamLimits {limits.rate / parts, limits.burst / parts} : TeamLimits {};
}

// Tokens that were granted for waiting requests alone are used on receipt. With a short lifetime they need no report: the
// owner charges them soon by itself.
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

// Why admissions in any window (x, x + t] are at most burst + rate * t.
// `filled` is a token bucket to which every spending is charged when it is reported or expires, so never before it
// happened, and `filled <= burst` always. Each admission in the window spends a token that was outstanding at x or was
// granted in the window. A grant needs `outstanding + tokens <= filled` at the time from which it may be spent; that
// is `tokens <= available`, and available grows by rate alone. So the admissions are at most
// outstanding(x) + available(x) + rate * t = filled(x) + rate * t <= burst + rate * t.
// The owner's clock may run fast, so the bucket refills a little slower than the rate.
// Tokens that come back only move from outstanding to available. An early charge would break the first step, which is
// why a grant that expires unreported counts as spent at its expiry and not when it was granted.
PartBucket::PartBucket(const TeamLimits &limits, double filled, TimePoint now)
    : m_limits(limits)
    , m_filled(0)
    , m_time(now)
{
    fillTo(filled);
}

void PartBucket::fillTo(double level)
{
    m_filled = std::min(level, m_limits.burst);
    m_fullSince.reset();
    if (m_filled == m_limits.burst) {
        m_fullSince = m_time;
    }
}

void PartBucket::refill(Duration passed, TimePoint from)
{
    const double tokens = refillRate() * seconds(passed);
    const double missing = m_limits.burst - m_filled;
    if (tokens < missing || refillRate() <= 0) {
        m_filled += tokens;
        return;
    }
    m_filled = m_limits.burst;
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
    fillTo(m_filled);
}

// A bucket that is full stops refilling until a spending is reported, so no more than the burst can be promised ahead.
std::optional<Duration> PartBucket::delayFor(double tokens) const
{
    if (m_outstanding + tokens > m_limits.burst) {
        return std::nullopt;
    }
    const double missing = m_outstanding + tokens - m_filled;
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

// A report tells of a spending some time ago. While the bucket was full since then, it lost refill that it would have
// kept had it known: that much comes back, as if the report had come at once.
void PartBucket::spent(double tokens, Duration age)
{
    m_outstanding -= tokens;
    m_filled -= tokens;
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
    fillTo(m_filled + balance + outstanding);
}
}
