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

/// The control thread of a daemon in a cell. It runs the decision modules, which are state machines without I/O, and
/// carries out the effects that they return.
namespace plumsill
{
class Control;

/// The platform's listing of instances and targets as last read.
struct PlatformLists {
    std::vector<ListedInstance> instances;
    std::vector<Target> targets;
    std::optional<TimePoint> readAt; ///< when the listing was read; none before the first read
};

/// Runs the Membership and Ownership modules: sends their messages to peers and makes their calls to the store.
class MembershipControl
{
public:
    MembershipControl(Control &control, Member self, std::vector<Endpoint> seeds);

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

/// The environment's document, read from the store or from peers.
class DocumentControl
{
public:
    explicit DocumentControl(Control &control);

    /// Watches the store for changes of the document while this daemon is one of the cell's watchers.
    boost::asio::awaitable<void> run();
    /// Reads the document from the store once, when membership requests it or the watch shows a change. A failure is
    /// ignored, because a later read tries again.
    boost::asio::awaitable<void> refresh();
    /// Handles the stamp of the document that a member holds, from its heartbeat or acknowledgement.
    void documentReported(const MemberId &member, const DocumentStamp &stamp);
    std::optional<Envelope> respond(const Envelope &request);
    /// Extends the time for which this daemon's document is trusted. It ends DocumentTrustLifetime after the latest
    /// time at which a majority of the members knew no newer document.
    void confirm();
    const DocumentHolder &holder() const { return m_holder; }
    /// The document held, with its indexes; null before the first document.
    const boost::intrusive_ptr<const CompiledDocument> &compiled() const { return m_compiled; }

private:
    boost::asio::awaitable<bool> readFromStore();
    boost::asio::awaitable<void> watchStore();
    boost::asio::awaitable<void> watchUntilFailure(std::string key, std::uint64_t revision);
    boost::asio::awaitable<void> refreshWhileWatcher();
    boost::asio::awaitable<void> fetch(FetchDocument effect);
    void carryOut(const HolderEffects &effects);

    Control &m_control;
    DocumentHolder m_holder;
    boost::intrusive_ptr<const CompiledDocument> m_compiled;
};

/// Team limits: the token grants that this daemon holds, and the parts of the teams' token buckets that it owns.
class LimitsControl
{
public:
    explicit LimitsControl(Control &control);

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
    /// A request that waits for a token.
    struct WaitingRequest {
        unsigned thread = 0;
        TeamName team;
    };

    void carryOut(const LimitsEffects &effects);
    void sendToOwner(const PartKey &key, Message message);
    void resolve(WaiterId waiter, const TokenAnswer &answer);
    std::optional<TeamLimits> limitsOf(const TeamName &team) const;
    void applyLimitsChanges(TimePoint now);
    void prepareHandOvers(TimePoint now);
    void sendHandOvers(TimePoint now);

    Control &m_control;
    LimitsHolder m_holder;
    LimitsOwner m_owner;
    std::unordered_map<TeamName, TeamLimits> m_limits;
    std::unordered_map<WaiterId, WaitingRequest> m_waiting;
    std::vector<HandOver> m_handOvers; ///< balances of parts for their new owners; sent repeatedly until m_handOverUntil
    std::optional<TimePoint> m_handOverUntil; ///< none before the first adopted epoch
    TimePoint m_nextHandOverAt;
    std::vector<LimitsChange> m_changes; ///< changes of team limits in the current document; cleared when a majority holds that document
    TimePoint m_nextLimitsChangeAt;
};

/// Health of targets: the evidence that this daemon gathers, its view of which targets to use, and, for the services
/// that it owns, the decisions (verdicts) which targets are ejected.
class HealthControl
{
public:
    explicit HealthControl(Control &control);

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
    void evaluateDigest(const MemberId &from, const HealthDigest &digest);
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

    // Coroutines that run as children of the supervisor.
    boost::asio::awaitable<void> runMembership() { return m_membership.run(); }
    boost::asio::awaitable<void> runDocument() { return m_document.run(); }
    boost::asio::awaitable<void> runLimits() { return m_limits.run(); }
    boost::asio::awaitable<void> runHealth() { return m_health.run(); }
    boost::asio::awaitable<void> runLists();
    boost::asio::awaitable<void> runPublisher();

    // Called by the peer port.
    void received(const Envelope &envelope);
    std::optional<Envelope> respond(const Envelope &request);

    // Called on the control thread for the traffic threads.
    void report(const TrafficReport &report);
    void requestToken(const TokenRequest &request) { m_limits.requestToken(request); }

    /// Starts a graceful shutdown (planned stop): the daemon takes no new callers. It hands over to other members its
    /// parts of the teams' token buckets and the services whose target health it decides on.
    void startLeaving();
    bool ready(TimePoint now) const;
    boost::json::object status(TimePoint now);
    std::string metricsText(TimePoint now);
    /// History of good and bad events over the last days as JSON, for the burn report.
    std::string historyText(TimePoint now) const;
    /// Tells whether a majority of the epoch's members holds @p stamp or a later version. The returned number of
    /// holders is not exact: it is the smallest majority if a majority holds the document, and otherwise 0.
    Holders holdersOf(const DocumentStamp &stamp);

    // Used by MembershipControl, DocumentControl, LimitsControl and HealthControl.
    boost::asio::io_context &context() { return m_context; }
    const Settings &settings() const { return m_settings; }
    StoreConnection &store() { return m_store; }
    PeerPort &peers() { return m_peers; }
    MembershipControl &membership() { return m_membership; }
    DocumentControl &document() { return m_document; }
    LimitsControl &limits() { return m_limits; }
    HealthControl &health() { return m_health; }
    const PlatformLists &lists() const { return m_lists; }
    std::vector<std::unique_ptr<TrafficThread>> &threads() { return m_threads; }
    const Metrics &metrics() const { return m_metrics; }
    void send(const Endpoint &to, Message message);
    void documentAdopted(const Document &before, const HeldDocument &held);
    void epochAdopted(std::uint64_t epoch);
    void requestPublish() { m_publishDue = true; }

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
    RejectedEntries m_rejectedTargets;
    Metrics m_metrics;
    BurnHistory m_history;
    TimePoint m_nextHistoryAt;
    std::size_t m_targetFetches = 0;
    std::mt19937_64 m_random {std::random_device()()};
    std::uniform_real_distribution<double> m_jitter {0, 1};
    MembershipControl m_membership;
    DocumentControl m_document;
    LimitsControl m_limits;
    HealthControl m_health;
    std::unordered_map<ServiceName, std::shared_ptr<const ServiceView>> m_views;
    bool m_publishDue = true;
    bool m_leaving = false;
    TimePoint m_closeAt = TimePoint::max(); ///< time from which connections take no further request; set at a planned stop
    bool m_serving = false;
};
}
