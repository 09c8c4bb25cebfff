#include <plumsill/config.h>
#include <plumsill/limits.h>

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr double Tolerance = 0.02; // clock drift margin of the refill

const TimePoint T0 = TimePoint(1000s);
const TeamName Acme {"acme"};
const MemberId Holder {{"entry-1"}, 7};
const MemberId Successor {{"entry-2"}, 4};
const TeamLimits OnePart {1, 10};
const TeamLimits TwoParts {20, 2 * config::MinPartBurst};
const Tenure LongActing {true, 1, T0 - 100s};

GrantRequest request(std::uint64_t id, std::uint32_t waiting, std::uint32_t patience = 0)
{
    return {id, Acme, 0, waiting, 0, patience, {}};
}

template<class Effect>
std::vector<Effect> only(const LimitsEffects &effects)
{
    std::vector<Effect> found;
    for (const auto &effect : effects) {
        if (const auto *entry = std::get_if<Effect>(&effect)) {
            found.push_back(*entry);
        }
    }
    return found;
}

Grant answerTo(const SendGrantRequest &sent, std::uint32_t tokens, std::uint32_t retryAfter = 0)
{
    const auto &message = sent.message;
    return {message.id, message.team, message.part, tokens > 0 ? GrantStatus::Granted : GrantStatus::OverRate, tokens, 0, retryAfter};
}
}

TEST_GROUP(PartBucket) {};

TEST(PartBucket, LevelAndOutstandingNeverExceedTheBurst)
{
    PartBucket bucket({10, 5}, 5, T0);
    bucket.grant(4);
    bucket.advance(T0 + 10s);
    DOUBLES_EQUAL(1, bucket.available(), 1e-9);
    bucket.spent(4, 0s);
    bucket.advance(T0 + 10s + 100ms);
    DOUBLES_EQUAL(2, bucket.available(), Tolerance);
}

TEST(PartBucket, AgeOfAReportRestoresLostRefill)
{
    PartBucket bucket({10, 5}, 5, T0);
    bucket.grant(4);
    bucket.advance(T0 + 300ms);
    bucket.spent(4, 200ms);
    DOUBLES_EQUAL(3, bucket.available(), Tolerance);
}

TEST(PartBucket, NoMoreThanTheBurstIsPromisedAhead)
{
    PartBucket bucket({10, 2}, 0, T0);
    CHECK(bucket.delayFor(2).has_value());
    bucket.grant(2);
    CHECK(!bucket.delayFor(1).has_value());
}

TEST(PartBucket, PartsSumUpToTheWhole)
{
    const TeamLimits whole {400, 200};
    LONGS_EQUAL(config::TeamParts, partCount(whole));
    DOUBLES_EQUAL(whole.burst, partLimits(whole, 0).burst * partCount(whole), 1e-9);
    DOUBLES_EQUAL(whole.rate, partLimits(whole, 0).rate * partCount(whole), 1e-9);
    CHECK(partLimits(whole, config::TeamParts) == TeamLimits {});
    LONGS_EQUAL(1, partCount({5, 3}));
}

TEST(PartBucket, ChangedTeamsAreFound)
{
    Document before;
    Document after;
    before.teams = {{{"gone"}, 1, 1, {}}, {{"same"}, 2, 2, {}}, {{"up"}, 3, 3, {}}};
    after.teams = {{{"same"}, 2, 2, {}}, {{"up"}, 4, 3, {}}};
    const std::vector<LimitsChange> expected {{{"gone"}, {1, 1}, {}}, {{"up"}, {3, 3}, {4, 3}}};
    CHECK(changedLimits(before, after) == expected);
}

TEST_GROUP(LimitsOwner)
{
    LimitsOwner owner;
};

TEST(LimitsOwner, NewOwnerStartsEmptyAndRefillsFromItsStart)
{
    const TeamLimits limits {2, 10};
    const Tenure fresh {true, 5, T0};
    LONGS_EQUAL(0, owner.onGrantRequest(Holder, request(1, 1), limits, fresh, T0)->tokens);
    LimitsOwner later;
    LONGS_EQUAL(5, later.onGrantRequest(Holder, request(1, 9), limits, fresh, T0 + 3s)->tokens);
}

