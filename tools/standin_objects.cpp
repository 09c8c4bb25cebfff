// Stand-in for the object service of the users' platform. It serves versioned objects and watches, removes expired target
// entries, and injects faults on demand.
#include "../platform/decode.h"
#include "../platform/wire.h"
#include "../src/standin_p.h"
#include "object_store.h"

#include <plumsill/ini.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include <popt.h>

#include <charconv>
#include <iostream>
#include <list>
#include <random>
#include <set>

using namespace plumsill;
using namespace plumsill::standin;
namespace asio = boost::asio;

namespace
{
constexpr Duration MaxWatchTime = std::chrono::seconds(30);
constexpr Duration MaxWriteDelay = std::chrono::seconds(3); // maximum delay of a write whose answer is lost
constexpr Duration ExpiryCheckInterval = std::chrono::milliseconds(100);
constexpr unsigned MaxMissedHeartbeats = 3;

/// Injected faults, set through the control port.
struct Faults {
    bool silent = false; ///< accepts calls and never answers
    double refuseShare = 0; ///< share of the calls that are answered with 503 without effect
    double throttleShare = 0; ///< share of the calls that are answered with 429 without effect
    double loseShare = 0; ///< share of the calls that get no answer; their writes take effect at once or later
    double lateShare = 0; ///< of the writes whose answer is lost: share that takes effect later
    Duration callDelay {}; ///< delay of every call
};

std::optional<std::uint64_t> parseCount(const std::string &text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && !text.empty() ? std::optional(value) : std::nullopt;
}

/// Path of an object; if the name is empty, of all objects of the kind.
struct ObjectPath {
    std::string kind;
    std::string name;
    bool status = false; ///< the path addresses the status of the object
};

std::optional<ObjectPath> parseObjectPath(const std::string &path)
{
    if (!path.starts_with(platform::ObjectsPath)) {
        return std::nullopt;
    }
    const std::string rest = path.substr(std::string_view(platform::ObjectsPath).size());
    const auto slash = rest.find('/');
    ObjectPath objectPath {rest.substr(0, slash), {}, false};
    if (slash != std::string::npos) {
        objectPath.name = rest.substr(slash + 1);
        static const std::string suffix = "/status";
        if (objectPath.name.ends_with(suffix)) {
            objectPath.status = true;
            objectPath.name.resize(objectPath.name.size() - suffix.size());
        }
    }
    return objectPath.kind.empty() ? std::nullopt : std::optional(objectPath);
}

Answer toAnswer(const ObjectReply &reply)
{
    const std::string text = reply.object ? json::serialize(*reply.object) : "{}";
    switch (reply.outcome) {
    case ObjectOutcome::Done:
        return jsonAnswer(200, text);
    case ObjectOutcome::Created:
        return jsonAnswer(201, text);
    case ObjectOutcome::Missing:
        return jsonAnswer(404, text);
    case ObjectOutcome::Conflict:
        return jsonAnswer(409, text);
    case ObjectOutcome::Malformed:
        return jsonAnswer(400, text);
    }
    return jsonAnswer(500, text);
}

/// Timer of a pending watch request. Stays in the service's list as long as this object lives.
struct WaitingWatch {
    WaitingWatch(asio::io_context &loop, std::list<RuntimeTimer *> &all)
        : timer(loop)
        , watches(all)
        , position(all.insert(all.end(), &timer))
    { }
    ~WaitingWatch() { watches.erase(position); }
    WaitingWatch(const WaitingWatch &) = delete;
    WaitingWatch &operator=(const WaitingWatch &) = delete;

    RuntimeTimer timer;
    std::list<RuntimeTimer *> &watches;
    std::list<RuntimeTimer *>::iterator position;
};

class ObjectService
{
public:
    ObjectService(asio::io_context &loop, Duration heartbeat, std::uint64_t seed)
        : m_loop(loop)
        , m_heartbeat(heartbeat)
        , m_random(seed)
    { }

