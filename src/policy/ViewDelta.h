#pragma once

#include "oleanderport/Messages.h"
#include "policy/ViewScope.h"
#include "wire/ControlRecords.h"

#include <optional>

namespace oleanderport {

// The view that a process reports.
struct KnownView {
    std::uint64_t version { 0 };
    std::uint64_t configVersion { 0 };
    std::string configDigest;
};

// The delta from the view that a process has to the current one. It includes the configuration only when that is not
// the one that the process has. Nothing when the changes since then are no longer kept, or when the process reports a
// version that does not exist: then it needs the whole view.
std::optional<ViewDelta> viewDelta(const EnvironmentRecord&, const KnownView&, ViewPart = ViewPart::Whole);

// Brings a view to the version of the delta. False, with the view unchanged, when the delta starts from another one.
bool applyDelta(ClusterView&, const ViewDelta&);

} // namespace oleanderport
