#include <plumsill/membership.h>

#include "fleet_fake.h"

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::fake;

TEST_GROUP(Membership) {};

TEST(Membership, LonelyDaemonFoundsTheCell)
{
    Fleet fleet(1, 1);
    fleet.start(0);
    CHECK(fleet.settle(10s).has_value());
    LONGS_EQUAL(1, fleet.nodes[0].membership->epoch());
    LONGS_EQUAL(1, fleet.store.writes);
}

TEST(Membership, FortyEightStartInFewEpochs)
{
    Fleet fleet(48, 1);
    for (std::size_t index = 0; index < 48; ++index) {
        fleet.start(index);
    }
    const auto settled = fleet.settle(40s);
    CHECK_TRUE(settled.has_value());
    CHECK(fleet.nodes[0].membership->epoch() <= 4);
    CHECK(fleet.violations.empty());
}
