#include <plumsill/reply_wait.h>

#include <plumsill/config.h>

namespace plumsill
{
namespace
{
// A timer that fires later than this after its expiry shows that the daemon was busy: several times the usual delay of a timer.
constexpr Duration MaxTimerDelay = std::chrono::milliseconds(15);
// A daemon that is always busy must still notice a peer that has failed.
constexpr unsigned MaxExtensions = 3;
}

void ReplyWait::recordSent(TimePoint now)
{
    m_expiresAt = now + config::PlacementReplyTimeout * (1U << m_sent);
    ++m_sent;
}

ReplyTimeout ReplyWait::timedOut(TimePoint now)
{
    if (now - m_expiresAt > MaxTimerDelay && m_extensions < MaxExtensions) {
        ++m_extensions;
        m_expiresAt = now + config::PlacementReplyTimeout;
        return ReplyTimeout::WaitLonger;
    }
    return m_sent < config::MaxUnansweredPlacementRequests ? ReplyTimeout::SendAgain : ReplyTimeout::Unresponsive;
}
}
