#include "limits_p.h"

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
namespace
{
Duration milliseconds(std::uint32_t count)
{
    return std::chrono::milliseconds(count);
}

std::vector<WaiterId> idsOf(const auto &waiters)
{
    std::vector<WaiterId> ids;
    ids.reserve(waiters.size());
    for (const auto &waiter : waiters) {
        ids.push_back(waiter.id);
    }
    return ids;
}
}

LimitsHolder::Team::Team(TeamName name, const TeamLimits &limits, std::uint64_t seed, unsigned maxParts, TimePoint now)
    : m_name(std::move(name))
    , m_maxParts(maxParts)
    , m_nextPart(static_cast<std::uint32_t>(seed))
    , m_allowance(new TeamAllowance(m_name))
    , m_refusedUntil(now)
    , m_allRefusedUntil(now)
    , m_demandTime(now)
    , m_lastDemand(now)
    , m_prefetchFrom(now)
{
    setLimits(limits);
}

void LimitsHolder::Team::setLimits(const TeamLimits &limits)
{
    if (limits == m_limits) {
        return;
    }
    m_limits = limits;
    m_parts = partCount(limits, m_maxParts);
    m_suspectUntil.resize(m_parts);
}

bool LimitsHolder::Team::idle() const
{
    constexpr double NoDemand = 0.05;
    return m_batches.empty() && m_queued.empty() && m_heldGrants.empty() && m_reports.empty() && m_demandRate < NoDemand;
}

std::optional<TimePoint> LimitsHolder::Team::nextDue() const
{
    std::optional<TimePoint> next;
    for (const auto &delayed : m_delayedAdmissions) {
        next = std::min(next.value_or(delayed.due), delayed.due);
    }
    return next;
}

void LimitsHolder::Team::acquireToken(WaiterId waiter, TimePoint deadline, LimitsCall &call)
{
    if (const auto expiry = m_allowance->takeWithoutCounting(call.now)) {
        call.effects.push_back(Admit {{waiter}, *expiry});
        return;
    }
    if (call.now < m_refusedUntil) {
        call.effects.push_back(Refuse {{waiter}, m_refusedUntil - call.now, m_refusalReason});
        return;
    }
    const Waiter entry {waiter, std::min<TimePoint>(deadline, call.now + config::MaxTokenWait), std::min<TimePoint>(deadline, call.now + config::MaxOwnerWait)};
    if (m_batches.size() < config::MaxParallelGrantRequests) {
        start({entry}, call);
    } else {
        m_queued.push_back(entry);
    }
}

void LimitsHolder::Team::cancel(WaiterId waiter)
{
    const auto matches = [waiter](const auto &entry) { return entry.id == waiter; };
    std::erase_if(m_queued, matches);
    for (auto &batch : m_batches) {
        std::erase_if(batch.waiters, matches);
    }
    for (auto &delayed : m_delayedAdmissions) {
        delayed.cancelled = delayed.cancelled || delayed.waiter == waiter;
    }
}

// Rotates over the parts, so that the fleet's demand spreads over all of them.
std::optional<std::uint32_t> LimitsHolder::Team::pickPart(TimePoint now)
{
    for (std::uint32_t i = 0; i < m_parts; ++i) {
        const auto part = m_nextPart++ % m_parts;
        if (hasSinglePart() || m_suspectUntil[part] <= now) {
            return part;
        }
    }
    return std::nullopt;
}

void LimitsHolder::Team::start(std::vector<Waiter> waiters, LimitsCall &call)
{
    Batch batch;
    batch.deadline = call.now + config::MaxTokenWait;
    batch.ownerDeadline = call.now + config::MaxOwnerWait;
    for (const auto &waiter : waiters) {
        batch.deadline = std::min(batch.deadline, waiter.deadline);
        batch.ownerDeadline = std::min(batch.ownerDeadline, waiter.ownerDeadline);
    }
    batch.waiters = std::move(waiters);
    // When all parts have refused recently, another request to each of them would only cost messages. Instead, the batch
    // sends one request, to a single part, and accepts delayed tokens.
    batch.acceptsDelay = !batch.waiters.empty() && call.now < m_allRefusedUntil;
    m_batches.push_back(std::move(batch));
    const auto entry = std::prev(m_batches.end());
    if (const auto part = pickPart(call.now)) {
        send(*entry, *part, call);
    } else {
        requestNextPart(entry, call);
    }
}

// After a change of epoch, parts have no acting owner for a short time. Therefore the next round also sends requests for the
// parts whose owners did not answer in the last round.
void LimitsHolder::Team::startRound(Batches::iterator batch, LimitsCall &call)
{
    batch->awaitingNextRound = false;
    std::fill(m_suspectUntil.begin(), m_suspectUntil.end(), TimePoint());
    requestNextPart(batch, call);
}

