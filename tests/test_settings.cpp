#include <plumsill/settings.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;

namespace
{
const std::string validText = R"([instance]
id = entry-1
zone = a
region = lisbon
[traffic]
listen = 127.0.0.1:0
threads = 2
[admin]
listen = 127.0.0.1:0
token_file = token
[peer]
listen = 127.0.0.1:0
secret_file = secret
seeds = 127.0.0.1:7001, 127.0.0.1:7002
[platform]
url = http://127.0.0.1:9000
environment = production
[log]
level = warning
format = json
)";

std::string firstProblem(const std::string &text)
{
    const auto parsed = parseSettings(text, "f.ini");
    return parsed.problems.empty() ? "" : toString(parsed.problems.front());
}

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = validText;
    text.replace(text.find(from), from.size(), to);
    return text;
}
}

TEST_GROUP(Settings) {};

TEST(Settings, ValidSettingsAreAccepted)
{
    const auto parsed = parseSettings(validText, "f.ini");
    CHECK(parsed.valid());
    LONGS_EQUAL(2, parsed.settings.trafficThreads);
    LONGS_EQUAL(2, parsed.settings.peerSeeds.size());
    CHECK(parsed.settings.logFormat == LogFormat::Json);
}

TEST(Settings, LimitsOfTheInstanceAreRead)
{
    const auto parsed = parseSettings(validText + "[limits]\nlink_megabits = 10\nmemory_megabytes = 160\nprocessor_cores = 0.1\n", "f.ini");
    CHECK(parsed.valid());
    CHECK(parsed.settings.limits == (InstanceLimits {10.0, 160.0, 0.1}));
    CHECK(parseSettings(validText, "f.ini").settings.limits == InstanceLimits {});
    STRCMP_EQUAL("f.ini:22: limits.link_megabits: not a number from 0.1 to 1e+06: 0", firstProblem(validText + "[limits]\nlink_megabits = 0\n").c_str());
    STRCMP_EQUAL("f.ini:22: limits.memory_megabytes: not a number from 16 to 1.6e+07: -5",
                 firstProblem(validText + "[limits]\nmemory_megabytes = -5\n").c_str());
}

TEST(Settings, EachProblemHasItsFileAndLine)
{
    STRCMP_EQUAL("f.ini:7: traffic.thread: unknown key", firstProblem(replaced("threads", "thread")).c_str());
    STRCMP_EQUAL("f.ini:7: traffic.threads: not a whole number from 1 to 64: 0", firstProblem(replaced("threads = 2", "threads = 0")).c_str());
    STRCMP_EQUAL("f.ini:6: traffic.listen: not IP:PORT: localhost:1", firstProblem(replaced("127.0.0.1:0", "localhost:1")).c_str());
    STRCMP_EQUAL("f.ini:19: log.level: not debug, info, warning or error: loud", firstProblem(replaced("warning", "loud")).c_str());
    STRCMP_EQUAL("f.ini:2: instance.zone: missing", firstProblem(replaced("zone = a\n", "")).c_str());
}

TEST(Settings, AllProblemsAreReportedTogether)
{
    LONGS_EQUAL(11, parseSettings("[instance]\nid = a\nidd = b\nid = c\n", "f.ini").problems.size());
}
