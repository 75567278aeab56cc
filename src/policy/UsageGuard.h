#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderport {

struct UsageGuardOptions {
    // What the minion has.
    std::int64_t memoryMb { 0 };
    std::int64_t slots { 1 };
    // Memory is short once its running tasks use this share of it.
    double memoryHighWatermark { 0.9 };
    // A run is over its size once it uses this many times what its task declared.
    double overuseFactor { 1.5 };
    // Reports in a row that must show a run over its size. Reports lag, and a single one may show a passing peak.
    int consecutiveReports { 2 };
};

// What one run uses by the minion's report, and what its task declared.
struct RunUsage {
    std::string run;
    std::int64_t cpuMillis { 0 };
    std::int64_t memoryMb { 0 };
    TaskNeeds declared;
};

enum class UsageAction {
    None,
    Throttle,
    Checkpoint,
    Stop,
};

struct UsageRequest {
    std::string run;
    UsageAction action { UsageAction::None };
};

// Decides what to do about runs that use more than their tasks declared. A run over its processor is throttled. While
// memory is short, runs over their memory are throttled, then checkpointed, then stopped, one step a report, the one
// furthest over its size first, and only as many as free what is missing. Runs within their size are never touched.
class UsageGuard {
public:
    explicit UsageGuard(const UsageGuardOptions&);

    // Takes one report on every run of the minion.
    std::vector<UsageRequest> decide(const std::vector<RunUsage>&);

private:
    struct Run {
        int cpuOveruseReports { 0 };
        int memoryOveruseReports { 0 };
        UsageAction lastAction { UsageAction::None };
    };

    std::int64_t declaredMemoryMb(const RunUsage&) const;
    void countOveruse(const std::vector<RunUsage>&);

    UsageGuardOptions m_options;
    std::map<std::string, Run> m_runs;
};

} // namespace oleanderport
