#include <plumsill/config.h>
#include <plumsill/limits.h>

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr double Tolerance = 0.02; // in tokens; the refill is slightly slower than the rate, to allow for clock drift

const TimePoint t0 = TimePoint(1000s);
const TeamName acme {"acme"};
const MemberId holderId {{"entry-1"}, 7};
const MemberId successorId {{"entry-2"}, 4};
const TeamLimits onePart {1, 10};
const TeamLimits twoParts {20, 2 * config::MinPartBurst};
const Tenure longTenure {true, 1, t0 - 100s};

GrantRequest request(std::uint64_t id, std::uint32_t waiting, std::uint32_t maxWait = 0)
{
    return {id, acme, 0, waiting, 0, maxWait, {}};
}

template<class Effect>
std::vector<Effect> effectsOf(const LimitsEffects &effects)
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
    PartBucket bucket({10, 5}, 5, t0);
    bucket.grant(4);
    bucket.advance(t0 + 10s);
    DOUBLES_EQUAL(1, bucket.available(), 1e-9);
    bucket.recordSpent(4, 0s);
    bucket.advance(t0 + 10s + 100ms);
    DOUBLES_EQUAL(2, bucket.available(), Tolerance);
}

TEST(PartBucket, LateReportRestoresDiscardedRefill)
{
    PartBucket bucket({10, 5}, 5, t0);
    bucket.grant(4);
    bucket.advance(t0 + 300ms);
    bucket.recordSpent(4, 200ms);
    DOUBLES_EQUAL(3, bucket.available(), Tolerance);
}

TEST(PartBucket, NoMoreThanTheBurstIsGrantedInAdvance)
{
    PartBucket bucket({10, 2}, 0, t0);
    CHECK(bucket.delayFor(2).has_value());
    bucket.grant(2);
    CHECK(!bucket.delayFor(1).has_value());
}

TEST(PartBucket, PartsSumUpToTheTeamLimits)
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
    before.teams = {{{"removed"}, 1, 1, {}}, {{"same"}, 2, 2, {}}, {{"up"}, 3, 3, {}}};
    after.teams = {{{"same"}, 2, 2, {}}, {{"up"}, 4, 3, {}}};
    const std::vector<LimitsChange> expected {{{"removed"}, {1, 1}, {}}, {{"up"}, {3, 3}, {4, 3}}};
    CHECK(changedLimits(before, after) == expected);
}

TEST_GROUP(LimitsOwner)
{
    LimitsOwner owner;
};

TEST(LimitsOwner, NewOwnerStartsEmptyAndRefillsFromItsStart)
{
    const TeamLimits limits {2, 10};
    const Tenure fresh {true, 5, t0};
    LONGS_EQUAL(0, owner.onGrantRequest(holderId, request(1, 1), limits, fresh, t0)->tokens);
    LimitsOwner later;
    LONGS_EQUAL(5, later.onGrantRequest(holderId, request(1, 9), limits, fresh, t0 + 3s)->tokens);
}

TEST(LimitsOwner, OwnerInALaterTenureStartsEmpty)
{
    LONGS_EQUAL(1, owner.onGrantRequest(holderId, request(1, 1), onePart, longTenure, t0)->tokens);
    LONGS_EQUAL(0, owner.onGrantRequest(holderId, request(2, 1), onePart, {true, 3, t0 + 1s}, t0 + 1s)->tokens);
}

TEST(LimitsOwner, TenureWithExpiredEpochHistoryKeepsItsBucket)
{
    LONGS_EQUAL(9, owner.onGrantRequest(holderId, request(1, 9), onePart, longTenure, t0)->tokens);
    const Tenure shortened {true, 5, t0 - 50s};
    LONGS_EQUAL(1, owner.onGrantRequest(holderId, request(2, 9), onePart, shortened, t0 + 1ms)->tokens);
}

TEST(LimitsOwner, HandOverIsAcceptedBeforeTheEpochIsConfirmed)
{
    const HandOver message {successorId, acme, 0, 5, 2};
    CHECK(owner.acceptHandOver(successorId, message, 4, onePart, {false, 0, t0}, t0));
    LONGS_EQUAL(5, owner.onGrantRequest(holderId, request(1, 9), onePart, {true, 4, t0}, t0 + 1ms)->tokens);
}

