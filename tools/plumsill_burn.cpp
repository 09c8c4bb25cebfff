// Reports how fast the services use up their error budgets, from the counters and the history of the daemons.
#include <plumsill/burn.h>
#include <plumsill/ini.h>

#include "http_client_p.h"

#include <popt.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

using namespace plumsill;

namespace
{
constexpr auto CallTimeout = std::chrono::seconds(10);

enum ExitCode
{
    Done = 0,
    AlertFired = 1, ///< only with --check
    Usage = 2,
    Unreachable = 5,
};

struct Settings {
    std::vector<Endpoint> daemons;
    Duration watch {}; ///< time for which the counters are sampled; zero: read the history that the daemons keep
    double objective = config::DefaultObjective;
    std::string htmlFile;
    bool json = false;
    bool check = false;
};

struct CallFailure : std::runtime_error {
    using std::runtime_error::runtime_error;
};

HttpAnswer fetchAnswer(const Endpoint &daemon, const std::string &target)
{
    auto result = exchangeOnce(daemon, {"GET", target, {}, {}}, CallTimeout);
    if (!result) {
        throw CallFailure(toString(daemon) + target + ": " + toString(result.assume_error()));
    }
    return std::move(result).assume_value();
}

std::string requireOk(const Endpoint &daemon, const std::string &target, const HttpAnswer &answer)
{
    if (answer.status != 200) {
        throw CallFailure(toString(daemon) + target + ": status " + std::to_string(answer.status));
    }
    return answer.body;
}

BurnTotals fetchTotals(const Endpoint &daemon)
{
    return parseMetrics(requireOk(daemon, "/metrics", fetchAnswer(daemon, "/metrics")));
}

// A daemon without a history still exports its totals, which are used as a single sample that ends now.
BurnReading fetchHistory(const Endpoint &daemon)
{
    const auto answer = fetchAnswer(daemon, "/v1/history");
    if (answer.status == 404) {
        return {{}, {{{}, {}, fetchTotals(daemon)}}};
    }
    auto reading = parseHistory(requireOk(daemon, "/v1/history", answer));
    if (!reading) {
        throw CallFailure(toString(daemon) + ": " + toString(reading.assume_error()));
    }
    return std::move(reading).assume_value();
}

/// Readings of the daemons that answered.
struct Readings {
    std::vector<BurnReading> list;
    std::size_t failed = 0; ///< number of daemons that could not be read
};

// A daemon that cannot be read is reported on stderr and left out, so that the report still covers the other daemons.
Readings readHistories(const Settings &settings)
{
    Readings readings;
    for (const auto &daemon : settings.daemons) {
        try {
            readings.list.push_back(fetchHistory(daemon));
        } catch (const CallFailure &failure) {
            std::cerr << "plumsill-burn: " << failure.what() << "\n";
            ++readings.failed;
        }
    }
    return readings;
}

void sampleOnce(const Endpoint &daemon, BurnHistory &history)
{
    try {
        const auto totals = fetchTotals(daemon);
        history.record(RuntimeClock::now(), totals);
    } catch (const CallFailure &failure) {
        std::cerr << "plumsill-burn: " << failure.what() << "\n";
    }
}

// Samples the counters over the given time, without the daemons' own histories. The histories may be too short, such
// as after all daemons were replaced.
Readings watchCounters(const Settings &settings)
{
    std::vector<BurnHistory> histories(settings.daemons.size());
    const auto end = RuntimeClock::now() + settings.watch;
    for (;;) {
        for (std::size_t i = 0; i < histories.size(); ++i) {
            sampleOnce(settings.daemons[i], histories[i]);
        }
        if (RuntimeClock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(config::BurnFineStep);
    }
    Readings readings;
    for (const auto &history : histories) {
        readings.list.push_back({{}, history.samples(RuntimeClock::now())});
        readings.failed += readings.list.back().samples.empty() ? 1 : 0;
    }
    return readings;
}

bool writeHtml(const Settings &settings, const BurnReport &report)
{
    std::ofstream file(settings.htmlFile);
    file << reportHtml(report);
    file.close();
    return file.good();
}

bool anyFired(const BurnReport &report)
{
    for (const auto &row : report.rows) {
        if (!row.alerts.empty()) {
            return true;
        }
    }
    return false;
}

ExitCode run(const Settings &settings)
{
    const auto readings = settings.watch > Duration::zero() ? watchCounters(settings) : readHistories(settings);
    if (readings.failed == settings.daemons.size()) {
        std::cerr << "plumsill-burn: no daemon could be read\n";
        return Unreachable;
    }
    const auto report = makeReport(readings.list, settings.objective);
    if (!settings.htmlFile.empty() && !writeHtml(settings, report)) {
        std::cerr << "plumsill-burn: " << settings.htmlFile << ": cannot be written\n";
        return Usage;
    }
    std::cout << (settings.json ? reportJson(report) : reportText(report));
    return settings.check && anyFired(report) ? AlertFired : Done;
}

bool parseDaemons(const char *text, Settings &settings)
{
    for (const auto &item : splitList(text == nullptr ? "" : text)) {
        const auto endpoint = parseEndpoint(item);
        if (!endpoint) {
            std::cerr << "plumsill-burn: --from: " << item << " is not IP:PORT\n";
            return false;
        }
        settings.daemons.push_back(*endpoint);
    }
    if (settings.daemons.empty()) {
        std::cerr << "plumsill-burn: no daemon given: use --from IP:PORT\n";
    }
    return !settings.daemons.empty();
}

bool parseWatch(const char *text, Settings &settings)
{
    const auto duration = text == nullptr ? std::optional(Duration::zero()) : parseDuration(text);
    if (!duration) {
        std::cerr << "plumsill-burn: --watch: " << text << " is not a duration with a unit, such as 5m\n";
        return false;
    }
    settings.watch = *duration;
    return true;
}
}

int main(int argc, const char **argv)
{
    Settings settings;
    char *daemons = nullptr;
    char *watch = nullptr;
    char *html = nullptr;
    int json = 0;
    int check = 0;
    int version = 0;
    constexpr unsigned Shown = POPT_ARGFLAG_SHOW_DEFAULT;
    const poptOption options[] = {
        {"from", 'f', POPT_ARG_STRING, &daemons, 0, "admin ports of the daemons", "IP:PORT[,..]"},
        {"watch", 'w', POPT_ARG_STRING, &watch, 0, "sample the counters for this long instead of reading the daemons' history", "DURATION"},
        {"objective", 0, POPT_ARG_DOUBLE | Shown, &settings.objective, 0, "objective of services for which no daemon reports one", "SHARE"},
        {"html", 'H', POPT_ARG_STRING, &html, 0, "also write a page with plots", "FILE"},
        {"json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
        {"check", 'c', POPT_ARG_NONE, &check, 0, "exit with status 1 while an alert fires", nullptr},
        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("plumsill-burn", argc, argv, options, 0);
    int code = Usage;
    const int bad = poptGetNextOpt(context);
    if (bad < -1) {
        std::cerr << "plumsill-burn: " << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": " << poptStrerror(bad) << "\n";
    } else if (version != 0) {
        std::cout << "plumsill-burn " << PLUMSILL_VERSION << "\n";
        code = Done;
    } else if (parseDaemons(daemons, settings) && parseWatch(watch, settings)) {
        settings.htmlFile = html == nullptr ? "" : html;
        settings.json = json != 0;
        settings.check = check != 0;
        code = run(settings);
    }
    poptFreeContext(context);
    return code;
}
