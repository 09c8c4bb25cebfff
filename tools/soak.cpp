// Faulted load over real processes: counts requests run twice, false "not-run", wrong answers and cut requests.
#include "fleet_process.h"

#include <array>
#include <iostream>
#include <sstream>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
constexpr unsigned Daemons = 4;
constexpr unsigned Targets = 6;
constexpr int CallerRate = 300; ///< requests a second of each of the four callers
constexpr int PhaseSeconds = 30;
constexpr auto FaultAfter = 8s;
constexpr auto PauseTime = 5s;

/// What the callers of one phase were told.
struct PhaseResult {
    std::map<std::string, std::int64_t> sums; ///< by the name in the caller's report
};

/// What one request was told.
struct Told {
    unsigned status = 0;
    std::string outcome;
};

std::string document()
{
    return "[service lookup]\nfloor = 50%\nslots = 3\nprofile = fast-detection\nobjective = 99.9%\n"
           "[team red]\nrate = 2000/s\nburst = 1000\nkey = "
        + sha256Hex(RedKey) + "\n[team blue]\nrate = 2000/s\nburst = 1000\nkey = " + sha256Hex(BlueKey)
        + "\n[route listing]\nprefix = /listing\nmethods = GET\nservice = lookup\nidempotent = yes\naccess = team\ntimeout = 2s\n"
          "[route order]\nprefix = /order\nmethods = POST\nservice = lookup\nidempotent = no\naccess = team\ntimeout = 2s\n";
}

void pause(std::chrono::milliseconds time)
{
    ::poll(nullptr, 0, static_cast<int>(time.count()));
}

void print(const std::string &name, std::int64_t value)
{
    std::cout << name << " " << value << " requests" << std::endl;
}

class Soak
{
public:
    explicit Soak(int seed)
        : m_seed(seed)
    { }

    /// True when every count that must be 0 is.
    bool run();

private:
    bool start();
    void setFaults();
    std::unique_ptr<ChildProcess> caller(const std::string &label, const std::string &method, const std::string &path, const std::string &key);
    PhaseResult phase(const std::string &name, const std::function<void()> &fault);
    void readIds(const std::string &label);
    void pauseTarget();
    void killDaemon();
    void stopDaemon();
    void mustBeNone(const std::string &name, std::int64_t count);
    std::map<std::string, std::int64_t> readRuns();
    void judgeRuns();

    int m_seed;
    FleetProcesses m_fleet {Daemons, Targets};
    std::map<std::string, Told> m_told;
    std::vector<std::string> m_files;
    bool m_good = true;
};

bool Soak::start()
{
    return m_fleet.promote(document(), "d0") && eventually(30s, [&] { return m_fleet.allMembersOfOneEpoch(); }) && eventually(30s, [&] {
               return std::all_of(m_fleet.daemons.begin(), m_fleet.daemons.end(), [&](const auto &entry) {
                   return m_fleet.listing(entry.first).status == 200 && m_fleet.listing(entry.first, BlueKey).status == 200;
               });
           });
}

void Soak::setFaults()
{
    m_fleet.targetFault("t0", R"({"crash_before_first_byte_share":0.1,"truncate_share":0.1})");
    m_fleet.targetFault("t1", R"({"crash_after_first_byte_share":0.2,"late_ms":30})");
    m_fleet.targetFault("t2", R"({"error_share":0.1,"stray_share":0.1})");
}

std::unique_ptr<ChildProcess> Soak::caller(const std::string &label, const std::string &method, const std::string &path, const std::string &key)
{
    std::string all;
    for (const auto &[name, daemon] : m_fleet.daemons) {
        all += (all.empty() ? "" : ",") + toString(daemon.traffic);
    }
    const std::string file = m_fleet.folder() + "/" + label + ".ids";
    m_files.push_back(file);
    return std::make_unique<ChildProcess>("standin-caller", std::vector<std::string> {"--to",         all,
                                                                                      "--rate",       std::to_string(CallerRate),
                                                                                      "--seconds",    std::to_string(PhaseSeconds),
                                                                                      "--key",        key,
                                                                                      "--path",       path,
                                                                                      "--method",     method,
                                                                                      "--team-label", label,
                                                                                      "--timeout",    "10s",
                                                                                      "--ids-file",   file,
                                                                                      "--seed",       std::to_string(m_seed++),
                                                                                      "--json"});
}

void Soak::readIds(const std::string &label)
{
    std::ifstream file(m_fleet.folder() + "/" + label + ".ids");
    std::string id;
    Told told;
    while (file >> id >> told.status >> told.outcome) {
        m_told[id] = told;
    }
    ::unlink((m_fleet.folder() + "/" + label + ".ids").c_str());
}

