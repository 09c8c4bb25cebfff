// Stand-in for a team's callers: open-loop load that checks every answer.
#include <plumsill/ini.h>

#include "standin_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/histogram.hpp>
#include <boost/json.hpp>

#include <popt.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <random>

using namespace plumsill;
using namespace plumsill::standin;
namespace asio = boost::asio;
namespace json = boost::json;
namespace histogram = boost::histogram;

namespace
{
constexpr double ShortestLatency = 1e-5; // seconds
constexpr double LongestLatency = 100; // seconds
constexpr unsigned LatencyBins = 1400;

struct Settings {
    std::vector<Endpoint> endpoints;
    double rate = 10; ///< requests a second
    double duration = 5; ///< seconds
    std::string key;
    std::string path;
    std::string method;
    std::string host;
    std::string label;
    std::string idsFile;
    std::uint64_t seed = 1;
    std::size_t connections = 64;
    std::size_t bodyBytes = 0;
    Duration timeout = std::chrono::seconds(30);
};

/// Latencies in bins of equal ratio.
class LatencyHistogram
{
public:
    void add(double latency)
    {
        m_bins(latency);
        m_longest = std::max(m_longest, latency);
    }

    /// Upper edge of the bin that holds the quantile, in seconds.
    double quantile(double share) const
    {
        const double total = histogram::algorithm::sum(m_bins);
        double below = 0;
        for (const auto &bin : histogram::indexed(m_bins, histogram::coverage::all)) {
            below += *bin;
            if (total > 0 && below >= share * total) {
                return std::min(bin.bin().upper(), m_longest);
            }
        }
        return m_longest;
    }

    double longest() const { return m_longest; }

private:
    using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

    decltype(histogram::make_histogram(Axis())) m_bins = histogram::make_histogram(Axis(LatencyBins, ShortestLatency, LongestLatency, "seconds"));
    double m_longest = 0;
};

struct Tally {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t mismatched = 0;
    std::uint64_t truncated = 0;
    std::uint64_t malformed = 0;
    std::uint64_t cut = 0;
    std::uint64_t refused = 0;
    std::uint64_t timedOut = 0;
    std::map<unsigned, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> errors; ///< by the code in the answer's body
    LatencyHistogram latency; ///< of answers with status 200
};

// An answer of a target must name the request in its header and in its body; others may leave the name out.
bool belongsTo(const std::string &id, const HttpAnswer &answer)
{
    const auto echoed = fieldValue(answer.fields, "X-Request-Id");
    if (answer.status != 200) {
        return echoed.empty() || echoed == id;
    }
    boost::system::error_code error;
    const auto body = json::parse(answer.body, error);
    const auto *object = error ? nullptr : body.if_object();
    const auto *named = object == nullptr ? nullptr : object->if_contains("id");
    return echoed == id && named != nullptr && named->is_string() && named->as_string() == id;
}

// Code in a refusal's body, {"error":{"code":..}}; empty where there is none.
std::string errorCode(const HttpAnswer &answer)
{
    boost::system::error_code error;
    const auto body = json::parse(answer.body, error);
    const auto *code = error ? nullptr : body.find_pointer("/error/code", error);
    return code != nullptr && code->is_string() ? std::string(code->as_string()) : std::string();
}

class Caller
{
public:
    Caller(asio::io_context &loop, Settings settings)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_random(m_settings.seed)
        , m_stopTimer(loop)
    {
        if (!m_settings.idsFile.empty()) {
            m_ids.open(m_settings.idsFile);
        }
    }

    asio::awaitable<void> run();
    /// Sends no more; waits for what runs.
    void stop()
    {
        m_stopped = true;
        m_stopTimer.cancel();
    }
    void print(std::ostream &output) const;
    void printJson(std::ostream &output) const;

private:
    struct Waiting {
        std::string id;
        TimePoint intended;
    };

