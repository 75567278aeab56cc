#pragma once

#include "policy/ControlState.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace oleanderport {

struct Process;

// Replicates commands to all control instances and applies them once they are committed.
class Replicator {
public:
    using Done = std::function<void(Result<ControlOutcome>)>;

    virtual ~Replicator() = default;

    // Must succeed before any other function is called.
    virtual Result<void> start() { return boost::outcome_v2::success(); }

    // Commits and applies the change, then calls back. Fails with NotLeader (ran: no), whose peer is the leader's address if
    // known, or with Unavailable (ran: unknown) if the outcome is not known.
    virtual void propose(decltype(ControlCommand::change), Done) = 0;

    // True while this instance may answer from its state: it is the leader and was recently confirmed by a majority.
    virtual bool isLeader() const = 0;

    // Address of the leader; empty if unknown.
    virtual std::string leaderAddress() const = 0;

    // Addresses of the group's voters, by the newest configuration known here.
    virtual std::vector<std::string> instances() const = 0;

    virtual const ControlState& state() const = 0;

    // The callback is called whenever isLeader() or leaderAddress() may have changed, from within other calls of this object.
    void onLeaderChange(std::function<void()> callback) { m_onLeaderChange = std::move(callback); }

protected:
    void notifyLeaderChange() const
    {
        if (m_onLeaderChange)
            m_onLeaderChange();
    }

private:
    std::function<void()> m_onLeaderChange;
};

// A RaftReplicator if a data folder is set; otherwise, for trials, a single instance with its state in memory. The process must
// outlive the replicator.
std::unique_ptr<Replicator> makeReplicator(Process&, const ControlStateOptions&);

} // namespace oleanderport
