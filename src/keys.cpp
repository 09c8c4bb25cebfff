#include <plumsill/keys.h>

#include "hex_p.h"
#include "percent_decoding_p.h"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cctype>
#include <optional>

namespace plumsill
{
namespace
{
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

bool isKey(std::string_view text)
{
    return text.size() >= MinKeyBytes && text.size() <= MaxKeyBytes && std::all_of(text.begin(), text.end(), isKeyByte);
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

bool KeyTable::hasKeyToken(std::string_view text) const
{
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
