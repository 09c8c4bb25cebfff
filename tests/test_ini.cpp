#include <plumsill/ini.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

TEST_GROUP(Ini) {};

TEST(Ini, EntriesHaveLineNumbers)
{
    const auto ini = readIni("# head\n[a]\nx = 1\n\n[b c]\n  y = 2\n", "f");
    CHECK(ini.problems.empty());
    CHECK((ini.entries == std::vector<IniEntry> {{"a", "x", "1", 3}, {"b c", "y", "2", 6}}));
}

TEST(Ini, InvalidLineIsReported)
{
    const auto ini = readIni("[a]\nx = 1\nnonsense\n", "f.ini");
    LONGS_EQUAL(1, ini.problems.size());
    STRCMP_EQUAL("f.ini:3: line: neither a section nor 'key = value'", toString(ini.problems[0]).c_str());
}

TEST(Ini, LongLineIsRejectedNotTruncated)
{
    const auto ini = readIni("[a]\nx = " + std::string(300, 'y') + "\n", "f");
    LONGS_EQUAL(1, ini.problems.size());
    LONGS_EQUAL(2, ini.problems[0].line);
    CHECK(ini.entries.empty());
}

TEST(Ini, UnitsAreRequired)
{
    CHECK(parseDuration("250ms") == std::optional<Duration>(250ms));
    CHECK(parseDuration("2m") == std::optional<Duration>(120s));
    CHECK(!parseDuration("250"));
    CHECK(!parseDuration("-1s"));
    CHECK(!parseDuration("1d"));
    CHECK(parseBytes("64KB") == std::optional<std::size_t>(65536));
    CHECK(!parseBytes("64"));
    CHECK(!parseNumber("nan"));
    CHECK(!parseNumber("1x"));
}

TEST(Ini, EndpointsNeedNumericAddresses)
{
    CHECK(parseEndpoint("127.0.0.1:80") == std::optional<Endpoint>(Endpoint {"127.0.0.1", 80}));
    CHECK(!parseEndpoint("localhost:80"));
    CHECK(!parseEndpoint("127.0.0.1:99999"));
    CHECK(!parseEndpoint("127.0.0.1"));
}
