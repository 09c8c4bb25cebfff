#include <plumsill/placement_ids.h>

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace plumsill;

namespace
{
constexpr unsigned RequestsOfALife = 10'000;

const MemberId firstLife {{"entry-1"}, 1'796'000'000'000'000'000};
const MemberId secondLife {{"entry-1"}, 1'796'000'001'000'000'000};

std::set<std::uint64_t> idsOf(const MemberId &daemon, unsigned thread)
{
    PlacementIds ids(daemon, thread);
    std::set<std::uint64_t> all;
    for (unsigned request = 0; request < RequestsOfALife; ++request) {
        all.insert(ids.next());
    }
    return all;
}

std::size_t shared(const std::set<std::uint64_t> &left, const std::set<std::uint64_t> &right)
{
    return static_cast<std::size_t>(std::count_if(left.begin(), left.end(), [&right](std::uint64_t id) { return right.contains(id); }));
}
}

TEST_GROUP(PlacementIds) {};

// Guards against replies to a process that was killed, which its successor took for replies to its own requests (ROUTE).
TEST(PlacementIds, ARestartedDaemonUsesNoIdOfItsEarlierLife)
{
    LONGS_EQUAL(0, shared(idsOf(firstLife, 0), idsOf(secondLife, 0)));
    LONGS_EQUAL(0, shared(idsOf({{"entry-1"}, 1}, 0), idsOf({{"entry-1"}, 2}, 0)));
}

// Guards against the same for a daemon that starts at an address that another one used.
TEST(PlacementIds, DaemonsUseNoIdsOfEachOther)
{
    LONGS_EQUAL(0, shared(idsOf(firstLife, 0), idsOf({{"entry-2"}, firstLife.incarnation}, 0)));
}

TEST(PlacementIds, ThreadsOfADaemonUseNoIdsOfEachOther)
{
    const auto first = idsOf(firstLife, 0);
    LONGS_EQUAL(RequestsOfALife, first.size());
    LONGS_EQUAL(0, shared(first, idsOf(firstLife, 1)));
    LONGS_EQUAL(0, shared(first, idsOf(firstLife, 63)));
}
