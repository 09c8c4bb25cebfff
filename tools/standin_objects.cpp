// Stand-in for the object service of the users' platform: versioned objects, watches, expiry, and faults on demand.
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
constexpr Duration LongestWatch = std::chrono::seconds(30);
constexpr Duration LatestWrite = std::chrono::seconds(3); // a write whose answer is lost may be done this late
constexpr Duration ExpiryTick = std::chrono::milliseconds(100);
constexpr unsigned MissedHeartbeats = 3;

/// What the service does to its callers; the control port changes it.
struct Faults {
    bool silent = false; ///< takes calls and never answers
    double refuseShare = 0; ///< answers 503, nothing done
    double throttleShare = 0; ///< answers 429, nothing done
    double loseShare = 0; ///< closes without an answer; a write is done, now or later
    double lateShare = 0; ///< of the lost writes, those that are done later
    Duration slow {};
};

std::optional<std::uint64_t> parseCount(const std::string &text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && !text.empty() ? std::optional(value) : std::nullopt;
}

/// A call on an object or on the objects of a kind.
struct Place {
    std::string kind;
    std::string name;
    bool status = false; ///< of the object
};

std::optional<Place> parsePlace(const std::string &path)
{
    if (!path.starts_with(platform::ObjectsPath)) {
        return std::nullopt;
    }
    const std::string rest = path.substr(std::string_view(platform::ObjectsPath).size());
    const auto slash = rest.find('/');
    Place place {rest.substr(0, slash), {}, false};
    if (slash != std::string::npos) {
        place.name = rest.substr(slash + 1);
        static const std::string suffix = "/status";
        if (place.name.ends_with(suffix)) {
            place.status = true;
            place.name.resize(place.name.size() - suffix.size());
        }
    }
    return place.kind.empty() ? std::nullopt : std::optional(place);
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

/// Timer of a waiting watch, known to the service while it lives.
struct WaitingWatch {
    WaitingWatch(asio::io_context &loop, std::list<RuntimeTimer *> &all)
        : timer(loop)
        , watches(all)
        , place(all.insert(all.end(), &timer))
    { }
    ~WaitingWatch() { watches.erase(place); }
    WaitingWatch(const WaitingWatch &) = delete;
    WaitingWatch &operator=(const WaitingWatch &) = delete;

    RuntimeTimer timer;
    std::list<RuntimeTimer *> &watches;
    std::list<RuntimeTimer *>::iterator place;
};

class ObjectService
{
public:
    ObjectService(asio::io_context &loop, Duration heartbeat, std::uint64_t seed)
        : m_loop(loop)
        , m_heartbeat(heartbeat)
        , m_random(seed)
    { }

    asio::awaitable<Answer> answer(Request request);
    asio::awaitable<Answer> control(Request request);
    asio::awaitable<void> runExpiry();

private:
    asio::awaitable<Answer> watch(const Request &request, const Place &place, std::uint64_t from);
    asio::awaitable<void> performLater(Request request, Place place);
    Answer perform(const Request &request, const Place &place);
    Answer readList(const Request &request, const Place &place) const;
    void noteHeartbeat(const Place &place, const Request &request);
    void wakeWatches();
    bool chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share; }

    asio::io_context &m_loop;
    const Duration m_heartbeat;
    std::mt19937_64 m_random;
    ObjectStore m_store;
    Faults m_faults;
    std::map<std::string, TimePoint> m_heard; ///< targets' entries and their last write
    std::map<std::string, std::int64_t> m_leaving; ///< Unix milliseconds since which a target is listed as leaving or gone
    std::list<RuntimeTimer *> m_watches;
    std::map<std::string, std::uint64_t> m_calls; ///< by method
};

asio::awaitable<Answer> ObjectService::answer(Request request)
{
    const auto place = parsePlace(request.path);
    if (!place) {
        co_return Answer {404};
    }
    ++m_calls[request.method];
    if (m_faults.silent) {
        co_await sleepFor(std::chrono::hours(1));
    }
    if (m_faults.slow > Duration::zero()) {
        co_await sleepFor(m_faults.slow);
    }
    if (chance(m_faults.refuseShare)) {
        co_return Answer {503};
    }
    if (chance(m_faults.throttleShare)) {
        co_return Answer {429};
    }
    if (chance(m_faults.loseShare)) {
        if (request.method != "GET") {
            asio::co_spawn(m_loop, performLater(request, *place), asio::detached);
        }
        Answer lost;
        lost.delivery = Delivery::Nothing;
        co_return lost;
    }
    const auto from = parseCount(queryValue(request, "watch"));
    if (request.method == "GET" && place->name.empty() && from) {
        co_return co_await watch(request, *place, *from);
    }
    co_return perform(request, *place);
}

