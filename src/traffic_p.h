#pragma once

#include "clock_p.h"
#include "placement_p.h"
#include "session_p.h"
#include "snapshot_p.h"
#include "upstream_p.h"

#include <plumsill/allowance.h>
#include <plumsill/attempt.h>
#include <plumsill/balancer.h>
#include <plumsill/concurrency.h>
#include <plumsill/fairqueue.h>
#include <plumsill/limits.h>
#include <plumsill/metrics.h>
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
/// A request that waits for a token of its team's limit.
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
    TimePoint validUntil = TimePoint::max(); ///< an admission counts until then
    Duration retryAfter {};
    RefusalReason reason = RefusalReason::NoOwner;
    TeamAllowancePtr allowance; ///< for the team's next requests; may be null
};

/// What a traffic thread asks of control; each call posts and returns at once.
struct ControlPort {
    std::function<void(TrafficReport)> report;
    std::function<void(TokenRequest)> requestToken;
    /// Empty where this daemon places requests by itself.
    std::function<void(ThreadPlacementRequest)> requestPlacement;
    std::function<void(std::uint64_t)> cancelRequest;
    std::function<void(const AttemptReport &)> attemptEnded;
};

/// One target as one traffic thread uses it.
struct TargetRuntime {
    TargetRuntime(const Endpoint &endpoint, std::size_t connections, Duration connectTimeout = config::ConnectTimeout)
        : pool(endpoint, connections, connectTimeout)
    { }
    TargetPool pool;
    LatencyEstimate latency;
    unsigned inFlight = 0;
};

using TargetRuntimePtr = std::shared_ptr<TargetRuntime>;

/// A chosen target; counts as in flight while it lives.
class TargetLease
{
public:
    using Ended = std::function<void(AttemptEnd end, Duration taken)>;

    TargetLease(TargetName name, TargetRuntimePtr runtime, Ended ended);
    /// An attempt that ends without a word counts as abandoned.
    ~TargetLease();
    TargetLease(const TargetLease &) = delete;
    TargetLease &operator=(const TargetLease &) = delete;

    const TargetName &name() const { return m_name; }
    TargetRuntime &runtime() { return *m_runtime; }
    void ended(AttemptEnd end, Duration taken);
    /// Age at which a second target is asked beside this one; none: it isn't.
    const std::optional<Duration> &hedgeAfter() const { return m_hedgeAfter; }
    void setHedgeAfter(Duration age) { m_hedgeAfter = age; }

private:
    TargetName m_name;
    TargetRuntimePtr m_runtime;
    Ended m_ended; ///< empty once told
    std::optional<Duration> m_hedgeAfter;
};

/// A request that waits for a target.
struct DispatchRequest {
    TeamName team;
    TimePoint deadline;
    std::vector<TargetName> tried; ///< targets that failed it before
    bool idempotent = false; ///< only such a request is used as a trial
    RouteName route;
    ServiceName service;
    unsigned priority = 0;
    bool repeat = false; ///< an attempt of the request was made before
    TimePoint objective; ///< an answer until then is of full use
    AttemptHandle *handle = nullptr; ///< tells when the caller left
};

/// No target: either none is in use, or the request could not be served in time, or the team is over its rate.
struct NoTarget {
    bool overloaded = false;
    Duration retryAfter {};
    bool overRate = false;
};

using DispatchResult = std::variant<std::unique_ptr<TargetLease>, NoTarget>;

/// One service as one traffic thread uses it.
class ServiceDispatch
{
public:
    /// @p connections: most connections of this thread to one target.
    ServiceDispatch(std::uint64_t seed, std::size_t connections);

