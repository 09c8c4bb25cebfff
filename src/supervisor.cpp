#include <plumsill/supervisor.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
RestartDecision RestartPolicy::childFailed(TimePoint now)
{
    while (!m_failures.empty() && now - m_failures.front() > config::RestartWindow) {
        m_failures.pop_front();
    }
    m_failures.push_back(now);
    if (m_failures.size() > config::MaxRestarts) {
        return Escalate {};
    }
    const auto doublings = m_failures.size() - 1;
    const Duration delay = Duration(config::RestartDelay) * (std::int64_t(1) << doublings);
    return RestartChild {std::min<Duration>(delay, config::RestartDelayMax)};
}
}
