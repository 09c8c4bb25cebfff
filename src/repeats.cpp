#include <plumsill/repeats.h>

#include <algorithm>

namespace plumsill
{
namespace
{
constexpr std::int64_t RecentSteps = 4; // steps whose requests tell of those to come
}

// A clock that is set back must not reopen an old step, whose counts would be lost.
RepeatCounter::Step &RepeatCounter::step(TimePoint now)
{
    m_latest = std::max<std::int64_t>(m_latest, now.time_since_epoch() / stepLength());
    Step &found = m_steps[static_cast<std::size_t>(m_latest) % m_steps.size()];
    if (found.number != m_latest) {
        found = {m_latest, 0, 0};
    }
    return found;
}

void RepeatCounter::recordRequest(TimePoint now)
{
    ++step(now).requests;
}

// Requests count in one window at most, and repeats in one window at least, so that the bound holds in each window wherever it
// begins. The array may hold older steps; their numbers tell.
double RepeatCounter::left(TimePoint now)
{
    step(now);
    unsigned requests = 0;
    unsigned repeats = 0;
    for (const auto &entry : m_steps) {
        requests += m_latest - entry.number < Steps ? entry.requests : 0;
        repeats += m_latest - entry.number <= Steps ? entry.repeats : 0;
    }
    return std::max(m_bound.ratio * requests + m_bound.slack - repeats, 0.0);
}

// Where traffic has just begun, the window still fills: its requests will allow further repeats.
double RepeatCounter::neededFor(double perSecond, TimePoint now)
{
    step(now);
    std::array<Step, Steps + 1> leaving {}; // by the number of steps after which they leave the window
    unsigned recentRequests = 0;
    for (const auto &entry : m_steps) {
        const std::int64_t age = m_latest - entry.number;
        if (age <= Steps) {
            leaving[static_cast<std::size_t>(Steps - age)] = entry;
        }
        recentRequests += age >= 1 && age <= RecentSteps ? entry.requests : 0;
    }
    const double requestsPerStep = static_cast<double>(recentRequests) / RecentSteps;
    double most = 0;
    double sum = 0;
    for (const auto &entry : leaving) {
        sum += perSecond * seconds(stepLength());
        most = std::max(most, sum);
        sum -= entry.repeats + m_bound.ratio * std::max(requestsPerStep - entry.requests, 0.0);
    }
    return most;
}

bool RepeatCounter::tryRepeat(TimePoint now)
{
    if (left(now) < 1) {
        return false;
    }
    ++step(now).repeats;
    return true;
}
}
