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

void RepeatCounter::request(TimePoint now)
{
    ++step(now).requests;
}

// Steps older than the window still stand in the array when nothing came since; their numbers tell them apart.
bool RepeatCounter::repeat(TimePoint now)
{
    Step &present = step(now);
    unsigned requests = 0;
    unsigned repeats = 0;
    for (const auto &entry : m_steps) {
        if (present.number - entry.number < static_cast<std::int64_t>(Steps)) {
            requests += entry.requests;
            repeats += entry.repeats;
        }
    }
    if (repeats + 1 > m_bound.ratio * requests + m_bound.slack) {
        return false;
    }
    ++present.repeats;
    return true;
}
}
