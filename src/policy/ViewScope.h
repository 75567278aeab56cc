#pragma once

#include "oleanderport/Messages.h"

// What part of the view a process needs. Answers a start of the whole deployment, and a document of thousands of queues: if
// each of N processes is told of each other, control sends N times N members, and every document N times.
namespace oleanderport {

enum class ViewPart {
    Whole,
    // The version and the data centres that are out.
    DataCentresOut,
};

// A sidecar that accepts streams is connected to by entries, connects to nobody, and is told by each order what its queue
// allows.
inline ViewPart viewPartFor(const NodeInfo& node)
{
    return node.role == Role::Sidecar && node.streamAddress ? ViewPart::DataCentresOut : ViewPart::Whole;
}

// The part of that name.
inline ClusterView dataCentresOutPart(const ClusterView& view)
{
    return { .version = view.version, .config = {}, .dataCentresOut = view.dataCentresOut, .members = {}, .catalogue = {} };
}

} // namespace oleanderport
