#pragma once

#include "oleanderport/Error.h"
#include "policy/RunTable.h"

#include <functional>

namespace oleanderport {

// How a sidecar orders runs at its minion. Each call is answered once, later in the loop; one that gets no answer in
// time is told as Unknown, false or an error. Only calls to a former incarnation of the minion are not answered at all. A start that has to wait
// before it can be sent is sent only if RunServer::mayStillStart() holds then.
struct MinionPort {
    std::function<void(const StartRun&, std::function<void(StartAnswer)>)> start;
    std::function<void(const StopRun&, std::function<void(bool answered)>)> stop;
    std::function<void(const ListRuns&, std::function<void(const Result<RunList>&)>)> list;
};

} // namespace oleanderport
