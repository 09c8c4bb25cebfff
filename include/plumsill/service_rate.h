#pragma once

#include <plumsill/clock.h>

#include <optional>

namespace plumsill
{
/// Work that a service takes from its queues per second, over all priorities and teams, measured only while requests wait. Work is counted in
/// typical requests of the service.
class ServiceRate
{
public:
    /// Records whether any request waits from now on.
    void setWaiting(bool waiting, TimePoint now);
    /// Records that waiting work got a slot.
    void recordServed(double work, TimePoint now);
    /// Work per second at @p now. @p assumed: rate to assume while little has been measured; 0 if unknown.
    double value(double assumed, TimePoint now) const;
    /// Time since work was last served while requests wait; zero while none waits.
    Duration stall(TimePoint now) const;

private:
    struct Measured {
        double work = 0;
        double busySeconds = 0;
    };
    /// Both sums at @p now, older parts decayed.
    Measured at(TimePoint now) const;

    Measured m_measured;
    std::optional<TimePoint> m_at; ///< time up to which waiting is counted; none while no request waits
    TimePoint m_lastServed; ///< later of two times: work was served, or requests began to wait
};
}
