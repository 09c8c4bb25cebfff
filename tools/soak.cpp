// Randomized fault soak: a fleet of real processes, faults from outside in overlapping series, and the fleet's promises
// checked against what callers and targets see.
#include "../platform/wire.h"
#include "../src/clock_p.h"
#include "../src/http_client_p.h"
#include "../src/standin_p.h"
#include "soak_oracle.h"
#include "soak_plan.h"
#include "zone_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/json/parse.hpp>

#include <popt.h>
#include <xxhash.h>

#include <iostream>
#include <random>

using namespace plumsill;
using namespace plumsill::soak;
using standin::unixMilliseconds;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr Time CallerPatience = 6000; ///< milliseconds; the deadline that is told to the fleet is shorter
constexpr unsigned ToldDeadline = 4000; ///< milliseconds
constexpr Time ContactTime = 3000; ///< milliseconds until a machine without disturbance is in touch again, as the users' sites have it
constexpr Time DisturbanceMargin = 1500; ///< milliseconds; the fault's own end is seen late on a busy machine
constexpr auto StopGrace = std::chrono::seconds(6);
constexpr auto RecoveryTime = std::chrono::seconds(15);
constexpr auto RecoveryWindow = std::chrono::seconds(2);
constexpr double RecoveredShare = 0.9;
constexpr auto PollInterval = std::chrono::milliseconds(200);
constexpr auto ThinkTime = std::chrono::milliseconds(30);
constexpr auto ControlTimeout = std::chrono::seconds(1);
constexpr const char *Services[] = {"lookup", "payments", "records"};
constexpr TeamQuota BlueQuota {40, 20};

struct Options {
    long seed = 1;
    int seconds = 20;
    int daemons = 8;
    int targets = 12;
    int callers = 3; ///< of each daemon
    int keepLogs = 0;
};

class Soak
{
public:
    explicit Soak(const Options &options)
        : m_options(options)
        , m_random(static_cast<std::uint64_t>(options.seed))
        , m_fleet({true, static_cast<unsigned>(options.seed), 500, 2000})
        , m_oracle({}, {{"blue", BlueQuota}})
    { }

    /// True when every promise was kept.
    bool run();

private:
    struct DaemonState {
        unsigned run = 0;
        Time disturbedUntil = 0;
        bool stopping = false; ///< it was told to
        bool down = false; ///< between its end and its next start
    };

    // Surroundings.
    bool start();
    void startDaemon(const std::string &name);
    void startTarget(unsigned slot);
    void publish();
    test::PlatformDocument document() const;
    asio::awaitable<void> drive();
    asio::awaitable<void> recover();

    // Callers.
    asio::awaitable<void> call(std::string daemon, unsigned number);
    asio::awaitable<HttpResult> exchange(HttpClient &client, Endpoint to, HttpRequest request);
    Asked nextRequest(const std::string &daemon, unsigned number);
    HttpRequest toRequest(const Asked &asked) const;
    void note(const Asked &asked, const HttpResult &result, bool sent);
    bool isOwn(const Asked &asked, const HttpAnswer &answer) const;

    // Observation.
    asio::awaitable<void> followTarget(std::string name, Endpoint control);
    asio::awaitable<void> followService();
    void checkProcesses();
    void report();

    // Faults.
    asio::awaitable<void> apply(PlannedFault planned);
    asio::awaitable<void> applyToDaemon(PlannedFault planned);
    asio::awaitable<void> applyToTarget(PlannedFault planned);
    asio::awaitable<void> applyToLink(PlannedFault planned);
    asio::awaitable<void> applyToStore(PlannedFault planned);
    asio::awaitable<void> applyToDocument(PlannedFault planned);
    asio::awaitable<void> kill(std::string daemon, Duration downtime);
    asio::awaitable<void> stop(std::string daemon);
    void disturb(const std::string &daemon, Duration duration);
    void disturbAll(Duration duration);
    std::string daemonName(std::uint32_t subject) const { return "d" + std::to_string(subject % static_cast<unsigned>(m_options.daemons)); }
    std::string targetName(std::uint32_t subject) const;

