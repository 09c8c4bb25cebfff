#pragma once

#include <plumsill/clock.h>

#include <optional>

namespace plumsill
{
/// Limits the requests that one traffic thread has at the targets of a service: additive increase while they
/// answer, multiplicative decrease when they shed load.
class ConcurrencyLimit
{
public:
    /// @p usual: limit to start with and to recover to; @p most: never exceeded.
    void setBounds(double usual, double most);
    void answered(bool limitReached);
    void shed(TimePoint now);
    /// At least 1.
    std::size_t value() const;

private:
    double m_most = 1;
    double m_limit = 0; // 0: no bounds so far
    std::optional<TimePoint> m_lastDecrease;
};
}
