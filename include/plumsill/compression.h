#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Lossless compression (DEFLATE) of texts that are sent to many daemons.
namespace plumsill
{
std::string compress(std::string_view text);
/// Returns the text of @p size bytes that compress() was given; none if @p packed is damaged or holds a text of another size.
std::optional<std::string> decompress(std::string_view packed, std::size_t size);
}
