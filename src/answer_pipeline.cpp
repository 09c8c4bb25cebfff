#include <plumsill/answer_pipeline.h>
#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
const AnswerPipeline::Entry *AnswerPipeline::find(RequestNumber request) const
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(), [request](const Entry &entry) { return entry.number == request; });
    return found == m_requests.end() ? nullptr : &*found;
}

RequestNumber AnswerPipeline::add(bool keepAlive)
{
    m_takesRequests = m_takesRequests && keepAlive;
    m_requests.push_back({++m_last, keepAlive, new AnswerOwnership});
    return m_last;
}

// The next answer, and whatever still waits for the turn of this one, are woken.
PipelineEffects AnswerPipeline::finish(RequestNumber request, bool complete, TimePoint now, Duration idleTimeout)
{
    std::erase_if(m_requests, [request](const Entry &entry) { return entry.number == request; });
    m_answeredBytes = complete ? m_writtenBytes : m_answeredBytes;
    PipelineEffects effects {WakeRequest {request}};
    if (!m_requests.empty()) {
        effects.emplace_back(WakeRequest {m_requests.front().number});
    } else if (m_reading == Reading::NextRequest && m_takesRequests) {
        m_readDeadline = now + idleTimeout;
    } else if (m_reading == Reading::NextRequest || m_reading == Reading::Ignored) {
        effects.emplace_back(CancelRead {});
    }
    return effects;
}

AnswerOwnershipPtr AnswerPipeline::ownership(RequestNumber request) const
{
    const Entry *entry = find(request);
    return entry == nullptr ? nullptr : entry->ownership;
}

bool AnswerPipeline::waits(RequestNumber request) const
{
    return !m_callerLeft && find(request) != nullptr && m_requests.front().number != request;
}

bool AnswerPipeline::mayWrite(RequestNumber request) const
{
    return !m_callerLeft && !m_requests.empty() && m_requests.front().number == request;
}

// While the daemon is stopping, requests that were read are answered, and the last of these answers closes the connection.
bool AnswerPipeline::keepsAlive(RequestNumber request, bool leaving)
{
    const Entry *entry = find(request);
    const bool keepAlive = entry != nullptr && entry->keepAlive;
    m_takesRequests = m_takesRequests && keepAlive && !leaving;
    const bool goesOn = keepAlive && (m_takesRequests || m_requests.size() > 1);
    m_endAnnounced = m_endAnnounced || !goesOn;
    return goesOn;
}

void AnswerPipeline::beginRead(Reading what, TimePoint deadline)
{
    m_reading = what;
    m_readDeadline = deadline;
    m_readExpired = false;
}

void AnswerPipeline::endRead()
{
    m_reading = Reading::Nothing;
    m_readDeadline = TimePoint::max();
}

void AnswerPipeline::shutDown(TimePoint now)
{
    m_shutDown = true;
    m_writeDeadline = now + config::BodyTimeout;
    beginRead(Reading::Ignored, now + config::CloseDrainTime);
}

// The end of a read never ends a write. It is cancelled at each check until it has ended, since a composed read may start its next operation after a
// cancellation. Bytes that arrive at a closed socket reset the connection, so one that is shut down is read until its answers are delivered.
PipelineEffects AnswerPipeline::check(const PipelineCheck &check)
{
    PipelineEffects effects;
    if (check.answersDue) {
        std::transform(m_requests.begin(), m_requests.end(), std::back_inserter(effects), [](const Entry &entry) { return ExpireRequest {entry.number}; });
    }
    if (check.now >= m_writeDeadline) {
        const PipelineEffects ended = reset();
        effects.insert(effects.end(), ended.begin(), ended.end());
        return effects;
    }
    if (check.callerClosed) {
        const PipelineEffects left = callerLeft();
        effects.insert(effects.end(), left.begin(), left.end());
    }
    if (m_shutDown && check.undeliveredBytes > 0) {
        m_readDeadline = check.now + config::CloseDrainTime;
    }
    const bool stopsReading = check.stopping && m_takesRequests && m_reading == Reading::NextRequest;
    m_takesRequests = m_takesRequests && !check.stopping;
    if (check.now >= m_readDeadline || stopsReading) {
        m_readExpired = true;
        effects.emplace_back(CancelRead {});
    }
    return effects;
}

// Nothing waits any longer, whoever is in front.
PipelineEffects AnswerPipeline::callerLeft()
{
    m_takesRequests = false;
    if (m_callerLeft) {
        return {};
    }
    m_callerLeft = true;
    PipelineEffects effects;
    std::transform(m_requests.begin(), m_requests.end(), std::back_inserter(effects), [](const Entry &entry) { return AbandonRequest {entry.number}; });
    return effects;
}

PipelineEffects AnswerPipeline::reset()
{
    PipelineEffects effects {ResetConnection {}};
    const PipelineEffects left = callerLeft();
    effects.insert(effects.end(), left.begin(), left.end());
    return effects;
}
}
