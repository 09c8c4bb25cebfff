#include <plumsill/config.h>
#include <plumsill/fairqueue.h>

#include <algorithm>
#include <cassert>

namespace plumsill
{
FairQueue::FairQueue(std::size_t limit)
    : m_limit(limit)
{
    assert(limit > 0);
}

// Until a new request is served, round robin serves at most as many requests of each other team as of its own team,
// counting the new one. If the last request was served longer ago than the mean service interval, the time since then is
// used as the interval.
Duration FairQueue::expectedWait(const TeamName &team, TimePoint now) const
{
    if (!m_serviceInterval) {
        return Duration(0);
    }
    const auto own = queued(team);
    auto before = own;
    for (const auto &[name, queue] : m_teams) {
        if (name != team) {
            before += std::min(queue.requests.size(), own + 1);
        }
    }
    const auto sinceLast = m_lastPop ? now - *m_lastPop : Duration(0);
    return std::max(*m_serviceInterval, sinceLast) * static_cast<Duration::rep>(before);
}

double FairQueue::work() const
{
    double sum = 0;
    for (const auto &[name, queue] : m_teams) {
        sum += queue.work;
    }
    return sum;
}

double FairQueue::workBefore(const QueuedRequest &request) const
{
    const auto found = m_teams.find(request.team);
    const double own = found == m_teams.end() ? 0 : found->second.work;
    double before = own;
    for (const auto &[name, queue] : m_teams) {
        before += name == request.team ? 0 : std::min(queue.work, own + request.cost);
    }
    return before;
}

QueueResult FairQueue::push(const QueuedRequest &request, Duration wait, TimePoint now)
{
    assert(!m_teamById.contains(request.id));
    if (request.deadline <= now || request.deadline - now < wait) {
        return {false, wait, std::nullopt};
    }
    if (size() < m_limit) {
        append(request, now);
        return {true, {}, std::nullopt};
    }
    const auto displaced = displaceFromLongestQueue(request.team);
    if (!displaced) {
        return {false, wait, std::nullopt, true};
    }
    append(request, now);
    return {true, wait, displaced};
}

// Makes room in a full queue, so that teams that use less than their share of it can still queue requests. Nothing is
// removed if the longest queue has at most one request more than the queue of the team whose request is pushed.
std::optional<std::uint64_t> FairQueue::displaceFromLongestQueue(const TeamName &pushing)
{
    const auto longest
        = std::max_element(m_teams.begin(), m_teams.end(), [](const auto &a, const auto &b) { return a.second.requests.size() < b.second.requests.size(); });
    if (longest->second.requests.size() <= queued(pushing) + 1) {
        return std::nullopt;
    }
    const auto newest = longest->second.requests.back();
    longest->second.requests.pop_back();
    longest->second.work -= newest.cost;
    removeFromIndex(newest);
    removeTeamIfEmpty(longest);
    return newest.id;
}

void FairQueue::append(const QueuedRequest &request, TimePoint now)
{
    if (empty()) {
        m_lastPop = now;
    }
    auto &queue = m_teams[request.team];
    if (queue.requests.empty()) {
        m_serviceOrder.push_back(request.team);
    }
    queue.requests.push_back(request);
    queue.requests.back().cost = std::clamp(request.cost, 0.0, config::QueueCostMax);
    queue.work += queue.requests.back().cost;
    m_deadlines.insert({request.deadline, request.id});
    m_teamById.emplace(request.id, request.team);
}

void FairQueue::removeFromIndex(const QueuedRequest &request)
{
    m_deadlines.erase({request.deadline, request.id});
    m_teamById.erase(request.id);
    if (empty()) {
        m_lastPop.reset();
    }
}

void FairQueue::removeTeamIfEmpty(Teams::iterator team)
{
    if (team->second.requests.empty()) {
        std::erase(m_serviceOrder, team->first);
        m_teams.erase(team);
    }
}

void FairQueue::updateServiceInterval(TimePoint now)
{
    if (!m_lastPop) {
        return;
    }
    const auto interval = now - *m_lastPop;
    const auto mean = m_serviceInterval.value_or(interval);
    m_serviceInterval = mean + std::chrono::duration_cast<Duration>((interval - mean) * config::QueueIntervalWeight);
    m_lastPop = now;
}

// The deficit of each team grows by the quantum once per round. Requests of a team are served while its deficit covers
// their cost.
std::optional<QueuedRequest> FairQueue::pop(TimePoint now)
{
    if (empty()) {
        return std::nullopt;
    }
    while (true) {
        auto &queue = m_teams[m_serviceOrder.front()];
        const double cost = queue.requests.front().cost;
        if (queue.deficit >= cost) {
            return popFront(now);
        }
        queue.deficit += config::FairQuantum;
        if (queue.deficit < cost) {
            m_serviceOrder.push_back(m_serviceOrder.front());
            m_serviceOrder.pop_front();
        }
    }
}

QueuedRequest FairQueue::popFront(TimePoint now)
{
    const auto team = m_teams.find(m_serviceOrder.front());
    auto &queue = team->second;
    auto request = queue.requests.front();
    queue.requests.pop_front();
    queue.work -= request.cost;
    queue.deficit -= request.cost;
    if (!queue.requests.empty() && queue.deficit < queue.requests.front().cost) {
        m_serviceOrder.push_back(m_serviceOrder.front());
        m_serviceOrder.pop_front();
    }
    updateServiceInterval(now);
    removeFromIndex(request);
    removeTeamIfEmpty(team);
    return request;
}

std::vector<std::uint64_t> FairQueue::expire(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->at <= now) {
        expired.push_back(m_deadlines.begin()->id);
        remove(expired.back());
    }
    return expired;
}

std::vector<std::uint64_t> FairQueue::removeTeam(const TeamName &team)
{
    std::vector<std::uint64_t> removed;
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        return removed;
    }
    for (const auto &request : found->second.requests) {
        removed.push_back(request.id);
        removeFromIndex(request);
    }
    found->second.requests.clear();
    removeTeamIfEmpty(found);
    return removed;
}

bool FairQueue::remove(std::uint64_t id)
{
    const auto indexed = m_teamById.find(id);
    if (indexed == m_teamById.end()) {
        return false;
    }
    const auto team = m_teams.find(indexed->second);
    auto &requests = team->second.requests;
    const auto request = std::find_if(requests.begin(), requests.end(), [id](const auto &entry) { return entry.id == id; });
    const auto removed = *request;
    requests.erase(request);
    team->second.work -= removed.cost;
    removeFromIndex(removed);
    removeTeamIfEmpty(team);
    return true;
}

std::size_t FairQueue::queued(const TeamName &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.requests.size();
}

std::optional<TimePoint> FairQueue::nextDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->at);
}
}
