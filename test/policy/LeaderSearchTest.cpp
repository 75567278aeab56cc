#include "policy/LeaderSearch.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>

using namespace oleanderport;

namespace {

const std::vector<std::string> peers { "a", "b", "c" };
const std::vector<std::string> group { "a", "b", "c", "d", "e", "f", "g", "h", "i" };

} // namespace

Test(LeaderSearch, reachesEveryInstanceThatControlReports)
{
    for (std::uint64_t random = 0; random < 50; ++random) {
        LeaderSearch search(peers);
        search.learn(group, random);
        std::set<std::string> called;
        for (std::size_t i = 0; i < group.size(); ++i) {
            called.insert(search.target());
            search.failed(search.target(), {});
            // Each answer reports the group again.
            search.learn(group, random + i);
        }
        cr_assert(called.size() == group.size(), "expected %zu instances to be called, got %zu", group.size(), called.size());
    }
}

Test(LeaderSearch, followsAnUnknownLeaderOnlyWhenAKnownInstanceNamesIt)
{
    LeaderSearch search(peers);
    search.failed("a", "x");
    cr_assert(search.target() == "x");
    search.failed("x", "y");
    cr_assert(search.target() == "b", "expected the next configured instance, got %s", search.target().c_str());
    search.failed("b", "c");
    cr_assert(search.target() == "c");
}

Test(LeaderSearch, ignoresAFailureOfAnInstanceThatIsNoLongerTheTarget)
{
    LeaderSearch search(peers);
    search.confirmed("c");
    search.failed("a", "b");
    cr_assert(search.target() == "c" && search.confirmedLeader() == "c");
    search.failed("c", {});
    cr_assert(search.target() != "c" && search.confirmedLeader().empty());
}

Test(LeaderSearch, keepsWhatItKnowsWhenAnInstanceReportsNoGroup)
{
    LeaderSearch search({ "a" });
    search.learn({ "a", "d" }, 1);
    search.learn({}, 2);
    search.failed("a", {});
    cr_assert(search.target() == "d");
    search.setPeers({ "a", "d" });
    search.failed("d", {});
    cr_assert(search.target() == "a");
}

// The calls of one process share its queries, however many wait, so a crowd of processes that search makes few calls each.
Test(LeaderSearch, queriesOneInstanceAtATimeWhateverTheNumberOfCalls)
{
    const LeaderSearchOptions options { .queryAfter = { 200 } };
    LeaderSearch search(peers, options);
    search.learn(group, 7);
    std::vector<std::string> queried;
    for (std::int64_t now = 0; now < 2'000; ++now) {
        const std::string next = search.nextQuery("a", { now });
        if (!next.empty())
            queried.push_back(next);
    }
    cr_assert(queried.size() == 10, "expected a query each 200 ms, got %zu in 2,000 ms", queried.size());
    cr_assert(std::find(queried.begin(), queried.end(), "a") == queried.end(), "expected no query to the instance that was called");
    cr_assert(std::set<std::string>(queried.begin(), queried.end()).size() == group.size() - 1);
}

Test(LeaderSearch, queriesNobodyWhenOneInstanceIsKnown)
{
    LeaderSearch search({ "a" });
    cr_assert(search.nextQuery("a", { 0 }).empty());
}

Test(LeaderSearch, spreadsProcessesThatSearchTogether)
{
    std::set<std::int64_t> delays;
    std::map<std::string, int> first;
    for (std::uint64_t random = 0; random < 600; ++random) {
        LeaderSearch search(peers);
        const std::int64_t delay = search.queryDelay(random).count;
        cr_assert(delay >= 200 && delay <= 300, "got %ld ms", static_cast<long>(delay));
        delays.insert(delay);
        search.learn(group, random);
        for (const auto& peer : peers)
            search.failed(peer, {});
        ++first[search.target()];
    }
    cr_assert(delays.size() > 50, "expected more than 50 different delays, got %zu", delays.size());
    for (const auto& [address, times] : first)
        cr_assert(times < 200, "%s is called first by %d of 600 processes", address.c_str(), times);
}
