#include "answer_head_p.h"

namespace plumsill
{
bool isFinalStatus(unsigned status)
{
    return status >= 200 && status <= 599;
}

bool isInterimStatus(unsigned status)
{
    return status >= 100 && status <= 199 && status != 101;
}

bool FoldedLineFinder::find(std::string_view bytes)
{
    for (const char byte : bytes) {
        const bool lineBegin = m_place == Place::LineBegin;
        if (m_found || m_place == Place::Behind) {
            break;
        }
        m_found = lineBegin && (byte == ' ' || byte == '\t');
        if (byte == '\n') {
            m_place = lineBegin || m_place == Place::EmptyLine ? Place::Behind : Place::LineBegin;
        } else if (m_place != Place::StartLine) {
            m_place = lineBegin && byte == '\r' ? Place::EmptyLine : Place::Line;
        }
    }
    return m_found;
}
}
