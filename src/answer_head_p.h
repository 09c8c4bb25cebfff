#pragma once

#include <cstdint>
#include <string_view>

/// What the head of an answer may contain, beyond what the parser checks.
namespace plumsill
{
/// Whether an answer with this status is the answer to a request: 200 to 599.
bool isFinalStatus(unsigned status);

/// Whether an answer with this status comes before the final one, and has no body: 100 to 199, except for a change of the protocol (101).
bool isInterimStatus(unsigned status);

/// Looks for a folded line in a head that arrives in pieces: a line that begins with a blank, which the parser takes for a part of the line
/// before.
class FoldedLineFinder
{
public:
    /// Examines the next bytes of the head; bytes after its end are ignored. Returns whether a folded line has been found.
    bool find(std::string_view bytes);

private:
    enum class Place : std::uint8_t
    {
        StartLine,
        LineBegin,
        Line,
        EmptyLine, ///< after the CR of a line that is empty so far
        Behind, ///< after the end of the head
    };

    Place m_place = Place::StartLine;
    bool m_found = false;
};
}