    asio::awaitable<void> send(std::unique_ptr<HttpClient> client, Waiting waiting);
    asio::awaitable<HttpResult> exchange(HttpClient &client, const std::string &id);
    asio::awaitable<bool> connect(HttpClient &client);
    void start(Waiting waiting);
    void endWhenDone();
    void record(const Waiting &waiting, const HttpResult &result);
    void recordAnswer(const Waiting &waiting, const HttpAnswer &answer);
    std::string recordError(HttpError error);
    HttpRequest request(const std::string &id) const;

    asio::io_context &m_loop;
    Settings m_settings;
    std::mt19937_64 m_random;
    RuntimeTimer m_stopTimer;
    bool m_stopped = false;
    std::ofstream m_ids;
    std::vector<std::unique_ptr<HttpClient>> m_idle;
    std::deque<Waiting> m_queue; ///< arrivals that wait for a connection, oldest first
    std::size_t m_busy = 0;
    bool m_allSent = false;
    std::size_t m_nextEndpoint = 0;
    Tally m_tally;
};

// Arrivals don't wait for answers, and latency counts from the intended start: a stall shows in every request it delays.
asio::awaitable<void> Caller::run()
{
    const auto begin = RuntimeClock::now();
    const auto end = begin + fromSeconds(m_settings.duration);
    std::exponential_distribution<> gap(m_settings.rate);
    for (auto next = begin + fromSeconds(gap(m_random)); next < end && !m_stopped; next += fromSeconds(gap(m_random))) {
        m_stopTimer.expires_at(next);
        boost::system::error_code error;
        co_await m_stopTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (m_stopped) {
            break;
        }
        const auto id = m_settings.label + "-" + std::to_string(m_settings.seed) + "-" + std::to_string(++m_tally.sent);
        start({id, next});
    }
    m_allSent = true;
    endWhenDone();
}

// The wait for a signal would keep the loop alive.
void Caller::endWhenDone()
{
    if (m_allSent && m_busy == 0 && m_queue.empty()) {
        m_loop.stop();
    }
}

void Caller::start(Waiting waiting)
{
    if (m_busy >= m_settings.connections) {
        m_queue.push_back(std::move(waiting));
        return;
    }
    ++m_busy;
    auto client = m_idle.empty() ? std::make_unique<HttpClient>(m_loop) : std::move(m_idle.back());
    if (!m_idle.empty()) {
        m_idle.pop_back();
    }
    asio::co_spawn(m_loop, send(std::move(client), std::move(waiting)), asio::detached);
}

asio::awaitable<void> Caller::send(std::unique_ptr<HttpClient> client, Waiting waiting)
{
    const auto result = co_await exchange(*client, waiting.id);
    record(waiting, result);
    m_idle.push_back(std::move(client));
    --m_busy;
    if (!m_queue.empty()) {
        auto next = std::move(m_queue.front());
        m_queue.pop_front();
        start(std::move(next));
    }
    endWhenDone();
}

asio::awaitable<HttpResult> Caller::exchange(HttpClient &client, const std::string &id)
{
    // One await a statement: the compiler mishandles an await behind "&&".
    bool connected = client.usable();
    if (!connected) {
        connected = co_await connect(client);
    }
    if (!connected) {
        co_return HttpError::Refused;
    }
    co_return co_await client.exchange(request(id), m_settings.timeout);
}

// Goes round the endpoints, as the platform's balancer would; nothing was sent while none accepts.
asio::awaitable<bool> Caller::connect(HttpClient &client)
{
    for (std::size_t tried = 0; tried < m_settings.endpoints.size(); ++tried) {
        const auto &endpoint = m_settings.endpoints[m_nextEndpoint++ % m_settings.endpoints.size()];
        const bool connected = co_await client.connect(endpoint);
        if (connected) {
            co_return true;
        }
    }
    co_return false;
}

HttpRequest Caller::request(const std::string &id) const
{
    HttpRequest request;
    request.method = m_settings.method;
    request.target = m_settings.path;
    request.fields = {{"Host", m_settings.host}, {"X-Request-Id", id}};
    if (!m_settings.key.empty()) {
        request.fields.push_back({"X-Api-Key", m_settings.key});
    }
    if (m_settings.method != "GET") {
        request.body = id + std::string(m_settings.bodyBytes, 'b');
    }
    return request;
}

void Caller::record(const Waiting &waiting, const HttpResult &result)
{
    unsigned status = 0;
    std::string outcome;
    if (result) {
        const auto &answer = result.assume_value();
        status = answer.status;
        outcome = fieldValue(answer.fields, "Plumsill-Outcome");
        recordAnswer(waiting, answer);
    } else {
        outcome = recordError(result.assume_error());
    }
    if (m_ids.is_open()) {
        m_ids << waiting.id << " " << status << " " << (outcome.empty() ? "-" : outcome) << "\n";
    }
}

void Caller::recordAnswer(const Waiting &waiting, const HttpAnswer &answer)
{
    ++m_tally.answered;
    ++m_tally.statuses[answer.status];
    const auto outcome = fieldValue(answer.fields, "Plumsill-Outcome");
    ++m_tally.outcomes[outcome.empty() ? "-" : outcome];
    if (answer.status >= 400) {
        const auto code = errorCode(answer);
        ++m_tally.errors[code.empty() ? "-" : code];
    }
    m_tally.mismatched += belongsTo(waiting.id, answer) ? 0 : 1;
    if (answer.status == 200) {
        m_tally.latency.add(seconds(RuntimeClock::now() - waiting.intended));
    }
}

std::string Caller::recordError(HttpError error)
{
    switch (error) {
    case HttpError::Refused:
        ++m_tally.refused;
        return "refused";
    case HttpError::ClosedWithoutAnswer:
        ++m_tally.cut;
        return "cut";
    case HttpError::Truncated:
        ++m_tally.truncated;
        return "truncated";
    case HttpError::Malformed:
        ++m_tally.malformed;
        return "malformed";
    case HttpError::TimedOut:
        ++m_tally.timedOut;
        return "timeout";
    }
    return "error";
}

template<class Key>
json::object countsJson(const std::map<Key, std::uint64_t> &counts)
{
    json::object result;
    for (const auto &[key, count] : counts) {
        if constexpr (std::is_same_v<Key, std::string>) {
            result[key] = count;
        } else {
            result[std::to_string(key)] = count;
        }
    }
    return result;
}

json::object toJson(const Settings &settings, const Tally &tally)
{
    constexpr double Milliseconds = 1000;
    return {{"team", settings.label},
            {"seed", settings.seed},
            {"sent", tally.sent},
            {"answered", tally.answered},
            {"statuses", countsJson(tally.statuses)},
            {"outcomes", countsJson(tally.outcomes)},
            {"errors", countsJson(tally.errors)},
            {"mismatched", tally.mismatched},
            {"truncated", tally.truncated},
            {"malformed", tally.malformed},
            {"cut", tally.cut},
            {"refused", tally.refused},
            {"timed_out", tally.timedOut},
            {"p50_ms", tally.latency.quantile(0.5) * Milliseconds},
            {"p99_ms", tally.latency.quantile(0.99) * Milliseconds},
            {"max_ms", tally.latency.longest() * Milliseconds}};
}

void Caller::printJson(std::ostream &output) const
{
    output << json::serialize(toJson(m_settings, m_tally)) << std::endl;
}

// One "name value" line for each figure; those of statuses and outcomes have the code behind the name.
void Caller::print(std::ostream &output) const
{
    for (const auto &[name, value] : toJson(m_settings, m_tally)) {
        if (!value.is_object()) {
            output << name << " " << value << "\n";
            continue;
        }
        for (const auto &[code, count] : value.as_object()) {
            output << name << "." << code << " " << count << "\n";
        }
    }
    output << std::flush;
}

/// Values of the command line before they are checked.
struct Options {
    const char *to = "";
    const char *key = "";
    const char *path = "/";
    const char *method = "GET";
    const char *host = "localhost";
    const char *label = "caller";
    const char *idsFile = "";
    const char *timeout = "30s";
    double rate = 10;
    double duration = 5;
    long seed = 1;
    int connections = 64;
    int bodyBytes = 0;
    int json = 0;
};

bool checked(const Options &options, Settings &settings)
{
    for (const auto &text : splitList(options.to)) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            return false;
        }
        settings.endpoints.push_back(*endpoint);
    }
    const auto timeout = parseDuration(options.timeout);
    if (settings.endpoints.empty() || !timeout || options.rate <= 0 || options.duration <= 0 || options.connections < 1 || options.bodyBytes < 0) {
        return false;
    }
    settings.timeout = *timeout;
    settings.rate = options.rate;
    settings.duration = options.duration;
    settings.key = options.key;
    settings.path = options.path;
    settings.method = options.method;
    settings.host = options.host;
    settings.label = options.label;
    settings.idsFile = options.idsFile;
    settings.seed = static_cast<std::uint64_t>(options.seed);
    settings.connections = static_cast<std::size_t>(options.connections);
    settings.bodyBytes = static_cast<std::size_t>(options.bodyBytes);
    return true;
}
}

