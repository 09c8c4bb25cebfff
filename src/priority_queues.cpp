#include <plumsill/priority_queues.h>

#include <plumsill/config.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
void ArrivalRate::add(double work, TimePoint now)
{
    m_rate = value(now) + work / seconds(config::ArrivalRateTime);
    m_at = now;
}

double ArrivalRate::value(TimePoint now) const
{
    return m_rate * std::exp(-seconds(std::max(now - m_at, Duration::zero())) / seconds(config::ArrivalRateTime));
}

PriorityQueues::PriorityQueues(std::size_t limit)
    : m_limit(limit)
{ }

QueueResult PriorityQueues::push(unsigned priority, const QueuedRequest &request, double assumedRate, TimePoint now)
{
    const Duration wait = expectedWait(priority, request, assumedRate, now);
    const QueueResult result = m_queues.try_emplace(priority, m_limit).first->second.push(request, wait, now);
    settle(now);
    return result;
}

// A priority that is owed a typical request's work comes before the highest one. What a priority is owed grows only while requests of it wait.
std::optional<QueuedRequest> PriorityQueues::pop(unsigned lowest, TimePoint now)
{
    const auto owed = std::find_if(m_queues.begin(), m_queues.end(), [this](const auto &entry) {
        const auto found = m_owed.find(entry.first);
        return !entry.second.empty() && found != m_owed.end() && found->second >= 1;
    });
    const auto highest = std::find_if(m_queues.begin(), m_queues.end(), [](const auto &entry) { return !entry.second.empty(); });
    const auto next = owed != m_queues.end() ? owed : highest;
    if (next == m_queues.end() || (owed == m_queues.end() && next->first > lowest)) {
        return std::nullopt;
    }
    auto request = next->second.pop(now);
    if (owed != m_queues.end()) {
        m_owed[next->first] -= request->cost;
    }
    for (auto later = std::next(next); later != m_queues.end(); ++later) {
        m_owed[later->first] += later->second.empty() ? 0 : config::MinPriorityShare * request->cost;
    }
    settle(now);
    return request;
}

std::vector<std::uint64_t> PriorityQueues::expire(unsigned priority, TimePoint now)
{
    auto expired = m_queues.try_emplace(priority, m_limit).first->second.expire(now);
    settle(now);
    return expired;
}

// The queues are served several times a second while requests wait, so the time of the last call is near enough.
void PriorityQueues::remove(std::uint64_t id)
{
    for (auto &[priority, queue] : m_queues) {
        queue.remove(id);
    }
    settle(m_now);
}

void PriorityQueues::settle(TimePoint now)
{
    m_now = now;
    std::erase_if(m_owed, [this](const auto &entry) { return m_queues.at(entry.first).empty(); });
    m_rate.setWaiting(!empty(), now);
}

bool PriorityQueues::empty() const
{
    return std::all_of(m_queues.begin(), m_queues.end(), [](const auto &entry) { return entry.second.empty(); });
}

bool PriorityQueues::waiting(unsigned priority) const
{
    return std::any_of(m_queues.begin(), m_queues.end(), [priority](const auto &entry) { return entry.first <= priority && !entry.second.empty(); });
}

std::vector<unsigned> PriorityQueues::priorities() const
{
    std::vector<unsigned> all;
    for (const auto &[priority, queue] : m_queues) {
        all.push_back(priority);
    }
    return all;
}

std::size_t PriorityQueues::size(unsigned priority) const
{
    const auto found = m_queues.find(priority);
    return found == m_queues.end() ? 0 : found->second.size();
}

void PriorityQueues::recordArrival(unsigned priority, double work, TimePoint now)
{
    Arrivals &arrivals = m_arrivals[priority];
    arrivals.requests.add(1, now);
    arrivals.work.add(work, now);
}

double PriorityQueues::requestsAbove(unsigned priority, TimePoint now) const
{
    double sum = 0;
    for (const auto &[other, arrivals] : m_arrivals) {
        sum += other < priority ? arrivals.requests.value(now) : 0;
    }
    return sum;
}

double PriorityQueues::workAbove(unsigned priority, TimePoint now) const
{
    double sum = 0;
    for (const auto &[other, arrivals] : m_arrivals) {
        sum += other < priority ? arrivals.work.value(now) : 0;
    }
    return sum;
}

Duration PriorityQueues::timeFor(double work, unsigned priority, double assumedRate, TimePoint now) const
{
    const double rate = m_rate.value(assumedRate, now);
    if (rate <= 0) {
        return Duration::zero();
    }
    return fromSeconds(work / std::max(rate - workAbove(priority, now), config::MinPriorityShare * rate));
}

// A request waits until all work before it is served, or until the minimum share of its priority reaches it, whichever is earlier. A service that has served
// nothing for a while is expected to serve nothing for as long again.
Duration PriorityQueues::expectedWait(unsigned priority, const QueuedRequest &request, double assumedRate, TimePoint now) const
{
    double above = 0;
    double own = 0;
    for (const auto &[other, queue] : m_queues) {
        above += other < priority ? queue.work() : 0;
        own += other == priority ? queue.workBefore(request) : 0;
    }
    if (above + own <= 0) {
        return Duration::zero();
    }
    const double rate = m_rate.value(assumedRate, now);
    const Duration inOrder = timeFor(above + own, priority, assumedRate, now);
    const Duration byShare = rate > 0 ? fromSeconds((own + request.cost) / (config::MinPriorityShare * rate)) : Duration::zero();
    return std::max(std::min(inOrder, byShare), m_rate.stall(now));
}
}
