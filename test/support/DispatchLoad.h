#pragma once

#include "support/DispatchModel.h"

#include <cmath>
#include <string>

// Loads like those of the users' deployments: short, wide jobs of the highest priority, many small jobs, few long ones.
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

// Variation between the jobs of one queue. By default all jobs of a queue are the same.
struct LoadSpread {
    // Mean CPU need of a task in thousandths of a core; 0 keeps that of the queue.
    std::int64_t cpuMillis { 0 };
    // Log-normal sigma of the number of tasks, the CPU need, the run time, and the caller's estimate of the run time.
    double width { 0 };
    double cpu { 0 };
    double runTime { 0 };
    double estimate { 0 };
};

// Variation that the users' sheet gives for deployments of hundreds of machines.
inline LoadSpread largeSpread()
{
    return { .cpuMillis = 15'000, .width = 0.4, .cpu = 0.2, .runTime = 0.4, .estimate = 0.4 };
}

// The same with smaller tasks, as the sheets give it for deployments of some seventy machines.
inline LoadSpread compactSpread()
{
    return { .cpuMillis = 3'300, .width = 0.4, .cpu = 0.2, .runTime = 0.4, .estimate = 0.4 };
}

// Submits jobs of all three queues at random times to random entries.
class DispatchLoad {
public:
    DispatchLoad(DispatchModel& model, int entries, std::uint64_t seed, const LoadSpread& spread = {})
        : m_model(model)
        , m_entries(entries)
        , m_random(seed)
        , m_spread(spread)
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
        ModelQueue queue = draw < 0.245 ? lookupQueue() : draw < 0.29 ? calloutQueue()
                                                                      : bookingQueue();
        vary(queue);
        std::string name = "job-" + std::to_string(++m_last);
        m_model.submit(static_cast<int>(m_random() % static_cast<std::uint64_t>(m_entries)), queue, name, patience);
        return name;
    }

    static constexpr Milliseconds patience { 3'000 };

private:
    // A log-normal factor with a mean of one.
    double factor(double spread)
    {
        return spread > 0 ? std::lognormal_distribution<double>(-spread * spread / 2, spread)(m_random) : 1;
    }

    void vary(ModelQueue& queue)
    {
        if (m_spread.cpuMillis > 0)
            queue.needs.cpuMillis = m_spread.cpuMillis;
        // A job has at most four times the tasks and the run time of the mean one.
        constexpr double most = 4;
        const auto scaled = [this, most](std::int64_t value, double spread) {
            return std::max<std::int64_t>(std::llround(static_cast<double>(value) * std::min(factor(spread), most)), 1);
        };
        queue.tasks = static_cast<std::uint32_t>(scaled(queue.tasks, m_spread.width));
        constexpr double mostCpu = 1.5;
        queue.needs.cpuMillis = std::llround(static_cast<double>(queue.needs.cpuMillis) * std::min(factor(m_spread.cpu), mostCpu));
        const std::int64_t real = scaled(queue.needs.runTime.count, m_spread.runTime);
        queue.needs.runTime = { scaled(real, m_spread.estimate) };
        queue.realRunThousandths = real * thousandths / queue.needs.runTime.count;
    }

    static constexpr std::int64_t thousandths = 1'000;

    DispatchModel& m_model;
    int m_entries;
    std::mt19937_64 m_random;
    LoadSpread m_spread;
    std::uint64_t m_last { 0 };
};

// Outcomes from the callers' view, as shares of all jobs.
struct ServedShares {
    double inObjective { 0 };
    double late { 0 };
    double refused { 0 };
    double unfinished { 0 };
    std::size_t jobs { 0 };
    // Earned share of the total value: the full value within the objective, a fifth of it up to three times the objective.
    double worth { 0 };
    // The same for the widest queue, `lookup`, alone.
    double lookupWorth { 0 };
    // Jobs without a reported end.
    std::size_t open { 0 };
};

// Shares of the jobs that arrived from `from` to before `until`.
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
