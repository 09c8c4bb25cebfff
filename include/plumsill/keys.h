#pragma once

#include <plumsill/document.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace plumsill
{
/// A key consists of 8 to 256 letters, digits, '-', '.', '_', '~', '+', '/' and '='.
inline constexpr std::size_t MinKeyBytes = 8;
inline constexpr std::size_t MaxKeyBytes = 256;

struct NoKey {
};

/// A key as the caller sent it. It must not be logged.
struct PresentedKey {
    std::string key;
};

/// The request contains two different keys, or a key header twice.
struct AmbiguousKey {
};

using KeyPresence = std::variant<NoKey, PresentedKey, AmbiguousKey>;

/// Extracts the caller's key from the values of all `X-Api-Key` and all `Authorization` headers.
KeyPresence presentedKey(const std::vector<std::string_view> &apiKeys, const std::vector<std::string_view> &authorizations);

using KeyDigest = std::array<unsigned char, 32>;

/// Hash of a key digest. It consists of the first bytes of the digest, as these are uniformly distributed.
struct KeyDigestHash {
    std::size_t operator()(const KeyDigest &digest) const noexcept
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.data(), sizeof(hash));
        return hash;
    }
};

/// Immutable index from key digests to teams.
class KeyTable
{
public:
    explicit KeyTable(const Document &document);

    /// Returns the team of the key, or null for an unknown key. The result is valid as long as the table.
    const TeamName *find(std::string_view key) const;
    /// Whether @p text contains a known key as a separate token, whether plain, percent-encoded or in Basic credentials.
    bool containsKnownKey(std::string_view text) const;

private:
    bool hasKeyToken(std::string_view text) const;
    bool hasSeparatedKey(std::string_view token) const;

    std::vector<TeamName> m_teams;
    std::unordered_map<KeyDigest, std::uint32_t, KeyDigestHash> m_teamOfDigest;
};
}
