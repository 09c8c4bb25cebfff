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

/// All entries in the order of the text, and the problems of lines that could not be read.
struct IniText {
    std::vector<IniEntry> entries;
    std::vector<IniProblem> problems;
};

/// Reads an INI text. @p file is used only to name the file in problems.
IniText readIni(const std::string &text, const std::string &file);

/// Duration with a unit: "250ms", "5s", "2m", "1h"; none if the unit is missing or unknown.
std::optional<Duration> parseDuration(const std::string &text);
/// Bytes with a unit: "512B", "64KB", "1MB"; none if the unit is missing or unknown.
std::optional<std::size_t> parseBytes(const std::string &text);
/// A finite decimal number; none for other text.
std::optional<double> parseNumber(const std::string &text);
/// "yes" or "no"; none for other text.
std::optional<bool> parseYesNo(const std::string &text);
/// Comma-separated values without surrounding spaces and tabs. Empty values are skipped.
std::vector<std::string> splitList(const std::string &text);
/// "IP:PORT" with a numeric IPv4 address; none for host names or a port above 65535.
std::optional<Endpoint> parseEndpoint(const std::string &text);
}
