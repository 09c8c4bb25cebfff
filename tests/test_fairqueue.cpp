#include <plumsill/fairqueue.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);
const TeamName teamA {"a"};
const TeamName teamB {"b"};
}

TEST_GROUP(FairQueue)
{
    FairQueue queue {20};
    std::uint64_t nextId = 1;

    QueueResult push(const TeamName &team, TimePoint now, Duration maxWait = 10s, double cost = 1)
    {
        return queue.push({nextId++, team, now + maxWait, cost}, now);
    }
    std::string popAll(TimePoint now)
    {
        std::string order;
        while (const auto request = queue.pop(now)) {
            order += request->team.value;
        }
        return order;
    }
    /// Serves ten requests, one every @p interval, so that the queue measures this service interval.
    void serveEvery(Duration interval)
    {
        for (unsigned i = 0; i < 10; ++i) {
            push(teamA, t0);
        }
        for (unsigned i = 1; i <= 10; ++i) {
            queue.pop(t0 + interval * i);
        }
    }
};

TEST(FairQueue, TeamsAreServedInTurn)
{
    for (unsigned i = 0; i < 5; ++i) {
        push(teamA, t0);
    }
    push(teamB, t0);
    push(teamB, t0);
    STRCMP_EQUAL("ababaaa", popAll(t0).c_str());
}

TEST(FairQueue, CostlyRequestsUseSeveralTurnsOfTheirTeam)
{
    for (unsigned i = 0; i < 2; ++i) {
        push(teamA, t0, 10s, 3);
    }
    for (unsigned i = 0; i < 6; ++i) {
        push(teamB, t0);
    }
    STRCMP_EQUAL("bbabbbab", popAll(t0).c_str());
}

TEST(FairQueue, RequestThatCannotBeServedInTimeIsRefusedImmediately)
{
    serveEvery(100ms);
    const auto now = t0 + 2s;
    for (unsigned i = 0; i < 5; ++i) {
        CHECK(push(teamA, now, 1s).accepted);
    }
    const auto result = push(teamA, now, 300ms);
    CHECK(!result.accepted);
    CHECK(result.retryAfter >= 400ms && result.retryAfter <= 600ms);
    CHECK(push(teamB, now, 300ms).accepted);
}

TEST(FairQueue, StalledServiceCountsAsSlow)
{
    serveEvery(10ms);
    push(teamA, t0 + 1s, 60s);
    CHECK(!push(teamA, t0 + 4s, 2s).accepted);
    CHECK(push(teamA, t0 + 4s, 4s).accepted);
}

TEST(FairQueue, FullQueueDisplacesARequestOfTheLongestTeamQueue)
{
    for (unsigned i = 0; i < 20; ++i) {
        push(teamA, t0);
    }
    const auto result = push(teamB, t0);
    CHECK(result.accepted);
    CHECK(result.displaced == std::optional<std::uint64_t>(20));
    CHECK(!push(teamA, t0).accepted);
    LONGS_EQUAL(20, queue.size());
    LONGS_EQUAL(1, queue.queued(teamB));
}

TEST(FairQueue, RequestsExpireAtTheirDeadline)
{
    push(teamA, t0, 1s);
    push(teamB, t0, 2s);
    CHECK(queue.nextDeadline() == std::optional(t0 + 1s));
    CHECK(queue.expire(t0 + 999ms).empty());
    CHECK(queue.expire(t0 + 1s) == std::vector<std::uint64_t> {1});
    STRCMP_EQUAL("b", popAll(t0 + 1s).c_str());
    CHECK(!push(teamA, t0 + 2s, 0s).accepted);
}

TEST(FairQueue, TeamsAndRequestsAreRemoved)
{
    push(teamA, t0);
    push(teamB, t0);
    push(teamA, t0);
    CHECK((queue.removeTeam(teamA) == std::vector<std::uint64_t> {1, 3}));
    CHECK(!queue.remove(1));
    CHECK(queue.remove(2));
    CHECK(queue.empty());
    CHECK(!queue.pop(t0).has_value());
    CHECK(!queue.nextDeadline().has_value());
}

// The worst-served team must get at least 95 % of its fair share while another team sends 5 times its own.
TEST(FairQueue, GreedyTeamDoesNotSlowTheOthers)
{
    constexpr unsigned Rounds = 2000;
    FairQueue contendedQueue(100);
    std::map<TeamName, unsigned> served;
    for (unsigned round = 0; round < Rounds; ++round) {
        const auto now = t0 + 40ms * round;
        for (const auto *team : {"b", "c", "d"}) {
            contendedQueue.push({nextId++, {team}, now + 2s}, now);
        }
        for (unsigned i = 0; i < 5; ++i) {
            contendedQueue.push({nextId++, teamA, now + 2s}, now);
        }
        for (unsigned slot = 0; slot < 4; ++slot) {
            const auto at = now + 10ms * slot;
            contendedQueue.expire(at);
            if (const auto request = contendedQueue.pop(at)) {
                ++served[request->team];
            }
        }
    }
    for (const auto &[team, count] : served) {
        CHECK(count >= Rounds * 95 / 100);
    }
    LONGS_EQUAL(4, served.size());
}
