#include "control/Replicator.h"

#include "control/LocalReplicator.h"
#include "control/RaftReplicator.h"

namespace oleanderport {

std::unique_ptr<Replicator> makeReplicator(Process& process, const ControlStateOptions& options)
{
    if (process.settings.dataFolder.empty())
        return std::make_unique<LocalReplicator>(options);
    return std::make_unique<RaftReplicator>(process, options);
}

} // namespace oleanderport
