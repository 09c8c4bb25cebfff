#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>

namespace plumsill
{
/// Number of an attempt within its request, from 1 on.
using AttemptNumber = std::uint32_t;

/// The daemon itself as the writer of an answer: of a refusal, a timeout, or a target's answer that it has buffered.
inline constexpr AttemptNumber DaemonWrites = 0;

/// Who writes the answer of a request to its caller: one attempt, or the daemon. Nothing else may write in its place, to the end of the answer; it can at
/// most be broken off. Shared by all that may write.
class AnswerOwnership : public boost::intrusive_ref_counter<AnswerOwnership, boost::thread_unsafe_counter>
{
public:
    /// @p writer is about to write. Returns false when another one owns the answer.
    bool claim(AttemptNumber writer);
    /// Whether @p writer may write.
    bool owns(AttemptNumber writer) const { return m_owner == writer; }
    /// Whether the result of @p attempt still counts.
    bool counts(AttemptNumber attempt) const { return !m_owner || owns(attempt); }
    /// Whether another answer may be given: that of a further attempt, or one made by this daemon.
    bool open() const { return !m_owner; }

private:
    std::optional<AttemptNumber> m_owner;
};

using AnswerOwnershipPtr = boost::intrusive_ptr<AnswerOwnership>;
}
