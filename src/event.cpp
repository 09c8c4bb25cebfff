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
// Maximum lines of one kind per second; further lines are dropped and counted.
constexpr unsigned MaxLinesPerSecond = 200;
// Maximum bytes buffered for a slow reader; further lines are dropped and counted.
constexpr std::size_t MaxBufferedBytes = 256 * 1024;
// A write of at most PIPE_BUF bytes (POSIX) to a pipe that poll() reports as writable does not block.
constexpr std::size_t MaxWriteBytes = 4096;

struct EventKind {
    std::int64_t second = 0;
    unsigned written = 0;
    std::uint64_t droppedLines = 0;
};

struct Writer {
    std::mutex mutex;
    std::string buffer;
    std::map<std::string, EventKind, std::less<>> kinds;
    std::atomic<bool> open {false};
    std::atomic<std::uint64_t> dropped {0};
};

// The writer is never destroyed, since threads may log until the process ends.
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

// True when one more line of this kind may be written in this second. Sets droppedLines to the number of lines of this kind that were
// dropped since the last written one.
bool admitLine(std::string_view name, std::int64_t second, std::uint64_t &droppedLines)
{
    const std::lock_guard lock(writer().mutex);
    auto found = writer().kinds.find(name);
    if (found == writer().kinds.end()) {
        found = writer().kinds.emplace(std::string(name), EventKind {}).first;
    }
    EventKind &kind = found->second;
    if (kind.second != second) {
        kind.second = second;
        kind.written = 0;
    }
    if (kind.written >= MaxLinesPerSecond) {
        ++kind.droppedLines;
        ++writer().dropped;
        return false;
    }
    ++kind.written;
    droppedLines = std::exchange(kind.droppedLines, 0);
    return true;
}
}

Event::Event(std::string_view part, std::string_view name)
    : m_enabled(writer().open)
{
    if (!m_enabled) {
        return;
    }
    const timespec time = wallTime();
    std::uint64_t droppedLines = 0;
    m_enabled = admitLine(name, time.tv_sec, droppedLines);
    if (!m_enabled) {
        return;
    }
    m_line = "{\"time_ms\":";
    appendNumber(m_line, static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000);
    add("part", part);
    add("event", name);
    if (droppedLines > 0) {
        add("left_out", static_cast<std::int64_t>(droppedLines));
    }
}

Event::~Event()
{
    if (!m_enabled) {
        return;
    }
    m_line += "}\n";
    const std::lock_guard lock(writer().mutex);
    if (writer().buffer.size() + m_line.size() > MaxBufferedBytes) {
        ++writer().dropped;
        return;
    }
    writer().buffer += m_line;
}

Event &Event::add(std::string_view field, std::string_view value)
{
    if (m_enabled) {
        m_line += ',';
        appendText(m_line, field);
        m_line += ':';
        appendText(m_line, value);
    }
    return *this;
}

Event &Event::add(std::string_view field, std::int64_t value)
{
    if (m_enabled) {
        m_line += ',';
        appendText(m_line, field);
        m_line += ':';
        appendNumber(m_line, value);
    }
    return *this;
}

Event &Event::add(std::string_view field, bool value)
{
    if (m_enabled) {
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

void enableEvents()
{
    writer().open = true;
}

bool eventsEnabled()
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
        const auto count = ::write(STDOUT_FILENO, buffer.data() + written, std::min(buffer.size() - written, MaxWriteBytes));
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
