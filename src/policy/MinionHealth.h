#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oleanderport {

struct MinionHealthOptions {
    // Results (with decay) needed to eject a minion for failures, and successful runs needed to compare its speed.
    double minResults { 6 };
    // Half-life of the weight of a result.
    Milliseconds halfLife { 10'000 };
    // A minion is ejected when its share of failed results reaches `failureRatio` and exceeds the median of the other
    // minions by `failureRatioMargin`. The margin prevents ejections for a bad job or a bad release, which fails on all minions.
    double failureRatio { 0.5 };
    double failureRatioMargin { 0.3 };
    // Consecutive stuck runs after which a minion is ejected whatever its failure ratio, unless other minions with
    // as many make up half of the service's minions or more. Above 2, so that two slow tasks of one job don't eject it.
    int consecutiveStuckRuns { 3 };
    // Largest share of the service's minions that may be ejected at the same time. With two or more minions, one always may.
    double maxEjectedRatio { 0.3 };
    // Length of the first ejection; each further consecutive one doubles it up to `maxEjectionTime`.
    Milliseconds baseEjectionTime { 2'000 };
    Milliseconds maxEjectionTime { 60'000 };
    // A minion whose mean run time is at least this multiple of the median of the others gets fewer tasks.
    double stragglerRatio { 2 };
    // Backoff after a refusal or a run with an unknown outcome; each further consecutive one doubles it up to `maxBackoff`.
    Milliseconds initialBackoff { 50 };
    Milliseconds maxBackoff { 2'000 };
};

// Outlier detection for the minions of one service: limits the tasks that one entry may have in flight at each, from the
// results that this entry sees. A minion that fails more than the others is ejected for a time, then probed with one task;
// each success doubles its allowance until it has all its slots. A slow minion gets a share of its slots in proportion to
// its speed. A minion that refuses tasks or whose runs end with an unknown outcome gets no tasks for a short backoff.
class MinionHealth {
public:
    explicit MinionHealth(const MinionHealthOptions&);

    // Adds a minion with the number of tasks it may have when healthy. A known minion keeps its statistics.
    void add(const SessionId&, std::int64_t slots);
    void remove(const SessionId&);

    // Records a result that the entry has accepted as valid.
    void record(const SessionId&, TaskOutcome, Milliseconds ranFor, Milliseconds now);

    // Records a run that was stopped because it took far longer than expected; it also counts as failed.
    void recordStuck(const SessionId&, Milliseconds now);

    // Most tasks that this entry may have in flight at the minion; nothing when there is no limit.
    std::optional<std::int64_t> allowance(const SessionId&, Milliseconds now) const;

    std::size_t ejectedCount(Milliseconds now) const;

private:
    struct Minion {
        std::int64_t slots { 0 };
        double results { 0 };
        double failures { 0 };
        Milliseconds decayedAt {};
        double meanRunTime { 0 };
        double timedRuns { 0 };
        // Set while the minion is ejected, and afterwards while it is on probation.
        std::optional<Milliseconds> ejectedUntil;
        std::int64_t probation { 0 };
        int consecutiveEjections { 0 };
        // Stuck runs since the last successful one.
        int consecutiveStuck { 0 };
        Milliseconds backoffUntil {};
        int consecutiveBackoffs { 0 };
    };

    void decay(Minion&, Milliseconds now) const;
    void countRun(Minion&, bool succeeded, Milliseconds ranFor, Milliseconds now);
    void backOff(Minion&, Milliseconds now);
    void eject(Minion&, Milliseconds now);
    void advanceProbation(Minion&, bool succeeded, Milliseconds now);
    bool mayEject(Milliseconds now) const;
    bool isStuckMoreThanOthers(const SessionId&, const Minion&) const;
    bool failsMoreThanOthers(const SessionId&, const Minion&) const;
    std::int64_t allowanceBySpeed(const Minion&) const;
    bool isTimed(const Minion& minion) const { return minion.timedRuns >= m_options.minResults; }
    // Median of the mean run times of the other timed minions; nothing when there is no other.
    std::optional<double> medianRunTimeOfOthers(const Minion&) const;

    MinionHealthOptions m_options;
    std::map<SessionId, Minion> m_minions;
    // Cache: mean run times of the timed minions in ascending order. Cleared by every change.
    mutable std::vector<double> m_runTimes;
};

} // namespace oleanderport
