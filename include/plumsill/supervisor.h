#pragma once

#include <plumsill/clock.h>

#include <compare>
#include <deque>
#include <variant>

/// Decisions of the supervisor tree: when a failed child is started again.
namespace plumsill
{
/// Start the child again after the delay.
struct RestartChild {
    Duration delay {};

    auto operator<=>(const RestartChild &) const = default;
};

/// The child failed too often: its supervisor fails in turn.
struct Escalate {
    auto operator<=>(const Escalate &) const = default;
};

using RestartDecision = std::variant<RestartChild, Escalate>;

/// Restarts with an exponential delay until too many failures fall into one window.
class RestartPolicy
{
public:
    RestartDecision childFailed(TimePoint now);

private:
    std::deque<TimePoint> m_failures;
};
}
