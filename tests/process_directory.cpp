#include "directory_port_p.h"
#include "store_p.h"
#include "zone_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
/// Store that holds the fleet's directory, with its stand-in process.
struct DirectoryBackend {
    virtual ~DirectoryBackend() = default;
    virtual DirectoryPort open(boost::asio::io_context &context) = 0;
    virtual void publish(unsigned version) = 0;
    virtual void addTarget(const std::string &name) = 0;
    /// Makes the store lose at least its next answer. A write takes effect although its answer is lost.
    virtual void loseAnswers() = 0;
    virtual void stopLosingAnswers() = 0;
    /// Makes every later request fail.
    virtual void makeUnavailable() = 0;
};

struct PlatformBackend : DirectoryBackend {
    ZoneFleet fleet;

    DirectoryPort open(boost::asio::io_context &context) override { return DirectoryPort(std::make_unique<platform::ObjectDirectory>(context, fleet.store)); }
    void publish(unsigned version) override
    {
        PlatformDocument document;
        document.version = version;
        document.services = {"lookup"};
        document.routes = {{"read", "/read/", "lookup"}};
        CHECK(fleet.publish(document));
    }
    void addTarget(const std::string &name) override { fleet.startTarget(name, "lookup", "z0"); }
    void loseAnswers() override { fleet.storeFault(R"({"lose_share":1})"); }
    void stopLosingAnswers() override { fleet.storeFault(R"({"lose_share":0})"); }
    void makeUnavailable() override { fleet.storeFault(R"({"refuse_share":1})"); }
};

struct StoreBackend : DirectoryBackend {
    ChildProcess process {"standin-platform", {"--listen", "127.0.0.1:0"}};
    Endpoint store = readyEndpoint(process.line(), "http");

    DirectoryPort open(boost::asio::io_context & /*context*/) override { return DirectoryPort(std::make_unique<StoreDirectory>(store)); }
    void publish(unsigned version) override
    {
        const std::string text
            = "[service lookup]\nfloor = 50%\nslots = 3\n[route read]\nprefix = /read\nservice = lookup\nidempotent = yes\naccess = open\ntimeout = "
            + std::to_string(version) + "s\n";
        const std::string file = (std::filesystem::temp_directory_path() / ("plumsill-document-" + std::to_string(::getpid()))).string();
        std::ofstream(file) << text;
        ChildProcess control("plumsillctl", {"--store", "http://" + toString(store), "publish", file});
        LONGS_EQUAL(0, control.wait());
        std::filesystem::remove(file);
    }
    void addTarget(const std::string &name) override
    {
        httpCall(store, "PUT", "/control/targets/" + name, {},
                 R"({"name":")" + name + R"(","service":"lookup","zone":"z0","endpoint":"127.0.0.1:9","state":"live"})");
    }
    void loseAnswers() override { httpCall(store, "POST", "/control/faults", {}, R"({"lose_answers":1})"); }
    void stopLosingAnswers() override { }
    void makeUnavailable() override { httpCall(store, "POST", "/control/faults", {}, R"({"down":true})"); }
};

template<class Result>
boost::asio::awaitable<void> storeResult(boost::asio::awaitable<Result> operation, std::optional<Result> &result)
{
    result.emplace(co_await std::move(operation));
}

template<class Result>
Result await(boost::asio::io_context &context, boost::asio::awaitable<Result> operation)
{
    std::optional<Result> result;
    boost::asio::co_spawn(context, storeResult(std::move(operation), result), boost::asio::detached);
    while (!result) {
        context.restart();
        context.run_one();
    }
    return std::move(*result);
}

RegisteredDaemon daemon(std::uint64_t incarnation)
{
    return {{{"d1"}, incarnation}, {"z0"}, {"127.0.0.1", 7340}, 0.5};
}
}

