#include <plumsill/answer_ownership.h>

namespace plumsill
{
bool AnswerOwnership::claim(AttemptNumber writer)
{
    if (!m_owner) {
        m_owner = writer;
        return true;
    }
    return false;
}
}
