// Randomized fault soak. It runs a fleet of real processes, injects faults from outside in overlapping series, and checks
// the fleet's guarantees against what callers and targets observe.
#include "../platform/wire.h"
#include "../src/clock_p.h"
#include "../src/http_client_p.h"
#include "../src/standin_p.h"
#include "soak_load.h"
#include "soak_options.h"
#include "soak_oracle.h"
#include "soak_plan.h"
#include "soak_reports.h"
#include "zone_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <iostream>
#include <random>

using namespace plumsill;
using namespace plumsill::soak;
using standin::unixMilliseconds;
namespace asio = boost::asio;

namespace
{
class Soak
{
public:
    explicit Soak(const Options &options)
        : m_options(options)
        , m_random(static_cast<std::uint64_t>(options.seed))
        , m_load(static_cast<std::uint64_t>(options.seed), platform::dialect())
        , m_fleet({true, static_cast<unsigned>(options.seed), 500, 2000, 0, false, LinkMegabits, MemoryMegabytes})
        , m_oracle({}, {{"blue", BlueQuota}})
    { }

    /// Runs the soak and returns whether every guarantee was kept.
    bool run();

private:
    struct DaemonState {
        unsigned run = 0; ///< number of times the daemon was started
        Time disturbedUntil = 0;
        bool stopping = false; ///< a planned stop was requested
        bool down = false; ///< the process has ended and isn't started again yet
    };

    // Fleet and documents.
    bool start();
    void startDaemon(const std::string &name);
    void startTarget(unsigned slot);
    void publish();
    asio::awaitable<void> runFaults();
    asio::awaitable<void> waitForRecovery();

    // Callers.
    asio::awaitable<void> runCaller(std::string daemon, unsigned number, Duration thinkTime, TimePoint until);
    asio::awaitable<void> runSlowReader(std::string daemon, std::size_t requests, std::size_t bytes, TimePoint until);
    std::string runOf(const std::string &daemon) const { return daemon + "#" + std::to_string(m_daemons.at(daemon).run); }
    asio::awaitable<HttpResult> exchange(HttpClient &client, Endpoint to, HttpRequest request);
    void recordResult(const SentRequest &sentRequest, const HttpResult &result, bool sent);

    // Observation.
    asio::awaitable<void> pollTargetLog(std::string name, Endpoint control);
    asio::awaitable<void> pollObjectService();
    void reportDeadProcesses();
    void report();

    // Faults.
    asio::awaitable<void> apply(PlannedFault planned);
    asio::awaitable<void> applyToDaemon(PlannedFault planned);
    asio::awaitable<void> applyToTarget(PlannedFault planned);
    asio::awaitable<void> applyToService(PlannedFault planned);
    void applyToCallers(const PlannedFault &planned);
    asio::awaitable<void> applyToLink(PlannedFault planned);
    asio::awaitable<void> applyToStore(PlannedFault planned);
    asio::awaitable<void> applyToDocument(PlannedFault planned);
    asio::awaitable<void> kill(std::string daemon, Duration downtime);
    asio::awaitable<void> stop(std::string daemon);
    void markDisturbed(const std::string &daemon, Duration duration);
    void markAllDisturbed(Duration duration);
    std::string daemonName(std::uint32_t subject) const { return "d" + std::to_string(subject % static_cast<unsigned>(m_options.daemons)); }
    std::string targetName(std::uint32_t subject) const;

