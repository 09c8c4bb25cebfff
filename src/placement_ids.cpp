#include <plumsill/placement_ids.h>

#include <xxhash.h>

namespace plumsill
{
namespace
{
constexpr unsigned ThreadShift = 48;
constexpr std::uint64_t CounterMask = (std::uint64_t(1) << ThreadShift) - 1;
}

// A reply names only the id of its request, and a scheduler that stood still replies to requests of a process that has ended. So each
// incarnation counts from a place of its own.
PlacementIds::PlacementIds(const MemberId &daemon, unsigned thread)
    : m_thread(std::uint64_t(thread) << ThreadShift)
    , m_last(XXH3_64bits_withSeed(daemon.name.value.data(), daemon.name.value.size(), daemon.incarnation) & CounterMask)
{ }

std::uint64_t PlacementIds::next()
{
    m_last = (m_last + 1) & CounterMask;
    return m_thread | m_last;
}
}
