#include <plumsill/burn.h>

#include <algorithm>
#include <limits>
#include <set>

namespace plumsill
{
namespace
{
constexpr const char *OverflowName = "(others)";
constexpr double MinBudget = 1e-9; // keeps the burn rate finite for an objective of 1
constexpr std::array Windows {
    BurnWindow::FiveMinutes, BurnWindow::HalfHour, BurnWindow::Hour, BurnWindow::SixHours, BurnWindow::ThreeDays,
};
constexpr std::size_t HourPlotPoints = 60;
constexpr std::size_t ThreeDayPlotPoints = 72;

std::uint32_t saturated(std::uint64_t count)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(count, std::numeric_limits<std::uint32_t>::max()));
}

// A counter that decreased was reset by a restart of its daemon, so all of its events are new.
std::uint64_t increase(std::uint64_t before, std::uint64_t now)
{
    return now >= before ? now - before : now;
}

BurnCounts increase(const BurnCounts &before, const BurnCounts &now)
{
    return {increase(before.good, now.good), increase(before.bad, now.bad)};
}
}

BurnCounts &BurnCounts::operator+=(const BurnCounts &other)
{
    good += other.good;
    bad += other.bad;
    return *this;
}

BurnCounts toBurnCounts(const TrafficCounts &counts)
{
    return {counts.good, counts.bad + counts.ownerUnreachable + counts.notTrusted};
}

BurnTotals toBurnTotals(const std::map<TrafficKey, TrafficCounts> &counts)
{
    BurnTotals totals;
    for (const auto &[key, count] : counts) {
        totals[key] = toBurnCounts(count);
    }
    return totals;
}

ServiceObjectives objectivesOf(const Document &document)
{
    ServiceObjectives objectives;
    for (const auto &service : document.services) {
        objectives[service.name] = service.objective;
    }
    return objectives;
}

void BurnHistory::record(TimePoint now, const BurnTotals &totals)
{
    if (m_lastTime && now - *m_lastTime < config::BurnFineStep) {
        return;
    }
    if (m_lastTime) {
        m_fine.push_back(nextSlot(now, totals));
    }
    m_lastTotals = totals;
    m_lastTime = now;
    moveAgedSlots(now);
}

BurnHistory::Slot BurnHistory::nextSlot(TimePoint now, const BurnTotals &totals)
{
    Slot slot {*m_lastTime, now, {}};
    for (const auto &[key, total] : totals) {
        const auto before = m_lastTotals.find(key);
        const auto change = increase(before == m_lastTotals.end() ? BurnCounts {} : before->second, total);
        if (change.total() > 0) {
            slot.entries.push_back({seriesOf(key), saturated(change.good), saturated(change.bad)});
        }
    }
    return slot;
}

// The number of series is limited. Once the limit is reached, a new key shares the overflow series of its service if
// there is one, or the overflow series of all services.
std::uint32_t BurnHistory::seriesOf(const TrafficKey &key)
{
    const auto known = m_seriesNumbers.find(key);
    if (known != m_seriesNumbers.end()) {
        return known->second;
    }
    if (m_series.size() < config::MaxBurnSeries) {
        return addSeries(key);
    }
    const auto shared = m_seriesNumbers.find({key.service, TeamName {OverflowName}});
    if (shared != m_seriesNumbers.end()) {
        return shared->second;
    }
    const TrafficKey others {ServiceName {OverflowName}, TeamName {OverflowName}};
    const auto last = m_seriesNumbers.find(others);
    return last != m_seriesNumbers.end() ? last->second : addSeries(others);
}

std::uint32_t BurnHistory::addSeries(const TrafficKey &key)
{
    const auto number = static_cast<std::uint32_t>(m_series.size());
    m_series.push_back(key);
    m_seriesNumbers.emplace(key, number);
    return number;
}

void BurnHistory::moveAgedSlots(TimePoint now)
{
    while (!m_fine.empty() && now - m_fine.front().end >= config::BurnFineRange) {
        addToCoarse(m_fine.front());
        m_fine.pop_front();
    }
    while (!m_coarse.empty() && now - m_coarse.front().end >= config::BurnCoarseRange) {
        m_coarse.pop_front();
    }
}

void BurnHistory::addToCoarse(const Slot &slot)
{
    if (m_coarse.empty() || m_coarse.back().end - m_coarse.back().begin >= config::BurnCoarseStep) {
        m_coarse.push_back({slot.begin, slot.end, {}});
    }
    auto &coarse = m_coarse.back();
    coarse.end = slot.end;
    for (const auto &entry : slot.entries) {
        const auto existing = std::find_if(coarse.entries.begin(), coarse.entries.end(), [&](const Entry &other) { return other.series == entry.series; });
        if (existing == coarse.entries.end()) {
            coarse.entries.push_back(entry);
        } else {
            existing->good = saturated(std::uint64_t {existing->good} + entry.good);
            existing->bad = saturated(std::uint64_t {existing->bad} + entry.bad);
        }
    }
}

std::vector<BurnSample> BurnHistory::samples(TimePoint now) const
{
    std::vector<BurnSample> result;
    for (const auto *slots : {&m_coarse, &m_fine}) {
        for (const auto &slot : *slots) {
            BurnSample sample {now - slot.end, slot.end - slot.begin, {}};
            for (const auto &entry : slot.entries) {
                sample.counts[m_series[entry.series]] += {entry.good, entry.bad};
            }
            result.push_back(std::move(sample));
        }
    }
    return result;
}