    const Options m_options;
    std::mt19937_64 m_random;
    Load m_load;
    asio::io_context m_loop {1};
    test::ZoneFleet m_fleet;
    Oracle m_oracle;
    std::map<std::string, DaemonState> m_daemons;
    std::map<unsigned, std::string> m_targetOfSlot; ///< name of the target that runs in each slot
    std::set<std::string> m_endedTargets; ///< targets that the soak stopped or killed, or whose unexpected end it has reported
    std::set<std::string> m_paused; ///< daemons and targets that are paused
    unsigned m_targetRuns = 0;
    bool m_ended = false;
    unsigned m_violations = 0;
    std::map<std::string, unsigned> m_outcomes;
};

void Soak::publish()
{
    m_load.nextVersion();
    if (!m_fleet.publish(m_load.document())) {
        throw std::runtime_error("the object service refused a document");
    }
    m_oracle.documentAccepted(m_load.version(), unixMilliseconds());
}

void Soak::startDaemon(const std::string &name)
{
    const auto number = static_cast<unsigned>(std::stoul(name.substr(1)));
    DaemonState &state = m_daemons[name];
    m_fleet.startDaemon(name, "z" + std::to_string(number % 3), state.run == 0);
    ++state.run;
    state.stopping = false;
    state.down = false;
}

void Soak::startTarget(unsigned slot)
{
    const std::string name = "t" + std::to_string(slot) + "-" + std::to_string(++m_targetRuns);
    m_fleet.startTarget(name, Services[slot % std::size(Services)], "z" + std::to_string(slot % 3));
    m_targetOfSlot[slot] = name;
    asio::co_spawn(m_loop, pollTargetLog(name, m_fleet.targets.at(name).control), asio::detached);
}

std::string Soak::targetName(std::uint32_t subject) const
{
    return m_targetOfSlot.at(subject % static_cast<unsigned>(m_options.targets));
}

bool Soak::start()
{
    publish();
    for (unsigned slot = 0; slot < static_cast<unsigned>(m_options.targets); ++slot) {
        startTarget(slot);
    }
    for (int number = 0; number < m_options.daemons; ++number) {
        startDaemon("d" + std::to_string(number));
    }
    return test::eventually(std::chrono::seconds(60), [this] { return m_fleet.allReady(); });
}

// Marks a daemon as disturbed for the duration of a fault and until it is in contact with its fleet and the object service again. Guarantees that
// need this contact aren't checked for requests sent before then.
void Soak::markDisturbed(const std::string &daemon, Duration duration)
{
    const Time until = unixMilliseconds() + wholeMilliseconds(duration) + ReconnectTime + DisturbanceMargin;
    Time &markedUntil = m_daemons.at(daemon).disturbedUntil;
    markedUntil = std::max(markedUntil, until);
}

void Soak::markAllDisturbed(Duration duration)
{
    for (const auto &[name, state] : m_daemons) {
        markDisturbed(name, duration);
    }
}

void Soak::recordResult(const SentRequest &sentRequest, const HttpResult &result, bool sent)
{
    const std::string name = sentRequest.daemon.substr(0, sentRequest.daemon.find('#'));
    CallerResult callerResult;
    callerResult.endedAt = unixMilliseconds();
    callerResult.undisturbed = m_daemons.at(name).disturbedUntil < sentRequest.sentAt;
    if (result) {
        callerResult.status = result.assume_value().status;
        callerResult.matchesRequest = m_load.matches(sentRequest, result.assume_value());
    } else if (!sent) {
        callerResult.ending = Ending::NotSent;
    } else {
        callerResult.ending = result.assume_error() == HttpError::TimedOut ? Ending::TimedOut : Ending::ClosedWithoutAnswer;
    }
    ++m_outcomes[result ? std::to_string(callerResult.status) : !sent ? "not sent" : toString(result.assume_error())];
    m_oracle.requestEnded(sentRequest.id, callerResult);
}

asio::awaitable<HttpResult> Soak::exchange(HttpClient &client, Endpoint to, HttpRequest request)
{
    using namespace asio::experimental::awaitable_operators;
    if (!client.usable()) {
        const auto connected = co_await (client.connect(std::move(to)) || sleepFor(ControlTimeout));
        if (connected.index() == 1 || !std::get<0>(connected)) {
            client.close();
            co_return HttpError::Refused;
        }
    }
    const Duration timeout = std::chrono::milliseconds(CallerTimeout);
    co_return co_await client.exchange(std::move(request), timeout);
}

// One caller of a daemon. It keeps its connection until the daemon's process has ended.
asio::awaitable<void> Soak::runCaller(std::string daemon, unsigned number, Duration thinkTime, TimePoint until)
{
    HttpClient client(m_loop);
    while (!m_ended && RuntimeClock::now() < until) {
        co_await sleepFor(thinkTime);
        SentRequest sentRequest = m_load.next(runOf(daemon), number);
        sentRequest.sentAt = unixMilliseconds();
        m_oracle.requestSent(sentRequest);
        HttpRequest request = m_load.toHttp(sentRequest);
        const Endpoint to = m_fleet.daemons.at(daemon).traffic();
        const HttpResult result = co_await exchange(client, to, std::move(request));
        const bool sent = result || result.assume_error() != HttpError::Refused;
        recordResult(sentRequest, result, sent);
    }
}

// A caller that sends requests for large answers behind each other, reads slowly and leaves before their end. The daemon may cut the connection.
asio::awaitable<void> Soak::runSlowReader(std::string daemon, std::size_t requests, std::size_t bytes, TimePoint until)
{
    std::vector<std::string> ids;
    std::string text;
    for (std::size_t number = 0; number < requests; ++number) {
        SentRequest sentRequest = m_load.nextFile(runOf(daemon));
        sentRequest.sentAt = unixMilliseconds();
        m_oracle.requestSent(sentRequest);
        ids.push_back(sentRequest.id);
        text += headOf(m_load.toHttp(sentRequest, bytes));
    }
    co_await readSlowly(m_loop, m_fleet.daemons.at(daemon).traffic(), std::move(text), until);
    const CallerResult left {.ending = Ending::TimedOut, .endedAt = unixMilliseconds()};
    for (const auto &id : ids) {
        m_oracle.requestEnded(id, left);
    }
}

asio::awaitable<void> Soak::pollTargetLog(std::string name, Endpoint control)
{
    HttpClient client(m_loop);
    std::size_t from = 0;
    while (!m_ended) {
        co_await sleepFor(PollInterval);
        HttpRequest request {"GET", "/control/log?from=" + std::to_string(from), {{"Host", "target"}}, {}};
        const HttpResult result = co_await exchange(client, control, std::move(request));
        if (!result) {
            if (m_endedTargets.contains(name)) {
                co_return;
            }
            continue;
        }
        for (const auto &run : targetRuns(result.assume_value().body, name)) {
            m_oracle.targetRan(run);
            ++from;
        }
    }
}

asio::awaitable<void> Soak::pollObjectService()
{
    HttpClient client(m_loop);
    while (!m_ended) {
        HttpRequest request {"GET", "/control/leaving", {{"Host", "service"}}, {}};
        const HttpResult result = co_await exchange(client, m_fleet.storeControl, std::move(request));
        if (result) {
            m_oracle.setLeavingTargets(leavingTargets(result.assume_value().body));
        }
        reportDeadProcesses();
        report();
        co_await sleepFor(PollInterval);
    }
}

void Soak::reportDeadProcesses()
{
    for (const auto &[name, daemon] : m_fleet.daemons) {
        DaemonState &state = m_daemons.at(name);
        if (!state.down && !state.stopping && daemon.process->exitStatus() >= 0) {
            std::cout << "DIED daemon " << name << " with status " << daemon.process->exitStatus() << std::endl;
            ++m_violations;
            state.down = true;
            startDaemon(name);
        }
    }
    for (auto &[name, target] : m_fleet.targets) {
        if (!m_endedTargets.contains(name) && target.process->exitStatus() >= 0) {
            std::cout << "DIED target " << name << " with status " << target.process->exitStatus() << std::endl;
            ++m_violations;
            m_endedTargets.insert(name);
        }
    }
}

void Soak::report()
{
    for (const auto &violation : m_oracle.takeViolations()) {
        std::cout << unixMilliseconds() << " " << violation.rule << " " << violation.text << std::endl;
        ++m_violations;
    }
}

asio::awaitable<void> Soak::kill(std::string daemon, Duration downtime)
{
    DaemonState &state = m_daemons.at(daemon);
    if (state.down || state.stopping) {
        co_return;
    }
    state.down = true;
    markDisturbed(daemon, downtime);
    m_fleet.daemons.at(daemon).process->signal(SIGCONT);
    m_fleet.daemons.at(daemon).process->signal(SIGKILL);
    m_fleet.daemons.at(daemon).process->wait();
    co_await sleepFor(downtime);
    startDaemon(daemon);
    markDisturbed(daemon, std::chrono::seconds(1));
}

asio::awaitable<void> Soak::stop(std::string daemon)
{
    DaemonState &state = m_daemons.at(daemon);
    if (state.down || state.stopping || m_paused.contains(daemon)) {
        co_return;
    }
    state.stopping = true;
    const auto &process = m_fleet.daemons.at(daemon).process;
    process->signal(SIGTERM);
    const TimePoint begun = RuntimeClock::now();
    while (process->exitStatus() < 0 && RuntimeClock::now() - begun < StopGrace + std::chrono::seconds(1)) {
        co_await sleepFor(std::chrono::milliseconds(20));
    }
    const bool undisturbed = state.disturbedUntil < unixMilliseconds() - wholeMilliseconds(RuntimeClock::now() - begun);
    if (process->exitStatus() != 0 && undisturbed) {
        std::cout << "STOP " << daemon << " ended with status " << process->exitStatus() << " (-1: still running after the stop grace)" << std::endl;
        ++m_violations;
    }
    state.down = true;
    co_await sleepFor(std::chrono::milliseconds(200 + m_random() % 800));
    startDaemon(daemon);
    markDisturbed(daemon, std::chrono::seconds(1));
}

asio::awaitable<void> Soak::applyToDaemon(PlannedFault planned)
{
    const std::string name = daemonName(planned.subject);
    const Duration downtime = std::chrono::milliseconds(300 + planned.subject % 900);
    if (planned.fault == Fault::PauseDaemon) {
        if (m_daemons.at(name).down || m_daemons.at(name).stopping || !m_paused.insert(name).second) {
            co_return;
        }
        markDisturbed(name, planned.duration);
        const unsigned run = m_daemons.at(name).run;
        m_fleet.daemons.at(name).process->signal(SIGSTOP);
        co_await sleepFor(planned.duration);
        if (m_daemons.at(name).run == run && !m_daemons.at(name).down) {
            m_fleet.daemons.at(name).process->signal(SIGCONT);
        }
        m_paused.erase(name);
    } else if (planned.fault == Fault::KillDaemon) {
        co_await kill(name, downtime);
    } else if (planned.fault == Fault::HerdKill) {
        for (int number = 0; number < m_options.daemons; number += 2) {
            asio::co_spawn(m_loop, kill(daemonName(planned.subject + static_cast<unsigned>(number)), downtime), asio::detached);
        }
    } else if (planned.fault == Fault::StopDaemon) {
        co_await stop(name);
    } else if (planned.fault == Fault::RollingStop) {
        for (int number = 0; number < m_options.daemons / 2; ++number) {
            asio::co_spawn(m_loop, stop(daemonName(planned.subject + static_cast<unsigned>(number))), asio::detached);
            co_await sleepFor(std::chrono::milliseconds(300));
        }
    } else if (!m_daemons.at(name).down) {
        m_fleet.daemons.at(name).process->signal(SIGHUP);
    }
}

asio::awaitable<void> Soak::applyToTarget(PlannedFault planned)
{
    const unsigned slot = planned.subject % static_cast<unsigned>(m_options.targets);
    const std::string name = m_targetOfSlot.at(slot);
    const auto &process = m_fleet.targets.at(name).process;
    if (m_paused.contains(name)) {
        co_return; // the control port of a paused target doesn't answer
    }
    if (planned.fault == Fault::PauseTarget) {
        m_paused.insert(name);
        process->signal(SIGSTOP);
        co_await sleepFor(planned.duration);
        process->signal(SIGCONT);
        m_paused.erase(name);
    } else if (planned.fault == Fault::KillTarget || planned.fault == Fault::StopTarget) {
        m_endedTargets.insert(name);
        process->signal(planned.fault == Fault::KillTarget ? SIGKILL : SIGTERM);
        co_await sleepFor(std::chrono::milliseconds(500));
        startTarget(slot);
    } else {
        const bool slow = planned.fault == Fault::SlowTarget;
        m_fleet.targetFault(
            name,
            slow ? R"({"slow_factor":30})"
                 : R"({"error_share":0.1,"truncate_share":0.1,"stray_share":0.1,"crash_before_first_byte_share":0.15,"crash_after_first_byte_share":0.1})");
        co_await sleepFor(planned.duration);
        if (!m_endedTargets.contains(name) && !m_paused.contains(name)) {
            m_fleet.targetFault(
                name,
                R"({"slow_factor":1,"error_share":0,"truncate_share":0,"stray_share":0,"crash_before_first_byte_share":0,"crash_after_first_byte_share":0})");
        }
    }
}

// All targets of a service refuse half of the requests.
asio::awaitable<void> Soak::applyToService(PlannedFault planned)
{
    const std::string service = Services[planned.subject % std::size(Services)];
    const auto setShare = [this, &service](const char *fault) {
        for (const auto &[name, target] : m_fleet.targets) {
            if (target.service == service && !m_endedTargets.contains(name) && !m_paused.contains(name)) {
                m_fleet.targetFault(name, fault);
            }
        }
    };
    setShare(R"({"shed_share":0.5})");
    co_await sleepFor(planned.duration);
    setShare(R"({"shed_share":0})");
}

void Soak::applyToCallers(const PlannedFault &planned)
{
    const std::string daemon = daemonName(planned.subject);
    const TimePoint until = RuntimeClock::now() + planned.duration;
    for (unsigned number = 1; planned.fault == Fault::Burst && number <= BurstCallers; ++number) {
        asio::co_spawn(m_loop, runCaller(daemon, number, BurstThinkTime, until), asio::detached);
    }
    for (unsigned number = 0; planned.fault == Fault::SlowReaders && number < SlowReaders; ++number) {
        asio::co_spawn(m_loop, runSlowReader(daemon, 1, FileBytes, until), asio::detached);
    }
    for (unsigned number = 0; planned.fault == Fault::LeavingDownloads && number < LeavingCallers; ++number) {
        const Duration stay = planned.duration * number / (4 * LeavingCallers);
        asio::co_spawn(m_loop, runSlowReader(daemon, PipelinedDownloads, StreamedBytes, RuntimeClock::now() + stay), asio::detached);
    }
}

asio::awaitable<void> Soak::applyToLink(PlannedFault planned)
{
    const bool store = planned.fault == Fault::CutStoreLink || planned.fault == Fault::ResetStoreLink || planned.fault == Fault::SilenceStoreLink;
    const std::string link = store ? "store-" + daemonName(planned.subject) : targetName(planned.subject);
    const bool hasDuration = planned.fault == Fault::CutStoreLink || planned.fault == Fault::CutTargetLink || planned.fault == Fault::DelayTargetLink;
    if (store) {
        markDisturbed(daemonName(planned.subject), hasDuration ? Duration(planned.duration) : Duration::zero());
    }
    if (planned.fault == Fault::DelayTargetLink) {
        m_fleet.linkFault(link, R"({"delay_ms":150})");
    } else if (hasDuration) {
        m_fleet.linkFault(link, planned.subject % 2 == 0 ? R"({"cut_to":true})" : R"({"cut_from":true})");
    } else if (planned.fault == Fault::ResetTargetLink || planned.fault == Fault::ResetStoreLink) {
        m_fleet.linkFault(link, R"({"reset":true})");
    } else {
        m_fleet.linkFault(link, R"({"silence":true})");
    }
    if (hasDuration) {
        co_await sleepFor(planned.duration);
        m_fleet.linkFault(link, "{}");
    }
}

asio::awaitable<void> Soak::applyToStore(PlannedFault planned)
{
    static const std::map<Fault, std::pair<const char *, const char *>> faults {
        {Fault::StoreRefuses, {R"({"refuse_share":0.7})", R"({"refuse_share":0})"}},
        {Fault::StoreThrottles, {R"({"throttle_share":0.5})", R"({"throttle_share":0})"}},
        {Fault::StoreLosesAnswers, {R"({"lose_share":0.4,"late_share":0.5})", R"({"lose_share":0})"}},
        {Fault::StoreSlow, {R"({"slow_ms":300})", R"({"slow_ms":0})"}},
        {Fault::StoreSilent, {R"({"silent":true})", R"({"silent":false})"}}};
    if (planned.fault == Fault::StoreForgets) {
        test::httpCall(m_fleet.storeControl, "POST", "/control/compact");
        co_return;
    }
    if (planned.fault == Fault::OddEntries) {
        m_fleet.rawTargets(oddEntries());
        co_await sleepFor(planned.duration);
        co_return m_fleet.rawTargets({});
    }
    const auto &[begin, end] = faults.at(planned.fault);
    markAllDisturbed(planned.duration);
    m_fleet.storeFault(begin);
    co_await sleepFor(planned.duration);
    m_fleet.storeFault(end);
}

asio::awaitable<void> Soak::applyToDocument(PlannedFault planned)
{
    if (planned.fault == Fault::WithdrawKey) {
        const std::string key = m_load.withdrawGreenKey();
        publish();
        m_oracle.keyWithdrawn(key, unixMilliseconds());
        m_oracle.keyAdded(m_load.greenKey(), unixMilliseconds());
        co_return;
    }
    const unsigned count = planned.fault == Fault::DocumentStorm ? 5 : 1;
    for (unsigned number = 0; number < count; ++number) {
        publish();
        co_await sleepFor(std::chrono::milliseconds(330));
    }
}

asio::awaitable<void> Soak::apply(PlannedFault planned)
{
    std::cout << unixMilliseconds() << " fault " << toString(planned.fault) << " " << planned.duration.count() << " ms, subject "
              << planned.subject % static_cast<unsigned>(m_options.daemons) << "/" << planned.subject % static_cast<unsigned>(m_options.targets) << std::endl;
    if (planned.fault <= Fault::ReloadDaemon) {
        co_await applyToDaemon(planned);
    } else if (planned.fault <= Fault::SlowTarget) {
        co_await applyToTarget(planned);
    } else if (planned.fault == Fault::ShedService) {
        co_await applyToService(planned);
    } else if (planned.fault <= Fault::LeavingDownloads) {
        applyToCallers(planned);
    } else if (planned.fault <= Fault::SilenceStoreLink) {
        co_await applyToLink(planned);
    } else if (planned.fault <= Fault::OddEntries) {
        co_await applyToStore(planned);
    } else {
        co_await applyToDocument(planned);
    }
}

asio::awaitable<void> Soak::runFaults()
{
    co_await sleepFor(std::chrono::seconds(1));
    const TimePoint begin = RuntimeClock::now();
    for (const auto &planned : planFaults(static_cast<std::uint64_t>(m_options.seed), std::chrono::seconds(m_options.seconds))) {
        co_await sleepFor(std::max<Duration>(begin + planned.at - RuntimeClock::now(), Duration::zero()));
        asio::co_spawn(m_loop, apply(planned), asio::detached);
    }
    // Waits long enough for the longest fault, and for the planned stop that began last, to end.
    co_await sleepFor(std::chrono::seconds(8));
    co_await waitForRecovery();
    m_ended = true;
    co_await sleepFor(std::chrono::milliseconds(CallerTimeout));
    m_loop.stop();
}

asio::awaitable<void> Soak::waitForRecovery()
{
    const TimePoint begin = RuntimeClock::now();
    double share = 0;
    while (share < RecoveredShare && RuntimeClock::now() - begin < RecoveryTime) {
        const Time from = unixMilliseconds();
        co_await sleepFor(RecoveryWindow);
        share = m_oracle.servedSince(from);
    }
    std::cout << "served " << share << " of the latest requests, " << wholeMilliseconds(RuntimeClock::now() - begin) << " ms after the faults" << std::endl;
    if (share < RecoveredShare) {
        std::cout << "RECOVER less than " << RecoveredShare << " of the requests are served after the faults" << std::endl;
        ++m_violations;
    }
}

bool Soak::run()
{
    if (!start()) {
        std::cout << "START not all daemons became ready" << std::endl;
        m_fleet.keepsLogs = true;
        return false;
    }
    for (const auto &[name, daemon] : m_fleet.daemons) {
        for (unsigned number = 0; number < static_cast<unsigned>(m_options.callers); ++number) {
            asio::co_spawn(m_loop, runCaller(name, number, ThinkTime, TimePoint::max()), asio::detached);
        }
    }
    asio::co_spawn(m_loop, pollObjectService(), asio::detached);
    asio::co_spawn(m_loop, runFaults(), [](const std::exception_ptr &failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
    m_loop.run();
    m_oracle.finish();
    report();
    for (const auto &[outcome, count] : m_outcomes) {
        std::cout << "outcome " << outcome << ": " << count << " requests" << std::endl;
    }
    m_fleet.keepsLogs = m_violations > 0 || m_options.keepLogs != 0;
    if (m_fleet.keepsLogs) {
        std::cout << "logs " << m_fleet.folder() << std::endl;
    }
    return m_violations == 0;
}
}

int main(int argc, const char **argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options) {
        return 2;
    }
    const std::string path = argv[0];
    ::setenv("PLUMSILL_BIN", path.substr(0, path.rfind('/')).c_str(), 0);
    try {
        Soak soak(*options);
        const bool passed = soak.run();
        std::cout << "soak: seed " << options->seed << ": " << (passed ? "ok" : "FAILED") << std::endl;
        return passed ? 0 : 1;
    } catch (const std::exception &error) {
        std::cout << "soak: seed " << options->seed << ": " << error.what() << std::endl;
        return 1;
    }
}
