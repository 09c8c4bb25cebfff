#pragma once

#include <plumsill/limits.h>

#include <list>

namespace plumsill
{
/// Context of one call of the holder.
struct LimitsCall {
    TimePoint now;
    std::uint64_t &nextId;
    LimitsEffects effects;
};

/// Tokens and waiting requests of one team at a holder.
class LimitsHolder::Team
{
public:
    Team(TeamName name, const TeamLimits &limits, std::uint64_t seed, unsigned maxParts, TimePoint now);

    void setLimits(const TeamLimits &limits);
    void acquireToken(WaiterId waiter, TimePoint deadline, LimitsCall &call);
    void cancel(WaiterId waiter);
    void onGrant(const Grant &grant, bool stale, LimitsCall &call);
    void tick(LimitsCall &call);
    void release(LimitsCall &call);

    const TeamAllowancePtr &allowance() const { return m_allowance; }
    /// No request waits, no grant is held or has to be reported, and there is no demand.
    bool idle() const;
    /// Earliest time at which a delayed token becomes valid, if any.
    std::optional<TimePoint> nextDue() const;

    bool active = false; ///< the team is in the holder's list of teams with demand or tokens

private:
    struct Waiter {
        WaiterId id = 0;
        TimePoint deadline;
        TimePoint ownerDeadline; ///< earlier deadline that applies while no owner has answered
    };
    /// Waiting requests that share a grant request. A batch without waiters prefetches tokens. If the team's bucket has several
    /// parts, the batch requests tokens from the owner of one part after the other; these requests are a round. If
    /// some owner answered but none granted enough tokens, the batch sends a final request to one part and accepts delayed
    /// tokens. If no owner answered, another round follows.
    struct Batch {
        std::vector<Waiter> waiters;
        TimePoint deadline;
        TimePoint ownerDeadline; ///< earlier deadline that applies while no owner has answered
        bool awaitingNextRound = false; ///< no owner answered in the last round; the next round starts at `timeout`
        GrantRequest request;
        TimePoint sentAt;
        TimePoint timeout;
        unsigned refusals = 0;
        bool acceptsDelay = false; ///< set for the final request, which accepts delayed tokens
        std::uint32_t bestPart = 0; ///< part that refused with the shortest retry delay
        Duration bestRetry = Duration::max(); ///< retry delay of `bestPart`
    };
    using Batches = std::list<Batch>;
    /// A grant that has not been completely spent or returned.
    struct HeldGrant {
        std::uint64_t id = 0;
        std::uint32_t part = 0;
        TimePoint receivedAt;
        TimePoint expiry;
        bool reported = true; ///< false: the holder reports the grant only to return unspent tokens, as the owner charges the others at the expiry
        std::optional<std::size_t> slot; ///< slot of the allowance that holds the tokens, if any
        std::uint32_t delayed = 0; ///< requests whose tokens are not valid yet
        std::uint32_t unspent = 0;
        TimePoint lastSpent;
    };
    /// A waiting request whose token becomes valid at `due`.
    struct DelayedAdmission {
        TimePoint due;
        WaiterId waiter = 0;
        bool cancelled = false;
        std::uint64_t grant = 0;
    };
    /// Report of an ended grant that has not been sent yet.
    struct Report {
        std::uint32_t part = 0;
        GrantReport report;
        TimePoint spentAt;
        TimePoint due; ///< latest time at which to send the report
    };
    /// A grant request that timed out; tokens in a late answer are returned.
    struct TimedOutRequest {
        std::uint64_t id = 0;
        TimePoint sentAt;
    };

    bool hasSinglePart() const { return m_parts == 1; }

    // Requests (limits_team.cpp).
    void start(std::vector<Waiter> waiters, LimitsCall &call);
    void startQueued(LimitsCall &call);
    void send(Batch &batch, std::uint32_t part, LimitsCall &call);
    void resend(Batch &batch, LimitsCall &call);
    void requestNextPart(Batches::iterator batch, LimitsCall &call);
    void handleOwnerFailure(Batches::iterator batch, Duration suspectTime, LimitsCall &call);
    void startRound(Batches::iterator batch, LimitsCall &call);
    void refuse(Batches::iterator batch, RefusalReason reason, Duration pause, Duration retryAfter, LimitsCall &call);
    void end(Batches::iterator batch, LimitsCall &call);
    void onLateGrant(const Grant &grant, bool stale, LimitsCall &call);
    void onRefusal(Batches::iterator batch, const Grant &grant, LimitsCall &call);
    void handleTimeouts(LimitsCall &call);
    void refuseQueued(LimitsCall &call);
    std::optional<std::uint32_t> pickPart(TimePoint now);

    // Tokens (limits_stock.cpp).
    void distribute(Batch &batch, const Grant &grant, LimitsCall &call);
    void admitDue(LimitsCall &call);
    void finishEndedGrants(LimitsCall &call);
    void finish(HeldGrant &held, TimePoint now);
    void report(const HeldGrant &held, TimePoint now);
    std::vector<GrantReport> takeReports(std::uint32_t part, TimePoint now);
    void flushReports(bool all, LimitsCall &call);
    void measureDemand(TimePoint now);
    std::uint32_t wantedPrefetchTokens(TimePoint now) const;
    void prefetch(LimitsCall &call);

    const TeamName m_name;
    const unsigned m_maxParts;
    TeamLimits m_limits;
    std::uint32_t m_parts = 1;
    std::uint32_t m_nextPart; ///< part to which the next grant request is sent, modulo the number of parts
    TeamAllowancePtr m_allowance;
    Batches m_batches;
    std::deque<Waiter> m_queued; ///< requests that wait for a batch to end
    std::vector<TimePoint> m_suspectUntil; ///< for each part: time until which no request is sent to its owner
    std::vector<HeldGrant> m_heldGrants;
    std::vector<DelayedAdmission> m_delayedAdmissions;
    std::vector<Report> m_reports;
    std::vector<TimedOutRequest> m_timedOutRequests;
    TimePoint m_refusedUntil; ///< new requests are refused until then
    TimePoint m_allRefusedUntil; ///< all parts have refused recently: until then, batches send only their final request
    RefusalReason m_refusalReason = RefusalReason::OverRate;
    double m_demandRate = 0; ///< requests per second, exponential moving average
    TimePoint m_demandTime;
    TimePoint m_lastDemand;
    TimePoint m_prefetchFrom; ///< no tokens are prefetched before this time
    bool m_prefetchRequested = false; ///< a request that includes prefetched tokens has not been answered yet
};
}