Duration lengthOf(BurnWindow window)
{
    using namespace std::chrono_literals;
    switch (window) {
    case BurnWindow::FiveMinutes:
        return 5min;
    case BurnWindow::HalfHour:
        return 30min;
    case BurnWindow::Hour:
        return 1h;
    case BurnWindow::SixHours:
        return 6h;
    case BurnWindow::ThreeDays:
        return 72h;
    }
    return 72h;
}

const std::vector<BurnCondition> &burnConditions()
{
    static const std::vector<BurnCondition> conditions {
        {BurnSeverity::Page, 14.4, BurnWindow::Hour, BurnWindow::FiveMinutes},
        {BurnSeverity::Page, 6, BurnWindow::SixHours, BurnWindow::HalfHour},
        {BurnSeverity::Ticket, 1, BurnWindow::ThreeDays, BurnWindow::SixHours},
    };
    return conditions;
}

namespace
{
using WindowCounts = std::array<BurnCounts, BurnWindows>;

// A sample belongs to the windows that contain its midpoint.
Duration middle(const BurnSample &sample)
{
    return sample.age + sample.span / 2;
}

double budget(double objective)
{
    return std::max(1 - objective, MinBudget);
}

double burnOf(const BurnCounts &counts, double objective)
{
    return counts.total() == 0 ? 0 : static_cast<double>(counts.bad) / static_cast<double>(counts.total()) / budget(objective);
}

BurnRow makeRow(const ServiceName &service, std::optional<TeamName> team, double objective, const WindowCounts &counts)
{
    BurnRow row {service, std::move(team), objective, {}, 1, {}};
    for (const auto window : Windows) {
        const auto index = static_cast<std::size_t>(window);
        row.windows[index] = {counts[index], burnOf(counts[index], objective)};
    }
    row.budgetLeft = 1 - row.window(BurnWindow::ThreeDays).burn;
    for (const auto &condition : burnConditions()) {
        if (row.window(condition.longWindow).burn > condition.factor && row.window(condition.shortWindow).burn > condition.factor) {
            row.alerts.push_back(condition);
        }
    }
    return row;
}

void add(WindowCounts &sums, const BurnCounts &counts, Duration age)
{
    for (const auto window : Windows) {
        if (age < lengthOf(window)) {
            sums[static_cast<std::size_t>(window)] += counts;
        }
    }
}

BurnPlot makePlot(const std::vector<BurnReading> &readings, const ServiceName &service, double objective, Duration range, std::size_t points)
{
    std::vector<BurnCounts> steps(points);
    for (const auto &reading : readings) {
        for (const auto &sample : reading.samples) {
            const auto step = static_cast<std::size_t>(middle(sample) / (range / static_cast<std::int64_t>(points)));
            for (const auto &[key, counts] : sample.counts) {
                if (key.service == service && step < points) {
                    steps[step] += counts;
                }
            }
        }
    }
    BurnPlot plot {service, range, {}};
    for (std::size_t step = points; step-- > 0;) {
        plot.points.push_back({range / static_cast<std::int64_t>(points) * static_cast<std::int64_t>(step), burnOf(steps[step], objective)});
    }
    return plot;
}

double objectiveOf(const std::vector<BurnReading> &readings, const ServiceName &service, double fallback)
{
    for (const auto &reading : readings) {
        const auto found = reading.objectives.find(service);
        if (found != reading.objectives.end()) {
            return found->second;
        }
    }
    return fallback;
}

/// Events of one service and of each of its teams.
struct ServiceSums {
    WindowCounts allTeams;
    std::map<TeamName, WindowCounts> teams;
};

using Sums = std::map<ServiceName, ServiceSums>;

void add(Sums &sums, const BurnSample &sample)
{
    for (const auto &[key, counts] : sample.counts) {
        auto &service = sums[key.service];
        add(service.allTeams, counts, middle(sample));
        add(service.teams[key.team], counts, middle(sample));
    }
}

// Services without events are included if there is an objective for them.
Sums sumUp(const std::vector<BurnReading> &readings)
{
    Sums sums;
    for (const auto &reading : readings) {
        for (const auto &[service, objective] : reading.objectives) {
            sums.try_emplace(service);
        }
        for (const auto &sample : reading.samples) {
            add(sums, sample);
        }
    }
    return sums;
}

Duration coveredBy(const std::vector<BurnReading> &readings)
{
    Duration oldest {};
    for (const auto &reading : readings) {
        for (const auto &sample : reading.samples) {
            oldest = std::max(oldest, sample.age + sample.span);
        }
    }
    return oldest;
}
}

BurnReport makeReport(const std::vector<BurnReading> &readings, double defaultObjective)
{
    BurnReport report {coveredBy(readings), {}, {}};
    for (const auto &[service, sums] : sumUp(readings)) {
        const double objective = objectiveOf(readings, service, defaultObjective);
        report.rows.push_back(makeRow(service, std::nullopt, objective, sums.allTeams));
        for (const auto &[team, counts] : sums.teams) {
            report.rows.push_back(makeRow(service, team, objective, counts));
        }
        report.plots.push_back(makePlot(readings, service, objective, lengthOf(BurnWindow::Hour), HourPlotPoints));
        report.plots.push_back(makePlot(readings, service, objective, lengthOf(BurnWindow::ThreeDays), ThreeDayPlotPoints));
    }
    return report;
}
}
