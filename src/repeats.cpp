#include <plumsill/repeats.h>

namespace plumsill
{
RepeatCounter::Step &RepeatCounter::step(TimePoint now)
{
    const auto length = m_bound.window / static_cast<Duration::rep>(Steps);
    const std::int64_t number = now.time_since_epoch() / length;
    Step &found = m_steps[static_cast<std::size_t>(number) % Steps];
    if (found.number != number) {
        found = {number, 0, 0};
    }
    return found;
}

void RepeatCounter::recordRequest(TimePoint now)
{
    ++step(now).requests;
}

// The array may still hold steps that are older than the window; they are recognized by their numbers and skipped.
bool RepeatCounter::tryRepeat(TimePoint now)
{
    Step &current = step(now);
    unsigned requests = 0;
    unsigned repeats = 0;
    for (const auto &entry : m_steps) {
        if (current.number - entry.number < static_cast<std::int64_t>(Steps)) {
            requests += entry.requests;
            repeats += entry.repeats;
        }
    }
    if (repeats + 1 > m_bound.ratio * requests + m_bound.slack) {
        return false;
    }
    ++current.repeats;
    return true;
}
}