TEST(LimitsOwner, OwnerThatReturnsInALaterTermStartsEmpty)
{
    LONGS_EQUAL(1, owner.onGrantRequest(Holder, request(1, 1), OnePart, LongActing, T0)->tokens);
    LONGS_EQUAL(0, owner.onGrantRequest(Holder, request(2, 1), OnePart, {true, 3, T0 + 1s}, T0 + 1s)->tokens);
}

TEST(LimitsOwner, NothingIsGrantedWithoutTheRightToAct)
{
    const auto answer = owner.onGrantRequest(Holder, request(1, 1), OnePart, {false, 1, T0 - 100s}, T0);
    CHECK(answer->status == GrantStatus::NotActing);
    LONGS_EQUAL(0, answer->tokens);
    LONGS_EQUAL(0, owner.activeParts());
}

TEST(LimitsOwner, RepeatedRequestGetsTheSameAnswer)
{
    const auto first = owner.onGrantRequest(Holder, request(1, 3), OnePart, LongActing, T0);
    const auto second = owner.onGrantRequest(Holder, request(1, 3), OnePart, LongActing, T0 + 40ms);
    CHECK(first == second);
    DOUBLES_EQUAL(7, *owner.available({Acme, 0}), 1e-9);
}

TEST(LimitsOwner, RepeatedReportChangesNothing)
{
    owner.onGrantRequest(Holder, request(1, 3), OnePart, LongActing, T0);
    const GiveBack report {Acme, 0, {{1, 2, 0}}};
    owner.onGiveBack(Holder, report, T0 + 10ms);
    owner.onGiveBack(Holder, report, T0 + 10ms);
    DOUBLES_EQUAL(9, *owner.available({Acme, 0}), 1e-9);
}

TEST(LimitsOwner, MoreThanWasGrantedCanNotComeBack)
{
    owner.onGrantRequest(Holder, request(1, 1), OnePart, LongActing, T0);
    owner.onGiveBack(Holder, {Acme, 0, {{1, 50, 0}}}, T0);
    DOUBLES_EQUAL(9, *owner.available({Acme, 0}), 1e-9);
}

TEST(LimitsOwner, UnreportedGrantCountsAsSpentAtItsExpiry)
{
    auto stock = request(1, 0);
    stock.ahead = 2;
    LONGS_EQUAL(2, owner.onGrantRequest(Holder, stock, OnePart, LongActing, T0)->tokens);
    owner.tick(T0 + config::GrantLifetime - 1ms);
    DOUBLES_EQUAL(8, *owner.available({Acme, 0}), 1e-9);
    owner.tick(T0 + config::GrantLifetime + config::GrantExpiryMargin + 1s);
    DOUBLES_EQUAL(9, *owner.available({Acme, 0}), Tolerance);
}

TEST(LimitsOwner, TokensOfWaitingRequestsAreChargedSoonWithoutAReport)
{
    const auto grant = owner.onGrantRequest(Holder, request(1, 10), OnePart, LongActing, T0);
    CHECK(grantLifetime(request(1, 10), *grant) == config::WaitingTokenLifetime);
    const auto charged = T0 + config::WaitingTokenLifetime + config::GrantExpiryMargin;
    owner.onGiveBack(Holder, {Acme, 0, {}}, charged - 1ms);
    DOUBLES_EQUAL(0, *owner.available({Acme, 0}), 1e-9);
    owner.onGiveBack(Holder, {Acme, 0, {}}, charged + 2s);
    DOUBLES_EQUAL(2, *owner.available({Acme, 0}), Tolerance);
}

TEST(LimitsOwner, RequestOlderThanTheKeptAnswersIsDropped)
{
    owner.onGrantRequest(Holder, request(5, 1), OnePart, LongActing, T0);
    const auto late = T0 + config::GrantLifetime + config::GrantExpiryMargin;
    CHECK(!owner.onGrantRequest(Holder, request(4, 1), OnePart, LongActing, late).has_value());
    CHECK(owner.onGrantRequest(Holder, request(6, 1), OnePart, LongActing, late).has_value());
}

