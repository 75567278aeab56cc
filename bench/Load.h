#pragma once

#include "Work.h"
#include "oleanderport/Clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace oleanderport::bench {

struct LoadResult {
    // Response time of each job from its due time; negative when the job did not complete.
    std::vector<double> responseTimesMs;
    std::size_t refused { 0 };
    std::size_t failed { 0 };
    // Reasons of the jobs that did not complete, with their counts.
    std::map<std::string, std::size_t> reasons;
};

// Sends each job at its due time, regardless of the jobs in flight (open loop), and waits for all answers or `limit`.
// Every job id starts with `prefix`, so that ids of different runs are distinct.
LoadResult offerLoad(const std::vector<WorkJob>&, const std::vector<std::string>& entries, const std::string& prefix,
    Milliseconds limit);

// Metrics of the processes at the addresses, summed by name; names are without the leading "oleanderport_".
std::map<std::string, double> readCounters(const std::vector<std::string>& addresses);

} // namespace oleanderport::bench
