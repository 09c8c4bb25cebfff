// Stand-in for the callers of a team. It sends open-loop load and checks every answer.
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
constexpr double MinLatency = 1e-5; // seconds
constexpr double MaxLatency = 100; // seconds
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

/// Histogram of latencies in seconds, with bins that grow by a constant ratio.
class LatencyHistogram
{
public:
    void add(double latency)
    {
        m_bins(latency);
        m_max = std::max(m_max, latency);
    }

    /// Upper edge of the bin that holds the quantile, in seconds.
    double quantile(double share) const
    {
        const double total = histogram::algorithm::sum(m_bins);
        double below = 0;
        for (const auto &bin : histogram::indexed(m_bins, histogram::coverage::all)) {
            below += *bin;
            if (total > 0 && below >= share * total) {
                return std::min(bin.bin().upper(), m_max);
            }
        }
        return m_max;
    }

    double maxLatency() const { return m_max; }

private:
    using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

    decltype(histogram::make_histogram(Axis())) m_bins = histogram::make_histogram(Axis(LatencyBins, MinLatency, MaxLatency, "seconds"));
    double m_max = 0;
};

struct Counts {
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
    std::map<std::string, std::uint64_t> errors; ///< refusals by the error code in the body
    LatencyHistogram latency; ///< latencies of the answers with status 200
};

// Returns whether the answer belongs to the request. An answer with status 200 comes from a target and must carry the
// request ID in header and body; other answers may leave out the ID.
bool belongsTo(const std::string &id, const HttpAnswer &answer)
{
    const auto idInHeader = fieldValue(answer.fields, "X-Request-Id");
    if (answer.status != 200) {
        return idInHeader.empty() || idInHeader == id;
    }
    boost::system::error_code error;
    const auto body = json::parse(answer.body, error);
    const auto *object = error ? nullptr : body.if_object();
    const auto *idInBody = object == nullptr ? nullptr : object->if_contains("id");
    return idInHeader == id && idInBody != nullptr && idInBody->is_string() && idInBody->as_string() == id;
}

// Returns the code in the body of a refusal, {"error":{"code":..}}, or an empty string if there is none.
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
    /// Stops sending new requests; run() ends after the requests in progress.
    void stop()
    {
        m_stopped = true;
        m_stopTimer.cancel();
    }
    void print(std::ostream &output) const;
    void printJson(std::ostream &output) const;

private:
    struct PendingRequest {
        std::string id;
        TimePoint intendedStart;
    };

    asio::awaitable<void> send(std::unique_ptr<HttpClient> client, PendingRequest pending);
    asio::awaitable<HttpResult> exchange(HttpClient &client, const std::string &id);
    asio::awaitable<bool> connect(HttpClient &client);
    void start(PendingRequest pending);
    void endWhenDone();
    void record(const PendingRequest &pending, const HttpResult &result);
    void recordAnswer(const PendingRequest &pending, const HttpAnswer &answer);
    std::string recordError(HttpError error);
    HttpRequest request(const std::string &id) const;

    asio::io_context &m_loop;
    Settings m_settings;
    std::mt19937_64 m_random;
    RuntimeTimer m_stopTimer;
    bool m_stopped = false;
    std::ofstream m_ids;
    std::vector<std::unique_ptr<HttpClient>> m_idle;
    std::deque<PendingRequest> m_queue; ///< requests that wait for a connection, oldest first
    std::size_t m_busyConnections = 0;
    bool m_allSent = false;
    std::size_t m_nextEndpoint = 0;
    Counts m_counts;
};

// Requests don't wait for the answers of earlier ones, and their latency counts from the intended start. A stall of the
// fleet therefore shows in the latency of every request that it delays.
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
        const auto id = m_settings.label + "-" + std::to_string(m_settings.seed) + "-" + std::to_string(++m_counts.sent);
        start({id, next});
    }
    m_allSent = true;
    endWhenDone();
}

