#include "support/FaultRelay.h"
#include "support/PlatformDeployment.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <thread>

using namespace oleanderport;
using namespace oleanderport::platform;

namespace {

// A stop request whose answer is late is resent, so a task may be stopped more than once.
void assertEachStoppedAtLeastOnce(const PlatformMinion& minion, std::size_t tasks)
{
    const std::set<std::string> stopped(minion.stopped.begin(), minion.stopped.end());
    const std::set<std::string> started(minion.started.begin(), minion.started.end());
    cr_assert(stopped.size() == tasks && stopped == started, "expected all %zu started tasks to be stopped and no other, got %zu of %zu", tasks,
        stopped.size(), started.size());
}

bool hasStatus(const std::string& answer, int status) { return answer.rfind(fmt::format("HTTP/1.1 {} ", status), 0) == 0; }

} // namespace

Test(PlatformPath, servesAJobFromEndToEnd)
{
    PlatformDeployment deployment;
    deployment.becomeReady();
    const std::string answer = deployment.sendAndWait(deployment.front, "POST /a/5c0e7a21d94b36f8", testJob);
    cr_assert(hasStatus(answer, 200) && answer.find(R"({"state":"completed"})") != std::string::npos, "got %s", answer.c_str());
    const std::set<std::string> started(deployment.minion.started.begin(), deployment.minion.started.end());
    cr_assert(deployment.minion.started.size() == 3 && started.contains("5c0e7a21d94b36f8.0.0.2"), "expected three tasks, got %zu",
        deployment.minion.started.size());
    cr_assert(hasStatus(deployment.sendAndWait(deployment.ready, "GET /readyz"), 200));
    cr_assert(deployment.sendAndWait(deployment.front, "GET /a/").find("{\"pending\":0}") != std::string::npos);
    cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "GET /b/"), 404));
    cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "GET /a/unknown"), 410));
}

Test(PlatformPath, failsAJobWhoseTasksFailAsOftenAsAllowed)
{
    PlatformDeployment deployment;
    deployment.becomeReady();
    deployment.minion.failing = true;
    const std::string answer = deployment.sendAndWait(deployment.front, "POST /a/x", testJob);
    cr_assert(answer.find(R"({"state":"failed"})") != std::string::npos, "got %s", answer.c_str());
}

// A minion lists 500 ends at once; of the others a list tells nothing, neither that they run nor that they ended.
Test(PlatformPath, startsNoTaskAgainWhoseEndIsBeyondTheMinionsLongestList)
{
    constexpr std::size_t jobs = 6;
    constexpr std::size_t tasksPerJob = 90;
    constexpr std::size_t endsPerList = 500;
    bool isSlow = false;
    PlatformDeployment deployment({ .runTime = [&isSlow](const std::string&) { return isSlow ? testPatience : Milliseconds { 50 }; } });
    deployment.becomeReady();
    isSlow = true;
    deployment.minion.started.clear();
    for (std::size_t job = 1; job <= jobs; ++job) {
        deployment.send(deployment.front, fmt::format("POST /a/wide-{}", job),
            fmt::format(R"({{"spec":"text","bestEffort":true,"steps":[{{"count":{},"cpu":10,"memMb":1,"estimatedMs":3000}}]}})", tasksPerJob));
        cr_assert(runUntil(deployment.loop, [&] { return deployment.minion.running() == job * tasksPerJob; }), "%zu run", deployment.minion.running());
    }
    deployment.minion.endAll("done");
    for (std::size_t job = 1; job <= jobs; ++job) {
        const RawConnection& client = *deployment.clients[deployment.clients.size() - job];
        cr_assert(runUntil(deployment.loop, [&client] { return PlatformDeployment::isComplete(client.received()); }));
        cr_assert(client.received().find(R"({"state":"completed"})") != std::string::npos, "got %s", client.received().c_str());
    }
    cr_assert(deployment.minion.started.size() == jobs * tasksPerJob, "expected each task to start once, got %zu starts", deployment.minion.started.size());
    cr_assert(deployment.minion.mostEndsUnseen > endsPerList, "got %zu ends at once", deployment.minion.mostEndsUnseen);
}

