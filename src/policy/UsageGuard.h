#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderport {

struct UsageGuardOptions {
    // Memory and slots of the minion.
    std::int64_t memoryMb { 0 };
    std::int64_t slots { 1 };
    // Share of the minion's memory above which memory counts as short.
    double memoryHighWatermark { 0.9 };
    // A run overuses a resource once it uses more than this multiple of what its task declared.
    double overuseFactor { 1.5 };
    // Consecutive reports that must show overuse before anything is done. Reports lag, and one alone may show a short peak.
    int consecutiveReports { 2 };
};

// Reported usage of one run, and the needs that its task declared.
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

// Decides about runs that use more than their tasks declared. A run that overuses its processor is throttled. While memory is
// short, runs that overuse it are throttled, then checkpointed, then stopped, one step per report, the largest relative overuse
// first, and only as many as free the missing memory. Runs within their declared needs are never touched.
class UsageGuard {
public:
    explicit UsageGuard(const UsageGuardOptions&);

    // Takes one report with the usage of every run of the minion.
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
