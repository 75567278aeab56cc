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
    // With which calls to the former minion were sent.
    std::uint64_t formerToken { 0 };

    // Nothing is sent to `deployment.minion`, which has an address of its own.
    explicit SuccessionTest(Milliseconds formerBorn)
    {
        former = std::make_unique<PlatformMinion>(deployment.loop, minionOptions(formerBorn, minionAddress));
        cr_assert(deployment.sendAndWait(deployment.control, "POST /Config.Put", testConfig).find("200") == 9);
        former->report(deployment.reportAddress);
        cr_assert(runUntil(deployment.loop, [this] { return deployment.entry.view().catalogue && deployment.entry.dispatch().sidecars() == 1 && deployment.sidecar.fencingToken(); }));
        cr_assert(served("first"));
        formerToken = deployment.sidecar.fencingToken().value_or(0);
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

// An odd report, under the minion's own name or another, left the minion without work until the sidecar or the minion started
// again (issue #34, reports of other operators).
Test(MinionIncarnations, oddReportsOfOtherWritersLeaveTheMinionAtWork)
{
    SuccessionTest test(presentBorn - Milliseconds { 2'400 });
    const std::string whole = fmt::format(
        R"({{"service":"s1","address":"{}","zone":"dc-a","state":"ready","capacity":{{"cpu":16000,"memMb":1000,"gpu":0}},"labels":["a","r1"],"clockMs":5,"seq":900,"born":{}}})",
        test.minionAddress, presentBorn.count);
    const auto with = [&whole](const std::string& from, const std::string& to) {
        std::string text = whole;
        const auto at = text.find(from);
        cr_assert(at != std::string::npos, "no %s", from.c_str());
        return text.replace(at, from.size(), to);
    };
    const std::string born = fmt::format(R"("born":{})", presentBorn.count);
    const std::string odd[] { with(born, R"("born":9223372036854775807)"), with(born, R"("born":-1)"), with(born, R"("born":60000)"),
        with(R"("cpu":16000)", R"("cpu":-1)"), with(R"("cpu":16000)", R"("cpu":9223372036854775807)"), with(R"("memMb":1000)", R"("memMb":1e300)"),
        with(R"("service":"s1")", R"("service":"unknown")"), with(R"("seq":900)", R"("seq":9223372036854775807)"),
        with(R"(["a","r1"])", R"(["b","r1"])"), with(R"(["a","r1"])", R"("a")"), with(R"("state":"ready")", R"("state":"odd")"),
        with(test.minionAddress, "127.0.0.1:1"), with(test.minionAddress, "127.0.0.1:70000"), with(R"("gpu":0)", R"("gpu":)" + std::string(100'000, '[')) };
    int jobs = 0;
    for (const char* id : { "i-1", "i-9" }) {
        for (const auto& body : odd) {
            const std::string status = test.deployment.sendAndWait(test.deployment.reportAddress, std::string("POST /Instances.Heartbeat/") + id, body).substr(9, 3);
            cr_assert(status == "400" || status == "503", "expected no acknowledgement of %.200s, got %s", body.c_str(), status.c_str());
            // The minion itself goes on reporting, as it does every 1.5 s.
            test.report("ready");
            cr_assert(test.served(fmt::format("job-{}", ++jobs)), "expected a job to be served after %.200s", body.c_str());
        }
    }
    test.report("draining");
    const auto started = test.present->started.size();
    test.deployment.send(test.deployment.front, "POST /a/late", testJob);
    test.deployment.runFor({ 300 });
    cr_assert(test.present->started.size() == started, "expected no start at a minion that drains");
}

// An order without an answer may be carried out seconds later, by then by the next minion under the same id, which knows of no stop and
// whose clock shows an earlier time than the end of the order's lease.
Test(MinionIncarnations, aMinionCarriesOutNoOrderThatWasSentToItsFormerIncarnation)
{
    SuccessionTest test(presentBorn - Milliseconds { 2'400 });
    const std::size_t before = test.present->started.size();
    const std::string late = fmt::format(
        R"({{"task":"late.0.0.0","runId":1,"spec":"x","deadlineMs":1000000000000,"fencingToken":{}}})", test.formerToken);
    HttpConnection connection(test.deployment.loop, test.minionAddress);
    std::string answer;
    connection.call({ .path = "/run-start", .body = late, .timeout = { 2'000 }, .headers = { { .name = "Oleanderport-Expected-Instance", .value = "i-1" } } },
        [&answer](const Result<HttpAnswer>& got) { answer = got.has_value() ? got.assume_value().body : got.assume_error().message; });
    cr_assert(runUntil(test.deployment.loop, [&answer] { return !answer.empty(); }));
    cr_assert(answer.find("\"fence\"") != std::string::npos, "expected the order to be refused, got %s", answer.c_str());
    cr_assert(test.present->started.size() == before);
    cr_assert(test.served("second"), "expected a job to be served by the present minion");
}