    const Options m_options;
    const Dialect m_dialect = platform::dialect();
    std::mt19937_64 m_random;
    asio::io_context m_loop {1};
    test::ZoneFleet m_fleet;
    Oracle m_oracle;
    std::map<std::string, DaemonState> m_daemons;
    std::map<unsigned, std::string> m_targetOf; ///< name of the present target of each slot
    std::set<std::string> m_endedTargets; ///< ended by the soak
    std::set<std::string> m_frozen; ///< daemons and targets that are paused
    unsigned m_targetRuns = 0;
    unsigned m_version = 0;
    unsigned m_keyNumber = 0;
    std::vector<std::string> m_oldKeys;
    std::uint64_t m_nextId = 0;
    bool m_ended = false;
    unsigned m_violations = 0;
    std::map<std::string, unsigned> m_outcomes;
};

test::PlatformDocument Soak::document() const
{
    test::PlatformDocument document;
    document.version = m_version;
    for (const char *service : Services) {
        document.services.emplace_back(service);
    }
    document.routes = {{"read", "/read/", "lookup", true, false, 2, 3000, 1000},
                       {"order", "/order/", "payments", false, false, 1, 3000, 1000},
                       {"open", "/open/", "records", true, true, 2, 3000, 1000}};
    const unsigned oldest = m_version >= Oracle::KeptVersions ? m_version - Oracle::KeptVersions + 1 : 1;
    for (unsigned version = oldest; version <= m_version; ++version) {
        const std::string number = std::to_string(version);
        document.routes.push_back({"version-" + number, "/v" + number + "/", "lookup", true, true, 2, 3000, 1000});
    }
    document.teams = {{"red", {"red-key-0000"}, 0, 0},
                      {"blue", {"blue-key-0000"}, BlueQuota.rate, BlueQuota.burst},
                      {"green", {"green-key-" + std::to_string(m_keyNumber)}, 0, 0}};
    return document;
}

void Soak::publish()
{
    ++m_version;
    if (!m_fleet.publish(document())) {
        throw std::runtime_error("the object service refused a document");
    }
    m_oracle.documentAccepted(m_version, unixMilliseconds());
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
    m_targetOf[slot] = name;
    asio::co_spawn(m_loop, followTarget(name, m_fleet.targets.at(name).control), asio::detached);
}

