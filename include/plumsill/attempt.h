#pragma once

#include <plumsill/clock.h>
#include <plumsill/config.h>
#include <plumsill/types.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>

/// Decisions on one request: what to do when an attempt at a target ends.
namespace plumsill
{
/// Whether a refused or failed request may have run at a target.
enum class RunOutcome : std::uint8_t
{
    NotRun, ///< no byte of it reached any target
    Unknown, ///< it may have run
};

/// How far an attempt came before it failed.
enum class AttemptProgress : std::uint8_t
{
    NothingSent,
    NotRun, ///< the target said that it did not run it
    Sent, ///< at least one byte may have left
    AnswerStarted, ///< at least one byte of the answer went on to the caller
};

enum class AttemptFailure : std::uint8_t
{
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    Truncated,
    Malformed,
    Shed, ///< the target refused for load and said when to come back
    ServerError, ///< a whole answer with status 500, 502, 503 or 504
    WrongTarget, ///< another target than the named one has the address
};

struct AttemptFailed {
    AttemptFailure failure = AttemptFailure::ConnectFailed;
    AttemptProgress progress = AttemptProgress::NothingSent;

    auto operator<=>(const AttemptFailed &) const = default;
};

/// Send the request to another target.
struct TryAgain {
    auto operator<=>(const TryAgain &) const = default;
};

/// Pass the target's own whole answer on, also when it tells of an error.
struct PassOn {
    auto operator<=>(const PassOn &) const = default;
};

/// Answer the caller now with this status; there is no answer of a target to pass on.
struct GiveUp {
    unsigned status = 502;
    RunOutcome outcome = RunOutcome::Unknown;
    Duration retryAfter {}; ///< zero: a retry makes no sense

    auto operator<=>(const GiveUp &) const = default;
};

/// Close the caller's connection, so that a cut answer can't pass for a whole one.
struct AbortCaller {
    auto operator<=>(const AbortCaller &) const = default;
};

using NextStep = std::variant<TryAgain, PassOn, GiveUp, AbortCaller>;

/// Limits retries to a share of recent first attempts, so that they can't multiply an overload.
class RetryBudget
{
public:
    /// @p initial: retries allowed before any traffic.
    explicit RetryBudget(double initial = 0)
        : m_balance(initial)
    { }
    /// Counts a first attempt.
    void deposit();
    /// True when a retry may be sent, which it then counts.
    bool withdraw();

private:
    double m_balance; // retries
};

/// How often one request may be sent.
struct AttemptLimits {
    unsigned attempts = config::MaxAttempts; ///< targets that may run it
    unsigned notRun = 0; ///< further attempts in place of those that no target ran

    auto operator<=>(const AttemptLimits &) const = default;
};

/// One request from its first attempt to its answer.
class RequestAttempts
{
public:
    /// @p limits: how often it may be sent.
    RequestAttempts(bool idempotent, TimePoint deadline, const AttemptLimits &limits = {});

    /// Decides after a failed attempt. @p targetsLeft: another target may be tried.
    NextStep failed(const AttemptFailed &failure, bool targetsLeft, RetryBudget &budget, TimePoint now);
    /// Decides when no target is in use, or the deadline passed before an attempt began.
    GiveUp noTarget(TimePoint now) const;
    /// Time that the next attempt may take; an idempotent request keeps some for a retry.
    Duration attemptTimeout(bool targetsLeft, TimePoint now) const;
    /// Whether no byte has reached any target so far.
    RunOutcome outcome() const;
    /// The same while @p running attempts have not ended.
    RunOutcome outcomeWith(std::size_t running) const { return running > 0 ? RunOutcome::Unknown : outcome(); }
    unsigned attempts() const { return m_attempts; }
    /// Whether a second target may be asked beside @p running attempts.
    bool mayHedge(unsigned running, TimePoint now) const;

private:
    GiveUp giveUp(AttemptFailure failure) const;
    bool mayTryAgain(const AttemptFailed &failure, TimePoint now) const;

    bool m_idempotent;
    TimePoint m_deadline;
    bool m_sent = false;
    unsigned m_attempts = 0;
    unsigned m_notRun = 0; ///< of m_attempts
    AttemptLimits m_limits;
};

/// What is known of one connection to a target.
struct ConnectionFacts {
    TimePoint openedAt;
    TimePoint lastAnswerAt; ///< openedAt before the first answer
    Duration idleLimit = Duration::max(); ///< after which the target closes it; max: not told
    bool broken = false; ///< a write on it failed

    auto operator<=>(const ConnectionFacts &) const = default;
};

/// True when an idle connection may carry the next request. @p suspectBefore: see suspectAfterSilence().
bool reusable(const ConnectionFacts &connection, bool idempotent, std::optional<TimePoint> suspectBefore, TimePoint now);
/// After a silent connection: connections opened before the returned time may be lost too.
TimePoint suspectAfterNoAnswer(std::optional<TimePoint> lastAnswerOfTarget, TimePoint now);
}