    /// Takes over the newest view; targets that are gone lose their pools when their last request ends.
    void update(const ServiceView &view);
    /// Chooses a target that was not tried; waits in the team's queue while all are busy.
    boost::asio::awaitable<DispatchResult> acquire(const DispatchRequest &request);
    /// True when another target than the tried ones is in use.
    bool targetsLeft(const std::vector<TargetName> &tried, bool idempotent) const;
    RetryBudget &retries() { return m_retries; }
    ConcurrencyLimit &concurrency() { return m_concurrency; }
    Duration slowAfter() const { return m_view.slowAfter; }
    bool limitReached() const { return m_inFlight >= m_concurrency.value(); }
    /// Closes idle connections that may carry no more requests.
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
};

/// An event loop that accepts callers and forwards their requests.
class TrafficThread
{
public:
    /// @p threads: number of threads that share the daemon's connections to targets.
    TrafficThread(unsigned index, unsigned threads, ControlPort control, Dialect dialect = {});
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    /// Binds the listening socket; returns the endpoint with its real port. Throws system_error.
    Endpoint open(const Endpoint &listen);
    /// Runs the loop until it is stopped.
    void run();
    /// Hands over a snapshot; may be called from any thread.
    void publish(SnapshotPtr snapshot);
    /// Stops accepting; run() returns once no request is left.
    void drain();
    void stop();

    // For the sessions of this thread.
    const SnapshotPtr &snapshot() const { return m_snapshot; }
    TrafficReport &report() { return m_report; }
    ServiceDispatch *dispatch(const ServiceName &service) const;
    std::string nextRequestId();
    /// Takes a token of the team's limit; asks control where this daemon has none left.
    boost::asio::awaitable<TokenAnswer> token(const TeamName &team, TimePoint deadline);
    /// Control's answer to a TokenRequest; may be called from any thread.
    void resolveToken(WaiterId waiter, TokenAnswer answer);
    /// Asks control for a target; may wait until the request's deadline.
    boost::asio::awaitable<DispatchResult> place(const DispatchRequest &request);
    /// Control's answer to a PlacementWish; may be called from any thread.
    void resolvePlacement(std::uint64_t wish, Placement placement);
    /// Where requests of this thread get their targets.
    PlacementMode &placement() { return m_placement; }
    const Dialect &dialect() const { return m_dialect; }
    std::mt19937_64 &random() { return m_random; }
    void sessionStarted(SweptSession &session);
    void sessionEnded();

private:
    boost::asio::awaitable<void> acceptCallers();
    boost::asio::awaitable<void> reportRegularly();
    void sweepSessions(TimePoint now);
    TargetRuntimePtr runtimeOf(const TargetName &name, const Endpoint &endpoint);
    void removeIdleTeams(TimePoint now);
    void takeSnapshot(SnapshotPtr snapshot);

    struct KnownAllowance {
        TeamAllowancePtr allowance;
        TimePoint usedAt;
    };
    struct TokenWaiter {
        RuntimeTimer timer;
        std::optional<TokenAnswer> answer;
    };

    struct WishWaiter {
        RuntimeTimer timer;
        std::optional<Placement> placement;
    };

    using Sessions = boost::intrusive::list<SweptSession, boost::intrusive::constant_time_size<false>>;

    const unsigned m_index;
    const std::size_t m_connections;

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    ControlPort m_control;
    SnapshotPtr m_snapshot;
    TrafficReport m_report;
    Sessions m_swept;
    std::unordered_map<TargetName, TargetRuntimePtr> m_runtimes; ///< of targets that control named
    std::map<std::uint64_t, WishWaiter *> m_wishes;
    std::unordered_map<ServiceName, std::unique_ptr<ServiceDispatch>> m_services;
    std::unordered_map<TeamName, KnownAllowance> m_allowances;
    TimePoint m_nextSweep;
    std::map<WaiterId, TokenWaiter *> m_tokenWaiters;
    WaiterId m_nextWaiter;
    std::mt19937_64 m_random;
    const Dialect m_dialect;
    PlacementMode m_placement;
    std::uint64_t m_nextWish;
    std::size_t m_sessions = 0;
    bool m_draining = false;
};
}
