#include "raw_json_p.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <rapidcheck.h>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;
namespace json = boost::json;

TEST_GROUP(RawJson) {};

TEST(RawJson, ElementsAreReturnedAsWritten)
{
    const auto elements = rawElements(R"( [ {"a":[1,"]"]} , "x\"]," ,-1e999,null , [] ] )");
    CHECK(elements.has_value());
    const std::vector<std::string_view> expected {R"({"a":[1,"]"]})", R"("x\"],")", "-1e999", "null", "[]"};
    CHECK(*elements == expected);
    CHECK(rawElements("[]")->empty());
}

TEST(RawJson, MembersAreReturnedAsWritten)
{
    const std::string_view text = R"({"items" : [1, {"items":2}], "more":true , "odd":"\ud83d"})";
    CHECK(rawMember(text, "items") == R"([1, {"items":2}])");
    CHECK(rawMember(text, "more") == "true");
    CHECK(rawMember(text, "odd") == R"("\ud83d")");
    CHECK(rawMember(text, "none").empty());
    CHECK(rawMembers("{}")->empty());
}

TEST(RawJson, TextThatEndsEarlyOrDoesNotMatchIsRefused)
{
    for (const char *text : {"", "[", "[1", "[1,", "[1,]", "[,1]", "[\"a]", "[{]", "[1] 2", "{\"a\":1}", "17"}) {
        CHECK(!rawElements(text));
    }
    for (const char *text : {"", "{", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":1,", "{\"a\":1,}", "{a:1}", "{\"a\" 1}", "[1]"}) {
        CHECK(!rawMembers(text));
    }
}

// Guards against a stack that grows with the nesting of another writer's entry.
TEST(RawJson, DeepNestingIsSkipped)
{
    const std::size_t depth = 500'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const std::string text = "[" + deep + ",7]";
    const auto elements = rawElements(text);
    LONGS_EQUAL(2, elements->size());
    CHECK(elements->back() == "7");
}

TEST(RawJson, AgreesWithTheParser)
{
    const bool passed = rc::check([](const std::vector<std::string> &texts, const std::vector<int> &numbers) {
        json::array array;
        for (const auto &text : texts) {
            std::string ascii;
            std::copy_if(text.begin(), text.end(), std::back_inserter(ascii), [](unsigned char c) { return c < 0x80; });
            array.push_back(json::object {{"text", ascii}, {"list", json::array {ascii, json::object {{ascii, 1}}}}});
        }
        array.insert(array.end(), numbers.begin(), numbers.end());
        const std::string text = json::serialize(array);
        const auto elements = rawElements(text);
        RC_ASSERT(elements.has_value());
        RC_ASSERT(elements->size() == array.size());
        for (std::size_t i = 0; i < array.size(); ++i) {
            RC_ASSERT(json::parse({(*elements)[i].data(), (*elements)[i].size()}) == array[i]);
        }
    });
    CHECK(passed);
}

// Any bytes: the scanner stays within them.
TEST(RawJson, AnyBytesAreReadWithinTheirBounds)
{
    const bool passed = rc::check([](const std::vector<std::uint8_t> &choices) {
        static constexpr std::string_view Alphabet = "[]{},:\"\\ a1\xff";
        std::string text;
        for (const auto choice : choices) {
            text += Alphabet[choice % Alphabet.size()];
        }
        for (const auto element : rawElements("[" + text).value_or(std::vector<std::string_view> {})) {
            RC_ASSERT(!element.empty());
        }
        rawMembers("{" + text);
    });
    CHECK(passed);
}
