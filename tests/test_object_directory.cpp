#include "../platform/object_directory.h"
#include "traffic_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
std::string document(const std::string &version)
{
    const std::string body = R"({"metadata":{"name":"main"},"spec":{"version":")" + version + R"(","resources":[]}})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

boost::asio::awaitable<void> read(platform::ObjectDirectory &directory, std::vector<std::uint64_t> &versions)
{
    const auto result = co_await directory.document();
    versions.push_back(result ? result.assume_value().version : 0);
}
}

/// The directory, and a store that answers one call at a time on a connection.
TEST_GROUP(ObjectDirectory)
{
    boost::asio::io_context context;
};

// Guards against two reads of the document that use one connection at once and take each other's answer, or its parts.
TEST(ObjectDirectory, ReadsOfTheDocumentTakeTurns)
{
    ScriptedTarget store({{document("00000001")}, {document("00000002")}, {document("00000003")}}, 50ms);
    platform::ObjectDirectory directory(context, store.endpoint());
    std::vector<std::uint64_t> versions;
    for (int i = 0; i < 3; ++i) {
        boost::asio::co_spawn(context, read(directory, versions), boost::asio::detached);
    }
    context.run();
    CHECK((versions == std::vector<std::uint64_t> {1, 2, 3}));
    LONGS_EQUAL(1, store.connections());
    LONGS_EQUAL(3, store.runs());
}

// A call that gets no answer ends at its time limit, and the next one goes on.
TEST(ObjectDirectory, CallWithoutAnAnswerDoesNotHoldUpTheNextOnes)
{
    ScriptedTarget store({{"", true}, {document("00000002")}});
    platform::ObjectDirectory directory(context, store.endpoint());
    std::vector<std::uint64_t> versions;
    for (int i = 0; i < 2; ++i) {
        boost::asio::co_spawn(context, read(directory, versions), boost::asio::detached);
    }
    context.run();
    CHECK((versions == std::vector<std::uint64_t> {0, 2}));
}

// Guards against a call that is still running when its daemon ends and then uses its connection, which is gone by then.
TEST(ObjectDirectory, CallsMayOutliveTheDirectory)
{
    ScriptedTarget store({{document("00000001")}}, 10s);
    std::vector<std::uint64_t> versions;
    {
        boost::asio::io_context ending;
        auto directory = std::make_unique<platform::ObjectDirectory>(ending, store.endpoint());
        for (int i = 0; i < 2; ++i) {
            boost::asio::co_spawn(ending, read(*directory, versions), boost::asio::detached);
        }
        while (store.runs() == 0) {
            ending.poll();
        }
        directory.reset();
    }
    CHECK(versions.empty());
}
