#include <plumsill/helpers.h>

#include <plumsill/config.h>
#include <plumsill/quota.h>

#include <tuple>

namespace plumsill
{
namespace
{
constexpr auto UnavailableTime = std::chrono::milliseconds(2000);
}

void HelperPool::setCandidates(std::vector<HelperCandidate> candidates)
{
    m_candidates = std::move(candidates);
}

std::optional<Helper> HelperPool::choose(const InstanceName &asker, const ServiceName &service, TimePoint now) const
{
    const HelperCandidate *best = nullptr;
    std::tuple<unsigned, std::uint32_t> lowest;
    for (const auto &candidate : m_candidates) {
        const auto &name = candidate.helper.name;
        const auto unavailable = m_unavailableUntil.find(name);
        const auto running = m_running.find(name);
        if (name == asker || candidate.outOfReach.contains(shortHash(service.value)) || (unavailable != m_unavailableUntil.end() && unavailable->second > now)
            || (running != m_running.end() && running->second >= config::MaxRelayedRequests)) {
            continue;
        }
        const std::tuple order {candidate.rank, shortHash(asker.value + " " + name.value)};
        if (best == nullptr || order < lowest) {
            best = &candidate;
            lowest = order;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->helper);
}

void HelperPool::recordEnd(const InstanceName &helper)
{
    const auto found = m_running.find(helper);
    if (found != m_running.end() && --found->second == 0) {
        m_running.erase(found);
    }
}

void HelperPool::recordUnavailable(const InstanceName &helper, TimePoint now)
{
    m_unavailableUntil[helper] = now + UnavailableTime;
}
}
