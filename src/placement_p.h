#pragma once

#include <plumsill/messages.h>
#include <plumsill/scheduler.h>
#include <plumsill/types.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <variant>

/// Where a request gets its target: from this daemon's own balancer, or from the scheduler of its zone.
namespace plumsill
{

/// A traffic thread asks control for a target.
struct PlacementWish {
    unsigned thread = 0;
    PlacementRequest ask; ///< its key's id is unique for the daemon's run
};

/// Tokens of the team from its owner, targets from the thread's own balancer.
struct OwnPlacement {
};

/// Tokens and targets from the zone's scheduler, in one question.
struct ScheduledPlacement {
};

using PlacementPort = std::variant<OwnPlacement, ScheduledPlacement>;
}
