#include "child_process.h"

#include <CppUTest/TestHarness.h>

using namespace plumsill;

// Runs the fault soak for 8 s with a fixed seed; `make soak` runs other seeds.
TEST_GROUP(SoakProcess) {};

TEST(SoakProcess, AFleetUnderFaultsKeepsItsGuarantees)
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
