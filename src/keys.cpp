#include <plumsill/keys.h>

#include "hex_p.h"
#include "percent_decoding_p.h"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <vector>

namespace plumsill
{
namespace
{
constexpr std::size_t MaxTokenBoundaries = 16;

KeyDigest digestOf(std::string_view key)
{
    KeyDigest digest {};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

KeyDigest fromHex(const std::string &hex)
{
    KeyDigest digest {};
    for (std::size_t i = 0; i < digest.size(); ++i) {
        digest[i] = static_cast<unsigned char>(hexDigit(hex[2 * i]) * 16 + hexDigit(hex[2 * i + 1]));
    }
    return digest;
}

bool isKeyByte(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

// Further characters of a bearer token (RFC 6750, 2.1). In a path or a query they also separate keys.
bool isTokenSeparator(char c)
{
    return c == '+' || c == '/' || c == '=';
}

bool isTokenByte(char c)
{
    return isKeyByte(c) || isTokenSeparator(c);
}

bool isKey(std::string_view text)
{
    return text.size() >= MinKeyBytes && text.size() <= MaxKeyBytes && std::all_of(text.begin(), text.end(), isTokenByte);
}

/// Positions at which a key may begin or end within @p token. In a token with many parts, only the whole is looked at.
std::vector<std::size_t> boundaries(std::string_view token)
{
    std::vector<std::size_t> positions {0};
    for (std::size_t i = 0; i < token.size(); ++i) {
        if (isTokenSeparator(token[i])) {
            positions.push_back(i);
            positions.push_back(i + 1);
        }
    }
    positions.push_back(token.size());
    positions.erase(std::unique(positions.begin(), positions.end()), positions.end());
    return positions.size() <= MaxTokenBoundaries ? positions : std::vector<std::size_t> {0, token.size()};
}

std::string_view trimmed(std::string_view text)
{
    const auto first = std::min(text.find_first_not_of(" \t"), text.size());
    const auto last = text.find_last_not_of(" \t");
    return last == std::string_view::npos ? std::string_view() : text.substr(first, last - first + 1);
}

std::optional<std::string_view> afterScheme(std::string_view value, std::string_view scheme)
{
    const auto same = [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b)); };
    const bool matches = value.size() > scheme.size() && std::equal(scheme.begin(), scheme.end(), value.begin(), same) && value[scheme.size()] == ' ';
    return matches ? std::optional(trimmed(value.substr(scheme.size()))) : std::nullopt;
}

std::string base64Decoded(std::string_view text)
{
    if (text.size() % 4 != 0 || text.size() > 4 * MaxKeyBytes) {
        return {};
    }
    std::string decoded(text.size() / 4 * 3, '\0');
    auto *out = reinterpret_cast<unsigned char *>(decoded.data());
    const int length = EVP_DecodeBlock(out, reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    decoded.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    return decoded;
}

// Removes punctuation around a token, so that a key at the end of a sentence or in a list is found too.
std::string_view withoutPunctuation(std::string_view token)
{
    while (!token.empty() && std::isalnum(static_cast<unsigned char>(token.front())) == 0) {
        token.remove_prefix(1);
    }
    while (!token.empty() && std::isalnum(static_cast<unsigned char>(token.back())) == 0) {
        token.remove_suffix(1);
    }
    return token;
}
}

KeyPresence presentedKey(const std::vector<std::string_view> &apiKeys, const std::vector<std::string_view> &authorizations)
{
    if (apiKeys.size() > 1 || authorizations.size() > 1) {
        return AmbiguousKey {};
    }
    const auto bearer = authorizations.empty() ? std::nullopt : afterScheme(trimmed(authorizations.front()), "Bearer");
    if (apiKeys.empty() && !bearer) {
        return NoKey {};
    }
    const auto key = apiKeys.empty() ? *bearer : trimmed(apiKeys.front());
    if (bearer && *bearer != key) {
        return AmbiguousKey {};
    }
    return PresentedKey {std::string(key)};
}

KeyTable::KeyTable(const Document &document)
{
    m_teams.reserve(document.teams.size());
    for (const auto &team : document.teams) {
        for (const auto &digest : team.keyDigests) {
            m_teamOfDigest.emplace(fromHex(digest), static_cast<std::uint32_t>(m_teams.size()));
        }
        m_teams.push_back(team.name);
    }
}

const TeamName *KeyTable::find(std::string_view key) const
{
    if (!isKey(key)) {
        return nullptr;
    }
    const auto found = m_teamOfDigest.find(digestOf(key));
    return found == m_teamOfDigest.end() ? nullptr : &m_teams[found->second];
}

// Looks for keys that hold separators.
bool KeyTable::hasSeparatedKey(std::string_view token) const
{
    const auto positions = boundaries(token);
    for (auto begin = positions.begin(); begin != positions.end(); ++begin) {
        for (auto end = std::next(begin); end != positions.end(); ++end) {
            const auto part = token.substr(*begin, *end - *begin);
            const bool separated = std::any_of(part.begin(), part.end(), isTokenSeparator);
            if (separated && find(part) != nullptr) {
                return true;
            }
        }
    }
    return false;
}

bool KeyTable::hasKeyToken(std::string_view text) const
{
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end
            = static_cast<std::size_t>(std::find_if_not(text.begin() + static_cast<std::ptrdiff_t>(start), text.end(), isTokenByte) - text.begin());
        if (hasSeparatedKey(text.substr(start, end - start))) {
            return true;
        }
        start = end + 1;
    }
    for (std::size_t start = 0; start < text.size();) {
        std::size_t end = start;
        while (end < text.size() && isKeyByte(text[end])) {
            ++end;
        }
        const auto token = text.substr(start, end - start);
        const auto bare = withoutPunctuation(token);
        if (find(token) != nullptr || (bare.size() != token.size() && find(bare) != nullptr)) {
            return true;
        }
        start = end + 1;
    }
    return false;
}

bool KeyTable::containsKnownKey(std::string_view text) const
{
    if (hasKeyToken(text)) {
        return true;
    }
    const auto basic = afterScheme(trimmed(text), "Basic");
    if (basic && hasKeyToken(base64Decoded(*basic))) {
        return true;
    }
    std::string decoded(text);
    for (int round = 0; round < DecodingRounds && decoded.find('%') != std::string::npos; ++round) {
        decoded = percentDecoded(decoded);
        if (hasKeyToken(decoded)) {
            return true;
        }
    }
    return false;
}
}
