#include <plumsill/config.h>
#include <plumsill/limits.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
namespace
{
constexpr Duration AnswerLifetime = config::GrantLifetime + config::GrantExpiryMargin;

// The estimate of what an ideal bucket would admit must not fall behind one: by a clock that runs fast or slow.
TeamLimits demandLimits(const TeamLimits &limits)
{
    return {limits.rate * (1 + config::MaxClockDrift), limits.burst};
}

std::uint32_t wholeTokens(double tokens)
{
    // Levels are sums of fractions: a token that is missing by rounding alone is whole.
    constexpr double Rounding = 1e-9;
    return tokens < 1 - Rounding ? 0 : static_cast<std::uint32_t>(tokens + Rounding);
}

std::uint32_t toMillisecondsUp(Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

// Counts how many of the waiting requests the ideal bucket of the whole team would have admitted.
// Requests reach the owner a little out of order and late, so the level is an upper bound: a request whose
// verdict hangs on a few milliseconds passes without a charge. The real bucket decides in the end.
std::uint32_t admitByDemand(PartBucket &demand, std::uint32_t waiting)
{
    constexpr double SlackMax = 0.25;
    const double slack = std::min(SlackMax, demand.limits().rate * seconds(config::DemandOrderSlack));
    std::uint32_t admitted = 0;
    while (admitted < waiting && demand.filled() >= 1 - slack) {
        ++admitted;
        if (demand.filled() >= 1) {
            demand.grant(1);
            demand.spent(1, Duration(0));
        }
    }
    return admitted;
}

std::uint32_t retryAfter(const PartBucket &bucket)
{
    const double missing = 1 - std::min(bucket.filled(), bucket.available());
    const double rate = bucket.limits().rate;
    constexpr double LongestSeconds = 3600;
    return missing <= 0 ? 1 : toMillisecondsUp(fromSeconds(rate > 0 ? std::min(LongestSeconds, missing / rate) : LongestSeconds));
}

// What may be granted for requests to come: a share of what is above the reserve.
std::uint32_t grantAhead(const PartBucket &bucket, std::uint32_t wanted)
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
    // Owners that still act by the old document grant by the old limits. Until they have lapsed, the parts'
    // sum stays within the limits of either document only if each part takes the smaller of both.
    if (change != m_changes.end() && now < change->second.until) {
        for (const auto &limitsBefore : change->second.before) {
            const auto before = partLimits(limitsBefore, key.part, m_maxParts);
            result = {std::min(result.rate, before.rate), std::min(result.burst, before.burst)};
        }
    }
    return result;
}

// A new owner starts empty, since the last one may have granted everything. Nothing was granted since then for a
// part without state, so it has refilled from the time at which this daemon became free to act.
LimitsOwner::Part &LimitsOwner::partFor(const PartKey &key, const TeamLimits &limits, const Tenure &tenure, TimePoint now)
{
    const auto part = limitsOf(key, limits, now);
    const auto known = m_parts.find(key);
    // A tenure whose first epochs are forgotten seems to begin later. It is still the one in which this state was used last
    // if it had begun by then.
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
        part.bucket.spent(part.inherited->tokens, now - part.inherited->expiry);
        part.inherited.reset();
    }
    while (!part.expiries.empty() && part.expiries.begin()->at <= now) {
        const auto &expiry = *part.expiries.begin();
        auto &answer = part.answers.at(expiry.id);
        part.bucket.spent(answer.open, now - expiry.at);
        answer.open = 0;
        part.expiries.erase(part.expiries.begin());
    }
}

void LimitsOwner::expire(Part &part, TimePoint now)
{
    part.bucket.advance(now);
    expireTokens(part, now);
    while (!part.forgetting.empty() && part.forgetting.front().at <= now) {
        const auto &id = part.forgetting.front().id;
        auto &forgotten = m_forgotten[id.holder];
        forgotten = {std::max(forgotten.id, id.id), now};
        part.answers.erase(id);
        part.forgetting.pop_front();
    }
}

void LimitsOwner::settle(Part &part, const MemberId &holder, const std::vector<GrantReport> &reports)
{
    for (const auto &report : reports) {
        const auto answer = part.answers.find({holder, report.id});
        // A report that comes twice, or after the grant's expiry, finds nothing open.
        if (answer == part.answers.end() || answer->second.open == 0 || report.unspent > answer->second.open) {
            continue;
        }
        const auto age = fromSeconds(report.ageMilliseconds / 1000.0 * (1 - config::MaxClockDrift));
        part.bucket.returnTokens(report.unspent);
        part.bucket.spent(answer->second.open - report.unspent, age);
        answer->second.open = 0;
    }
}

