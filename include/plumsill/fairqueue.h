#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace plumsill
{
/// A request that waits for a target.
struct QueuedRequest {
    std::uint64_t id = 0;
    TeamName team; ///< empty on routes open to all
    TimePoint deadline; ///< latest useful start time
    double cost = 1; ///< expected work, relative to a typical request

    auto operator<=>(const QueuedRequest &) const = default;
};

/// Result of FairQueue::push().
struct QueueResult {
    bool accepted = false;
    Duration retryAfter {}; ///< time after which the refused or displaced request may be retried
    std::optional<std::uint64_t> displaced; ///< id of a request of the team with the longest queue; it was removed for the new one and must be refused
    bool full = false; ///< whether the request was refused because the queue is full, and not because it would wait too long

    auto operator<=>(const QueueResult &) const = default;
};

/// Queue of requests that wait for a target, served by deficit round robin over the teams.
class FairQueue
{
public:
    /// @p limit: maximum number of queued requests, above 0.
    explicit FairQueue(std::size_t limit);

    /// Queues a request, or refuses it if it cannot be served before its deadline or the queue is full.
    QueueResult push(const QueuedRequest &request, TimePoint now) { return push(request, expectedWait(request.team, now), now); }
    /// The same with a wait that the caller expects.
    QueueResult push(const QueuedRequest &request, Duration wait, TimePoint now);
    /// Removes and returns the next request to serve; none if the queue is empty. Call expire() first. Before
    /// the request is sent, its team's key must be checked again, as it may have been withdrawn while the request was queued.
    std::optional<QueuedRequest> pop(TimePoint now);
    /// Removes the requests whose deadline has passed and returns their ids. Each must be answered immediately.
    std::vector<std::uint64_t> expire(TimePoint now);
    /// Removes the requests of a team that was removed or whose key was withdrawn, and returns the ids of these requests.
    std::vector<std::uint64_t> removeTeam(const TeamName &team);
    /// Removes a request whose caller cancelled it. Returns false if the request is not queued.
    bool remove(std::uint64_t id);

    bool empty() const { return m_teamById.empty(); }
    std::size_t size() const { return m_teamById.size(); }
    /// Number of queued requests of the team.
    std::size_t queued(const TeamName &team) const;
    /// Work of all queued requests.
    double work() const;
    /// Work that is served before the request if it is queued now.
    double workBefore(const QueuedRequest &request) const;
    /// Earliest deadline of all queued requests; none if the queue is empty.
    std::optional<TimePoint> nextDeadline() const;
    /// Estimated time until a new request of the team would be served; zero while the service rate is unknown.
    Duration expectedWait(const TeamName &team, TimePoint now) const;

private:
    struct TeamQueue {
        std::deque<QueuedRequest> requests;
        double work = 0; ///< sum of the requests' costs
        double deficit = 0;
    };
    using Teams = std::map<TeamName, TeamQueue>;

    struct Deadline {
        TimePoint at;
        std::uint64_t id = 0;

        auto operator<=>(const Deadline &) const = default;
    };

    std::optional<std::uint64_t> displaceFromLongestQueue(const TeamName &pushing);
    void append(const QueuedRequest &request, TimePoint now);
    QueuedRequest popFront(TimePoint now);
    void removeFromIndex(const QueuedRequest &request);
    void removeTeamIfEmpty(Teams::iterator team);
    void updateServiceInterval(TimePoint now);

    const std::size_t m_limit;
    Teams m_teams;
    std::deque<TeamName> m_serviceOrder; ///< teams with queued requests, in the order of service
    std::set<Deadline> m_deadlines;
    std::unordered_map<std::uint64_t, TeamName> m_teamById;
    std::optional<TimePoint> m_lastPop; ///< later of two times: the last request was served, or the queue became non-empty; none while the queue is empty
    std::optional<Duration> m_serviceInterval; ///< mean time between two served requests while others wait
};
}
