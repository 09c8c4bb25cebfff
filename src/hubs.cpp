#include <plumsill/hubs.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
namespace
{
using namespace std::chrono_literals;

// An unresponsive daemon is not chosen as a hub until a message from it arrives or this time has passed.
constexpr auto SuspicionTime = 15s;
// A daemon that announced its shutdown is not chosen as a hub for this time. It has ended by then, and can only return as
// a newer incarnation.
constexpr auto LeavingTime = 20s;
// An incarnation that has sent nothing for this time may have been replaced by a lower one: longer than datagrams are delayed, and
// shorter than a restart takes.
constexpr auto IncarnationSilence = 1s;
// Exponent of the capacity in a daemon's weight. A hub's work grows with its zone, so a small instance becomes the hub only
// where no larger one answers, however many small ones there are: one of five times the size outweighs 15,000 of them.
constexpr double HubWeightExponent = 6;
}

double hubRank(const ZoneName &zone, const RegisteredDaemon &daemon)
{
    const std::string text = zone.value + '/' + daemon.id.name.value;
    const double unit = (static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 11) + 0.5) / 9007199254740992.0;
    return -std::pow(daemon.capacity, HubWeightExponent) / std::log(unit);
}

HubDirectory::HubDirectory(RegisteredDaemon self)
    : m_self(std::move(self))
    , m_daemons {m_self}
{ }

void HubDirectory::setRegistered(std::vector<RegisteredDaemon> daemons, bool keepsMissing)
{
    const auto isSelf = [this](const RegisteredDaemon &daemon) { return daemon.id.name == m_self.id.name; };
    std::erase_if(daemons, isSelf);
    daemons.push_back(m_self);
    // A daemon that restarts keeps its entry, so the entry may show an earlier incarnation than its messages.
    std::map<InstanceName, const RegisteredDaemon *> known;
    for (const auto &daemon : m_daemons) {
        known.emplace(daemon.id.name, &daemon);
    }
    for (auto &daemon : daemons) {
        const auto found = known.find(daemon.id.name);
        const auto replaced = m_replaced.find(daemon.id.name);
        const bool outdated = replaced != m_replaced.end() && replaced->second == daemon.id.incarnation;
        if (found != known.end() && (outdated || found->second->id.incarnation > daemon.id.incarnation)) {
            daemon = *found->second;
        }
        known.erase(daemon.id.name);
    }
    for (const auto &[name, missing] : known) {
        if (keepsMissing) {
            daemons.push_back(*missing);
        }
    }
    std::sort(daemons.begin(), daemons.end(), [](const RegisteredDaemon &a, const RegisteredDaemon &b) {
        return std::pair(-hubRank(a.zone, a), a.id.name) < std::pair(-hubRank(b.zone, b), b.id.name);
    });
    m_daemons = std::move(daemons);
}

void HubDirectory::recordMessage(const MemberId &id, const Endpoint &peer, TimePoint now)
{
    const auto known = std::find_if(m_daemons.begin(), m_daemons.end(), [&id](const RegisteredDaemon &daemon) { return daemon.id.name == id.name; });
    if (known != m_daemons.end() && known->id != id) {
        const auto lastMessage = m_lastMessageAt.find(id.name);
        const bool silent = lastMessage == m_lastMessageAt.end() || now - lastMessage->second >= IncarnationSilence;
        if (known->id.incarnation < id.incarnation || silent) {
            if (known->id.incarnation > id.incarnation) {
                m_replaced[id.name] = known->id.incarnation;
                m_suspected.erase(id.name);
            }
            known->id = id;
            known->peer = peer;
        }
    }
    if (known != m_daemons.end() && known->id == id) {
        m_lastMessageAt[id.name] = now;
    }
    const auto found = m_suspected.find(id.name);
    const bool stillLeaving = found != m_suspected.end() && found->second.incarnation >= id.incarnation && found->second.until > now;
    if (found != m_suspected.end() && !stillLeaving) {
        m_suspected.erase(found);
    }
}

void HubDirectory::recordNoAnswer(const InstanceName &name, TimePoint now)
{
    Suspicion &suspicion = m_suspected[name];
    suspicion.until = std::max<TimePoint>(suspicion.until, now + SuspicionTime);
}

void HubDirectory::recordLeaving(const MemberId &id, TimePoint now)
{
    m_suspected[id.name] = {now + LeavingTime, id.incarnation};
}

bool HubDirectory::suspected(const RegisteredDaemon &daemon, TimePoint now) const
{
    const auto found = m_suspected.find(daemon.id.name);
    if (found == m_suspected.end() || found->second.until <= now) {
        return false;
    }
    return found->second.incarnation == 0 || found->second.incarnation >= daemon.id.incarnation;
}

std::optional<RegisteredDaemon> HubDirectory::hub(const ZoneName &zone, TimePoint now) const
{
    const auto found
        = std::find_if(m_daemons.begin(), m_daemons.end(), [&](const RegisteredDaemon &daemon) { return daemon.zone == zone && !suspected(daemon, now); });
    return found == m_daemons.end() ? std::nullopt : std::optional(*found);
}

bool HubDirectory::isHub(TimePoint now) const
{
    const auto found = hub(m_self.zone, now);
    return found && found->id.name == m_self.id.name;
}

std::optional<RegisteredDaemon> HubDirectory::unresponsiveHub(TimePoint now) const
{
    for (const auto &daemon : m_daemons) {
        if (daemon.zone != m_self.zone) {
            continue;
        }
        if (!suspected(daemon, now)) {
            return std::nullopt;
        }
        if (m_suspected.at(daemon.id.name).incarnation == 0) {
            return daemon;
        }
    }
    return std::nullopt;
}

std::uint32_t HubDirectory::registryHash() const
{
    std::uint32_t sum = 0;
    for (const auto &daemon : m_daemons) {
        const std::string text = daemon.id.name.value + '@' + toString(daemon.peer);
        sum ^= static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
    }
    return sum;
}

std::set<ZoneName> HubDirectory::zones() const
{
    std::set<ZoneName> zones;
    for (const auto &daemon : m_daemons) {
        zones.insert(daemon.zone);
    }
    return zones;
}

std::vector<RegisteredDaemon> HubDirectory::otherHubs(TimePoint now) const
{
    std::vector<RegisteredDaemon> hubs;
    for (const auto &zone : zones()) {
        const auto found = hub(zone, now);
        if (found && found->id.name != m_self.id.name) {
            hubs.push_back(*found);
        }
    }
    return hubs;
}
}