std::string Soak::targetName(std::uint32_t subject) const
{
    return m_targetOf.at(subject % static_cast<unsigned>(m_options.targets));
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

// Until a machine is in touch again, what it does is excused where the fleet's promises say so.
void Soak::disturb(const std::string &daemon, Duration duration)
{
    const Time until = unixMilliseconds() + wholeMilliseconds(duration) + ContactTime + DisturbanceMargin;
    Time &known = m_daemons.at(daemon).disturbedUntil;
    known = std::max(known, until);
}

void Soak::disturbAll(Duration duration)
{
    for (const auto &[name, state] : m_daemons) {
        disturb(name, duration);
    }
}

Asked Soak::nextRequest(const std::string &daemon, unsigned number)
{
    Asked asked;
    asked.id = std::to_string(m_options.seed) + "-" + std::to_string(++m_nextId);
    asked.daemon = daemon + "#" + std::to_string(m_daemons.at(daemon).run);
    asked.method = "GET";
    const auto kind = m_random() % 10;
    if (number == 0) {
        // Keeps asking for the newest routes, and for one that went not long ago.
        asked.version = m_version - std::min<unsigned>(static_cast<unsigned>(m_random() % 2), m_version - 1);
        asked.path = "/v" + std::to_string(asked.version) + "/x";
        return asked;
    }
    asked.path = kind < 4 ? "/order/" : kind < 9 ? "/read/" : "/open/";
    asked.path += asked.id;
    if (kind < 4) {
        asked.method = "POST";
        asked.idempotent = false;
    }
    if (kind == 9) {
        return asked;
    }
    const auto team = m_random() % 8;
    if (team < 4) {
        asked.team = "red";
        asked.key = "red-key-0000";
    } else if (team < 6) {
        asked.team = "blue";
        asked.key = "blue-key-0000";
    } else if (team == 6 || m_oldKeys.empty()) {
        asked.team = "green";
        asked.key = "green-key-" + std::to_string(m_keyNumber);
    } else if (m_random() % 2 == 0) {
        asked.team = "green";
        asked.key = m_oldKeys[m_random() % m_oldKeys.size()];
    } else {
        asked.key = "nobodys-key-00";
        asked.mayRun = false;
    }
    return asked;
}

HttpRequest Soak::toRequest(const Asked &asked) const
{
    HttpRequest request;
    request.method = asked.method;
    request.target = asked.path;
    request.fields = {{"Host", test::FleetHost}, {m_dialect.requestId, asked.id}, {m_dialect.deadline, std::to_string(ToldDeadline)}};
    if (!asked.key.empty()) {
        request.fields.push_back({"Authorization", "Bearer " + asked.key});
    }
    request.body = asked.method == "POST" ? "order " + asked.id : "";
    return request;
}

bool Soak::isOwn(const Asked &asked, const HttpAnswer &answer) const
{
    const std::string signature = fieldValue(answer.fields, m_dialect.signature);
    if (signature.empty()) {
        return answer.status < 200 || answer.status > 299;
    }
    const std::string sealed = asked.id + " " + std::to_string(answer.status) + " " + answer.body;
    std::array<char, 20> expected {};
    std::snprintf(expected.data(), expected.size(), "%llx", static_cast<unsigned long long>(XXH64(sealed.data(), sealed.size(), 0)));
    return signature == expected.data();
}

void Soak::note(const Asked &asked, const HttpResult &result, bool sent)
{
    const std::string name = asked.daemon.substr(0, asked.daemon.find('#'));
    Told told;
    told.endedAt = unixMilliseconds();
    told.calm = m_daemons.at(name).disturbedUntil < asked.sentAt;
    if (result) {
        told.status = result.assume_value().status;
        told.own = isOwn(asked, result.assume_value());
    } else if (!sent) {
        told.ending = Ending::NotSent;
    } else {
        told.ending = result.assume_error() == HttpError::TimedOut ? Ending::Silent : Ending::Cut;
    }
    ++m_outcomes[result ? std::to_string(told.status) : !sent ? "not sent" : toString(result.assume_error())];
    m_oracle.told(asked.id, told);
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
    const Duration patience = std::chrono::milliseconds(CallerPatience);
    co_return co_await client.exchange(std::move(request), patience);
}

// Keeps its connection until the process behind it is gone.
asio::awaitable<void> Soak::call(std::string daemon, unsigned number)
{
    HttpClient client(m_loop);
    while (!m_ended) {
        co_await sleepFor(ThinkTime);
        Asked asked = nextRequest(daemon, number);
        asked.sentAt = unixMilliseconds();
        m_oracle.asked(asked);
        HttpRequest request = toRequest(asked);
        const Endpoint to = m_fleet.daemons.at(daemon).traffic();
        const HttpResult result = co_await exchange(client, to, std::move(request));
        const bool sent = result || result.assume_error() != HttpError::Refused;
        note(asked, result, sent);
    }
}

asio::awaitable<void> Soak::followTarget(std::string name, Endpoint control)
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
        const json::value runs = json::parse(result.assume_value().body);
        for (const auto &entry : runs.as_array()) {
            const auto text = [&entry](const char *field) { return std::string(entry.at(field).as_string()); };
            m_oracle.ran({text("id"), text("method"), text("path"), text("team"), name});
            ++from;
        }
    }
}

asio::awaitable<void> Soak::followService()
{
    HttpClient client(m_loop);
    while (!m_ended) {
        HttpRequest request {"GET", "/control/leaving", {{"Host", "service"}}, {}};
        const HttpResult result = co_await exchange(client, m_fleet.storeControl, std::move(request));
        if (result) {
            const json::value leaving = json::parse(result.assume_value().body);
            std::map<std::string, Time> left;
            for (const auto &[name, at] : leaving.as_object()) {
                left[std::string(name)] = at.to_number<Time>();
            }
            m_oracle.targetsLeft(std::move(left));
        }
        checkProcesses();
        report();
        co_await sleepFor(PollInterval);
    }
}

