#include <plumsill/answer_ownership.h>

namespace plumsill
{
bool AnswerOwnership::begin(AttemptNumber attempt)
{
    if (!m_owner) {
        m_owner = attempt;
        return true;
    }
    return false;
}
}