    /// Answers a call of a daemon or a target. Every answer names the era of the store.
    asio::awaitable<Answer> answer(Request request);
    asio::awaitable<Answer> control(Request request);
    asio::awaitable<void> runExpiry();

private:
    asio::awaitable<Answer> answerCall(Request request);
    asio::awaitable<Answer> watch(const Request &request, const ObjectPath &objectPath, std::uint64_t from);
    asio::awaitable<void> performLater(Request request, ObjectPath objectPath);
    Answer perform(const Request &request, const ObjectPath &objectPath);
    Answer readList(const Request &request, const ObjectPath &objectPath) const;
    void recordHeartbeat(const ObjectPath &objectPath, const Request &request);
    void wakeWatches();
    bool chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share; }

    asio::io_context &m_loop;
    const Duration m_heartbeat;
    std::mt19937_64 m_random;
    ObjectStore m_store;
    Faults m_faults;
    std::map<std::string, TimePoint> m_lastHeartbeatAt; ///< time of the last write of each target's entry
    std::map<std::string, std::int64_t> m_leaving; ///< Unix time in milliseconds at which a target was listed as leaving or removed
    std::list<RuntimeTimer *> m_watches;
    std::string m_rawTargets; ///< entries of another writer, at the beginning of each list of targets
    std::map<std::string, std::uint64_t> m_calls; ///< number of calls by method
};

asio::awaitable<Answer> ObjectService::answer(Request request)
{
    Answer result = co_await answerCall(std::move(request));
    result.fields.push_back({platform::EraField, std::to_string(m_store.era())});
    co_return result;
}

asio::awaitable<Answer> ObjectService::answerCall(Request request)
{
    const auto objectPath = parseObjectPath(request.path);
    if (!objectPath) {
        co_return Answer {404};
    }
    ++m_calls[request.method];
    if (m_faults.silent) {
        co_await sleepFor(std::chrono::hours(1));
    }
    if (m_faults.callDelay > Duration::zero()) {
        co_await sleepFor(m_faults.callDelay);
    }
    if (chance(m_faults.refuseShare)) {
        co_return Answer {503};
    }
    if (chance(m_faults.throttleShare)) {
        co_return Answer {429};
    }
    if (chance(m_faults.loseShare)) {
        if (request.method != "GET") {
            asio::co_spawn(m_loop, performLater(request, *objectPath), asio::detached);
        }
        Answer lost;
        lost.delivery = Delivery::Nothing;
        co_return lost;
    }
    const auto from = parseCount(queryValue(request, "watch"));
    if (request.method == "GET" && objectPath->name.empty() && from) {
        co_return co_await watch(request, *objectPath, *from);
    }
    co_return perform(request, *objectPath);
}

asio::awaitable<void> ObjectService::performLater(Request request, ObjectPath objectPath)
{
    if (chance(m_faults.lateShare)) {
        co_await sleepFor(fromSeconds(std::uniform_real_distribution<>(0, seconds(MaxWriteDelay))(m_random)));
    }
    perform(request, objectPath);
}

Answer ObjectService::readList(const Request &request, const ObjectPath &objectPath) const
{
    const ObjectPage page = m_store.list(objectPath.kind, queryValue(request, "after"));
    std::string items = objectPath.kind == platform::TargetsKind ? m_rawTargets : std::string();
    for (const auto &item : page.items) {
        items += (items.empty() ? "" : ",") + json::serialize(item);
    }
    return jsonAnswer(200, "{\"items\":[" + items + "],\"has-more\":" + (page.more ? "true" : "false") + ",\"as-of\":" + std::to_string(page.revision) + "}");
}

