#pragma once

#include "oleanderport/Error.h"
#include "policy/JobDispatcher.h"

#include <jsoncpp/json/json.h>

namespace oleanderport {

// Reads the parameters of the RPC method "explainPlacement": `queue` by name, `waitMs` for which the caller would wait (default: the
// queue's time limit), and `steps` with `count`, `cpuMillis`, `memoryMb`, `accelerators`, `runTimeMs`, `requiredLabel`, `preferredRack`,
// `maxPerMinion`. Fails with NotFound for a queue that the catalogue does not have, with BadRequest naming a field that can't be read.
Result<DispatchJob> readExplainedJob(const Json::Value& params, const QueueCatalogue&, Milliseconds now);

Json::Value toJson(const PlacementExplanation&);

} // namespace oleanderport
