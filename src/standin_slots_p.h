#pragma once

#include "clock_p.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_state.hpp>

#include <list>
#include <utility>

/// Slots and queue of the stand-in target.
namespace plumsill::standin
{
enum class Admission
{
    Granted,
    Full,
    Expired,
};

// Waits report no cancellation of their own, so a handler asks after each of them.
inline boost::asio::awaitable<void> throwIfCancelled()
{
    const auto state = co_await boost::asio::this_coro::cancellation_state;
    if (state.cancelled() != boost::asio::cancellation_type::none) {
        throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
}

inline boost::asio::awaitable<void> sleepUnlessCancelled(Duration duration)
{
    co_await sleepFor(duration);
    co_await throwIfCancelled();
}

/// Slots with a bounded first-in first-out queue.
class SlotQueue
{
public:
    SlotQueue(unsigned slots, unsigned queue)
        : m_free(slots)
        , m_slots(slots)
        , m_limit(queue)
    { }

    unsigned inFlight() const { return m_slots - m_free; }
    std::size_t queued() const { return m_waiting.size(); }

    boost::asio::awaitable<Admission> acquire(TimePoint deadline)
    {
        if (m_free > 0) {
            --m_free;
            co_return Admission::Granted;
        }
        if (m_waiting.size() >= m_limit) {
            co_return Admission::Full;
        }
        Waiter waiter(*this, co_await boost::asio::this_coro::executor, deadline);
        boost::system::error_code woken;
        co_await waiter.timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
        co_await throwIfCancelled();
        co_return waiter.take() ? Admission::Granted : Admission::Expired;
    }

    void release()
    {
        ++m_free;
        for (auto *waiter : m_waiting) {
            if (!waiter->granted) {
                --m_free;
                waiter->granted = true;
                waiter->timer.cancel();
                return;
            }
        }
    }

private:
    struct Waiter {
        Waiter(SlotQueue &owner, const boost::asio::any_io_executor &executor, TimePoint deadline)
            : queue(owner)
            , timer(executor, deadline)
            , place(owner.m_waiting.insert(owner.m_waiting.end(), this))
        { }
        // A waiter that goes away after it was granted a slot passes it on.
        ~Waiter()
        {
            queue.m_waiting.erase(place);
            if (granted) {
                queue.release();
            }
        }
        Waiter(const Waiter &) = delete;
        Waiter &operator=(const Waiter &) = delete;

        bool take() { return std::exchange(granted, false); }

        SlotQueue &queue;
        RuntimeTimer timer;
        bool granted = false;
        std::list<Waiter *>::iterator place;
    };

    unsigned m_free;
    unsigned m_slots;
    unsigned m_limit;
    std::list<Waiter *> m_waiting;
};

/// Gives a slot back, also when its request is cancelled.
class SlotHolder
{
public:
    explicit SlotHolder(SlotQueue &queue)
        : m_queue(queue)
    { }
    ~SlotHolder() { m_queue.release(); }
    SlotHolder(const SlotHolder &) = delete;
    SlotHolder &operator=(const SlotHolder &) = delete;

private:
    SlotQueue &m_queue;
};
}