void Soak::checkProcesses()
{
    for (const auto &[name, daemon] : m_fleet.daemons) {
        DaemonState &state = m_daemons.at(name);
        if (!state.down && !state.stopping && daemon.process->exitStatus() >= 0) {
            std::cout << "DIED " << name << " with status " << daemon.process->exitStatus() << std::endl;
            ++m_violations;
            state.down = true;
            startDaemon(name);
        }
    }
    for (auto &[name, target] : m_fleet.targets) {
        if (!m_endedTargets.contains(name) && target.process->exitStatus() >= 0) {
            std::cout << "DIED " << name << " with status " << target.process->exitStatus() << std::endl;
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
    disturb(daemon, downtime);
    m_fleet.daemons.at(daemon).process->signal(SIGCONT);
    m_fleet.daemons.at(daemon).process->signal(SIGKILL);
    m_fleet.daemons.at(daemon).process->wait();
    co_await sleepFor(downtime);
    startDaemon(daemon);
    disturb(daemon, std::chrono::seconds(1));
}

asio::awaitable<void> Soak::stop(std::string daemon)
{
    DaemonState &state = m_daemons.at(daemon);
    if (state.down || state.stopping || m_frozen.contains(daemon)) {
        co_return;
    }
    state.stopping = true;
    const auto &process = m_fleet.daemons.at(daemon).process;
    process->signal(SIGTERM);
    const TimePoint begun = RuntimeClock::now();
    while (process->exitStatus() < 0 && RuntimeClock::now() - begun < StopGrace + std::chrono::seconds(1)) {
        co_await sleepFor(std::chrono::milliseconds(20));
    }
    const bool calm = state.disturbedUntil < unixMilliseconds() - wholeMilliseconds(RuntimeClock::now() - begun);
    if (process->exitStatus() != 0 && calm) {
        std::cout << "STOP " << daemon << " ended with status " << process->exitStatus() << " (-1: not in time)" << std::endl;
        ++m_violations;
    }
    state.down = true;
    co_await sleepFor(std::chrono::milliseconds(200 + m_random() % 800));
    startDaemon(daemon);
    disturb(daemon, std::chrono::seconds(1));
}

asio::awaitable<void> Soak::applyToDaemon(PlannedFault planned)
{
    const std::string name = daemonName(planned.subject);
    const Duration downtime = std::chrono::milliseconds(300 + planned.subject % 900);
    if (planned.fault == Fault::PauseDaemon) {
        if (m_daemons.at(name).down || m_daemons.at(name).stopping || !m_frozen.insert(name).second) {
            co_return;
        }
        disturb(name, planned.duration);
        const unsigned run = m_daemons.at(name).run;
        m_fleet.daemons.at(name).process->signal(SIGSTOP);
        co_await sleepFor(planned.duration);
        if (m_daemons.at(name).run == run && !m_daemons.at(name).down) {
            m_fleet.daemons.at(name).process->signal(SIGCONT);
        }
        m_frozen.erase(name);
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
    const std::string name = m_targetOf.at(slot);
    const auto &process = m_fleet.targets.at(name).process;
    if (m_frozen.contains(name)) {
        co_return; // its control port wouldn't answer
    }
    if (planned.fault == Fault::PauseTarget) {
        m_frozen.insert(name);
        process->signal(SIGSTOP);
        co_await sleepFor(planned.duration);
        process->signal(SIGCONT);
        m_frozen.erase(name);
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
        if (!m_endedTargets.contains(name) && !m_frozen.contains(name)) {
            m_fleet.targetFault(
                name,
                R"({"slow_factor":1,"error_share":0,"truncate_share":0,"stray_share":0,"crash_before_first_byte_share":0,"crash_after_first_byte_share":0})");
        }
    }
}

asio::awaitable<void> Soak::applyToLink(PlannedFault planned)
{
    const bool store = planned.fault == Fault::CutStoreLink || planned.fault == Fault::ResetStoreLink || planned.fault == Fault::SilenceStoreLink;
    const std::string link = store ? "store-" + daemonName(planned.subject) : targetName(planned.subject);
    const bool lasts = planned.fault == Fault::CutStoreLink || planned.fault == Fault::CutTargetLink || planned.fault == Fault::DelayTargetLink;
    if (store) {
        disturb(daemonName(planned.subject), lasts ? Duration(planned.duration) : Duration::zero());
    }
    if (planned.fault == Fault::DelayTargetLink) {
        m_fleet.linkFault(link, R"({"delay_ms":150})");
    } else if (lasts) {
        m_fleet.linkFault(link, planned.subject % 2 == 0 ? R"({"cut_to":true})" : R"({"cut_from":true})");
    } else if (planned.fault == Fault::ResetTargetLink || planned.fault == Fault::ResetStoreLink) {
        m_fleet.linkFault(link, R"({"reset":true})");
    } else {
        m_fleet.linkFault(link, R"({"silence":true})");
    }
    if (lasts) {
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
    const auto &[begin, end] = faults.at(planned.fault);
    disturbAll(planned.duration);
    m_fleet.storeFault(begin);
    co_await sleepFor(planned.duration);
    m_fleet.storeFault(end);
}

asio::awaitable<void> Soak::applyToDocument(PlannedFault planned)
{
    if (planned.fault == Fault::WithdrawKey) {
        const std::string key = "green-key-" + std::to_string(m_keyNumber++);
        m_oldKeys.push_back(key);
        publish();
        m_oracle.keyWithdrawn(key, unixMilliseconds());
        m_oracle.keyGiven("green-key-" + std::to_string(m_keyNumber), unixMilliseconds());
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
    } else if (planned.fault <= Fault::SilenceStoreLink) {
        co_await applyToLink(planned);
    } else if (planned.fault <= Fault::StoreForgets) {
        co_await applyToStore(planned);
    } else {
        co_await applyToDocument(planned);
    }
}

asio::awaitable<void> Soak::drive()
{
    co_await sleepFor(std::chrono::seconds(1));
    const TimePoint begin = RuntimeClock::now();
    for (const auto &planned : planFaults(static_cast<std::uint64_t>(m_options.seed), std::chrono::seconds(m_options.seconds))) {
        co_await sleepFor(std::max<Duration>(begin + planned.at - RuntimeClock::now(), Duration::zero()));
        asio::co_spawn(m_loop, apply(planned), asio::detached);
    }
    // The longest fault, and a stop that was begun last.
    co_await sleepFor(std::chrono::seconds(8));
    co_await recover();
    m_ended = true;
    co_await sleepFor(std::chrono::milliseconds(CallerPatience));
    m_loop.stop();
}

asio::awaitable<void> Soak::recover()
{
    const TimePoint begin = RuntimeClock::now();
    double share = 0;
    while (share < RecoveredShare && RuntimeClock::now() - begin < RecoveryTime) {
        const Time from = unixMilliseconds();
        co_await sleepFor(RecoveryWindow);
        share = m_oracle.servedSince(from);
    }
    std::cout << "served " << share << " of the last requests, " << wholeMilliseconds(RuntimeClock::now() - begin) << " ms after the faults" << std::endl;
    if (share < RecoveredShare) {
        std::cout << "RECOVER less than " << RecoveredShare << " is served after the faults" << std::endl;
        ++m_violations;
    }
}

bool Soak::run()
{
    if (!start()) {
        std::cout << "START not all daemons are ready" << std::endl;
        m_fleet.keepsLogs = true;
        return false;
    }
    for (const auto &[name, daemon] : m_fleet.daemons) {
        for (unsigned number = 0; number < static_cast<unsigned>(m_options.callers); ++number) {
            asio::co_spawn(m_loop, call(name, number), asio::detached);
        }
    }
    asio::co_spawn(m_loop, followService(), asio::detached);
    asio::co_spawn(m_loop, drive(), [](const std::exception_ptr &failure) {
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
    Options options;
    constexpr unsigned Shown = POPT_ARGFLAG_SHOW_DEFAULT;
    const poptOption table[] = {{"seed", 's', POPT_ARG_LONG | Shown, &options.seed, 0, "seed of the faults and of the load", "N"},
                                {"seconds", 't', POPT_ARG_INT | Shown, &options.seconds, 0, "time in which faults begin", "N"},
                                {"daemons", 'd', POPT_ARG_INT | Shown, &options.daemons, 0, "daemons, in three zones", "N"},
                                {"targets", 0, POPT_ARG_INT | Shown, &options.targets, 0, "targets, of three services", "N"},
                                {"callers", 'c', POPT_ARG_INT | Shown, &options.callers, 0, "callers of each daemon", "N"},
                                {"keep-logs", 0, POPT_ARG_NONE, &options.keepLogs, 0, "keep the daemons' logs also of a good run", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("soak", argc, argv, table, 0);
    const int bad = poptGetNextOpt(context);
    if (bad < -1 || options.seconds < 1 || options.daemons < 3 || options.daemons > 200 || options.targets < 3 || options.callers < 1) {
        std::cerr << "soak: bad option " << (bad < -1 ? poptBadOption(context, 0) : "value") << "\n";
        return 2;
    }
    poptFreeContext(context);
    const std::string path = argv[0];
    ::setenv("PLUMSILL_BIN", path.substr(0, path.rfind('/')).c_str(), 0);
    try {
        Soak soak(options);
        const bool good = soak.run();
        std::cout << "soak: seed " << options.seed << ": " << (good ? "ok" : "FAILED") << std::endl;
        return good ? 0 : 1;
    } catch (const std::exception &error) {
        std::cout << "soak: seed " << options.seed << ": " << error.what() << std::endl;
        return 1;
    }
}
