#include "child_process.h"

#include <CppUTest/TestHarness.h>

using namespace plumsill;

// A short run under faults, always with the same seed; `make soak` runs more.
TEST_GROUP(SoakProcess) {};

TEST(SoakProcess, AFleetUnderFaultsKeepsItsPromises)
{
    ChildProcess soak("soak", {"--seed", "6", "--seconds", "8", "--daemons", "6", "--targets", "6", "--callers", "2"});
    std::string report;
    std::string line;
    while (!line.starts_with("soak: ")) {
        line = soak.line(90'000);
        report += line + "\n";
    }
    LONGS_EQUAL_TEXT(0, soak.wait(), report.c_str());
}
