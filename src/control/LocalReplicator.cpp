#include "control/LocalReplicator.h"

namespace oleanderport {

LocalReplicator::LocalReplicator(const ControlStateOptions& options)
    : m_state(options)
{
}

void LocalReplicator::propose(decltype(ControlCommand::change) change, Done done)
{
    done(m_state.apply({ .stampUnix = Clock::unixNow(), .change = std::move(change) }));
}

} // namespace oleanderport
