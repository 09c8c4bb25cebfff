#include "daemon_p.h"

#include "admin_p.h"
#include "control_p.h"
#include "supervisor_p.h"
#include "traffic_threads_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <ctime>
#include <iostream>

namespace plumsill
{
// The wall clock in nanoseconds serves as the incarnation number: it is higher at each start of the instance, and no
// state has to be kept from the previous run.
std::uint64_t newIncarnation()
{
    timespec time {};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(time.tv_nsec);
}

namespace
{
class Daemon
{
public:
    Daemon(const Settings &settings, const Secrets &secrets)
        : m_settings(settings)
        , m_peers(m_context, secrets.peerSecret)
        , m_admin(m_context, secrets.adminToken)
        , m_signals(m_context, SIGTERM, SIGINT)
        , m_supervisor("control", m_context, [this] { fail(); })
        , m_traffic(m_context, [this] { m_context.stop(); })
    { }

    int run();

private:
    void open();
    void addChildren();
    ControlPort controlPort();
    void fail();
    boost::asio::awaitable<void> stopOnSignal();

    const Settings &m_settings;
    boost::asio::io_context m_context {1};
    PeerPort m_peers;
    AdminPort m_admin;
    boost::asio::signal_set m_signals;
    Supervisor m_supervisor;
    TrafficThreads m_traffic;
    std::unique_ptr<Control> m_control;
    int m_status = 0;
};

ControlPort Daemon::controlPort()
{
    ControlPort port;
    port.report = [this](TrafficReport report) { boost::asio::post(m_context, [this, report = std::move(report)] { m_control->report(report); }); };
    port.requestToken
        = [this](TokenRequest request) { boost::asio::post(m_context, [this, request = std::move(request)] { m_control->requestToken(request); }); };
    return port;
}

void Daemon::open()
{
    const MemberId id {m_settings.instance, newIncarnation()};
    const Endpoint traffic = m_traffic.open(id, m_settings.trafficThreads, m_settings.trafficListen, controlPort(), {});
    const auto peer = m_peers.open(m_settings.peerListen);
    if (!peer) {
        throw std::runtime_error("cannot listen on " + toString(m_settings.peerListen) + ": " + toString(peer.error()));
    }
    const Endpoint admin = m_admin.open(m_settings.adminListen);
    const Member self {id, m_settings.zone, peer.value(), admin};
    m_control = std::make_unique<Control>(m_context, m_settings, m_peers, self, m_traffic.all());
    std::cout << "ready traffic=" << toString(traffic) << " admin=" << toString(admin) << " peer=" << toString(peer.value()) << std::endl;
}

void Daemon::addChildren()
{
    m_supervisor.add({"membership", [this] { return m_control->runMembership(); }, {}});
    m_supervisor.add({"document", [this] { return m_control->runDocument(); }, {}});
    m_supervisor.add({"lists", [this] { return m_control->runLists(); }, {}});
    m_supervisor.add({"limits", [this] { return m_control->runLimits(); }, {}});
    m_supervisor.add({"health", [this] { return m_control->runHealth(); }, {}});
    m_supervisor.add({"publisher", [this] { return m_control->runPublisher(); }, {}});
    m_supervisor.add({"admin", [this] { return m_admin.run(*m_control); }, [this] { m_admin.close(); }});
}

// Called when the supervisor of the control thread gives up. Without its control state the daemon can't serve callers,
// so it stops with status 1.
void Daemon::fail()
{
    m_status = 1;
    m_traffic.stop();
}

boost::asio::awaitable<void> Daemon::stopOnSignal()
{
    co_await m_signals.async_wait(boost::asio::use_awaitable);
    logInfo(LogPart::Supervisor, "stopping: open connections are served until they close");
    m_control->startLeaving();
    co_await sleepFor(config::LingerTime);
    m_traffic.drain();
    co_await sleepFor(config::ShutdownLimit);
    logWarning(LogPart::Supervisor, "some connections were still open at the shutdown limit; closing them");
    m_traffic.stop();
}

int Daemon::run()
{
    open();
    m_peers.start([this](const Envelope &envelope) { m_control->received(envelope); }, [this](const Envelope &request) { return m_control->respond(request); });
    addChildren();
    m_supervisor.start();
    boost::asio::co_spawn(m_context, stopOnSignal(), boost::asio::detached);
    m_traffic.start();
    m_context.run();
    m_supervisor.stop();
    m_traffic.join();
    m_peers.close();
    logInfo(LogPart::Supervisor, "stopped");
    return m_status;
}
}

int runDaemon(const Settings &settings, const Secrets &secrets)
{
    Daemon daemon(settings, secrets);
    return daemon.run();
}
}
