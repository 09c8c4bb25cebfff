#include <plumsill/config.h>
#include <plumsill/limits.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
namespace
{
constexpr Duration AnswerLifetime = config::GrantLifetime + config::GrantExpiryMargin;

// Limits of the bucket that estimates how many requests an ideal limiter would admit. The higher rate keeps the estimate
// from falling below the ideal when this daemon's clock runs slow.
TeamLimits demandLimits(const TeamLimits &limits)
{
    return {limits.rate * (1 + config::MaxClockDrift), limits.burst};
}

std::uint32_t wholeTokens(double tokens)
{
    // Levels are sums of fractions, so a token that is incomplete only by rounding counts as a whole one.
    constexpr double Rounding = 1e-9;
    return tokens < 1 - Rounding ? 0 : static_cast<std::uint32_t>(tokens + Rounding);
}

std::uint32_t toMillisecondsUp(Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

// Counts how many of the waiting requests an ideal bucket of the complete team would have admitted.
// Requests reach the owner late and slightly out of order. Therefore a request that misses its token by no more than
// DemandOrderSlack, or a quarter of a token if that is less, is admitted without a charge. The count is thus an upper bound;
// the real bucket limits what is granted.
std::uint32_t admitByDemand(PartBucket &demand, std::uint32_t waiting)
{
    constexpr double MaxSlack = 0.25;
    const double slack = std::min(MaxSlack, demand.limits().rate * seconds(config::DemandOrderSlack));
    std::uint32_t admitted = 0;
    while (admitted < waiting && demand.level() >= 1 - slack) {
        ++admitted;
        if (demand.level() >= 1) {
            demand.grant(1);
            demand.recordSpent(1, Duration(0));
        }
    }
    return admitted;
}

std::uint32_t retryAfter(const PartBucket &bucket)
{
    const double missing = 1 - std::min(bucket.level(), bucket.available());
    const double rate = bucket.limits().rate;
    constexpr double MaxRetryAfterSeconds = 3600;
    return missing <= 0 ? 1 : toMillisecondsUp(fromSeconds(rate > 0 ? std::min(MaxRetryAfterSeconds, missing / rate) : MaxRetryAfterSeconds));
}

// Number of tokens to grant for future requests. A share of the burst is reserved for waiting requests; only a share of the
// tokens above this reserve is granted in advance.
std::uint32_t grantPrefetch(const PartBucket &bucket, std::uint32_t wanted)
{
    const double spare = bucket.available() - bucket.limits().burst * config::PrefetchReserveShare;
    return std::min(wanted, wholeTokens(spare * config::PrefetchGrantShare));
}
}

LimitsOwner::LimitsOwner(unsigned maxParts)
    : m_maxParts(maxParts)
{ }

TeamLimits LimitsOwner::limitsOf(const PartKey &key, const TeamLimits &limits, TimePoint now) const
{
    auto result = partLimits(limits, key.part, m_maxParts);
    const auto change = m_changes.find(key.team);
    // Owners that still use the old document grant by the old limits. Until they can no longer act, the sum of the parts
    // stays within the limits of either document only if each part uses the smaller of both.
    if (change != m_changes.end() && now < change->second.until) {
        for (const auto &limitsBefore : change->second.before) {
            const auto before = partLimits(limitsBefore, key.part, m_maxParts);
            result = {std::min(result.rate, before.rate), std::min(result.burst, before.burst)};
        }
    }
    return result;
}

// A new owner starts with an empty bucket, since the former owner may have granted all tokens. For a part without state,
// nothing has been granted since this daemon became free to act, so the bucket has refilled from that time on.
LimitsOwner::Part &LimitsOwner::partFor(const PartKey &key, const TeamLimits &limits, const Tenure &tenure, TimePoint now)
{
    const auto part = limitsOf(key, limits, now);
    const auto known = m_parts.find(key);
    // When the first epochs of a tenure are removed from the membership's history, `tenure.since` moves to a later epoch. The
    // state therefore also belongs to this tenure if the tenure began no later than the last use of the state.
    if (known != m_parts.end() && (known->second.tenure == tenure.since || tenure.from <= known->second.lastUse)) {
        known->second.tenure = tenure.since;
        known->second.bucket.advance(now);
        known->second.bucket.setLimits(part);
        known->second.demand.advance(now);
        known->second.demand.setLimits(demandLimits(part));
        return known->second;
    }
    PartBucket bucket(part, 0, std::min(tenure.from, now));
    bucket.advance(now);
    Part fresh {bucket, PartBucket(demandLimits(part), part.burst, now), tenure.since, now, false, {}, {}, {}, {}};
    return m_parts.insert_or_assign(key, std::move(fresh)).first->second;
}

void LimitsOwner::expireTokens(Part &part, TimePoint now)
{
    if (part.inherited && part.inherited->expiry <= now) {
        part.bucket.recordSpent(part.inherited->tokens, now - part.inherited->expiry);
        part.inherited.reset();
    }
    while (!part.tokenExpiries.empty() && part.tokenExpiries.begin()->at <= now) {
        const auto &expiry = *part.tokenExpiries.begin();
        auto &answer = part.answers.at(expiry.id);
        part.bucket.recordSpent(answer.unreported, now - expiry.at);
        answer.unreported = 0;
        part.tokenExpiries.erase(part.tokenExpiries.begin());
    }
}

void LimitsOwner::expire(Part &part, TimePoint now)
{
    part.bucket.advance(now);
    expireTokens(part, now);
    while (!part.answerExpiries.empty() && part.answerExpiries.front().at <= now) {
        const auto &id = part.answerExpiries.front().id;
        auto &expiredAnswer = m_expiredAnswers[id.holder];
        expiredAnswer = {std::max(expiredAnswer.id, id.id), now};
        part.answers.erase(id);
        part.answerExpiries.pop_front();
    }
}

void LimitsOwner::applyReports(Part &part, const MemberId &holder, const std::vector<GrantReport> &reports)
{
    for (const auto &report : reports) {
        const auto answer = part.answers.find({holder, report.id});
        // A repeated report, or one that arrives after the grant's expiry, finds no unreported tokens.
        if (answer == part.answers.end() || answer->second.unreported == 0 || report.unspent > answer->second.unreported) {
            continue;
        }
        const auto age = fromSeconds(report.ageMilliseconds / 1000.0 * (1 - config::MaxClockDrift));
        part.bucket.returnTokens(report.unspent);
        part.bucket.recordSpent(answer->second.unreported - report.unspent, age);
        answer->second.unreported = 0;
    }
}

// If the team's bucket has a single part, the ideal bucket (`demand`) decides how many requests to admit. Their tokens are
// granted with the delay until the real bucket has refilled them.
void LimitsOwner::grantTokens(Part &part, const GrantRequest &request, bool singlePart, Grant &answer)
{
    const auto due = singlePart ? admitByDemand(part.demand, request.waiting) : request.waiting;
    const Duration maxWait = std::chrono::milliseconds(std::min<std::uint64_t>(request.maxWaitMilliseconds, config::MaxTokenWait.count()));
    std::uint32_t tokens = std::min(due, wholeTokens(part.bucket.available()));
    Duration delay {};
    while (tokens < due) {
        const auto next = part.bucket.delayFor(tokens + 1);
        if (!next || *next > maxWait) {
            break;
        }
        delay = *next;
        ++tokens;
    }
    part.bucket.grant(tokens);
    if (tokens == request.waiting) {
        const auto prefetchTokens = grantPrefetch(part.bucket, request.prefetchTokens);
        part.bucket.grant(prefetchTokens);
        tokens += prefetchTokens;
    }
    answer.tokens = tokens;
    answer.status = tokens > 0 ? GrantStatus::Granted : GrantStatus::OverRate;
    // The holder measures the delay with its own clock, which may run fast, so the delay is lengthened by the maximum drift.
    answer.delayMilliseconds = toMillisecondsUp(fromSeconds(seconds(delay) * (1 + config::MaxClockDrift)));
    if (tokens < request.waiting) {
        answer.retryAfterMilliseconds = retryAfter(singlePart && due < request.waiting ? part.demand : part.bucket);
    }
}

std::optional<Grant> LimitsOwner::onGrantRequest(const MemberId &holder, const GrantRequest &request, const TeamLimits &limits, const Tenure &tenure,
                                                 TimePoint now)
{
    const PartKey key {request.team, request.part};
    Grant answer {request.id, request.team, request.part, GrantStatus::NotActing, 0, 0, 0};
    const bool exists = partLimits(limits, key.part, m_maxParts).burst > 0;
    if (!tenure.mayAct || wasHandedOver(key, tenure) || !exists) {
        return answer;
    }
    auto &part = partFor(key, limits, tenure, now);
    expire(part, now);
    applyReports(part, holder, request.finished);
    const GrantId id {holder, request.id};
    if (const auto repeated = part.answers.find(id); repeated != part.answers.end()) {
        return repeated->second.grant;
    }
    // Ids increase, so this request was sent before one whose grant has already expired.
    if (const auto expiredAnswer = m_expiredAnswers.find(holder); expiredAnswer != m_expiredAnswers.end() && request.id <= expiredAnswer->second.id) {
        return std::nullopt;
    }
    grantTokens(part, request, partCount(limits, m_maxParts) == 1, answer);
    part.lastUse = now;
    part.granted = part.granted || answer.tokens > 0;
    part.answers.emplace(id, Answer {answer, answer.tokens});
    part.answerExpiries.push_back({now + AnswerLifetime, id});
    if (answer.tokens > 0) {
        part.tokenExpiries.insert({now + grantLifetime(request, answer) + config::GrantExpiryMargin, id});
    }
    return answer;
}

void LimitsOwner::onTokenReturn(const MemberId &holder, const TokenReturn &message, TimePoint now)
{
    const auto known = m_parts.find({message.team, message.part});
    if (known != m_parts.end()) {
        expire(known->second, now);
        applyReports(known->second, holder, message.finished);
    }
}

// A new team needs no wait, since no other owner grants tokens for it. After several changes in a row, owners with any of
// the documents may still act, so the smallest limits apply until only owners with the last document can act.
void LimitsOwner::limitsChanged(const LimitsChange &change, TimePoint now)
{
    if (change.before == TeamLimits {}) {
        return;
    }
    auto &known = m_changes[change.team];
    if (known.until <= now) {
        known.before.clear();
    }
    if (std::find(known.before.begin(), known.before.end(), change.before) == known.before.end()) {
        known.before.push_back(change.before);
    }
    known.until = now + config::LimitsChangeDelay;
}

// True when the part was handed over in this tenure. If the part returns to this daemon later, a new tenure starts, which
// is later than the hand-over.
bool LimitsOwner::wasHandedOver(const PartKey &key, const Tenure &tenure) const
{
    const auto found = m_handedOver.find(key);
    return found != m_handedOver.end() && tenure.from <= found->second;
}

std::vector<HandOver> LimitsOwner::handOver(const std::vector<OwnedPart> &owned, TimePoint now)
{
    std::vector<HandOver> parts;
    for (const auto &entry : owned) {
        if (!entry.tenure.mayAct || wasHandedOver(entry.key, entry.tenure)) {
            continue;
        }
        auto &part = partFor(entry.key, entry.limits, entry.tenure, now);
        expire(part, now);
        parts.push_back({entry.successor, entry.key.team, entry.key.part, part.bucket.available(), part.bucket.outstanding()});
        m_parts.erase(entry.key);
        m_handedOver[entry.key] = now;
    }
    return parts;
}

// The balance is valid only if nothing has been granted since the former owner handed the part over. Tokens granted by
// that owner stay outstanding until they must have expired. The check of the epoch refuses a hand-over from an earlier
// tenure. The check of the successor's id refuses one that was addressed to an earlier incarnation of this daemon, which may
// have granted the balance already.
bool LimitsOwner::acceptHandOver(const MemberId &self, const HandOver &message, std::uint64_t senderEpoch, const TeamLimits &limits, const Tenure &tenure,
                                 TimePoint now)
{
    if (message.successor != self || wasHandedOver({message.team, message.part}, tenure) || senderEpoch + 1 < tenure.since || message.outstanding < 0) {
        return false;
    }
    auto &part = partFor({message.team, message.part}, limits, tenure, now);
    expire(part, now);
    if (part.granted) {
        return false;
    }
    part.granted = true;
    part.lastUse = now;
    part.bucket.inherit(message.balance, message.outstanding);
    part.inherited = Inherited {message.outstanding, now + AnswerLifetime};
    return true;
}

// True when the state of a part may be removed. Its bucket is full then, so state that is created again later never contains
// more tokens.
bool LimitsOwner::idle(const Part &part, TimePoint now)
{
    const bool settled = part.answers.empty() && !part.inherited && part.bucket.full() && part.demand.full();
    return settled && now - part.lastUse >= config::LimitsIdleTime;
}

void LimitsOwner::tick(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + config::GrantLifetime;
    for (auto entry = m_parts.begin(); entry != m_parts.end();) {
        expire(entry->second, now);
        entry->second.demand.advance(now);
        entry = idle(entry->second, now) ? m_parts.erase(entry) : std::next(entry);
    }
    std::erase_if(m_changes, [&](const auto &entry) { return entry.second.until <= now; });
    std::erase_if(m_handedOver, [&](const auto &entry) { return now - entry.second >= config::LimitsIdleTime; });
    std::erase_if(m_expiredAnswers, [&](const auto &entry) { return now - entry.second.lastUse >= config::LimitsIdleTime; });
}

std::optional<double> LimitsOwner::available(const PartKey &key) const
{
    const auto known = m_parts.find(key);
    return known == m_parts.end() ? std::nullopt : std::optional(known->second.bucket.available());
}
}
