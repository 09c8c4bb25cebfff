#pragma once

#include <plumsill/clock.h>

#include <compare>
#include <deque>
#include <variant>

/// Restart decisions of the supervisor tree.
namespace plumsill
{
/// Decision to restart the failed child after the delay.
struct RestartChild {
    Duration delay {};

    auto operator<=>(const RestartChild &) const = default;
};

/// Decision not to restart the child, because it failed too often: its supervisor fails as well.
struct Escalate {
    auto operator<=>(const Escalate &) const = default;
};

using RestartDecision = std::variant<RestartChild, Escalate>;

/// Restarts a child with exponential backoff; escalates when it fails more than config::MaxRestarts times within config::RestartWindow.
class RestartPolicy
{
public:
    /// Records a failure of the child and decides what to do about it.
    RestartDecision childFailed(TimePoint now);

private:
    std::deque<TimePoint> m_failures;
};
}
