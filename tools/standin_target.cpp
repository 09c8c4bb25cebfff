// Stand-in for a target with a few slots, a bounded queue, and gray failures on demand.
#include <plumsill/ini.h>

#include "../platform/wire.h"
#include "standin_p.h"
#include "standin_slots_p.h"
#include "target_registration.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <popt.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <random>

using namespace plumsill;
using namespace plumsill::standin;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr Duration Forever = std::chrono::hours(24 * 365);
constexpr Duration DrainListenTime = std::chrono::seconds(3);
constexpr Duration StopDelayAfterDrain = std::chrono::seconds(1); // the target serves a little longer than it announced
constexpr Duration LoadReportInterval = std::chrono::seconds(5);
constexpr double WarmUpSlowFactor = 10;
constexpr std::size_t MaxPaddingBytes = 8 * 1024 * 1024;

struct Settings {
    std::string name;
    std::string service;
    unsigned slots = 3;
    unsigned queue = 32;
    Duration serviceTime = std::chrono::milliseconds(20);
    Dialect dialect;
};

/// Record of a request that began to run.
struct Run {
    std::string id;
    std::string method;
    std::string path;
    std::string team;
    std::int64_t startedAt = 0; ///< Unix time in milliseconds
};

struct Faults {
    double slowFactor = 1;
    double errorShare = 0;
    double truncateShare = 0;
    double crashBeforeShare = 0;
    double crashAfterShare = 0;
    double strayShare = 0;
    double shedShare = 0; ///< refused without being run
    Duration answerDelay {};
    std::uint64_t unansweredUpTo = 0; ///< requests on connections with a serial number of at most this value get no answer
    bool unresponsive = false;
    bool swapsAnswers = false;
    bool drain = false;
    std::string rest; ///< text of Retry-After in the 503 with which the target refuses every request; empty: it refuses none
    std::string crashPath; ///< a request with this path ends the process after its work time; empty: none does
    std::string rateLimit; ///< text of the field by which the target limits its rate; empty: the answers have no such field
    Duration warmUpTime {};
    TimePoint warmUpSince;
};

struct Stats {
    std::uint64_t runs = 0;
    std::uint64_t seenKeys = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
};

/// Counts a request as cancelled if it ends before answered() is called.
class CancellationCount
{
public:
    explicit CancellationCount(Stats &stats)
        : m_stats(stats)
    { }
    ~CancellationCount() { m_stats.cancelled += m_answered ? 0 : 1; }
    CancellationCount(const CancellationCount &) = delete;
    CancellationCount &operator=(const CancellationCount &) = delete;
    void answered() { m_answered = true; }

private:
    Stats &m_stats;
    bool m_answered = false;
};

std::string hex(std::uint64_t value)
{
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
    return {digits.data(), end};
}

std::optional<std::uint64_t> parseCount(const std::string &text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

class WorkTarget
{
public:
    WorkTarget(Settings settings, std::uint64_t seed)
        : m_settings(std::move(settings))
        , m_slots(m_settings.slots, m_settings.queue)
        , m_random(seed)
    { }

    void listenOn(HttpServer &server) { m_server = &server; }
    asio::awaitable<Answer> answer(Request request);
    asio::awaitable<Answer> control(Request request);

private:
    asio::awaitable<Answer> work(const Request &request);
    asio::awaitable<Answer> run(const Request &request);
    asio::awaitable<void> stopListeningLater();
    Answer runAnswer(const Request &request, std::uint64_t number);
    Answer setFaults(const std::string &body);
    void setFault(std::string_view name, const json::value &value);
    bool setShare(std::string_view name, const json::value &value);
    Answer refusal(const Request &request, unsigned status, std::string text) const;
    std::string requestId(const Request &request) const { return fieldValue(request.fields, m_settings.dialect.requestId); }
    Answer runs() const;
    Answer log(const Request &request) const;
    Answer stats() const;
    Answer load();
    void countKeys(const Request &request);
    bool carriesKey(const Request &request) const;
    void applyDelivery(Answer &answer);
    Duration workTime() const;
    TimePoint deadline(const Request &request) const;
    bool chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share; }

    Settings m_settings;
    SlotQueue m_slots;
    std::mt19937_64 m_random;
    HttpServer *m_server = nullptr;
    Faults m_faults;
    Stats m_stats;
    std::map<std::string, std::uint64_t> m_runs;
    std::vector<Run> m_log; ///< runs in the order of their start
    std::vector<std::string> m_markers; ///< secrets that must not appear anywhere in a request that reaches the target
    Answer m_lastAnswer;
    std::string m_loadReport;
    TimePoint m_loadReported;
};

