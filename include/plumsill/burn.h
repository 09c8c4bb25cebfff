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

/// Burn rates of service-level objectives: how fast services and teams use up their error budgets.
namespace plumsill
{
/// Number of good and bad events under a service's objective.
struct BurnCounts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    auto operator<=>(const BurnCounts &) const = default;
    BurnCounts &operator+=(const BurnCounts &other);
    std::uint64_t total() const { return good + bad; }
};

/// Converts traffic counts. Refusals above a team's rate are neither good nor bad; other refusals are bad.
BurnCounts toBurnCounts(const TrafficCounts &counts);

using BurnTotals = std::map<TrafficKey, BurnCounts>;

BurnTotals toBurnTotals(const std::map<TrafficKey, TrafficCounts> &counts);

/// Events of one time span.
struct BurnSample {
    Duration age {}; ///< time from the end of the span to the reading
    Duration span {}; ///< length
    BurnTotals counts; ///< by service and team; without those that had no events

    auto operator<=>(const BurnSample &) const = default;
};

/// In-memory history of one daemon's counters: fine steps for one hour, coarse steps for three days.
class BurnHistory
{
public:
    /// Records cumulative totals. Calls within one fine step after the last recorded totals are ignored.
    void record(TimePoint now, const BurnTotals &totals);
    /// Samples without overlap, the oldest first.
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
    void moveAgedSlots(TimePoint now);
    void addToCoarse(const Slot &slot);

    std::vector<TrafficKey> m_series;
    std::map<TrafficKey, std::uint32_t> m_seriesNumbers;
    BurnTotals m_lastTotals;
    std::optional<TimePoint> m_lastTime;
    std::deque<Slot> m_fine;
    std::deque<Slot> m_coarse;
};

using ServiceObjectives = std::map<ServiceName, double>;

ServiceObjectives objectivesOf(const Document &document);

/// History of one daemon, as returned by GET /v1/history.
struct BurnReading {
    ServiceObjectives objectives;
    std::vector<BurnSample> samples;

    auto operator<=>(const BurnReading &) const = default;
};

/// JSON text of the form
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

/// Parses the text of historyJson().
BurnResult<BurnReading> parseHistory(const std::string &text);
/// Sums the plumsill_requests_total lines of a metrics page by service and team.
BurnTotals parseMetrics(const std::string &text);

/// Time window of the report.
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
/// Short name, such as "5m" or "3d".
const char *nameOf(BurnWindow window);

/// Urgency of a fired alert.
enum class BurnSeverity
{
    Page,
    Ticket,
};

/// Alert condition. It fires while the burn rates of both windows exceed the factor: the long window shows that the burn
/// is significant, the short one that it still lasts.
struct BurnCondition {
    BurnSeverity severity = BurnSeverity::Page;
    double factor = 1; ///< burn rate; at 1 the budget is used up exactly at the end of its period
    BurnWindow longWindow = BurnWindow::Hour;
    BurnWindow shortWindow = BurnWindow::FiveMinutes;

    auto operator<=>(const BurnCondition &) const = default;
};

/// All alert conditions.
const std::vector<BurnCondition> &burnConditions();
/// Text form, such as "page: 14.4x over 1h and 5m".
std::string toString(const BurnCondition &condition);

/// Events and burn rate of one window.
struct WindowBurn {
    BurnCounts counts;
    double burn = 0; ///< share of bad events, divided by the share that the objective allows

    auto operator<=>(const WindowBurn &) const = default;
};

/// Row of the report: a service, or one team's requests to it.
struct BurnRow {
    ServiceName service;
    std::optional<TeamName> team; ///< none: all teams
    double objective = 0; ///< share of events that must be good
    std::array<WindowBurn, BurnWindows> windows; ///< by BurnWindow
    double budgetLeft = 1; ///< remaining share of the error budget of the longest window; negative if overspent
    std::vector<BurnCondition> alerts; ///< conditions that have fired

    auto operator<=>(const BurnRow &) const = default;
    const WindowBurn &window(BurnWindow which) const { return windows[static_cast<std::size_t>(which)]; }
};

/// Point of a plot.
struct BurnPoint {
    Duration age {};
    double burn = 0;

    auto operator<=>(const BurnPoint &) const = default;
};

/// Burn rate of one service over time, the oldest point first.
struct BurnPlot {
    ServiceName service;
    Duration range {};
    std::vector<BurnPoint> points;

    auto operator<=>(const BurnPlot &) const = default;
};

/// Report over the readings of all daemons.
struct BurnReport {
    Duration covered {}; ///< age of the oldest sample
    std::vector<BurnRow> rows; ///< each service followed by its teams
    std::vector<BurnPlot> plots; ///< the last hour and the last three days of each service

    auto operator<=>(const BurnReport &) const = default;
};

/// Creates a report from the readings of all daemons. @p defaultObjective: objective of services without one.
BurnReport makeReport(const std::vector<BurnReading> &readings, double defaultObjective = config::DefaultObjective);

/// Report as a text table.
std::string reportText(const BurnReport &report);
/// Report as JSON.
std::string reportJson(const BurnReport &report);
/// Report as a self-contained HTML page with plots, without scripts or external resources.
std::string reportHtml(const BurnReport &report);
}
