#include <plumsill/request_digest.h>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstring>

namespace plumsill
{
namespace
{
void append(std::string &text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}
}

// A cryptographic hash, since a request must not be able to take another team's place by a collision. The body has a hash of its
// own, so that a long one is not copied.
RequestDigest digestOf(const RequestIdentity &identity)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash {};
    SHA256(reinterpret_cast<const unsigned char *>(identity.body.data()), identity.body.size(), hash.data());
    std::string host(identity.host);
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    std::string text(reinterpret_cast<const char *>(hash.data()), hash.size());
    append(text, identity.team);
    append(text, identity.method);
    append(text, host);
    append(text, identity.path);
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), hash.data());
    RequestDigest digest;
    std::memcpy(&digest.high, hash.data(), sizeof digest.high);
    std::memcpy(&digest.low, hash.data() + sizeof digest.high, sizeof digest.low);
    return digest;
}

std::string toString(const RequestDigest &digest)
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(digest.high), static_cast<unsigned long long>(digest.low));
    return text.data();
}
}
