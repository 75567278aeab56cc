#pragma once

#include "oleanderport/Messages.h"

// Messages between entries.
namespace oleanderport {

// Asks the entry that owns a job for the job's state. An empty digest matches any content.
struct FindJobAtOwner {
    JobKey key;
    std::string digest;
    Milliseconds wait {};
};

// Forwards a submission to the entry that owns its claim but lacks the job because the answer to its claim was lost.
struct SubmitAtOwner {
    JobSpec spec;
    Milliseconds wait {};
};

} // namespace oleanderport
