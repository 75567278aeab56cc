#pragma once

#include "oleanderport/Messages.h"

// Messages between entries.
namespace oleanderport {

// Asks the owner of a job for its state. An empty digest matches any content.
struct FindJobHere {
    JobKey key;
    std::string digest;
    Milliseconds wait {};
};

} // namespace oleanderport
