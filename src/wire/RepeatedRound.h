#pragma once

#include <utility>

namespace oleanderport {

// Runs a round of decisions and repeats it if run() was called during the round. A callback within the round can thus
// request another one without recursion.
class RepeatedRound {
public:
    // False when a round is already running; it will be repeated.
    template <typename Round>
    bool run(Round round)
    {
        m_rerunRequested = true;
        if (m_running)
            return false;
        m_running = true;
        while (std::exchange(m_rerunRequested, false))
            round();
        m_running = false;
        return true;
    }

private:
    bool m_running { false };
    bool m_rerunRequested { false };
};

} // namespace oleanderport