PhaseResult Soak::phase(const std::string &name, const std::function<void()> &fault)
{
    const std::array<std::string, 4> labels {"order-red-" + name, "order-blue-" + name, "listing-red-" + name, "listing-blue-" + name};
    std::vector<std::unique_ptr<ChildProcess>> callers;
    for (const auto &label : labels) {
        const bool order = label.starts_with("order");
        const std::string key = label.find("red") != std::string::npos ? RedKey : BlueKey;
        callers.push_back(caller(label, order ? "POST" : "GET", order ? "/order" : "/listing/1", key));
    }
    pause(FaultAfter);
    fault();
    PhaseResult result;
    for (const auto &process : callers) {
        const auto report = boost::json::parse(process->line(120'000)).as_object();
        process->wait();
        for (const char *figure : {"sent", "answered", "mismatched", "truncated", "malformed", "cut", "refused", "timed_out"}) {
            result.sums[figure] += report.at(figure).to_number<std::int64_t>();
        }
        for (const char *kind : {"statuses", "errors"}) {
            for (const auto &entry : report.at(kind).as_object()) {
                result.sums[std::string(kind) + "_" + std::string(entry.key())] += entry.value().to_number<std::int64_t>();
            }
        }
    }
    for (const auto &label : labels) {
        readIds(label);
    }
    for (const auto &[figure, count] : result.sums) {
        std::cout << name << "_" << figure << " " << count << " requests" << std::endl;
    }
    return result;
}

void Soak::pauseTarget()
{
    m_fleet.targetProcesses.at("t3")->signal(SIGSTOP);
    pause(PauseTime);
    m_fleet.targetProcesses.at("t3")->signal(SIGCONT);
}

void Soak::killDaemon()
{
    m_fleet.daemons.at("d3").process->signal(SIGKILL);
    m_fleet.daemons.at("d3").process->wait();
    m_fleet.daemons.erase("d3");
}

void Soak::stopDaemon()
{
    m_fleet.daemons.at("d2").process->signal(SIGTERM);
    const int status = m_fleet.daemons.at("d2").process->wait();
    m_fleet.daemons.erase("d2");
    std::cout << "planned_stop_exit_status " << status << " status" << std::endl;
    m_good = m_good && status == 0;
}

void Soak::mustBeNone(const std::string &name, std::int64_t count)
{
    std::cout << name << " " << count << " requests bound 0 " << (count == 0 ? "met" : "MISSED") << std::endl;
    m_good = m_good && count == 0;
}

// A target whose runs can't be read leaves the counts below unknown, so the whole run fails then.
std::map<std::string, std::int64_t> Soak::readRuns()
{
    std::map<std::string, std::int64_t> sum;
    for (const auto &[name, endpoint] : m_fleet.targetControls) {
        const auto answer = httpCall(endpoint, "GET", "/control/runs");
        boost::system::error_code error;
        const auto told = boost::json::parse(answer.body, error);
        if (error) {
            std::cout << "unreadable_runs_of_" << name << " " << answer.body.size() << " bytes, head: " << answer.text.substr(0, 120) << std::endl;
            m_good = false;
            continue;
        }
        for (const auto &entry : told.as_object()) {
            sum[std::string(entry.key())] += entry.value().to_number<std::int64_t>();
        }
    }
    return sum;
}

void Soak::judgeRuns()
{
    const auto runs = readRuns();
    std::int64_t twice = 0;
    std::int64_t falseNotRun = 0;
    std::int64_t unknown = 0;
    std::int64_t answeredNotRun = 0;
    for (const auto &[id, told] : m_told) {
        const auto found = runs.find(id);
        const std::int64_t count = found == runs.end() ? 0 : found->second;
        twice += id.starts_with("order") && count > 1 ? 1 : 0;
        falseNotRun += told.outcome == "not-run" && count > 0 ? 1 : 0;
        unknown += told.outcome == "unknown" ? 1 : 0;
        answeredNotRun += told.status == 200 && count == 0 ? 1 : 0;
    }
    print("requests", static_cast<std::int64_t>(m_told.size()));
    print("told_unknown", unknown);
    mustBeNone("orders_run_twice", twice);
    mustBeNone("told_not_run_but_ran", falseNotRun);
    mustBeNone("answered_200_but_never_ran", answeredNotRun);
}

bool Soak::run()
{
    if (!start()) {
        std::cerr << "soak: the fleet doesn't serve\n";
        return false;
    }
    setFaults();
    const auto paused = phase("target_paused", [this] { pauseTarget(); });
    const auto killed = phase("daemon_killed", [this] { killDaemon(); });
    const auto stopped = phase("planned_stop", [this] { stopDaemon(); });
    const auto sum = [&](const char *name) { return paused.sums.at(name) + killed.sums.at(name) + stopped.sums.at(name); };
    mustBeNone("mismatched", sum("mismatched"));
    mustBeNone("malformed", sum("malformed"));
    // A killed daemon cuts what it was answering; else no connection may break.
    for (const char *name : {"cut", "truncated", "refused", "timed_out"}) {
        mustBeNone(std::string("target_paused_") + name, paused.sums.at(name));
        mustBeNone(std::string("planned_stop_") + name, stopped.sums.at(name));
    }
    judgeRuns();
    return m_good;
}
}

int main(int argc, char **argv)
{
    const int seed = argc > 1 ? std::stoi(argv[1]) : 1;
    const std::string path = argv[0];
    ::setenv("PLUMSILL_BIN", path.substr(0, path.rfind('/')).c_str(), 0);
    std::cout << "seed " << seed << std::endl;
    Soak soak(seed);
    const bool good = soak.run();
    std::cout << "soak: " << (good ? "ok" : "FAILED") << std::endl;
    return good ? 0 : 1;
}
