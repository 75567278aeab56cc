#pragma once

#include "oleanderport/Messages.h"

// Messages between entries.
namespace oleanderport {

// Asks the owner of a job for its state. An empty digest matches any content.
struct FindJobAtOwner {
    JobKey key;
    std::string digest;
    Milliseconds wait {};
};

// Hands a submission on to the entry that owns its claim but does not know the job: the answer to its claim was lost.
struct SubmitAtOwner {
    JobSpec spec;
    Milliseconds wait {};
};

} // namespace oleanderport
