#pragma once

#include "policy/ControlState.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace oleanderport {

struct Process;

// Carries commands to all control instances and applies each once it is committed.
class Replicator {
public:
    using Done = std::function<void(Result<ControlOutcome>)>;

    virtual ~Replicator() = default;

    // Makes the replicator ready. The rest may be called only after it has succeeded.
    virtual Result<void> start() { return boost::outcome_v2::success(); }

    // Commits and applies the change, then calls back. NotLeader (ran: no) names the leader as peer when it is known;
    // Unavailable (ran: unknown) means that the outcome is not known.
    virtual void propose(decltype(ControlCommand::change), Done) = 0;

    // True while this instance may answer from its state: it is leader and a majority has confirmed it recently.
    virtual bool isLeader() const = 0;

    // Address of the leader as far as known; may be empty.
    virtual std::string leaderAddress() const = 0;

    virtual const ControlState& state() const = 0;

    // Calls back, from within other calls of this object, whenever isLeader() or leaderAddress() may have changed.
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

// The group when a data folder is set. Otherwise a single instance that keeps its state in memory, for trials. The
// process must outlive the replicator.
std::unique_ptr<Replicator> makeReplicator(Process&, const ControlStateOptions&);

} // namespace oleanderport
