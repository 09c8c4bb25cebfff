// Stand-in for the platform's object service. It serves versioned objects and watches, and lists of instances and targets,
// which can lag behind. It injects faults on demand.
#include <plumsill/config.h>
#include <plumsill/ini.h>

#include "standin_p.h"

#include <boost/json.hpp>

#include <popt.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <iostream>
#include <list>
#include <map>
#include <optional>

using namespace plumsill;
using namespace plumsill::standin;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr std::size_t MaxHistoryChanges = 20'000;
constexpr std::string_view ObjectsPath = "/v1/objects/";

struct StoredValue {
    std::string value;
    std::uint64_t version = 0;
};

// Deleted keys stay in the map, so that a stale read still returns their previous value.
struct Object {
    std::optional<StoredValue> current;
    std::optional<StoredValue> previous;
};

struct Change {
    bool deleted = false;
    std::string key;
    StoredValue stored;
};

struct Faults {
    bool down = false;
    bool staleReads = false;
    bool silentWatch = false;
    std::uint64_t loseAnswers = 0;
    Duration slow {};
    Duration listLag {};
};

struct Stats {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    double endedWatchSeconds = 0;
};

/// List of named JSON objects. Readers get an earlier state of the list: the newest one that is at least as old as the lag.
class LaggingList
{
public:
    void put(const std::string &name, json::object entry, TimePoint now)
    {
        entry["name"] = name;
        if (!entry.contains("state")) {
            entry["state"] = "live";
        }
        m_entries[name] = std::move(entry);
        record(now);
    }

    bool remove(const std::string &name, TimePoint now)
    {
        const bool known = m_entries.erase(name) > 0;
        record(now);
        return known;
    }

    std::string text(TimePoint now, Duration lag) const
    {
        std::string visibleText = "[]";
        for (const auto &state : m_snapshots) {
            if (state.since + lag <= now) {
                visibleText = state.text;
            }
        }
        return visibleText;
    }

private:
    struct Snapshot {
        TimePoint since;
        std::string text;
    };

    void record(TimePoint now)
    {
        json::array list;
        for (const auto &[name, entry] : m_entries) {
            list.push_back(entry);
        }
        m_snapshots.push_back({now, json::serialize(list)});
    }

    std::map<std::string, json::object> m_entries;
    std::vector<Snapshot> m_snapshots;
};

std::string quoted(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

std::optional<std::uint64_t> parseVersion(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t version = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), version);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && !text.empty() ? std::optional(version) : std::nullopt;
}

std::string changeLine(const Change &change)
{
    json::object line {{"type", change.deleted ? "delete" : "put"}, {"key", change.key}, {"version", change.stored.version}, {"value", change.stored.value}};
    return json::serialize(line) + "\n";
}

std::string bookmarkLine(std::uint64_t revision)
{
    return json::serialize(json::object {{"type", "bookmark"}, {"version", revision}}) + "\n";
}

class Platform
{
public:
    asio::awaitable<Answer> answer(Request request);

private:
    struct Watch {
        Watch(Platform &owner, std::string watchedPrefix, std::uint64_t from, const asio::any_io_executor &executor);
        ~Watch();
        Watch(const Watch &) = delete;
        Watch &operator=(const Watch &) = delete;

        Platform &platform;
        std::string prefix;
        std::uint64_t cursor;
        TimePoint opened = RuntimeClock::now();
        TimePoint bookmark = opened + config::WatchBookmarkInterval;
        RuntimeTimer wake;
        std::list<Watch *>::iterator place;
    };

    Answer control(const Request &request);
    Answer setFaults(const std::string &body);
    Answer changeList(LaggingList &list, const std::string &name, const Request &request);
    Answer stats() const;
    asio::awaitable<Answer> call(const Request &request);
    Answer perform(const Request &request, const asio::any_io_executor &executor);
    Answer readObject(const std::string &key);
    Answer listObjects(const std::string &prefix);
    Answer putObject(const std::string &key, const Request &request);
    Answer deleteObject(const std::string &key, const Request &request);
    Answer openWatch(const Request &request, const asio::any_io_executor &executor);
    Answer loseAnswerIfDue(Answer answer);
    void apply(const std::string &key, std::optional<std::string> value);
    const std::optional<StoredValue> &visible(const Object &object) const { return m_faults.staleReads ? object.previous : object.current; }
    asio::awaitable<std::string> nextLines(std::shared_ptr<Watch> watch);
    std::string pendingLines(Watch &watch) const;

    std::map<std::string, Object> m_objects;
    std::deque<Change> m_history;
    std::uint64_t m_expiredRevision = 0; ///< highest revision that is no longer in the history
    std::uint64_t m_revision = 0;
    LaggingList m_instances;
    LaggingList m_targets;
    Faults m_faults;
    Stats m_stats;
    std::list<Watch *> m_watches;
};

Platform::Watch::Watch(Platform &owner, std::string watchedPrefix, std::uint64_t from, const asio::any_io_executor &executor)
    : platform(owner)
    , prefix(std::move(watchedPrefix))
    , cursor(from)
    , wake(executor)
    , place(owner.m_watches.insert(owner.m_watches.end(), this))
{ }