TEST(LimitsOwner, NothingIsGrantedWithoutTheRightToAct)
{
    const auto answer = owner.onGrantRequest(holderId, request(1, 1), onePart, {false, 1, t0 - 100s}, t0);
    CHECK(answer->status == GrantStatus::NotActing);
    LONGS_EQUAL(0, answer->tokens);
    LONGS_EQUAL(0, owner.activeParts());
}

TEST(LimitsOwner, RepeatedRequestGetsTheSameAnswer)
{
    const auto first = owner.onGrantRequest(holderId, request(1, 3), onePart, longTenure, t0);
    const auto second = owner.onGrantRequest(holderId, request(1, 3), onePart, longTenure, t0 + 40ms);
    CHECK(first == second);
    DOUBLES_EQUAL(7, *owner.available({acme, 0}), 1e-9);
}

TEST(LimitsOwner, RepeatedReportChangesNothing)
{
    owner.onGrantRequest(holderId, request(1, 3), onePart, longTenure, t0);
    const TokenReturn report {acme, 0, {{1, 2, 0}}};
    owner.onTokenReturn(holderId, report, t0 + 10ms);
    owner.onTokenReturn(holderId, report, t0 + 10ms);
    DOUBLES_EQUAL(9, *owner.available({acme, 0}), 1e-9);
}

TEST(LimitsOwner, MoreThanWasGrantedCannotBeReturned)
{
    owner.onGrantRequest(holderId, request(1, 1), onePart, longTenure, t0);
    owner.onTokenReturn(holderId, {acme, 0, {{1, 50, 0}}}, t0);
    DOUBLES_EQUAL(9, *owner.available({acme, 0}), 1e-9);
}

TEST(LimitsOwner, UnreportedGrantCountsAsSpentAtItsExpiry)
{
    auto prefetchRequest = request(1, 0);
    prefetchRequest.prefetchTokens = 2;
    LONGS_EQUAL(2, owner.onGrantRequest(holderId, prefetchRequest, onePart, longTenure, t0)->tokens);
    owner.tick(t0 + config::GrantLifetime - 1ms);
    DOUBLES_EQUAL(8, *owner.available({acme, 0}), 1e-9);
    owner.tick(t0 + config::GrantLifetime + config::GrantExpiryMargin + 1s);
    DOUBLES_EQUAL(9, *owner.available({acme, 0}), Tolerance);
}

TEST(LimitsOwner, TokensOfWaitingRequestsAreChargedSoonWithoutAReport)
{
    const auto grant = owner.onGrantRequest(holderId, request(1, 10), onePart, longTenure, t0);
    CHECK(grantLifetime(request(1, 10), *grant) == config::WaitingTokenLifetime);
    const auto charged = t0 + config::WaitingTokenLifetime + config::GrantExpiryMargin;
    owner.onTokenReturn(holderId, {acme, 0, {}}, charged - 1ms);
    DOUBLES_EQUAL(0, *owner.available({acme, 0}), 1e-9);
    owner.onTokenReturn(holderId, {acme, 0, {}}, charged + 2s);
    DOUBLES_EQUAL(2, *owner.available({acme, 0}), Tolerance);
}

TEST(LimitsOwner, RequestOlderThanTheStoredAnswersIsDropped)
{
    owner.onGrantRequest(holderId, request(5, 1), onePart, longTenure, t0);
    const auto late = t0 + config::GrantLifetime + config::GrantExpiryMargin;
    CHECK(!owner.onGrantRequest(holderId, request(4, 1), onePart, longTenure, late).has_value());
    CHECK(owner.onGrantRequest(holderId, request(6, 1), onePart, longTenure, late).has_value());
}

TEST(LimitsOwner, SmallTeamIsRefusedOnlyWhereAnIdealBucketRefuses)
{
    const TeamLimits single {1, 1};
    LONGS_EQUAL(1, owner.onGrantRequest(holderId, request(1, 1, 300), single, longTenure, t0)->tokens);
    owner.onTokenReturn(holderId, {acme, 0, {{1, 0, 0}}}, t0 + 20ms);
    const auto early = owner.onGrantRequest(holderId, request(2, 1, 300), single, longTenure, t0 + 900ms);
    CHECK(early->status == GrantStatus::OverRate);
    CHECK(early->retryAfterMilliseconds >= 95 && early->retryAfterMilliseconds <= 101);
    // The report arrived 20 ms after the token was spent, so the real bucket lags behind the ideal one and the token is delayed.
    const auto granted = owner.onGrantRequest(holderId, request(3, 1, 300), single, longTenure, t0 + 1001ms);
    LONGS_EQUAL(1, granted->tokens);
    CHECK(granted->delayMilliseconds > 0 && granted->delayMilliseconds <= 30);
}

