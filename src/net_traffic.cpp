#include "traffic_p.h"

#include "session_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <sys/socket.h>

namespace plumsill
{
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{
using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Waiter ids are unique over all traffic threads: the upper bits hold the index of the thread.
constexpr unsigned WaiterThreadShift = 48;

PlacementMode placementOf(const ControlPort &control)
{
    return control.requestPlacement ? PlacementMode(ScheduledPlacement {}) : PlacementMode(LocalPlacement {});
}
}

TrafficThread::TrafficThread(const MemberId &daemon, unsigned index, unsigned threads, ControlPort control, Dialect dialect)
    : m_index(index)
    , m_threads(threads)
    , m_connections(std::max(config::MaxConnectionsPerTarget / threads, 1U))
    , m_context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO)
    , m_linkQueue(m_context, m_link)
    , m_acceptor(m_context)
    , m_control(std::move(control))
    , m_snapshot(new Snapshot)
    , m_nextWaiter(WaiterId(index) << WaiterThreadShift)
    , m_random(std::random_device()() + index)
    , m_dialect(std::move(dialect))
    , m_placement(placementOf(m_control))
    , m_placementIds(daemon, index)
{ }

TrafficThread::~TrafficThread() = default;

// Every traffic thread listens on the same port with SO_REUSEPORT, so the kernel distributes the connections over the threads.
Endpoint TrafficThread::open(const Endpoint &listen)
{
    const tcp::endpoint endpoint(boost::asio::ip::make_address(listen.address), listen.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.set_option(ReusePort(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    return {listen.address, m_acceptor.local_endpoint().port()};
}

void TrafficThread::run()
{
    boost::asio::co_spawn(m_context, acceptCallers(), boost::asio::detached);
    boost::asio::co_spawn(m_context, reportPeriodically(), boost::asio::detached);
    m_context.run();
}

void TrafficThread::publish(SnapshotPtr snapshot)
{
    boost::asio::post(m_context, [this, snapshot = std::move(snapshot)]() mutable { applySnapshot(std::move(snapshot)); });
}

void TrafficThread::applySnapshot(SnapshotPtr snapshot)
{
    m_snapshot = std::move(snapshot);
    m_link.setRate(linkBytesPerSecond(m_snapshot->limits, m_threads));
    m_memory.setBound(heldBytesBound(m_snapshot->limits, m_threads));
    for (const auto &[name, view] : m_snapshot->services) {
        auto &dispatch = m_services[name];
        if (!dispatch) {
            dispatch = std::make_unique<ServiceDispatch>(m_random(), m_connections);
        }
        dispatch->update(*view);
    }
}

void TrafficThread::drain()
{
    boost::asio::post(m_context, [this] {
        m_draining = true;
        error_code ignored;
        m_acceptor.close(ignored);
        if (m_sessions == 0) {
            stop();
        }
    });
}

void TrafficThread::stop()
{
    m_context.stop();
}

void TrafficThread::sessionStarted(SessionBase &session)
{
    ++m_sessions;
    m_openSessions.push_back(session);
}

void TrafficThread::sendReport()
{
    m_report.thread = m_index;
    m_report.use = {m_memory.held(), m_memory.peak(), m_link.sentBytes(), m_link.flows()};
    m_control.report(std::exchange(m_report, {}));
}

void TrafficThread::sessionEnded()
{
    --m_sessions;
    if (m_draining && m_sessions == 0) {
        sendReport();
        stop();
    }
}

ServiceDispatch *TrafficThread::dispatch(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second.get();
}

std::string TrafficThread::nextRequestId()
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string id(16, '0');
    std::uint64_t number = m_random();
    for (auto &digit : id) {
        digit = Digits[number & 15];
        number >>= 4;
    }
    return id;
}

boost::asio::awaitable<TokenAnswer> TrafficThread::acquireToken(const TeamName &team, TimePoint deadline)
{
    const TimePoint now = RuntimeClock::now();
    const auto cached = m_allowances.find(team);
    if (cached != m_allowances.end() && cached->second.allowance->take()) {
        cached->second.usedAt = now;
        co_return TokenAnswer {true, TimePoint::max(), {}, {}, cached->second.allowance};
    }
    const WaiterId id = ++m_nextWaiter;
    TokenWaiter waiter {RuntimeTimer(m_context), std::nullopt};
    m_tokenWaiters.emplace(id, &waiter);
    const TimePoint giveUpAt = std::min<TimePoint>(deadline, now + config::MaxOwnerWait + config::LimitsTick);
    waiter.timer.expires_at(giveUpAt);
    m_control.requestToken({m_index, id, team, giveUpAt});
    error_code cancelled;
    co_await waiter.timer.async_wait(errorInto(cancelled));
    m_tokenWaiters.erase(id);
    if (!waiter.answer) {
        co_return TokenAnswer {false, {}, config::RetryAfterFailure, RefusalReason::NoOwner, nullptr};
    }
    if (waiter.answer->allowance) {
        m_allowances[team] = {waiter.answer->allowance, now};
    }
    // This thread may have been delayed. The owner of the team's tokens assumes that this token was spent before validUntil, so it must not be used from then
    // on.
    if (waiter.answer->admitted && RuntimeClock::now() >= waiter.answer->validUntil) {
        waiter.answer->admitted = false;
        waiter.answer->retryAfter = config::RetryAfterFailure;
        waiter.answer->reason = RefusalReason::NoOwner;
    }
    co_return *waiter.answer;
}

void TrafficThread::resolveToken(WaiterId waiter, TokenAnswer answer)
{
    boost::asio::post(m_context, [this, waiter, answer = std::move(answer)]() mutable {
        const auto found = m_tokenWaiters.find(waiter);
        if (found != m_tokenWaiters.end()) {
            found->second->answer = std::move(answer);
            found->second->timer.cancel();
        }
    });
}

TargetRuntimePtr TrafficThread::runtimeOf(const Placed &placed)
{
    auto &runtime = m_runtimes[{placed.target, placed.helper ? placed.helper->name : InstanceName()}];
    if (!runtime || runtime->pool.endpoint() != placed.endpoint) {
        runtime = std::make_shared<TargetRuntime>(placed.endpoint, config::ScheduledConnections, config::ScheduledConnectTimeout);
    }
    return runtime;
}

boost::asio::awaitable<DispatchResult> TrafficThread::place(const DispatchRequest &request)
{
    const TimePoint now = RuntimeClock::now();
    const std::uint64_t id = m_placementIds.next();
    ThreadPlacementRequest placementRequest;
    placementRequest.thread = m_index;
    placementRequest.request.key.id = id;
    placementRequest.request.service = request.service;
    placementRequest.request.team = request.team;
    placementRequest.request.route = shortHash(request.route.value);
    placementRequest.request.priority = request.priority;
    placementRequest.request.idempotent = request.idempotent;
    placementRequest.request.repeat = request.repeat;
    placementRequest.request.admitted = request.admitted;
    placementRequest.request.objective = request.objective;
    placementRequest.request.deadline = request.deadline;
    placementRequest.request.tried = request.tried;
    placementRequest.digest = request.digest;
    PlacementWaiter waiter {RuntimeTimer(m_context), std::nullopt, {}};
    m_placementWaiters.emplace(id, &waiter);
    waiter.timer.expires_at(std::max(request.deadline, now));
    if (request.handle != nullptr) {
        request.handle->setWaitTimer(&waiter.timer);
    }
    m_control.requestPlacement(std::move(placementRequest));
    error_code cancelled;
    co_await waiter.timer.async_wait(errorInto(cancelled));
    m_placementWaiters.erase(id);
    if (request.handle != nullptr) {
        request.handle->setWaitTimer(nullptr);
    }
    if (!waiter.placement) {
        m_control.cancelRequest(id);
        co_return NoTarget {true, config::RetryAfterFailure};
    }
    if (const auto *over = std::get_if<OverQuota>(&*waiter.placement)) {
        co_return NoTarget {true, over->retryAfter, true, std::nullopt};
    }
    const auto *placed = std::get_if<Placed>(&*waiter.placement);
    if (placed == nullptr) {
        const auto *none = std::get_if<NoCapacity>(&*waiter.placement);
        co_return none == nullptr ? NoTarget {true, config::RetryAfterFailure} : NoTarget {true, none->retryAfter, false, none->reason};
    }
    const auto ended = [this, id, alive = std::weak_ptr(m_alive)](AttemptEnd end, Duration elapsed, const TargetNotice &notice) {
        if (alive.expired()) {
            return;
        }
        m_control.attemptEnded({{id, end, wholeMilliseconds(elapsed), notice.limit, notice.leaving, millisecondsRoundedUp(notice.rest)}, notice.run});
    };
    auto lease = std::make_unique<TargetLease>(placed->target, runtimeOf(*placed), ended);
    lease->setHedgeAfter(placed->hedgeAfter);
    lease->setTunnel(waiter.tunnel);
    co_return lease;
}

// If the request has ended before the scheduler placed it, its target is released at once.
void TrafficThread::resolvePlacement(std::uint64_t placementId, Placement placement, TunnelTicketPtr tunnel)
{
    boost::asio::post(m_context, [this, placementId, placement = std::move(placement), tunnel = std::move(tunnel)]() mutable {
        const auto found = m_placementWaiters.find(placementId);
        if (found != m_placementWaiters.end() && !found->second->placement) {
            found->second->placement = std::move(placement);
            found->second->tunnel = std::move(tunnel);
            found->second->timer.cancel();
        } else if (found == m_placementWaiters.end() && std::holds_alternative<Placed>(placement)) {
            m_control.attemptEnded({{placementId, AttemptEnd::Abandoned, 0}});
        }
    });
}

boost::asio::awaitable<void> TrafficThread::acceptCallers()
{
    while (m_acceptor.is_open()) {
        error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(errorInto(error));
        if (!m_acceptor.is_open()) {
            co_return;
        }
        if (error) {
            logWarning(LogPart::Traffic, "cannot accept a connection: " + error.message());
            co_await sleepFor(config::AcceptRetryDelay);
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        boost::asio::co_spawn(m_context, runSession(*this, std::move(socket)), boost::asio::detached);
    }
}

// The deadlines of all connections are checked by one periodic timer. The timeouts are seconds long, so a resolution of 250 ms is sufficient.
void TrafficThread::enforceSessionLimits(TimePoint now)
{
    const bool closing = m_draining || now >= m_snapshot->closeAt;
    for (auto &session : m_openSessions) {
        session.enforceLimits(now, *m_snapshot, closing);
    }
}

boost::asio::awaitable<void> TrafficThread::reportPeriodically()
{
    while (true) {
        co_await sleepFor(config::TrafficReportInterval);
        const TimePoint now = RuntimeClock::now();
        for (const auto &[name, dispatch] : m_services) {
            dispatch->closeStale(now);
        }
        for (const auto &[name, runtime] : m_runtimes) {
            runtime->pool.closeStale(now);
        }
        enforceSessionLimits(now);
        removeIdleTeams(now);
        if (!m_report.empty()) {
            sendReport();
        }
    }
}

// Removes the allowances (tokens handed to this thread) of idle teams, because control keeps a team's state as long as a thread holds an allowance of the
// team. Also removes unused target runtimes.
void TrafficThread::removeIdleTeams(TimePoint now)
{
    if (now < m_nextIdleCheckAt) {
        return;
    }
    m_nextIdleCheckAt = now + config::LimitsIdleTime;
    std::erase_if(m_runtimes, [](const auto &entry) { return entry.second.use_count() == 1 && entry.second->pool.unused(); });
    std::erase_if(m_allowances, [now](const auto &entry) { return now - entry.second.usedAt >= config::LimitsIdleTime; });
}
}
