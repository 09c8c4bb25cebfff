#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace plumsill
{
/// Identifies the copies of one request: those with the same team, method, host, path and body. All zero for a request
/// without one.
struct RequestDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestDigest &) const = default;
    bool empty() const { return high == 0 && low == 0; }
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(high, low);
    }
};

/// What all copies of a request share.
struct RequestIdentity {
    std::string_view team; ///< empty on routes open to all
    std::string_view method;
    std::string_view host; ///< case is ignored
    std::string_view path; ///< with the query
    std::string_view body;
};

RequestDigest digestOf(const RequestIdentity &identity);
/// Hexadecimal text of 32 digits.
std::string toString(const RequestDigest &digest);
}