asio::awaitable<Answer> WorkTarget::answer(Request request)
{
    if (request.path.starts_with("/control/")) {
        co_return co_await control(std::move(request));
    }
    if (m_faults.unresponsive || request.connection <= m_faults.unansweredUpTo) {
        co_await sleepUnlessCancelled(Forever);
    }
    if (request.path == "/health") {
        co_return jsonAnswer(200, R"({"status":"ok"})");
    }
    if (request.path == "/load") {
        co_return load();
    }
    co_return co_await work(request);
}

asio::awaitable<Answer> WorkTarget::work(const Request &request)
{
    countKeys(request);
    CancellationCount cancellation(m_stats);
    const auto addressedTarget = m_settings.dialect.targetName.empty() ? std::string() : fieldValue(request.fields, m_settings.dialect.targetName);
    if (!addressedTarget.empty() && addressedTarget != m_settings.name) {
        cancellation.answered();
        co_return refusal(request, 421, "another target was meant\n");
    }
    if (!m_faults.rest.empty()) {
        ++m_stats.shed;
        Answer refused = refusal(request, 503, "no request for a while\n");
        refused.fields.push_back({"Retry-After", m_faults.rest});
        cancellation.answered();
        co_return refused;
    }
    Admission admission = Admission::Full;
    if (!chance(m_faults.shedShare)) {
        admission = co_await m_slots.acquire(deadline(request));
    }
    Answer answer;
    if (admission == Admission::Full) {
        ++m_stats.shed;
        answer = refusal(request, 503, "no slot is free\n");
        answer.fields.push_back({"Retry-After", "1"});
    } else if (admission == Admission::Expired) {
        ++m_stats.expired;
        answer = refusal(request, m_settings.dialect.notExecuted.empty() ? 504 : 503, "deadline passed in the queue\n");
    } else {
        answer = co_await run(request);
    }
    if (!m_faults.rateLimit.empty() && !m_settings.dialect.rateLimit.empty()) {
        answer.fields.push_back({m_settings.dialect.rateLimit, m_faults.rateLimit});
    }
    if (m_faults.drain) {
        answer.close = true;
        if (!m_settings.dialect.drain.empty()) {
            answer.fields.push_back({m_settings.dialect.drain, "1"});
        }
    }
    cancellation.answered();
    co_return answer;
}

// Runs a request. The run is recorded at its start, because from then on it may have an effect, whatever the answer is.
asio::awaitable<Answer> WorkTarget::run(const Request &request)
{
    Answer answer;
    {
        const SlotGuard slot(m_slots);
        // A request that was cancelled in the queue doesn't run.
        co_await throwIfCancelled();
        const auto number = ++m_stats.runs;
        ++m_runs[requestId(request)];
        const auto team = m_settings.dialect.team.empty() ? std::string() : fieldValue(request.fields, m_settings.dialect.team);
        m_log.push_back({requestId(request), request.method, request.path, team, unixMilliseconds()});
        co_await sleepUnlessCancelled(workTime());
        if (!m_faults.crashPath.empty() && request.path == m_faults.crashPath) {
            std::_Exit(EXIT_FAILURE);
        }
        answer = runAnswer(request, number);
    }
    if (m_faults.answerDelay > Duration::zero()) {
        co_await sleepUnlessCancelled(m_faults.answerDelay);
    }
    if (m_faults.swapsAnswers) {
        std::swap(answer, m_lastAnswer);
    }
    applyDelivery(answer);
    co_return answer;
}

Answer WorkTarget::runAnswer(const Request &request, std::uint64_t number)
{
    const auto id = requestId(request);
    json::object body {{"id", id},
                       {"method", request.method},
                       {"path", request.path},
                       {"target", m_settings.name},
                       {"service", m_settings.service},
                       {"run", number},
                       {"checksum", hex(XXH64(request.body.data(), request.body.size(), 0))}};
    const auto padding = parseCount(queryValue(request, "bytes")).value_or(0);
    if (padding > 0) {
        body["padding"] = std::string(std::min<std::size_t>(padding, MaxPaddingBytes), 'x');
    }
    auto answer = jsonAnswer(chance(m_faults.errorShare) ? 500 : 200, json::serialize(body));
    answer.fields.push_back({m_settings.dialect.requestId, id});
    if (!m_settings.dialect.signature.empty()) {
        const std::string signedText = id + " " + std::to_string(answer.status) + " " + answer.body;
        answer.fields.push_back({m_settings.dialect.signature, hex(XXH64(signedText.data(), signedText.size(), 0))});
    }
    return answer;
}

