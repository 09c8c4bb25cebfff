#include <plumsill/burn.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TrafficKey orders {{"orders"}, {"clerks"}};
const TrafficKey listings {{"listings"}, {}};

BurnSample sample(Duration age, Duration span, std::uint64_t good, std::uint64_t bad, const TrafficKey &key = orders)
{
    return {age, span, {{key, {good, bad}}}};
}

BurnReport reportOf(std::vector<BurnSample> samples)
{
    return makeReport({{{{{"orders"}, 0.999}}, std::move(samples)}});
}

std::string firedOn(const BurnReport &report)
{
    std::string text;
    for (const auto &alert : report.rows.at(0).alerts) {
        text += toString(alert) + "\n";
    }
    return text;
}

BurnCounts sum(const std::vector<BurnSample> &samples, Duration maxAge = 1000h)
{
    BurnCounts total;
    for (const auto &sample : samples) {
        for (const auto &[key, counts] : sample.counts) {
            total += sample.age < maxAge ? counts : BurnCounts {};
        }
    }
    return total;
}

double burn(const BurnReport &report, BurnWindow window)
{
    return report.rows.at(0).window(window).burn;
}
}

TEST_GROUP(BurnHistory)
{
    BurnHistory history;
    TimePoint now {1000h};

    void record(std::uint64_t good, std::uint64_t bad)
    {
        history.record(now, {{orders, {good, bad}}});
    }
};

TEST(BurnHistory, OnlyRefusalsWithinTheRateCountAsBad)
{
    TrafficCounts counts;
    counts.good = 90;
    counts.bad = 2;
    counts.overRate = 500;
    counts.ownerUnreachable = 3;
    counts.notTrusted = 5;
    CHECK((toBurnCounts(counts) == BurnCounts {90, 10}));
}

TEST(BurnHistory, SamplesHoldTheIncreaseOfEachStep)
{
    record(100, 1);
    now += 4s;
    record(104, 1);
    now += 1s;
    record(110, 3);
    now += 5s;
    record(110, 3);
    now += 2s;
    CHECK((history.samples(now) == std::vector<BurnSample> {{7s, 5s, {{orders, {10, 2}}}}, {2s, 5s, {}}}));
}

TEST(BurnHistory, DecreasedCounterCountsFromZero)
{
    record(100, 5);
    now += 5s;
    record(7, 1);
    CHECK((sum(history.samples(now)) == BurnCounts {7, 1}));
}

TEST(BurnHistory, KeepsThreeDaysInBoundedSteps)
{
    constexpr std::uint64_t Steps = 80 * 720; // 80 h
    for (std::uint64_t step = 0; step <= Steps; ++step) {
        record(step * 3, step);
        now += 5s;
    }
    now -= 5s;
    const auto samples = history.samples(now);
    CHECK((sum(samples, 1h) == BurnCounts {720 * 3, 720}));
    CHECK(samples.size() <= 720 + 72 * 12 + 1);
    CHECK(samples.front().age + samples.front().span >= 72h);
    CHECK(samples.front().age < 72h);
    // No event is lost or counted twice when fine steps are merged into coarse ones.
    const auto steps = static_cast<std::uint64_t>((samples.front().age + samples.front().span) / 5s);
    CHECK((sum(samples) == BurnCounts {steps * 3, steps}));
    for (std::size_t i = 1; i < samples.size(); ++i) {
        CHECK(samples[i - 1].age == samples[i].age + samples[i].span);
    }
}

TEST(BurnHistory, SeriesAreLimitedWithoutLosingEvents)
{
    BurnTotals totals;
    history.record(now, totals);
    for (unsigned team = 0; team < 2 * config::MaxBurnSeries; ++team) {
        totals[{{"orders"}, {"team" + std::to_string(team)}}] = {1, 1};
    }
    now += 5s;
    history.record(now, totals);
    const auto samples = history.samples(now);
    LONGS_EQUAL(config::MaxBurnSeries + 1, samples.at(0).counts.size());
    CHECK((sum(samples) == BurnCounts {2 * config::MaxBurnSeries, 2 * config::MaxBurnSeries}));
}

TEST_GROUP(BurnReading) {};

TEST(BurnReading, HistoryJsonRoundTrip)
{
    const BurnReading reading {{{{"orders"}, 0.99}, {{"listings"}, 0.999}}, {{300s, 5s, {{orders, {10, 2}}, {listings, {7, 0}}}}, {0s, 5s, {}}}};
    const auto parsed = parseHistory(historyJson(reading));
    CHECK(parsed.has_value());
    CHECK(parsed.assume_value() == reading);
}

TEST(BurnReading, InvalidHistoryIsRejected)
{
    CHECK(parseHistory("{").assume_error() == BurnError::NotJson);
    CHECK(parseHistory("{}").assume_error() == BurnError::WrongShape);
    const std::string unknownSeries = R"({"objectives":{},"series":[],"samples":[{"age_s":0,"span_s":5,"counts":[[0,1,1]]}]})";
    CHECK(parseHistory(unknownSeries).assume_error() == BurnError::WrongShape);
}

TEST(BurnReading, TotalsAreParsedFromAMetricsPage)
{
    TrafficReport report;
    report.counts[orders] = {90, 2, 500, 3, 5};
    report.counts[listings] = {7, 0, 0, 0, 0};
    Metrics metrics;
    metrics.add(report);
    CHECK((parseMetrics(metrics.prometheusText({})) == BurnTotals {{orders, {90, 10}}, {listings, {7, 0}}}));
}

