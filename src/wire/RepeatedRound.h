#pragma once

#include <utility>

namespace oleanderport {

// Runs a round of decisions, and again as long as something within it asked for a further one. A callback of the round may
// ask without running it within itself.
class RepeatedRound {
public:
    // False when a round is under way already; it will be repeated.
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
