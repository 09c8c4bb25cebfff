#include <plumsill/reach.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
namespace
{
// Failures to this many different targets in a row, with no connection between them, are put down to the daemon.
constexpr std::size_t FailedTargets = 3;
// Successful probes that end the state; doubled by each relapse, so that a flapping link doesn't flap the routing.
constexpr unsigned ProbesToReturn = 2;
constexpr unsigned MaxProbesToReturn = 8;
constexpr auto RelapseTime = std::chrono::seconds(10);
// Bounds the connections opened because of targets that really are gone.
constexpr auto SuspicionInterval = std::chrono::milliseconds(1000);
constexpr auto ProbeInterval = std::chrono::milliseconds(300);
constexpr auto ProbeIntervalAfterSuccess = std::chrono::milliseconds(50);
}

void Reach::suspect(TimePoint now)
{
    if (std::holds_alternative<Reaching>(m_state)) {
        m_state = Suspected {0, 0, now};
        m_tried.clear();
    }
}

void Reach::beginCutOff(TimePoint now)
{
    m_relapses = now - m_regainedAt < RelapseTime && m_regainedAt != TimePoint() ? m_relapses + 1 : 0;
    const unsigned needed = std::min(ProbesToReturn << std::min(m_relapses, 8U), MaxProbesToReturn);
    m_state = CutOff {0, needed, now + ProbeInterval, now};
    m_tried.clear();
}

void Reach::recordConnectFailure(const TargetName &target, TimePoint now)
{
    if (std::holds_alternative<Reaching>(m_state) && now >= m_nextSuspicionAt) {
        suspect(now);
    }
    const bool first = m_tried.insert(target).second;
    if (auto *suspected = std::get_if<Suspected>(&m_state)) {
        suspected->failed += first ? 1 : 0;
        if (suspected->needed > 0 && suspected->failed >= suspected->needed) {
            beginCutOff(now);
        }
    } else if (auto *cut = std::get_if<CutOff>(&m_state)) {
        cut->connected = 0;
        cut->nextProbeAt = std::max<TimePoint>(cut->nextProbeAt, now + ProbeInterval);
    }
}

void Reach::recordConnected(const TargetName &target, TimePoint now)
{
    m_tried.insert(target);
    if (std::holds_alternative<Suspected>(m_state)) {
        m_state = Reaching {};
        m_nextSuspicionAt = now + SuspicionInterval;
    } else if (auto *cut = std::get_if<CutOff>(&m_state)) {
        cut->nextProbeAt = std::min<TimePoint>(cut->nextProbeAt, now + ProbeIntervalAfterSuccess);
        if (++cut->connected >= cut->needed) {
            m_state = Reaching {};
            m_regainedAt = now;
        }
    }
}

void Reach::recordAnswer(TimePoint now)
{
    m_lastAnswerAt = now;
}

void Reach::recordOverdue(TimePoint sentAt, TimePoint now)
{
    if (m_lastAnswerAt < sentAt && now >= m_nextSuspicionAt) {
        suspect(now);
    }
}

std::size_t Reach::takeDueProbes(std::size_t targets, TimePoint now)
{
    if (auto *suspected = std::get_if<Suspected>(&m_state)) {
        if (suspected->needed == 0) {
            suspected->needed = std::min(FailedTargets, std::max<std::size_t>(targets, 1));
            if (suspected->failed >= suspected->needed) {
                beginCutOff(now);
                return 0;
            }
            return suspected->needed - suspected->failed;
        }
        // A probe whose result was lost must not keep the suspicion for ever.
        if (now - suspected->since > SuspicionInterval) {
            m_state = Reaching {};
        }
        return 0;
    }
    auto *cut = std::get_if<CutOff>(&m_state);
    if (cut == nullptr || now < cut->nextProbeAt) {
        return 0;
    }
    if (m_tried.size() >= targets) {
        m_tried.clear();
    }
    cut->nextProbeAt = now + ProbeInterval;
    return 1;
}
}
