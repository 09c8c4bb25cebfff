#include <plumsill/allowance.h>

#include <cassert>

namespace plumsill
{
namespace
{
constexpr unsigned ExpiryBits = 44;
constexpr std::uint64_t ExpiryMask = (std::uint64_t(1) << ExpiryBits) - 1;
constexpr std::uint64_t OneToken = std::uint64_t(1) << ExpiryBits;
constexpr std::uint32_t MaxTokens = (1U << (64 - ExpiryBits)) - 1;

// Rounds down, so that a token never outlives its grant.
std::uint64_t toMilliseconds(TimePoint time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count()) & ExpiryMask;
}

TimePoint expiryOf(std::uint64_t word)
{
    return TimePoint(std::chrono::milliseconds(word & ExpiryMask));
}

std::uint32_t tokensOf(std::uint64_t word)
{
    return static_cast<std::uint32_t>(word >> ExpiryBits);
}
}

TeamAllowance::TeamAllowance(TeamName team)
    : m_team(std::move(team))
{ }

// A thread may be preempted between reading the clock and taking the token, so the clock is read again afterwards. If
// the grant is still valid then, the token was taken within its lifetime; otherwise the token is discarded.
bool TeamAllowance::take()
{
    const auto expiry = takeAt(RuntimeClock::now());
    return expiry && RuntimeClock::now() < *expiry;
}

std::optional<TimePoint> TeamAllowance::takeAt(TimePoint now)
{
    m_demand.fetch_add(1, std::memory_order_relaxed);
    return takeWithoutCounting(now);
}

std::optional<TimePoint> TeamAllowance::takeWithoutCounting(TimePoint now)
{
    for (auto &slot : m_slots) {
        auto word = slot.load(std::memory_order_acquire);
        while (tokensOf(word) > 0 && now < expiryOf(word)) {
            if (slot.compare_exchange_weak(word, word - OneToken, std::memory_order_acq_rel)) {
                return expiryOf(word);
            }
        }
    }
    return std::nullopt;
}

std::uint64_t TeamAllowance::drainDemand()
{
    return m_demand.exchange(0, std::memory_order_relaxed);
}

std::optional<std::size_t> TeamAllowance::addGrant(std::uint32_t tokens, TimePoint expiry)
{
    assert(tokens > 0 && tokens <= MaxTokens);
    for (std::size_t i = 0; i < MaxGrants; ++i) {
        // Only the control thread fills slots, and a slot is free once the control thread has reclaimed it.
        if (m_slots[i].load(std::memory_order_acquire) == 0) {
            m_slots[i].store(tokens * OneToken | toMilliseconds(expiry), std::memory_order_release);
            return i;
        }
    }
    return std::nullopt;
}

std::uint32_t TeamAllowance::reclaim(std::size_t slot)
{
    return tokensOf(m_slots.at(slot).exchange(0, std::memory_order_acq_rel));
}

std::uint32_t TeamAllowance::remaining(std::size_t slot) const
{
    return tokensOf(m_slots.at(slot).load(std::memory_order_acquire));
}
}