Platform::Watch::~Watch()
{
    platform.m_watches.erase(place);
    platform.m_stats.endedWatchSeconds += seconds(RuntimeClock::now() - opened);
}

asio::awaitable<Answer> Platform::answer(Request request)
{
    if (request.path.starts_with("/control/")) {
        co_return control(request);
    }
    if (m_faults.down) {
        co_return Answer {503, {}, {}, true, Delivery::Nothing};
    }
    co_return co_await call(request);
}

// Half of the delay of a slow call comes before its effect and half after it, so that a caller that timed out doesn't know
// whether the call took effect.
asio::awaitable<Answer> Platform::call(const Request &request)
{
    const auto half = m_faults.slow / 2;
    if (half > Duration::zero()) {
        co_await sleepFor(half);
    }
    auto result = perform(request, co_await asio::this_coro::executor);
    if (half > Duration::zero()) {
        co_await sleepFor(half);
    }
    co_return result;
}

Answer Platform::perform(const Request &request, const asio::any_io_executor &executor)
{
    const bool read = request.method == "GET";
    (read ? m_stats.reads : m_stats.writes) += 1;
    if (request.path == "/v1/objects" && read) {
        return listObjects(queryValue(request, "prefix"));
    }
    if (request.path == "/v1/watch" && read) {
        return openWatch(request, executor);
    }
    if (request.path == "/v1/instances" && read) {
        return jsonAnswer(200, m_instances.text(RuntimeClock::now(), m_faults.listLag));
    }
    if (request.path == "/v1/targets" && read) {
        return jsonAnswer(200, m_targets.text(RuntimeClock::now(), m_faults.listLag));
    }
    if (!request.path.starts_with(ObjectsPath) || request.path.size() == ObjectsPath.size()) {
        return {404};
    }
    const auto key = request.path.substr(ObjectsPath.size());
    if (read) {
        return readObject(key);
    }
    if (request.method == "PUT") {
        return loseAnswerIfDue(putObject(key, request));
    }
    return request.method == "DELETE" ? loseAnswerIfDue(deleteObject(key, request)) : Answer {405};
}

Answer Platform::readObject(const std::string &key)
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end() || !visible(found->second)) {
        return {404};
    }
    const auto &stored = *visible(found->second);
    return {200, {{"ETag", quoted(stored.version)}, {"Content-Type", "application/octet-stream"}}, stored.value};
}

Answer Platform::listObjects(const std::string &prefix)
{
    json::array list;
    std::uint64_t newest = 0;
    for (auto place = m_objects.lower_bound(prefix); place != m_objects.end() && place->first.starts_with(prefix); ++place) {
        const auto &stored = visible(place->second);
        if (stored) {
            list.push_back(json::object {{"key", place->first}, {"version", stored->version}, {"value", stored->value}});
            newest = std::max(newest, stored->version);
        }
    }
    const auto revision = m_faults.staleReads ? newest : m_revision;
    return jsonAnswer(200, json::serialize(json::object {{"revision", revision}, {"objects", std::move(list)}}));
}

Answer Platform::putObject(const std::string &key, const Request &request)
{
    const auto match = fieldValue(request.fields, "If-Match");
    const bool create = fieldValue(request.fields, "If-None-Match") == "*";
    if (match.empty() && !create) {
        return {428};
    }
    if (request.body.size() > config::MaxValueBytes) {
        return {413};
    }
    const auto found = m_objects.find(key);
    const bool exists = found != m_objects.end() && found->second.current;
    if (create ? exists : !exists || parseVersion(match) != found->second.current->version) {
        return {412};
    }
    apply(key, request.body);
    return {create ? 201U : 200U, {{"ETag", quoted(m_revision)}}};
}

Answer Platform::deleteObject(const std::string &key, const Request &request)
{
    const auto match = fieldValue(request.fields, "If-Match");
    if (match.empty()) {
        return {428};
    }
    const auto found = m_objects.find(key);
    if (found == m_objects.end() || !found->second.current) {
        return {404};
    }
    if (parseVersion(match) != found->second.current->version) {
        return {412};
    }
    apply(key, std::nullopt);
    return {204};
}

// Withholds the answer of a write that took effect while answers are still to be lost (m_faults.loseAnswers is above 0).
Answer Platform::loseAnswerIfDue(Answer answer)
{
    if (answer.status < 300 && m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        answer.delivery = Delivery::Nothing;
    }
    return answer;
}

void Platform::apply(const std::string &key, std::optional<std::string> value)
{
    ++m_revision;
    auto &object = m_objects[key];
    object.previous = std::move(object.current);
    object.current.reset();
    m_history.push_back({!value, key, {value.value_or(""), m_revision}});
    if (value) {
        object.current = StoredValue {std::move(*value), m_revision};
    }
    if (m_history.size() > MaxHistoryChanges) {
        m_expiredRevision = m_history.front().stored.version;
        m_history.pop_front();
    }
    for (auto *watch : m_watches) {
        watch->wake.cancel();
    }
}

