#include <plumsill/ini.h>

#include <arpa/inet.h>
#include <ini.h>

#include <array>
#include <charconv>
#include <cmath>
#include <cstring>

namespace plumsill
{
namespace
{
// Limits of the INI library, which truncates longer lines and names without an error.
constexpr std::size_t MaxLineBytes = 190;
constexpr std::size_t MaxNameBytes = 48;

struct Reader {
    const std::string &text;
    const std::string &file;
    std::size_t position = 0;
    unsigned line = 0;
    IniText result;

    void problem(const std::string &field, const std::string &reason) { result.problems.push_back({file, line, field, reason}); }
};

std::string nextLine(Reader &reader)
{
    const auto end = reader.text.find('\n', reader.position);
    const auto length = end == std::string::npos ? std::string::npos : end - reader.position;
    std::string line = reader.text.substr(reader.position, length);
    reader.position = end == std::string::npos ? reader.text.size() : end + 1;
    ++reader.line;
    return line;
}

// The library does not pass line numbers to its handler. It calls the handler right after it has read the line of the entry,
// so the lines are counted here.
char *readLine(char *buffer, int size, void *stream)
{
    auto &reader = *static_cast<Reader *>(stream);
    if (reader.position >= reader.text.size()) {
        return nullptr;
    }
    std::string line = nextLine(reader);
    if (line.size() > MaxLineBytes || line.find('\0') != std::string::npos) {
        reader.problem("line", "longer than " + std::to_string(MaxLineBytes) + " bytes, or not text");
        line.clear();
    }
    if (!line.empty() && (line.front() == ' ' || line.front() == '\t')) {
        line.erase(0, line.find_first_not_of(" \t"));
    }
    line += '\n';
    const auto length = std::min(line.size(), static_cast<std::size_t>(size) - 1);
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\0';
    return buffer;
}

int addEntry(void *user, const char *section, const char *name, const char *value)
{
    auto &reader = *static_cast<Reader *>(user);
    if (std::strlen(section) >= MaxNameBytes || std::strlen(name) >= MaxNameBytes) {
        reader.problem(std::string(section) + "." + name, "name longer than " + std::to_string(MaxNameBytes) + " bytes");
        return 1;
    }
    reader.result.entries.push_back({section, name, value, reader.line});
    return 1;
}

struct Quantity {
    double number = 0;
    std::string unit;
};

std::optional<Quantity> parseQuantity(const std::string &text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || !std::isfinite(number) || number < 0) {
        return std::nullopt;
    }
    return Quantity {number, std::string(end, text.data() + text.size())};
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}
}

IniText readIni(const std::string &text, const std::string &file)
{
    Reader reader {text, file, 0, 0, {}};
    const int firstBadLine = ini_parse_stream(readLine, &reader, addEntry, &reader);
    if (firstBadLine > 0) {
        reader.line = static_cast<unsigned>(firstBadLine);
        reader.problem("line", "neither a section nor 'key = value'");
    }
    return std::move(reader.result);
}

std::optional<Duration> parseDuration(const std::string &text)
{
    struct Unit {
        const char *name;
        double seconds;
    };
    static constexpr std::array<Unit, 4> Units {{{"ms", 0.001}, {"s", 1}, {"m", 60}, {"h", 3600}}};
    const auto quantity = parseQuantity(text);
    for (const auto &unit : Units) {
        if (quantity && quantity->unit == unit.name && quantity->number < 1e9) {
            return fromSeconds(quantity->number * unit.seconds);
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> parseBytes(const std::string &text)
{
    struct Unit {
        const char *name;
        double bytes;
    };
    static constexpr std::array<Unit, 3> Units {{{"B", 1}, {"KB", 1024}, {"MB", 1024 * 1024}}};
    const auto quantity = parseQuantity(text);
    for (const auto &unit : Units) {
        if (quantity && quantity->unit == unit.name && quantity->number < 1e9) {
            return static_cast<std::size_t>(quantity->number * unit.bytes);
        }
    }
    return std::nullopt;
}

std::optional<double> parseNumber(const std::string &text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(number)) {
        return std::nullopt;
    }
    return number;
}

std::optional<bool> parseYesNo(const std::string &text)
{
    if (text == "yes") {
        return true;
    }
    if (text == "no") {
        return false;
    }
    return std::nullopt;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> values;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto comma = std::min(text.find(',', start), text.size());
        auto value = trimmed(text.substr(start, comma - start));
        if (!value.empty()) {
            values.push_back(std::move(value));
        }
        start = comma + 1;
    }
    return values;
}

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string address = text.substr(0, colon);
    in_addr parsed {};
    if (inet_pton(AF_INET, address.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
    if (error != std::errc() || end != last) {
        return std::nullopt;
    }
    return Endpoint {address, port};
}
}
