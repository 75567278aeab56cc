#pragma once

#include "support/DispatchModel.h"

#include <string>

// Loads like those of the users' deployments: short, wide jobs that come first, many small ones, few long ones.
namespace oleanderport {

inline ModelQueue lookupQueue()
{
    return { .config = { .name = "lookup", .priority = 0, .maxAttempts = 3, .stretchPercent = 160, .latencyAllowance = { 60 } },
        .tasks = 8,
        .needs = { .cpuMillis = 6'200, .memoryMb = 64, .runTime = { 60 } } };
}

inline ModelQueue bookingQueue()
{
    return { .config = { .name = "booking", .priority = 1, .maxAttempts = 2, .stretchPercent = 160, .latencyAllowance = { 60 } },
        .tasks = 2,
        .needs = { .cpuMillis = 6'200, .memoryMb = 64, .runTime = { 200 } } };
}

inline ModelQueue calloutQueue()
{
    return { .config = { .name = "callout", .priority = 2, .maxAttempts = 3, .stretchPercent = 160, .latencyAllowance = { 60 } },
        .tasks = 4,
        .needs = { .cpuMillis = 6'200, .memoryMb = 64, .runTime = { 900 } } };
}

// Submits jobs of all three queues at random times and entries, as many a second as given, for a while from now on.
class DispatchLoad {
public:
    DispatchLoad(DispatchModel& model, int entries, std::uint64_t seed)
        : m_model(model)
        , m_entries(entries)
        , m_random(seed)
    {
    }

    void offer(double jobsPerSecond, Milliseconds from, Milliseconds duration)
    {
        std::exponential_distribution<double> gap(jobsPerSecond / 1'000);
        double time = 0;
        while ((time += gap(m_random)) < static_cast<double>(duration.count)) {
            m_model.at(from + Milliseconds { static_cast<std::int64_t>(time) }, [this] { submitOne(); });
        }
    }

    std::string submitOne()
    {
        const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
        const ModelQueue queue = draw < 0.245 ? lookupQueue() : draw < 0.29 ? calloutQueue()
                                                                            : bookingQueue();
        std::string name = "job-" + std::to_string(++m_last);
        m_model.submit(static_cast<int>(m_random() % static_cast<std::uint64_t>(m_entries)), queue, name, patience);
        return name;
    }

    static constexpr Milliseconds patience { 3'000 };

private:
    DispatchModel& m_model;
    int m_entries;
    std::mt19937_64 m_random;
    std::uint64_t m_last { 0 };
};

// What callers got.
struct ServedShares {
    double inObjective { 0 };
    double late { 0 };
    double refused { 0 };
    double unfinished { 0 };
    std::size_t jobs { 0 };
    // Worth earned of the worth owed: the whole in objective, a fifth up to three times the objective.
    double worth { 0 };
    // The same of the widest queue alone.
    double lookupWorth { 0 };
    // No end was told.
    std::size_t open { 0 };
};

// Of the jobs that arrived in a span of time.
inline ServedShares servedShares(const DispatchModel& model, Milliseconds from, Milliseconds until)
{
    ServedShares shares;
    double owed = 0;
    double owedToLookups = 0;
    for (const auto& outcome : model.outcomes()) {
        if (outcome.arrived < from || outcome.arrived >= until)
            continue;
        ++shares.jobs;
        const double value = outcome.queue == "lookup" ? 0.0291 : outcome.queue == "callout" ? 0.16
                                                                                             : 0.01;
        const bool isLookup = outcome.queue == "lookup";
        owed += value;
        owedToLookups += isLookup ? value : 0;
        const Milliseconds took = outcome.endedAt - outcome.arrived;
        if (outcome.kind == DispatchEndKind::Completed && took <= outcome.objective * 3) {
            const double earned = took <= outcome.objective ? value : value / 5;
            shares.worth += earned;
            shares.lookupWorth += isLookup ? earned : 0;
        }
        if (!outcome.kind) {
            ++shares.open;
            continue;
        }
        const bool inTime = outcome.endedAt - outcome.arrived <= outcome.objective;
        if (*outcome.kind == DispatchEndKind::Completed)
            (inTime ? shares.inObjective : shares.late) += 1;
        else if (*outcome.kind == DispatchEndKind::Refused)
            shares.refused += 1;
        else
            shares.unfinished += 1;
    }
    shares.worth /= std::max(owed, 1e-9);
    shares.lookupWorth /= std::max(owedToLookups, 1e-9);
    for (double* share : { &shares.inObjective, &shares.late, &shares.refused, &shares.unfinished })
        *share /= static_cast<double>(std::max<std::size_t>(shares.jobs, 1));
    return shares;
}

} // namespace oleanderport