// Stops the event loop after the last request has ended. Otherwise the pending wait for a signal would keep the loop running.
void Caller::endWhenDone()
{
    if (m_allSent && m_busyConnections == 0 && m_queue.empty()) {
        m_loop.stop();
    }
}

void Caller::start(PendingRequest pending)
{
    if (m_busyConnections >= m_settings.connections) {
        m_queue.push_back(std::move(pending));
        return;
    }
    ++m_busyConnections;
    auto client = m_idle.empty() ? std::make_unique<HttpClient>(m_loop) : std::move(m_idle.back());
    if (!m_idle.empty()) {
        m_idle.pop_back();
    }
    asio::co_spawn(m_loop, send(std::move(client), std::move(pending)), asio::detached);
}

asio::awaitable<void> Caller::send(std::unique_ptr<HttpClient> client, PendingRequest pending)
{
    const auto result = co_await exchange(*client, pending.id);
    record(pending, result);
    m_idle.push_back(std::move(client));
    --m_busyConnections;
    if (!m_queue.empty()) {
        auto next = std::move(m_queue.front());
        m_queue.pop_front();
        start(std::move(next));
    }
    endWhenDone();
}

asio::awaitable<HttpResult> Caller::exchange(HttpClient &client, const std::string &id)
{
    // Each await is a statement of its own because the compiler mishandles an await after "&&".
    bool connected = client.usable();
    if (!connected) {
        connected = co_await connect(client);
    }
    if (!connected) {
        co_return HttpError::Refused;
    }
    co_return co_await client.exchange(request(id), m_settings.timeout);
}

// Connects to the endpoints in turn, as the platform's load balancer does. Returns false if no endpoint accepted.
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

void Caller::record(const PendingRequest &pending, const HttpResult &result)
{
    unsigned status = 0;
    std::string outcome;
    if (result) {
        const auto &answer = result.assume_value();
        status = answer.status;
        outcome = fieldValue(answer.fields, "Plumsill-Outcome");
        recordAnswer(pending, answer);
    } else {
        outcome = recordError(result.assume_error());
    }
    if (m_ids.is_open()) {
        m_ids << pending.id << " " << status << " " << (outcome.empty() ? "-" : outcome) << "\n";
    }
}

void Caller::recordAnswer(const PendingRequest &pending, const HttpAnswer &answer)
{
    ++m_counts.answered;
    ++m_counts.statuses[answer.status];
    const auto outcome = fieldValue(answer.fields, "Plumsill-Outcome");
    ++m_counts.outcomes[outcome.empty() ? "-" : outcome];
    if (answer.status >= 400) {
        const auto code = errorCode(answer);
        ++m_counts.errors[code.empty() ? "-" : code];
    }
    m_counts.mismatched += belongsTo(pending.id, answer) ? 0 : 1;
    if (answer.status == 200) {
        m_counts.latency.add(seconds(RuntimeClock::now() - pending.intendedStart));
    }
}

