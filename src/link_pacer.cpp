#include <plumsill/link_pacer.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
std::size_t LinkPacer::chunkBytes() const
{
    const double bytes = m_rate ? *m_rate * seconds(config::PacedChunkTime) : static_cast<double>(config::MaxPacedChunkBytes);
    return static_cast<std::size_t>(std::clamp(bytes, static_cast<double>(config::MinPacedChunkBytes), static_cast<double>(config::MaxPacedChunkBytes)));
}

FlowId LinkPacer::open()
{
    m_flows.emplace(++m_lastFlow, Flow {m_virtualTime, 0});
    return m_lastFlow;
}

void LinkPacer::close(FlowId flow)
{
    withdraw(flow);
    m_flows.erase(flow);
}

void LinkPacer::withdraw(FlowId flow)
{
    std::erase_if(m_waiting, [flow](const Waiting &waiting) { return waiting.flow == flow; });
    const auto found = m_flows.find(flow);
    if (found != m_flows.end()) {
        found->second.bytes = 0;
    }
}

// A flow that was idle starts at the virtual time of the present, so that it has no credit for the time in which it sent nothing.
void LinkPacer::request(FlowId flow, std::size_t bytes)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.bytes > 0 || bytes == 0) {
        return;
    }
    found->second.bytes = std::min(bytes, chunkBytes());
    m_waiting.insert({std::max(m_virtualTime, found->second.finish), flow});
}

// The link is never busy for longer than config::MaxLinkBacklog, so that a wrong rate or a step of the clock can't hold large answers back for long. Time in
// which nothing was sent gives no credit.
void LinkPacer::occupy(double bytes, TimePoint now)
{
    const TimePoint from = std::clamp(m_busyUntil, now, now + config::MaxLinkBacklog);
    m_busyUntil = std::min<TimePoint>(from + fromSeconds(bytes / *m_rate), now + config::MaxLinkBacklog);
}

void LinkPacer::addUnpaced(std::size_t bytes, TimePoint now)
{
    m_sentBytes += bytes;
    if (m_rate) {
        occupy(static_cast<double>(bytes), now);
    }
}

// Large answers progress also while small ones fill the link.
TimePoint LinkPacer::dueAt() const
{
    const Duration longestWait = timeFor(static_cast<double>(chunkBytes()) / config::MinPacedShare);
    return std::min<TimePoint>(m_busyUntil - config::PacedAhead, m_lastGrantAt + longestWait);
}

std::optional<LinkGrant> LinkPacer::next(TimePoint now)
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    const bool clockSteppedBack = m_busyUntil > now + config::MaxLinkBacklog;
    if (m_rate && !clockSteppedBack && now < dueAt()) {
        return std::nullopt;
    }
    const Waiting first = *m_waiting.begin();
    m_waiting.erase(m_waiting.begin());
    Flow &flow = m_flows.at(first.flow);
    const LinkGrant grant {first.flow, flow.bytes};
    m_virtualTime = first.start;
    flow.finish = first.start + static_cast<double>(grant.bytes);
    flow.bytes = 0;
    m_lastGrantAt = now;
    m_sentBytes += grant.bytes;
    if (m_rate) {
        occupy(static_cast<double>(grant.bytes), now);
    }
    return grant;
}

std::optional<TimePoint> LinkPacer::wakeAt() const
{
    return m_waiting.empty() ? std::nullopt : std::optional(dueAt());
}

Duration LinkPacer::backlog(TimePoint now) const
{
    return std::clamp<Duration>(m_busyUntil - now, Duration::zero(), config::MaxLinkBacklog);
}
}
