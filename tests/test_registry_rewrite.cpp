#include <plumsill/config.h>
#include <plumsill/hubs.h>
#include <plumsill/registry_rewrite.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);

RegisteredDaemon daemon(const std::string &name)
{
    return {{{name}, 1}, {"z"}, {"10.0.0." + name.substr(1), 7000}, 1};
}
}

/// Load: a large fleet whose store comes back from a copy that lacks all its entries.
TEST_GROUP(RegistryRewrite)
{
    RegistryRewrite rewrite;

    void setup() override
    {
        rewrite.recordEra(1, 443, 0.5, t0);
    }
};

// Guards against a storm of writes: all daemons learn of the new era within a heartbeat.
TEST(RegistryRewrite, WritesOfALargeFleetAreSpread)
{
    constexpr unsigned Daemons = 443;
    std::map<long, unsigned> writesInSecond;
    for (unsigned number = 0; number < Daemons; ++number) {
        RegistryRewrite one;
        one.recordEra(1, Daemons, 0, t0);
        one.recordEra(2, Daemons, (number + 0.5) / Daemons, t0 + 10s);
        TimePoint now = t0 + 10s;
        while (!one.due(now)) {
            now += 10ms;
        }
        ++writesInSecond[std::chrono::duration_cast<std::chrono::seconds>(now - t0).count()];
    }
    for (const auto &[second, writes] : writesInSecond) {
        CHECK(writes <= config::RewritesPerSecond + 1);
    }
    CHECK(writesInSecond.size() <= 10);
}

TEST(RegistryRewrite, EachNewEraIsAnsweredByOneWrite)
{
    CHECK(!rewrite.due(t0 + 1h));
    rewrite.recordEra(2, 3, 0.5, t0 + 10s);
    rewrite.recordEra(2, 3, 0.1, t0 + 10s);
    CHECK(!rewrite.due(t0 + 10400ms));
    CHECK(rewrite.due(t0 + 10600ms));
    rewrite.recordEra(3, 3, 0.5, t0 + 10700ms); // a second copy, before the first write was done
    CHECK(rewrite.due(t0 + 11300ms));
    rewrite.recordWritten();
    CHECK(!rewrite.due(t0 + 1h));
    rewrite.recordEra(2, 3, 0.5, t0 + 20s); // a late answer of an earlier era
    CHECK(!rewrite.due(t0 + 1h));
}

TEST(RegistryRewrite, RegistryMayLackEntriesUntilAllAreWritten)
{
    CHECK(!rewrite.mayLackEntries(t0));
    rewrite.recordEra(2, 443, 0.5, t0 + 10s);
    CHECK(rewrite.mayLackEntries(t0 + 10s + rewriteSpread(443)));
    CHECK(!rewrite.mayLackEntries(t0 + 40s));
}

// Guards against a daemon that takes a few entries for the whole fleet: it enrolled before the loss and reads first after it.
TEST(RegistryRewrite, DaemonThatReadsFirstAfterTheLossReadsOnUntilAllAreWritten)
{
    rewrite.recordEra(2, 1, 0.5, t0 + 10s);
    rewrite.recordRead(t0 + 10s);
    CHECK(rewrite.knowsPart());
    rewrite.recordRead(t0 + 12s);
    CHECK(rewrite.knowsPart());
    rewrite.recordRead(t0 + 10s + rewriteSpread(1) + config::RewriteMargin);
    CHECK(!rewrite.knowsPart());
}

// Guards against a store that all daemons read on after its return.
TEST(RegistryRewrite, DaemonThatHasReadBeforeTheLossKnowsAll)
{
    rewrite.recordRead(t0);
    rewrite.recordEra(2, 443, 0.5, t0 + 10s);
    rewrite.recordRead(t0 + 11s);
    CHECK(!rewrite.knowsPart());
}

// Guards against a fleet that forgets its live daemons, since the copy lacks their entries.
TEST(RegistryRewrite, KnownDaemonsStayWhileTheRegistryMayLackThem)
{
    HubDirectory hubs(daemon("d1"));
    hubs.setRegistered({daemon("d1"), daemon("d2"), daemon("d3")});
    hubs.setRegistered({daemon("d2"), daemon("d4")}, true);
    LONGS_EQUAL(4, hubs.registered().size());
    hubs.setRegistered({daemon("d2"), daemon("d4")});
    LONGS_EQUAL(3, hubs.registered().size());
}
