#include "socket_p.h"

namespace plumsill
{
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{
constexpr auto RecancelInterval = std::chrono::milliseconds(5);
}

TimedSocket::TimedSocket(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{ }

TimedSocket::TimedSocket(const executor_type &executor)
    : TimedSocket(tcp::socket(executor))
{ }

TimedSocket::~TimedSocket()
{
    expiresNever();
}

void TimedSocket::expiresAfter(Duration limit)
{
    expiresNever();
    m_limit = std::make_shared<Limit>(Limit {this, false});
    m_timer.expires_after(limit);
    cancelAtLimit();
}

// A composed operation may be between two steps when the limit passes, so what starts later is cancelled too.
void TimedSocket::cancelAtLimit()
{
    m_timer.async_wait([limit = m_limit](const error_code &error) {
        if (error || limit->owner == nullptr) {
            return;
        }
        limit->expired = true;
        error_code ignored;
        limit->owner->m_socket.cancel(ignored);
        limit->owner->m_timer.expires_after(RecancelInterval);
        limit->owner->cancelAtLimit();
    });
}

void TimedSocket::expiresNever()
{
    if (m_limit) {
        m_limit->owner = nullptr;
        m_timer.cancel();
        m_limit.reset();
    }
}

error_code TimedSocket::cause(const error_code &error) const
{
    const bool expired = error == boost::asio::error::operation_aborted && m_limit && m_limit->expired;
    return expired ? boost::beast::make_error_code(boost::beast::error::timeout) : error;
}

void TimedSocket::close()
{
    error_code ignored;
    m_socket.close(ignored);
}
}
