#pragma once

#include "clock_p.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_state.hpp>

#include <list>
#include <utility>

/// Slots and request queue of the stand-in target.
namespace plumsill::standin
{
/// Result of a request for a slot.
enum class Admission
{
    Granted,
    Full, ///< the queue is full
    Expired, ///< the deadline passed in the queue
};

// Throws operation_aborted if the coroutine was cancelled. Waits don't report a cancellation themselves, so handlers call
// this after each wait.
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

/// Fixed number of slots with a bounded first-in first-out queue of requests that wait for one.
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

    /// Takes a slot, and waits for one in the queue until @p deadline. A granted slot must be released.
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
        co_return waiter.claimSlot() ? Admission::Granted : Admission::Expired;
    }

    /// Releases a slot. The request that has waited longest gets it.
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
            , position(owner.m_waiting.insert(owner.m_waiting.end(), this))
        { }
        // A cancelled waiter that was already granted a slot releases it.
        ~Waiter()
        {
            queue.m_waiting.erase(position);
            if (granted) {
                queue.release();
            }
        }
        Waiter(const Waiter &) = delete;
        Waiter &operator=(const Waiter &) = delete;

        bool claimSlot() { return std::exchange(granted, false); }

        SlotQueue &queue;
        RuntimeTimer timer;
        bool granted = false;
        std::list<Waiter *>::iterator position;
    };

    unsigned m_free;
    unsigned m_slots;
    unsigned m_limit;
    std::list<Waiter *> m_waiting;
};

/// Releases a slot at the end of its scope, also when the request is cancelled.
class SlotGuard
{
public:
    explicit SlotGuard(SlotQueue &queue)
        : m_queue(queue)
    { }
    ~SlotGuard() { m_queue.release(); }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

private:
    SlotQueue &m_queue;
};
}
