#include "policy/FairQueue.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

QueuedTask task(const std::string& caller, const std::string& job, std::uint32_t index)
{
    return { .key = { .caller = caller, .job = job }, .task = index };
}

} // namespace

Test(FairQueue, returnsNothingWhenEmpty)
{
    FairQueue queue;
    cr_assert(!queue.pop().has_value());
}

Test(FairQueue, servesOneTaskJobBeforeTheRestOfALargeJobOfAnotherTeam)
{
    FairQueue queue;
    for (std::uint32_t i = 0; i < 990; ++i)
        queue.push("loud", 1, task("a", "large", i));
    queue.push("quiet", 1, task("b", "small", 0));
    queue.pop();
    const auto second = queue.pop();
    cr_assert(second.has_value());
    cr_assert(second->key.job == "small", "expected job 'small' second, got '%s'", second->key.job.c_str());
}

Test(FairQueue, servesTeamsByWeight)
{
    FairQueue queue;
    for (std::uint32_t i = 0; i < 30; ++i) {
        queue.push("heavy", 2, task("a", "x", i));
        queue.push("light", 1, task("b", "y", i));
    }
    int heavy = 0;
    for (int i = 0; i < 30; ++i)
        heavy += queue.pop()->key.caller == "a" ? 1 : 0;
    cr_assert(heavy == 20, "expected 20 of the first 30 from the team of weight 2, got %d", heavy);
}

Test(FairQueue, alternatesBetweenJobsOfOneCaller)
{
    FairQueue queue;
    for (std::uint32_t i = 0; i < 5; ++i)
        queue.push("team", 1, task("a", "first", i));
    queue.push("team", 1, task("a", "second", 0));
    queue.pop();
    cr_assert(queue.pop()->key.job == "second");
}

Test(FairQueue, removesAllTasksOfAJob)
{
    FairQueue queue;
    for (std::uint32_t i = 0; i < 3; ++i)
        queue.push("team", 1, task("a", "gone", i));
    queue.push("team", 1, task("a", "kept", 0));
    cr_assert(queue.removeJob("team", { .caller = "a", .job = "gone" }).size() == 3);
    cr_assert(queue.size() == 1);
    cr_assert(queue.pop()->key.job == "kept");
    cr_assert(queue.empty());
}
