#include <plumsill/concurrency.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
void ConcurrencyLimit::setBounds(double initialLimit, double maxLimit)
{
    m_maxLimit = std::max(maxLimit, 1.0);
    m_limit = m_limit == 0 ? initialLimit : m_limit;
    m_limit = std::clamp(m_limit, 1.0, m_maxLimit);
}

// The limit grows only when it is used up: otherwise the answers give no evidence that a higher limit would work.
void ConcurrencyLimit::answered(bool limitReached)
{
    if (limitReached) {
        m_limit = std::min(m_limit + 1 / m_limit, m_maxLimit);
    }
}

// A burst of refusals comes from a single overload, so it lowers the limit once.
void ConcurrencyLimit::shed(TimePoint now)
{
    if (m_lastDecrease && now - *m_lastDecrease < config::ConcurrencyDecreaseInterval) {
        return;
    }
    m_lastDecrease = now;
    m_limit = std::max(m_limit * config::ConcurrencyDecrease, 1.0);
}

std::size_t ConcurrencyLimit::value() const
{
    return static_cast<std::size_t>(std::max(m_limit, 1.0));
}
}
