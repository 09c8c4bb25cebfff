#pragma once

#include "clock_p.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>

#include <memory>

namespace plumsill
{
/// Completion token for co_await that stores an error in @p error instead of throwing.
inline auto errorInto(boost::system::error_code &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

/// TCP socket whose operations are cancelled at a deadline of RuntimeClock.
class TimedSocket
{
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;

    explicit TimedSocket(boost::asio::ip::tcp::socket socket);
    explicit TimedSocket(const executor_type &executor);
    ~TimedSocket();
    TimedSocket(const TimedSocket &) = delete;
    TimedSocket &operator=(const TimedSocket &) = delete;

    executor_type get_executor() { return m_socket.get_executor(); }
    boost::asio::ip::tcp::socket &socket() { return m_socket; }

    /// Sets the deadline, @p duration from now, of running and later operations.
    void expiresAfter(Duration duration);
    /// Removes the deadline.
    void expiresNever();
    /// Whether the deadline has passed. Where data always arrives at once, no operation may be waiting when it is cancelled.
    bool expired() const { return RuntimeClock::now() >= m_deadline; }
    /// Returns error::timeout when @p error was caused by the deadline, else @p error.
    boost::system::error_code cause(const boost::system::error_code &error) const;
    void close();

    template<class Buffers, class Token>
    auto async_read_some(const Buffers &buffers, Token &&token)
    {
        return m_socket.async_read_some(buffers, std::forward<Token>(token));
    }
    template<class Buffers, class Token>
    auto async_write_some(const Buffers &buffers, Token &&token)
    {
        return m_socket.async_write_some(buffers, std::forward<Token>(token));
    }

private:
    // Shared with the timer's handler, which may run after the socket has been destroyed. The pointer is then null.
    struct SocketRef {
        TimedSocket *socket = nullptr;
    };

    void waitUntil(TimePoint time);
    void timerFired();

    boost::asio::ip::tcp::socket m_socket;
    RuntimeTimer m_timer;
    std::shared_ptr<SocketRef> m_socketRef;
    TimePoint m_deadline = TimePoint::max();
    TimePoint m_wakeAt = TimePoint::max(); ///< time at which the timer fires; max when it is not running
    bool m_expired = false; ///< the deadline has passed
};
}
