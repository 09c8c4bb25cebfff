#pragma once

#include <plumsill/clock.h>
#include <plumsill/quota.h>
#include <plumsill/repeats.h>

#include <cstdint>
#include <map>
#include <optional>

/// Who gets the repeats of a service when there are fewer than are wished for.
namespace plumsill
{
enum class RepeatKind : std::uint8_t
{
    Retry, ///< the attempt before has ended
    Hedge, ///< the attempt before still runs
};

const char *toString(RepeatKind kind);

/// When a repeat would be answered, if it takes as long as usual.
enum class RepeatTiming : std::uint8_t
{
    InTime, ///< within the latency objective
    Late, ///< before the caller's deadline
    TooLate,
};

/// A repeat that a request asks for.
struct RepeatWish {
    unsigned priority = 0; ///< 0 is the highest
    RepeatKind kind = RepeatKind::Retry;
    RepeatTiming timing = RepeatTiming::InTime;

    auto operator<=>(const RepeatWish &) const = default;
};

/// Identifies the counts of one priority and kind.
struct RepeatClass {
    unsigned priority = 0;
    RepeatKind kind = RepeatKind::Retry;

    auto operator<=>(const RepeatClass &) const = default;
};

struct RepeatCounts {
    std::uint64_t allowed = 0;
    std::uint64_t refused = 0;

    auto operator<=>(const RepeatCounts &) const = default;
};

/// Change of a service's state that is worth a log line.
enum class RepeatChange : std::uint8_t
{
    BecameShort,
    Recovered,
};

/// Bound on the repeats of one service at one scheduler. While it is short, repeats go by priority, then to requests that can still
/// be answered in time; hedges come last.
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatBound &bound)
        : m_counter(bound)
    { }

    void setBound(const RepeatBound &bound) { m_counter.setBound(bound); }
    void recordRequest(TimePoint now) { m_counter.recordRequest(now); }
    /// Returns true if the repeat may be sent, and counts it.
    bool tryRepeat(const RepeatWish &wish, TimePoint now);
    /// Whether a repeat was refused recently.
    bool isShort(TimePoint now) const;
    /// Change since the last call; none if there was no change.
    std::optional<RepeatChange> takeChange(TimePoint now);
    double left(TimePoint now) { return m_counter.left(now); }
    const std::map<RepeatClass, RepeatCounts> &counts() const { return m_counts; }

private:
    bool decide(const RepeatWish &wish, TimePoint now);
    /// Repeats to keep for what goes before the wish.
    double reserved(const RepeatWish &wish, TimePoint now);
    /// Part of what is left that the retries of the first @p priorities need within the next window, if they grow by the factor @p margin.
    double neededForRetries(unsigned priorities, double margin, TimePoint now);
    void grantFloor(unsigned priority, TimePoint now);

    RepeatCounter m_counter;
    std::map<unsigned, DemandRate> m_retries; ///< recent wishes for retries that can be answered in time, by priority
    std::map<unsigned, double> m_floor; ///< repeats that are left to a priority while more urgent ones use the rest
    std::map<RepeatClass, RepeatCounts> m_counts;
    std::optional<TimePoint> m_refusedAt;
    bool m_reportedShort = false;
};
}