std::string Caller::recordError(HttpError error)
{
    switch (error) {
    case HttpError::Refused:
        ++m_counts.refused;
        return "refused";
    case HttpError::ClosedWithoutAnswer:
        ++m_counts.cut;
        return "cut";
    case HttpError::Truncated:
        ++m_counts.truncated;
        return "truncated";
    case HttpError::Malformed:
        ++m_counts.malformed;
        return "malformed";
    case HttpError::TimedOut:
        ++m_counts.timedOut;
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

json::object toJson(const Settings &settings, const Counts &requestCounts)
{
    constexpr double Milliseconds = 1000;
    return {{"team", settings.label},
            {"seed", settings.seed},
            {"sent", requestCounts.sent},
            {"answered", requestCounts.answered},
            {"statuses", countsJson(requestCounts.statuses)},
            {"outcomes", countsJson(requestCounts.outcomes)},
            {"errors", countsJson(requestCounts.errors)},
            {"mismatched", requestCounts.mismatched},
            {"truncated", requestCounts.truncated},
            {"malformed", requestCounts.malformed},
            {"cut", requestCounts.cut},
            {"refused", requestCounts.refused},
            {"timed_out", requestCounts.timedOut},
            {"p50_ms", requestCounts.latency.quantile(0.5) * Milliseconds},
            {"p99_ms", requestCounts.latency.quantile(0.99) * Milliseconds},
            {"max_ms", requestCounts.latency.maxLatency() * Milliseconds}};
}

void Caller::printJson(std::ostream &output) const
{
    output << json::serialize(toJson(m_settings, m_counts)) << std::endl;
}

// Prints a line "name value" for each figure, and "name.code value" for the counts by status, outcome and error code.
void Caller::print(std::ostream &output) const
{
    for (const auto &[name, value] : toJson(m_settings, m_counts)) {
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

/// Command line options as popt stores them, before they are checked.
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

// Returns false if an option has an invalid value.
bool toSettings(const Options &options, Settings &settings)
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
    Options commandLine;
    constexpr unsigned Shown = POPT_ARGFLAG_SHOW_DEFAULT;
    const poptOption options[] = {{"to", 't', POPT_ARG_STRING, &commandLine.to, 0, "addresses to call in turn", "IP:PORT[,IP:PORT...]"},
                                  {"rate", 'r', POPT_ARG_DOUBLE | Shown, &commandLine.rate, 0, "mean requests a second (Poisson arrivals)", "R"},
                                  {"seconds", 's', POPT_ARG_DOUBLE | Shown, &commandLine.duration, 0, "time to send", "S"},
                                  {"key", 'k', POPT_ARG_STRING, &commandLine.key, 0, "key to send as X-Api-Key", "KEY"},
                                  {"path", 'p', POPT_ARG_STRING | Shown, &commandLine.path, 0, "path to call", "PATH"},
                                  {"method", 'm', POPT_ARG_STRING | Shown, &commandLine.method, 0, "method", "METHOD"},
                                  {"host", 'H', POPT_ARG_STRING | Shown, &commandLine.host, 0, "Host header", "HOST"},
                                  {"team-label", 'l', POPT_ARG_STRING | Shown, &commandLine.label, 0, "prefix of the request ids", "NAME"},
                                  {"seed", 0, POPT_ARG_LONG | Shown, &commandLine.seed, 0, "seed of the arrivals", "N"},
                                  {"connections", 'c', POPT_ARG_INT | Shown, &commandLine.connections, 0, "maximum number of connections", "N"},
                                  {"body-bytes", 0, POPT_ARG_INT | Shown, &commandLine.bodyBytes, 0, "bytes added to the body", "N"},
                                  {"timeout", 0, POPT_ARG_STRING | Shown, &commandLine.timeout, 0, "maximum wait for an answer", "DURATION"},
                                  {"ids-file", 0, POPT_ARG_STRING, &commandLine.idsFile, 0, "write a line \"id status outcome\" for each request", "FILE"},
                                  {"json", 'j', POPT_ARG_NONE, &commandLine.json, 0, "print JSON", nullptr},
                                  POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin-caller", argc, argv, options, 0);
    const int bad = poptGetNextOpt(context);
    Settings settings;
    if (bad < -1 || !toSettings(commandLine, settings)) {
        std::cerr << "standin-caller: bad option " << (bad < -1 ? poptBadOption(context, 0) : "value") << "\n";
        return 2;
    }
    asio::io_context loop;
    Caller caller(loop, settings);
    asio::co_spawn(loop, caller.run(), asio::detached);
    stopOnSignal(loop, [&caller] { caller.stop(); });
    loop.run();
    if (commandLine.json != 0) {
        caller.printJson(std::cout);
    } else {
        caller.print(std::cout);
    }
    poptFreeContext(context);
    return 0;
}