void LimitsHolder::Team::startQueued(LimitsCall &call)
{
    if (m_queued.empty() || m_batches.size() >= config::MaxParallelGrantRequests) {
        return;
    }
    std::vector<Waiter> waiters(m_queued.begin(), m_queued.end());
    m_queued.clear();
    start(std::move(waiters), call);
}

void LimitsHolder::Team::send(Batch &batch, std::uint32_t part, LimitsCall &call)
{
    const auto waiting = static_cast<std::uint32_t>(batch.waiters.size());
    const bool acceptsDelay = batch.acceptsDelay || hasSinglePart();
    const auto maxWait = acceptsDelay ? std::max(batch.deadline - call.now, Duration(0)) : Duration(0);
    const auto prefetchTokens = batch.acceptsDelay ? 0 : wantedPrefetchTokens(call.now);
    m_prefetchRequested = m_prefetchRequested || prefetchTokens > 0;
    const auto maxWaitMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(maxWait).count();
    batch.request = {call.nextId++, m_name, part, waiting, prefetchTokens, static_cast<std::uint32_t>(maxWaitMilliseconds), takeReports(part, call.now)};
    batch.sentAt = call.now;
    batch.timeout = call.now + config::GrantTimeout;
    call.effects.push_back(SendGrantRequest {batch.request});
}

// Sends the request again with the same id. The owner then repeats its answer and grants no further tokens, so a lost answer
// costs no token. Once the tokens of the first answer may have expired, a request with a new id is sent.
void LimitsHolder::Team::resend(Batch &batch, LimitsCall &call)
{
    if (call.now >= batch.sentAt + config::WaitingTokenLifetime) {
        send(batch, batch.request.part, call);
        return;
    }
    batch.timeout = call.now + config::GrantTimeout;
    call.effects.push_back(SendGrantRequest {batch.request});
}

void LimitsHolder::Team::onGrant(const Grant &grant, bool stale, LimitsCall &call)
{
    const auto batch = std::find_if(m_batches.begin(), m_batches.end(),
                                    [&grant](const auto &entry) { return entry.request.id == grant.id && entry.request.part == grant.part; });
    if (batch == m_batches.end()) {
        onLateGrant(grant, stale, call);
        return;
    }
    if (stale || grant.status == GrantStatus::NotActing || call.now >= batch->sentAt + grantLifetime(batch->request, grant)) {
        if (!batch->awaitingNextRound) {
            handleOwnerFailure(batch, config::NoOwnerPause, call);
        }
        return;
    }
    if (grant.part < m_parts) {
        m_suspectUntil[grant.part] = {};
    }
    if (batch->request.prefetchTokens > 0) {
        m_prefetchRequested = false;
        m_prefetchFrom = grant.tokens > batch->request.waiting ? call.now : call.now + config::PrefetchPause;
    }
    distribute(*batch, grant, call);
    if (batch->waiters.empty()) {
        end(batch, call);
    } else {
        onRefusal(batch, grant, call);
    }
}

void LimitsHolder::Team::onLateGrant(const Grant &grant, bool stale, LimitsCall &call)
{
    const auto timedOut = std::find_if(m_timedOutRequests.begin(), m_timedOutRequests.end(), [&grant](const auto &entry) { return entry.id == grant.id; });
    if (timedOut == m_timedOutRequests.end()) {
        return;
    }
    if (!stale && grant.tokens > 0) {
        const GrantReport unspent {grant.id, grant.tokens, 0};
        call.effects.push_back(SendTokenReturn {{m_name, grant.part, {unspent}}});
    }
    m_timedOutRequests.erase(timedOut);
}

// The owner of a team's single part knows the demand of the complete team, so its refusal is final. Otherwise the next
// part is tried.
void LimitsHolder::Team::onRefusal(Batches::iterator batch, const Grant &grant, LimitsCall &call)
{
    const auto retryAfter = milliseconds(grant.retryAfterMilliseconds);
    if (hasSinglePart()) {
        // The owner's retry delay starts when the owner receives the request. The pause, during which this daemon refuses new
        // requests, starts when the request is sent, so it never ends after the retry delay.
        const auto pause = std::max(batch->sentAt + retryAfter - call.now, Duration(0));
        refuse(batch, RefusalReason::OverRate, pause, retryAfter, call);
        return;
    }
    ++batch->refusals;
    if (retryAfter < batch->bestRetry) {
        batch->bestRetry = retryAfter;
        batch->bestPart = grant.part;
    }
    requestNextPart(batch, call);
}