Answer Platform::openWatch(const Request &request, const asio::any_io_executor &executor)
{
    const auto from = parseVersion(queryValue(request, "from"));
    if (!from) {
        return {400};
    }
    if (*from < m_expiredRevision || *from > m_revision) {
        return {410};
    }
    auto watch = std::make_shared<Watch>(*this, queryValue(request, "prefix"), *from, executor);
    Answer answer {200, {{"Content-Type", "application/x-ndjson"}}};
    answer.next = [this, watch] { return nextLines(watch); };
    return answer;
}

asio::awaitable<std::string> Platform::nextLines(std::shared_ptr<Watch> watch)
{
    for (;;) {
        if (m_faults.down) {
            co_return std::string();
        }
        const auto lines = m_faults.silentWatch ? std::string() : pendingLines(*watch);
        if (!lines.empty()) {
            co_return lines;
        }
        if (RuntimeClock::now() >= watch->bookmark) {
            watch->bookmark = RuntimeClock::now() + config::WatchBookmarkInterval;
        }
        watch->wake.expires_at(watch->bookmark);
        boost::system::error_code woken;
        co_await watch->wake.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
}

std::string Platform::pendingLines(Watch &watch) const
{
    std::string lines;
    const auto after = [](std::uint64_t cursor, const Change &change) { return cursor < change.stored.version; };
    for (auto change = std::upper_bound(m_history.begin(), m_history.end(), watch.cursor, after); change != m_history.end(); ++change) {
        lines += change->key.starts_with(watch.prefix) ? changeLine(*change) : std::string();
    }
    watch.cursor = m_revision;
    if (RuntimeClock::now() >= watch.bookmark) {
        watch.bookmark = RuntimeClock::now() + config::WatchBookmarkInterval;
        lines += bookmarkLine(m_revision);
    }
    return lines;
}

Answer Platform::control(const Request &request)
{
    if (request.path == "/control/faults") {
        return setFaults(request.body);
    }
    if (request.path == "/control/stats") {
        return stats();
    }
    constexpr std::string_view Targets = "/control/targets/";
    constexpr std::string_view Instances = "/control/instances/";
    if (request.path.starts_with(Targets)) {
        return changeList(m_targets, request.path.substr(Targets.size()), request);
    }
    if (request.path.starts_with(Instances)) {
        return changeList(m_instances, request.path.substr(Instances.size()), request);
    }
    return {404};
}

Answer Platform::changeList(LaggingList &list, const std::string &name, const Request &request)
{
    const auto now = RuntimeClock::now();
    if (request.method == "PUT") {
        list.put(name, json::parse(request.body).as_object(), now);
        return {204};
    }
    if (request.method == "DELETE") {
        return {list.remove(name, now) ? 204U : 404U};
    }
    return {405};
}

Answer Platform::setFaults(const std::string &body)
{
    const auto faults = json::parse(body);
    for (const auto &[name, value] : faults.as_object()) {
        if (name == "down") {
            m_faults.down = value.as_bool();
        } else if (name == "stale_reads") {
            m_faults.staleReads = value.as_bool();
        } else if (name == "silent_watch") {
            m_faults.silentWatch = value.as_bool();
        } else if (name == "lose_answers") {
            m_faults.loseAnswers = value.to_number<std::uint64_t>();
        } else if (name == "slow_ms") {
            m_faults.slow = std::chrono::milliseconds(value.to_number<std::int64_t>());
        } else if (name == "list_lag_ms") {
            m_faults.listLag = std::chrono::milliseconds(value.to_number<std::int64_t>());
        } else {
            return {400, {}, "unknown fault"};
        }
    }
    for (auto *watch : m_watches) {
        watch->wake.cancel();
    }
    return {204};
}

Answer Platform::stats() const
{
    double watchSeconds = m_stats.endedWatchSeconds;
    for (const auto *watch : m_watches) {
        watchSeconds += seconds(RuntimeClock::now() - watch->opened);
    }
    return jsonAnswer(
        200,
        json::serialize(json::object {
            {"reads", m_stats.reads}, {"writes", m_stats.writes}, {"watches", m_watches.size()}, {"watch_seconds", watchSeconds}, {"revision", m_revision}}));
}
}

int main(int argc, const char **argv)
{
    const char *listen = "127.0.0.1:0";
    const poptOption options[]
        = {{"listen", 'l', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &listen, 0, "address to listen on", "IP:PORT"}, POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin-platform", argc, argv, options, 0);
    const int bad = poptGetNextOpt(context);
    const auto endpoint = parseEndpoint(listen);
    if (bad < -1 || !endpoint) {
        std::cerr << "standin-platform: bad option: " << (bad < -1 ? poptBadOption(context, 0) : listen) << "\n";
        return 2;
    }
    // The loop is destroyed before the platform because the loop's coroutines hold watches of the platform.
    Platform platform;
    asio::io_context loop;
    HttpServer server(
        loop, *endpoint, [&platform](Request request) { return platform.answer(std::move(request)); }, OnClose::Finish);
    stopOnSignal(loop, [&loop] { loop.stop(); });
    std::cout << "ready http=" << toString(server.endpoint()) << std::endl;
    loop.run();
    poptFreeContext(context);
    return 0;
}