TEST(LimitsOwner, SmallTeamIsRefusedOnlyWhereAnIdealBucketRefuses)
{
    const TeamLimits single {1, 1};
    LONGS_EQUAL(1, owner.onGrantRequest(Holder, request(1, 1, 300), single, LongActing, T0)->tokens);
    owner.onGiveBack(Holder, {Acme, 0, {{1, 0, 0}}}, T0 + 20ms);
    const auto early = owner.onGrantRequest(Holder, request(2, 1, 300), single, LongActing, T0 + 900ms);
    CHECK(early->status == GrantStatus::OverRate);
    CHECK(early->retryAfterMilliseconds >= 95 && early->retryAfterMilliseconds <= 101);
    // The report came 20 ms after the spending: the real bucket is behind the ideal one, so the token comes with a delay.
    const auto granted = owner.onGrantRequest(Holder, request(3, 1, 300), single, LongActing, T0 + 1001ms);
    LONGS_EQUAL(1, granted->tokens);
    CHECK(granted->delayMilliseconds > 0 && granted->delayMilliseconds <= 30);
}

TEST(LimitsOwner, HandOverCarriesBalanceAndOutstandingTokens)
{
    owner.onGrantRequest(Holder, request(1, 4), OnePart, LongActing, T0);
    const auto parts = owner.handOver({{{Acme, 0}, OnePart, LongActing, Successor}}, T0);
    LONGS_EQUAL(1, parts.size());
    CHECK(owner.onGrantRequest(Holder, request(2, 1), OnePart, LongActing, T0)->status == GrantStatus::NotActing);
    LimitsOwner successor;
    const Tenure term {true, 2, T0};
    CHECK(!successor.acceptHandOver({Successor.name, Successor.incarnation + 1}, parts[0], 1, OnePart, term, T0));
    CHECK(successor.acceptHandOver(Successor, parts[0], 1, OnePart, term, T0));
    DOUBLES_EQUAL(6, *successor.available({Acme, 0}), 1e-9);
    successor.tick(T0 + 400ms);
    DOUBLES_EQUAL(6, *successor.available({Acme, 0}), 1e-9);
    CHECK(!successor.acceptHandOver(Successor, parts[0], 1, OnePart, term, T0 + 1ms));
    successor.tick(T0 + config::GrantLifetime + config::GrantExpiryMargin + 1s);
    DOUBLES_EQUAL(7, *successor.available({Acme, 0}), Tolerance);
}

TEST(LimitsOwner, HandOverIsRefusedAfterAGrantAndWhenStale)
{
    const HandOver message {Successor, Acme, 0, 5, 0};
    const Tenure term {true, 4, T0 - 2s};
    CHECK(!owner.acceptHandOver(Successor, message, 2, OnePart, term, T0));
    LONGS_EQUAL(1, owner.onGrantRequest(Holder, request(1, 1), OnePart, term, T0)->tokens);
    CHECK(!owner.acceptHandOver(Successor, message, 3, OnePart, term, T0));
}

TEST(LimitsOwner, GrowthWaitsForOwnersOfTheOldDocument)
{
    const TeamLimits before {1, 2};
    const TeamLimits after {1000, 10};
    LONGS_EQUAL(2, owner.onGrantRequest(Holder, request(1, 2), before, LongActing, T0)->tokens);
    owner.limitsChanged({Acme, before, after}, T0);
    owner.onGrantRequest(Holder, request(2, 0), after, LongActing, T0);
    LONGS_EQUAL(0, owner.onGrantRequest(Holder, request(3, 1), after, LongActing, T0 + 100ms)->tokens);
    const auto later = T0 + config::LimitsChangeDelay;
    owner.onGrantRequest(Holder, request(4, 0), after, LongActing, later);
    LONGS_EQUAL(10, owner.onGrantRequest(Holder, request(5, 10), after, LongActing, later + 1s)->tokens);
}

