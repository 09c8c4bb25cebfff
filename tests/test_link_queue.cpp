#include "../src/link_queue_p.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
namespace asio = boost::asio;

namespace
{
constexpr double BytesPerSecond = 10'000;

asio::awaitable<void> acquire(LinkQueue &queue, const PacedFlow &flow, std::size_t &granted)
{
    granted = co_await queue.acquire(flow, 1000);
}
}

TEST_GROUP(LinkQueue)
{
    LinkPacer pacer {BytesPerSecond};
    asio::io_context context;
    LinkQueue queue {context, pacer};
    PacedFlow abandoned {pacer};
    PacedFlow other {pacer};
};

// Guards against a grant that is written to a coroutine which was abandoned while it waited for the link.
TEST(LinkQueue, GrantOfAnAbandonedAnswerLeavesTheLinkToTheNext)
{
    std::size_t first = 0;
    std::size_t second = 0;
    std::size_t third = 0;
    asio::cancellation_signal left;
    asio::co_spawn(context, acquire(queue, other, first), asio::detached);
    asio::co_spawn(context, acquire(queue, abandoned, second), asio::bind_cancellation_slot(left.slot(), asio::detached));
    context.poll();
    left.emit(asio::cancellation_type::terminal);
    context.poll();
    asio::co_spawn(context, acquire(queue, other, third), asio::detached);
    context.restart();
    context.run_for(std::chrono::seconds(2));
    LONGS_EQUAL(1000, first);
    LONGS_EQUAL(0, second);
    LONGS_EQUAL(1000, third);
}

// Guards against a coroutine that waits for the link for ever because its caller has left.
TEST(LinkQueue, CancelledWaitEndsWithoutAGrant)
{
    std::size_t first = 0;
    std::size_t second = 7;
    std::size_t third = 0;
    asio::co_spawn(context, acquire(queue, other, first), asio::detached);
    asio::co_spawn(context, acquire(queue, abandoned, second), asio::detached);
    context.poll();
    queue.cancel(abandoned);
    queue.cancel(other);
    context.poll();
    LONGS_EQUAL(0, second);
    asio::co_spawn(context, acquire(queue, other, third), asio::detached);
    context.restart();
    context.run_for(std::chrono::seconds(2));
    LONGS_EQUAL(1000, first);
    LONGS_EQUAL(1000, third);
}
