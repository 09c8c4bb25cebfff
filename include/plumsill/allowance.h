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
/// Tokens of one team that this daemon may spend. Lock-free: traffic threads take tokens, the control thread adds and
/// reclaims grants.
class TeamAllowance : public boost::intrusive_ref_counter<TeamAllowance, boost::thread_safe_counter>
{
public:
    static constexpr std::size_t MaxGrants = 8; ///< maximum number of grants held at once

    explicit TeamAllowance(TeamName team);

    const TeamName &team() const { return m_team; }

    /// Takes one token that is valid by the runtime's clock. Returns false when there is none; the caller then requests
    /// one from the control thread. Any thread.
    bool take();
    /// Takes one token that is valid at @p now and counts the request as demand. Returns the token's expiry;
    /// the caller must use the token before that time.
    std::optional<TimePoint> takeAt(TimePoint now);
    /// Like takeAt(), for a request that has already been counted as demand.
    std::optional<TimePoint> takeWithoutCounting(TimePoint now);
    /// Returns the number of requests counted since the last call, whether they got a token or not, and resets it. Control
    /// thread.
    std::uint64_t drainDemand();

    /// Stores a grant in a free slot and returns the slot's index, or nothing when all slots are in use. Control thread.
    std::optional<std::size_t> addGrant(std::uint32_t tokens, TimePoint expiry);
    /// Empties a slot and returns the number of tokens it still held. Control thread.
    std::uint32_t reclaim(std::size_t slot);
    /// Number of tokens that a slot still holds.
    std::uint32_t remaining(std::size_t slot) const;

private:
    // Each slot packs the tokens in the upper 20 bits and the expiry in the lower 44, in milliseconds of the clock.
    std::array<std::atomic<std::uint64_t>, MaxGrants> m_slots {};
    std::atomic<std::uint64_t> m_demand {0};
    const TeamName m_team;
};

using TeamAllowancePtr = boost::intrusive_ptr<TeamAllowance>;
}