TEST(LimitsOwner, HandOverCarriesBalanceAndOutstandingTokens)
{
    owner.onGrantRequest(holderId, request(1, 4), onePart, longTenure, t0);
    const auto parts = owner.handOver({{{acme, 0}, onePart, longTenure, successorId}}, t0);
    LONGS_EQUAL(1, parts.size());
    CHECK(owner.onGrantRequest(holderId, request(2, 1), onePart, longTenure, t0)->status == GrantStatus::NotActing);
    LimitsOwner successor;
    const Tenure tenure {true, 2, t0};
    CHECK(!successor.acceptHandOver({successorId.name, successorId.incarnation + 1}, parts[0], 1, onePart, tenure, t0));
    CHECK(successor.acceptHandOver(successorId, parts[0], 1, onePart, tenure, t0));
    DOUBLES_EQUAL(6, *successor.available({acme, 0}), 1e-9);
    successor.tick(t0 + 400ms);
    DOUBLES_EQUAL(6, *successor.available({acme, 0}), 1e-9);
    CHECK(!successor.acceptHandOver(successorId, parts[0], 1, onePart, tenure, t0 + 1ms));
    successor.tick(t0 + config::GrantLifetime + config::GrantExpiryMargin + 1s);
    DOUBLES_EQUAL(7, *successor.available({acme, 0}), Tolerance);
}

TEST(LimitsOwner, HandOverIsRefusedAfterAGrantAndWhenStale)
{
    const HandOver message {successorId, acme, 0, 5, 0};
    const Tenure tenure {true, 4, t0 - 2s};
    CHECK(!owner.acceptHandOver(successorId, message, 2, onePart, tenure, t0));
    LONGS_EQUAL(1, owner.onGrantRequest(holderId, request(1, 1), onePart, tenure, t0)->tokens);
    CHECK(!owner.acceptHandOver(successorId, message, 3, onePart, tenure, t0));
}

TEST(LimitsOwner, LargerLimitsWaitForOwnersOfTheOldDocument)
{
    const TeamLimits before {1, 2};
    const TeamLimits after {1000, 10};
    LONGS_EQUAL(2, owner.onGrantRequest(holderId, request(1, 2), before, longTenure, t0)->tokens);
    owner.limitsChanged({acme, before, after}, t0);
    owner.onGrantRequest(holderId, request(2, 0), after, longTenure, t0);
    LONGS_EQUAL(0, owner.onGrantRequest(holderId, request(3, 1), after, longTenure, t0 + 100ms)->tokens);
    const auto later = t0 + config::LimitsChangeDelay;
    owner.onGrantRequest(holderId, request(4, 0), after, longTenure, later);
    LONGS_EQUAL(10, owner.onGrantRequest(holderId, request(5, 10), after, longTenure, later + 1s)->tokens);
}

TEST(LimitsOwner, SmallerLimitsApplyAtOnce)
{
    owner.onGrantRequest(holderId, request(1, 0), onePart, longTenure, t0);
    const TeamLimits after {1, 2};
    owner.limitsChanged({acme, onePart, after}, t0);
    LONGS_EQUAL(2, owner.onGrantRequest(holderId, request(2, 5), after, longTenure, t0)->tokens);
}

TEST(LimitsOwner, IdlePartsKeepNoState)
{
    owner.onGrantRequest(holderId, request(1, 1), onePart, longTenure, t0);
    owner.tick(t0 + config::LimitsIdleTime + 20s);
    LONGS_EQUAL(0, owner.activeParts());
    LONGS_EQUAL(10, owner.onGrantRequest(holderId, request(2, 99), onePart, longTenure, t0 + config::LimitsIdleTime + 21s)->tokens);
}

