#pragma once

#include <plumsill/allowance.h>
#include <plumsill/clock.h>
#include <plumsill/config.h>
#include <plumsill/document.h>
#include <plumsill/messages.h>
#include <plumsill/tenure.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

/// Team limits: token buckets cut into parts, each granted by one owner and spent by holders.
namespace plumsill
{
/// Rate and burst of a team, or of one part of its bucket.
struct TeamLimits {
    double rate = 0; ///< tokens a second
    double burst = 0; ///< tokens

    auto operator<=>(const TeamLimits &) const = default;
};

/// Number of parts that a bucket is cut into, @p most at most; the same for all daemons.
unsigned partCount(const TeamLimits &limits, unsigned most = config::TeamParts);
/// Limits of one part, zero for one that doesn't exist; the parts' sum is the whole.
TeamLimits partLimits(const TeamLimits &limits, std::uint32_t part, unsigned most = config::TeamParts);

/// Time from the sending of a request to the expiry of the tokens granted for it.
Duration grantLifetime(const GrantRequest &request, const Grant &grant);

/// A team whose limits differ between two documents.
struct LimitsChange {
    TeamName team;
    TeamLimits before; ///< zero for a team that is new
    TeamLimits after; ///< zero for a team that is gone

    auto operator<=>(const LimitsChange &) const = default;
};

/// Teams whose limits differ between the two documents.
std::vector<LimitsChange> changedLimits(const Document &before, const Document &after);

/// Bucket of one part at its owner. Admissions of the whole fleet from it stay within burst + rate * time.
class PartBucket
{
public:
    PartBucket(const TeamLimits &limits, double filled, TimePoint now);

    /// Tokens free to grant now; negative while delayed grants are open.
    double available() const { return m_filled - m_outstanding; }
    double outstanding() const { return m_outstanding; }
    double filled() const { return m_filled; }
    bool full() const { return m_fullSince.has_value(); }
    const TeamLimits &limits() const { return m_limits; }

    /// Refills up to @p now.
    void advance(TimePoint now);
    /// Changes the limits from now on; what exceeds the new burst is lost.
    void setLimits(const TeamLimits &limits);
    /// Time until @p tokens more can be spent; nothing if that can't be promised.
    std::optional<Duration> delayFor(double tokens) const;
    /// Promises tokens to a holder.
    void grant(double tokens);
    /// Granted tokens were spent, or have to be counted so, at the latest @p age ago.
    void spent(double tokens, Duration age);
    /// Granted tokens come back.
    void returnTokens(double tokens);
    /// Takes over tokens of another owner, @p outstanding of them granted.
    void inherit(double balance, double outstanding);

private:
    void fillTo(double level);
    void refill(Duration passed, TimePoint from);
    double refillRate() const { return m_limits.rate * (1 - config::MaxClockDrift); }

    TeamLimits m_limits;
    double m_filled; ///< level of the ideal bucket, fed with the spending known so far
    double m_outstanding = 0; ///< granted, not known to be spent
    TimePoint m_time;
    std::optional<TimePoint> m_fullSince;
};

/// A part that this daemon owns, and who takes it over.
struct OwnedPart {
    PartKey key;
    TeamLimits limits; ///< of the whole team
    Tenure tenure;
    MemberId successor;

    auto operator<=>(const OwnedPart &) const = default;
};

/// Owner's side: grants tokens of the parts that this daemon owns. One for each daemon.
class LimitsOwner
{
public:
    explicit LimitsOwner(unsigned maxParts = config::TeamParts);

    /// Answers a request; nothing for a stale or impossible one. @p limits are the whole team's, of the present document.
    std::optional<Grant> onGrantRequest(const MemberId &holder, const GrantRequest &request, const TeamLimits &limits, const Tenure &tenure, TimePoint now);
    /// Takes back what a holder didn't spend.
    void onTokenReturn(const MemberId &holder, const TokenReturn &message, TimePoint now);
    /// Call for each changed team once the new document is confirmed: growth waits until owners with the old one have lapsed.
    void limitsChanged(const LimitsChange &change, TimePoint now);
    /// Gives up these parts: nothing more is granted for them in the same tenure.
    std::vector<HandOver> handOver(const std::vector<OwnedPart> &owned, TimePoint now);
    /// Takes over a part's balance; false where this daemon has already granted in this tenure or the hand-over is stale.
    /// Call it once the ownership has accepted the hand-over, also while the epoch isn't confirmed. @p self is this
    /// daemon's present incarnation.
    bool acceptHandOver(const MemberId &self, const HandOver &message, std::uint64_t senderEpoch, const TeamLimits &limits, const Tenure &tenure,
                        TimePoint now);
    /// Counts expired grants as spent and drops idle parts.
    void tick(TimePoint now);

    /// Parts with state.
    std::size_t activeParts() const { return m_parts.size(); }
    /// Tokens free to grant; nothing for a part without state.
    std::optional<double> available(const PartKey &key) const;

private:
    struct GrantId {
        MemberId holder;
        std::uint64_t id = 0;

        auto operator<=>(const GrantId &) const = default;
    };
    struct Answer {
        Grant grant;
        std::uint32_t open = 0; ///< tokens not yet reported
    };
    struct Expiry {
        TimePoint at;
        GrantId id;

