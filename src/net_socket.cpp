#include "socket_p.h"

#include <plumsill/config.h>

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
    , m_owner(std::make_shared<Owner>(Owner {this}))
{ }

TimedSocket::TimedSocket(const executor_type &executor)
    : TimedSocket(tcp::socket(executor))
{ }

TimedSocket::~TimedSocket()
{
    m_owner->socket = nullptr;
}

// Limits change several times a request, so the timer is left running: it fires every LimitCheckInterval at the latest,
// and only a limit before that moves it.
void TimedSocket::expiresAfter(Duration limit)
{
    const TimePoint now = RuntimeClock::now();
    m_expired = false;
    m_limit = now + limit;
    const TimePoint wake = std::min<TimePoint>(m_limit, now + config::LimitCheckInterval);
    if (wake < m_wakeAt) {
        waitUntil(wake);
    }
}

void TimedSocket::expiresNever()
{
    m_expired = false;
    m_limit = TimePoint::max();
}

void TimedSocket::waitUntil(TimePoint time)
{
    m_wakeAt = time;
    m_timer.expires_at(time);
    m_timer.async_wait([owner = m_owner](const error_code &error) {
        if (!error && owner->socket != nullptr) {
            owner->socket->timerFired();
        }
    });
}

// A composed operation may be between two steps when the limit passes, so what starts later is cancelled too.
void TimedSocket::timerFired()
{
    m_wakeAt = TimePoint::max();
    if (m_limit == TimePoint::max()) {
        return;
    }
    const TimePoint now = RuntimeClock::now();
    if (now < m_limit) {
        waitUntil(std::min<TimePoint>(m_limit, now + config::LimitCheckInterval));
        return;
    }
    m_expired = true;
    error_code ignored;
    m_socket.cancel(ignored);
    waitUntil(now + RecancelInterval);
}

error_code TimedSocket::cause(const error_code &error) const
{
    const bool expired = error == boost::asio::error::operation_aborted && m_expired;
    return expired ? boost::beast::make_error_code(boost::beast::error::timeout) : error;
}

void TimedSocket::close()
{
    error_code ignored;
    m_socket.close(ignored);
}
}
