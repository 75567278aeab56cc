#pragma once

#include "oleanderport/Messages.h"
#include "policy/ViewScope.h"
#include "wire/ControlRecords.h"

#include <optional>

namespace oleanderport {

// The view that a process says it has.
struct KnownView {
    std::uint64_t version { 0 };
    std::uint64_t configVersion { 0 };
    std::string configDigest;
};

// What leads from the view that a process has to the current one. The configuration is part of it only when it is not
// the one that the process has. Nothing when the steps since then are no longer kept, or when the process claims a
// view that never was: then it needs the whole view.
std::optional<ViewDelta> viewDelta(const EnvironmentRecord&, const KnownView&, ViewPart = ViewPart::Whole);

// Brings a view to the version of the delta. False, with the view unchanged, when the delta starts from another one.
bool applyDelta(ClusterView&, const ViewDelta&);

} // namespace oleanderport