        auto operator<=>(const Expiry &) const = default;
    };
    struct Inherited {
        double tokens = 0;
        TimePoint expiry;
    };
    struct Part {
        PartBucket bucket;
        PartBucket demand; ///< ideal bucket fed with the requests as they come
        std::uint64_t tenure = 0;
        TimePoint lastUse;
        bool granted = false;
        std::optional<Inherited> inherited;
        std::map<GrantId, Answer> answers; ///< kept as long as a repeated request may come
        std::deque<Expiry> forgetting; ///< of answers
        std::set<Expiry> expiries; ///< of tokens
    };
    struct Change {
        std::vector<TeamLimits> before;
        TimePoint until;
    };
    struct Forgotten {
        std::uint64_t id = 0;
        TimePoint lastUse;
    };

    TeamLimits limitsOf(const PartKey &key, const TeamLimits &limits, TimePoint now) const;
    Part &partFor(const PartKey &key, const TeamLimits &limits, const Tenure &tenure, TimePoint now);
    void expire(Part &part, TimePoint now);
    static void expireTokens(Part &part, TimePoint now);
    static bool idle(const Part &part, TimePoint now);
    static void settle(Part &part, const MemberId &holder, const std::vector<GrantReport> &reports);
    static void promise(Part &part, const GrantRequest &request, bool single, Grant &answer);

    const unsigned m_maxParts;
    bool givenUp(const PartKey &key, const Tenure &tenure) const;

    std::map<PartKey, Part> m_parts;
    std::map<TeamName, Change> m_changes;
    std::map<MemberId, Forgotten> m_forgotten; ///< newest request of each holder whose answer is no longer kept
    TimePoint m_nextSweep;
    std::map<PartKey, TimePoint> m_givenUp; ///< parts handed over, and when
};

/// Identifies a caller's request that waits for a token.
using WaiterId = std::uint64_t;

/// Send to the owner of the part in the message.
struct SendGrantRequest {
    GrantRequest message;

    auto operator<=>(const SendGrantRequest &) const = default;
};

/// Send to the owner of the part in the message.
struct SendTokenReturn {
    TokenReturn message;

    auto operator<=>(const SendTokenReturn &) const = default;
};

/// Let these requests pass: a token of each is spent. One that hasn't passed at the expiry must be refused instead.
struct Admit {
    std::vector<WaiterId> waiters;
    TimePoint expiry;

    auto operator<=>(const Admit &) const = default;
};

enum class RefusalReason : std::uint8_t
{
    OverRate,
    NoOwner, ///< no owner of the team's parts could be reached
};

/// Answer these requests 429 (over rate) or 503 (no owner), not run.
struct Refuse {
    std::vector<WaiterId> waiters;
    Duration retryAfter {};
    RefusalReason reason = RefusalReason::OverRate;

    auto operator<=>(const Refuse &) const = default;
};

using LimitsEffect = std::variant<SendGrantRequest, SendTokenReturn, Admit, Refuse>;
using LimitsEffects = std::vector<LimitsEffect>;

/// Holder's side: keeps the allowances of this daemon filled. One for each daemon, control thread.
class LimitsHolder
{
public:
    /// @p seed differs between daemons and between their incarnations (a hash of MemberId).
    explicit LimitsHolder(std::uint64_t seed, unsigned maxParts = config::TeamParts);
    ~LimitsHolder();
    LimitsHolder(const LimitsHolder &) = delete;
    LimitsHolder &operator=(const LimitsHolder &) = delete;

    /// Allowance of a team for the traffic threads; made at the first call. Kept while anyone else refers to it.
    TeamAllowancePtr allowance(const TeamName &team, const TeamLimits &limits, TimePoint now);
    /// A request found its allowance empty and waits until @p deadline at most.
    LimitsEffects requestToken(const TeamName &team, const TeamLimits &limits, WaiterId waiter, TimePoint deadline, TimePoint now);
    /// The waiting request was given up by its caller.
    void cancel(const TeamName &team, WaiterId waiter);
    /// @p epoch is the sender's: an older one than adopted is refused.
    LimitsEffects onGrant(const Grant &grant, std::uint64_t epoch, TimePoint now);
    /// Call every LimitsTick, and at nextWake().
    LimitsEffects tick(TimePoint now);
    /// Takes the limits of a new document for teams with state.
    void limitsChanged(const LimitsChange &change);
    void adoptEpoch(std::uint64_t epoch);
    /// Gives everything back for a planned stop.
    LimitsEffects release(TimePoint now);

    /// Time before the next LimitsTick at which tick() has something to do.
    std::optional<TimePoint> nextWake() const { return m_wake; }
    /// Teams with demand or tokens.
    std::size_t activeTeams() const { return m_active.size(); }

private:
    class Team;

    Team &teamFor(const TeamName &name, const TeamLimits &limits, TimePoint now);
    void recordWake(const Team &team);

    const std::uint64_t m_seed;
    const unsigned m_maxParts;
    std::uint64_t m_nextId;
    std::uint64_t m_epoch = 0;
    std::optional<TimePoint> m_wake;
    std::unordered_map<TeamName, std::unique_ptr<Team>> m_teams;
    std::vector<Team *> m_active;
};
}
