#include "limits_p.h"

#include <plumsill/config.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
namespace
{
// Time by which the report of an ended grant may be delayed. A late report makes the owner's bucket discard refill only if
// the bucket is nearly full, so the delay is proportional to the time that an empty bucket takes to fill.
Duration reportDelay(const TeamLimits &limits)
{
    const double fillTime = limits.rate > 0 ? limits.burst / limits.rate : 0;
    return std::clamp<Duration>(fromSeconds(fillTime * config::GrantReportShare), config::MinGrantReportDelay, config::MaxGrantReportDelay);
}
}

// Serves the waiting requests first. The remaining tokens are kept for future requests if the team has several parts, the
// tokens are valid immediately and the allowance has a free slot. Otherwise they are returned to the owner.
void LimitsHolder::Team::distribute(Batch &batch, const Grant &grant, LimitsCall &call)
{
    if (grant.tokens == 0) {
        return;
    }
    const auto lifetime = grantLifetime(batch.request, grant);
    const bool reported = lifetime == config::GrantLifetime;
    HeldGrant held {grant.id, grant.part, call.now, batch.sentAt + lifetime, reported, {}, 0, 0, call.now};
    auto tokens = grant.tokens;
    const Duration delay = std::chrono::milliseconds(grant.delayMilliseconds);
    const auto served = std::min<std::size_t>(tokens, batch.waiters.size());
    Admit admit {{}, held.expiry};
    for (std::size_t i = 0; i < served; ++i) {
        if (delay > Duration(0)) {
            m_delayedAdmissions.push_back({call.now + delay, batch.waiters[i].id, false, grant.id});
            ++held.delayed;
        } else {
            admit.waiters.push_back(batch.waiters[i].id);
        }
        --tokens;
    }
    batch.waiters.erase(batch.waiters.begin(), batch.waiters.begin() + static_cast<std::ptrdiff_t>(served));
    while (tokens > 0 && delay == Duration(0) && !m_queued.empty()) {
        admit.waiters.push_back(m_queued.front().id);
        m_queued.pop_front();
        --tokens;
    }
    if (!admit.waiters.empty()) {
        call.effects.push_back(std::move(admit));
    }
    if (tokens > 0 && delay == Duration(0) && !hasSinglePart()) {
        held.slot = m_allowance->addGrant(tokens, held.expiry);
    }
    held.unspent = held.slot ? 0 : tokens;
    if (held.slot || held.delayed > 0) {
        m_heldGrants.push_back(held);
    } else {
        report(held, call.now);
    }
}

// If the control thread was suspended, the grant may have expired by now. The requests that wait for its tokens are then
// refused.
void LimitsHolder::Team::admitDue(LimitsCall &call)
{
    for (const auto &delayed : m_delayedAdmissions) {
        if (delayed.due > call.now) {
            continue;
        }
        const auto held = std::find_if(m_heldGrants.begin(), m_heldGrants.end(), [&delayed](const auto &entry) { return entry.id == delayed.grant; });
        --held->delayed;
        if (delayed.cancelled) {
            ++held->unspent;
        } else if (call.now < held->expiry) {
            call.effects.push_back(Admit {{delayed.waiter}, held->expiry});
            held->lastSpent = call.now;
        } else {
            ++held->unspent;
            call.effects.push_back(Refuse {{delayed.waiter}, config::OverRatePause, RefusalReason::NoOwner});
        }
    }
    std::erase_if(m_delayedAdmissions, [&call](const auto &delayed) { return delayed.due <= call.now; });
}

// Empties the grant's slot in the allowance. Then reports the grant, unless requests still wait for its delayed tokens.
void LimitsHolder::Team::finish(HeldGrant &held, TimePoint now)
{
    if (held.slot) {
        held.unspent += m_allowance->reclaim(*held.slot);
        held.slot.reset();
        held.lastSpent = now;
    }
    if (held.delayed == 0) {
        report(held, now);
    }
}

void LimitsHolder::Team::report(const HeldGrant &held, TimePoint now)
{
    if (!held.reported && held.unspent == 0) {
        return;
    }
    const auto delay = held.unspent > 0 ? Duration(config::MinGrantReportDelay) : reportDelay(m_limits);
    m_reports.push_back({held.part, {held.id, held.unspent, 0}, held.lastSpent, now + delay});
}

void LimitsHolder::Team::finishEndedGrants(LimitsCall &call)
{
    const bool idleDemand = call.now - m_lastDemand >= config::MaxStockIdleTime;
    for (auto &held : m_heldGrants) {
        const auto age = call.now - held.receivedAt;
        const bool returnDue = call.now >= held.expiry || age >= config::MaxStockAge || (idleDemand && age >= config::MaxStockIdleTime);
        if (!held.slot) {
            if (held.delayed == 0) {
                report(held, call.now);
            }
        } else if (returnDue || m_allowance->remaining(*held.slot) == 0) {
            finish(held, call.now);
        }
    }
    std::erase_if(m_heldGrants, [](const auto &held) { return !held.slot && held.delayed == 0; });
}

std::vector<GrantReport> LimitsHolder::Team::takeReports(std::uint32_t part, TimePoint now)
{
    std::vector<GrantReport> reports;
    for (auto &entry : m_reports) {
        if (entry.part == part) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.spentAt).count();
            entry.report.ageMilliseconds = static_cast<std::uint32_t>(age);
            reports.push_back(entry.report);
        }
    }
    std::erase_if(m_reports, [part](const auto &entry) { return entry.part == part; });
    return reports;
}

void LimitsHolder::Team::flushReports(bool all, LimitsCall &call)
{
    std::vector<std::uint32_t> parts;
    for (const auto &entry : m_reports) {
        if (all || entry.due <= call.now) {
            parts.push_back(entry.part);
        }
    }
    for (const auto part : parts) {
        auto reports = takeReports(part, call.now);
        if (!reports.empty()) {
            call.effects.push_back(SendTokenReturn {{m_name, part, std::move(reports)}});
        }
    }
}

void LimitsHolder::Team::measureDemand(TimePoint now)
{
    const auto passed = now - m_demandTime;
    if (passed <= Duration(0)) {
        return;
    }
    const auto requests = static_cast<double>(m_allowance->drainDemand());
    const double weight = 1 - std::exp(-seconds(passed) / seconds(config::DemandAverageTime));
    m_demandRate += (requests / seconds(passed) - m_demandRate) * weight;
    m_demandTime = now;
    if (requests > 0) {
        m_lastDemand = now;
    }
}

// Tokens are prefetched for steady demand only. With sporadic demand, most of them would stay unused at this daemon.
std::uint32_t LimitsHolder::Team::wantedPrefetchTokens(TimePoint now) const
{
    const bool steady = m_demandRate >= config::PrefetchMinRate && now - m_lastDemand < config::MaxStockIdleTime;
    if (hasSinglePart() || !steady || m_prefetchRequested || now < m_prefetchFrom || now < m_refusedUntil) {
        return 0;
    }
    std::uint32_t stock = 0;
    for (const auto &held : m_heldGrants) {
        stock += held.slot ? m_allowance->remaining(*held.slot) : 0;
    }
    if (stock > m_demandRate * seconds(config::PrefetchRefill)) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::ceil(m_demandRate * seconds(config::PrefetchHorizon)));
}

void LimitsHolder::Team::prefetch(LimitsCall &call)
{
    if (wantedPrefetchTokens(call.now) > 0) {
        start({}, call);
    }
}
}
