#pragma once

#include "clock_p.h"
#include "peer_p.h"
#include "snapshot_p.h"
#include "store_p.h"
#include "traffic_p.h"

#include <plumsill/burn.h>
#include <plumsill/environment.h>
#include <plumsill/health.h>
#include <plumsill/limits.h>
#include <plumsill/membership.h>
#include <plumsill/metrics.h>
#include <plumsill/ownership.h>
#include <plumsill/settings.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// The control thread: one state machine for each decision, and the glue that carries their effects out.
namespace plumsill
{
class Control;

/// What the platform's lists showed last.
struct PlatformLists {
    std::vector<ListedInstance> instances;
    std::vector<Target> targets;
    std::optional<TimePoint> readAt;
};

/// Membership and ownership, with their traffic over the peer port and the store.
class MembershipPart
{
public:
    MembershipPart(Control &control, Member self, std::vector<Endpoint> seeds);

    boost::asio::awaitable<void> run();
    void received(const Envelope &envelope);
    std::optional<Envelope> respond(const Envelope &request);

    Membership &membership() { return m_membership; }
    const Membership &membership() const { return m_membership; }
    const Ownership &ownership() const { return m_ownership; }
    bool acceptHandOver(const Envelope &envelope) { return m_ownership.acceptHandOver(envelope, RuntimeClock::now()); }

private:
    void carryOut(const MembershipEffects &effects);
    boost::asio::awaitable<void> readRoster();
    boost::asio::awaitable<void> writeRoster(WriteRoster write);
    boost::asio::awaitable<void> fetchRoster(FetchRoster fetch);

    Control &m_control;
    Membership m_membership;
    Ownership m_ownership;
};

/// The environment's document: read from the store or from peers.
class DocumentPart
{
public:
    explicit DocumentPart(Control &control);

    /// Watches the store while this daemon is one of the cell's watchers.
    boost::asio::awaitable<void> run();
    /// Reads the store once, for membership or a change that was seen; a failure shows in the next read.
    boost::asio::awaitable<void> readQuietly();
    /// A member's pulse or acknowledgement told of this document.
    void told(const MemberId &member, const DocumentStamp &stamp);
    std::optional<Envelope> respond(const Envelope &request);
    /// Takes membership's word on whether a newer document may exist.
    void confirm();
    const DocumentHolder &holder() const { return m_holder; }
    /// Indexes of the document held; null before the first.
    const boost::intrusive_ptr<const CompiledDocument> &compiled() const { return m_compiled; }

private:
    boost::asio::awaitable<bool> readFromStore();
    boost::asio::awaitable<void> watchStore();
    boost::asio::awaitable<void> watchUntilFailure(std::string key, std::uint64_t revision);
    boost::asio::awaitable<void> whileWatcher();
    boost::asio::awaitable<void> fetch(FetchDocument effect);
    void carryOut(const HolderEffects &effects);

    Control &m_control;
    DocumentHolder m_holder;
    boost::intrusive_ptr<const CompiledDocument> m_compiled;
};

/// Team limits: this daemon's grants, and the parts that it owns.
class LimitsPart
{
public:
    explicit LimitsPart(Control &control);

    boost::asio::awaitable<void> run();
    void requestToken(const TokenRequest &request);
    void received(const Envelope &envelope, const GrantRequest &request);
    void received(const Envelope &envelope, const Grant &grant);
    void received(const Envelope &envelope, const TokenReturn &returnTokens);
    void received(const Envelope &envelope, const HandOver &handOver);
    void documentChanged(const Document &before, const Document &after);
    void epochAdopted(std::uint64_t epoch);
    const LimitsHolder &holder() const { return m_holder; }
    const LimitsOwner &owner() const { return m_owner; }

private:
    struct Waiting {
        unsigned thread = 0;
        TeamName team;
    };

    void carryOut(const LimitsEffects &effects);
    void toOwner(const PartKey &key, Message message);
    void resolve(WaiterId waiter, const TokenAnswer &answer);
    std::optional<TeamLimits> limitsOf(const TeamName &team) const;
    void armLimitsChanges(TimePoint now);
    void giveUpParts(TimePoint now);
    void sendHandOvers(TimePoint now);

    Control &m_control;
    LimitsHolder m_holder;
    LimitsOwner m_owner;
    std::unordered_map<TeamName, TeamLimits> m_limits;
    std::unordered_map<WaiterId, Waiting> m_waiting;
    std::vector<HandOver> m_handOvers; ///< repeated until m_handOverUntil
    std::optional<TimePoint> m_handOverUntil; ///< none before the parts were given up
    TimePoint m_nextHandOver;
    std::vector<LimitsChange> m_changes; ///< of a document that a majority does not hold yet
    TimePoint m_nextArming;
};

/// Health of targets: this daemon's evidence and view, and the services that it judges.
class HealthPart
{
public:
    explicit HealthPart(Control &control);

