#include "control/LocalReplicator.h"

#include "control/ControlCodec.h"

namespace oleanderport {

LocalReplicator::LocalReplicator(const ControlStateOptions& options)
    : m_state(options)
{
}

void LocalReplicator::propose(decltype(ControlCommand::change) change, Done done)
{
    const ControlCommand command { .stampUnix = Clock::unixNow(), .change = std::move(change) };
    // Accepts what a replicated group would accept.
    const auto text = encodeForLog(command);
    done(text.has_value() ? m_state.apply(command) : text.assume_error());
}

} // namespace oleanderport
