#include "daemon_p.h"

#include "reload_signal_p.h"
#include "supervisor_p.h"
#include "text_port_p.h"
#include "traffic_threads_p.h"
#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace plumsill
{
namespace
{
class ZoneDaemon
{
public:
    ZoneDaemon(const Settings &settings, ZoneDaemonPorts ports)
        : m_settings(settings)
        , m_ports(std::move(ports))
        , m_peers(m_context, {})
        , m_readiness(m_context)
        , m_metrics(m_context)
        , m_signals(m_context, SIGTERM, SIGINT)
        , m_reloads(m_context, SIGHUP)
        , m_supervisor("zone", m_context, [this] { fail(); })
        , m_traffic(m_context, [this] { boost::asio::co_spawn(m_context, shutDown(), boost::asio::detached); })
    { }

    int run();

private:
    void open();
    void addChildren();
    ControlPort controlPort();
    void fail();
    boost::asio::awaitable<void> stopOnSignal();
    boost::asio::awaitable<void> shutDown();
    boost::asio::awaitable<void> reloadOnSignal();

    const Settings m_settings;
    const ZoneDaemonPorts m_ports;
    boost::asio::io_context m_context {1};
    PeerPort m_peers;
    TextPort m_readiness;
    TextPort m_metrics;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reloads;
    Supervisor m_supervisor;
    TrafficThreads m_traffic;
    std::unique_ptr<ZoneControl> m_control;
    TimePoint m_stopBy; ///< time until which a planned stop waits for other daemons' tunnels
    int m_status = 0;
};

ControlPort ZoneDaemon::controlPort()
{
    ControlPort port;
    port.report = [this](TrafficReport report) { boost::asio::post(m_context, [this, report = std::move(report)] { m_control->report(report); }); };
    port.requestPlacement = [this](ThreadPlacementRequest threadRequest) {
        boost::asio::post(m_context, [this, threadRequest = std::move(threadRequest)]() mutable { m_control->requestPlacement(std::move(threadRequest)); });
    };
    port.cancelRequest = [this](std::uint64_t id) { boost::asio::post(m_context, [this, id] { m_control->cancelRequest(id); }); };
    port.attemptEnded = [this](const EndedAttempt &ended) { boost::asio::post(m_context, [this, ended] { m_control->attemptEnded(ended); }); };
    return port;
}

void ZoneDaemon::open()
{
    const MemberId id {m_settings.instance, newIncarnation()};
    const Endpoint traffic = m_traffic.open(id, m_settings.trafficThreads, m_settings.trafficListen, controlPort(), m_ports.dialect);
    const auto peer = m_peers.open(m_settings.peerListen);
    if (!peer) {
        throw std::runtime_error("cannot listen on " + toString(m_settings.peerListen) + ": " + toString(peer.error()));
    }
    const RegisteredDaemon self {id, m_settings.zone, peer.assume_value(), m_settings.capacity};
    m_control = std::make_unique<ZoneControl>(m_context, m_settings, m_ports.openDirectory(m_context, m_settings), m_peers, self, m_traffic.all());
    m_readiness.add(m_settings.readinessPath, [this] {
        const bool ready = m_control->ready(RuntimeClock::now());
        return ready ? TextPage {200, "ready\n"} : TextPage {503, "not ready\n"};
    });
    m_readiness.open(m_settings.readinessListen);
    m_metrics.add(m_settings.metricsPath, [this] { return TextPage {200, m_control->metricsText(RuntimeClock::now())}; });
    m_metrics.open(m_settings.metricsListen);
    Event("daemon", "started")
        .add("instance", m_settings.instance.value)
        .add("zone", m_settings.zone.value)
        .add("traffic", toString(traffic))
        .add("readiness", toString(m_settings.readinessListen))
        .add("peers", toString(peer.assume_value()))
        .add("limits", toString(m_settings.limits))
        .add("version", PLUMSILL_VERSION);
    flushEvents();
}

void ZoneDaemon::addChildren()
{
    m_supervisor.add({"registry", [this] { return m_control->runRegistry(); }, {}});
    m_supervisor.add({"reader", [this] { return m_control->runReader(); }, {}});
    m_supervisor.add({"beats", [this] { return m_control->runHeartbeats(); }, {}});
    m_supervisor.add({"digests", [this] { return m_control->runDigests(); }, {}});
    m_supervisor.add({"publisher", [this] { return m_control->runPublisher(); }, {}});
    m_supervisor.add({"readiness", [this] { return m_readiness.run(); }, [this] { m_readiness.close(); }});
    m_supervisor.add({"metrics", [this] { return m_metrics.run(); }, [this] { m_metrics.close(); }});
}

void ZoneDaemon::fail()
{
    m_status = 1;
    m_traffic.stop();
}

// Open connections are served until the traffic threads end.
boost::asio::awaitable<void> ZoneDaemon::stopOnSignal()
{
    co_await m_signals.async_wait(boost::asio::use_awaitable);
    const Duration grace = m_control->stopGrace();
    const StopPlan plan = stopPlan(grace);
    const TimePoint now = RuntimeClock::now();
    m_stopBy = now + plan.answerBy;
    boost::asio::co_spawn(m_context, m_control->leave(), boost::asio::detached);
    co_await sleepFor(plan.takeBy);
    m_traffic.drain();
    co_await sleepFor(std::max<Duration>(now + plan.stopBy - RuntimeClock::now(), Duration::zero()));
    Event("daemon", "stop-time-over").add("grace_ms", grace);
    m_traffic.stop();
}

boost::asio::awaitable<void> ZoneDaemon::shutDown()
{
    if (m_status == 0) {
        co_await m_control->withdraw();
        while (m_peers.tunnels() > 0 && RuntimeClock::now() < m_stopBy) {
            co_await sleepFor(config::ControlTick);
        }
    }
    m_context.stop();
}

boost::asio::awaitable<void> ZoneDaemon::reloadOnSignal()
{
    while (true) {
        co_await m_reloads.async_wait(boost::asio::use_awaitable);
        const ParsedSettings parsed = m_ports.reload();
        const bool appliedAll = parsed.valid() && m_control->reload(parsed.settings);
        Event("daemon", "reloaded").add("valid", parsed.valid()).add("needs_restart", parsed.valid() && !appliedAll);
        for (const auto &problem : parsed.problems) {
            Event("daemon", "settings-problem").add("problem", toString(problem));
        }
        for (const auto &notice : parsed.notices) {
            Event("daemon", "settings-notice").add("problem", toString(notice));
        }
    }
}

int ZoneDaemon::run()
{
    open();
    m_peers.start([this](const Envelope &envelope) { m_control->received(envelope); }, [this](const Envelope &request) { return m_control->respond(request); });
    m_peers.serveTunnels([this](const TunnelRequest &request) { return m_control->openTunnel(request); });
    addChildren();
    m_supervisor.start();
    boost::asio::co_spawn(m_context, stopOnSignal(), boost::asio::detached);
    boost::asio::co_spawn(m_context, reloadOnSignal(), boost::asio::detached);
    m_traffic.start();
    m_context.run();
    m_supervisor.stop();
    m_traffic.join();
    m_peers.close();
    Event("daemon", "stopped").add("status", static_cast<std::int64_t>(m_status));
    flushEvents();
    return m_status;
}
}

int runZoneDaemon(const Settings &settings, ZoneDaemonPorts ports)
{
    ZoneDaemon daemon(settings, std::move(ports));
    releaseReloadSignal();
    return daemon.run();
}
}
