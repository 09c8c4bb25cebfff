#pragma once

#include <plumsill/messages.h>
#include <plumsill/request_digest.h>
#include <plumsill/scheduler.h>
#include <plumsill/types.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <variant>

/// Sources of a request's target: the balancer of this daemon, or the scheduler of its zone.
namespace plumsill
{
/// Request of a traffic thread to the control thread for a target.
struct ThreadPlacementRequest {
    unsigned thread = 0;
    PlacementRequest request; ///< the id of its key is unique for the run of the daemon
    RequestDigest digest;
    bool trial = false; ///< the copy of a quarantined request that may run
};

/// Tokens come from the owners of the parts of the team's token bucket, targets from the balancer of the traffic thread.
struct LocalPlacement {
};

/// Tokens and targets come from the scheduler of the zone, in a single request.
struct ScheduledPlacement {
};

using PlacementMode = std::variant<LocalPlacement, ScheduledPlacement>;
}