Answer ObjectService::perform(const Request &request, const ObjectPath &objectPath)
{
    if (request.method == "GET") {
        auto object = m_store.read(objectPath.kind, objectPath.name);
        return objectPath.name.empty() ? readList(request, objectPath) : toAnswer({object ? ObjectOutcome::Done : ObjectOutcome::Missing, object});
    }
    const std::uint64_t before = m_store.revision();
    auto expected = parseCount(queryValue(request, "revision"));
    ObjectReply reply;
    if (request.method == "DELETE") {
        reply = m_store.remove(objectPath.kind, objectPath.name, expected);
    } else {
        boost::system::error_code error;
        const json::value parsed = json::parse(request.body, error);
        const auto *body = error ? nullptr : parsed.if_object();
        if (body == nullptr) {
            return {400};
        }
        const auto *metadata = body->if_contains("metadata");
        const auto *revision = metadata == nullptr || !metadata->is_object() ? nullptr : metadata->get_object().if_contains("revision");
        expected = revision != nullptr && revision->is_int64() ? std::optional(static_cast<std::uint64_t>(revision->get_int64())) : expected;
        if (request.method == "POST" && objectPath.name.empty()) {
            reply = m_store.create(objectPath.kind, *body);
        } else if (request.method == "PUT" && !objectPath.name.empty()) {
            reply = m_store.replace(objectPath.kind, objectPath.name, objectPath.status ? "status" : "spec", *body, expected);
        } else {
            return {405};
        }
    }
    recordHeartbeat(objectPath, request);
    if (m_store.revision() != before) {
        wakeWatches();
    }
    return toAnswer(reply);
}

// Updates the record of leaving targets after a write to a target's entry. If the write is a PUT, it counts as the target's heartbeat.
void ObjectService::recordHeartbeat(const ObjectPath &objectPath, const Request &request)
{
    if (objectPath.kind != platform::TargetsKind) {
        return;
    }
    std::set<std::string> ready;
    for (const auto &item : m_store.list(objectPath.kind, {}).items) {
        const auto target = platform::decodeTarget(item);
        if (target && !target.assume_value().leaving) {
            ready.insert(target.assume_value().name.value);
            m_lastHeartbeatAt.try_emplace(target.assume_value().name.value, RuntimeClock::now());
            m_leaving.erase(target.assume_value().name.value);
        }
    }
    for (const auto &[name, heartbeatAt] : m_lastHeartbeatAt) {
        if (!ready.contains(name)) {
            m_leaving.try_emplace(name, unixMilliseconds());
        }
    }
    if (request.method == "PUT") {
        m_lastHeartbeatAt[objectPath.name] = RuntimeClock::now();
    }
}

// Removes the entries of targets without a heartbeat for MaxMissedHeartbeats intervals, also while injected faults make calls fail.
asio::awaitable<void> ObjectService::runExpiry()
{
    while (true) {
        co_await sleepFor(ExpiryCheckInterval);
        const TimePoint now = RuntimeClock::now();
        for (auto entry = m_lastHeartbeatAt.begin(); entry != m_lastHeartbeatAt.end();) {
            const bool expired = now - entry->second > MaxMissedHeartbeats * m_heartbeat;
            if (expired) {
                m_leaving.try_emplace(entry->first, unixMilliseconds());
            }
            if (expired && m_store.remove(platform::TargetsKind, entry->first, {}, true).outcome == ObjectOutcome::Done) {
                wakeWatches();
            }
            entry = expired ? m_lastHeartbeatAt.erase(entry) : std::next(entry);
        }
    }
}

void ObjectService::wakeWatches()
{
    for (auto *watch : m_watches) {
        watch->cancel();
    }
}

asio::awaitable<Answer> ObjectService::watch(const Request &request, const ObjectPath &objectPath, std::uint64_t from)
{
    const Duration wait = std::chrono::milliseconds(parseCount(queryValue(request, "wait-ms")).value_or(0));
    const TimePoint end = RuntimeClock::now() + std::min(wait, MaxWatchTime);
    WaitingWatch waiting(m_loop, m_watches);
    auto events = m_store.events(objectPath.kind, from);
    while (events && events->empty() && RuntimeClock::now() < end) {
        waiting.timer.expires_at(end);
        boost::system::error_code woken;
        co_await waiting.timer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
        events = m_store.events(objectPath.kind, from);
    }
    if (!events) {
        co_return Answer {410};
    }
    json::array eventList;
    for (const auto &event : *events) {
        eventList.push_back(json::object {{"object", event.object}, {"deleted", event.deleted}});
    }
    co_return jsonAnswer(200, json::serialize(json::object {{"events", std::move(eventList)}, {"as-of", m_store.revision()}}));
}

