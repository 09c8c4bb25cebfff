#pragma once

#include <plumsill/clock.h>
#include <plumsill/quota.h>
#include <plumsill/zone_messages.h>

#include <cstdint>
#include <optional>
#include <string_view>

/// Rates that targets in need name in their answers. Each limits the requests of the complete fleet to one target.
namespace plumsill
{
/// Parses a number in an answer's field; none where @p text is not a decimal number of at least 0.
std::optional<double> parseDecimal(std::string_view text);

/// The limit of one target as one scheduler knows it, and the tokens of it that are left. The schedulers share one level, like that of a
/// team's quota.
class TargetLimit
{
public:
    /// Records what an answer at @p answeredAt said: requests per second, or none for no limit. Returns true if that changes the
    /// limit. An older statement than the last one is ignored.
    bool record(std::optional<double> perSecond, TimePoint answeredAt, TimePoint now);
    /// Changes the part of the limit that this scheduler may use.
    void setPart(const QuotaPart &part, TimePoint now);
    /// Whether a request may be sent to the target now. True where there is no limit.
    bool available(TimePoint now) const;
    /// Counts a request to the target.
    void take(TimePoint now);
    /// Records requests that another scheduler sent.
    void addRemoteTaken(std::int32_t requests, TimePoint now);
    /// Records requests that a daemon of this scheduler's zone placed by itself.
    void addMemberTaken(std::uint32_t requests, TimePoint now);

    /// Requests per second; none without a limit.
    std::optional<double> perSecond() const { return m_perSecond; }
    /// What to report to other daemons; none if the target has not named or ended a limit recently.
    std::optional<NamedLimit> report(std::uint32_t target, TimePoint now) const;

private:
    std::optional<double> m_perSecond;
    std::optional<TimePoint> m_statedAt; ///< time of the newest answer that named or ended a limit
    TeamBucket m_bucket;
    QuotaPart m_part;
};
}
