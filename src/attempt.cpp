#include <plumsill/attempt.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
namespace
{
constexpr double MaxRetryBalance = 20;
constexpr auto MinAttemptTimeout = std::chrono::milliseconds(5);
// A target closes an idle connection at its limit; a request must have arrived before.
constexpr auto IdleLimitMargin = std::chrono::milliseconds(1500);

// A target that says "come back later" or fails before it answers leaves the request to others.
bool isWholeAnswer(AttemptFailure failure)
{
    return failure == AttemptFailure::Shed || failure == AttemptFailure::ServerError;
}
}

void RetryBudget::deposit()
{
    m_balance = std::min(m_balance + config::RetryBudgetShare, MaxRetryBalance);
}

bool RetryBudget::withdraw()
{
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

RequestAttempts::RequestAttempts(bool idempotent, TimePoint deadline, const AttemptLimits &limits)
    : m_idempotent(idempotent)
    , m_deadline(deadline)
    , m_limits(limits)
{ }

bool RequestAttempts::mayHedge(unsigned running, TimePoint now) const
{
    return m_idempotent && m_attempts - m_notRun + running < m_limits.attempts && now + MinAttemptTimeout < m_deadline;
}

// A request of which no byte left is safe to send again, whatever its kind: no target can have run it.
// After that only an idempotent one may be repeated, and only until its answer starts to reach the caller.
bool RequestAttempts::mayTryAgain(const AttemptFailed &failure, TimePoint now) const
{
    const bool used = m_attempts - std::min(m_notRun, m_limits.notRun) >= m_limits.attempts;
    if (now + MinAttemptTimeout >= m_deadline || used) {
        return false;
    }
    return failure.progress < AttemptProgress::Sent || m_idempotent;
}

NextStep RequestAttempts::failed(const AttemptFailed &failure, bool targetsLeft, RetryBudget &budget, TimePoint now)
{
    ++m_attempts;
    m_notRun += failure.progress < AttemptProgress::Sent ? 1 : 0;
    m_sent = m_sent || failure.progress >= AttemptProgress::Sent;
    if (failure.progress == AttemptProgress::AnswerStarted) {
        return AbortCaller {};
    }
    if (targetsLeft && mayTryAgain(failure, now) && budget.withdraw()) {
        return TryAgain {};
    }
    if (isWholeAnswer(failure.failure)) {
        return PassOn {};
    }
    return giveUp(failure.failure);
}

GiveUp RequestAttempts::giveUp(AttemptFailure failure) const
{
    const bool retryMakesSense = m_idempotent || !m_sent;
    const Duration retryAfter = retryMakesSense ? config::RetryAfterFailure : Duration::zero();
    if (failure == AttemptFailure::TimedOut) {
        return {504, outcome(), retryAfter};
    }
    return {m_sent ? 502U : 503U, outcome(), retryAfter};
}

GiveUp RequestAttempts::noTarget(TimePoint now) const
{
    if (now >= m_deadline) {
        return giveUp(AttemptFailure::TimedOut);
    }
    return giveUp(AttemptFailure::ConnectFailed);
}

Duration RequestAttempts::attemptTimeout(bool targetsLeft, TimePoint now) const
{
    const Duration left = std::max<Duration>(m_deadline - now, MinAttemptTimeout);
    const bool keepSome = m_idempotent && targetsLeft && m_attempts + 1 < m_limits.attempts;
    return keepSome ? left / 2 : left;
}

RunOutcome RequestAttempts::outcome() const
{
    return m_sent ? RunOutcome::Unknown : RunOutcome::NotRun;
}

// A silent connection looks like a good one until something is sent on it. An idempotent request can be sent
// again when the connection proves lost; any other takes one that has answered just now.
bool reusable(const ConnectionFacts &connection, bool idempotent, std::optional<TimePoint> suspectBefore, TimePoint now)
{
    if (suspectBefore && connection.openedAt < *suspectBefore) {
        return false;
    }
    const Duration quiet = now - connection.lastAnswerAt;
    if (quiet + IdleLimitMargin >= connection.idleLimit) {
        return false;
    }
    return quiet < (idempotent ? Duration(config::IdleTargetConnection) : Duration(config::FreshConnectionAge));
}

// What lost track of one connection has likely lost the others of its time. Those opened after the target's last
// answer can't be judged by it, so all that stand now are suspected when it has never answered.
TimePoint suspectAfterNoAnswer(std::optional<TimePoint> lastAnswerOfTarget, TimePoint now)
{
    return lastAnswerOfTarget.value_or(now);
}
}
