#include <plumsill/event.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <ctime>
#include <map>
#include <mutex>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace plumsill
{
namespace
{
// Lines of one kind that are written in one second; the rest is counted.
constexpr unsigned MostPerSecond = 200;
// Bytes that wait for a slow reader; beyond them lines are left out and counted.
constexpr std::size_t MostBuffered = 256 * 1024;
// A write of at most this size to a pipe that polls writable doesn't block (POSIX, PIPE_BUF).
constexpr std::size_t WriteBytes = 4096;

struct Kind {
    std::int64_t second = 0;
    unsigned written = 0;
    std::uint64_t leftOut = 0;
};

struct Writer {
    std::mutex mutex;
    std::string buffer;
    std::map<std::string, Kind, std::less<>> kinds;
    std::atomic<bool> open {false};
    std::atomic<std::uint64_t> dropped {0};
};

// Never destroyed: threads may log until the process has ended.
Writer &writer()
{
    static auto *instance = new Writer;
    return *instance;
}

timespec wallTime()
{
    timespec time {};
    clock_gettime(CLOCK_REALTIME, &time);
    return time;
}

void appendNumber(std::string &line, std::int64_t value)
{
    std::array<char, 24> digits {};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    line.append(digits.data(), end);
}

void appendText(std::string &line, std::string_view text)
{
    static constexpr char Digits[] = "0123456789abcdef";
    line += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < 0x20 || byte == 0x7f) {
            line += "\\u00";
            line += Digits[byte >> 4];
            line += Digits[byte & 15];
        } else {
            line += c;
        }
    }
    line += '"';
}

// Whether one more line of the kind may be written; tells how many were left out since the last one.
bool admitted(std::string_view name, std::int64_t second, std::uint64_t &leftOut)
{
    const std::lock_guard lock(writer().mutex);
    auto found = writer().kinds.find(name);
    if (found == writer().kinds.end()) {
        found = writer().kinds.emplace(std::string(name), Kind {}).first;
    }
    Kind &kind = found->second;
    if (kind.second != second) {
        kind.second = second;
        kind.written = 0;
    }
    if (kind.written >= MostPerSecond) {
        ++kind.leftOut;
        ++writer().dropped;
        return false;
    }
    ++kind.written;
    leftOut = std::exchange(kind.leftOut, 0);
    return true;
}
}

Event::Event(std::string_view part, std::string_view name)
    : m_written(writer().open)
{
    if (!m_written) {
        return;
    }
    const timespec time = wallTime();
    std::uint64_t leftOut = 0;
    m_written = admitted(name, time.tv_sec, leftOut);
    if (!m_written) {
        return;
    }
    m_line = "{\"time_ms\":";
    appendNumber(m_line, static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000);
    add("part", part);
    add("event", name);
    if (leftOut > 0) {
        add("left_out", static_cast<std::int64_t>(leftOut));
    }
}

Event::~Event()
{
    if (!m_written) {
        return;
    }
    m_line += "}\n";
    const std::lock_guard lock(writer().mutex);
    if (writer().buffer.size() + m_line.size() > MostBuffered) {
        ++writer().dropped;
        return;
    }
    writer().buffer += m_line;
}

Event &Event::add(std::string_view field, std::string_view value)
{
    if (m_written) {
        m_line += ',';
        appendText(m_line, field);
        m_line += ':';
        appendText(m_line, value);
    }
    return *this;
}

Event &Event::add(std::string_view field, std::int64_t value)
{
    if (m_written) {
        m_line += ',';
        appendText(m_line, field);
        m_line += ':';
        appendNumber(m_line, value);
    }
    return *this;
}

Event &Event::add(std::string_view field, bool value)
{
    if (m_written) {
        m_line += ',';
        appendText(m_line, field);
        m_line += value ? ":true" : ":false";
    }
    return *this;
}

Event &Event::add(std::string_view field, Duration value)
{
    return add(field, static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()));
}

void openEvents()
{
    writer().open = true;
}

bool eventsOpen()
{
    return writer().open;
}

void flushEvents()
{
    const std::lock_guard lock(writer().mutex);
    auto &buffer = writer().buffer;
    std::size_t written = 0;
    while (written < buffer.size()) {
        pollfd output {STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
            break;
        }
        const auto count = ::write(STDOUT_FILENO, buffer.data() + written, std::min(buffer.size() - written, WriteBytes));
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    buffer.erase(0, written);
}

std::uint64_t droppedEvents()
{
    return writer().dropped;
}
}