void LimitsHolder::Team::requestNextPart(Batches::iterator batch, LimitsCall &call)
{
    if (batch->waiters.empty()) {
        end(batch, call);
        return;
    }
    const bool answered = batch->refusals > 0;
    if (batch->acceptsDelay) {
        m_allRefusedUntil = call.now + config::OverRateSinglePartTime;
        refuse(batch, RefusalReason::OverRate, config::OverRatePause, std::max<Duration>(batch->bestRetry, config::OverRatePause), call);
        return;
    }
    const auto part = batch->refusals < std::min(m_parts, config::MaxPartTries) ? pickPart(call.now) : std::nullopt;
    if (part) {
        send(*batch, *part, call);
    } else if (answered) {
        batch->acceptsDelay = true;
        send(*batch, batch->bestPart, call);
    } else if (call.now + config::GrantTimeout < batch->ownerDeadline) {
        batch->awaitingNextRound = true;
        batch->timeout = call.now + config::GrantTimeout;
    } else {
        refuse(batch, RefusalReason::NoOwner, config::NoOwnerPause, config::NoOwnerPause, call);
    }
}

void LimitsHolder::Team::handleOwnerFailure(Batches::iterator batch, Duration suspectTime, LimitsCall &call)
{
    if (hasSinglePart()) {
        // No other part can grant tokens, so the request is sent again at each timeout until the deadline.
        batch->timeout = call.now + config::GrantTimeout;
        return;
    }
    m_timedOutRequests.push_back({batch->request.id, batch->sentAt});
    if (batch->request.part < m_parts) {
        m_suspectUntil[batch->request.part] = call.now + suspectTime;
    }
    if (batch->request.prefetchTokens > 0) {
        m_prefetchRequested = false;
    }
    requestNextPart(batch, call);
}

void LimitsHolder::Team::refuse(Batches::iterator batch, RefusalReason reason, Duration pause, Duration retryAfter, LimitsCall &call)
{
    if (!batch->waiters.empty()) {
        call.effects.push_back(Refuse {idsOf(batch->waiters), retryAfter, reason});
        m_refusedUntil = call.now + pause;
        m_refusalReason = reason;
    }
    end(batch, call);
}

void LimitsHolder::Team::end(Batches::iterator batch, LimitsCall &call)
{
    m_batches.erase(batch);
    startQueued(call);
}

void LimitsHolder::Team::handleTimeouts(LimitsCall &call)
{
    for (auto batch = m_batches.begin(); batch != m_batches.end();) {
        const auto current = batch++;
        const auto reason = current->refusals > 0 ? RefusalReason::OverRate : RefusalReason::NoOwner;
        const auto deadline = reason == RefusalReason::NoOwner ? current->ownerDeadline : current->deadline;
        if (!current->waiters.empty() && deadline <= call.now) {
            m_timedOutRequests.push_back({current->request.id, current->sentAt});
            m_prefetchRequested = m_prefetchRequested && current->request.prefetchTokens == 0;
            refuse(current, reason, reason == RefusalReason::NoOwner ? config::NoOwnerPause : config::OverRatePause, config::NoOwnerPause, call);
        } else if (current->timeout <= call.now && current->awaitingNextRound) {
            startRound(current, call);
        } else if (current->timeout <= call.now && hasSinglePart()) {
            resend(*current, call);
        } else if (current->timeout <= call.now) {
            handleOwnerFailure(current, config::OwnerSuspectTime, call);
        }
    }
    std::erase_if(m_timedOutRequests, [&call](const auto &timedOut) { return timedOut.sentAt + config::GrantLifetime <= call.now; });
}

// Refuses queued requests at their deadline. After a batch was refused, also refuses all queued requests until
// `m_refusedUntil`.
void LimitsHolder::Team::refuseQueued(LimitsCall &call)
{
    std::vector<Waiter> refused;
    while (!m_queued.empty() && (m_queued.front().ownerDeadline <= call.now || call.now < m_refusedUntil)) {
        refused.push_back(m_queued.front());
        m_queued.pop_front();
    }
    if (!refused.empty()) {
        call.effects.push_back(Refuse {idsOf(refused), std::max<Duration>(m_refusedUntil - call.now, config::OverRatePause), m_refusalReason});
    }
}

void LimitsHolder::Team::tick(LimitsCall &call)
{
    measureDemand(call.now);
    admitDue(call);
    handleTimeouts(call);
    refuseQueued(call);
    finishEndedGrants(call);
    prefetch(call);
    flushReports(false, call);
}

void LimitsHolder::Team::release(LimitsCall &call)
{
    for (auto &held : m_heldGrants) {
        finish(held, call.now);
    }
    std::erase_if(m_heldGrants, [](const auto &held) { return held.delayed == 0; });
    flushReports(true, call);
}
}
