#include <plumsill/answer_sizes.h>

#include <plumsill/config.h>

namespace plumsill
{
void AnswerSizes::add(const RouteName &route, std::size_t bytes)
{
    const auto [entry, added] = m_bytes.try_emplace(route, static_cast<double>(bytes));
    if (!added) {
        entry->second += config::AnswerSizeWeight * (static_cast<double>(bytes) - entry->second);
    }
}

double AnswerSizes::typical(const RouteName &route) const
{
    const auto found = m_bytes.find(route);
    return found == m_bytes.end() ? 0 : found->second;
}
}
