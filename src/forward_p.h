#pragma once

#include "session_p.h"
#include "traffic_p.h"

#include <string>
#include <variant>
#include <vector>

namespace plumsill
{
/// A request's route and the team whose key came with it.
struct Access {
    Route route;
    TeamName team; ///< empty on routes open to all
    std::string key; ///< as presented; empty: none
};

using AccessResult = std::variant<Access, Refusal>;

/// Finds the route, and the team by its key, in the newest snapshot.
AccessResult checkAccess(const Snapshot &snapshot, const CallerRequestHeader &header, TimePoint now);
/// Whether the key still lets the request in; asked again just before it is sent.
std::optional<Refusal> recheckAccess(const Snapshot &snapshot, const Access &access, TimePoint now);
/// Earlier of the route's timeout and the caller's own deadline.
TimePoint requestDeadline(const Route &route, const CallerRequestHeader &header, TimePoint now);

using ForwardResult = std::variant<TargetAnswer, StreamedAnswer, AbortCaller>;

/// Carries one request to a target and brings its answer.
class Forwarder
{
public:
    Forwarder(TrafficThread &thread, const Access &access, const CallerRequest &request, const std::string &callerAddress, const AnswerSink *sink,
              AttemptHandle &handle);

    boost::asio::awaitable<ForwardResult> run();

private:
    boost::asio::awaitable<std::optional<Refusal>> admit();
    boost::asio::awaitable<ForwardResult> forward();
    /// What the caller gets after an attempt; nothing when another attempt is due.
    std::optional<ForwardResult> conclude(ServiceDispatch &dispatch, AttemptResult &result);
    boost::asio::awaitable<AttemptResult> attempt(ServiceDispatch &dispatch, TargetLease &lease);
    void noteEvidence(TargetLease &lease, const AttemptResult &result, Duration latency, Duration slowAfter, bool countedSlow);
    TargetEvidence &evidence(const TargetName &target);
    ForwardResult refuse(const Refusal &refusal);
    ForwardResult giveUp(const GiveUp &answer);
    ForwardResult giveUpWithout(const NoTarget &none);
    ForwardResult passOn(HeldAnswer held);
    TrafficCounts &counts();

    TrafficThread &m_thread;
    const Access &m_access;
    const AnswerSink *m_sink;
    AttemptHandle &m_handle;
    const TimePoint m_start;
    const TimePoint m_deadline;
    TargetRequest m_request;
    RequestAttempts m_attempts;
    std::vector<TargetName> m_tried;
};
}
