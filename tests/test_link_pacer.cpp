#include <plumsill/config.h>
#include <plumsill/link_pacer.h>

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr double Rate = 1'250'000; // bytes per second: 10 Mbit/s
constexpr std::size_t DownloadBytes = 540'000;
constexpr std::size_t SmallBytes = 1500;
const TimePoint start {100s};

/// A link that sends what it gets in order.
class FakeLink
{
public:
    /// Time until the last byte has been sent.
    Duration add(std::size_t bytes, TimePoint now)
    {
        m_freeAt = std::max(m_freeAt, now) + fromSeconds(static_cast<double>(bytes) / Rate);
        return m_freeAt - now;
    }
    bool idle(TimePoint now) const { return m_freeAt <= now; }

private:
    TimePoint m_freeAt;
};
}

TEST_GROUP(LinkPacer)
{
    LinkPacer pacer {Rate};
    FakeLink link;
    std::map<FlowId, std::size_t> sent;

    std::vector<FlowId> open(std::size_t count)
    {
        std::vector<FlowId> flows;
        for (std::size_t i = 0; i < count; ++i) {
            flows.push_back(pacer.open());
            pacer.request(flows.back(), DownloadBytes);
        }
        return flows;
    }
    /// Sends the grants that are due, but not much more than the link sends in a second; each flow asks for more at once.
    std::size_t serve(TimePoint now)
    {
        std::size_t bytes = 0;
        while (const auto grant = bytes < Rate ? pacer.next(now) : std::nullopt) {
            link.add(grant->bytes, now);
            sent[grant->flow] += grant->bytes;
            bytes += grant->bytes;
            pacer.request(grant->flow, DownloadBytes);
        }
        return bytes;
    }
};

// Guards against small answers that wait behind all large ones on the link of a small instance.
TEST(LinkPacer, BurstOfLargeAnswersBesideUrgentSmallOnes)
{
    open(20);
    Duration longest {};
    for (TimePoint now = start; now < start + 2s; now += 5ms) {
        serve(now);
        pacer.addUnpaced(SmallBytes, now);
        longest = std::max(longest, link.add(SmallBytes, now));
    }
    CHECK(longest <= 2 * config::PacedChunkTime + config::PacedAhead);
}

// Guards against one answer that has the link for itself while others wait.
TEST(LinkPacer, LargeAnswersShareTheLinkEvenly)
{
    const auto flows = open(4);
    for (TimePoint now = start; now < start + 2s; now += 5ms) {
        serve(now);
    }
    for (const auto flow : flows) {
        CHECK(sent[flow] + 2 * pacer.chunkBytes() >= Rate * 2 / 4);
    }
}

// Guards against a link that idles while large answers wait.
TEST(LinkPacer, LinkIsBusyWhileALargeAnswerWaits)
{
    open(1);
    serve(start);
    for (TimePoint now = start + 5ms; now < start + 2s; now += 5ms) {
        CHECK(!link.idle(now));
        serve(now);
    }
}

// Guards against a burst after the process stood still or the clock was stepped.
TEST(LinkPacer, PauseGivesNoCredit)
{
    open(20);
    serve(start);
    CHECK(serve(start + 10s) <= Rate * seconds(config::PacedAhead) + 2.0 * static_cast<double>(pacer.chunkBytes()));
}

// Guards against large answers that wait for hours after a step of the clock back.
TEST(LinkPacer, StepBackHoldsLargeAnswersUpForASecondAtMost)
{
    open(1);
    serve(start + 3600s);
    serve(start);
    CHECK(serve(start + config::MaxLinkBacklog) > 0);
}

// Guards against large answers that starve while small ones fill the link.
TEST(LinkPacer, SmallAnswersThatFillTheLinkLeaveAPartToLargeOnes)
{
    open(1);
    std::size_t bytes = 0;
    for (TimePoint now = start; now < start + 10s; now += 5ms) {
        pacer.addUnpaced(static_cast<std::size_t>(Rate * 0.005), now);
        bytes += serve(now);
    }
    CHECK(static_cast<double>(bytes) >= Rate * 10 * config::MinPacedShare * 0.9);
}

// Guards against a caller that reads slowly, holds the others up, and catches up later at their cost.
TEST(LinkPacer, FlowThatWasIdleHasNoCredit)
{
    const auto flows = open(2);
    const FlowId slow = pacer.open();
    for (TimePoint now = start; now < start + 1s; now += 5ms) {
        serve(now);
    }
    CHECK(sent[flows[0]] + sent[flows[1]] + 2 * pacer.chunkBytes() >= Rate);
    pacer.request(slow, DownloadBytes);
    sent.clear();
    for (TimePoint now = start + 1s; now < start + 2s; now += 5ms) {
        serve(now);
    }
    CHECK(sent[slow] <= sent[flows[0]] + 2 * pacer.chunkBytes());
}

TEST(LinkPacer, CallerThatLeftIsNotGrantedAnything)
{
    const auto flows = open(2);
    pacer.close(flows[0]);
    serve(start);
    LONGS_EQUAL(0, sent[flows[0]]);
    CHECK(sent[flows[1]] > 0);
    LONGS_EQUAL(1, pacer.flows());
}

TEST(LinkPacer, WithoutAKnownRateNothingWaits)
{
    pacer.setRate(std::nullopt);
    const FlowId flow = pacer.open();
    for (int i = 0; i < 100; ++i) {
        pacer.request(flow, DownloadBytes);
        CHECK(pacer.next(start).has_value());
    }
}

// Guards against a caller who has left and still takes its turn on the link.
TEST(LinkPacer, WithdrawnRequestGetsNoGrantAndTheFlowMayAskAgain)
{
    const auto flows = open(2);
    pacer.withdraw(flows[0]);
    LONGS_EQUAL(flows[1], pacer.next(start)->flow);
    CHECK(!pacer.next(start + 10s));
    pacer.request(flows[0], DownloadBytes);
    LONGS_EQUAL(flows[0], pacer.next(start + 20s)->flow);
}
