#include <plumsill/clock.h>

#include <atomic>
#include <cassert>
#include <ctime>

namespace plumsill
{
namespace
{
constexpr RuntimeClock::rep Running = -1;
std::atomic<RuntimeClock::rep> pausedAt {Running};

// CLOCK_BOOTTIME also counts suspended time, so a lease that expires while the machine is suspended is expired afterwards.
RuntimeClock::rep bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<RuntimeClock::rep>(time.tv_sec) * 1'000'000'000 + time.tv_nsec;
}
}

RuntimeClock::time_point RuntimeClock::now()
{
    const rep fixed = pausedAt.load(std::memory_order_relaxed);
    return time_point(duration(fixed == Running ? bootTime() : fixed));
}

void RuntimeClock::pause()
{
    rep expected = Running;
    pausedAt.compare_exchange_strong(expected, bootTime());
}

void RuntimeClock::advance(duration step)
{
    assert(paused());
    assert(step.count() >= 0);
    pausedAt.fetch_add(step.count());
}

void RuntimeClock::resume()
{
    pausedAt.store(Running);
}

bool RuntimeClock::paused()
{
    return pausedAt.load() != Running;
}
}