    boost::asio::awaitable<void> run();
    void report(const TrafficReport &report);
    void received(const Envelope &envelope, const HealthDigest &digest);
    void received(const Envelope &envelope, const Verdict &verdict);
    void leavingTargetsReceived(const std::vector<LeavingTarget> &targets);
    void documentChanged(const Document &document);
    void listsChanged();
    void epochAdopted(std::uint64_t epoch) { m_local.recordEpoch(epoch); }
    std::vector<LeavingTarget> leavingTargetsForHeartbeat(TimePoint now) { return m_local.leavingTargetsForHeartbeat(now); }
    ServiceView view(const ServiceName &service, TimePoint now) const { return m_local.view(service, now); }

private:
    void judge(const MemberId &from, const HealthDigest &digest);
    void setTargets();
    void log(const HealthEvent &event) const;

    Control &m_control;
    LocalHealth m_local;
    HealthOwner m_owner;
    std::vector<ServiceName> m_services;
};

/// The control thread of one daemon.
class Control
{
public:
    Control(boost::asio::io_context &context, const Settings &settings, PeerPort &peers, Member self, std::vector<std::unique_ptr<TrafficThread>> &threads);

    // Children of the supervisor.
    boost::asio::awaitable<void> runMembership() { return m_membership.run(); }
    boost::asio::awaitable<void> runDocument() { return m_document.run(); }
    boost::asio::awaitable<void> runLimits() { return m_limits.run(); }
    boost::asio::awaitable<void> runHealth() { return m_health.run(); }
    boost::asio::awaitable<void> runLists();
    boost::asio::awaitable<void> runPublisher();

    // From the peer port.
    void received(const Envelope &envelope);
    std::optional<Envelope> respond(const Envelope &request);

    // From the traffic threads, on the control thread.
    void report(const TrafficReport &report);
    void requestToken(const TokenRequest &request) { m_limits.requestToken(request); }

    /// Planned stop: no new callers are expected, owned keys go to others.
    void startLeaving();
    bool ready(TimePoint now) const;
    boost::json::object status(TimePoint now);
    std::string metricsText(TimePoint now);
    /// Good and bad events of the last days, for the burn report.
    std::string historyText(TimePoint now) const;
    /// How many members of the epoch hold @p stamp or a later one.
    Holders holdersOf(const DocumentStamp &stamp);

    // For the parts.
    boost::asio::io_context &context() { return m_context; }
    const Settings &settings() const { return m_settings; }
    StoreConnection &store() { return m_store; }
    PeerPort &peers() { return m_peers; }
    MembershipPart &membership() { return m_membership; }
    DocumentPart &document() { return m_document; }
    LimitsPart &limits() { return m_limits; }
    HealthPart &health() { return m_health; }
    const PlatformLists &lists() const { return m_lists; }
    std::vector<std::unique_ptr<TrafficThread>> &threads() { return m_threads; }
    const Metrics &metrics() const { return m_metrics; }
    void send(const Endpoint &to, Message message);
    void documentAdopted(const Document &before, const HeldDocument &held);
    void epochAdopted(std::uint64_t epoch);
    void publishSoon() { m_publishDue = true; }

private:
    boost::asio::awaitable<bool> readLists();
    boost::asio::awaitable<void> fetchTargets();
    std::optional<Envelope> targetsReply() const;
    void recordServing(TimePoint now);
    void recordHistory(TimePoint now);
    void stopIfSuperseded();
    void publish(TimePoint now);

    boost::asio::io_context &m_context;
    const Settings &m_settings;
    PeerPort &m_peers;
    std::vector<std::unique_ptr<TrafficThread>> &m_threads;
    StoreConnection m_store;
    PlatformLists m_lists;
    Metrics m_metrics;
    BurnHistory m_history;
    TimePoint m_nextHistory;
    std::size_t m_fetches = 0;
    std::mt19937_64 m_random {std::random_device()()};
    std::uniform_real_distribution<double> m_jitter {0, 1};
    MembershipPart m_membership;
    DocumentPart m_document;
    LimitsPart m_limits;
    HealthPart m_health;
    std::unordered_map<ServiceName, std::shared_ptr<const ServiceView>> m_views;
    bool m_publishDue = true;
    bool m_leaving = false;
    TimePoint m_closeAt = TimePoint::max(); ///< set when the daemon is being stopped
    bool m_serving = false;
};
}