TEST(LimitsOwner, SmallerLimitsHoldAtOnce)
{
    owner.onGrantRequest(Holder, request(1, 0), OnePart, LongActing, T0);
    const TeamLimits after {1, 2};
    owner.limitsChanged({Acme, OnePart, after}, T0);
    LONGS_EQUAL(2, owner.onGrantRequest(Holder, request(2, 5), after, LongActing, T0)->tokens);
}

TEST(LimitsOwner, IdlePartsKeepNoState)
{
    owner.onGrantRequest(Holder, request(1, 1), OnePart, LongActing, T0);
    owner.tick(T0 + config::LimitsIdleTime + 20s);
    LONGS_EQUAL(0, owner.activeParts());
    LONGS_EQUAL(10, owner.onGrantRequest(Holder, request(2, 99), OnePart, LongActing, T0 + config::LimitsIdleTime + 21s)->tokens);
}

TEST_GROUP(LimitsHolder)
{
    LimitsHolder holder {1};

    LimitsEffects want(WaiterId waiter, const TeamLimits &limits, TimePoint now)
    {
        holder.allowance(Acme, limits, now)->takeAt(now);
        return holder.wantToken(Acme, limits, waiter, now + config::TokenWaitMax, now);
    }
    SendGrantRequest wantOne(WaiterId waiter, const TeamLimits &limits, TimePoint now)
    {
        const auto sent = only<SendGrantRequest>(want(waiter, limits, now));
        LONGS_EQUAL(1, sent.size());
        return sent[0];
    }
};

TEST(LimitsHolder, WaitingRequestIsAdmittedByAGrant)
{
    const auto sent = wantOne(1, OnePart, T0);
    const auto admitted = only<Admit>(holder.onGrant(answerTo(sent, 1), 1, T0 + 2ms));
    LONGS_EQUAL(1, admitted.size());
    CHECK(admitted[0] == (Admit {{1}, T0 + config::WaitingTokenLifetime}));
}

TEST(LimitsHolder, RepeatedGrantAdmitsNothingMore)
{
    const auto sent = wantOne(1, TwoParts, T0);
    holder.onGrant(answerTo(sent, 2), 1, T0 + 2ms);
    CHECK(holder.onGrant(answerTo(sent, 2), 1, T0 + 3ms).empty());
    const auto allowance = holder.allowance(Acme, TwoParts, T0);
    CHECK(allowance->takeAt(T0 + 4ms).has_value());
    CHECK(!allowance->takeAt(T0 + 4ms).has_value());
}

TEST(LimitsHolder, GrantThatComesAfterItsExpiryAdmitsNothing)
{
    const auto sent = wantOne(1, OnePart, T0);
    CHECK(only<Admit>(holder.onGrant(answerTo(sent, 1), 1, T0 + config::WaitingTokenLifetime)).empty());
}

TEST(LimitsHolder, GrantOfAnOlderEpochIsRefused)
{
    const auto sent = wantOne(1, TwoParts, T0);
    holder.adoptEpoch(3);
    CHECK(only<Admit>(holder.onGrant(answerTo(sent, 1), 2, T0 + 2ms)).empty());
}

TEST(LimitsHolder, NextPartIsAskedBeforeRefusing)
{
    const auto first = wantOne(1, TwoParts, T0);
    const auto second = only<SendGrantRequest>(holder.onGrant(answerTo(first, 0, 50), 1, T0 + 2ms));
    LONGS_EQUAL(1, second.size());
    CHECK(second[0].message.part != first.message.part);
    const auto last = only<SendGrantRequest>(holder.onGrant(answerTo(second[0], 0, 40), 1, T0 + 4ms));
    LONGS_EQUAL(second[0].message.part, last[0].message.part);
    CHECK(last[0].message.patienceMilliseconds > 0);
    const auto refused = only<Refuse>(holder.onGrant(answerTo(last[0], 0, 400), 1, T0 + 6ms));
    LONGS_EQUAL(1, refused.size());
    CHECK(refused[0].reason == RefusalReason::OverRate);
    CHECK(refused[0].retryAfter > 0s);
    CHECK(only<SendGrantRequest>(want(2, TwoParts, T0 + 7ms)).empty());
}

