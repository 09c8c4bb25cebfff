#include "link_queue_p.h"

#include "socket_p.h"

namespace plumsill
{
boost::asio::awaitable<std::size_t> LinkQueue::acquire(const PacedFlow &flow, std::size_t bytes)
{
    Waiter waiter {RuntimeTimer(m_timer.get_executor()), std::nullopt};
    waiter.timer.expires_at(TimePoint::max());
    m_waiters.emplace(flow.id(), &waiter);
    m_pacer.request(flow.id(), bytes);
    serve();
    while (!waiter.granted) {
        boost::system::error_code cancelled;
        co_await waiter.timer.async_wait(errorInto(cancelled));
    }
    m_waiters.erase(flow.id());
    co_return *waiter.granted;
}

void LinkQueue::serve()
{
    while (const auto grant = m_pacer.next(RuntimeClock::now())) {
        const auto found = m_waiters.find(grant->flow);
        if (found != m_waiters.end()) {
            found->second->granted = grant->bytes;
            found->second->timer.cancel();
        }
    }
    if (const auto wakeAt = m_pacer.wakeAt()) {
        m_timer.expires_at(*wakeAt);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                serve();
            }
        });
    }
}
}
