#include "NearMisses.h"

#include "oleanderport/NameTable.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace oleanderport::soak {

namespace {

    constexpr NameTable<Succession, 4> successionNames { {
        { Succession::SameMinion, "same_minion" },
        { Succession::OtherMinion, "other_minion" },
        { Succession::Resubmission, "resubmission" },
        { Succession::NextIncarnation, "next_incarnation" },
    } };

    std::ptrdiff_t attemptsBefore(const JobRecord& job, Milliseconds time)
    {
        return std::count_if(job.attempts.begin(), job.attempts.end(), [time](const AttemptRecord& attempt) { return attempt.sent <= time; });
    }

    Succession successionOf(const RunRecord& former, const RunRecord& run, const JobRecord* job)
    {
        if (former.isOfFormer || run.isOfFormer)
            return Succession::NextIncarnation;
        if (job && attemptsBefore(*job, former.ordered) != attemptsBefore(*job, run.ordered))
            return Succession::Resubmission;
        return former.minion == run.minion ? Succession::SameMinion : Succession::OtherMinion;
    }

    void add(Successors& successors, const RunRecord& former, const RunRecord& run)
    {
        const bool isFirst = successors.count++ == 0;
        const auto keepSmallest = [isFirst](Milliseconds& smallest, Milliseconds gap) { smallest = isFirst ? gap : std::min(smallest, gap); };
        keepSmallest(successors.smallestGap, run.start - former.end);
        keepSmallest(successors.smallestGapToOrder, run.ordered - former.end);
        keepSmallest(successors.smallestGapWithoutStop, run.start - std::max(former.end, former.leaseEnd));
    }

} // namespace

NearMisses nearMisses(const Record& record)
{
    std::map<std::string, const JobRecord*> jobs;
    for (const auto& job : record.jobs)
        jobs[job.id] = &job;
    std::map<std::string, std::vector<const RunRecord*>> byTask;
    for (const auto& run : record.runs)
        byTask[run.task].push_back(&run);
    NearMisses misses;
    for (auto& [task, runs] : byTask) {
        std::sort(runs.begin(), runs.end(), [](const auto* a, const auto* b) { return a->start < b->start; });
        const auto job = jobs.find(task.substr(0, task.find('.')));
        const RunRecord* former = runs.front();
        for (std::size_t i = 1; i < runs.size(); ++i) {
            const RunRecord& run = *runs[i];
            const Succession succession = successionOf(*former, run, job == jobs.end() ? nullptr : job->second);
            add(misses[{ succession, former->how }], *former, run);
            former = run.end < former->end ? former : &run;
        }
    }
    return misses;
}

std::string describe(const NearMisses& misses)
{
    std::vector<std::string> parts;
    for (const auto& [succession, name] : successionNames) {
        std::size_t count = 0;
        Milliseconds withoutStop { std::numeric_limits<std::int64_t>::max() };
        NearMisses::const_iterator nearest = misses.end();
        for (auto row = misses.begin(); row != misses.end(); ++row) {
            if (row->first.first != succession)
                continue;
            count += row->second.count;
            withoutStop = std::min(withoutStop, row->second.smallestGapWithoutStop);
            if (nearest == misses.end() || row->second.smallestGap < nearest->second.smallestGap)
                nearest = row;
        }
        if (count > 0)
            parts.push_back(fmt::format("{} of {}, smallest gap {} ms after {}{}", count, name, nearest->second.smallestGap.count, nearest->first.second,
                succession == Succession::Resubmission ? fmt::format(", {} ms without its stop", withoutStop.count) : std::string()));
    }
    return fmt::format("near misses: {}", parts.empty() ? "no task ran twice" : fmt::format("{}", fmt::join(parts, "; ")));
}

std::string tableOf(std::uint64_t seed, const NearMisses& misses)
{
    std::string text;
    for (const auto& [key, successors] : misses)
        text += fmt::format("gap {} {} {} {} {} {} {}\n", seed, nameIn(successionNames, key.first), key.second, successors.count,
            successors.smallestGap.count, successors.smallestGapToOrder.count, successors.smallestGapWithoutStop.count);
    return text;
}

} // namespace oleanderport::soak
