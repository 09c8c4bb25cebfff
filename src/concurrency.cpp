#include <plumsill/concurrency.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
void ConcurrencyLimit::setBounds(double usual, double most)
{
    m_most = std::max(most, 1.0);
    m_limit = m_limit == 0 ? usual : m_limit;
    m_limit = std::clamp(m_limit, 1.0, m_most);
}

// Only a limit that is used up says anything about a higher one.
void ConcurrencyLimit::answered(bool limitReached)
{
    if (limitReached) {
        m_limit = std::min(m_limit + 1 / m_limit, m_most);
    }
}

// A burst of refusals tells of one overload, so it counts once.
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