Test(PlatformPath, stopsTheTasksOfAClientThatDisconnects)
{
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 400 }; } });
    deployment.becomeReady();
    RawConnection& client = deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    client.close();
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 0; }));
    assertEachStoppedAtLeastOnce(deployment.minion, 3);
}

// Every second call is executed only after the adapter's timeout, and its answer is lost.
Test(PlatformPath, startsATaskOnceWhenStartRequestsAreNotAnswered)
{
    int calls = 0;
    bool isLosing = false;
    PlatformDeployment deployment({ .delayOf = [&calls, &isLosing](PlatformMinion::Call) {
        return PlatformMinion::CallDelay { .carryOut = { isLosing && calls++ % 2 == 0 ? 300 : 0 } };
    } });
    deployment.becomeReady();
    isLosing = true;
    const std::string answer
        = deployment.sendAndWait(deployment.front, "POST /a/x", R"({"spec":"text","bestEffort":true,"steps":[{"count":20,"cpu":100,"memMb":1,"estimatedMs":400}]})");
    cr_assert(hasStatus(answer, 200), "got %s", answer.c_str());
    deployment.runFor({ 400 });
    const std::set<std::string> tasks(deployment.minion.started.begin(), deployment.minion.started.end());
    cr_assert(tasks.size() == 20 && deployment.minion.started.size() == 20, "expected 20 tasks to start once each, %zu tasks made %zu starts",
        tasks.size(), deployment.minion.started.size());
}

// Whether a queued start request is still permitted must be checked when it is sent. Otherwise tasks start after their caller
// has disconnected.
Test(PlatformPath, sendsNoQueuedStartOnceItsCallerHasDisconnected)
{
    bool isSilent = false;
    PlatformDeployment deployment({ .runTime = [](const std::string& spec) { return Milliseconds { spec == "long" ? 3'000 : 20 }; },
        .delayOf = [&isSilent](PlatformMinion::Call call) { return PlatformMinion::CallDelay { .answer = { isSilent && call == PlatformMinion::Call::Start ? 5'000 : 0 } }; } });
    deployment.becomeReady();
    isSilent = true;
    RawConnection& client = deployment.send(deployment.front, "POST /a/x",
        R"({"spec":"long","bestEffort":true,"steps":[{"count":100,"cpu":100,"memMb":1,"estimatedMs":3000}]})");
    cr_assert(runUntil(deployment.loop, [&deployment] { return !deployment.minion.started.empty(); }));
    client.close();
    cr_assert(runUntil(deployment.loop, [&deployment] { return !deployment.minion.stopped.empty(); }));
    const std::size_t started = deployment.minion.started.size();
    cr_assert(started < 100, "expected some start requests to be queued, but all were sent");
    deployment.runFor({ 300 });
    cr_assert(deployment.minion.started.size() == started, "expected no start after the first stop request, got %zu",
        deployment.minion.started.size() - started);
}

// The whole deployment is paused while the answers to its stop requests arrive, so that these time out.
Test(PlatformPath, resendsStopsThatWereNotConfirmed)
{
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'000 }; } });
    deployment.becomeReady();
    RawConnection& client = deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    client.close();
    cr_assert(runUntil(deployment.loop, [&deployment] { return !deployment.minion.stopped.empty(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 0 && deployment.minion.stopped.size() > 3; }));
    assertEachStoppedAtLeastOnce(deployment.minion, 3);
}

Test(PlatformPath, refusesWhatItDoesNotSupportAndInvalidQueues)
{
    PlatformDeployment deployment;
    deployment.becomeReady();
    cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "POST /a/x", R"({"spec":"","steps":[{"count":1,"cpu":1}]})"), 503));
    cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "POST /a/x", "{"), 400));
    cr_assert(hasStatus(deployment.sendAndWait(deployment.control, "POST /Config.Put", "{\"version\":9"), 400));
    // An older version is acknowledged and changes nothing.
    std::string older = testConfig;
    older.replace(older.find("\"version\":7"), 11, "\"version\":3");
    cr_assert(hasStatus(deployment.sendAndWait(deployment.control, "POST /Config.Put", older), 200));
    const std::string read = deployment.sendAndWait(deployment.control, "GET /Config.Get");
    cr_assert(hasStatus(read, 200) && read.find(testConfig) != std::string::npos, "got %s", read.c_str());
    cr_assert(deployment.minion.started.empty());
}

Test(PlatformPath, startsNothingInAZoneThatIsTakenOut)
{
    PlatformDeployment deployment;
    deployment.becomeReady();
    cr_assert(hasStatus(deployment.sendAndWait(deployment.control, "POST /Evacuations.Start/dc-a"), 200));
    cr_assert(runUntil(deployment.loop, [&deployment] { return !deployment.entry.view().dataCentresOut.empty(); }));
    cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "POST /a/x", testJob), 503));
    cr_assert(deployment.minion.started.empty());
    cr_assert(hasStatus(deployment.sendAndWait(deployment.control, "POST /Evacuations.Finish/dc-a"), 200));
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.entry.view().dataCentresOut.empty(); }));
    cr_assert(runUntil(deployment.loop, [&deployment] {
        return deployment.sendAndWait(deployment.front, "POST /a/y", testJob).find("\"completed\"") != std::string::npos;
    }));
    cr_assert(!hasStatus(deployment.sendAndWait(deployment.control, "POST /Evacuations.Start/dc-z"), 200));
}

