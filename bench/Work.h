#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderport::bench {

struct WorkOptions {
    std::uint64_t seed { 1 };
    // Part of all slots that the work keeps busy on average.
    double load { 0.8 };
    int slots { 88 };
    int tasksPerJob { 1 };
    double meanRunMs { 100 };
    double seconds { 10 };
    std::string team;
    int entries { 3 };
};

// One job of the seeded work. `at` counts milliseconds from the start of the run.
struct WorkJob {
    std::int64_t dueMs { 0 };
    int entry { 0 };
    std::string team;
    std::string caller;
    std::vector<std::int64_t> runMs;
};

// Jobs that arrive as a Poisson process, each task with a run time drawn evenly from half to one and a half times the
// mean. The same options give the same work.
std::vector<WorkJob> makeWork(const WorkOptions&);

// Response time in milliseconds of each job when all slots serve one queue without any delay.
enum class QueueOrder {
    // Tasks leave in the order in which they arrived.
    Arrival,
    // Teams, callers and jobs take turns, as in the entries.
    Fair,
};
std::vector<double> idealResponseTimes(const std::vector<WorkJob>&, int slots, QueueOrder);

} // namespace oleanderport::bench