TEST_GROUP(BurnReport) {};

// 980 good and 20 bad events under an objective of 99.9%: 2% are bad, which is 20 times the allowed 0.1%.
TEST(BurnReport, BurnIsTheBadShareOverTheAllowedShare)
{
    const auto report = reportOf({sample(2h, 5min, 9000, 0), sample(1min, 5s, 980, 20)});
    DOUBLES_EQUAL(20, burn(report, BurnWindow::FiveMinutes), 1e-9);
    DOUBLES_EQUAL(20, burn(report, BurnWindow::Hour), 1e-9);
    DOUBLES_EQUAL(2, burn(report, BurnWindow::SixHours), 1e-9);
    DOUBLES_EQUAL(2, burn(report, BurnWindow::ThreeDays), 1e-9);
    DOUBLES_EQUAL(-1, report.rows.at(0).budgetLeft, 1e-9);
}

TEST(BurnReport, FastBurnPagesWhileItLasts)
{
    STRCMP_EQUAL("page: 14.4x over 1h and 5m\nticket: 1x over 3d and 6h\n",
                 firedOn(reportOf({sample(5h, 5min, 9000, 0), sample(40min, 5s, 980, 20), sample(1min, 5s, 980, 20)})).c_str());
    // A burn that ended more than five minutes ago raises the rate of the one-hour window but not of the five-minute window.
    STRCMP_EQUAL("ticket: 1x over 3d and 6h\n", firedOn(reportOf({sample(5h, 5min, 9000, 0), sample(40min, 5s, 980, 20), sample(1min, 5s, 100, 0)})).c_str());
    // A burst of errors that is small compared with the traffic of the hour fires no alert.
    STRCMP_EQUAL("", firedOn(reportOf({sample(40min, 5s, 30'000, 0), sample(1min, 5s, 980, 20)})).c_str());
}

TEST(BurnReport, SlowBurnPagesOverSixHours)
{
    STRCMP_EQUAL("page: 6x over 6h and 30m\nticket: 1x over 3d and 6h\n",
                 firedOn(reportOf({sample(4h, 5min, 9930, 70), sample(10min, 5min, 9930, 70)})).c_str());
}

TEST(BurnReport, DaemonsAreSummedByServiceAndTeam)
{
    const ServiceObjectives objectives {{{"orders"}, 0.99}, {{"idle"}, 0.5}};
    const TrafficKey other {{"orders"}, {"lawyers"}};
    const auto report = makeReport({{objectives, {sample(1min, 5s, 60, 1)}}, {{}, {sample(2min, 5s, 30, 2), sample(3min, 5s, 7, 0, other)}}});
    LONGS_EQUAL(4, report.rows.size());
    STRCMP_EQUAL("idle", report.rows[0].service.value.c_str());
    CHECK((report.rows[1].window(BurnWindow::ThreeDays).counts == BurnCounts {97, 3}));
    CHECK((report.rows[2].team == TeamName {"clerks"}));
    CHECK((report.rows[2].window(BurnWindow::ThreeDays).counts == BurnCounts {90, 3}));
    CHECK((report.rows[3].window(BurnWindow::ThreeDays).counts == BurnCounts {7, 0}));
    DOUBLES_EQUAL(3, report.rows[1].window(BurnWindow::ThreeDays).burn, 1e-9);
}

TEST(BurnReport, PlotsShowWhenTheBurnOccurred)
{
    const auto report = reportOf({sample(30min + 1s, 5s, 999, 1), sample(10s, 5s, 0, 0)});
    const auto &hour = report.plots.at(0).points;
    LONGS_EQUAL(60, hour.size());
    DOUBLES_EQUAL(1, hour[29].burn, 1e-9);
    CHECK(hour[29].age == Duration(30min));
    DOUBLES_EQUAL(0, hour[30].burn, 1e-9);
}

TEST(BurnReport, TextReportIsATable)
{
    const auto report = makeReport({{{{{"orders"}, 0.999}}, {sample(1min, 5s, 980, 20), sample(1min, 5s, 50, 0, listings)}}});
    const std::string expected
        = "service            team                  target       good        bad  budget left    burn 5m    burn 1h    burn 6h    burn 3d  alert\n"
          "listings           (all)                99.900%         50          0       100.0%       0.00       0.00       0.00       0.00  -\n"
          "listings           (open)               99.900%         50          0       100.0%       0.00       0.00       0.00       0.00  -\n"
          "orders             (all)                99.900%        980         20     -1900.0%      20.00      20.00      20.00      20.00  ";
    const auto text = reportText(report);
    STRCMP_EQUAL(expected.c_str(), text.substr(0, expected.size()).c_str());
}

TEST(BurnReport, HtmlReportIsSelfContained)
{
    const auto html = reportHtml(makeReport({{{}, {sample(1min, 5s, 980, 20, {{"a<b"}, {"x&y"}})}}}));
    for (const char *fetched : {"<script", "http:", "https:", "src=", "href=", "url(", "@import"}) {
        CHECK(html.find(fetched) == std::string::npos);
    }
    CHECK(html.find("a<b") == std::string::npos);
    CHECK(html.find("x&amp;y") != std::string::npos);
    CHECK(html.find("<polyline") != std::string::npos);
}
