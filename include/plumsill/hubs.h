#pragma once

#include <plumsill/clock.h>
#include <plumsill/roster.h>
#include <plumsill/types.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Election of the hub of each zone. Any daemon can be the hub; two hubs at the same time only reduce the quality of placements.
namespace plumsill
{
/// A daemon as it registered itself in the directory.
struct RegisteredDaemon {
    MemberId id;
    ZoneName zone;
    Endpoint peer;
    double capacity = 1; ///< CPU cores that the daemon may use
    StoreEra settledEra = 0; ///< era of the store that was settled when the entry was written; 0: none

    auto operator<=>(const RegisteredDaemon &) const = default;
};

/// Rank of a daemon in the hub election of a zone; the highest rank wins. A weighted rendezvous hash: a much
/// larger instance wins nearly always. A restart of the hub moves the role at most twice: to another daemon and back.
double hubRank(const ZoneName &zone, const RegisteredDaemon &daemon);

/// The registered daemons, and which of them are unresponsive or leaving.
class HubDirectory
{
public:
    explicit HubDirectory(RegisteredDaemon self);

    /// Replaces the registered daemons; with @p keepsMissing known ones that are missing stay. This daemon is always included.
    void setRegistered(std::vector<RegisteredDaemon> daemons, bool keepsMissing = false);
    /// Records a message from the daemon, which ends any suspicion. A newer incarnation replaces the registered one. So does a lower one
    /// if the registered one has been silent, since the daemon's time of day may have stepped back before its restart.
    void recordMessage(const MemberId &id, const Endpoint &peer, TimePoint now);
    /// Records that the daemon did not answer a request. It is suspected until a message from it arrives or 15 s have passed.
    void recordNoAnswer(const InstanceName &name, TimePoint now);
    /// Records that the daemon announced its shutdown. It is not chosen as a hub for 20 s unless it returns as a newer
    /// incarnation.
    void recordLeaving(const MemberId &id, TimePoint now);

    /// Hub of @p zone, which may be this daemon; none if all known daemons of the zone are suspected.
    std::optional<RegisteredDaemon> hub(const ZoneName &zone, TimePoint now) const;
    /// The hubs of all zones, without this daemon.
    std::vector<RegisteredDaemon> otherHubs(TimePoint now) const;
    /// Whether this daemon is the hub of its zone.
    bool isHub(TimePoint now) const;
    /// Unresponsive daemon that would be the hub of this zone if it answered; to be probed periodically.
    std::optional<RegisteredDaemon> unresponsiveHub(TimePoint now) const;
    /// Hash of the registered daemons: equal if the same daemons are registered under the same endpoints.
    std::uint32_t registryHash() const;
    const RegisteredDaemon &self() const { return m_self; }
    const std::vector<RegisteredDaemon> &registered() const { return m_daemons; }
    /// Zones of the registered daemons.
    std::set<ZoneName> zones() const;

private:
    bool suspected(const RegisteredDaemon &daemon, TimePoint now) const;

    struct Suspicion {
        TimePoint until;
        std::uint64_t incarnation = 0; ///< incarnation that announced its shutdown; 0: the daemon did not answer, and all its incarnations are suspected
    };

    RegisteredDaemon m_self;
    std::vector<RegisteredDaemon> m_daemons; ///< in descending order of rank
    std::map<InstanceName, Suspicion> m_suspected;
    std::map<InstanceName, TimePoint> m_lastMessageAt; ///< last message of the registered incarnation
    std::map<InstanceName, std::uint64_t> m_replaced; ///< incarnations that a lower one has replaced
};
}
