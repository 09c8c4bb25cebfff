#pragma once

#include <plumsill/clock.h>
#include <plumsill/document.h>

#include <optional>
#include <string>
#include <vector>

namespace plumsill
{
/// One "key = value" line of an INI text.
struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
    unsigned line = 0;

    auto operator<=>(const IniEntry &) const = default;
};

/// Every entry in order, and the lines that can't be read.
struct IniText {
    std::vector<IniEntry> entries;
    std::vector<IniProblem> problems;
};

/// Reads an INI text; @p file only names it in problems.
IniText readIni(const std::string &text, const std::string &file);

/// Duration with a unit: "250ms", "5s", "2m", "1h"; nothing for a missing or unknown unit.
std::optional<Duration> parseDuration(const std::string &text);
/// Bytes with a unit: "512B", "64KB", "1MB"; nothing for a missing or unknown unit.
std::optional<std::size_t> parseBytes(const std::string &text);
/// A finite decimal number.
std::optional<double> parseNumber(const std::string &text);
/// "yes" or "no".
std::optional<bool> parseYesNo(const std::string &text);
/// Values between commas, without the space around them; empty ones are left out.
std::vector<std::string> splitList(const std::string &text);
/// "IP:PORT" with an IP number; nothing for names or a port above 65535.
std::optional<Endpoint> parseEndpoint(const std::string &text);
}
