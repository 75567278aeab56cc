#pragma once

#include "oleanderport/Messages.h"

// What part of the view a process needs. Answers a start of the whole deployment: if each of N processes is told of each
// other, control sends N times N members.
namespace oleanderport {

// A sidecar that accepts streams is connected to by entries, and connects to nobody.
inline bool needsMembers(const NodeInfo& node) { return node.role != Role::Sidecar || !node.streamAddress; }

inline ClusterView viewWithoutMembers(const ClusterView& view)
{
    return { .version = view.version,
        .config = view.config,
        .dataCentresOut = view.dataCentresOut,
        .members = {},
        .catalogue = view.catalogue };
}

} // namespace oleanderport
