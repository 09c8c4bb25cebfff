#pragma once

#include <optional>
#include <string_view>
#include <vector>

/// Splits JSON text without parsing its values, so that a value that no parser accepts does not spoil the others.
namespace plumsill
{
/// Member of a JSON object, as written.
struct RawMember {
    std::string_view name; ///< with its escapes
    std::string_view value;

    auto operator<=>(const RawMember &) const = default;
};

/// Members of the object that @p text holds; none where its braces, quotes or separators don't match.
std::optional<std::vector<RawMember>> rawMembers(std::string_view text);
/// Elements of the array that @p text holds; none where its brackets, quotes or separators don't match.
std::optional<std::vector<std::string_view>> rawElements(std::string_view text);
/// Value of the member @p name of the object that @p text holds; empty where there is none.
std::string_view rawMember(std::string_view text, std::string_view name);
}
