#pragma once

#include "oleanderport/Messages.h"

// Part of the view that a process needs. This bounds the load of a start of the whole deployment and of a document of
// thousands of queues: if each of N processes receives all others, control sends N * N members, and every document N times.
namespace oleanderport {

enum class ViewPart {
    Whole,
    // The version and the data centres that are out.
    DataCentresOut,
};

// Entries connect to a sidecar that accepts streams. It opens no connections itself, and each request carries the limits
// of its queue.
inline ViewPart viewPartFor(const NodeInfo& node)
{
    return node.role == Role::Sidecar && node.streamAddress ? ViewPart::DataCentresOut : ViewPart::Whole;
}

// Reduces a view to ViewPart::DataCentresOut.
inline ClusterView dataCentresOutPart(const ClusterView& view)
{
    return { .version = view.version, .config = {}, .dataCentresOut = view.dataCentresOut, .members = {}, .catalogue = {} };
}

} // namespace oleanderport
