#include <plumsill/config.h>

#include "child_process.h"
#include "standin_p.h"

#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <set>

// Included last because it turns "new" into a macro.
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::standin;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{
constexpr auto CallTimeout = 20s;

HttpResult call(const Endpoint &peer, const std::string &method, const std::string &target, const std::string &body = {}, std::vector<HttpField> fields = {},
                Duration timeout = CallTimeout)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.fields = std::move(fields);
    return exchangeOnce(peer, std::move(request), timeout);
}

unsigned status(const HttpResult &result)
{
    return result ? result.assume_value().status : 0;
}

std::string body(const HttpResult &result)
{
    return result ? result.assume_value().body : "no answer";
}

std::string etag(const HttpResult &result)
{
    return result ? fieldValue(result.assume_value().fields, "ETag") : "no answer";
}

bool failedWith(const HttpResult &result, HttpError error)
{
    return !result && result.assume_error() == error;
}

json::object statsOf(const Endpoint &control)
{
    return json::parse(body(call(control, "GET", "/control/stats"))).as_object();
}

std::int64_t counter(const Endpoint &control, const std::string &name)
{
    return statsOf(control).at(name).to_number<std::int64_t>();
}

// Reads the counter until it has the expected value; fails after CallTimeout. The loop needs no pause, since each read
// is an HTTP call.
void waitForCount(const Endpoint &control, const std::string &name, std::int64_t expected)
{
    const auto limit = RuntimeClock::now() + CallTimeout;
    while (counter(control, name) != expected) {
        CHECK(RuntimeClock::now() < limit);
    }
}

/// TCP connection that gives access to the received bytes as they arrive; used for answers that never end.
class RawConnection
{
public:
    explicit RawConnection(const Endpoint &peer)
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::make_address(peer.address), peer.port});
    }

    void send(const std::string &text) { boost::asio::write(m_socket, boost::asio::buffer(text)); }

    /// Receives until @p text has arrived, which returns true. Returns false when the connection ends or no byte has
    /// arrived for @p timeout.
    bool receives(const std::string &text, std::chrono::milliseconds timeout = CallTimeout)
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
        const timeval limit {seconds.count(), std::chrono::microseconds(timeout - seconds).count()};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::array<char, 4096> buffer {};
        while (m_received.find(text) == std::string::npos) {
            const auto size = ::recv(m_socket.native_handle(), buffer.data(), buffer.size(), 0);
            if (size <= 0) {
                return false;
            }
            m_received.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return true;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
};
}

TEST_GROUP(StandinPlatform)
{
    ChildProcess process {"standin-platform", {}};
    Endpoint http = readyEndpoint(process.line(), "http");

    HttpResult put(const std::string &key, const std::string &value, const std::string &match)
    {
        const HttpField condition = match == "*" ? HttpField {"If-None-Match", "*"} : HttpField {"If-Match", match};
        return call(http, "PUT", "/v1/objects/" + key, value, {condition});
    }
    HttpResult read(const std::string &key)
    {
        return call(http, "GET", "/v1/objects/" + key);
    }
    void setFaults(const std::string &text)
    {
        LONGS_EQUAL(204, status(call(http, "POST", "/control/faults", text)));
    }
};

TEST(StandinPlatform, WritesAreConditional)
{
    LONGS_EQUAL(428, status(call(http, "PUT", "/v1/objects/a/b", "x")));
    const auto created = put("a/b", "one", "*");
    LONGS_EQUAL(201, status(created));
    LONGS_EQUAL(412, status(put("a/b", "two", "*")));
    LONGS_EQUAL(412, status(put("a/b", "two", "\"77\"")));
    const auto other = put("c", "other", "*");
    const auto replaced = put("a/b", "two", etag(created));
    LONGS_EQUAL(200, status(replaced));
    STRCMP_EQUAL("two", body(read("a/b")).c_str());
    STRCMP_EQUAL(etag(replaced).c_str(), etag(read("a/b")).c_str());
    STRCMP_EQUAL("\"1\"\"2\"\"3\"", (etag(created) + etag(other) + etag(replaced)).c_str());
}

TEST(StandinPlatform, DeletesAreConditional)
{
    LONGS_EQUAL(201, status(put("a", "one", "*")));
    LONGS_EQUAL(412, status(call(http, "DELETE", "/v1/objects/a", {}, {{"If-Match", "\"9\""}})));
    LONGS_EQUAL(204, status(call(http, "DELETE", "/v1/objects/a", {}, {{"If-Match", "\"1\""}})));
    LONGS_EQUAL(404, status(call(http, "DELETE", "/v1/objects/a", {}, {{"If-Match", "\"1\""}})));
    LONGS_EQUAL(404, status(read("a")));
    LONGS_EQUAL(201, status(put("a", "again", "*")));
}

