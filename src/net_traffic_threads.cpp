#include "traffic_threads_p.h"

#include <boost/asio/post.hpp>

namespace plumsill
{
TrafficThreads::TrafficThreads(boost::asio::io_context &control, std::function<void()> onEnded)
    : m_control(control)
    , m_onEnded(std::move(onEnded))
{ }

// When the port is 0, the system chooses a port for the first thread, and the other threads use the same one.
Endpoint TrafficThreads::open(const MemberId &daemon, unsigned count, Endpoint listen, const ControlPort &port, const Dialect &dialect)
{
    for (unsigned index = 0; index < count; ++index) {
        m_traffic.push_back(std::make_unique<TrafficThread>(daemon, index, count, port, dialect));
        listen = m_traffic.back()->open(listen);
    }
    return listen;
}

void TrafficThreads::start()
{
    m_running = m_traffic.size();
    for (const auto &traffic : m_traffic) {
        m_threads.emplace_back([this, &traffic] {
            traffic->run();
            boost::asio::post(m_control, [this] {
                if (--m_running == 0) {
                    m_onEnded();
                }
            });
        });
    }
}

void TrafficThreads::drain()
{
    for (const auto &traffic : m_traffic) {
        traffic->drain();
    }
}

void TrafficThreads::stop()
{
    for (const auto &traffic : m_traffic) {
        traffic->stop();
    }
}

void TrafficThreads::join()
{
    for (auto &thread : m_threads) {
        thread.join();
    }
}
}
