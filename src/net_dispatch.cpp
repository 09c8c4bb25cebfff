#include "traffic_p.h"

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
namespace
{
NoTarget overloaded(Duration retryAfter)
{
    return {true, std::max<Duration>(retryAfter, config::RetryAfterFailure)};
}
}

TargetLease::TargetLease(TargetName name, TargetRuntimePtr runtime, EndCallback onEnded)
    : m_name(std::move(name))
    , m_runtime(std::move(runtime))
    , m_onEnded(std::move(onEnded))
{
    ++m_runtime->inFlight;
}

TargetLease::~TargetLease()
{
    --m_runtime->inFlight;
    reportEnd(AttemptEnd::Abandoned, Duration::zero());
}

void TargetLease::reportEnd(AttemptEnd end, Duration elapsed, const TargetNotice &notice)
{
    if (const EndCallback callback = std::exchange(m_onEnded, nullptr)) {
        callback(end, elapsed, notice);
    }
}

ServiceDispatch::ServiceDispatch(std::uint64_t seed, std::size_t connections)
    : m_connections(connections)
    , m_balancer(seed)
    , m_retries(config::InitialRetries)
    , m_queue(config::MaxQueuedRequests)
{ }

void ServiceDispatch::update(const ServiceView &view)
{
    m_view = view;
    std::unordered_map<TargetName, TargetRuntimePtr> kept;
    for (const auto &entry : view.targets) {
        auto &runtime = m_targets[entry.target.name];
        if (!runtime || runtime->pool.endpoint() != entry.target.endpoint) {
            runtime = std::make_shared<TargetRuntime>(entry.target.endpoint, m_connections);
        }
        kept.emplace(entry.target.name, runtime);
    }
    m_targets = std::move(kept);
    const double count = static_cast<double>(view.targets.size());
    m_concurrency.setBounds(count * view.slots, count * static_cast<double>(m_connections));
    serveQueue();
}

bool ServiceDispatch::hasUntriedTarget(const std::vector<TargetName> &tried, bool idempotent) const
{
    return std::any_of(m_view.targets.begin(), m_view.targets.end(), [&](const TargetView &entry) {
        const bool usable = entry.weight > 0 && (idempotent || entry.use != TargetUse::Trial);
        return usable && std::find(tried.begin(), tried.end(), entry.target.name) == tried.end();
    });
}

std::unique_ptr<TargetLease> ServiceDispatch::pick(const DispatchRequest &request)
{
    if (limitReached()) {
        return nullptr;
    }
    const TimePoint now = RuntimeClock::now();
    std::vector<Candidate> candidates;
    candidates.reserve(m_view.targets.size());
    for (const auto &entry : m_view.targets) {
        const auto &runtime = *m_targets.at(entry.target.name);
        Candidate candidate;
        const bool tried = std::find(request.tried.begin(), request.tried.end(), entry.target.name) != request.tried.end();
        const bool trial = entry.use == TargetUse::Trial && !request.idempotent;
        candidate.weight = trial ? 0 : entry.weight;
        candidate.inFlight = runtime.inFlight;
        candidate.slots = std::max(m_view.slots, 1U);
        candidate.latency = runtime.latency.value(now);
        candidate.excluded = runtime.inFlight >= m_connections || tried;
        candidates.push_back(candidate);
    }
    const auto index = m_balancer.pick(candidates);
    if (!index) {
        return nullptr;
    }
    ++m_inFlight;
    const TargetName &name = m_view.targets[*index].target.name;
    // Requests that still run when the thread is destroyed end after the services.
    const auto ended = [this, alive = std::weak_ptr(m_alive)](AttemptEnd /*end*/, Duration /*taken*/, const TargetNotice & /*notice*/) {
        if (!alive.expired()) {
            --m_inFlight;
            serveQueue();
        }
    };
    return std::make_unique<TargetLease>(name, m_targets.at(name), ended);
}

boost::asio::awaitable<DispatchResult> ServiceDispatch::acquire(const DispatchRequest &request)
{
    if (!hasUntriedTarget(request.tried, request.idempotent)) {
        co_return NoTarget {};
    }
    if (m_queue.empty()) {
        if (auto lease = pick(request)) {
            co_return lease;
        }
    }
    co_return co_await wait(request);
}

boost::asio::awaitable<DispatchResult> ServiceDispatch::wait(const DispatchRequest &request)
{
    const TimePoint now = RuntimeClock::now();
    const std::uint64_t id = m_nextWaiter++;
    const QueueResult queued = m_queue.push({id, request.team, request.deadline, 1}, now);
    if (queued.displaced) {
        resolve(*queued.displaced, overloaded(queued.retryAfter));
    }
    if (!queued.accepted) {
        co_return overloaded(queued.retryAfter);
    }
    Waiter waiter {RuntimeTimer(co_await boost::asio::this_coro::executor), request, std::nullopt};
    waiter.timer.expires_at(request.deadline);
    m_waiters.emplace(id, &waiter);
    boost::system::error_code cancelled;
    co_await waiter.timer.async_wait(errorInto(cancelled));
    m_waiters.erase(id);
    m_queue.remove(id);
    if (waiter.result) {
        co_return std::move(*waiter.result);
    }
    co_return overloaded({});
}

void ServiceDispatch::resolve(std::uint64_t id, DispatchResult result)
{
    const auto found = m_waiters.find(id);
    if (found != m_waiters.end() && !found->second->result) {
        found->second->result = std::move(result);
        found->second->timer.cancel();
    }
}

// Gives free slots to queued requests. The target is chosen here and not by the queued request when it resumes, because a new request could take the slot
// before that.
void ServiceDispatch::serveQueue()
{
    const TimePoint now = RuntimeClock::now();
    for (const auto id : m_queue.expire(now)) {
        resolve(id, overloaded({}));
    }
    while (!m_queue.empty() && !limitReached()) {
        const auto next = m_queue.pop(now);
        const auto found = next ? m_waiters.find(next->id) : m_waiters.end();
        if (found == m_waiters.end()) {
            continue;
        }
        if (auto lease = pick(found->second->request)) {
            resolve(next->id, std::move(lease));
        } else {
            resolve(next->id, NoTarget {});
        }
    }
}

void ServiceDispatch::closeStale(TimePoint now)
{
    for (const auto &[name, runtime] : m_targets) {
        runtime->pool.closeStale(now);
    }
}
}
