#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace plumsill
{
/// Tokens of one team that this daemon may spend. Traffic threads take them, control adds and reclaims; no lock.
class TeamAllowance : public boost::intrusive_ref_counter<TeamAllowance, boost::thread_safe_counter>
{
public:
    static constexpr std::size_t Slots = 8; ///< grants held at once

    explicit TeamAllowance(TeamName team);

    const TeamName &team() const { return m_team; }

    /// Takes one token by the runtime's clock; false: ask control for one. Any thread.
    bool take();
    /// Takes one token that is valid at @p now; returns its expiry, at which the caller must not use it any more.
    std::optional<TimePoint> takeAt(TimePoint now);
    /// The same for a request that has been counted as demand before.
    std::optional<TimePoint> takeAgain(TimePoint now);
    /// Requests that asked since the last call, with or without success. Control thread.
    std::uint64_t drainDemand();

    /// Stores a grant in a free slot; nothing when all slots are in use. Control thread.
    std::optional<std::size_t> put(std::uint32_t tokens, TimePoint expiry);
    /// Empties a slot and returns what was left in it. Control thread.
    std::uint32_t reclaim(std::size_t slot);
    /// Tokens left in a slot.
    std::uint32_t left(std::size_t slot) const;

private:
    // Tokens in the upper 20 bits, expiry in milliseconds of the clock in the lower 44.
    std::array<std::atomic<std::uint64_t>, Slots> m_slots {};
    std::atomic<std::uint64_t> m_demand {0};
    const TeamName m_team;
};

using TeamAllowancePtr = boost::intrusive_ptr<TeamAllowance>;
}
