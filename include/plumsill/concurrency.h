#pragma once

#include <plumsill/clock.h>

#include <optional>

namespace plumsill
{
/// Limits the concurrent requests of one traffic thread to the targets of a service: additive increase while they
/// answer, multiplicative decrease when they shed load.
class ConcurrencyLimit
{
public:
    /// Sets the bounds. @p initialLimit: limit before the first answer; @p maxLimit: upper bound, at least 1.
    void setBounds(double initialLimit, double maxLimit);
    /// Records an answer. Raises the limit if @p limitReached, which means that all allowed requests were running.
    void answered(bool limitReached);
    /// Records a refusal because of load, and lowers the limit.
    void shed(TimePoint now);
    /// Current limit in requests; at least 1.
    std::size_t value() const;

private:
    double m_maxLimit = 1;
    double m_limit = 0; // 0: setBounds() not called yet
    std::optional<TimePoint> m_lastDecrease;
};
}
