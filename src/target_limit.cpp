#include <plumsill/target_limit.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace plumsill
{
namespace
{
using namespace std::chrono_literals;

// Lowest rate that is used, so that a target which allows nothing is asked again from time to time whether that still holds.
constexpr double MinPerSecond = 0.25;
// Requests that may be sent at once, as time of the limit.
constexpr auto BurstTime = 500ms;
// Time for which the end of a limit is reported.
constexpr auto EndReportTime = 5s;

TeamRate rateOf(double perSecond)
{
    const double rate = std::max(perSecond, MinPerSecond);
    return {rate, std::max(1.0, rate * seconds(BurstTime))};
}
}

std::optional<double> parseDecimal(std::string_view text)
{
    double perSecond = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), perSecond, std::chars_format::fixed);
    const bool valid = error == std::errc() && end == text.data() + text.size() && std::isfinite(perSecond) && perSecond >= 0;
    return valid ? std::optional(perSecond) : std::nullopt;
}

bool TargetLimit::record(std::optional<double> perSecond, TimePoint answeredAt, TimePoint now)
{
    if (m_statedAt && answeredAt <= *m_statedAt) {
        return false;
    }
    if (!perSecond && !m_perSecond) {
        return false;
    }
    const bool changed = perSecond != m_perSecond;
    m_statedAt = answeredAt;
    if (perSecond && !m_perSecond) {
        const std::uint32_t taken = m_bucket.taken();
        m_bucket = TeamBucket(taken);
        m_bucket.setRate(rateOf(*perSecond), now);
        m_bucket.setPart(m_part, now);
    } else if (perSecond && changed) {
        m_bucket.setRate(rateOf(*perSecond), now);
    }
    m_perSecond = perSecond;
    return changed;
}

void TargetLimit::setPart(const QuotaPart &part, TimePoint now)
{
    m_part = part;
    if (m_perSecond) {
        m_bucket.setPart(part, now);
    }
}

bool TargetLimit::available(TimePoint now) const
{
    if (!m_perSecond) {
        return true;
    }
    TeamBucket bucket = m_bucket;
    return bucket.take(now);
}

void TargetLimit::take(TimePoint now)
{
    if (m_perSecond) {
        m_bucket.take(now);
    }
}

void TargetLimit::addRemoteTaken(std::int32_t requests, TimePoint now)
{
    if (m_perSecond) {
        m_bucket.addRemoteTaken(requests, now);
    }
}

void TargetLimit::addMemberTaken(std::uint32_t requests, TimePoint now)
{
    if (m_perSecond) {
        m_bucket.addMemberTaken(requests, now);
    }
}

std::optional<NamedLimit> TargetLimit::report(std::uint32_t target, TimePoint now) const
{
    if (!m_statedAt || (!m_perSecond && now - *m_statedAt > EndReportTime)) {
        return std::nullopt;
    }
    return NamedLimit {target, m_perSecond.has_value(), m_perSecond.value_or(0), millisecondsRoundedUp(now - *m_statedAt), m_bucket.taken()};
}
}