// Answers a request that did not run. The answer says so where the dialect has a field for it.
Answer WorkTarget::refusal(const Request &request, unsigned status, std::string text) const
{
    Answer answer {status, {{m_settings.dialect.requestId, requestId(request)}}, std::move(text)};
    if (!m_settings.dialect.notExecuted.empty()) {
        answer.fields.push_back({m_settings.dialect.notExecuted, "1"});
    }
    return answer;
}

void WorkTarget::applyDelivery(Answer &answer)
{
    if (chance(m_faults.crashBeforeShare)) {
        answer.delivery = Delivery::Nothing;
    } else if (chance(m_faults.crashAfterShare)) {
        answer.delivery = Delivery::FirstBytes;
    } else if (chance(m_faults.truncateShare)) {
        answer.delivery = Delivery::HalfBody;
    } else if (chance(m_faults.strayShare)) {
        answer.stray = "HTTP/1.1 200 OK\r\n" + m_settings.dialect.requestId + ": stray\r\nContent-Length: 5\r\n\r\nstray";
    }
}

Duration WorkTarget::workTime() const
{
    double factor = m_faults.slowFactor;
    const auto warmUpShare = m_faults.warmUpTime > Duration::zero() ? seconds(RuntimeClock::now() - m_faults.warmUpSince) / seconds(m_faults.warmUpTime) : 1.0;
    factor *= warmUpShare < 1 ? WarmUpSlowFactor - (WarmUpSlowFactor - 1) * warmUpShare : 1.0;
    return fromSeconds(seconds(m_settings.serviceTime) * factor);
}

TimePoint WorkTarget::deadline(const Request &request) const
{
    const auto wait = parseCount(fieldValue(request.fields, m_settings.dialect.deadline));
    return RuntimeClock::now() + (wait ? Duration(std::chrono::milliseconds(*wait)) : Forever);
}

void WorkTarget::countKeys(const Request &request)
{
    m_stats.seenKeys += carriesKey(request) ? 1 : 0;
}

bool WorkTarget::carriesKey(const Request &request) const
{
    if (!fieldValue(request.fields, "X-Api-Key").empty() || !fieldValue(request.fields, "Authorization").empty()) {
        return true;
    }
    const auto holds = [](const std::string &text, const std::string &marker) { return text.find(marker) != std::string::npos; };
    return std::any_of(m_markers.begin(), m_markers.end(), [&](const std::string &marker) {
        return holds(request.target, marker) || holds(request.path, marker) || holds(request.body, marker)
            || std::any_of(request.fields.begin(), request.fields.end(),
                           [&](const HttpField &field) { return holds(field.name, marker) || holds(field.value, marker); });
    });
}

// The load report is renewed only every LoadReportInterval, as reports of the platform's targets are.
Answer WorkTarget::load()
{
    const auto now = RuntimeClock::now();
    if (m_loadReport.empty() || now - m_loadReported >= LoadReportInterval) {
        m_loadReported = now;
        m_loadReport = json::serialize(json::object {{"in_flight", m_slots.inFlight()}, {"queued", m_slots.queued()}});
    }
    return jsonAnswer(200, m_loadReport);
}

asio::awaitable<Answer> WorkTarget::control(Request request)
{
    if (request.path == "/control/runs") {
        co_return runs();
    }
    if (request.path == "/control/log") {
        co_return log(request);
    }
    if (request.path == "/control/stats") {
        co_return stats();
    }
    if (request.path == "/control/markers") {
        m_markers = json::value_to<std::vector<std::string>>(json::parse(request.body));
        co_return Answer {204};
    }
    if (request.path == "/control/faults") {
        const bool wasDraining = m_faults.drain;
        auto result = setFaults(request.body);
        if (m_faults.drain && !wasDraining) {
            asio::co_spawn(co_await asio::this_coro::executor, stopListeningLater(), asio::detached);
        }
        co_return result;
    }
    co_return Answer {404};
}

asio::awaitable<void> WorkTarget::stopListeningLater()
{
    co_await sleepFor(DrainListenTime);
    m_server->stopAccepting();
}