asio::awaitable<Answer> ObjectService::control(Request request)
{
    if (request.path == "/control/calls") {
        json::object calls;
        for (const auto &[method, count] : m_calls) {
            calls[method] = count;
        }
        co_return jsonAnswer(200, json::serialize(calls));
    }
    if (request.path == "/control/compact") {
        m_store.compact();
        wakeWatches();
        co_return Answer {204};
    }
    if (request.path == "/control/copy") {
        m_store.copy();
        co_return Answer {204};
    }
    if (request.path == "/control/restore") {
        m_store.restore();
        wakeWatches();
        co_return Answer {204};
    }
    if (request.path == "/control/raw-targets") {
        m_rawTargets = request.body;
        co_return Answer {204};
    }
    if (request.path == "/control/leaving") {
        json::object leaving;
        for (const auto &[name, time] : m_leaving) {
            leaving[name] = time;
        }
        co_return jsonAnswer(200, json::serialize(leaving));
    }
    if (const auto objectPath = parseObjectPath(request.path)) {
        // Object calls on the control port are those of operators and aren't subject to faults.
        co_return perform(request, *objectPath);
    }
    if (request.path != "/control/faults") {
        co_return Answer {404};
    }
    const json::value faults = json::parse(request.body);
    const std::map<std::string_view, double *> shares {{"refuse_share", &m_faults.refuseShare},
                                                       {"throttle_share", &m_faults.throttleShare},
                                                       {"lose_share", &m_faults.loseShare},
                                                       {"late_share", &m_faults.lateShare}};
    for (const auto &[name, value] : faults.as_object()) {
        if (const auto share = shares.find(name); share != shares.end()) {
            *share->second = value.to_number<double>();
        } else if (name == "silent") {
            m_faults.silent = value.as_bool();
        } else if (name == "slow_ms") {
            m_faults.callDelay = std::chrono::milliseconds(value.to_number<std::int64_t>());
        } else {
            co_return Answer {400, {}, "unknown fault"};
        }
    }
    co_return Answer {204};
}
}

int main(int argc, const char **argv)
{
    const char *listen = "127.0.0.1:0";
    const char *heartbeatText = "1500ms";
    long seed = 1;
    constexpr unsigned Shown = POPT_ARGFLAG_SHOW_DEFAULT;
    const poptOption options[] = {{"listen", 'l', POPT_ARG_STRING | Shown, &listen, 0, "address to listen on", "IP:PORT"},
                                  {"heartbeat", 0, POPT_ARG_STRING | Shown, &heartbeatText, 0, "time between two heartbeats of a target", "DURATION"},
                                  {"seed", 0, POPT_ARG_LONG | Shown, &seed, 0, "seed of the random faults", "N"},
                                  POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin-objects", argc, argv, options, 0);
    const int bad = poptGetNextOpt(context);
    const auto endpoint = parseEndpoint(listen);
    const auto heartbeat = parseDuration(heartbeatText);
    if (bad < -1 || !endpoint || !heartbeat) {
        std::cerr << "standin-objects: bad option " << (bad < -1 ? poptBadOption(context, 0) : "value") << "\n";
        return 2;
    }
    asio::io_context loop;
    ObjectService service(loop, *heartbeat, static_cast<std::uint64_t>(seed));
    HttpServer server(
        loop, *endpoint, [&service](Request request) { return service.answer(std::move(request)); }, OnClose::Cancel);
    HttpServer controlServer(
        loop, {endpoint->address, 0}, [&service](Request request) { return service.control(std::move(request)); }, OnClose::Finish);
    asio::co_spawn(loop, service.runExpiry(), asio::detached);
    stopOnSignal(loop, [&loop] { loop.stop(); });
    std::cout << "ready http=" << toString(server.endpoint()) << " control=" << toString(controlServer.endpoint()) << std::endl;
    loop.run();
    poptFreeContext(context);
    return 0;
}