Test(PlatformPath, sendsNothingToAMinionThatDrains)
{
    PlatformDeployment deployment;
    deployment.becomeReady();
    deployment.minion.report(deployment.reportAddress, "draining");
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.acknowledged == 2; }));
    cr_assert(!hasStatus(deployment.sendAndWait(deployment.front, "POST /a/x", testJob), 200));
    cr_assert(deployment.minion.started.empty());
}

Test(PlatformPath, finishesWhatIsInFlightWhenAnEntryStops)
{
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 400 }; } });
    deployment.becomeReady();
    const RawConnection& client = deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    bool stopped = false;
    deployment.ingress.shutDown([&stopped] { stopped = true; });
    cr_assert(hasStatus(deployment.sendAndWait(deployment.ready, "GET /readyz"), 503));
    cr_assert(runUntil(deployment.loop, [&stopped] { return stopped; }));
    cr_assert(client.received().find(R"({"state":"completed"})") != std::string::npos, "got %s", client.received().c_str());
}

// An entry that stopped closed the connections of the jobs that it still held at the end of its grace, also of those that had never
// started (review case 4, soak 321).
Test(PlatformPath, answersEveryJobBeforeTheEndOfItsShutdownGrace)
{
    bool isLong = false;
    PlatformDeployment deployment({ .runTime = [&isLong](const std::string&) { return Milliseconds { isLong ? 3'000 : 50 }; } });
    deployment.becomeReady();
    isLong = true;
    const std::string wholeMinion = R"({"spec":"text","bestEffort":true,"steps":[{"count":1,"cpu":16000,"memMb":1,"estimatedMs":1500}]})";
    constexpr int jobs = 3;
    std::vector<const RawConnection*> clients;
    clients.reserve(jobs);
    for (int i = 0; i < jobs; ++i)
        clients.push_back(&deployment.send(deployment.front, fmt::format("POST /a/job-{}", i), wholeMinion));
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 1; }));
    deployment.entry.process().settings.shutdownGrace = { 1'000 };
    bool stopped = false;
    deployment.ingress.shutDown([&stopped] { stopped = true; });
    cr_assert(runUntil(deployment.loop, [&stopped] { return stopped; }));
    int refused = 0;
    for (const RawConnection* client : clients) {
        cr_assert(PlatformDeployment::isComplete(client->received()), "expected an answer to each job");
        refused += hasStatus(client->received(), 503) ? 1 : 0;
        cr_assert(hasStatus(client->received(), 503) || hasStatus(client->received(), 504), "got %s", client->received().c_str());
    }
    cr_assert(refused == 2, "expected the two jobs that did not start to be refused, got %d", refused);
}

Test(PlatformPath, acceptsNoNewJobAfterTheShutdownGrace)
{
    bool hangs = false;
    PlatformDeployment deployment({ .runTime = [&hangs](const std::string&) { return Milliseconds { hangs ? 600'000 : 50 }; } });
    deployment.becomeReady();
    hangs = true;
    deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    RawConnection& open = deployment.connect(deployment.front);
    deployment.entry.process().settings.shutdownGrace = { 300 };
    deployment.ingress.shutDown([] {});
    deployment.runFor({ 400 });
    const std::string ready = deployment.sendAndWait(deployment.ready, "GET /readyz");
    cr_assert(hasStatus(ready, 503), "expected a stopping entry not to be ready, got %s", ready.c_str());
    open.send(deployment.requestText("POST /a/y", testJob));
    cr_assert(runUntil(deployment.loop, [&open] { return PlatformDeployment::isComplete(open.received()); }));
    cr_assert(hasStatus(open.received(), 503), "expected a stopping entry to refuse, got %s", open.received().c_str());
    // A stuck run of the accepted job may be retried, so its tasks may have started more than once.
    const std::set<std::string> started(deployment.minion.started.begin(), deployment.minion.started.end());
    cr_assert(started.size() == 3, "expected starts of the three tasks of the accepted job alone, got %zu tasks", started.size());
    cr_assert(std::all_of(started.begin(), started.end(), [](const std::string& task) { return task.rfind("x.", 0) == 0; }));
}

// An entry that stops may wait for a long job for seconds, and the platform goes on using it when too few others of its zone are ready.
Test(PlatformPath, aStoppingEntryServesWhatCanEndWithinItsGraceAndRefusesTheRest)
{
    bool isLong = true;
    PlatformDeployment deployment({ .runTime = [&isLong](const std::string&) { return Milliseconds { isLong ? 1'500 : 50 }; } });
    deployment.becomeReady();
    deployment.entry.process().settings.acceptWhileStopping = deployment.entry.process().settings.shutdownGrace;
    const RawConnection& client = deployment.send(deployment.front, "POST /a/long", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    bool stopped = false;
    deployment.ingress.shutDown([&stopped] { stopped = true; });
    // Past the time in which a load balancer notices.
    deployment.runFor({ 400 });
    isLong = false;
    const std::string served = deployment.sendAndWait(deployment.front, "POST /a/short", testJob);
    cr_assert(hasStatus(served, 200), "expected a short job to be served, got %s", served.c_str());
    const std::string refused
        = deployment.sendAndWait(deployment.front, "POST /a/endless", R"({"spec":"text","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":1,"estimatedMs":60000}]})");
    cr_assert(hasStatus(refused, 503), "expected a job that can't end within the grace to be refused, got %s", refused.c_str());
    cr_assert(!stopped && !PlatformDeployment::isComplete(client.received()), "the refusal waited for the end of the grace");
    cr_assert(runUntil(deployment.loop, [&stopped] { return stopped; }));
    cr_assert(client.received().find(R"({"state":"completed"})") != std::string::npos, "got %s", client.received().c_str());
    for (const auto& task : deployment.minion.started)
        cr_assert(task.rfind("endless", 0) != 0, "a task of a refused job started");
}

Test(PlatformPath, acceptsResubmissionsOfInFlightJobsWhileStopping)
{
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 700 }; } });
    deployment.becomeReady();
    deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    deployment.ingress.shutDown([] {});
    deployment.runFor({ 250 });
    const std::string again = deployment.sendAndWait(deployment.front, "POST /a/x", testJob);
    cr_assert(hasStatus(again, 200), "expected the outcome of the job in flight, got %s", again.c_str());
    const std::string other = deployment.sendAndWait(deployment.front, "POST /a/y", testJob);
    cr_assert(hasStatus(other, 503), "expected another job to be refused, got %s", other.c_str());
}

Test(PlatformPath, doesNotRefuseAJobThatAnEarlierSubmissionStarted)
{
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'500 }; } });
    deployment.becomeReady();
    RawConnection& client = deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    cr_assert(hasStatus(deployment.sendAndWait(deployment.control, "POST /Evacuations.Start/dc-a"), 200));
    cr_assert(runUntil(deployment.loop, [&deployment] { return !deployment.entry.view().dataCentresOut.empty(); }));
    client.close();
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 0; }));
    const std::string again = deployment.sendAndWait(deployment.front, "POST /a/x", testJob);
    cr_assert(hasStatus(again, 504), "expected no refusal of a job that has started, got %s", again.c_str());
    const std::string other = deployment.sendAndWait(deployment.front, "POST /a/y", testJob);
    cr_assert(hasStatus(other, 503), "expected another job to be refused, got %s", other.c_str());
}

Test(PlatformPath, refusesAJobThatItRefusedBefore)
{
    PlatformDeployment deployment;
    deployment.becomeReady();
    cr_assert(hasStatus(deployment.sendAndWait(deployment.control, "POST /Evacuations.Start/dc-a"), 200));
    cr_assert(runUntil(deployment.loop, [&deployment] { return !deployment.entry.view().dataCentresOut.empty(); }));
    for (int i = 0; i < 2; ++i)
        cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "POST /a/x", testJob), 503));
}

Test(PlatformPath, reportsAnInFlightJobAsRunning)
{
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 700 }; } });
    deployment.becomeReady();
    const RawConnection& client = deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    const std::string state = deployment.sendAndWait(deployment.front, "GET /a/x");
    cr_assert(hasStatus(state, 200) && state.find(R"({"state":"running"})") != std::string::npos, "got %s", state.c_str());
    cr_assert(runUntil(deployment.loop, [&client] { return PlatformDeployment::isComplete(client.received()); }));
    cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "GET /a/x"), 410));
}