Answer WorkTarget::setFaults(const std::string &body)
{
    const auto faults = json::parse(body);
    for (const auto &[name, value] : faults.as_object()) {
        if (!setShare(name, value)) {
            setFault(name, value);
        }
    }
    return {204};
}

bool WorkTarget::setShare(std::string_view name, const json::value &value)
{
    const std::map<std::string_view, double *> shares {{"slow_factor", &m_faults.slowFactor},
                                                       {"error_share", &m_faults.errorShare},
                                                       {"truncate_share", &m_faults.truncateShare},
                                                       {"stray_share", &m_faults.strayShare},
                                                       {"crash_before_first_byte_share", &m_faults.crashBeforeShare},
                                                       {"crash_after_first_byte_share", &m_faults.crashAfterShare},
                                                       {"shed_share", &m_faults.shedShare}};
    const auto found = shares.find(name);
    if (found != shares.end()) {
        *found->second = value.to_number<double>();
    }
    return found != shares.end();
}

void WorkTarget::setFault(std::string_view name, const json::value &value)
{
    if (name == "late_ms") {
        m_faults.answerDelay = std::chrono::milliseconds(value.to_number<std::int64_t>());
    } else if (name == "silent") {
        m_faults.unansweredUpTo = value.as_bool() ? m_server->newestConnection() : 0;
    } else if (name == "silent_all") {
        m_faults.unresponsive = value.as_bool();
    } else if (name == "mixed") {
        m_faults.swapsAnswers = value.as_bool();
    } else if (name == "drain") {
        m_faults.drain = value.as_bool();
    } else if (name == "rest") {
        m_faults.rest = std::string(value.as_string());
    } else if (name == "crash_path") {
        m_faults.crashPath = std::string(value.as_string());
    } else if (name == "rate_limit") {
        m_faults.rateLimit = std::string(value.as_string());
    } else if (name == "cold_ms") {
        m_faults.warmUpTime = std::chrono::milliseconds(value.to_number<std::int64_t>());
        m_faults.warmUpSince = RuntimeClock::now();
    } else {
        throw std::invalid_argument("unknown fault: " + std::string(name));
    }
}

Answer WorkTarget::runs() const
{
    json::object counts;
    for (const auto &[id, count] : m_runs) {
        counts[id] = count;
    }
    return jsonAnswer(200, json::serialize(counts));
}

// Returns the runs from the number in the query parameter "from" on.
Answer WorkTarget::log(const Request &request) const
{
    json::array entries;
    for (std::size_t number = parseCount(queryValue(request, "from")).value_or(0); number < m_log.size(); ++number) {
        const Run &run = m_log[number];
        entries.push_back(json::object {{"id", run.id}, {"method", run.method}, {"path", run.path}, {"team", run.team}, {"started_at", run.startedAt}});
    }
    return jsonAnswer(200, json::serialize(entries));
}

Answer WorkTarget::stats() const
{
    return jsonAnswer(200,
                      json::serialize(json::object {{"runs", m_stats.runs},
                                                    {"seen_keys", m_stats.seenKeys},
                                                    {"shed", m_stats.shed},
                                                    {"cancelled", m_stats.cancelled},
                                                    {"expired", m_stats.expired},
                                                    {"in_flight", m_slots.inFlight()},
                                                    {"queued", m_slots.queued()}}));
}
/// Command line options as popt stores them, before they are checked.
struct Options {
    const char *name = "";
    const char *service = "";
    const char *listen = "127.0.0.1:0";
    const char *serviceTime = "20ms";
    const char *store = "";
    const char *zone = "";
    const char *advertise = "";
    const char *heartbeat = "1500ms";
    const char *drain = "2s";
    const char *linger = "0s";
    int slots = 3;
    int queue = 32;
    long seed = 1;
    int platform = 0;
};

asio::awaitable<void> leaveAndStop(TargetRegistration &registration, Duration drain, Duration linger, asio::io_context &loop)
{
    co_await registration.leave(drain);
    co_await sleepFor(StopDelayAfterDrain + linger);
    loop.stop();
}

