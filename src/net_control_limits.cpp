#include "control_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

#include <random>

namespace plumsill
{
LimitsControl::LimitsControl(Control &control)
    : m_control(control)
    , m_holder(std::random_device()())
{ }

boost::asio::awaitable<void> LimitsControl::run()
{
    while (true) {
        const TimePoint now = RuntimeClock::now();
        m_owner.tick(now);
        carryOut(m_holder.tick(now));
        sendHandOvers(now);
        applyLimitsChanges(now);
        const auto wake = m_holder.nextWake();
        const Duration delay = wake ? std::clamp<Duration>(*wake - now, std::chrono::milliseconds(1), config::LimitsTick) : Duration(config::LimitsTick);
        co_await sleepFor(delay);
    }
}

std::optional<TeamLimits> LimitsControl::limitsOf(const TeamName &team) const
{
    const auto found = m_limits.find(team);
    return found == m_limits.end() ? std::nullopt : std::optional(found->second);
}

void LimitsControl::requestToken(const TokenRequest &request)
{
    const auto limits = limitsOf(request.team);
    m_waiting[request.waiter] = {request.thread, request.team};
    if (!limits) {
        resolve(request.waiter, {false, {}, config::RetryAfterFailure, RefusalReason::OverRate, nullptr});
        return;
    }
    carryOut(m_holder.requestToken(request.team, *limits, request.waiter, request.deadline, RuntimeClock::now()));
}

void LimitsControl::resolve(WaiterId waiter, const TokenAnswer &answer)
{
    const auto found = m_waiting.find(waiter);
    if (found == m_waiting.end()) {
        return;
    }
    TokenAnswer complete = answer;
    if (const auto limits = limitsOf(found->second.team)) {
        complete.allowance = m_holder.allowance(found->second.team, *limits, RuntimeClock::now());
    }
    m_control.threads()[found->second.thread]->resolveToken(waiter, std::move(complete));
    m_waiting.erase(found);
}

void LimitsControl::sendToOwner(const PartKey &key, Message message)
{
    const Member *owner = m_control.membership().ownership().ownerOf(key);
    if (owner != nullptr) {
        m_control.send(owner->peer, std::move(message));
    }
}

void LimitsControl::carryOut(const LimitsEffects &effects)
{
    for (const auto &effect : effects) {
        if (const auto *request = std::get_if<SendGrantRequest>(&effect)) {
            sendToOwner({request->message.team, request->message.part}, request->message);
        } else if (const auto *returnTokens = std::get_if<SendTokenReturn>(&effect)) {
            sendToOwner({returnTokens->message.team, returnTokens->message.part}, returnTokens->message);
        } else if (const auto *admit = std::get_if<Admit>(&effect)) {
            for (const auto waiter : admit->waiters) {
                resolve(waiter, {true, admit->expiry, {}, {}, nullptr});
            }
        } else if (const auto *refuse = std::get_if<Refuse>(&effect)) {
            for (const auto waiter : refuse->waiters) {
                resolve(waiter, {false, {}, std::max<Duration>(refuse->retryAfter, config::RetryAfterFailure), refuse->reason, nullptr});
            }
        }
    }
}

// An owner of a part grants no tokens while its document may be outdated, because the limits in it may be outdated too.
void LimitsControl::received(const Envelope &envelope, const GrantRequest &request)
{
    const auto limits = limitsOf(request.team);
    if (!limits) {
        return;
    }
    const TimePoint now = RuntimeClock::now();
    auto &membership = m_control.membership();
    Tenure tenure = membership.ownership().tenure(PartKey {request.team, request.part}, now);
    tenure.mayAct = tenure.mayAct && membership.membership().documentConfirmed(now);
    const auto grant = m_owner.onGrantRequest(envelope.sender, request, *limits, tenure, now);
    if (grant) {
        m_control.send(envelope.replyTo, *grant);
    }
}

void LimitsControl::received(const Envelope &envelope, const Grant &grant)
{
    carryOut(m_holder.onGrant(grant, envelope.epoch, RuntimeClock::now()));
}

void LimitsControl::received(const Envelope &envelope, const TokenReturn &returnTokens)
{
    m_owner.onTokenReturn(envelope.sender, returnTokens, RuntimeClock::now());
}

void LimitsControl::received(const Envelope &envelope, const HandOver &handOver)
{
    const auto limits = limitsOf(handOver.team);
    if (!limits || !m_control.membership().acceptHandOver(envelope)) {
        return;
    }
    const TimePoint now = RuntimeClock::now();
    const Tenure tenure = m_control.membership().ownership().tenure(PartKey {handOver.team, handOver.part}, now);
    m_owner.acceptHandOver(m_control.membership().membership().self().id, handOver, envelope.epoch, *limits, tenure, now);
}

void LimitsControl::documentChanged(const Document &before, const Document &after)
{
    m_limits.clear();
    for (const auto &team : after.teams) {
        m_limits.emplace(team.name, TeamLimits {team.rate, team.burst});
    }
    m_changes = changedLimits(before, after);
    for (const auto &change : m_changes) {
        m_holder.limitsChanged(change);
    }
    m_nextLimitsChangeAt = RuntimeClock::now();
    applyLimitsChanges(m_nextLimitsChangeAt);
}

// An owner applies an increase of a limit only LimitsChangeDelay after a majority holds the new document. Until a
// majority holds it, the change is reported to the owner again at each HeartbeatInterval. Each report restarts the
// delay.
void LimitsControl::applyLimitsChanges(TimePoint now)
{
    if (m_changes.empty() || now < m_nextLimitsChangeAt) {
        return;
    }
    m_nextLimitsChangeAt = now + config::HeartbeatInterval;
    for (const auto &change : m_changes) {
        m_owner.limitsChanged(change, now);
    }
    if (m_control.membership().membership().majorityHolds(m_control.document().holder().stamp())) {
        m_changes.clear();
    }
}

void LimitsControl::epochAdopted(std::uint64_t epoch)
{
    m_holder.adoptEpoch(epoch);
    prepareHandOvers(RuntimeClock::now());
}

// When a new epoch assigns a part of a team's token bucket to another member, the part's balance is sent to that
// member, so that it can grant tokens at once.
void LimitsControl::prepareHandOvers(TimePoint now)
{
    const auto &ownership = m_control.membership().ownership();
    std::vector<OwnedPart> movedParts;
    for (const auto &[team, limits] : m_limits) {
        for (std::uint32_t part = 0; part < partCount(limits); ++part) {
            const PartKey key {team, part};
            const Tenure tenure = ownership.handOverTenure(key, now);
            const Member *successor = ownership.ownerOf(key);
            if (tenure.mayAct && successor != nullptr) {
                movedParts.push_back({key, limits, tenure, successor->id});
            }
        }
    }
    m_handOvers = m_owner.handOver(movedParts, now);
    m_handOverUntil = now + config::HandOverRepeatFor;
    m_nextHandOverAt = now;
    if (!m_handOvers.empty()) {
        logInfo(LogPart::Limits, "handing over " + std::to_string(m_handOvers.size()) + " parts");
    }
}

// Hand-overs (balances of parts for their new owners) are sent repeatedly, because the new owners may still be fetching
// the roster and datagrams may be lost.
void LimitsControl::sendHandOvers(TimePoint now)
{
    if (!m_handOverUntil || now >= *m_handOverUntil || now < m_nextHandOverAt) {
        return;
    }
    m_nextHandOverAt = now + config::HandOverRepeat;
    for (const auto &part : m_handOvers) {
        sendToOwner({part.team, part.part}, part);
    }
}
}
