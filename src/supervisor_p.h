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
/// One child: a coroutine that runs until it is told to stop; leaving early or throwing is a failure.
struct ChildSpec {
    std::string name;
    std::function<boost::asio::awaitable<void>()> run;
    std::function<void()> stop; ///< may be empty
};

/// Starts children in order, restarts those that fail, stops them in reverse.
class Supervisor
{
public:
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
