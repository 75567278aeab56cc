#pragma once

#include "oleanderport/Clock.h"
#include "wire/DispatchMessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Notices at one minion which tasks slow each other down there. Made for services whose minions have room for several tasks that share more
// than that room, so that tasks of some queues take far longer beside tasks of others. A sidecar sees all runs of its minion; an entry would see
// only its own, and take runs beside those of other entries for undisturbed ones.
namespace oleanderport {

struct TaskInterferenceOptions {
    // Runs needed beside the other queue, and as many without it.
    double minRuns { 40 };
    // Weights of older runs shrink so that at most this many count.
    double maxRuns { 1'000 };
    // Runs that take this many times as long count as slowed down; until they take less than `releaseRatio`, so that a pair at the
    // threshold is not split and joined again and again.
    double slowdownRatio { 1.25 };
    double releaseRatio { 1.1 };
    // The difference must be this many standard errors: many pairs are compared all the time.
    double minStandardErrors { 4 };
    // A pair without runs beside each other for this long is compared anew: it may be harmless by now.
    Milliseconds forgetAfter { 60'000 };
};

// Compares the run times of each queue's tasks beside tasks of another queue with those without. Queues are named by digest; see
// nameDigest().
class TaskInterference {
public:
    explicit TaskInterference(const TaskInterferenceOptions& options = {})
        : m_options(options)
    {
    }

    // A run of the job ended well after `ratio` times its expected run time, beside tasks of these queues, which may include its own. Of
    // consecutive runs of one job the first counts: they share the error of the job's estimate.
    void record(std::uint64_t queue, const std::string& job, const std::set<std::uint64_t>& neighbours, double ratio, Milliseconds now);

    // Every pair that was ever found slowed down, with its present slowdown; 100 percent once it no longer counts.
    const std::vector<QueueSlowdown>& slowdowns() const { return m_slowdowns; }
    // Rises with each change of slowdowns().
    std::uint64_t version() const { return m_version; }

private:
    // Mean and variance of the logarithms of the ratios.
    struct Sample {
        double runs { 0 };
        double mean { 0 };
        double variance { 0 };

        void add(double value, double maxRuns);
    };
    struct Pair {
        Sample beside;
        Sample without;
        Milliseconds lastBesideAt {};
        bool isSlowed { false };
    };
    using Queues = std::pair<std::uint64_t, std::uint64_t>;

    void judge(const Queues&, Pair&);
    void report(const Queues&, std::int64_t percent);

    TaskInterferenceOptions m_options;
    // Queues whose tasks have been here, and the job recorded last for each.
    std::map<std::uint64_t, std::string> m_queues;
    // By queue and neighbour.
    std::map<Queues, Pair> m_pairs;
    std::vector<QueueSlowdown> m_slowdowns;
    std::uint64_t m_version { 0 };
};

} // namespace oleanderport
