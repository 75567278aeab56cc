#include "Work.h"

#include "policy/FairQueue.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace oleanderport::bench {

std::vector<WorkJob> makeWork(const WorkOptions& options)
{
    constexpr double millisecondsPerSecond = 1'000;
    std::mt19937_64 random(options.seed);
    const double jobsPerMs = options.load * options.slots / (options.meanRunMs * options.tasksPerJob);
    std::exponential_distribution<double> gap(jobsPerMs);
    std::uniform_int_distribution<std::int64_t> runTime(static_cast<std::int64_t>(options.meanRunMs / 2),
        static_cast<std::int64_t>(options.meanRunMs + options.meanRunMs / 2));
    std::uniform_int_distribution<int> entry(0, options.entries - 1);
    std::uniform_int_distribution<int> caller(1, 2);
    std::vector<WorkJob> jobs;
    for (double at = gap(random); at < options.seconds * millisecondsPerSecond; at += gap(random)) {
        WorkJob job { .dueMs = static_cast<std::int64_t>(at),
            .entry = entry(random),
            .team = options.team,
            .caller = fmt::format("{}-{}", options.team, caller(random)),
            .runMs = {} };
        for (int i = 0; i < options.tasksPerJob; ++i)
            job.runMs.push_back(runTime(random));
        jobs.push_back(std::move(job));
    }
    return jobs;
}

namespace {

    // Discrete-event simulation of a single queue that serves all slots.
    class IdealQueue {
    public:
        IdealQueue(const std::vector<WorkJob>& jobs, int slots, QueueOrder order)
            : m_jobs(jobs)
            , m_order(order)
            , m_free(slots)
            , m_last(jobs.size(), 0)
        {
        }

        std::vector<double> run()
        {
            std::size_t next = 0;
            while (next < m_jobs.size() || !m_ends.empty()) {
                const bool arrival
                    = next < m_jobs.size() && (m_ends.empty() || m_jobs[next].dueMs < m_ends.top());
                const std::int64_t now = arrival ? m_jobs[next].dueMs : m_ends.top();
                if (arrival) {
                    enqueue(next++);
                } else {
                    m_ends.pop();
                    ++m_free;
                }
                start(now);
            }
            std::vector<double> times;
            for (std::size_t i = 0; i < m_jobs.size(); ++i)
                times.push_back(static_cast<double>(m_last[i] - m_jobs[i].dueMs));
            return times;
        }

    private:
        void enqueue(std::size_t index)
        {
            const WorkJob& job = m_jobs[index];
            const bool fair = m_order == QueueOrder::Fair;
            for (std::uint32_t task = 0; task < job.runMs.size(); ++task) {
                if (fair)
                    m_fair.push(job.team, 1, { .key = { job.caller, fmt::format("{}", index) }, .task = task });
                else
                    m_arrival.emplace(index, task);
            }
        }

        std::optional<std::pair<std::size_t, std::uint32_t>> pop()
        {
            if (m_order == QueueOrder::Fair) {
                const auto task = m_fair.pop();
                if (!task)
                    return std::nullopt;
                return std::make_pair(std::stoul(task->key.job), task->task);
            }
            if (m_arrival.empty())
                return std::nullopt;
            const auto task = m_arrival.front();
            m_arrival.pop();
            return task;
        }

        void start(std::int64_t now)
        {
            while (m_free > 0) {
                const auto task = pop();
                if (!task)
                    return;
                const std::int64_t end = now + m_jobs[task->first].runMs[task->second];
                m_ends.push(end);
                m_last[task->first] = std::max(m_last[task->first], end);
                --m_free;
            }
        }

        const std::vector<WorkJob>& m_jobs;
        QueueOrder m_order;
        int m_free;
        std::vector<std::int64_t> m_last;
        FairQueue m_fair;
        std::queue<std::pair<std::size_t, std::uint32_t>> m_arrival;
        std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> m_ends;
    };

} // namespace

std::vector<double> idealResponseTimes(const std::vector<WorkJob>& jobs, int slots, QueueOrder order)
{
    return IdealQueue(jobs, slots, order).run();
}

} // namespace oleanderport::bench