TEST_GROUP(LimitsHolder)
{
    LimitsHolder holder {1};

    LimitsEffects addWaiter(WaiterId waiter, const TeamLimits &limits, TimePoint now)
    {
        holder.allowance(acme, limits, now)->takeAt(now);
        return holder.requestToken(acme, limits, waiter, now + config::MaxTokenWait, now);
    }
    SendGrantRequest addWaiterExpectingRequest(WaiterId waiter, const TeamLimits &limits, TimePoint now)
    {
        const auto sent = effectsOf<SendGrantRequest>(addWaiter(waiter, limits, now));
        LONGS_EQUAL(1, sent.size());
        return sent[0];
    }
};

TEST(LimitsHolder, WaitingRequestIsAdmittedByAGrant)
{
    const auto sent = addWaiterExpectingRequest(1, onePart, t0);
    const auto admitted = effectsOf<Admit>(holder.onGrant(answerTo(sent, 1), 1, t0 + 2ms));
    LONGS_EQUAL(1, admitted.size());
    CHECK(admitted[0] == (Admit {{1}, t0 + config::WaitingTokenLifetime}));
}

TEST(LimitsHolder, RepeatedGrantAdmitsNothingMore)
{
    const auto sent = addWaiterExpectingRequest(1, twoParts, t0);
    holder.onGrant(answerTo(sent, 2), 1, t0 + 2ms);
    CHECK(holder.onGrant(answerTo(sent, 2), 1, t0 + 3ms).empty());
    const auto allowance = holder.allowance(acme, twoParts, t0);
    CHECK(allowance->takeAt(t0 + 4ms).has_value());
    CHECK(!allowance->takeAt(t0 + 4ms).has_value());
}

TEST(LimitsHolder, GrantThatComesAfterItsExpiryAdmitsNothing)
{
    const auto sent = addWaiterExpectingRequest(1, onePart, t0);
    CHECK(effectsOf<Admit>(holder.onGrant(answerTo(sent, 1), 1, t0 + config::WaitingTokenLifetime)).empty());
}

TEST(LimitsHolder, GrantOfAnOlderEpochIsRefused)
{
    const auto sent = addWaiterExpectingRequest(1, twoParts, t0);
    holder.adoptEpoch(3);
    CHECK(effectsOf<Admit>(holder.onGrant(answerTo(sent, 1), 2, t0 + 2ms)).empty());
}

TEST(LimitsHolder, NextPartIsTriedBeforeRefusing)
{
    const auto first = addWaiterExpectingRequest(1, twoParts, t0);
    const auto second = effectsOf<SendGrantRequest>(holder.onGrant(answerTo(first, 0, 50), 1, t0 + 2ms));
    LONGS_EQUAL(1, second.size());
    CHECK(second[0].message.part != first.message.part);
    const auto last = effectsOf<SendGrantRequest>(holder.onGrant(answerTo(second[0], 0, 40), 1, t0 + 4ms));
    LONGS_EQUAL(second[0].message.part, last[0].message.part);
    CHECK(last[0].message.maxWaitMilliseconds > 0);
    const auto refused = effectsOf<Refuse>(holder.onGrant(answerTo(last[0], 0, 400), 1, t0 + 6ms));
    LONGS_EQUAL(1, refused.size());
    CHECK(refused[0].reason == RefusalReason::OverRate);
    CHECK(refused[0].retryAfter > 0s);
    CHECK(effectsOf<SendGrantRequest>(addWaiter(2, twoParts, t0 + 7ms)).empty());
}

TEST(LimitsHolder, RefusalOfASmallTeamCarriesTheRetryDelay)
{
    const auto sent = addWaiterExpectingRequest(1, onePart, t0);
    const auto refused = effectsOf<Refuse>(holder.onGrant(answerTo(sent, 0, 700), 1, t0 + 2ms));
    CHECK(refused[0] == (Refuse {{1}, 700ms, RefusalReason::OverRate}));
    LONGS_EQUAL(1, effectsOf<Refuse>(addWaiter(2, onePart, t0 + 699ms)).size());
    LONGS_EQUAL(1, effectsOf<SendGrantRequest>(addWaiter(3, onePart, t0 + 701ms)).size());
}

