#pragma once

#include "clock_p.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>

#include <memory>

namespace plumsill
{
/// Lets a co_await report in @p error instead of throwing.
inline auto errorInto(boost::system::error_code &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

/// A TCP socket whose operations end when a time limit by the runtime's clock passes.
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

    /// Sets the limit for the operations that run now or start later.
    void expiresAfter(Duration limit);
    void expiresNever();
    /// @p error, or error::timeout where the limit was the cause of it.
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
    // Shared with the timer's handler, which may still run after the socket is gone.
    struct Owner {
        TimedSocket *socket = nullptr;
    };

    void waitUntil(TimePoint time);
    void timerFired();

    boost::asio::ip::tcp::socket m_socket;
    RuntimeTimer m_timer;
    std::shared_ptr<Owner> m_owner;
    TimePoint m_limit = TimePoint::max();
    TimePoint m_wakeAt = TimePoint::max(); ///< when the timer fires; max: it doesn't run
    bool m_expired = false;
};
}
