#include "raw_json_p.h"

#include <algorithm>

namespace plumsill
{
namespace
{
constexpr std::string_view Space = " \t\r\n";
constexpr std::string_view EndOfScalar = " \t\r\n,]}";

/// Reads the separators, strings and nesting of JSON text. Nesting takes no stack, however deep it is.
class RawScanner
{
public:
    explicit RawScanner(std::string_view text)
        : m_rest(text)
    { }

    void skipSpace() { m_rest.remove_prefix(std::min(m_rest.find_first_not_of(Space), m_rest.size())); }
    bool take(char expected)
    {
        skipSpace();
        if (m_rest.empty() || m_rest.front() != expected) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }
    bool atEnd()
    {
        skipSpace();
        return m_rest.empty();
    }
    /// The next value as written; empty where there is none or it doesn't end.
    std::string_view value()
    {
        skipSpace();
        return cut(m_rest.empty() ? 0 : valueLength());
    }
    /// Text between the quotes of the next string.
    std::optional<std::string_view> string()
    {
        skipSpace();
        const std::string_view quoted = cut(m_rest.empty() || m_rest.front() != '"' ? 0 : stringLength(0));
        return quoted.empty() ? std::nullopt : std::optional(quoted.substr(1, quoted.size() - 2));
    }

private:
    std::string_view cut(std::size_t length)
    {
        const std::string_view text = m_rest.substr(0, length);
        m_rest.remove_prefix(length);
        return text;
    }
    /// Length of the string that begins at @p position, with its quotes; 0 where it doesn't end.
    std::size_t stringLength(std::size_t position) const
    {
        for (std::size_t i = position + 1; i < m_rest.size(); ++i) {
            if (m_rest[i] == '\\') {
                ++i;
            } else if (m_rest[i] == '"') {
                return i + 1 - position;
            }
        }
        return 0;
    }
    std::size_t valueLength() const
    {
        if (m_rest.front() == '"') {
            return stringLength(0);
        }
        if (m_rest.front() != '{' && m_rest.front() != '[') {
            return std::min(m_rest.find_first_of(EndOfScalar), m_rest.size());
        }
        std::size_t depth = 0;
        for (std::size_t i = 0; i < m_rest.size(); ++i) {
            const char c = m_rest[i];
            if (c == '"') {
                const std::size_t length = stringLength(i);
                if (length == 0) {
                    return 0;
                }
                i += length - 1;
            } else if (c == '{' || c == '[') {
                ++depth;
            } else if ((c == '}' || c == ']') && --depth == 0) {
                return i + 1;
            }
        }
        return 0;
    }

    std::string_view m_rest;
};
}

std::optional<std::vector<RawMember>> rawMembers(std::string_view text)
{
    RawScanner scanner(text);
    std::vector<RawMember> members;
    if (!scanner.take('{')) {
        return std::nullopt;
    }
    for (bool more = !scanner.take('}'); more; more = scanner.take(',')) {
        const auto name = scanner.string();
        const bool separated = name && scanner.take(':');
        const std::string_view value = separated ? scanner.value() : std::string_view();
        if (value.empty()) {
            return std::nullopt;
        }
        members.push_back({*name, value});
    }
    const bool closed = members.empty() || scanner.take('}');
    return closed && scanner.atEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> rawElements(std::string_view text)
{
    RawScanner scanner(text);
    std::vector<std::string_view> elements;
    if (!scanner.take('[')) {
        return std::nullopt;
    }
    for (bool more = !scanner.take(']'); more; more = scanner.take(',')) {
        const std::string_view value = scanner.value();
        if (value.empty()) {
            return std::nullopt;
        }
        elements.push_back(value);
    }
    const bool closed = elements.empty() || scanner.take(']');
    return closed && scanner.atEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::string_view rawMember(std::string_view text, std::string_view name)
{
    const auto members = rawMembers(text);
    if (!members) {
        return {};
    }
    const auto found = std::find_if(members->begin(), members->end(), [name](const RawMember &member) { return member.name == name; });
    return found == members->end() ? std::string_view() : found->value;
}
}
