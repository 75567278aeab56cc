#pragma once

#include "oleanderport/Error.h"
#include "policy/RunTable.h"

#include <functional>

namespace oleanderport {

// Calls from a sidecar to its minion. Each callback is called once, from the event loop after the call has returned; a call
// without an answer in time is reported as Unknown, false or an error. Only the callbacks of calls to a former incarnation of
// the minion are never called. A start request that has to wait for a connection is sent only if RunServer::mayStillStart()
// holds at that time.
struct MinionPort {
    // Asks the minion at the address of the report for its start time, on a new connection.
    std::function<void(const MinionReport&, std::function<void(const Result<Milliseconds>& born)>)> identify;
    // Directs the calls below to the minion of the report. Calls in flight to another one are dropped.
    std::function<void(const MinionReport&)> select;
    std::function<void(const StartRun&, std::function<void(StartAnswer)>)> start;
    std::function<void(const StopRun&, std::function<void(bool answered)>)> stop;
    std::function<void(const ListRuns&, std::function<void(const Result<RunList>&)>)> list;
};

} // namespace oleanderport
