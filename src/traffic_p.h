#pragma once

#include "clock_p.h"
#include "link_queue_p.h"
#include "placement_p.h"
#include "session_p.h"
#include "snapshot_p.h"
#include "upstream_p.h"

#include <plumsill/allowance.h>
#include <plumsill/answer_sizes.h>
#include <plumsill/attempt.h>
#include <plumsill/balancer.h>
#include <plumsill/concurrency.h>
#include <plumsill/fairqueue.h>
#include <plumsill/limits.h>
#include <plumsill/memory_budget.h>
#include <plumsill/metrics.h>
#include <plumsill/placement_ids.h>
#include <plumsill/settings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace plumsill
{
/// Request from a traffic thread to control for one token of a team's rate limit.
struct TokenRequest {
    unsigned thread = 0;
    WaiterId waiter = 0;
    TeamName team;
    TimePoint deadline;

    auto operator<=>(const TokenRequest &) const = default;
};

/// Control's answer to a TokenRequest.
struct TokenAnswer {
    bool admitted = false;
    TimePoint validUntil = TimePoint::max(); ///< an admission must not be used after this time
    Duration retryAfter {};
    RefusalReason reason = RefusalReason::NoOwner;
    TeamAllowancePtr allowance; ///< tokens for the team's next requests; may be null
};

/// The end of an attempt that control has placed.
struct EndedAttempt {
    AttemptReport report; ///< for the scheduler
    RunEnd run = RunEnd::Unknown;

    auto operator<=>(const EndedAttempt &) const = default;
};

/// Calls from a traffic thread to control. Each call posts to the control thread and returns at once.
struct ControlPort {
    std::function<void(TrafficReport)> report;
    std::function<void(TokenRequest)> requestToken;
    /// Requests a target from the scheduler; empty where this daemon chooses targets itself.
    std::function<void(ThreadPlacementRequest)> requestPlacement;
    std::function<void(std::uint64_t)> cancelRequest;
    std::function<void(const EndedAttempt &)> attemptEnded;
};

/// State of one target in one traffic thread.
struct TargetRuntime {
    TargetRuntime(const Endpoint &endpoint, std::size_t connections, Duration connectTimeout = config::ConnectTimeout)
        : pool(endpoint, connections, connectTimeout)
    { }
    TargetPool pool;
    LatencyEstimate latency;
    unsigned inFlight = 0; ///< number of attempts (TargetLease objects) that run at the target
};

using TargetRuntimePtr = std::shared_ptr<TargetRuntime>;

/// A target chosen for one attempt, which counts as in flight during the lease's lifetime.
class TargetLease
{
public:
    using EndCallback = std::function<void(AttemptEnd end, Duration elapsed, const TargetNotice &notice)>;

    TargetLease(TargetName name, TargetRuntimePtr runtime, EndCallback onEnded);
    /// Reports the attempt as abandoned unless its end has been reported.
    ~TargetLease();
    TargetLease(const TargetLease &) = delete;
    TargetLease &operator=(const TargetLease &) = delete;

    const TargetName &name() const { return m_name; }
    TargetRuntime &runtime() { return *m_runtime; }
    /// Reports the end of the attempt, and what the answer says of the target; only the first call has an effect.
    void reportEnd(AttemptEnd end, Duration elapsed, const TargetNotice &notice = {});
    /// Age of the attempt at which a hedge is sent to a second target; empty when no hedge is to be sent.
    const std::optional<Duration> &hedgeAfter() const { return m_hedgeAfter; }
    void setHedgeAfter(Duration age) { m_hedgeAfter = age; }
    /// How to open connections to the target through another daemon; null where this daemon opens them.
    const TunnelTicketPtr &tunnel() const { return m_tunnel; }
    void setTunnel(TunnelTicketPtr tunnel) { m_tunnel = std::move(tunnel); }

private:
    TargetName m_name;
    TargetRuntimePtr m_runtime;
    EndCallback m_onEnded; ///< empty after the end has been reported
    std::optional<Duration> m_hedgeAfter;
    TunnelTicketPtr m_tunnel;
};

/// Request for a target.
struct DispatchRequest {
    TeamName team;
    TimePoint deadline;
    std::vector<TargetName> tried; ///< targets of earlier attempts, which are not chosen again
    bool idempotent = false; ///< only idempotent requests are sent to targets on trial (TargetUse::Trial)
    RouteName route;
    ServiceName service;
    unsigned priority = 0;
    bool repeat = false; ///< an earlier attempt may have been sent
    bool admitted = false; ///< an earlier attempt was placed
    TimePoint objective; ///< time by which the answer should arrive (latency objective)
    RequestDigest digest;
    AttemptHandle *handle = nullptr; ///< cancels the wait when the caller disconnects; may be null
};

/// No target was assigned: none is in use, the request could not be served in time, or the team is above its rate.
struct NoTarget {
    bool overloaded = false;
    Duration retryAfter {};
    bool overRate = false;
    std::optional<CapacityReason> reason {}; ///< empty where the scheduler named none
};

using DispatchResult = std::variant<std::unique_ptr<TargetLease>, NoTarget>;

/// Exists as long as its owner; leases that outlive the owner report to nobody.
struct OwnerAlive {
};

/// Chooses targets of one service for one traffic thread and queues requests while all targets are busy.
class ServiceDispatch
{
public:
    /// @p connections: maximum number of connections of this thread to one target.
    ServiceDispatch(std::uint64_t seed, std::size_t connections);

    /// Applies a new view of the service's targets. The connection pool of a removed target is destroyed when the target's last request ends.
    void update(const ServiceView &view);
    /// Chooses a target that was not tried. Waits in the team's queue while all targets are busy, at most until the request's deadline.
    boost::asio::awaitable<DispatchResult> acquire(const DispatchRequest &request);
    /// True when a target is in use that was not tried. Targets on trial (TargetUse::Trial) count only for idempotent requests.
    bool hasUntriedTarget(const std::vector<TargetName> &tried, bool idempotent) const;
    RetryBudget &retries() { return m_retries; }
    ConcurrencyLimit &concurrency() { return m_concurrency; }
    /// Age at which a request of this service counts as overdue; zero when none does.
    Duration slowAfter() const { return m_view.slowAfter; }
    bool limitReached() const { return m_inFlight >= m_concurrency.value(); }
    /// Closes idle connections that must not carry another request.
    void closeStale(TimePoint now);

private:
    struct Waiter {
        RuntimeTimer timer;
        const DispatchRequest &request;
        std::optional<DispatchResult> result;
    };

    std::unique_ptr<TargetLease> pick(const DispatchRequest &request);
    boost::asio::awaitable<DispatchResult> wait(const DispatchRequest &request);
    void resolve(std::uint64_t id, DispatchResult result);
    void serveQueue();

    const std::size_t m_connections;
    Balancer m_balancer;
    RetryBudget m_retries;
    ConcurrencyLimit m_concurrency;
    ServiceView m_view;
    std::unordered_map<TargetName, TargetRuntimePtr> m_targets;
    FairQueue m_queue;
    std::map<std::uint64_t, Waiter *> m_waiters;
    std::uint64_t m_nextWaiter = 1;
    std::size_t m_inFlight = 0;
    std::shared_ptr<OwnerAlive> m_alive = std::make_shared<OwnerAlive>();
};

/// Event loop that accepts callers' connections and forwards their requests to targets.
class TrafficThread
{
public:
    /// @p threads: number of traffic threads, which share the daemon's connections to targets evenly.
    TrafficThread(const MemberId &daemon, unsigned index, unsigned threads, ControlPort control, Dialect dialect = {});
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    /// Binds the listening socket and returns its endpoint with the actual port. Throws system_error.
    Endpoint open(const Endpoint &listen);
    /// Runs the event loop until it is stopped.
    void run();
    /// Makes the thread use @p snapshot; may be called from any thread.
    void publish(SnapshotPtr snapshot);
    /// Stops accepting connections; run() returns when the last connection is closed. May be called from any thread.
    void drain();
    /// Stops the event loop at once; may be called from any thread.
    void stop();

    // The following functions are for the sessions of this thread, unless their comments say otherwise.
    const SnapshotPtr &snapshot() const { return m_snapshot; }
    TrafficReport &report() { return m_report; }
    ServiceDispatch *dispatch(const ServiceName &service) const;
    std::string nextRequestId();
    /// Takes a token of the team's limit from the cached allowance, or requests one from control.
    boost::asio::awaitable<TokenAnswer> acquireToken(const TeamName &team, TimePoint deadline);
    /// Delivers control's answer to a TokenRequest; may be called from any thread.
    void resolveToken(WaiterId waiter, TokenAnswer answer);
    /// Requests a target from control; waits at most until the request's deadline.
    boost::asio::awaitable<DispatchResult> place(const DispatchRequest &request);
    /// Delivers control's answer to a ThreadPlacementRequest, with the ticket where it names a helper; may be called from any thread.
    void resolvePlacement(std::uint64_t placementId, Placement placement, TunnelTicketPtr tunnel = {});
    /// Selects whether targets come from this thread's own balancers or from the scheduler.
    PlacementMode &placement() { return m_placement; }
    LinkPacer &link() { return m_link; }
    LinkQueue &linkQueue() { return m_linkQueue; }
    MemoryBudget &memory() { return m_memory; }
    AnswerSizes &answerSizes() { return m_answerSizes; }
    const Dialect &dialect() const { return m_dialect; }
    std::mt19937_64 &random() { return m_random; }
    void sessionStarted(SessionBase &session);
    void sessionEnded();

private:
    boost::asio::awaitable<void> acceptCallers();
    boost::asio::awaitable<void> reportPeriodically();
    void enforceSessionLimits(TimePoint now);
    TargetRuntimePtr runtimeOf(const Placed &placed);
    void removeIdleTeams(TimePoint now);
    void applySnapshot(SnapshotPtr snapshot);
    void sendReport();

    struct CachedAllowance {
        TeamAllowancePtr allowance;
        TimePoint usedAt;
    };
    struct TokenWaiter {
        RuntimeTimer timer;
        std::optional<TokenAnswer> answer;
    };

    struct PlacementWaiter {
        RuntimeTimer timer;
        std::optional<Placement> placement;
        TunnelTicketPtr tunnel;
    };

    using Sessions = boost::intrusive::list<SessionBase, boost::intrusive::constant_time_size<false>>;

    const unsigned m_index;
    const unsigned m_threads; ///< traffic threads that share the limits of the instance
    const std::size_t m_connections;
    MemoryBudget m_memory; // m_memory and m_link outlive m_context, whose requests use them to their end
    LinkPacer m_link;
    AnswerSizes m_answerSizes;

    boost::asio::io_context m_context;
    LinkQueue m_linkQueue;
    boost::asio::ip::tcp::acceptor m_acceptor;
    ControlPort m_control;
    SnapshotPtr m_snapshot;
    TrafficReport m_report;
    Sessions m_openSessions;
    std::map<std::pair<TargetName, InstanceName>, TargetRuntimePtr>
        m_runtimes; ///< targets placed by the scheduler, and the helper; an empty name for direct connections
    std::map<std::uint64_t, PlacementWaiter *> m_placementWaiters;
    std::unordered_map<ServiceName, std::unique_ptr<ServiceDispatch>> m_services;
    std::unordered_map<TeamName, CachedAllowance> m_allowances;
    TimePoint m_nextIdleCheckAt;
    std::map<WaiterId, TokenWaiter *> m_tokenWaiters;
    WaiterId m_nextWaiter;
    std::mt19937_64 m_random;
    const Dialect m_dialect;
    PlacementMode m_placement;
    PlacementIds m_placementIds;
    std::size_t m_sessions = 0;
    bool m_draining = false;
    std::shared_ptr<OwnerAlive> m_alive = std::make_shared<OwnerAlive>();
};
}
