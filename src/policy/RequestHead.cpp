#include "policy/RequestHead.h"

namespace oleanderport {

HeadPart RequestHead::received(std::string_view bytes)
{
    HeadPart part;
    for (const char each : bytes) {
        if (m_isComplete)
            break;
        ++part.bytes;
        if (each != '\n') {
            m_beginsWithReturn = m_lineBytes == 0 ? each == '\r' : m_beginsWithReturn;
            ++m_lineBytes;
            continue;
        }
        ++part.lines;
        const bool isEmpty = m_lineBytes == 0 || (m_lineBytes == 1 && m_beginsWithReturn);
        m_isComplete = isEmpty && m_hasRequestLine;
        m_hasRequestLine = m_hasRequestLine || !isEmpty;
        m_lineBytes = 0;
    }
    m_bytes += part.bytes;
    return part;
}

} // namespace oleanderport