Test(PlatformPath, refusesNewJobsOnceItsConfigurationIsUnconfirmedForTheLease)
{
    const auto portOf = [](const std::string& address) { return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))); };
    const std::string relayAddress = freeAddress();
    PlatformDeployment deployment({}, relayAddress);
    FaultRelay relay(deployment.loop, portOf(relayAddress), portOf(deployment.control));
    cr_assert(relay.start().has_value());
    deployment.becomeReady();
    const Milliseconds lease = deployment.entry.process().settings.lease;
    // The lease that control granted counts.
    deployment.entry.process().settings.lease = { 100 };
    relay.setFault({ .dropRequests = true });
    deployment.runFor(lease - Milliseconds { 1'000 });
    cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "POST /a/before", testJob), 200));
    deployment.runFor({ 1'500 });
    deployment.minion.started.clear();
    const Milliseconds sent = Clock::now();
    const std::string answer = deployment.sendAndWait(deployment.front, "POST /a/after", testJob);
    cr_assert(hasStatus(answer, 503) && answer.find("Retry-After:") != std::string::npos, "%s", answer.c_str());
    cr_assert(Clock::now() - sent < Milliseconds { 500 }, "expected the refusal at once");
    cr_assert(deployment.minion.started.empty());
    cr_assert(hasStatus(deployment.sendAndWait(deployment.ready, "GET /readyz"), 503));
    relay.setFault({});
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.entry.session().contactAge() < Milliseconds { 200 }; }));
    cr_assert(hasStatus(deployment.sendAndWait(deployment.front, "POST /a/again", testJob), 200));
}

