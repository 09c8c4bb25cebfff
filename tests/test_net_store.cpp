#include "store_p.h"

#include <boost/asio.hpp>

#include <deque>
#include <memory>
#include <optional>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;
namespace asio = boost::asio;

namespace
{
/// Server that answers requests with the given bytes in order; an empty answer closes the connection instead.
struct ScriptedServer {
    explicit ScriptedServer(asio::io_context &loop)
        : acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0})
    { }

    asio::ip::tcp::acceptor acceptor;
    std::deque<std::string> answers;
    std::vector<std::string> requests;
    unsigned connections = 0;

    Endpoint endpoint() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

    asio::awaitable<void> serve()
    {
        while (!answers.empty()) {
            asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            ++connections;
            co_await answer(std::move(socket));
        }
        acceptor.close();
    }
    asio::awaitable<void> answer(asio::ip::tcp::socket socket)
    {
        std::string buffer;
        boost::system::error_code error;
        while (!answers.empty()) {
            const auto length
                = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            requests.push_back(buffer.substr(0, length));
            buffer.clear();
            const auto next = std::move(answers.front());
            answers.pop_front();
            if (next.empty()) {
                co_return;
            }
            co_await asio::async_write(socket, asio::buffer(next), asio::use_awaitable);
        }
    }
};

std::string response(const std::string &status, const std::string &body, const std::string &headers = "")
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

/// A StoreConnection to a ScriptedServer on one event loop.
struct Client {
    asio::io_context loop;
    ScriptedServer server {loop};
    StoreSettings settings;
    std::unique_ptr<StoreConnection> store;

    void run(std::deque<std::string> answers, std::function<asio::awaitable<void>(StoreConnection &)> work)
    {
        server.answers = std::move(answers);
        settings.endpoint = server.endpoint();
        store = std::make_unique<StoreConnection>(settings);
        const auto failed = [](const std::exception_ptr &error) { CHECK(!error); };
        asio::co_spawn(loop, server.serve(), asio::detached);
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                co_await work(*store);
                loop.stop();
            },
            failed);
        loop.run();
    }
};
}

TEST_GROUP(NetStore)
{
    Client client;
};

TEST(NetStore, ConditionsAndVersionsMapToHttpHeaders)
{
    const std::deque<std::string> answers {response("201 Created", "", "ETag: \"4\"\r\n"), response("200 OK", "", "ETag: \"5\"\r\n"),
                                           response("412 Precondition Failed", ""), response("200 OK", "value", "ETag: \"5\"\r\n"),
                                           response("404 Not Found", "")};
    client.run(answers, [](StoreConnection &store) -> asio::awaitable<void> {
        LONGS_EQUAL(4, (co_await store.create("a/b", "x")).value().version);
        LONGS_EQUAL(5, (co_await store.replace("a/b", "", 4)).value().version);
        CHECK((co_await store.remove("a/b", 4)).error().fault == StoreFault::Conflict);
        const auto found = co_await store.read("a/b");
        STRCMP_EQUAL("value", found.value().value.c_str());
        LONGS_EQUAL(5, found.value().version);
        CHECK((co_await store.read("a/c")).error().fault == StoreFault::NotFound);
    });
    const auto &requests = client.server.requests;
    CHECK(requests.at(0).starts_with("PUT /v1/objects/a/b "));
    STRCMP_CONTAINS("If-None-Match: *\r\n", requests.at(0).c_str());
    STRCMP_CONTAINS("If-Match: \"4\"\r\n", requests.at(1).c_str());
    CHECK(requests.at(2).starts_with("DELETE "));
    LONGS_EQUAL_TEXT(1, client.server.connections, "all calls use one connection");
}

TEST(NetStore, WriteIsNotRepeatedWhenItsAnswerIsLost)
{
    client.run({"", response("200 OK", "", "ETag: \"5\"\r\n")},
               [](StoreConnection &store) -> asio::awaitable<void> { CHECK((co_await store.create("a", "")).error().fault == StoreFault::NoAnswer); });
    LONGS_EQUAL(1, client.server.requests.size());
}

TEST(NetStore, OperatorCallsHaveTheirOwnBudget)
{
    const std::string found = response("200 OK", "v", "ETag: \"1\"\r\n");
    client.settings.callBurst = 1;
    client.settings.callsPerSecond = 0.01;
    client.run({found, found}, [](StoreConnection &store) -> asio::awaitable<void> {
        const ObjectCall read = ReadCall {"a"};
        CHECK((co_await store.call(read)).has_value());
        CHECK((co_await store.callForOperator(read)).has_value());
        CHECK((co_await store.call(read)).error().fault == StoreFault::Throttled);
    });
}

TEST(NetStore, ReadIsRepeatedOnANewConnection)
{
    client.run({response("200 OK", "", "ETag: \"3\"\r\n"), "", response("200 OK", "v", "ETag: \"3\"\r\n")},
               [](StoreConnection &store) -> asio::awaitable<void> {
                   CHECK((co_await store.create("a", "")).has_value());
                   CHECK((co_await store.read("a")).value().value == "v");
               });
    LONGS_EQUAL(2, client.server.connections);
}

TEST(NetStore, AnswerWithAnOlderVersionIsStale)
{
    client.run({response("200 OK", "new", "ETag: \"5\"\r\n"), response("200 OK", "old", "ETag: \"4\"\r\n")},
               [](StoreConnection &store) -> asio::awaitable<void> {
                   CHECK((co_await store.read("a")).has_value());
                   CHECK((co_await store.read("a")).error().fault == StoreFault::Stale);
               });
}

TEST(NetStore, ServerErrorLeavesTheOutcomeOfAWriteUnknown)
{
    client.run({response("503 Service Unavailable", "")},
               [](StoreConnection &store) -> asio::awaitable<void> { CHECK((co_await store.create("a", "")).error().fault == StoreFault::NoAnswer); });
}

TEST(NetStore, WatchDeliversOneEventPerCompleteLine)
{
    const std::string chunks = chunk(R"({"type":"put","key":"a",")") + chunk("version\":2,\"value\":\"v\"}\n{\"ty") + chunk(R"(pe":"bookmark","version":3)")
        + chunk("}\n") + chunk("");
    std::vector<WatchEvent> events;
    client.run({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks}, [&](StoreConnection &store) -> asio::awaitable<void> {
        const auto end = co_await store.watch("a", 1, [&](const WatchEvent &event) { events.push_back(event); });
        CHECK(end.fault == StoreFault::NoAnswer);
    });
    CHECK(client.server.requests.at(0).starts_with("GET /v1/watch?prefix=a&from=1 "));
    LONGS_EQUAL(2, events.size());
    CHECK(std::get<ObjectPut>(events.at(0)).object == (StoredObject {"a", 2, "v"}));
    LONGS_EQUAL(3, std::get<WatchBookmark>(events.at(1)).revision);
}

TEST(NetStore, WatchReportsAnExpiredRevision)
{
    client.run({response("410 Gone", "")}, [](StoreConnection &store) -> asio::awaitable<void> {
        const auto end = co_await store.watch("a", 1, [](const WatchEvent &) {});
        CHECK(end.fault == StoreFault::Expired);
    });
}
