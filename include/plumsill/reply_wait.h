#pragma once

#include <plumsill/clock.h>

/// Failure detection that allows for delays of this daemon itself: a timer that fires late shows that this daemon was busy,
/// and the reply may have arrived meanwhile.
namespace plumsill
{
/// What a daemon does when no reply has arrived in time.
enum class ReplyTimeout
{
    WaitLonger, ///< this daemon was busy, so the timeout shows nothing about the peer
    SendAgain, ///< the request or its reply may be lost
    Unresponsive, ///< the peer doesn't answer
};

/// Wait for the reply to a request that is sent by datagram, and its repetitions. The timeout doubles with each repetition.
class ReplyWait
{
public:
    /// Records that the request was sent.
    void recordSent(TimePoint now);
    /// Time at which timedOut() is to be called unless the reply has arrived.
    TimePoint expiresAt() const { return m_expiresAt; }
    /// Decides what to do at @p now, the actual time of the call, if no reply has arrived.
    ReplyTimeout timedOut(TimePoint now);

private:
    TimePoint m_expiresAt;
    unsigned m_sent = 0;
    unsigned m_extensions = 0;
};
}