TEST(LimitsHolder, RefusalOfASmallTeamTellsWhenToComeBack)
{
    const auto sent = wantOne(1, OnePart, T0);
    const auto refused = only<Refuse>(holder.onGrant(answerTo(sent, 0, 700), 1, T0 + 2ms));
    CHECK(refused[0] == (Refuse {{1}, 700ms, RefusalReason::OverRate}));
    LONGS_EQUAL(1, only<Refuse>(want(2, OnePart, T0 + 699ms)).size());
    LONGS_EQUAL(1, only<SendGrantRequest>(want(3, OnePart, T0 + 701ms)).size());
}

TEST(LimitsHolder, UnansweredRequestsEndInARefusalForWantOfAnOwner)
{
    want(1, TwoParts, T0);
    std::vector<Refuse> refused;
    for (auto now = T0; now < T0 + config::TokenWaitMax + 20ms; now += config::LimitsTick) {
        for (const auto &entry : only<Refuse>(holder.tick(now))) {
            refused.push_back(entry);
        }
    }
    LONGS_EQUAL(1, refused.size());
    CHECK(refused[0].reason == RefusalReason::NoOwner);
}

TEST(LimitsHolder, LostAnswerOfASmallTeamIsAskedForAgainWithTheSameId)
{
    const auto sent = wantOne(1, OnePart, T0);
    const auto again = only<SendGrantRequest>(holder.tick(T0 + config::GrantTimeout));
    LONGS_EQUAL(1, again.size());
    CHECK(again[0] == sent);
}

TEST(LimitsHolder, AnswerThatIsNotAwaitedAnyMoreIsGivenBack)
{
    const auto sent = wantOne(1, TwoParts, T0);
    holder.tick(T0 + config::GrantTimeout);
    const auto back = only<SendGiveBack>(holder.onGrant(answerTo(sent, 3), 1, T0 + 40ms));
    CHECK(back[0] == (SendGiveBack {{Acme, sent.message.part, {{sent.message.id, 3, 0}}}}));
}

TEST(LimitsHolder, UnusedTokensAreGivenBackBeforeTheyExpire)
{
    const auto sent = wantOne(1, TwoParts, T0);
    holder.onGrant(answerTo(sent, 5), 1, T0 + 2ms);
    std::uint32_t unspent = 0;
    for (auto now = T0; now < T0 + config::GrantLifetime; now += config::LimitsTick) {
        for (const auto &entry : only<SendGiveBack>(holder.tick(now))) {
            unspent += entry.message.finished[0].unspent;
        }
    }
    LONGS_EQUAL(4, unspent);
    CHECK(!holder.allowance(Acme, TwoParts, T0)->takeAt(T0 + 400ms).has_value());
}

TEST(LimitsHolder, DelayedTokenAdmitsWhenItBecomesValid)
{
    auto grant = answerTo(wantOne(1, OnePart, T0), 1);
    grant.delayMilliseconds = 30;
    CHECK(only<Admit>(holder.onGrant(grant, 1, T0 + 2ms)).empty());
    CHECK(holder.nextWake() == std::optional(T0 + 32ms));
    CHECK(only<Admit>(holder.tick(T0 + 31ms)).empty());
    LONGS_EQUAL(1, only<Admit>(holder.tick(T0 + 32ms)).size());
}

TEST(LimitsHolder, DelayedTokenAdmitsNothingAfterItsExpiry)
{
    auto grant = answerTo(wantOne(1, OnePart, T0), 1);
    grant.delayMilliseconds = 30;
    holder.onGrant(grant, 1, T0 + 2ms);
    const auto effects = holder.tick(T0 + config::GrantLifetime);
    CHECK(only<Admit>(effects).empty());
    LONGS_EQUAL(1, only<Refuse>(effects).size());
}

