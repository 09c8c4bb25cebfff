#include "socket_p.h"

#include <plumsill/config.h>

namespace plumsill
{
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{
// Interval at which operations are cancelled again after the deadline. A composed operation (several reads or writes) may start its next one after a
// cancellation.
constexpr auto RecancelInterval = std::chrono::milliseconds(5);
}

TimedSocket::TimedSocket(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_socketRef(std::make_shared<SocketRef>(SocketRef {this}))
{ }

TimedSocket::TimedSocket(const executor_type &executor)
    : TimedSocket(tcp::socket(executor))
{ }

TimedSocket::~TimedSocket()
{
    m_socketRef->socket = nullptr;
}

// The deadline changes several times per request, so the timer is not restarted for each change. While a deadline is set, the timer fires at least once per
// LimitCheckInterval and compares the time with the deadline. It is restarted only when it would fire too late for the new deadline.
void TimedSocket::expiresAfter(Duration duration)
{
    const TimePoint now = RuntimeClock::now();
    m_expired = false;
    m_deadline = now + duration;
    const TimePoint wake = std::min<TimePoint>(m_deadline, now + config::LimitCheckInterval);
    if (wake < m_wakeAt) {
        waitUntil(wake);
    }
}

void TimedSocket::expiresNever()
{
    m_expired = false;
    m_deadline = TimePoint::max();
}

void TimedSocket::waitUntil(TimePoint time)
{
    m_wakeAt = time;
    m_timer.expires_at(time);
    m_timer.async_wait([socketRef = m_socketRef](const error_code &error) {
        if (!error && socketRef->socket != nullptr) {
            socketRef->socket->timerFired();
        }
    });
}

// A composed operation may be between two reads or writes when the deadline passes, and start the next one afterwards. The socket's operations are therefore
// cancelled again every RecancelInterval until the deadline is changed or removed.
void TimedSocket::timerFired()
{
    m_wakeAt = TimePoint::max();
    if (m_deadline == TimePoint::max()) {
        return;
    }
    const TimePoint now = RuntimeClock::now();
    if (now < m_deadline) {
        waitUntil(std::min<TimePoint>(m_deadline, now + config::LimitCheckInterval));
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
