#include "../platform/decode.h"
#include "../platform/object_directory.h"
#include "traffic_fixture.h"

#include <plumsill/rejected_entries.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;

namespace
{
std::string entry(const std::string &name, const std::string &field = {}, const std::string &value = {})
{
    const auto valueOf = [&](const std::string &member, const std::string &normal) { return '"' + member + "\":" + (field == member ? value : normal); };
    return R"({"metadata":{"name":")" + name + R"("},"spec":{)" + valueOf("service", R"("list")") + ',' + valueOf("address", R"("10.1.1.1:80")") + ','
        + valueOf("zone", R"("z0")") + ',' + valueOf("version", R"("1")") + ',' + valueOf("slots", "3") + ',' + valueOf("state", R"("ready")") + ','
        + valueOf("warmup-left-ms", "0") + ',' + valueOf("sequence", "4") + ',' + valueOf("born", "1700000000000") + "}}";
}

Script page(const std::vector<std::string> &items, bool more = false)
{
    std::string body = "{\"items\":[";
    for (const auto &item : items) {
        body += (body.ends_with('[') ? "" : ",") + item;
    }
    body += std::string("],\"has-more\":") + (more ? "true" : "false") + ",\"as-of\":7}";
    return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> namesOf(const std::vector<Target> &targets)
{
    std::vector<std::string> names(targets.size());
    std::transform(targets.begin(), targets.end(), names.begin(), [](const Target &target) { return target.name.value; });
    return names;
}

template<class Result>
boost::asio::awaitable<void> resultOf(boost::asio::awaitable<Result> operation, std::optional<Result> &result)
{
    result.emplace(co_await std::move(operation));
}
}

/// The directory, and a store that answers with pages as another writer has left them.
TEST_GROUP(OddEntries)
{
    boost::asio::io_context context;

    DirectoryResult<TargetsRead> read(ScriptedTarget & store)
    {
        platform::ObjectDirectory directory(context, store.endpoint());
        std::optional<DirectoryResult<TargetsRead>> result;
        boost::asio::co_spawn(context, resultOf(directory.targets(), result), boost::asio::detached);
        context.restart();
        context.run();
        return *result;
    }
    /// The odd entry is left out, and the others are read.
    void checkLeftOut(const std::string &odd, const std::string &name, const std::string &reason)
    {
        ScriptedTarget store({page({entry("i-1"), odd, entry("i-2")})});
        const auto result = read(store);
        CHECK(result.has_value());
        const TargetsRead &targets = result.assume_value();
        CHECK(namesOf(targets.targets) == (std::vector<std::string> {"i-1", "i-2"}));
        LONGS_EQUAL(1, targets.rejected.size());
        STRCMP_EQUAL(name.c_str(), targets.rejected.front().name.c_str());
        STRCMP_EQUAL(reason.c_str(), targets.rejected.front().reason.c_str());
    }
};

// Guards against one entry of another writer that hides every change of the targets: its page was refused as a whole.
TEST(OddEntries, EntryThatCannotBeParsedIsLeftOut)
{
    checkLeftOut(entry("x", "service", R"("list \ud83d")"), "x", "unreadable");
    checkLeftOut(entry("x", "service", "\"list \xff\""), "x", "unreadable");
    checkLeftOut(entry("x", "service", "\"list \n\""), "x", "unreadable");
    checkLeftOut(entry("x", "service", "list"), "x", "unreadable");
    checkLeftOut(entry(R"(x \ud83d)"), "", "unreadable");
    checkLeftOut("{\"metadata\":17,\"spec\":\"bytes\"}", "", "name");
    checkLeftOut("17", "", "name");
}

// Guards against processes that end, or no longer follow the list, because of a deeply nested entry.
TEST(OddEntries, DeeplyNestedEntryIsLeftOut)
{
    for (const std::size_t depth : {40, 10'000, 500'000}) {
        checkLeftOut(entry("x", "slots", nested(depth)), "x", "unreadable");
    }
    checkLeftOut(nested(500'000), "", "unreadable");
}

// Guards against processes that end, or no longer follow the list, because of a number that no type holds.
TEST(OddEntries, EntryWithANumberTooLargeIsLeftOut)
{
    for (const char *field : {"slots", "sequence", "born"}) {
        const auto result = platform::decodeTarget(entry("x", field, "1e400"));
        CHECK(!result.has_value());
        CHECK(!platform::decodeTarget(entry("x", field, "99999999999999999999")).has_value());
        CHECK(!platform::decodeTarget(entry("x", field, std::string(400, '9'))).has_value());
        CHECK(!platform::decodeTarget(entry("x", field, "-1")).has_value());
    }
    checkLeftOut(entry("x", "slots", "1e999999999999"), "x", "unreadable");
    checkLeftOut(entry("x", "warmup-left-ms", "1e400"), "x", "warm-up time");
    checkLeftOut(entry("x", "warmup-left-ms", std::string(400, '9')), "x", "warm-up time");
}

// Guards against connections to an address that was cut to fit.
TEST(OddEntries, EntryWithAPortOutOfRangeIsLeftOut)
{
    for (const char *port : {"0", "-1", "65536", "65616", "4294967376", "99999999999999999999", "", "80x"}) {
        checkLeftOut(entry("x", "address", "\"10.1.1.1:" + std::string(port) + '"'), "x", "address");
    }
}

// Guards against a list that is too large to be relayed, and lines of metrics that can't be read.
TEST(OddEntries, EntryWithAnOverlongOrUnprintableNameIsLeftOut)
{
    const std::string overlong = '"' + std::string(900'000, 'a') + '"';
    checkLeftOut(entry("x", "service", overlong), "x", "service");
    checkLeftOut(entry("x", "zone", overlong), "x", "zone");
    checkLeftOut(entry("x", "service", R"("a\nb")"), "x", "service");
    checkLeftOut(entry("x", "service", R"("a\"b")"), "x", "service");
    checkLeftOut(entry(std::string(300, 'n')), std::string(64, 'n'), "name");
}

TEST(OddEntries, ListGoesOnAfterTheLastNameThatCanBeRead)
{
    const std::string nameless = entry(R"(x \ud83d)");
    ScriptedTarget store({page({entry("i-1"), entry("i 2&a=\\n"), nameless}, true), page({nameless, entry("i-3")})});
    const auto result = read(store);
    CHECK(result.has_value());
    CHECK(namesOf(result.assume_value().targets) == (std::vector<std::string> {"i-1", "i-3"}));
    LONGS_EQUAL(2, result.assume_value().rejected.size());
    CHECK(store.lastRequest().find("after=i%202%26a%3D%0A ") != std::string::npos);
}

// An incomplete list would show targets as removed.
TEST(OddEntries, PageThatCannotBeSplitIsAnError)
{
    for (const char *body : {"", "{}", "{\"items\":17}", "{\"items\":[{]}", "{\"items\":[1,2"}) {
        ScriptedTarget store({{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(std::string(body).size()) + "\r\n\r\n" + body}});
        CHECK(!read(store).has_value());
    }
}

TEST_GROUP(RejectedEntries) {};

TEST(RejectedEntries, EachIsReportedOnceUntilItsReasonChangesOrItIsListedAnew)
{
    RejectedEntries entries;
    const RejectedEntry a {"a", "slots"};
    const RejectedEntry b {"b", "zone"};
    CHECK(entries.record({a}) == std::vector<RejectedEntry> {a});
    CHECK(entries.record({a, b}) == std::vector<RejectedEntry> {b});
    CHECK(entries.record({{"a", "state"}, b}) == (std::vector<RejectedEntry> {{"a", "state"}}));
    CHECK(entries.record({}).empty());
    CHECK(entries.record({b}) == std::vector<RejectedEntry> {b});
    LONGS_EQUAL(1, entries.count());
}

// Guards against a log that another writer can fill.
TEST(RejectedEntries, OneReadReportsABoundedNumber)
{
    RejectedEntries entries;
    std::vector<RejectedEntry> many;
    for (std::size_t i = 0; i < 2 * RejectedEntries::MaxNew; ++i) {
        many.push_back({std::to_string(i), "slots"});
    }
    LONGS_EQUAL(RejectedEntries::MaxNew, entries.record(many).size());
    LONGS_EQUAL(RejectedEntries::MaxNew, entries.record(many).size());
    CHECK(entries.record(many).empty());
    LONGS_EQUAL(many.size(), entries.count());
}
