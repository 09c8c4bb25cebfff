#pragma once

#include <cstdint>
#include <optional>

namespace plumsill
{
/// Number of an attempt within its request.
using AttemptNumber = std::uint32_t;

/// Which attempt writes the answer of a request to its caller. Once an attempt has begun, nothing else may write in its place: no other attempt, no refusal
/// and no timeout. They can at most break the answer off.
class AnswerOwnership
{
public:
    /// The answer of @p attempt begins to be sent. Returns false when that of another attempt has begun.
    bool begin(AttemptNumber attempt);
    /// Whether @p attempt may write.
    bool owns(AttemptNumber attempt) const { return m_owner == attempt; }
    /// Whether the result of @p attempt still counts.
    bool counts(AttemptNumber attempt) const { return !m_owner || owns(attempt); }
    /// Whether another answer may be given: that of a further attempt, or one made by this daemon.
    bool open() const { return !m_owner; }

private:
    std::optional<AttemptNumber> m_owner;
};
}
