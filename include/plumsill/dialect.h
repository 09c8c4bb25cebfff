#pragma once

#include <compare>
#include <string>

namespace plumsill
{
/// Names of the header fields that callers, this daemon and targets exchange. An empty name: there is no such field.
struct Dialect {
    std::string requestId = "X-Request-Id"; ///< of the request; a target's answer echoes it
    std::string deadline = "Plumsill-Deadline-Ms"; ///< how long the caller waits
    std::string outcome = "Plumsill-Outcome"; ///< on own refusals: whether the request may have run
    std::string callerAddress = "X-Forwarded-For";
    std::string drain = "Plumsill-Drain"; ///< on a target's answer: it takes no new work
    std::string team; ///< tells the target whose request it is
    std::string targetName; ///< any other target than the named one refuses the request
    std::string signature; ///< on a target's answer; a success without it is not the target's
    std::string notExecuted; ///< on a target's answer: it did not run the request
    bool makesRequestIds = true; ///< a request without an id gets one
    bool fractionalRetryAfter = false; ///< callers read fractions of a second
    bool strayAnswers = false; ///< an answer to an earlier request may come before the right one
    bool openEndedAnswers = false; ///< an answer may end with its connection

    auto operator<=>(const Dialect &) const = default;
};
}
