#pragma once

#include "session_p.h"
#include "traffic_p.h"

#include <string>
#include <variant>

namespace plumsill
{
/// Route of a request, and the team whose key it presented.
struct Access {
    Route route;
    TeamName team; ///< empty on routes open to all
    std::string key; ///< the presented key; empty when there was none
    unsigned priority = 0; ///< priority of the team, or of the route when the team has none
};

using AccessResult = std::variant<Access, Refusal>;

/// Finds the request's route and, by its key, the team in @p snapshot. Returns a refusal when the request is not allowed.
AccessResult checkAccess(const Snapshot &snapshot, const CallerRequestHeader &header, TimePoint now);
/// Time until which a request that can't be checked waits for another snapshot (request_hold.h).
TimePoint holdUntil(const Snapshot &snapshot, const CallerRequestHeader &header, const Dialect &dialect, TimePoint arrivedAt, TimePoint now);
/// Checks the key again just before the request is sent. Returns a refusal when the key is no longer valid.
std::optional<Refusal> recheckAccess(const Snapshot &snapshot, const Access &access, TimePoint now);
/// Time by which the request must be answered: the earlier of the route's timeout and the caller's own deadline.
TimePoint requestDeadline(const Route &route, const CallerRequestHeader &header, const Dialect &dialect, TimePoint now);
/// Chooses the service for one request of the route. When the route splits its requests over several services by weight, @p point, a random number from
/// 0 to 1, selects one of them.
const ServiceName &chooseService(const Route &route, double point);
}
