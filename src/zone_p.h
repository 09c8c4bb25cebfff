#pragma once

#include "clock_p.h"
#include "directory_port_p.h"
#include "peer_p.h"
#include "snapshot_p.h"
#include "traffic_p.h"

#include <plumsill/config.h>
#include <plumsill/document_freshness.h>
#include <plumsill/hubs.h>
#include <plumsill/list_relay.h>
#include <plumsill/metrics.h>
#include <plumsill/quota.h>
#include <plumsill/scheduler.h>
#include <plumsill/settings.h>
#include <plumsill/target_list.h>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Control thread of a daemon that works under its zone's scheduler, and can be that scheduler itself.
namespace plumsill
{
/// Membership, document, targets and placements of one daemon; used by its control thread alone.
class ZoneControl
{
public:
    ZoneControl(boost::asio::io_context &context, const Settings &settings, DirectoryPort directory, PeerPort &peers, RegisteredDaemon self,
                std::vector<std::unique_ptr<TrafficThread>> &threads);

    // Children of the supervisor.
    boost::asio::awaitable<void> runRegistry();
    boost::asio::awaitable<void> runReader();
    boost::asio::awaitable<void> runHeartbeats();
    boost::asio::awaitable<void> runDigests();
    boost::asio::awaitable<void> runPublisher();

    // From the peer port.
    void received(const Envelope &envelope);
    std::optional<Envelope> respond(const Envelope &request);

    // From the traffic threads, on the control thread.
    void report(const TrafficReport &report) { m_metrics.add(report); }
    void requestPlacement(ThreadPlacementRequest wish);
    void cancelRequest(std::uint64_t id);
    void attemptEnded(const AttemptReport &report);

    /// Takes over what changed in the settings; false where some of it needs a restart.
    bool reload(const Settings &settings);
    /// Time that a planned stop may take.
    Duration stopGrace() const { return m_settings.bounds.stopGrace; }
    /// Planned stop: the balancer and the other daemons learn of it.
    boost::asio::awaitable<void> leave();
    /// Takes its entry out of the registry; returns once that is done or has failed.
    boost::asio::awaitable<void> withdraw();
    bool ready(TimePoint now) const;
    std::string metricsText(TimePoint now) const;

private:
    /// A request that waits for its placement.
    struct Pending {
        ThreadPlacementRequest wish;
        std::unique_ptr<RuntimeTimer> timer;
        std::optional<MemberId> hub; ///< who was asked; none: this daemon
        unsigned asks = 0; ///< of that one
        unsigned hubs = 0; ///< that left it without an answer
        bool queued = false;
    };

    /// Tokens that this daemon gave out by itself, and in how many heartbeats they are still told.
    struct ToldTokens {
        std::uint32_t taken = 0;
        unsigned beats = 0;
    };

    /// An attempt that this daemon has running.
    struct Running {
        RunningAttempt attempt;
        TimePoint startedAt;
        bool placedHere = false;
    };

    /// A daemon that asks this one.
    struct MemberRecord {
        Endpoint peer;
        TimePoint lastReceivedAt;
        std::uint64_t heartbeatSentAt = 0;
        TimePoint heartbeatAt;
        std::map<std::uint32_t, std::uint32_t> taken; ///< tokens that it told of, by team
    };

    /// What another scheduler told last.
    struct HubRecord {
        Endpoint peer;
        ZoneName zone;
        SchedulerDemand demand;
        std::map<std::uint32_t, std::uint32_t> taken; ///< tokens that it told of, by team
        TimePoint lastReceivedAt;
        std::uint64_t sentAt = 0; ///< to be echoed
        bool readsStore = false; ///< by itself, not through others
    };

    // Registry and reads.
    boost::asio::awaitable<void> readRegistry();
    boost::asio::awaitable<bool> readDocument();
    boost::asio::awaitable<bool> readTargets();
    boost::asio::awaitable<void> fetchDocument(std::optional<Endpoint> from);
    boost::asio::awaitable<void> fetchDocumentFrom(Endpoint from);
    boost::asio::awaitable<void> fetchTargets(Endpoint from, InstanceName daemon);
    bool readsForFleet(TimePoint now) const;
    void adopt(const DocumentRead &read, const std::string &from);
    void listChanged(const std::string &from);
    void recordProof(const DocumentProof &proof, TimePoint writtenAt, const Endpoint &from);
    void recordList(const ListProof &proof, TimePoint writtenAt, const MemberId &daemon, const Endpoint &from);
    DocumentProof documentProof(TimePoint now) const;
    ListProof listProof(TimePoint now) const;
    void recordStoreResult(bool reached, const char *call, const std::string &reason);
    template<class Value>
    void recordStoreResult(const char *call, const DirectoryResult<Value> &result)
    {
        recordStoreResult(result.has_value(), call, result ? "" : toString(result.error()));
    }

