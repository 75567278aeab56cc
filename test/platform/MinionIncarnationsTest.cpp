#include "support/PlatformDeployment.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;
using namespace oleanderport::platform;

// Guards against taking a start time for a number that only rises: clocks of machines are set back, and reports arrive late.

namespace {

constexpr Milliseconds presentBorn { 50'000 };

PlatformMinion::Options minionOptions(Milliseconds born, const std::string& listen)
{
    return { .listen = listen, .born = born };
}

// A deployment whose minion, started at presentBorn, has taken the place of one that started at another time, at the same address.
struct SuccessionTest {
    std::string minionAddress { freeAddress() };
    PlatformDeployment deployment;
    std::unique_ptr<PlatformMinion> former;
    std::unique_ptr<PlatformMinion> present;

    // Nothing is sent to `deployment.minion`, which has an address of its own.
    explicit SuccessionTest(Milliseconds formerBorn)
    {
        former = std::make_unique<PlatformMinion>(deployment.loop, minionOptions(formerBorn, minionAddress));
        cr_assert(deployment.sendAndWait(deployment.control, "POST /Config.Put", testConfig).find("200") == 9);
        former->report(deployment.reportAddress);
        cr_assert(runUntil(deployment.loop, [this] { return deployment.entry.view().catalogue && deployment.entry.dispatch().sidecars() == 1 && deployment.sidecar.fencingToken(); }));
        cr_assert(served("first"));
        former.reset();
        present = std::make_unique<PlatformMinion>(deployment.loop, minionOptions(presentBorn, minionAddress));
        report("ready");
    }

    // Reports until it is acknowledged.
    void report(const char* state)
    {
        present->acknowledged = 0;
        present->report(deployment.reportAddress, state);
        cr_assert(runUntil(deployment.loop, [this] { return present->acknowledged == 1; }), "expected the report to be acknowledged");
    }

    bool served(const std::string& job)
    {
        return deployment.sendAndWait(deployment.front, "POST /a/" + job, testJob).find("\"completed\"") != std::string::npos;
    }

    // Status with which a report of an incarnation is answered that started at this time.
    std::string statusOfReport(Milliseconds born, const std::string& id = "i-1", std::int64_t sequence = 900)
    {
        const std::string body = fmt::format(
            R"({{"service":"s1","address":"{}","zone":"dc-a","state":"ready","capacity":{{"cpu":16000,"memMb":1000}},"labels":["a","r1"],"clockMs":5,"seq":{},"born":{}}})",
            minionAddress, sequence, born.count);
        return deployment.sendAndWait(deployment.reportAddress, "POST /Instances.Heartbeat/" + id, body).substr(9, 3);
    }
};

} // namespace

// The sidecar took the reports of a minion whose start time had gone back for late ones: it acknowledged and ignored them, jobs
// placed there ended with 504, and tasks started there after the report that it drains (review case 5).
Test(MinionIncarnations, aMinionThatStartsAgainIsUsedAndDrainsWhateverItsStartTime)
{
    for (const Milliseconds formerBorn : { presentBorn + Milliseconds { 2'400 }, presentBorn - Milliseconds { 2'400 } }) {
        SuccessionTest test(formerBorn);
        cr_assert(test.served("second"), "expected a job to be served by the present minion");
        cr_assert(test.present->started.size() == 3);
        test.report("draining");
        test.deployment.send(test.deployment.front, "POST /a/third", testJob);
        test.deployment.runFor({ 300 });
        cr_assert(test.present->started.size() == 3, "expected no start at a minion that drains");
    }
}

// A report that a partition held up arrives when its minion has been replaced at the same address (PROTOCOL.md, "Service
// discovery"). It must not take the place of the present one, whichever start time is the higher one.
Test(MinionIncarnations, aLateReportOfAFormerMinionDisplacesNoPresentOne)
{
    for (const Milliseconds formerBorn : { presentBorn + Milliseconds { 2'400 }, presentBorn - Milliseconds { 2'400 } }) {
        SuccessionTest test(formerBorn);
        const std::string status = test.statusOfReport(formerBorn);
        cr_assert(status == "503", "expected the report not to be acknowledged, got %s", status.c_str());
        cr_assert(test.served("second") && test.present->started.size() == 3);
    }
}
