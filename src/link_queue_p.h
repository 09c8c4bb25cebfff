#pragma once

#include "clock_p.h"

#include <plumsill/link_pacer.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <map>
#include <optional>

namespace plumsill
{
/// One large answer at the pacer; ends with its object.
class PacedFlow
{
public:
    explicit PacedFlow(LinkPacer &pacer)
        : m_pacer(pacer)
        , m_id(pacer.open())
    { }
    ~PacedFlow() { m_pacer.close(m_id); }
    PacedFlow(const PacedFlow &) = delete;
    PacedFlow &operator=(const PacedFlow &) = delete;

    FlowId id() const { return m_id; }

private:
    LinkPacer &m_pacer;
    const FlowId m_id;
};

/// Lets the large answers of one traffic thread wait for the grants of its pacer.
class LinkQueue
{
public:
    LinkQueue(boost::asio::io_context &context, LinkPacer &pacer)
        : m_pacer(pacer)
        , m_timer(context)
    { }

    /// Waits until @p flow may send, and returns how many of @p bytes; 0 if the wait was cancelled.
    boost::asio::awaitable<std::size_t> acquire(const PacedFlow &flow, std::size_t bytes);
    /// Ends the wait of @p flow, if there is one, and gives its place to the others.
    void cancel(const PacedFlow &flow);

private:
    /// Shared by the queue and the coroutine that waits, which may be abandoned before the grant.
    struct Waiter : boost::intrusive_ref_counter<Waiter, boost::thread_unsafe_counter> {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : timer(executor)
        { }
        RuntimeTimer timer;
        std::optional<std::size_t> granted;
    };

    void serve();

    LinkPacer &m_pacer;
    RuntimeTimer m_timer; ///< wakes serve() up at the next grant
    std::map<FlowId, boost::intrusive_ptr<Waiter>> m_waiters;
};
}
