#pragma once

#include <plumsill/supervisor.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plumsill
{
/// Child of a supervisor: a coroutine that runs until it is stopped. Returning earlier or throwing counts as a failure.
struct ChildSpec {
    std::string name;
    std::function<boost::asio::awaitable<void>()> run;
    std::function<void()> stop; ///< makes run() return; may be empty
};

/// Starts children in the order in which they were added, restarts those that fail, and stops them in reverse order.
class Supervisor
{
public:
    /// @p escalate is called when a child fails too often.
    Supervisor(std::string name, boost::asio::io_context &context, std::function<void()> escalate);

    void add(ChildSpec spec);
    void start();
    void stop();

private:
    struct Child {
        ChildSpec spec;
        RestartPolicy policy;
    };

    boost::asio::awaitable<void> supervise(std::shared_ptr<Child> child);

    std::string m_name;
    boost::asio::io_context &m_context;
    std::function<void()> m_escalate;
    std::vector<std::shared_ptr<Child>> m_children;
    bool m_stopping = false;
};
}
