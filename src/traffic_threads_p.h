#pragma once

#include "traffic_p.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace plumsill
{
/// The traffic threads of a daemon.
class TrafficThreads
{
public:
    /// @p onEnded is called on the event loop @p control when the last thread has ended.
    TrafficThreads(boost::asio::io_context &control, std::function<void()> onEnded);

    /// Creates @p count threads of the daemon and binds them to one endpoint, which is returned with the actual port. Throws system_error.
    Endpoint open(const MemberId &daemon, unsigned count, Endpoint listen, const ControlPort &port, const Dialect &dialect);
    void start();
    /// Stops accepting connections; open connections are still served.
    void drain();
    void stop();
    void join();
    std::vector<std::unique_ptr<TrafficThread>> &all() { return m_traffic; }

private:
    boost::asio::io_context &m_control;
    std::function<void()> m_onEnded;
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    std::vector<std::thread> m_threads;
    std::size_t m_running = 0;
};
}
