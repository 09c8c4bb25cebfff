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

/// Team limits: token buckets that are split into parts. One owner grants the tokens of each part, holders spend them.
namespace plumsill
{
/// Rate and burst of a team, or of one part of its bucket.
struct TeamLimits {
    double rate = 0; ///< tokens per second
    double burst = 0; ///< tokens

    auto operator<=>(const TeamLimits &) const = default;
};

/// Number of parts that a team's bucket is split into, up to @p maxParts. All daemons compute the same number.
unsigned partCount(const TeamLimits &limits, unsigned maxParts = config::TeamParts);
/// Limits of one part; zero for a part that does not exist. The limits of all parts add up to those of the team.
TeamLimits partLimits(const TeamLimits &limits, std::uint32_t part, unsigned maxParts = config::TeamParts);

/// Time from the sending of a grant request to the expiry of the tokens granted for it.
Duration grantLifetime(const GrantRequest &request, const Grant &grant);

/// A team whose limits differ between two documents.
struct LimitsChange {
    TeamName team;
    TeamLimits before; ///< zero for an added team
    TeamLimits after; ///< zero for a removed team

    auto operator<=>(const LimitsChange &) const = default;
};

/// Teams whose limits differ between the two documents.
std::vector<LimitsChange> changedLimits(const Document &before, const Document &after);

/// Bucket of one part at its owner. In any period of t seconds, the fleet admits at most burst + rate * t requests with
/// tokens of this bucket.
class PartBucket
{
public:
    PartBucket(const TeamLimits &limits, double level, TimePoint now);

    /// Tokens that can be granted now. Negative after a delayed grant, which may include tokens that the bucket still has to
    /// refill.
    double available() const { return m_level - m_outstanding; }
    /// Tokens that are granted and not known to be spent.
    double outstanding() const { return m_outstanding; }
    double level() const { return m_level; }
    bool full() const { return m_fullSince.has_value(); }
    const TeamLimits &limits() const { return m_limits; }

    /// Refills the bucket up to @p now.
    void advance(TimePoint now);
    /// Changes the limits from now on. Tokens in excess of the new burst are discarded.
    void setLimits(const TeamLimits &limits);
    /// Time until this number of tokens may be spent in addition to the outstanding ones. Nothing when the sum of both
    /// exceeds the burst, or when tokens are missing and the rate is zero.
    std::optional<Duration> delayFor(double tokens) const;
    /// Grants tokens to a holder.
    void grant(double tokens);
    /// Charges granted tokens that were spent at least @p age ago, or that count as spent because they expired @p age ago.
    void recordSpent(double tokens, Duration age);
    /// Takes back granted tokens that were not spent.
    void returnTokens(double tokens);
    /// Adds the tokens that the former owner hands over: @p balance can be granted, @p outstanding are granted already.
    void inherit(double balance, double outstanding);

private:
    void setLevel(double level);
    void refill(Duration passed, TimePoint from);
    double refillRate() const { return m_limits.rate * (1 - config::MaxClockDrift); }

    TeamLimits m_limits;
    double m_level; ///< tokens in the bucket, charged only for tokens that are known to be spent
    double m_outstanding = 0; ///< tokens granted and not known to be spent
    TimePoint m_time;
    std::optional<TimePoint> m_fullSince; ///< set while the bucket is full
};

/// A part that this daemon hands over, and the member that takes it over.
struct OwnedPart {
    PartKey key;
    TeamLimits limits; ///< limits of the team, over all parts
    Tenure tenure;
    MemberId successor;

    auto operator<=>(const OwnedPart &) const = default;
};

/// Owner's side of the team limits: grants tokens of the parts that this daemon owns. One instance per daemon.
class LimitsOwner
{
public:
    explicit LimitsOwner(unsigned maxParts = config::TeamParts);

    /// Answers a grant request, and stores the answer for repetitions of the request. Returns nothing for an outdated request:
    /// its answer, or the answer to a newer request of the same holder, has already been removed. @p limits are the team's
    /// limits over all parts, from the document in force.
    std::optional<Grant> onGrantRequest(const MemberId &holder, const GrantRequest &request, const TeamLimits &limits, const Tenure &tenure, TimePoint now);
    /// Takes back tokens that a holder did not spend.
    void onTokenReturn(const MemberId &holder, const TokenReturn &message, TimePoint now);
    /// Applies changed limits. Call it for each changed team once the new document is confirmed. Smaller limits take effect
    /// at once. Larger limits take effect once owners that still use the old document can no longer grant tokens.
    void limitsChanged(const LimitsChange &change, TimePoint now);
    /// Hands over these parts and returns the messages to send to their new owners. No more tokens of these parts are granted
    /// in the tenure that ends with the hand-over.
    std::vector<HandOver> handOver(const std::vector<OwnedPart> &owned, TimePoint now);
    /// Takes over the tokens of a part from its former owner. Returns false when this daemon has already granted tokens of the
    /// part or handed it over in this tenure, when the hand-over is from an earlier tenure, or when it is not addressed to
    /// @p self, the current incarnation. Call it once Ownership has accepted the hand-over; the epoch need not be confirmed.
    bool acceptHandOver(const MemberId &self, const HandOver &message, std::uint64_t senderEpoch, const TeamLimits &limits, const Tenure &tenure,
                        TimePoint now);
    /// Counts expired grants as spent and removes idle parts.
    void tick(TimePoint now);

    /// Number of parts with state.
    std::size_t activeParts() const { return m_parts.size(); }
    /// Tokens that can be granted; nothing for a part without state.
    std::optional<double> available(const PartKey &key) const;

private:
    struct GrantId {
        MemberId holder;
        std::uint64_t id = 0;