int run(const Options &commandLine)
{
    const auto endpoint = parseEndpoint(commandLine.listen);
    const auto serviceTime = parseDuration(commandLine.serviceTime);
    const auto heartbeat = parseDuration(commandLine.heartbeat);
    const auto drain = parseDuration(commandLine.drain);
    const auto linger = parseDuration(commandLine.linger);
    const auto store = parseEndpoint(commandLine.store);
    if (!endpoint || !serviceTime || !heartbeat || !drain || !linger || commandLine.slots < 1 || commandLine.queue < 0 || (!store && *commandLine.store != 0)) {
        std::cerr << "standin-target: bad option value\n";
        return 2;
    }
    Settings settings {
        commandLine.name, commandLine.service, static_cast<unsigned>(commandLine.slots), static_cast<unsigned>(commandLine.queue), *serviceTime, {}};
    if (commandLine.platform != 0) {
        settings.dialect = platform::dialect();
    }
    // The loop is destroyed before the target because the loop's coroutines hold slots of the target.
    WorkTarget target(std::move(settings), static_cast<std::uint64_t>(commandLine.seed));
    std::optional<TargetRegistration> registration;
    asio::io_context loop;
    HttpServer server(
        loop, *endpoint, [&target](Request request) { return target.answer(std::move(request)); }, OnClose::Cancel);
    HttpServer controlServer(
        loop, {endpoint->address, 0}, [&target](Request request) { return target.control(std::move(request)); }, OnClose::Finish);
    target.listenOn(server);
    if (store) {
        Target entry {{commandLine.name}, {commandLine.service}, {commandLine.zone}, parseEndpoint(commandLine.advertise).value_or(server.endpoint())};
        entry.slots = static_cast<std::uint32_t>(commandLine.slots);
        entry.startedAt = static_cast<std::uint64_t>(unixMilliseconds());
        registration.emplace(loop, *store, std::move(entry), *heartbeat);
        asio::co_spawn(loop, registration->run(), asio::detached);
    }
    stopOnSignal(loop, [&loop, &registration, &drain, &linger] {
        if (registration) {
            asio::co_spawn(loop, leaveAndStop(*registration, *drain, *linger, loop), asio::detached);
        } else {
            loop.stop();
        }
    });
    std::cout << "ready http=" << toString(server.endpoint()) << " control=" << toString(controlServer.endpoint()) << std::endl;
    loop.run();
    return 0;
}
}

int main(int argc, const char **argv)
{
    Options commandLine;
    constexpr unsigned Shown = POPT_ARGFLAG_SHOW_DEFAULT;
    const poptOption options[] = {{"name", 'n', POPT_ARG_STRING, &commandLine.name, 0, "name of the target", "NAME"},
                                  {"service", 's', POPT_ARG_STRING, &commandLine.service, 0, "service that it belongs to", "NAME"},
                                  {"slots", 0, POPT_ARG_INT | Shown, &commandLine.slots, 0, "number of requests that run at the same time", "N"},
                                  {"queue", 0, POPT_ARG_INT | Shown, &commandLine.queue, 0, "maximum number of waiting requests", "N"},
                                  {"listen", 'l', POPT_ARG_STRING | Shown, &commandLine.listen, 0, "address to listen on", "IP:PORT"},
                                  {"service-time", 't', POPT_ARG_STRING | Shown, &commandLine.serviceTime, 0, "work time of one request", "DURATION"},
                                  {"seed", 0, POPT_ARG_LONG | Shown, &commandLine.seed, 0, "seed of the random faults", "N"},
                                  {"platform", 0, POPT_ARG_NONE, &commandLine.platform, 0, "use the header fields of the users' platform", nullptr},
                                  {"register", 0, POPT_ARG_STRING, &commandLine.store, 0, "object service to register at", "IP:PORT"},
                                  {"zone", 0, POPT_ARG_STRING, &commandLine.zone, 0, "availability zone to register", "NAME"},
                                  {"advertise", 0, POPT_ARG_STRING, &commandLine.advertise, 0, "address to register instead of its own", "IP:PORT"},
                                  {"heartbeat", 0, POPT_ARG_STRING | Shown, &commandLine.heartbeat, 0, "time between two writes of its entry", "DURATION"},
                                  {"drain", 0, POPT_ARG_STRING | Shown, &commandLine.drain, 0, "time to serve after it announced that it leaves", "DURATION"},
                                  {"linger", 0, POPT_ARG_STRING | Shown, &commandLine.linger, 0, "time to serve after its entry was removed", "DURATION"},
                                  POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin-target", argc, argv, options, 0);
    const int bad = poptGetNextOpt(context);
    if (bad < -1) {
        std::cerr << "standin-target: bad option " << poptBadOption(context, 0) << "\n";
        return 2;
    }
    const int status = run(commandLine);
    poptFreeContext(context);
    return status;
}
