#pragma once

#include "socket_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace plumsill
{
/// Lets the coroutines of one context use something one after the other.
class ExclusiveUse
{
private:
    // Shared with the guards, since a context that ends destroys suspended coroutines, and their guards, after all else.
    struct State : boost::intrusive_ref_counter<State, boost::thread_unsafe_counter> {
        explicit State(boost::asio::io_context &context)
            : released(context, TimePoint::max())
        { }
        RuntimeTimer released; ///< cancelled to wake the coroutine that has waited longest
        bool taken = false;
    };
    using StatePtr = boost::intrusive_ptr<State>;

public:
    /// Holds the use until the end of its life.
    class Guard
    {
    public:
        explicit Guard(StatePtr state)
            : m_state(std::move(state))
        {
            m_state->taken = true;
        }
        Guard(Guard &&) noexcept = default;
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;
        Guard &operator=(Guard &&) = delete;
        ~Guard()
        {
            if (m_state) {
                m_state->taken = false;
                m_state->released.cancel_one();
            }
        }

    private:
        StatePtr m_state;
    };

    explicit ExclusiveUse(boost::asio::io_context &context)
        : m_state(new State(context))
    { }

    /// Waits until no other coroutine holds the use.
    boost::asio::awaitable<Guard> take()
    {
        const StatePtr state = m_state;
        while (state->taken) {
            boost::system::error_code cancelled;
            co_await state->released.async_wait(errorInto(cancelled));
        }
        co_return Guard(state);
    }

private:
    const StatePtr m_state;
};
}
