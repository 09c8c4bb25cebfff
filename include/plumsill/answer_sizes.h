#pragma once

#include <plumsill/types.h>

#include <cstddef>
#include <unordered_map>

namespace plumsill
{
/// Typical sizes of the answers of routes.
class AnswerSizes
{
public:
    void add(const RouteName &route, std::size_t bytes);
    /// Moving average, bytes; 0 before the first answer.
    double typical(const RouteName &route) const;

private:
    std::unordered_map<RouteName, double> m_bytes;
};
}
