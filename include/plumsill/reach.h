#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstddef>
#include <set>
#include <variant>

/// Detects that this daemon alone can't reach the targets of a service: a circuit breaker for its own paths, which trials
/// them by opening connections and never by requests.
namespace plumsill
{
/// Reach of one daemon towards the targets of one service.
class Reach
{
public:
    /// Records that no connection to the target could be opened, for a request or a probe.
    void recordConnectFailure(const TargetName &target, TimePoint now);
    /// Records that a probe has opened a connection to the target.
    void recordConnected(const TargetName &target, TimePoint now);
    /// Records an answer of a target on a direct connection.
    void recordAnswer(TimePoint now);
    /// Records that a request sent at @p sentAt is older than nearly all good answers. A reason to probe only where no answer has arrived since.
    void recordOverdue(TimePoint sentAt, TimePoint now);
    /// Starts probes, because another service was found to be cut off.
    void suspect(TimePoint now);
    /// Number of probes to start now, each to another of the service's @p targets; counts them as started.
    std::size_t takeDueProbes(std::size_t targets, TimePoint now);
    /// Targets that the next probes are to leave out, as they were tried already.
    const std::set<TargetName> &tried() const { return m_tried; }
    /// Whether nothing is suspected, so that no probe is due.
    bool undisturbed() const { return std::holds_alternative<Reaching>(m_state); }
    /// Whether requests need another daemon's help to reach the targets.
    bool cutOff() const { return std::holds_alternative<CutOff>(m_state); }

private:
    struct Reaching {
    };
    struct Suspected {
        std::size_t needed = 0; ///< different targets that must be out of reach; 0 while it isn't known how many there are
        std::size_t failed = 0;
        TimePoint since;
    };
    struct CutOff {
        unsigned connected = 0; ///< successful probes in a row
        unsigned needed = 0; ///< number of them that ends the state
        TimePoint nextProbeAt;
        TimePoint since;
    };

    void beginCutOff(TimePoint now);

    std::variant<Reaching, Suspected, CutOff> m_state;
    std::set<TargetName> m_tried; ///< targets tried since the state began
    TimePoint m_lastAnswerAt;
    TimePoint m_nextSuspicionAt; ///< earliest time of the next suspicion by a single failure
    TimePoint m_regainedAt;
    unsigned m_relapses = 0; ///< times in a row that the state was cut off again soon after it had ended
};
}
