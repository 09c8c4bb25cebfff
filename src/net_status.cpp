#include "control_p.h"

#include <boost/json/array.hpp>

namespace plumsill
{
namespace
{
const char *stateText(MemberState state)
{
    switch (state) {
    case MemberState::Starting:
        return "starting";
    case MemberState::Serving:
        return "serving";
    case MemberState::Leaving:
        return "leaving";
    }
    return "unknown";
}

boost::json::object documentStatus(const DocumentStamp &stamp, bool trusted)
{
    return {{"version", stamp.version}, {"digest", stamp.digest}, {"trusted", trusted}};
}

boost::json::array peerStatus(const Membership &membership, TimePoint now)
{
    boost::json::array list;
    for (const auto &peer : membership.peers(now)) {
        list.push_back({
            {"name", peer.member.id.name.value},
            {"zone", peer.member.zone.value},
            {"peer", toString(peer.member.peer)},
            {"admin", toString(peer.member.admin)},
            {"state", stateText(peer.state)},
            {"member", peer.inRoster},
            {"suspected", peer.suspected},
            {"epoch", peer.epoch},
            {"document", peer.document.version},
        });
    }
    return list;
}

boost::json::object serviceStatus(const ServiceView &view)
{
    boost::json::array targets;
    for (const auto &entry : view.targets) {
        targets.push_back({
            {"name", entry.target.name.value},
            {"endpoint", toString(entry.target.endpoint)},
            {"use", toString(entry.use)},
            {"weight", entry.weight},
        });
    }
    return {{"service", view.service.value}, {"slow_after_ms", seconds(view.slowAfter) * 1000}, {"targets", targets}};
}
}

boost::json::object Control::status(TimePoint now)
{
    const Membership &membership = m_membership.membership();
    boost::json::array services;
    if (m_document.compiled()) {
        for (const auto &service : m_document.compiled()->document->services) {
            services.push_back(serviceStatus(m_health.view(service.name, now)));
        }
    }
    const auto listAge = m_lists.readAt ? boost::json::value(seconds(now - *m_lists.readAt)) : boost::json::value(nullptr);
    return {
        {"instance", m_settings.instance.value},
        {"incarnation", membership.self().id.incarnation},
        {"zone", m_settings.zone.value},
        {"region", m_settings.region},
        {"environment", m_settings.environment},
        {"version", PLUMSILL_VERSION},
        {"state", stateText(membership.state())},
        {"ready", ready(now)},
        {"epoch", membership.epoch()},
        {"member", membership.isMember()},
        {"confirmed", membership.epochConfirmed(now)},
        {"document", documentStatus(m_document.holder().stamp(), m_document.holder().trusted(now))},
        {"platform_list_age_s", listAge},
        {"active_teams", m_limits.holder().activeTeams()},
        {"owned_parts", m_limits.owner().activeParts()},
        {"peers", peerStatus(membership, now)},
        {"services", services},
    };
}

std::string Control::metricsText(TimePoint now)
{
    const Membership &membership = m_membership.membership();
    const PeerCounters &peers = m_peers.counters();
    const auto number = [](auto value) { return static_cast<double>(value); };
    return m_metrics.prometheusText({
        {"plumsill_epoch", number(membership.epoch())},
        {"plumsill_epoch_confirmed", number(membership.epochConfirmed(now))},
        {"plumsill_members", number(membership.roster().members.size())},
        {"plumsill_document_version", number(m_document.holder().stamp().version)},
        {"plumsill_document_trusted", number(m_document.holder().trusted(now))},
        {"plumsill_active_teams", number(m_limits.holder().activeTeams())},
        {"plumsill_owned_parts", number(m_limits.owner().activeParts())},
        {"plumsill_peer_datagrams_sent", number(peers.datagramsSent)},
        {"plumsill_peer_datagrams_received", number(peers.datagramsReceived)},
        {"plumsill_peer_bytes_sent", number(peers.bytesSent)},
        {"plumsill_peer_bytes_received", number(peers.bytesReceived)},
        {"plumsill_peer_dropped", number(peers.dropped)},
    });
}

Holders Control::holdersOf(const DocumentStamp &stamp)
{
    const Membership &membership = m_membership.membership();
    Holders holders;
    holders.members = static_cast<unsigned>(membership.roster().members.size());
    holders.holding = membership.majorityHolds(stamp) ? holders.members / 2 + 1 : 0;
    return holders;
}
}
