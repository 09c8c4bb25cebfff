#include <plumsill/work_model.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
void WorkModel::Mean::add(double sample)
{
    count += 1;
    value += std::max(config::WorkSampleWeight, 1 / count) * (sample - value);
}

void WorkModel::add(std::uint32_t route, Duration latency)
{
    m_routes[route].add(seconds(latency));
    m_all.add(seconds(latency));
}

double WorkModel::work(std::uint32_t route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.count < config::MinWorkSamples || m_all.value <= 0) {
        return 1;
    }
    return std::clamp(found->second.value / m_all.value, config::MinWork, config::MaxWork);
}

Duration WorkModel::mean() const
{
    return fromSeconds(m_all.value);
}
}
