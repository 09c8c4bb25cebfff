#include <plumsill/list_relay.h>

namespace plumsill
{
ListReply listReply(const TargetList &list, const MemberId &self, const ListRequest &request, TimePoint now)
{
    ListReply reply;
    reply.incarnation = self.incarnation;
    reply.revision = list.revision();
    reply.ageMilliseconds = list.readAt() ? millisecondsRoundedUp(now - *list.readAt()) : 0;
    reply.graceMilliseconds = wholeMilliseconds(list.graceLeft(now));
    reply.era = list.era();
    auto changes = request.incarnation == self.incarnation ? list.changesSince(request.revision) : std::nullopt;
    reply.full = !changes.has_value();
    if (changes) {
        reply.targets = std::move(changes->changed);
        reply.removed = std::move(changes->removed);
    } else {
        reply.targets = list.targets();
    }
    return reply;
}

ListRequest RelayedList::request(const InstanceName &daemon) const
{
    const bool held = m_source && m_source->daemon.name == daemon;
    return held ? ListRequest {m_source->daemon.incarnation, m_source->revision} : ListRequest {};
}

bool RelayedList::apply(const InstanceName &daemon, const ListReply &reply)
{
    const MemberId from {daemon, reply.incarnation};
    if (!reply.full && (!m_source || m_source->daemon != from)) {
        return false;
    }
    if (reply.full) {
        m_targets.clear();
    }
    for (const auto &name : reply.removed) {
        m_targets.erase(name);
    }
    for (const auto &target : reply.targets) {
        m_targets.insert_or_assign(target.name, target);
    }
    m_source = ListSource {from, reply.revision};
    return true;
}
}
