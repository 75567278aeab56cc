#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderport::bench {

struct WorkOptions {
    std::uint64_t seed { 1 };
    // Share of all slots that the work keeps busy on average.
    double load { 0.8 };
    int slots { 88 };
    int tasksPerJob { 1 };
    double meanRunMs { 100 };
    double seconds { 10 };
    std::string team;
    int entries { 3 };
};

// One job of the seeded work. `dueMs` is relative to the start of the run.
struct WorkJob {
    std::int64_t dueMs { 0 };
    int entry { 0 };
    std::string team;
    std::string caller;
    std::vector<std::int64_t> runMs;
};

// Generates jobs that arrive as a Poisson process, with task run times distributed uniformly between 0.5 and 1.5 times the
// mean. The same options give the same work.
std::vector<WorkJob> makeWork(const WorkOptions&);

enum class QueueOrder {
    // First in, first out.
    Arrival,
    // Teams, callers and jobs take turns, as in the fair queue of the entries.
    Fair,
};

// Response time in milliseconds of each job when all slots serve a single queue without any delay.
std::vector<double> idealResponseTimes(const std::vector<WorkJob>&, int slots, QueueOrder);

} // namespace oleanderport::bench
