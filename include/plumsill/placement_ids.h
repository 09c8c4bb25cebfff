#pragma once

#include <plumsill/roster.h>

#include <cstdint>

namespace plumsill
{
/// Ids of the placement requests of one traffic thread. No other thread, daemon or incarnation uses the same ones.
class PlacementIds
{
public:
    PlacementIds(const MemberId &daemon, unsigned thread);

    std::uint64_t next();

private:
    std::uint64_t m_thread; ///< index of the thread, in the upper bits
    std::uint64_t m_last; ///< lower bits of the last id
};
}
