#include <plumsill/service_rate.h>

#include <plumsill/config.h>

#include <cmath>

namespace plumsill
{
ServiceRate::Measured ServiceRate::at(TimePoint now) const
{
    if (!m_at || now <= *m_at) {
        return m_measured;
    }
    const double window = seconds(config::ServiceRateWindow);
    const double kept = std::exp(-seconds(now - *m_at) / window);
    return {m_measured.work * kept, m_measured.busySeconds * kept + window * (1 - kept)};
}

// Time in which no request waits says nothing about the rate, so pauses neither count nor let the measured part decay.
void ServiceRate::setWaiting(bool waiting, TimePoint now)
{
    if (waiting == m_at.has_value()) {
        return;
    }
    m_measured = at(now);
    m_at = waiting ? std::optional(now) : std::nullopt;
    m_lastServed = now;
}

void ServiceRate::recordServed(double work, TimePoint now)
{
    m_measured = at(now);
    m_measured.work += work;
    if (m_at) {
        m_at = now;
    }
    m_lastServed = now;
}

double ServiceRate::value(double assumed, TimePoint now) const
{
    const Measured measured = at(now);
    if (assumed <= 0) {
        return measured.busySeconds > 0 ? measured.work / measured.busySeconds : 0;
    }
    return (measured.work + config::AssumedServiceWork) / (measured.busySeconds + config::AssumedServiceWork / assumed);
}

Duration ServiceRate::stall(TimePoint now) const
{
    return m_at ? now - m_lastServed : Duration::zero();
}
}