        auto operator<=>(const GrantId &) const = default;
    };
    struct Answer {
        Grant grant;
        std::uint32_t unreported = 0; ///< tokens that the holder has not yet reported as spent or unspent
    };
    struct Expiry {
        TimePoint at;
        GrantId id;

        auto operator<=>(const Expiry &) const = default;
    };
    /// Tokens that the former owner granted before its hand-over.
    struct Inherited {
        double tokens = 0;
        TimePoint expiry;
    };
    struct Part {
        PartBucket bucket;
        PartBucket demand; ///< ideal bucket, charged with the requests as they arrive
        std::uint64_t tenure = 0; ///< first epoch of the tenure
        TimePoint lastUse;
        bool granted = false; ///< tokens were granted, or a hand-over was accepted, in this tenure
        std::optional<Inherited> inherited;
        std::map<GrantId, Answer> answers; ///< kept as long as a repeated request may arrive
        std::deque<Expiry> answerExpiries; ///< when to remove the entries of `answers`
        std::set<Expiry> tokenExpiries; ///< when unreported tokens count as spent
    };
    /// Former limits of a team. Owners that have not read the new document may still use them.
    struct Change {
        std::vector<TeamLimits> before;
        TimePoint until; ///< when no owner can use them any more
    };
    struct ExpiredAnswer {
        std::uint64_t id = 0;
        TimePoint lastUse;
    };

    TeamLimits limitsOf(const PartKey &key, const TeamLimits &limits, TimePoint now) const;
    Part &partFor(const PartKey &key, const TeamLimits &limits, const Tenure &tenure, TimePoint now);
    void expire(Part &part, TimePoint now);
    static void expireTokens(Part &part, TimePoint now);
    static bool idle(const Part &part, TimePoint now);
    static void applyReports(Part &part, const MemberId &holder, const std::vector<GrantReport> &reports);
    static void grantTokens(Part &part, const GrantRequest &request, bool singlePart, Grant &answer);

    const unsigned m_maxParts;
    bool wasHandedOver(const PartKey &key, const Tenure &tenure) const;

    std::map<PartKey, Part> m_parts;
    std::map<TeamName, Change> m_changes;
    std::map<MemberId, ExpiredAnswer> m_expiredAnswers; ///< by holder: its newest request whose answer has been removed
    TimePoint m_nextSweep;
    std::map<PartKey, TimePoint> m_handedOver; ///< time of each part's hand-over to its successor
};

/// Id of a caller's request that waits for a token.
using WaiterId = std::uint64_t;

/// Sends a grant request to the owner of the part named in it.
struct SendGrantRequest {
    GrantRequest message;

    auto operator<=>(const SendGrantRequest &) const = default;
};

/// Returns tokens to the owner of the part named in the message.
struct SendTokenReturn {
    TokenReturn message;

    auto operator<=>(const SendTokenReturn &) const = default;
};

/// Admits these requests; one token is spent on each. A request that has not been admitted by the expiry must be refused.
struct Admit {
    std::vector<WaiterId> waiters;
    TimePoint expiry;

    auto operator<=>(const Admit &) const = default;
};

enum class RefusalReason : std::uint8_t
{
    OverRate,
    NoOwner, ///< no owner of the team's parts answered in time
};

/// Refuses these requests as not run, with status 429 (over rate) or 503 (no owner).
struct Refuse {
    std::vector<WaiterId> waiters;
    Duration retryAfter {};
    RefusalReason reason = RefusalReason::OverRate;

    auto operator<=>(const Refuse &) const = default;
};

using LimitsEffect = std::variant<SendGrantRequest, SendTokenReturn, Admit, Refuse>;
using LimitsEffects = std::vector<LimitsEffect>;

/// Holder's side of the team limits: keeps the allowances of this daemon filled. One instance per daemon, used by the
/// control thread.
class LimitsHolder
{
public:
    /// @p seed must differ between daemons and between incarnations of a daemon, such as a hash of the MemberId.
    explicit LimitsHolder(std::uint64_t seed, unsigned maxParts = config::TeamParts);
    ~LimitsHolder();
    LimitsHolder(const LimitsHolder &) = delete;
    LimitsHolder &operator=(const LimitsHolder &) = delete;

    /// The tokens of a team that the traffic threads may spend. The first call creates the object. Later calls return
    /// the same object as long as anyone holds a reference to it.
    TeamAllowancePtr allowance(const TeamName &team, const TeamLimits &limits, TimePoint now);
    /// Requests a token on behalf of a request that found none in the allowance and can wait until @p deadline.
    LimitsEffects requestToken(const TeamName &team, const TeamLimits &limits, WaiterId waiter, TimePoint deadline, TimePoint now);
    /// Cancels a waiting request whose caller has left.
    void cancel(const TeamName &team, WaiterId waiter);
    /// Processes an owner's answer. @p epoch is the sender's. An answer from an epoch before the adopted one is treated like
    /// GrantStatus::NotActing.
    LimitsEffects onGrant(const Grant &grant, std::uint64_t epoch, TimePoint now);
    /// Performs periodic work. Call it every LimitsTick, and at nextWake().
    LimitsEffects tick(TimePoint now);
    /// Applies the limits of a new document to a team for which this daemon has demand, tokens or an allowance in use.
    void limitsChanged(const LimitsChange &change);
    /// From now on, treats answers from epochs before @p epoch like GrantStatus::NotActing.
    void adoptEpoch(std::uint64_t epoch);
    /// Returns all unspent tokens to the owners that granted them, for a planned stop. Tokens that are not valid yet and are
    /// assigned to a waiting request are kept.
    LimitsEffects release(TimePoint now);

    /// Earliest time at which a delayed token becomes valid, if any; tick() is due then.
    std::optional<TimePoint> nextWake() const { return m_wake; }
    /// Number of teams with demand or tokens.
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