    // Placement.
    void askHub(std::uint64_t id);
    void askHere(std::uint64_t id);
    void askTimedOut(std::uint64_t id);
    void askAgain(const MemberId &hub);
    bool knownToLeave(const Placed &placed) const;
    void deliver(std::uint64_t id, const Placement &placement, bool here);
    void sendLate();
    void reply(const Endpoint &to, std::uint64_t id, const Placement &placement);
    void received(const Envelope &envelope, const PlaceRequest &request);
    void received(const Envelope &envelope, const PlaceReply &reply);
    void received(const Envelope &envelope, const MemberHeartbeat &heartbeat);
    void received(const Envelope &envelope, const HubBeacon &beacon);
    void received(const Envelope &envelope, const HubDigest &digest);
    std::optional<RegisteredDaemon> hub(TimePoint now) const { return m_hubs.hub(m_settings.zone, now); }
    bool isSelf(const RegisteredDaemon &daemon) const { return daemon.id.name == m_self.id.name; }
    bool acting(TimePoint now) const;
    void hubUnresponsive(const RegisteredDaemon &hub, TimePoint now);

    // Talk between schedulers and members.
    void sendHeartbeat(const RegisteredDaemon &to, TimePoint now);
    std::vector<TokensTaken> recentlyTaken();
    void recordTaken(MemberRecord &record, const MemberHeartbeat &heartbeat, TimePoint now);
    double largestPool(TimePoint now);
    bool young(TimePoint now) const;
    void sendBeacon(const MemberRecord &record, TimePoint now);
    void sendBeacons(TimePoint now);
    void sendDigests(TimePoint now);
    /// What all other schedulers are told alike.
    HubDigest ownDigest(TimePoint now);
    std::vector<HubLoads> ownLoads(TimePoint now) const;
    void sendDigest(const RegisteredDaemon &to, HubDigest digest, TimePoint now);
    /// Calls @p visit with each other scheduler whose last digest still holds.
    template<class Visit>
    void forEachLiveHub(TimePoint now, Visit visit) const
    {
        for (const auto &[id, hub] : m_otherHubs) {
            if (now - hub.lastReceivedAt < config::HubDigestLifetime) {
                visit(id, hub);
            }
        }
    }
    void recordRegistry(std::uint32_t hash, TimePoint now);
    void updateShares(TimePoint now);
    void recordTaken(HubRecord &record, const HubDigest &digest, TimePoint now);
    void recordHub(TimePoint now);
    SchedulerDemand ownDemand(TimePoint now) const;
    void send(const Endpoint &to, Message message);
    Envelope envelope(Message message) const;
    void publish(TimePoint now);
    TimePoint trustedUntil() const;

    boost::asio::io_context &m_context;
    Settings m_settings;
    PeerPort &m_peers;
    std::vector<std::unique_ptr<TrafficThread>> &m_threads;
    RegisteredDaemon m_self;
    DirectoryPort m_directory;
    HubDirectory m_hubs;
    DocumentFreshness m_documentFreshness;
    TargetList m_list;
    Scheduler m_scheduler;
    Metrics m_metrics;
    DocumentRead m_document;
    boost::intrusive_ptr<const CompiledDocument> m_compiled;
    RelayedList m_relayed;
    std::optional<ListSource> m_listSource; ///< none: read by this daemon
    bool m_fetchingDocument = false;
    bool m_fetchingTargets = false;
    bool m_storeReached = true;
    unsigned m_rejectedTargets = 0;
    std::map<std::uint64_t, Pending> m_pending;
    std::map<std::uint64_t, Running> m_running;
    std::map<MemberId, MemberRecord> m_members;
    std::map<MemberId, HubRecord> m_otherHubs;
    std::map<InstanceName, unsigned> m_unansweredDigests;
    std::map<TeamName, ToldTokens> m_toldTokens;
    std::optional<TimePoint> m_actingSince; ///< since when this daemon schedules for others or may be asked to
    std::optional<MemberId> m_hub; ///< asked last
    TimePoint m_hubListAt; ///< when the read was sent that its list of targets rests on
    TimePoint m_hubReceivedAt;
    TimePoint m_nextProbe;
    TimePoint m_nextRegistryRead;
    TimePoint m_registryReadAt;
    unsigned m_registryReads = 0;
    TimePoint m_nextListRead;
    std::optional<TimePoint> m_storeReadAt; ///< when this daemon's last good read of the list of targets was sent
    std::optional<TimePoint> m_publishedAt; ///< none: not yet
    std::mt19937_64 m_random {std::random_device()()};
    std::uint64_t m_localPlacements = 0;
    std::uint64_t m_hubPlacements = 0;
    bool m_leaving = false;
    TimePoint m_closeAt = TimePoint::max(); ///< set when the daemon is being stopped
    TimePoint m_answerBy = TimePoint::max(); ///< likewise
    bool m_withdrawing = false;
    bool m_withdrawn = false;
    bool m_enrolled = false;
    bool m_entryDue = false; ///< its entry in the registry is out of date
    bool m_registryRead = false;
};
}