// Both implementations of the directory must behave in the same way.
TEST_GROUP(DirectoryContract)
{
    boost::asio::io_context context;

    void checkContract(DirectoryBackend & backend)
    {
        DirectoryPort directory = backend.open(context);
        CHECK(await(context, directory.document()).error() == DirectoryError::Missing);
        checkDocuments(backend, directory);
        checkSecret(directory, backend);
        checkDaemons(backend, directory);
        backend.addTarget("t1");
        CHECK(eventually(5s, [&] {
            const auto read = await(context, directory.targets());
            return read.has_value() && read.value().targets.size() == 1 && read.value().targets[0].name.value == "t1" && !read.value().targets[0].leaving;
        }));
        backend.makeUnavailable();
        CHECK(await(context, directory.document()).has_error());
        CHECK(await(context, directory.targets()).has_error());
    }
    void checkDocuments(DirectoryBackend & backend, DirectoryPort & directory)
    {
        backend.publish(3);
        const TimePoint before = RuntimeClock::now();
        const auto first = await(context, directory.document());
        CHECK(first.has_value());
        CHECK(first.value().sentAt >= before);
        LONGS_EQUAL(1, first.value().document->routes.size());
        // A daemon that receives the document by relay must parse it to the same result.
        const auto relayed = directory.parse(*first.value().text);
        CHECK(relayed.has_value());
        CHECK_EQUAL(first.value().version, relayed.value().version);
        CHECK(relayed.value().document->routes[0].service == first.value().document->routes[0].service);
        CHECK(directory.parse("not a document").has_error());
        backend.publish(4);
        CHECK(await(context, directory.document()).value().version > first.value().version);
    }
    void checkSecret(DirectoryPort & directory, DirectoryBackend & backend)
    {
        CHECK(await(context, directory.peerSecret()).error() == DirectoryError::Missing);
        const std::string secret = await(context, directory.getOrCreatePeerSecret("the first one's")).value();
        STRCMP_EQUAL("the first one's", secret.c_str());
        DirectoryPort other = backend.open(context);
        STRCMP_EQUAL(secret.c_str(), await(context, other.getOrCreatePeerSecret("another")).value().c_str());
        STRCMP_EQUAL(secret.c_str(), await(context, other.peerSecret()).value().c_str());
    }
    void checkDaemons(DirectoryBackend & backend, DirectoryPort & directory)
    {
        CHECK(await(context, directory.enroll(daemon(1), true)).has_value());
        CHECK(await(context, directory.enroll(daemon(2), false)).has_value());
        // The write takes effect although its answer is lost; a second attempt must succeed.
        backend.loseAnswers();
        CHECK(await(context, directory.enroll(daemon(3), false)).has_error());
        backend.stopLosingAnswers();
        CHECK(await(context, directory.enroll(daemon(3), false)).has_value());
        const auto daemons = await(context, directory.daemons());
        LONGS_EQUAL(1, daemons.value().size());
        CHECK(daemons.value()[0] == daemon(3));
        CHECK(await(context, directory.withdraw({"d1"})).has_value());
        CHECK(await(context, directory.withdraw({"d1"})).has_value());
        CHECK(await(context, directory.daemons()).value().empty());
    }
};

TEST(DirectoryContract, PlatformObjectService)
{
    PlatformBackend backend;
    checkContract(backend);
}

TEST(DirectoryContract, PlumsillStore)
{
    StoreBackend backend;
    checkContract(backend);
}

// Starts a zone fleet whose directory is in plumsill's own store, and sends requests to each daemon.
TEST(DirectoryContract, ZoneFleetServesOnThePlumsillStore)
{
    StoreBackend backend;
    backend.publish(3);
    const std::string folder = (std::filesystem::temp_directory_path() / ("plumsill-own-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directory(folder);
    ChildProcess target("standin-target", {"--name", "t0", "--service", "lookup", "--service-time", "5ms"});
    const Endpoint address = readyEndpoint(target.line(), "http");
    httpCall(backend.store, "PUT", "/control/targets/t0", {},
             R"({"name":"t0","service":"lookup","zone":"z0","endpoint":")" + toString(address) + R"(","state":"live"})");
    const std::string network = "127." + std::to_string(201 + ::getpid() % 50) + "." + std::to_string(::getpid() / 50 % 250) + ".";
    std::vector<std::unique_ptr<ChildProcess>> daemons;
    std::vector<std::string> addresses;
    for (unsigned number = 0; number < 3; ++number) {
        const std::string name = "d" + std::to_string(number);
        addresses.push_back(network + std::to_string(10 + number));
        const auto &ip = addresses.back();
        std::string file = folder + "/";
        file += name;
        std::ofstream(file + ".ini") << "[instance]\nid = " << name << "\nzone = z" << number
                                     << "\nregion = test\n[fleet]\nform = zone\nzones = 3\n[traffic]\nlisten = " << ip << ":8080\n[readiness]\nlisten = " << ip
                                     << ":8081\n[metrics]\nlisten = " << ip << ":8082\n[peer]\nlisten = " << ip << ":8083\n[platform]\nurl = http://"
                                     << toString(backend.store) << "\nenvironment = production\n";
        daemons.push_back(std::make_unique<ChildProcess>("plumsilld", std::vector<std::string> {"--config", file + ".ini"}, file + ".log"));
    }
    for (const auto &ip : addresses) {
        CHECK(eventually(10s, [&] { return httpCall({ip, 8081}, "GET", "/ready").status == 200; }));
        CHECK(eventually(5s, [&] { return httpCall({ip, 8080}, "GET", "/read/1").status == 200; }));
        CHECK(eventually(5s, [&] { return httpCall({ip, 8082}, "GET", "/metrics").has("plumsill_registered_daemons 3"); }));
    }
    for (const auto &process : daemons) {
        process->signal(SIGTERM);
        LONGS_EQUAL(0, process->wait());
    }
    std::filesystem::remove_all(folder);
}
