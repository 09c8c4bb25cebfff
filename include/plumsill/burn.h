#pragma once

#include <plumsill/clock.h>
#include <plumsill/config.h>
#include <plumsill/document.h>
#include <plumsill/metrics.h>
#include <plumsill/types.h>

#include <boost/outcome/result.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Service-level burn: how fast services and teams use up their error budgets.
namespace plumsill
{
/// Events that count for or against a service's objective.
struct BurnCounts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    auto operator<=>(const BurnCounts &) const = default;
    BurnCounts &operator+=(const BurnCounts &other);
    std::uint64_t total() const { return good + bad; }
};

/// Refusals above a team's rate are neither good nor bad; refusals without cause are bad.
BurnCounts toBurnCounts(const TrafficCounts &counts);

using BurnTotals = std::map<TrafficKey, BurnCounts>;

BurnTotals toBurnTotals(const std::map<TrafficKey, TrafficCounts> &counts);

/// What happened in one span of time.
struct BurnSample {
    Duration age {}; ///< from the span's end to the reading
    Duration span {};
    BurnTotals counts; ///< without series that had no event

    auto operator<=>(const BurnSample &) const = default;
};

/// History of one daemon's counters in memory: fine steps for an hour, coarse ones for three days.
class BurnHistory
{
public:
    /// Takes cumulative totals; does nothing until a fine step has passed since the last ones.
    void record(TimePoint now, const BurnTotals &totals);
    /// Oldest first, without overlap.
    std::vector<BurnSample> samples(TimePoint now) const;

private:
    struct Entry {
        std::uint32_t series = 0;
        std::uint32_t good = 0;
        std::uint32_t bad = 0;
    };
    struct Slot {
        TimePoint begin;
        TimePoint end;
        std::vector<Entry> entries;
    };

    Slot nextSlot(TimePoint now, const BurnTotals &totals);
    std::uint32_t seriesOf(const TrafficKey &key);
    std::uint32_t addSeries(const TrafficKey &key);
    void ageFineSlots(TimePoint now);
    void addToCoarse(const Slot &slot);

    std::vector<TrafficKey> m_series;
    std::map<TrafficKey, std::uint32_t> m_numbers;
    BurnTotals m_last;
    std::optional<TimePoint> m_lastTime;
    std::deque<Slot> m_fine;
    std::deque<Slot> m_coarse;
};

using ServiceObjectives = std::map<ServiceName, double>;

ServiceObjectives objectivesOf(const Document &document);

/// What one daemon answers at GET /v1/history.
struct BurnReading {
    ServiceObjectives objectives;
    std::vector<BurnSample> samples;

    auto operator<=>(const BurnReading &) const = default;
};

/// {"interval_s":5, "objectives":{SERVICE:0.999,..}, "series":[{"service":..,"team":..},..],
///  "samples":[{"age_s":..,"span_s":..,"counts":[[SERIES,GOOD,BAD],..]},..]}
std::string historyJson(const BurnReading &reading);

enum class BurnError
{
    NotJson,
    WrongShape,
};

const char *toString(BurnError error);

template<class T>
using BurnResult = boost::outcome_v2::result<T, BurnError>;

BurnResult<BurnReading> parseHistory(const std::string &text);
/// Totals of the plumsill_requests_total lines of a metrics page.
BurnTotals parseMetrics(const std::string &text);

/// A window of the report.
enum class BurnWindow
{
    FiveMinutes,
    HalfHour,
    Hour,
    SixHours,
    ThreeDays,
};

inline constexpr std::size_t BurnWindows = 5;

Duration lengthOf(BurnWindow window);
const char *nameOf(BurnWindow window);

/// How a fired alert reaches people.
enum class BurnSeverity
{
    Page,
    Ticket,
};

/// Fires while both windows burn faster than the factor: the long one shows weight, the short one that it lasts.
struct BurnCondition {
    BurnSeverity severity = BurnSeverity::Page;
    double factor = 1; ///< 1 uses up the budget exactly by the end of its period
    BurnWindow longWindow = BurnWindow::Hour;
    BurnWindow shortWindow = BurnWindow::FiveMinutes;

    auto operator<=>(const BurnCondition &) const = default;
};

const std::vector<BurnCondition> &burnConditions();
/// "page: 14.4x over 1h and 5m".
std::string toString(const BurnCondition &condition);

struct WindowBurn {
    BurnCounts counts;
    double burn = 0; ///< share of bad events over the share that the objective allows

    auto operator<=>(const WindowBurn &) const = default;
};

/// One service, or one team's part of it.
struct BurnRow {
    ServiceName service;
    std::optional<TeamName> team; ///< none: the whole service
    double objective = 0;
    std::array<WindowBurn, BurnWindows> windows; ///< by BurnWindow
    double budgetLeft = 1; ///< share of the error budget of the longest window; negative: overspent
    std::vector<BurnCondition> alerts; ///< fired

    auto operator<=>(const BurnRow &) const = default;
    const WindowBurn &window(BurnWindow which) const { return windows[static_cast<std::size_t>(which)]; }
};

/// A point of a plot.
struct BurnPoint {
    Duration age {};
    double burn = 0;

    auto operator<=>(const BurnPoint &) const = default;
};

/// Burn of one service over time, oldest first.
struct BurnPlot {
    ServiceName service;
    Duration range {};
    std::vector<BurnPoint> points;

    auto operator<=>(const BurnPlot &) const = default;
};

struct BurnReport {
    Duration covered {}; ///< age of the oldest sample
    std::vector<BurnRow> rows; ///< each service followed by its teams
    std::vector<BurnPlot> plots; ///< the last hour and the last three days of each service

    auto operator<=>(const BurnReport &) const = default;
};

/// Sums the readings of all daemons.
BurnReport makeReport(const std::vector<BurnReading> &readings, double defaultObjective = config::DefaultObjective);

std::string reportText(const BurnReport &report);
std::string reportJson(const BurnReport &report);
/// One page with plots, without scripts or anything fetched.
std::string reportHtml(const BurnReport &report);
}