TEST(StandinPlatform, ValuesAreLimitedInSize)
{
    LONGS_EQUAL(201, status(put("full", std::string(config::MaxValueBytes, 'x'), "*")));
    LONGS_EQUAL(413, status(put("over", std::string(config::MaxValueBytes + 1, 'x'), "*")));
}

TEST(StandinPlatform, WriteWithLostAnswerTakesEffect)
{
    setFaults(R"({"lose_answers":1})");
    CHECK(failedWith(put("a", "one", "*"), HttpError::ClosedWithoutAnswer));
    STRCMP_EQUAL("one", body(read("a")).c_str());
    LONGS_EQUAL(412, status(put("a", "one", "*")));
    LONGS_EQUAL(201, status(put("b", "one", "*")));
}

TEST(StandinPlatform, StaleReadReturnsThePreviousState)
{
    LONGS_EQUAL(201, status(put("a", "one", "*")));
    LONGS_EQUAL(200, status(put("a", "two", "\"1\"")));
    LONGS_EQUAL(201, status(put("new", "one", "*")));
    setFaults(R"({"stale_reads":true})");
    STRCMP_EQUAL("one", body(read("a")).c_str());
    STRCMP_EQUAL("\"1\"", etag(read("a")).c_str());
    LONGS_EQUAL(404, status(read("new")));
    STRCMP_EQUAL(R"({"revision":1,"objects":[{"key":"a","version":1,"value":"one"}]})", body(call(http, "GET", "/v1/objects?prefix=")).c_str());
}

TEST(StandinPlatform, DownPlatformGivesNoAnswerAndAppliesNoWrite)
{
    setFaults(R"({"down":true})");
    CHECK(failedWith(put("a", "one", "*"), HttpError::ClosedWithoutAnswer));
    setFaults(R"({"down":false})");
    LONGS_EQUAL(404, status(read("a")));
}