TEST(LimitsHolder, TokenOfACancelledRequestIsGivenBack)
{
    const auto sent = wantOne(1, OnePart, T0);
    holder.cancel(Acme, 1);
    CHECK(only<Admit>(holder.onGrant(answerTo(sent, 1), 1, T0 + 2ms)).empty());
    const auto back = only<SendGiveBack>(holder.tick(T0 + 20ms));
    LONGS_EQUAL(1, back[0].message.finished[0].unspent);
}

TEST(LimitsHolder, SteadyDemandIsServedWithoutWaiting)
{
    unsigned waited = 0;
    constexpr unsigned Requests = 300;
    for (unsigned i = 0; i < Requests; ++i) {
        const auto now = T0 + 10ms * i;
        LimitsEffects effects = holder.tick(now);
        if (!holder.allowance(Acme, TwoParts, now)->takeAt(now)) {
            ++waited;
            const auto more = holder.wantToken(Acme, TwoParts, i, now + config::TokenWaitMax, now);
            effects.insert(effects.end(), more.begin(), more.end());
        }
        for (const auto &sent : only<SendGrantRequest>(effects)) {
            holder.onGrant(answerTo(sent, sent.message.waiting + sent.message.ahead), 1, now + 2ms);
        }
    }
    CHECK(waited < Requests / 20);
}

// An answer to an earlier incarnation must not look like one to a request of this one.
TEST(LimitsHolder, IncarnationsShareNoIds)
{
    LimitsHolder other(2);
    const auto first = wantOne(1, OnePart, T0);
    const auto second = only<SendGrantRequest>(other.wantToken(Acme, OnePart, 1, T0 + 1s, T0))[0];
    CHECK(first.message.id != second.message.id);
}

TEST(LimitsHolder, AgeInAReportCountsFromTheLastSpending)
{
    const auto sent = wantOne(1, TwoParts, T0);
    holder.onGrant(answerTo(sent, 2), 1, T0 + 2ms);
    const auto allowance = holder.allowance(Acme, TwoParts, T0);
    holder.tick(T0 + 70ms);
    CHECK(allowance->takeAt(T0 + 80ms).has_value());
    holder.tick(T0 + 90ms);
    const auto back = only<SendGiveBack>(holder.tick(T0 + 300ms));
    LONGS_EQUAL(210, back.at(0).message.finished[0].ageMilliseconds);
}

TEST(LimitsHolder, IdleTeamsKeepNoState)
{
    {
        const auto sent = wantOne(1, OnePart, T0);
        holder.onGrant(answerTo(sent, 1), 1, T0 + 2ms);
    }
    for (auto now = T0; now < T0 + 10s; now += 100ms) {
        holder.tick(now);
    }
    LONGS_EQUAL(0, holder.activeTeams());
    CHECK(holder.onGrant({}, 1, T0 + 10s).empty());
}

TEST(LimitsHolder, ReleaseGivesEverythingBack)
{
    const auto sent = wantOne(1, TwoParts, T0);
    holder.onGrant(answerTo(sent, 4), 1, T0 + 2ms);
    const auto back = only<SendGiveBack>(holder.release(T0 + 3ms));
    LONGS_EQUAL(3, back[0].message.finished[0].unspent);
}

TEST_GROUP(TeamAllowance) {};

TEST(TeamAllowance, TokensAreWorthNothingFromTheirExpiryOn)
{
    TeamAllowance allowance(Acme);
    CHECK(allowance.put(2, T0 + 5ms).has_value());
    CHECK(allowance.takeAt(T0 + 4ms).has_value());
    CHECK(!allowance.takeAt(T0 + 5ms).has_value());
    LONGS_EQUAL(1, allowance.reclaim(0));
    LONGS_EQUAL(2, allowance.drainDemand());
}

TEST(TeamAllowance, ThreadsTakeEachTokenOnce)
{
    constexpr std::uint32_t Tokens = 20000;
    TeamAllowance allowance(Acme);
    allowance.put(Tokens, T0 + 1s);
    std::atomic<std::uint32_t> taken {0};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (std::uint32_t n = 0; n < Tokens / 2; ++n) {
                taken += allowance.takeAt(T0) ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    LONGS_EQUAL(Tokens, taken.load());
}
