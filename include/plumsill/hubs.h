#pragma once

#include <plumsill/clock.h>
#include <plumsill/roster.h>
#include <plumsill/types.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Which daemon schedules for its zone. Any daemon can; two at once cost quality, and break nothing.
namespace plumsill
{
/// A daemon as it registered itself in the platform's service.
struct RegisteredDaemon {
    MemberId id;
    ZoneName zone;
    Endpoint peer;
    double capacity = 1; ///< cores that it may use

    auto operator<=>(const RegisteredDaemon &) const = default;
};

/// Order in which daemons of a zone are asked to schedule: weighted rendezvous hash, so larger instances come first
/// more often and a restart moves the role twice at most.
double hubRank(const ZoneName &zone, const RegisteredDaemon &daemon);

/// The registered daemons and which of them are silent.
class HubDirectory
{
public:
    explicit HubDirectory(RegisteredDaemon self);

    void setRegistered(std::vector<RegisteredDaemon> daemons);
    /// Something came from the daemon: it lives. A new incarnation replaces the registered one.
    void heard(const MemberId &id, const Endpoint &peer, TimePoint now);
    /// It left a question without an answer.
    void silent(const InstanceName &name, TimePoint now);
    /// It told that it is stopping.
    void leaving(const MemberId &id, TimePoint now);

    /// Daemon of @p zone to ask, this one included; none when no other than suspected ones are known.
    std::optional<RegisteredDaemon> hub(const ZoneName &zone, TimePoint now) const;
    /// The hub of each zone but this daemon, and in its own zone any daemon ranked above it.
    std::vector<RegisteredDaemon> otherHubs(TimePoint now) const;
    bool isHub(TimePoint now) const;
    /// Silent daemon that would schedule for this zone if it lived; to be asked now and then.
    std::optional<RegisteredDaemon> unresponsiveHub(TimePoint now) const;
    /// Equal where the same daemons are registered under the same endpoints.
    std::uint32_t registryHash() const;
    const RegisteredDaemon &self() const { return m_self; }
    const std::vector<RegisteredDaemon> &registered() const { return m_daemons; }
    std::set<ZoneName> zones() const;

private:
    bool suspected(const RegisteredDaemon &daemon, TimePoint now) const;

    struct Suspicion {
        TimePoint until;
        std::uint64_t incarnation = 0; ///< zero: of any
    };

    RegisteredDaemon m_self;
    std::vector<RegisteredDaemon> m_daemons; ///< by rank, the highest first
    std::map<InstanceName, Suspicion> m_suspected;
};
}
