#pragma once

#include "socket_p.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace plumsill
{
/// Lets the coroutines of one context use something one after the other.
class ExclusiveUse
{
public:
    /// Holds the use until the end of its life.
    class Guard
    {
    public:
        explicit Guard(ExclusiveUse &use)
            : m_use(&use)
        {
            m_use->m_taken = true;
        }
        Guard(Guard &&other) noexcept
            : m_use(std::exchange(other.m_use, nullptr))
        { }
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;
        Guard &operator=(Guard &&) = delete;
        ~Guard()
        {
            if (m_use != nullptr) {
                m_use->m_taken = false;
                m_use->m_released.cancel_one();
            }
        }

    private:
        ExclusiveUse *m_use;
    };

    explicit ExclusiveUse(boost::asio::io_context &context)
        : m_released(context, TimePoint::max())
    { }

    /// Waits until no other coroutine holds the use.
    boost::asio::awaitable<Guard> take()
    {
        while (m_taken) {
            boost::system::error_code cancelled;
            co_await m_released.async_wait(errorInto(cancelled));
        }
        co_return Guard(*this);
    }

private:
    RuntimeTimer m_released; ///< cancelled to wake the coroutine that has waited longest
    bool m_taken = false;
};
}
