#include "link_queue_p.h"

#include "socket_p.h"

namespace plumsill
{
boost::asio::awaitable<std::size_t> LinkQueue::acquire(const PacedFlow &flow, std::size_t bytes)
{
    const boost::intrusive_ptr<Waiter> waiter(new Waiter(m_timer.get_executor()));
    waiter->timer.expires_at(TimePoint::max());
    m_waiters[flow.id()] = waiter;
    m_pacer.request(flow.id(), bytes);
    serve();
    while (!waiter->granted) {
        boost::system::error_code cancelled;
        co_await waiter->timer.async_wait(errorInto(cancelled));
    }
    co_return *waiter->granted;
}

void LinkQueue::cancel(const PacedFlow &flow)
{
    const auto found = m_waiters.find(flow.id());
    if (found == m_waiters.end()) {
        return;
    }
    found->second->granted = 0;
    found->second->timer.cancel();
    m_waiters.erase(found);
    m_pacer.withdraw(flow.id());
}

void LinkQueue::serve()
{
    while (const auto grant = m_pacer.next(RuntimeClock::now())) {
        const auto found = m_waiters.find(grant->flow);
        if (found != m_waiters.end()) {
            found->second->granted = grant->bytes;
            found->second->timer.cancel();
            m_waiters.erase(found);
        }
    }
    // Coroutines that were abandoned hold their waiters no more.
    std::erase_if(m_waiters, [](const auto &entry) { return entry.second->use_count() == 1; });
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