int main(int argc, const char **argv)
{
    Options given;
    constexpr unsigned Shown = POPT_ARGFLAG_SHOW_DEFAULT;
    const poptOption options[] = {{"to", 't', POPT_ARG_STRING, &given.to, 0, "addresses to call, in turn", "IP:PORT[,IP:PORT...]"},
                                  {"rate", 'r', POPT_ARG_DOUBLE | Shown, &given.rate, 0, "mean requests a second (Poisson arrivals)", "R"},
                                  {"seconds", 's', POPT_ARG_DOUBLE | Shown, &given.duration, 0, "time to send", "S"},
                                  {"key", 'k', POPT_ARG_STRING, &given.key, 0, "key to send as X-Api-Key", "KEY"},
                                  {"path", 'p', POPT_ARG_STRING | Shown, &given.path, 0, "path to call", "PATH"},
                                  {"method", 'm', POPT_ARG_STRING | Shown, &given.method, 0, "method", "METHOD"},
                                  {"host", 'H', POPT_ARG_STRING | Shown, &given.host, 0, "Host header", "HOST"},
                                  {"team-label", 'l', POPT_ARG_STRING | Shown, &given.label, 0, "prefix of the request ids", "NAME"},
                                  {"seed", 0, POPT_ARG_LONG | Shown, &given.seed, 0, "seed of the arrivals", "N"},
                                  {"connections", 'c', POPT_ARG_INT | Shown, &given.connections, 0, "most connections at once", "N"},
                                  {"body-bytes", 0, POPT_ARG_INT | Shown, &given.bodyBytes, 0, "bytes added to the body", "N"},
                                  {"timeout", 0, POPT_ARG_STRING | Shown, &given.timeout, 0, "longest wait for an answer", "DURATION"},
                                  {"ids-file", 0, POPT_ARG_STRING, &given.idsFile, 0, "gets a line \"id status outcome\" for each request", "FILE"},
                                  {"json", 'j', POPT_ARG_NONE, &given.json, 0, "prints JSON", nullptr},
                                  POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin-caller", argc, argv, options, 0);
    const int bad = poptGetNextOpt(context);
    Settings settings;
    if (bad < -1 || !checked(given, settings)) {
        std::cerr << "standin-caller: bad option " << (bad < -1 ? poptBadOption(context, 0) : "value") << "\n";
        return 2;
    }
    asio::io_context loop;
    Caller caller(loop, settings);
    asio::co_spawn(loop, caller.run(), asio::detached);
    stopOnSignal(loop, [&caller] { caller.stop(); });
    loop.run();
    if (given.json != 0) {
        caller.printJson(std::cout);
    } else {
        caller.print(std::cout);
    }
    poptFreeContext(context);
    return 0;
}
