#pragma once

#include "control/Replicator.h"

namespace oleanderport {

// A group of a single instance whose state is kept in memory only.
class LocalReplicator final : public Replicator {
public:
    explicit LocalReplicator(const ControlStateOptions&);

    void propose(decltype(ControlCommand::change), Done) override;
    bool isLeader() const override { return true; }
    std::string leaderAddress() const override { return {}; }
    std::vector<std::string> instances() const override { return {}; }
    const ControlState& state() const override { return m_state; }

private:
    ControlState m_state;
};

} // namespace oleanderport
