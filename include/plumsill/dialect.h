#pragma once

#include <compare>
#include <string>

namespace plumsill
{
/// Header fields that callers, this daemon and targets exchange, and the rules that depend on the platform.
/// An empty field name means that the platform has no such field.
struct Dialect {
    std::string requestId = "X-Request-Id"; ///< identifies the request; a target's answer echoes it
    std::string deadline = "Plumsill-Deadline-Ms"; ///< maximum wait of the caller, in milliseconds
    std::string outcome = "Plumsill-Outcome"; ///< on refusals made by this daemon: whether the request may have run
    std::string callerAddress = "X-Forwarded-For"; ///< IP address of the caller
    std::string drain = "Plumsill-Drain"; ///< on a target's answer: the target is draining
    std::string rateLimit; ///< on a target's answer: requests per second that the target accepts from the complete fleet
    std::string team; ///< on requests to targets: the team that sent the request
    std::string targetName; ///< on requests to targets: only the target of this name accepts the request
    std::string signature; ///< on a target's answer: a 2xx answer without this field is rejected, as it was not sent by the target
    std::string notExecuted; ///< on a target's answer: the target did not run the request
    bool generatesRequestIds = true; ///< this daemon adds an id to a request without one
    bool fractionalRetryAfter = false; ///< Retry-After has tenths of a second
    bool acceptsStrayAnswers = false; ///< a target may first send the answer to an earlier request, which is skipped
    bool acceptsCloseDelimitedAnswers = false; ///< the end of the connection may mark the end of an answer

    auto operator<=>(const Dialect &) const = default;
};
}