asio::awaitable<void> ObjectService::performLater(Request request, Place place)
{
    if (chance(m_faults.lateShare)) {
        co_await sleepFor(fromSeconds(std::uniform_real_distribution<>(0, seconds(LatestWrite))(m_random)));
    }
    perform(request, place);
}

Answer ObjectService::readList(const Request &request, const Place &place) const
{
    const ObjectPage page = m_store.list(place.kind, queryValue(request, "after"));
    json::array items;
    for (const auto &item : page.items) {
        items.push_back(item);
    }
    return jsonAnswer(200, json::serialize(json::object {{"items", std::move(items)}, {"has-more", page.more}, {"as-of", page.revision}}));
}

Answer ObjectService::perform(const Request &request, const Place &place)
{
    if (request.method == "GET") {
        auto object = m_store.read(place.kind, place.name);
        return place.name.empty() ? readList(request, place) : toAnswer({object ? ObjectOutcome::Done : ObjectOutcome::Missing, object});
    }
    const std::uint64_t before = m_store.revision();
    auto expected = parseCount(queryValue(request, "revision"));
    ObjectReply reply;
    if (request.method == "DELETE") {
        reply = m_store.remove(place.kind, place.name, expected);
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
        if (request.method == "POST" && place.name.empty()) {
            reply = m_store.create(place.kind, *body);
        } else if (request.method == "PUT" && !place.name.empty()) {
            reply = m_store.replace(place.kind, place.name, place.status ? "status" : "spec", *body, expected);
        } else {
            return {405};
        }
    }
    noteHeartbeat(place, request);
    if (m_store.revision() != before) {
        wakeWatches();
    }
    return toAnswer(reply);
}

void ObjectService::noteHeartbeat(const Place &place, const Request &request)
{
    if (place.kind != platform::TargetsKind) {
        return;
    }
    std::set<std::string> ready;
    for (const auto &item : m_store.list(place.kind, {}).items) {
        const auto target = platform::decodeTarget(item);
        if (target && !target->leaving) {
            ready.insert(target->name.value);
            m_heard.try_emplace(target->name.value, RuntimeClock::now());
            m_leaving.erase(target->name.value);
        }
    }
    for (const auto &[name, lastReceivedAt] : m_heard) {
        if (!ready.contains(name)) {
            m_leaving.try_emplace(name, unixMilliseconds());
        }
    }
    if (request.method == "PUT") {
        m_heard[place.name] = RuntimeClock::now();
    }
}

// Entries of targets that went silent are removed, also while calls fail.
asio::awaitable<void> ObjectService::runExpiry()
{
    while (true) {
        co_await sleepFor(ExpiryTick);
        const TimePoint now = RuntimeClock::now();
        for (auto entry = m_heard.begin(); entry != m_heard.end();) {
            const bool expired = now - entry->second > MissedHeartbeats * m_heartbeat;
            if (expired) {
                m_leaving.try_emplace(entry->first, unixMilliseconds());
            }
            if (expired && m_store.remove(platform::TargetsKind, entry->first, {}, true).outcome == ObjectOutcome::Done) {
                wakeWatches();
            }
            entry = expired ? m_heard.erase(entry) : std::next(entry);
        }
    }
}

void ObjectService::wakeWatches()
{
    for (auto *watch : m_watches) {
        watch->cancel();
    }
}

asio::awaitable<Answer> ObjectService::watch(const Request &request, const Place &place, std::uint64_t from)
{
    const Duration wait = std::chrono::milliseconds(parseCount(queryValue(request, "wait-ms")).value_or(0));
    const TimePoint end = RuntimeClock::now() + std::min(wait, LongestWatch);
    WaitingWatch waiting(m_loop, m_watches);
    auto events = m_store.events(place.kind, from);
    while (events && events->empty() && RuntimeClock::now() < end) {
        waiting.timer.expires_at(end);
        boost::system::error_code woken;
        co_await waiting.timer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
        events = m_store.events(place.kind, from);
    }
    if (!events) {
        co_return Answer {410};
    }
    json::array told;
    for (const auto &event : *events) {
        told.push_back(json::object {{"object", event.object}, {"deleted", event.deleted}});
    }
    co_return jsonAnswer(200, json::serialize(json::object {{"events", std::move(told)}, {"as-of", m_store.revision()}}));
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
    if (request.path == "/control/leaving") {
        json::object leaving;
        for (const auto &[name, time] : m_leaving) {
            leaving[name] = time;
        }
        co_return jsonAnswer(200, json::serialize(leaving));
    }
    if (const auto place = parsePlace(request.path)) {
        // The operators' way in, which no fault touches.
        co_return perform(request, *place);
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
            m_faults.slow = std::chrono::milliseconds(value.to_number<std::int64_t>());
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
