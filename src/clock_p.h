#pragma once

#include <plumsill/clock.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/wait_traits.hpp>

#include <algorithm>

/// Makes Asio timers follow RuntimeClock. While tests pause the clock, timers poll it every millisecond.
template<>
struct boost::asio::wait_traits<plumsill::RuntimeClock> {
    static plumsill::Duration to_wait_duration(const plumsill::Duration &wait)
    {
        const plumsill::Duration poll = std::chrono::milliseconds(1);
        return plumsill::RuntimeClock::paused() ? std::clamp(wait, -poll, poll) : wait;
    }
    static plumsill::Duration to_wait_duration(const plumsill::TimePoint &expiry) { return to_wait_duration(expiry - plumsill::RuntimeClock::now()); }
};

namespace plumsill
{
using RuntimeTimer = boost::asio::basic_waitable_timer<RuntimeClock>;

/// Waits for @p duration of RuntimeClock; returns early when the coroutine is cancelled.
boost::asio::awaitable<void> sleepFor(Duration duration);
}