TEST(LimitsHolder, UnansweredRequestsAreRefusedWithoutAnOwner)
{
    addWaiter(1, twoParts, t0);
    std::vector<Refuse> refused;
    for (auto now = t0; now < t0 + config::MaxOwnerWait + 20ms; now += config::LimitsTick) {
        for (const auto &entry : effectsOf<Refuse>(holder.tick(now))) {
            refused.push_back(entry);
        }
    }
    LONGS_EQUAL(1, refused.size());
    CHECK(refused[0].reason == RefusalReason::NoOwner);
}

TEST(LimitsHolder, RequestOutlastsAHandOver)
{
    auto sent = effectsOf<SendGrantRequest>(holder.requestToken(acme, twoParts, 1, t0 + 5s, t0)).at(0);
    std::size_t refused = 0;
    std::size_t admitted = 0;
    for (auto now = t0 + 1ms; now < t0 + config::MaxOwnerWait && admitted == 0; now += 1ms) {
        const bool acting = now >= t0 + 300ms;
        const auto status = acting ? GrantStatus::Granted : GrantStatus::NotActing;
        auto effects = holder.onGrant({sent.message.id, sent.message.team, sent.message.part, status, acting ? 1U : 0U, 0, 0}, 1, now);
        const auto more = holder.tick(now);
        effects.insert(effects.end(), more.begin(), more.end());
        refused += effectsOf<Refuse>(effects).size();
        admitted += effectsOf<Admit>(effects).size();
        for (const auto &request : effectsOf<SendGrantRequest>(effects)) {
            sent = request;
        }
    }
    LONGS_EQUAL(0, refused);
    LONGS_EQUAL(1, admitted);
}

TEST(LimitsHolder, UnansweredRequestOfASmallTeamIsResentWithTheSameId)
{
    const auto sent = addWaiterExpectingRequest(1, onePart, t0);
    const auto again = effectsOf<SendGrantRequest>(holder.tick(t0 + config::GrantTimeout));
    LONGS_EQUAL(1, again.size());
    CHECK(again[0] == sent);
}

TEST(LimitsHolder, TokensOfATimedOutRequestAreReturned)
{
    const auto sent = addWaiterExpectingRequest(1, twoParts, t0);
    holder.tick(t0 + config::GrantTimeout);
    const auto back = effectsOf<SendTokenReturn>(holder.onGrant(answerTo(sent, 3), 1, t0 + 40ms));
    CHECK(back[0] == (SendTokenReturn {{acme, sent.message.part, {{sent.message.id, 3, 0}}}}));
}

TEST(LimitsHolder, UnusedTokensAreReturnedBeforeTheyExpire)
{
    const auto sent = addWaiterExpectingRequest(1, twoParts, t0);
    holder.onGrant(answerTo(sent, 5), 1, t0 + 2ms);
    std::uint32_t unspent = 0;
    for (auto now = t0; now < t0 + config::GrantLifetime; now += config::LimitsTick) {
        for (const auto &entry : effectsOf<SendTokenReturn>(holder.tick(now))) {
            unspent += entry.message.finished[0].unspent;
        }
    }
    LONGS_EQUAL(4, unspent);
    CHECK(!holder.allowance(acme, twoParts, t0)->takeAt(t0 + 400ms).has_value());
}

TEST(LimitsHolder, DelayedTokenAdmitsWhenItBecomesValid)
{
    auto grant = answerTo(addWaiterExpectingRequest(1, onePart, t0), 1);
    grant.delayMilliseconds = 30;
    CHECK(effectsOf<Admit>(holder.onGrant(grant, 1, t0 + 2ms)).empty());
    CHECK(holder.nextWake() == std::optional(t0 + 32ms));
    CHECK(effectsOf<Admit>(holder.tick(t0 + 31ms)).empty());
    LONGS_EQUAL(1, effectsOf<Admit>(holder.tick(t0 + 32ms)).size());
}

TEST(LimitsHolder, DelayedTokenAdmitsNothingAfterItsExpiry)
{
    auto grant = answerTo(addWaiterExpectingRequest(1, onePart, t0), 1);
    grant.delayMilliseconds = 30;
    holder.onGrant(grant, 1, t0 + 2ms);
    const auto effects = holder.tick(t0 + config::GrantLifetime);
    CHECK(effectsOf<Admit>(effects).empty());
    LONGS_EQUAL(1, effectsOf<Refuse>(effects).size());
}

