#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oleanderport {

struct MinionHealthOptions {
    // Results that are needed before a minion is judged, counted with decay.
    double minResults { 6 };
    // Time after which a result counts half.
    Milliseconds halfLife { 10'000 };
    // A minion is ejected when its share of failed results reaches `failureRatio` and exceeds the median of the other
    // minions by `failureRatioMargin`. The comparison keeps a bad job or a bad release, which fails everywhere, from ejecting.
    double failureRatio { 0.5 };
    double failureRatioMargin { 0.3 };
    // A minion of which so many runs in a row were stuck is ejected whatever its record, unless most others are no better. Enough
    // that two slow tasks of one job are not blamed on it.
    int consecutiveStuckRuns { 3 };
    // Largest share of the service's minions that may be ejected at the same time; one of two or more always may.
    double maxEjectedRatio { 0.3 };
    // Length of the first ejection; each further one in a row doubles it up to the longest.
    Milliseconds baseEjectionTime { 2'000 };
    Milliseconds maxEjectionTime { 60'000 };
    // A minion whose mean run time is this many times the median of the others gets less work.
    double stragglerRatio { 2 };
    // Pause after a minion refused a task, or a run ended without a known outcome; doubles with each in a row up to the longest.
    Milliseconds initialBackoff { 50 };
    Milliseconds maxBackoff { 2'000 };
};

// Decides how much work the minions of one service may hold from one entry, from the results that the entry sees. A
// minion that fails what others run is ejected for a time, then probed with one task; each success doubles what it may
// hold until it is back. A slow one is held to the share of its slots that its speed earns. One that refuses tasks is
// left alone for a short pause.
class MinionHealth {
public:
    explicit MinionHealth(const MinionHealthOptions&);

    // A minion that is there. `slots` is what it may hold in full health. Known minions keep their record.
    void add(const SessionId&, std::int64_t slots);
    void remove(const SessionId&);

    // A result that the entry has taken as valid.
    void record(const SessionId&, TaskOutcome, Milliseconds ranFor, Milliseconds now);

    // A run that was ended early because it ran far longer than expected.
    void recordStuck(const SessionId&, Milliseconds now);

    // Tasks that this entry may have there at the same time; nothing when there is no bound.
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
        // Set while ejected and, once it has passed, while on probation.
        std::optional<Milliseconds> ejectedUntil;
        std::int64_t probation { 0 };
        int consecutiveEjections { 0 };
        // Stuck runs since the last good one.
        int consecutiveStuck { 0 };
        Milliseconds backoffUntil {};
        int consecutiveBackoffs { 0 };
    };

    void decay(Minion&, Milliseconds now) const;
    void countRun(Minion&, bool good, Milliseconds ranFor, Milliseconds now);
    void backOff(Minion&, Milliseconds now);
    void eject(Minion&, Milliseconds now);
    void advanceProbation(Minion&, bool good, Milliseconds now);
    bool mayEject(Milliseconds now) const;
    bool isStuckMoreThanOthers(const SessionId&, const Minion&) const;
    bool failsMoreThanOthers(const SessionId&, const Minion&) const;
    std::int64_t allowanceBySpeed(const Minion&) const;
    bool isTimed(const Minion& minion) const { return minion.timedRuns >= m_options.minResults; }
    // Median of the mean run times of all timed minions but this one; nothing when there is no other.
    std::optional<double> medianRunTimeOfOthers(const Minion&) const;

    MinionHealthOptions m_options;
    std::map<SessionId, Minion> m_minions;
    // Mean run times of the timed minions in rising order; empty until asked for after a change.
    mutable std::vector<double> m_runTimes;
};

} // namespace oleanderport
