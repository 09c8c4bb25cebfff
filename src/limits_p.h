#pragma once

#include <plumsill/limits.h>

#include <list>

namespace plumsill
{
/// What one call of the holder works with.
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
    void want(WaiterId waiter, TimePoint deadline, LimitsCall &call);
    void cancel(WaiterId waiter);
    void onGrant(const Grant &grant, bool stale, LimitsCall &call);
    void tick(LimitsCall &call);
    void release(LimitsCall &call);

    const TeamAllowancePtr &allowance() const { return m_allowance; }
    /// Nothing is waiting, held or to be reported, and there is no demand.
    bool idle() const;
    std::optional<TimePoint> nextDue() const;

    bool active = false; ///< listed by the holder

private:
    struct Waiter {
        WaiterId id = 0;
        TimePoint deadline;
        TimePoint ownerDeadline; ///< while no owner has answered
    };
    /// Waiting requests that ask the parts' owners together; none for tokens ahead of demand.
    struct Batch {
        std::vector<Waiter> waiters;
        TimePoint deadline;
        TimePoint ownerDeadline; ///< while no owner has answered
        bool resting = false; ///< no owner answered in the last round: the next begins at the timeout
        GrantRequest request;
        TimePoint sentAt;
        TimePoint timeout;
        unsigned refusals = 0;
        bool patient = false; ///< the last round: accepts delayed tokens
        std::uint32_t bestPart = 0;
        Duration bestRetry = Duration::max();
    };
    using Batches = std::list<Batch>;
    /// A grant that isn't wholly spent or given back.
    struct Held {
        std::uint64_t id = 0;
        std::uint32_t part = 0;
        TimePoint receivedAt;
        TimePoint expiry;
        bool reported = true; ///< false: the owner charges it by itself unless tokens come back
        std::optional<std::size_t> slot;
        std::uint32_t delayed = 0;
        std::uint32_t unspent = 0;
        TimePoint lastSpent;
    };
    /// A waiting request whose token is valid from `due`.
    struct Delayed {
        TimePoint due;
        WaiterId waiter = 0;
        bool cancelled = false;
        std::uint64_t grant = 0;
    };
    struct Report {
        std::uint32_t part = 0;
        GrantReport report;
        TimePoint spentAt;
        TimePoint due;
    };
    /// A request whose answer came too late to be waited for.
    struct Late {
        std::uint64_t id = 0;
        TimePoint sentAt;
    };

    bool single() const { return m_parts == 1; }

    // Requests (limits_team.cpp).
    void start(std::vector<Waiter> waiters, LimitsCall &call);
    void startQueued(LimitsCall &call);
    void send(Batch &batch, std::uint32_t part, LimitsCall &call);
    void resend(Batch &batch, LimitsCall &call);
    void askNext(Batches::iterator batch, LimitsCall &call);
    void fail(Batches::iterator batch, Duration suspectTime, LimitsCall &call);
    void startRound(Batches::iterator batch, LimitsCall &call);
    void refuse(Batches::iterator batch, RefusalReason reason, Duration pause, Duration retryAfter, LimitsCall &call);
    void end(Batches::iterator batch, LimitsCall &call);
    void onLateGrant(const Grant &grant, bool stale, LimitsCall &call);
    void onRefusal(Batches::iterator batch, const Grant &grant, LimitsCall &call);
    void checkTimes(LimitsCall &call);
    void checkQueue(LimitsCall &call);
    std::optional<std::uint32_t> pickPart(TimePoint now);

    // Tokens (limits_stock.cpp).
    void distribute(Batch &batch, const Grant &grant, LimitsCall &call);
    void admitDue(LimitsCall &call);
    void maintain(LimitsCall &call);
    void finish(Held &held, TimePoint now);
    void report(const Held &held, TimePoint now);
    std::vector<GrantReport> takeReports(std::uint32_t part, TimePoint now);
    void flushReports(bool all, LimitsCall &call);
    void measureDemand(TimePoint now);
    std::uint32_t aheadWanted(TimePoint now) const;
    void prefetch(LimitsCall &call);

    const TeamName m_name;
    const unsigned m_maxParts;
    TeamLimits m_limits;
    std::uint32_t m_parts = 1;
    std::uint32_t m_cursor; ///< part that the next request asks
    TeamAllowancePtr m_allowance;
    Batches m_batches;
    std::deque<Waiter> m_queued; ///< waiting for a batch to end
    std::vector<TimePoint> m_suspectUntil; ///< by part
    std::vector<Held> m_held;
    std::vector<Delayed> m_delayed;
    std::vector<Report> m_reports;
    std::vector<Late> m_late;
    TimePoint m_refusedUntil;
    TimePoint m_patientUntil; ///< all parts refused lately
    RefusalReason m_refusal = RefusalReason::OverRate;
    double m_demandRate = 0; ///< requests a second, recent mean
    TimePoint m_demandTime;
    TimePoint m_lastDemand;
    TimePoint m_prefetchFrom;
    bool m_aheadAsked = false;
};
}
