#include "supervisor_p.h"

#include "clock_p.h"

#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace plumsill
{
Supervisor::Supervisor(std::string name, boost::asio::io_context &context, std::function<void()> escalate)
    : m_name(std::move(name))
    , m_context(context)
    , m_escalate(std::move(escalate))
{ }

void Supervisor::add(ChildSpec spec)
{
    m_children.push_back(std::make_shared<Child>(Child {std::move(spec), {}}));
}

void Supervisor::start()
{
    for (const auto &child : m_children) {
        boost::asio::co_spawn(m_context, supervise(child), boost::asio::detached);
    }
}

void Supervisor::stop()
{
    m_stopping = true;
    for (auto child = m_children.rbegin(); child != m_children.rend(); ++child) {
        if ((*child)->spec.stop) {
            (*child)->spec.stop();
        }
    }
}

boost::asio::awaitable<void> Supervisor::supervise(std::shared_ptr<Child> child)
{
    while (!m_stopping) {
        std::string reason = "returned unexpectedly";
        try {
            co_await child->spec.run();
        } catch (const std::exception &error) {
            reason = error.what();
        }
        if (m_stopping) {
            co_return;
        }
        logError(LogPart::Supervisor, m_name + "/" + child->spec.name + " failed: " + reason);
        const auto decision = child->policy.childFailed(RuntimeClock::now());
        if (std::holds_alternative<Escalate>(decision)) {
            logError(LogPart::Supervisor, m_name + "/" + child->spec.name + " failed too often; escalating");
            m_escalate();
            co_return;
        }
        co_await sleepFor(std::get<RestartChild>(decision).delay);
    }
}
}
