#include <plumsill/attempt.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
namespace
{
constexpr double MaxRetryBalance = 20; // retries
constexpr auto MinAttemptTimeout = std::chrono::milliseconds(5);
// A target closes an idle connection when the idle limit has passed. A connection is reused only if more than this time
// is left, so that the request arrives before the target closes it.
constexpr auto IdleLimitMargin = std::chrono::milliseconds(1500);

// Answers of these kinds are complete, so they can be forwarded to the caller if no other target may be tried.
bool isCompleteAnswer(AttemptFailure failure)
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

// Any request may be sent again if no byte of it has left this daemon or the target reported that it did not run it.
// Otherwise only an idempotent request may be sent again. failed() excludes requests whose answer has started.
bool RequestAttempts::mayTryAgain(const AttemptFailed &failure, TimePoint now) const
{
    const bool attemptsUsedUp = m_attempts - std::min(m_notRun, m_limits.notRun) >= m_limits.attempts;
    if (now + MinAttemptTimeout >= m_deadline || attemptsUsedUp) {
        return false;
    }
    return failure.progress < AttemptProgress::Sent || m_idempotent;
}

NextStep RequestAttempts::failed(const AttemptFailed &failure, bool hasUntriedTarget, RetryBudget &budget, TimePoint now)
{
    ++m_attempts;
    m_notRun += failure.progress < AttemptProgress::Sent ? 1 : 0;
    m_sent = m_sent || failure.progress >= AttemptProgress::Sent;
    m_anySent = m_anySent || failure.progress > AttemptProgress::NothingSent;
    if (failure.progress == AttemptProgress::AnswerStarted) {
        return AbortCaller {};
    }
    if (hasUntriedTarget && mayTryAgain(failure, now) && budget.withdraw()) {
        return TryAgain {};
    }
    if (isCompleteAnswer(failure.failure)) {
        return PassOn {};
    }
    return giveUp(failure.failure);
}

GiveUp RequestAttempts::giveUp(AttemptFailure failure) const
{
    const bool retryIsSafe = m_idempotent || !m_sent;
    const Duration retryAfter = retryIsSafe ? config::RetryAfterFailure : Duration::zero();
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

Duration RequestAttempts::attemptTimeout(bool hasUntriedTarget, TimePoint now) const
{
    const Duration left = std::max<Duration>(m_deadline - now, MinAttemptTimeout);
    const bool reserveForRetry = m_idempotent && hasUntriedTarget && m_attempts + 1 < m_limits.attempts;
    return reserveForRetry ? left / 2 : left;
}

RunOutcome RequestAttempts::outcome() const
{
    return m_sent ? RunOutcome::Unknown : RunOutcome::NotRun;
}

// Once a byte has arrived, a second copy would only slow the first one down. Both copies may pass the link before one of them is broken off.
bool worthItsBytes(const LargeHedge &hedge)
{
    return !hedge.answerBegun && 2 * hedge.copyTime <= hedge.left;
}

// A lost connection is noticed only when something is sent on it. An idempotent request can be sent again in that case;
// any other request uses only a connection that has answered recently.
bool reusable(const ConnectionFacts &connection, bool idempotent, std::optional<TimePoint> suspectBefore, TimePoint now)
{
    if (suspectBefore && connection.openedAt < *suspectBefore) {
        return false;
    }
    const Duration idleTime = now - connection.lastAnswerAt;
    if (idleTime + IdleLimitMargin >= connection.idleLimit) {
        return false;
    }
    return idleTime < (idempotent ? Duration(config::MaxTargetConnectionIdle) : Duration(config::FreshConnectionAge));
}

// A fault that broke one connection has likely broken the other connections that were open at that time. Connections that were
// opened before the target's last answer are suspected. Later ones are not, since that answer shows nothing about them.
// If the target has never answered, all present connections are suspected.
TimePoint suspectAfterNoAnswer(std::optional<TimePoint> lastAnswerOfTarget, TimePoint now)
{
    return lastAnswerOfTarget.value_or(now);
}
}
