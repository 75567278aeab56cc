#pragma once

#include "oleanderport/Clock.h"

#include <map>
#include <optional>
#include <string>

// Learns how fast the minions of a service are. Made for services whose machines differ in speed by more than a job's latency objective
// allows, so that work with little slack has to go to the fast ones.
namespace oleanderport {

struct MinionSpeedsOptions {
    // Runs needed before a minion counts as faster or slower than the mean one.
    double minRuns { 4 };
    // A new run has at least this weight. Estimates of callers are off by half and more, so a few runs say little.
    double minWeight { 1.0 / 16 };
    // One run counts as at most this many times slower or faster: run times have a heavy tail.
    double maxRatio { 4 };
    // What is known of a minion without results for this long is forgotten: it may have been replaced, or recovered.
    Milliseconds forgetAfter { 30'000 };
};

// Run times of minions relative to the mean minion of the service, all minions counting alike, whatever runs where.
class MinionSpeeds {
public:
    explicit MinionSpeeds(const MinionSpeedsOptions& options = {})
        : m_options(options)
    {
    }

    // A run ended well after `ratio` times the run time expected on the mean minion.
    void record(const std::string& minion, double ratio, Milliseconds now);
    void remove(const std::string& minion);

    // Run time on this minion as a multiple of that on the mean one; 1 while not known.
    double slowness(const std::string& minion, Milliseconds now) const;

private:
    struct Minion {
        // Mean of the logarithms of the ratios, which have a symmetric distribution.
        double logRatio { 0 };
        double runs { 0 };
        Milliseconds lastAt {};
    };

    bool isKnown(const Minion&, Milliseconds now) const;
    // Recomputes the mean when it is older than `summaryPeriod`.
    void summarize(Milliseconds now) const;

    MinionSpeedsOptions m_options;
    std::map<std::string, Minion> m_minions;
    mutable std::optional<Milliseconds> m_summarizedAt;
    mutable double m_mean { 1 };
};

} // namespace oleanderport