Test(PlatformPath, answersADeferredRequestWithinItsDeadline)
{
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 600'000 }; } });
    deployment.minion.report(deployment.reportAddress);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.acknowledged == 1; }));
    const Milliseconds sent = Clock::now();
    const RawConnection& client = deployment.send(deployment.front, "POST /a/x", testJob);
    deployment.runFor({ 800 });
    cr_assert(deployment.sendAndWait(deployment.control, "POST /Config.Put", testConfig).find("200") == 9);
    cr_assert(runUntil(deployment.loop, [&client] { return PlatformDeployment::isComplete(client.received()); }));
    const Milliseconds took = Clock::now() - sent;
    cr_assert(took < Milliseconds { 4'400 }, "expected an answer by the 4000 ms that the caller waits, got it after %lld ms: %s",
        static_cast<long long>(took.count), client.received().c_str());
}

// Once its deregistration is confirmed, a minion exits at a time of its choice, while its runs may be started elsewhere. A run
// that was still in progress would run twice.
Test(PlatformPath, confirmsDeregistrationOnceNothingRuns)
{
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'200 }; } });
    deployment.becomeReady();
    deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    bool confirmed = false;
    std::size_t running = 0;
    deployment.minion.deregister(deployment.reportAddress, [&] {
        confirmed = true;
        running = deployment.minion.running();
    });
    cr_assert(runUntil(deployment.loop, [&confirmed] { return confirmed; }));
    cr_assert(running == 0, "expected no run when the deregistration is confirmed, got %zu", running);
    assertEachStoppedAtLeastOnce(deployment.minion, 3);
}
