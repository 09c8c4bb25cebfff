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
    TimePoint deadline; ///< latest time at which starting it is of use
    double cost = 1; ///< expected work, relative to the usual request

    auto operator<=>(const QueuedRequest &) const = default;
};

/// Outcome of FairQueue::push.
struct QueueResult {
    bool accepted = false;
    Duration retryAfter {}; ///< of the refused request or the displaced one
    std::optional<std::uint64_t> displaced; ///< request of the team with the longest queue that has to be refused instead

    auto operator<=>(const QueueResult &) const = default;
};

/// Requests that wait for a target, served by deficit round robin over the teams.
class FairQueue
{
public:
    explicit FairQueue(std::size_t limit);

    /// Queues a request, or refuses one that can't be served in time.
    QueueResult push(const QueuedRequest &request, TimePoint now);
    /// Next request to serve; call expire() before. Its key has to be checked again before it is sent.
    std::optional<QueuedRequest> pop(TimePoint now);
    /// Removes and returns the requests whose deadline has passed: answer each at once.
    std::vector<std::uint64_t> expire(TimePoint now);
    /// Removes the requests of a team, for a withdrawn key or a team that is gone.
    std::vector<std::uint64_t> removeTeam(const TeamName &team);
    /// Removes one request that its caller gave up; false if it isn't queued.
    bool remove(std::uint64_t id);

    bool empty() const { return m_teamOf.empty(); }
    std::size_t size() const { return m_teamOf.size(); }
    std::size_t queued(const TeamName &team) const;
    /// Earliest deadline of all queued requests.
    std::optional<TimePoint> nextDeadline() const;
    /// Estimated time until a new request of the team would be served; zero while the service rate is unknown.
    Duration expectedWait(const TeamName &team, TimePoint now) const;

private:
    struct TeamQueue {
        std::deque<QueuedRequest> requests;
        double deficit = 0;
    };
    using Teams = std::map<TeamName, TeamQueue>;

    struct Deadline {
        TimePoint at;
        std::uint64_t id = 0;

        auto operator<=>(const Deadline &) const = default;
    };

    std::optional<std::uint64_t> displaceLongest(const TeamName &pushing);
    void append(const QueuedRequest &request, TimePoint now);
    QueuedRequest takeHead(TimePoint now);
    void forget(const QueuedRequest &request);
    void dropIfEmpty(Teams::iterator team);
    void measureInterval(TimePoint now);

    const std::size_t m_limit;
    Teams m_teams;
    std::deque<TeamName> m_round; ///< teams with queued requests, in the order of service
    std::set<Deadline> m_deadlines;
    std::unordered_map<std::uint64_t, TeamName> m_teamOf;
    std::optional<TimePoint> m_lastPop; ///< set while requests have been waiting since
    std::optional<Duration> m_interval; ///< mean time between two requests served while others wait
};
}
