#pragma once

#include "control/Replicator.h"

namespace oleanderport {

// A group of one instance that keeps its state in memory.
class LocalReplicator final : public Replicator {
public:
    explicit LocalReplicator(const ControlStateOptions&);

    void propose(decltype(ControlCommand::change), Done) override;
    bool isLeader() const override { return true; }
    std::string leaderAddress() const override { return {}; }
    const ControlState& state() const override { return m_state; }

private:
    ControlState m_state;
};

} // namespace oleanderport
