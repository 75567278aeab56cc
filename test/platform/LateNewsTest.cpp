#include "support/PlatformDeployment.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;
using namespace oleanderport::platform;

// Guards against taking what a minion's former incarnation said for the word of the present one, which has its id.

namespace {

constexpr Milliseconds formerBorn { 1'700 };
constexpr Milliseconds presentBorn { 1'800 };

// A deployment whose minion has started again under its id.
struct RestartedMinionTest {
    PlatformDeployment deployment;

    explicit RestartedMinionTest(PlatformMinion::Options options)
        : deployment(std::move(options))
    {
        deployment.becomeReady();
        deployment.minion.crash();
        deployment.minion.startAgain(presentBorn);
        report("ready");
        cr_assert(deployment.sendAndWait(deployment.front, "POST /a/second", testJob).find("\"completed\"") != std::string::npos);
        deployment.minion.started.clear();
        deployment.minion.stopped.clear();
    }

    static PlatformMinion::Options options()
    {
        return { .born = formerBorn, .runTime = [](const std::string&) { return Milliseconds { 400 }; } };
    }

    // Reports until it is acknowledged.
    void report(const char* state)
    {
        deployment.minion.acknowledged = 0;
        deployment.minion.report(deployment.reportAddress, state);
        cr_assert(runUntil(deployment.loop, [this] { return deployment.minion.acknowledged == 1; }), "expected the report to be acknowledged");
    }

    RawConnection& beginJob()
    {
        RawConnection& client = deployment.send(deployment.front, "POST /a/third", testJob);
        cr_assert(runUntil(deployment.loop, [this] { return deployment.minion.running() == 3; }));
        return client;
    }

    // Returns the answer.
    std::string deregister(const std::string& body) { return deployment.sendAndWait(deployment.reportAddress, "POST /Instances.Deregister/i-1", body); }

    void expectUndisturbed(RawConnection& client, const std::string& news)
    {
        cr_assert(runUntil(deployment.loop, [&client] { return PlatformDeployment::isComplete(client.received()); }));
        cr_expect(deployment.minion.stopped.empty() && deployment.minion.started.size() == 3, "after %s: %zu stops and %zu starts of 3 tasks", news.c_str(),
            deployment.minion.stopped.size(), deployment.minion.started.size());
        cr_expect(client.received().find("\"completed\"") != std::string::npos, "after %s: %s", news.c_str(), client.received().c_str());
        // It is still in use, without another report.
        const Milliseconds sent = Clock::now();
        cr_expect(deployment.sendAndWait(deployment.front, "POST /a/fourth", testJob).find("\"completed\"") != std::string::npos, "after %s: not in use", news.c_str());
        cr_expect(Clock::now() - sent < Milliseconds { 2'000 }, "after %s", news.c_str());
    }
};

} // namespace

Test(LateNews, aLateDeregistrationOfAFormerIncarnationStopsNothing)
{
    const std::string named = fmt::format(R"({{"born":{}}})", formerBorn.count);
    for (const std::string& body : { named, std::string("{}"), std::string(), std::string(R"({"born":"1800"})"), std::string("odd") }) {
        RestartedMinionTest test(RestartedMinionTest::options());
        RawConnection& client = test.beginJob();
        cr_expect(test.deregister(body).find("200") == 9);
        test.expectUndisturbed(client, "deregistration '" + body + "'");
    }
}

Test(LateNews, aLateDrainOfAFormerIncarnationStopsNothing)
{
    RestartedMinionTest test(RestartedMinionTest::options());
    RawConnection& client = test.beginJob();
    const std::string body = fmt::format(
        R"({{"service":"s1","address":"{}","zone":"dc-a","state":"draining","capacity":{{"cpu":16000,"memMb":1000}},"labels":["a","r1"],"clockMs":5,"seq":900,"born":{}}})",
        test.deployment.minion.address(), formerBorn.count);
    cr_expect(test.deployment.sendAndWait(test.deployment.reportAddress, "POST /Instances.Heartbeat/i-1", body).find("503") == 9);
    test.expectUndisturbed(client, "a report that it drains");
}

Test(LateNews, aDeregistrationWithoutStartTimeIsHeededWhileTheMinionDrains)
{
    for (const char* body : { "{}", "" }) {
        RestartedMinionTest test(RestartedMinionTest::options());
        test.beginJob();
        test.report("draining");
        test.deregister(body);
        cr_expect(test.deployment.minion.running() == 0 && test.deployment.minion.stopped.size() >= 3, "%zu runs when '%s' was confirmed, %zu stops",
            test.deployment.minion.running(), body, test.deployment.minion.stopped.size());
    }
}

Test(LateNews, aMinionLeavesOnceTheRunThatBelongsToNoEntryHasEnded)
{
    bool areStopsLost = true;
    PlatformMinion::Options options = RestartedMinionTest::options();
    options.runTime = [](const std::string& spec) { return Milliseconds { spec == "stray" ? 20'000 : 300 }; };
    options.delayOf = [&areStopsLost](PlatformMinion::Call call) {
        return PlatformMinion::CallDelay { .carryOut = { areStopsLost && call == PlatformMinion::Call::Stop ? 60'000 : 0 } };
    };
    RestartedMinionTest test(std::move(options));
    PlatformMinion& minion = test.deployment.minion;
    RawConnection& client = test.beginJob();
    const std::string stray = fmt::format(
        R"({{"task":"stray.0.0.0","runId":1,"spec":"stray","deadlineMs":1000000000000,"fencingToken":{}}})", test.deployment.sidecar.fencingToken().value_or(0));
    HttpConnection connection(test.deployment.loop, minion.address());
    bool isStarted = false;
    connection.call({ .path = "/run-start", .body = stray, .timeout = { 2'000 }, .headers = { { .name = "Oleanderport-Expected-Instance", .value = "i-1" } } },
        [&isStarted](const Result<HttpAnswer>& answer) { isStarted = answer.has_value() && answer.assume_value().status == 200; });
    cr_assert(runUntil(test.deployment.loop, [&isStarted] { return isStarted; }));
    cr_assert(runUntil(test.deployment.loop, [&client] { return PlatformDeployment::isComplete(client.received()); }));
    cr_assert(minion.running() == 1);
    areStopsLost = false;
    std::optional<std::size_t> running;
    minion.deregister(test.deployment.reportAddress, [&] { running = minion.running(); });
    cr_assert(runUntil(test.deployment.loop, [&running] { return running.has_value(); }));
    cr_assert(*running == 0, "%zu runs when the deregistration was confirmed", *running);
}