TEST(StandinPlatform, WatchReportsMissedChangesThenLiveOnes)
{
    LONGS_EQUAL(201, status(put("a/x", "one", "*")));
    LONGS_EQUAL(201, status(put("b/x", "other", "*")));
    RawConnection watch(http);
    watch.send("GET /v1/watch?prefix=a/&from=0 HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(watch.receives(R"({"type":"put","key":"a/x","version":1,"value":"one"})"));
    CHECK(watch.receives(R"({"type":"bookmark","version":2})"));
    LONGS_EQUAL(200, status(put("a/x", "two", "\"1\"")));
    CHECK(watch.receives(R"({"type":"put","key":"a/x","version":3,"value":"two"})"));
    LONGS_EQUAL(204, status(call(http, "DELETE", "/v1/objects/a/x", {}, {{"If-Match", "\"3\""}})));
    CHECK(watch.receives(R"({"type":"delete","key":"a/x","version":4)"));
    CHECK(!watch.receives("other", 100ms));
    LONGS_EQUAL(1, counter(http, "watches"));
    LONGS_EQUAL(410, status(call(http, "GET", "/v1/watch?prefix=&from=99")));
}

TEST(StandinPlatform, SilentWatchStaysOpenAndSendsNoLine)
{
    RawConnection watch(http);
    watch.send("GET /v1/watch?prefix=&from=0 HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(watch.receives("bookmark"));
    setFaults(R"({"silent_watch":true})");
    LONGS_EQUAL(201, status(put("a", "one", "*")));
    CHECK(!watch.receives("one", 1500ms));
    setFaults(R"({"silent_watch":false})");
    CHECK(watch.receives("one"));
}

TEST(StandinPlatform, ListsShowChangesAfterTheLag)
{
    LONGS_EQUAL(204, status(call(http, "PUT", "/control/targets/t1", R"({"service":"s","zone":"z","endpoint":"127.0.0.1:1"})")));
    LONGS_EQUAL(204, status(call(http, "PUT", "/control/instances/i1", R"({"zone":"z"})")));
    setFaults(R"({"list_lag_ms":600000})");
    STRCMP_EQUAL("[]", body(call(http, "GET", "/v1/targets")).c_str());
    STRCMP_EQUAL("[]", body(call(http, "GET", "/v1/instances")).c_str());
    setFaults(R"({"list_lag_ms":0})");
    STRCMP_EQUAL(R"([{"service":"s","zone":"z","endpoint":"127.0.0.1:1","name":"t1","state":"live"}])", body(call(http, "GET", "/v1/targets")).c_str());
    LONGS_EQUAL(204, status(call(http, "DELETE", "/control/instances/i1")));
    STRCMP_EQUAL("[]", body(call(http, "GET", "/v1/instances")).c_str());
}

TEST_GROUP(StandinTarget)
{
    ChildProcess process {"standin-target", {"--name", "t1", "--service", "s", "--slots", "1", "--queue", "1", "--service-time", "300ms"}};
    std::string ready = process.line();
    Endpoint http = readyEndpoint(ready, "http");
    Endpoint control = readyEndpoint(ready, "control");

    HttpResult sendRequest(const std::string &id, std::vector<HttpField> fields = {}, Duration timeout = CallTimeout)
    {
        fields.push_back({"X-Request-Id", id});
        return call(http, "POST", "/orders?x=1", "text", std::move(fields), timeout);
    }
    std::future<HttpResult> startRequest(const std::string &id)
    {
        return std::async(std::launch::async, [this, id] { return sendRequest(id); });
    }
    void setFaults(const std::string &text)
    {
        LONGS_EQUAL(204, status(call(control, "POST", "/control/faults", text)));
    }
    std::string runs()
    {
        return body(call(control, "GET", "/control/runs"));
    }
};

TEST(StandinTarget, AnswerEchoesItsRequest)
{
    const auto result = sendRequest("r1");
    LONGS_EQUAL(200, status(result));
    STRCMP_EQUAL("r1", fieldValue(result.assume_value().fields, "X-Request-Id").c_str());
    const auto echoed = json::parse(body(result)).as_object();
    STRCMP_EQUAL("r1", echoed.at("id").as_string().c_str());
    STRCMP_EQUAL("POST", echoed.at("method").as_string().c_str());
    STRCMP_EQUAL("/orders", echoed.at("path").as_string().c_str());
    STRCMP_EQUAL("t1", echoed.at("target").as_string().c_str());
    LONGS_EQUAL(200, status(sendRequest("r1")));
    STRCMP_EQUAL(R"({"r1":2})", runs().c_str());
}

TEST(StandinTarget, RequestsWithFaultyAnswersHaveRun)
{
    setFaults(R"({"truncate_share":1})");
    CHECK(failedWith(sendRequest("half"), HttpError::Truncated));
    setFaults(R"({"truncate_share":0,"crash_after_first_byte_share":1})");
    CHECK(failedWith(sendRequest("first"), HttpError::Truncated));
    setFaults(R"({"crash_after_first_byte_share":0,"crash_before_first_byte_share":1})");
    CHECK(failedWith(sendRequest("none"), HttpError::ClosedWithoutAnswer));
    setFaults(R"({"crash_before_first_byte_share":0,"error_share":1})");
    LONGS_EQUAL(500, status(sendRequest("error")));
    STRCMP_EQUAL(R"({"error":1,"first":1,"half":1,"none":1})", runs().c_str());
}

TEST(StandinTarget, FullQueueSheds)
{
    auto running = startRequest("running");
    waitForCount(control, "in_flight", 1);
    auto queued = startRequest("queued");
    waitForCount(control, "queued", 1);
    const auto shed = sendRequest("shed");
    LONGS_EQUAL(503, status(shed));
    STRCMP_EQUAL("1", fieldValue(shed.assume_value().fields, "Retry-After").c_str());
    LONGS_EQUAL(200, status(running.get()));
    LONGS_EQUAL(200, status(queued.get()));
    STRCMP_EQUAL(R"({"queued":1,"running":1})", runs().c_str());
}

TEST(StandinTarget, CancelledOrLateWorkInTheQueueIsNotRun)
{
    auto running = startRequest("running");
    waitForCount(control, "in_flight", 1);
    LONGS_EQUAL(504, status(sendRequest("late", {{"Plumsill-Deadline-Ms", "10"}})));
    CHECK(failedWith(sendRequest("gone", {}, 10ms), HttpError::TimedOut));
    waitForCount(control, "queued", 0);
    LONGS_EQUAL(200, status(running.get()));
    LONGS_EQUAL(200, status(sendRequest("after")));
    STRCMP_EQUAL(R"({"after":1,"running":1})", runs().c_str());
    LONGS_EQUAL(1, counter(control, "cancelled"));
    LONGS_EQUAL(1, counter(control, "expired"));
}

TEST(StandinTarget, RequestsWithKeysAreCounted)
{
    LONGS_EQUAL(204, status(call(control, "POST", "/control/markers", R"(["secret"])")));
    LONGS_EQUAL(200, status(sendRequest("clean")));
    LONGS_EQUAL(0, counter(control, "seen_keys"));
    LONGS_EQUAL(200, status(sendRequest("a", {{"X-Api-Key", "k"}})));
    LONGS_EQUAL(200, status(sendRequest("b", {{"Authorization", "Bearer k"}})));
    LONGS_EQUAL(200, status(sendRequest("c", {{"Cookie", "x=secret"}})));
    LONGS_EQUAL(3, counter(control, "seen_keys"));
}

TEST(StandinTarget, SilentFaultAffectsOnlyOpenConnections)
{
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: old\r\n\r\n";
    RawConnection old(http);
    old.send(request);
    CHECK(old.receives("\"run\":1"));
    setFaults(R"({"silent":true})");
    old.send(request);
    LONGS_EQUAL(200, status(sendRequest("new")));
    CHECK(!old.receives("\"run\":3", 500ms));
    LONGS_EQUAL(200, status(call(http, "GET", "/health")));
    STRCMP_EQUAL(R"({"new":1,"old":1})", runs().c_str());
}

TEST(StandinTarget, DrainIsAnnouncedBeforeConnectionsAreRefused)
{
    setFaults(R"({"drain":true})");
    const auto answer = sendRequest("r");
    STRCMP_EQUAL("1", fieldValue(answer.assume_value().fields, "Plumsill-Drain").c_str());
    CHECK(!answer.assume_value().keepAlive);
    const auto limit = RuntimeClock::now() + CallTimeout;
    while (!failedWith(call(http, "GET", "/health"), HttpError::Refused)) {
        CHECK(RuntimeClock::now() < limit);
    }
    LONGS_EQUAL(1, counter(control, "runs"));
}

TEST_GROUP(StandinCaller)
{
    ChildProcess process {"standin-target", {"--name", "t1", "--service", "s", "--slots", "4", "--queue", "100", "--service-time", "20ms"}};
    std::string ready = process.line();
    Endpoint control = readyEndpoint(ready, "control");
    std::string ids = std::filesystem::temp_directory_path() / ("plumsill-ids-" + std::to_string(::getpid()));

    void teardown() override
    {
        std::filesystem::remove(ids);
    }
    json::object load(const std::string &rate, const std::string &connections)
    {
        const auto to = toString(readyEndpoint(ready, "http"));
        ChildProcess caller("standin-caller",
                            {"--to", to, "--rate", rate, "--seconds", "1", "--connections", connections, "--seed", "5", "--ids-file", ids, "--json"});
        auto result = json::parse(caller.line(120'000)).as_object();
        LONGS_EQUAL(0, caller.wait());
        return result;
    }
    std::int64_t number(const json::object &result, const std::string &name)
    {
        return result.at(name).to_number<std::int64_t>();
    }
};

TEST(StandinCaller, EveryRequestIsCountedOnce)
{
    const auto result = load("50", "16");
    const auto sent = number(result, "sent");
    LONGS_EQUAL(sent, number(result.at("statuses").as_object(), "200"));
    LONGS_EQUAL(0, number(result, "mismatched"));
    std::ifstream file(ids);
    std::set<std::string> seen;
    for (std::string id, status, outcome; file >> id >> status >> outcome;) {
        STRCMP_EQUAL("200", status.c_str());
        STRCMP_EQUAL("-", outcome.c_str());
        seen.insert(id);
    }
    LONGS_EQUAL(sent, seen.size());
    LONGS_EQUAL(sent, json::parse(body(call(control, "GET", "/control/runs"))).as_object().size());
}

TEST(StandinCaller, MismatchedAnswersAreDetected)
{
    LONGS_EQUAL(204, status(call(control, "POST", "/control/faults", R"({"mixed":true})")));
    const auto result = load("50", "16");
    LONGS_EQUAL(number(result, "answered"), number(result, "mismatched"));
}

TEST(StandinCaller, TruncatedAnswersAreDetected)
{
    LONGS_EQUAL(204, status(call(control, "POST", "/control/faults", R"({"truncate_share":1})")));
    const auto result = load("50", "16");
    LONGS_EQUAL(number(result, "sent"), number(result, "truncated"));
}

// At a service time of 20 ms, one connection serves at most 50 requests per second. At 150 requests per second, the
// last requests of the run therefore start more than 1 s late, and their latency must include that delay.
TEST(StandinCaller, LatencyCountsFromTheIntendedStart)
{
    const auto result = load("150", "1");
    CHECK(result.at("max_ms").to_number<double>() > 1000);
}
