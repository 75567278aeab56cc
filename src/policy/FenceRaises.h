#pragma once

#include <cstdint>

namespace oleanderport {

// Counts how often a sidecar has raised its fencing token, so that the minion's next incarnation carries out no start request of
// before once it has carried out a call with the raised one.
class FenceRaises {
public:
    std::uint64_t count() const { return m_count; }

    void raise()
    {
        ++m_count;
        m_openStarts = 0;
    }

    // A start request is sent with the present token. Returns the count for startAnswered().
    std::uint64_t startSent()
    {
        ++m_openStarts;
        return m_count;
    }

    // A start request of this count was answered or not sent at all, so it is not carried out later.
    void startAnswered(std::uint64_t count)
    {
        if (count == m_count)
            --m_openStarts;
    }

    // The minion refused or broke a connection, so its next incarnation may be there. Raises, and returns true, if a start request with
    // the present token may still be carried out: once for all calls that fail together.
    bool connectionFailed()
    {
        if (m_openStarts == 0)
            return false;
        raise();
        return true;
    }

private:
    std::uint64_t m_count { 0 };
    // Start requests with the present token that have no answer.
    std::uint64_t m_openStarts { 0 };
};

} // namespace oleanderport
