#pragma once

#include <plumsill/clock.h>
#include <plumsill/config.h>
#include <plumsill/types.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>

/// Retry decisions for one request: retry, forward the answer, refuse or abort when an attempt at a target ends.
namespace plumsill
{
/// Whether a refused or failed request may have run at a target.
enum class RunOutcome : std::uint8_t
{
    NotRun, ///< no target ran it
    Unknown, ///< a target may have run it
};

/// Progress of an attempt before it failed.
enum class AttemptProgress : std::uint8_t
{
    NothingSent,
    NotRun, ///< the target reported that it did not run the request
    Sent, ///< at least one byte of the request may have left this daemon
    AnswerStarted, ///< at least one byte of the answer was forwarded to the caller
};

enum class AttemptFailure : std::uint8_t
{
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    Truncated,
    Malformed,
    Shed, ///< the target refused the request because of load and sent a retry time
    ServerError, ///< a complete answer with status 500, 502, 503 or 504
    WrongTarget, ///< a different target answered at the address
    HelperUnavailable, ///< the helper that was to open the connection refused or did not answer
};

struct AttemptFailed {
    AttemptFailure failure = AttemptFailure::ConnectFailed;
    AttemptProgress progress = AttemptProgress::NothingSent;

    auto operator<=>(const AttemptFailed &) const = default;
};

/// The request is sent to another target.
struct TryAgain {
    auto operator<=>(const TryAgain &) const = default;
};

/// The target's complete answer is forwarded to the caller, even if it reports an error.
struct PassOn {
    auto operator<=>(const PassOn &) const = default;
};

/// The caller is answered now with this status, because there is no answer of a target to forward.
struct GiveUp {
    unsigned status = 502;
    RunOutcome outcome = RunOutcome::Unknown;
    Duration retryAfter {}; ///< zero: the caller should not retry

    auto operator<=>(const GiveUp &) const = default;
};

/// The caller's connection is closed, so that a truncated answer is not mistaken for a complete one.
struct AbortCaller {
    auto operator<=>(const AbortCaller &) const = default;
};

using NextStep = std::variant<TryAgain, PassOn, GiveUp, AbortCaller>;

/// Limits retries to a share of recent first attempts, so that retries cannot amplify an overload.
class RetryBudget
{
public:
    /// @p initial: retries that are allowed before any traffic.
    explicit RetryBudget(double initial = 0)
        : m_balance(initial)
    { }
    /// Counts a first attempt.
    void deposit();
    /// Returns true if a retry may be sent, and counts it.
    bool withdraw();

private:
    double m_balance; // retries
};

/// Limits on the attempts of one request.
struct AttemptLimits {
    unsigned attempts = config::MaxAttempts; ///< maximum number of counted attempts; see notRun for those that are not counted
    unsigned notRun = 0; ///< up to this many attempts are not counted if no target ran the request in them

    auto operator<=>(const AttemptLimits &) const = default;
};

/// Attempts of one request, from the first attempt to the answer for the caller.
class RequestAttempts
{
public:
    /// @p deadline: latest time for the answer to the caller; @p limits: number of attempts allowed.
    RequestAttempts(bool idempotent, TimePoint deadline, const AttemptLimits &limits = {});

    /// Decides the next step after a failed attempt. @p hasUntriedTarget: another target may be tried.
    NextStep failed(const AttemptFailed &failure, bool hasUntriedTarget, RetryBudget &budget, TimePoint now);
    /// Returns the refusal for a request that has no usable target, or whose deadline passed before an attempt began.
    GiveUp noTarget(TimePoint now) const;
    /// Maximum duration of the next attempt. Half of the remaining time is reserved for a retry if the request is idempotent,
    /// another target may be tried and a further attempt is allowed.
    Duration attemptTimeout(bool hasUntriedTarget, TimePoint now) const;
    /// NotRun if no target can have run the request in the attempts that have ended, Unknown otherwise.
    RunOutcome outcome() const;
    /// Outcome when @p running further attempts are still in flight: Unknown if that number is above 0, outcome() otherwise.
    RunOutcome outcomeWith(std::size_t running) const { return running > 0 ? RunOutcome::Unknown : outcome(); }
    unsigned attempts() const { return m_attempts; }
    /// Whether a byte of an attempt that has ended may have been sent.
    bool anySent() const { return m_anySent; }
    /// Whether a hedge may be sent in parallel with @p running attempts.
    bool mayHedge(unsigned running, TimePoint now) const;

private:
    GiveUp giveUp(AttemptFailure failure) const;
    bool mayTryAgain(const AttemptFailed &failure, TimePoint now) const;

    bool m_idempotent;
    TimePoint m_deadline;
    bool m_sent = false; ///< a target may have run the request
    bool m_anySent = false; ///< a byte of it may have left this daemon
    unsigned m_attempts = 0;
    unsigned m_notRun = 0; ///< attempts in which no target ran the request; included in m_attempts
    AttemptLimits m_limits;
};

/// A hedge of a request whose answer is large.
struct LargeHedge {
    bool answerBegun = false; ///< a byte of the first answer has arrived
    Duration copyTime {}; ///< time that one copy of the answer takes on the link; zero: not known
    Duration left {}; ///< until the answer should arrive

    auto operator<=>(const LargeHedge &) const = default;
};

/// Whether the second copy is worth its bytes on the link.
bool worthItsBytes(const LargeHedge &hedge);

/// Connection state used to decide whether a connection to a target may be reused.
struct ConnectionFacts {
    TimePoint openedAt;
    TimePoint lastAnswerAt; ///< equals openedAt before the first answer
    Duration idleLimit = Duration::max(); ///< idle time after which the target closes the connection; max: not announced
    bool broken = false; ///< a write on the connection failed

    auto operator<=>(const ConnectionFacts &) const = default;
};

/// Returns true if an idle connection may carry the next request. @p suspectBefore: see suspectAfterNoAnswer().
bool reusable(const ConnectionFacts &connection, bool idempotent, std::optional<TimePoint> suspectBefore, TimePoint now);
/// Called after a connection to a target did not answer. Other connections to the target that were opened before the
/// returned time may be lost too. @p lastAnswerOfTarget: time of the latest answer on any connection to the target.
TimePoint suspectAfterNoAnswer(std::optional<TimePoint> lastAnswerOfTarget, TimePoint now);
}