TEST(LimitsHolder, TokenOfACancelledRequestIsReturned)
{
    const auto sent = addWaiterExpectingRequest(1, onePart, t0);
    holder.cancel(acme, 1);
    CHECK(effectsOf<Admit>(holder.onGrant(answerTo(sent, 1), 1, t0 + 2ms)).empty());
    const auto back = effectsOf<SendTokenReturn>(holder.tick(t0 + 20ms));
    LONGS_EQUAL(1, back[0].message.finished[0].unspent);
}

TEST(LimitsHolder, SteadyDemandIsServedWithoutWaiting)
{
    unsigned waited = 0;
    constexpr unsigned Requests = 300;
    for (unsigned i = 0; i < Requests; ++i) {
        const auto now = t0 + 10ms * i;
        LimitsEffects effects = holder.tick(now);
        if (!holder.allowance(acme, twoParts, now)->takeAt(now)) {
            ++waited;
            const auto more = holder.requestToken(acme, twoParts, i, now + config::MaxTokenWait, now);
            effects.insert(effects.end(), more.begin(), more.end());
        }
        for (const auto &sent : effectsOf<SendGrantRequest>(effects)) {
            holder.onGrant(answerTo(sent, sent.message.waiting + sent.message.prefetchTokens), 1, now + 2ms);
        }
    }
    CHECK(waited < Requests / 20);
}

// Guards against taking an answer to an earlier incarnation's request for an answer to one of this incarnation.
TEST(LimitsHolder, IncarnationsUseDistinctIds)
{
    LimitsHolder other(2);
    const auto first = addWaiterExpectingRequest(1, onePart, t0);
    const auto second = effectsOf<SendGrantRequest>(other.requestToken(acme, onePart, 1, t0 + 1s, t0))[0];
    CHECK(first.message.id != second.message.id);
}

TEST(LimitsHolder, AgeInAReportCountsFromTheLastSpending)
{
    const auto sent = addWaiterExpectingRequest(1, twoParts, t0);
    holder.onGrant(answerTo(sent, 2), 1, t0 + 2ms);
    const auto allowance = holder.allowance(acme, twoParts, t0);
    holder.tick(t0 + 70ms);
    CHECK(allowance->takeAt(t0 + 80ms).has_value());
    holder.tick(t0 + 90ms);
    const auto back = effectsOf<SendTokenReturn>(holder.tick(t0 + 300ms));
    LONGS_EQUAL(210, back.at(0).message.finished[0].ageMilliseconds);
}

TEST(LimitsHolder, IdleTeamsKeepNoState)
{
    {
        const auto sent = addWaiterExpectingRequest(1, onePart, t0);
        holder.onGrant(answerTo(sent, 1), 1, t0 + 2ms);
    }
    for (auto now = t0; now < t0 + 10s; now += 100ms) {
        holder.tick(now);
    }
    LONGS_EQUAL(0, holder.activeTeams());
    CHECK(holder.onGrant({}, 1, t0 + 10s).empty());
}

TEST(LimitsHolder, ReleaseReturnsAllTokens)
{
    const auto sent = addWaiterExpectingRequest(1, twoParts, t0);
    holder.onGrant(answerTo(sent, 4), 1, t0 + 2ms);
    const auto back = effectsOf<SendTokenReturn>(holder.release(t0 + 3ms));
    LONGS_EQUAL(3, back[0].message.finished[0].unspent);
}

TEST_GROUP(TeamAllowance) {};

TEST(TeamAllowance, TokensAreInvalidFromTheirExpiry)
{
    TeamAllowance allowance(acme);
    CHECK(allowance.addGrant(2, t0 + 5ms).has_value());
    CHECK(allowance.takeAt(t0 + 4ms).has_value());
    CHECK(!allowance.takeAt(t0 + 5ms).has_value());
    LONGS_EQUAL(1, allowance.reclaim(0));
    LONGS_EQUAL(2, allowance.drainDemand());
}

TEST(TeamAllowance, ThreadsTakeEachTokenOnce)
{
    constexpr std::uint32_t Tokens = 20000;
    TeamAllowance allowance(acme);
    allowance.addGrant(Tokens, t0 + 1s);
    std::atomic<std::uint32_t> taken {0};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (std::uint32_t n = 0; n < Tokens / 2; ++n) {
                taken += allowance.takeAt(t0) ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    LONGS_EQUAL(Tokens, taken.load());
}
