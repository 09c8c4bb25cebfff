#pragma once

#include <string>
#include <string_view>

namespace plumsill
{
/// Rounds of decoding after which a text counts as plain. It may be percent-encoded once for the query and a second time in a path within the query.
inline constexpr int DecodingRounds = 2;

/// @p text with its "%XX" replaced by their bytes; other percent signs stay.
std::string percentDecoded(std::string_view text);
}
