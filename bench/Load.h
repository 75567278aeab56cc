#pragma once

#include "Work.h"
#include "oleanderport/Clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace oleanderport::bench {

struct LoadResult {
    // Response time of each job in milliseconds from the time at which it was due; below zero when it did not end
    // complete.
    std::vector<double> responseTimesMs;
    std::size_t refused { 0 };
    std::size_t failed { 0 };
    // What the answers that were not complete said, and how often.
    std::map<std::string, std::size_t> reasons;
};

// Offers the work at its due times, whatever is still under way, and waits for every answer or `limit`.
// `prefix` starts every job's id, so that runs do not meet.
LoadResult offerLoad(const std::vector<WorkJob>&, const std::vector<std::string>& entries, const std::string& prefix,
    Milliseconds limit);

// Counters of a process, summed over all addresses; names without the leading "oleanderport_".
std::map<std::string, double> readCounters(const std::vector<std::string>& addresses);

} // namespace oleanderport::bench