// The only part of a team refuses by what the ideal bucket would do, and lets the holder wait for the real one.
void LimitsOwner::promise(Part &part, const GrantRequest &request, bool single, Grant &answer)
{
    const auto due = single ? admitByDemand(part.demand, request.waiting) : request.waiting;
    const Duration patience = std::chrono::milliseconds(std::min<std::uint64_t>(request.maxWaitMilliseconds, config::TokenWaitMax.count()));
    std::uint32_t tokens = std::min(due, wholeTokens(part.bucket.available()));
    Duration delay {};
    while (tokens < due) {
        const auto next = part.bucket.delayFor(tokens + 1);
        if (!next || *next > patience) {
            break;
        }
        delay = *next;
        ++tokens;
    }
    part.bucket.grant(tokens);
    if (tokens == request.waiting) {
        const auto ahead = grantAhead(part.bucket, request.ahead);
        part.bucket.grant(ahead);
        tokens += ahead;
    }
    answer.tokens = tokens;
    answer.status = tokens > 0 ? GrantStatus::Granted : GrantStatus::OverRate;
    // Counted by the holder's clock, which may run fast.
    answer.delayMilliseconds = toMillisecondsUp(fromSeconds(seconds(delay) * (1 + config::MaxClockDrift)));
    if (tokens < request.waiting) {
        answer.retryAfterMilliseconds = retryAfter(single && due < request.waiting ? part.demand : part.bucket);
    }
}

std::optional<Grant> LimitsOwner::onGrantRequest(const MemberId &holder, const GrantRequest &request, const TeamLimits &limits, const Tenure &tenure,
                                                 TimePoint now)
{
    const PartKey key {request.team, request.part};
    Grant answer {request.id, request.team, request.part, GrantStatus::NotActing, 0, 0, 0};
    const bool exists = partLimits(limits, key.part, m_maxParts).burst > 0;
    if (!tenure.mayAct || givenUp(key, tenure) || !exists) {
        return answer;
    }
    auto &part = partFor(key, limits, tenure, now);
    expire(part, now);
    settle(part, holder, request.finished);
    const GrantId id {holder, request.id};
    if (const auto repeated = part.answers.find(id); repeated != part.answers.end()) {
        return repeated->second.grant;
    }
    // Ids rise, so this request was sent before one whose grant has expired already.
    if (const auto forgotten = m_forgotten.find(holder); forgotten != m_forgotten.end() && request.id <= forgotten->second.id) {
        return std::nullopt;
    }
    promise(part, request, partCount(limits, m_maxParts) == 1, answer);
    part.lastUse = now;
    part.granted = part.granted || answer.tokens > 0;
    part.answers.emplace(id, Answer {answer, answer.tokens});
    part.forgetting.push_back({now + AnswerLifetime, id});
    if (answer.tokens > 0) {
        part.expiries.insert({now + grantLifetime(request, answer) + config::GrantExpiryMargin, id});
    }
    return answer;
}

void LimitsOwner::onTokenReturn(const MemberId &holder, const TokenReturn &message, TimePoint now)
{
    const auto known = m_parts.find({message.team, message.part});
    if (known != m_parts.end()) {
        expire(known->second, now);
        settle(known->second, holder, message.finished);
    }
}

// A new team needs no wait: no other owner grants for it. After several changes in a row, owners with any of the
// documents may still act, so the smallest limits hold until all but the last have lapsed.
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

// A part that comes back later does so in another tenure, which begins after it was given up.
bool LimitsOwner::givenUp(const PartKey &key, const Tenure &tenure) const
{
    const auto found = m_givenUp.find(key);
    return found != m_givenUp.end() && tenure.from <= found->second;
}

std::vector<HandOver> LimitsOwner::handOver(const std::vector<OwnedPart> &owned, TimePoint now)
{
    std::vector<HandOver> parts;
    for (const auto &entry : owned) {
        if (!entry.tenure.mayAct || givenUp(entry.key, entry.tenure)) {
            continue;
        }
        auto &part = partFor(entry.key, entry.limits, entry.tenure, now);
        expire(part, now);
        parts.push_back({entry.successor, entry.key.team, entry.key.part, part.bucket.available(), part.bucket.outstanding()});
        m_parts.erase(entry.key);
        m_givenUp[entry.key] = now;
    }
    return parts;
}

// The balance is only right as long as nothing was granted since the last owner gave it up. What that owner had granted
// stays outstanding until it must have expired. A hand-over of an earlier term of this part is told by its epoch, and one
// that an earlier incarnation may have used by the successor's name.
bool LimitsOwner::acceptHandOver(const MemberId &self, const HandOver &message, std::uint64_t senderEpoch, const TeamLimits &limits, const Tenure &tenure,
                                 TimePoint now)
{
    if (message.successor != self || givenUp({message.team, message.part}, tenure) || senderEpoch + 1 < tenure.since || message.outstanding < 0) {
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

// A full bucket comes back at most as full as it was, so its state isn't needed.
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
    std::erase_if(m_givenUp, [&](const auto &entry) { return now - entry.second >= config::LimitsIdleTime; });
    std::erase_if(m_forgotten, [&](const auto &entry) { return now - entry.second.lastUse >= config::LimitsIdleTime; });
}

std::optional<double> LimitsOwner::available(const PartKey &key) const
{
    const auto known = m_parts.find(key);
    return known == m_parts.end() ? std::nullopt : std::optional(known->second.bucket.available());
}
}
