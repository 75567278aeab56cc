#include "base/Log.h"
#include "base/LogLines.h"
#include "support/FaultRelay.h"
#include "support/PlatformDeployment.h"

#include <fstream>

#include <fcntl.h>
#include <unistd.h>

using namespace oleanderport;
using namespace oleanderport::platform;

namespace {

// Redirects standard output, to which all processes log, to a file for the rest of the test.
class SavedLog {
public:
    SavedLog()
        : m_path(fmt::format("/tmp/explain-{}.log", getpid()))
    {
        const int file = open(m_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        dup2(file, STDOUT_FILENO);
        close(file);
        configureLog(LogLevel::Info, "test", "all");
    }
    ~SavedLog() { unlink(m_path.c_str()); }
    SavedLog(const SavedLog&) = delete;
    SavedLog& operator=(const SavedLog&) = delete;

    // The output of `oleanderport explain --request ID`, and of `--job NAME`.
    std::string explain(const std::string& request) const { return linesOf(request, ""); }
    std::string explainJob(const std::string& job) const { return linesOf("", job); }

private:
    std::string linesOf(const std::string& request, const std::string& job) const
    {
        std::vector<LogLine> lines;
        std::ifstream file(m_path);
        addLogLines(lines, file);
        std::string text;
        for (const auto& line : linesAbout(lines, request, job))
            text += line.text + "\n";
        return text;
    }

    std::string m_path;
};

void assertContainsInOrder(const std::string& text, const std::vector<std::string>& parts)
{
    std::size_t at = 0;
    for (const auto& part : parts) {
        at = text.find(part, at);
        cr_assert(at != std::string::npos, "expected \"%s\", in this order, in the log lines of the request:\n%s", part.c_str(), text.c_str());
    }
}

// Expects exactly one line about the answer to the request.
void assertOneAnswerLine(const std::string& text, const std::vector<std::string>& parts)
{
    cr_assert(countOf(text, "step=entry.job") == 1, "expected one line about the answer in the log lines of the request:\n%s", text.c_str());
    assertContainsInOrder(text, parts);
}

// A job with as many tasks as the minion has capacity for.
const char* const wideJob = R"({"spec":"text","bestEffort":true,"steps":[{"count":16,"cpu":1000,"memMb":1,"estimatedMs":400}]})";

} // namespace

Test(Explain, findsThatAJobWasRefusedForLackOfCapacity)
{
    const SavedLog saved;
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'500 }; } });
    deployment.becomeReady();
    deployment.requestId = "busy";
    deployment.send(deployment.front, "POST /a/one", wideJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 16; }));
    deployment.requestId = "refused";
    deployment.sendAndWait(deployment.front, "POST /a/two", wideJob);
    assertContainsInOrder(saved.explain("refused"), { "step=entry.job", "request=refused", "refused after", "0 runs", "done in time", "answered 503, retry after" });
}

Test(Explain, namesTheConfigurationThatDecidedARequest)
{
    const SavedLog saved;
    PlatformDeployment deployment;
    deployment.becomeReady();
    deployment.requestId = "served";
    deployment.sendAndWait(deployment.front, "POST /a/x", testJob);
    assertOneAnswerLine(saved.explain("served"), { "completed after", "configuration 7 confirmed ", " ms before", "answered 200" });
    deployment.requestId = "unknown";
    deployment.sendAndWait(deployment.front, "POST /b/y", testJob);
    assertOneAnswerLine(saved.explain("unknown"), { "no_queue", "configuration 7 confirmed ", " ms before", "answered 404" });
}

Test(Explain, findsTheRunsThatFailed)
{
    const SavedLog saved;
    PlatformDeployment deployment;
    deployment.becomeReady();
    deployment.minion.failing = true;
    deployment.requestId = "failed";
    deployment.sendAndWait(deployment.front, "POST /a/x", testJob);
    assertContainsInOrder(saved.explain("failed"),
        { "step=entry.run", "peer=" + deployment.sidecar.process().settings.streamAdvertise, "failed after", "step=entry.job",
            "a task failed as often as its queue allows" });
}

Test(Explain, findsTheMinionOnWhichRunsWereStuck)
{
    const SavedLog saved;
    bool hangs = false;
    PlatformDeployment deployment({ .runTime = [&hangs](const std::string&) { return Milliseconds { hangs ? 600'000 : 50 }; } });
    deployment.becomeReady();
    hangs = true;
    deployment.requestId = "late";
    deployment.sendAndWait(deployment.front, "POST /a/x", testJob);
    assertContainsInOrder(saved.explain("late"),
        { "step=entry.run", "peer=" + deployment.sidecar.process().settings.streamAdvertise, "stuck: ", "step=entry.job", "unfinished after",
            "the time of the job is over" });
}

Test(Explain, findsThatTheCallerDisconnected)
{
    const SavedLog saved;
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 400 }; } });
    deployment.becomeReady();
    deployment.requestId = "left";
    RawConnection& client = deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    client.close();
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 0; }));
    assertContainsInOrder(saved.explain("left"), { "step=entry.job", "request=left", "abandoned after", "the client disconnected" });
}

Test(Explain, findsThatRunsWereLostWithTheirMinion)
{
    const SavedLog saved;
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'200 }; } });
    deployment.becomeReady();
    deployment.requestId = "lost";
    deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    bool confirmed = false;
    deployment.minion.deregister(deployment.reportAddress, [&confirmed] { confirmed = true; });
    cr_assert(runUntil(deployment.loop, [&confirmed] { return confirmed; }));
    cr_assert(runUntil(deployment.loop, [&saved] { return saved.explain("lost").find("entry.job") != std::string::npos; }));
    assertContainsInOrder(saved.explain("lost"), { "step=entry.run", "stopped after", "step=entry.job", "unfinished after" });
}

Test(Explain, findsThatAnEntryWasStopping)
{
    const SavedLog saved;
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'200 }; } });
    deployment.becomeReady();
    deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    deployment.ingress.shutDown([] {});
    const Milliseconds drained = Clock::now() + Milliseconds { 250 };
    cr_assert(runUntil(deployment.loop, [drained] { return Clock::now() >= drained; }));
    deployment.requestId = "stopping";
    deployment.sendAndWait(deployment.front, "POST /a/y", testJob);
    assertOneAnswerLine(saved.explain("stopping"),
        { "step=entry.job", "peer=r1", "request=stopping", "job=y", "refused after", "stopping", "this entry is stopping",
            "answered 503, retry after 1000 ms" });
}

Test(Explain, findsThatAnEntryDidNotKnowTheQueuesYet)
{
    const SavedLog saved;
    PlatformDeployment deployment;
    deployment.requestId = "early";
    deployment.sendAndWait(deployment.front, "POST /a/x", testJob);
    assertOneAnswerLine(saved.explain("early"),
        { "step=entry.job", "request=early", "job=x", "refused after", "queues_unknown", "the queues are not known yet",
            "answered 503, retry after 1000 ms" });
}

Test(Explain, findsWhatWasWrongWithASubmission)
{
    const SavedLog saved;
    PlatformDeployment deployment;
    deployment.becomeReady();
    deployment.requestId = "unreadable";
    deployment.sendAndWait(deployment.front, "POST /a/a", "{");
    assertOneAnswerLine(saved.explain("unreadable"), { "peer=r1", "job=a", "unreadable", "answered 400" });
    deployment.requestId = "malformed";
    deployment.sendAndWait(deployment.front, "POST /a/b", R"({"bestEffort":true,"steps":[{"count":0}]})");
    assertOneAnswerLine(saved.explain("malformed"), { "peer=r1", "job=b", "unreadable", "expected 1 to 10000 tasks", "answered 400" });
    deployment.requestId = "unsupported";
    deployment.sendAndWait(deployment.front, "POST /a/c", R"({"steps":[{"count":1}]})");
    assertOneAnswerLine(saved.explain("unsupported"), { "peer=r1", "job=c", "job_unsupported", "have to be stored", "answered 503" });
    deployment.requestId = "elsewhere";
    deployment.sendAndWait(deployment.front, "POST /b/d", testJob);
    assertOneAnswerLine(saved.explain("elsewhere"), { "job=d", "no_queue", "no queue has host h.example and path /b/d", "answered 404" });
}

Test(Explain, findsThatARequestNamedAnUnknownJob)
{
    const SavedLog saved;
    PlatformDeployment deployment;
    deployment.becomeReady();
    for (const char* method : { "GET", "DELETE" }) {
        deployment.requestId = method;
        deployment.sendAndWait(deployment.front, fmt::format("{} /a/of-{}", method, method));
        assertOneAnswerLine(saved.explain(method), { "peer=r1", fmt::format("job=of-{}", method), "no_job", "answered 410" });
    }
    cr_assert(deployment.entry.process().metrics.counter("refusals_no_job_total") == 2);
}

Test(Explain, findsThatAnEntryEndedWithAJobInFlight)
{
    const SavedLog saved;
    {
        PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'200 }; } });
        deployment.becomeReady();
        deployment.requestId = "ended";
        deployment.send(deployment.front, "POST /a/x", testJob);
        cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    }
    assertOneAnswerLine(saved.explain("ended"), { "step=entry.job", "peer=r1", "request=ended", "job=x", "this entry has ended; not answered" });
}

Test(Explain, findsThatAnEntryEndedBeforeItKnewTheQueues)
{
    const SavedLog saved;
    {
        PlatformDeployment deployment;
        deployment.requestId = "early";
        deployment.send(deployment.front, "POST /a/x", testJob);
        deployment.runFor({ 200 });
    }
    assertOneAnswerLine(saved.explain("early"), { "step=entry.job", "request=early", "job=x", "this entry has ended; not answered" });
}

Test(Explain, findsTheStartsThatAMinionDidNotAnswer)
{
    const SavedLog saved;
    const auto portOf = [](const std::string& address) { return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))); };
    const std::string minionAddress = freeAddress();
    const std::string relayAddress = freeAddress();
    PlatformDeployment deployment({ .listen = minionAddress, .advertise = relayAddress, .runTime = [](const std::string&) { return Milliseconds { 400 }; } });
    FaultRelay relay(deployment.loop, portOf(relayAddress), portOf(minionAddress));
    cr_assert(relay.start().has_value());
    deployment.becomeReady();
    relay.setFault({ .dropAnswers = true });
    deployment.requestId = "unanswered";
    const RawConnection& client = deployment.send(deployment.front, "POST /a/x", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.started.size() == 3; }));
    deployment.runFor({ 100 });
    relay.setFault({});
    cr_assert(runUntil(deployment.loop, [&client] { return PlatformDeployment::isComplete(client.received()); }));
    const std::string explained = saved.explain("unanswered");
    assertContainsInOrder(explained, { "step=minion.start", "step=sidecar.start", "run 1 of step 0, whose start was not answered: started", "step=entry.job" });
    assertOneAnswerLine(explained, { "answered " });
}

Test(Explain, findsTheRunWhoseStopWasNotAnsweredAndThatShortenedTheLease)
{
    const SavedLog saved;
    bool stopsWait = false;
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'500 }; },
        .delayOf = [&stopsWait](PlatformMinion::Call call) { return PlatformMinion::CallDelay { .carryOut { stopsWait && call == PlatformMinion::Call::Stop ? 600 : 0 } }; } });
    deployment.becomeReady();
    deployment.requestId = "beside";
    const RawConnection& beside = deployment.send(deployment.front, "POST /a/y", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    deployment.requestId = "left";
    RawConnection& client = deployment.send(deployment.front, "POST /a/x", R"({"spec":"text","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":1,"estimatedMs":400}]})");
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 4; }));
    stopsWait = true;
    client.close();
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    stopsWait = false;
    cr_assert(runUntil(deployment.loop, [&beside] { return PlatformDeployment::isComplete(beside.received()); }));
    const std::string explained = saved.explainJob("x");
    assertContainsInOrder(explained,
        { "step=entry.job", "abandoned after", "step=sidecar.lease job=x task=0 message=\"lease shortened by", "by run 1 of step 0 of entry ", ": entry_asked\"",
            "step=sidecar.stop job=x task=0 message=\"run 1 of step 0 of entry ", " concluded: listed_end; stopped ", ": entry_asked, stop ", "latest lease ends in " });
    cr_assert(saved.explain("left") == explained);
    cr_assert(saved.explainJob("y").find("step=sidecar.") == std::string::npos, "expected no line about the job whose runs ended as usual:\n%s", saved.explainJob("y").c_str());
    const auto& metrics = deployment.sidecar.process().metrics;
    cr_assert(metrics.counter("leases_shortened_total") > 0);
    cr_assert(metrics.counter("runs_without_entry_total") == 0);
}

Test(Explain, findsTheRunThatBelongsToNoEntry)
{
    const SavedLog saved;
    bool stopsWait = false;
    PlatformDeployment deployment({ .runTime = [](const std::string&) { return Milliseconds { 1'500 }; },
        .delayOf = [&stopsWait](PlatformMinion::Call call) { return PlatformMinion::CallDelay { .carryOut { stopsWait && call == PlatformMinion::Call::Stop ? 300 : 0 } }; } });
    deployment.becomeReady();
    deployment.requestId = "beside";
    const RawConnection& beside = deployment.send(deployment.front, "POST /a/y", testJob);
    cr_assert(runUntil(deployment.loop, [&deployment] { return deployment.minion.running() == 3; }));
    stopsWait = true;
    // A start request that is not of this sidecar's table.
    HttpConnection other(deployment.loop, deployment.minion.address());
    other.call({ .path = "/run-start",
                   .body = fmt::format(R"({{"task":"x.0.0.0","runId":4,"spec":"text","deadlineMs":1000000000000,"fencingToken":{}}})",
                       deployment.sidecar.fencingToken().value()),
                   .timeout = { 1'000 },
                   .headers = { { .name = "Oleanderport-Expected-Instance", .value = "i-1" } } },
        [](const Result<HttpAnswer>&) {});
    cr_assert(runUntil(deployment.loop, [&beside] { return PlatformDeployment::isComplete(beside.received()); }));
    assertContainsInOrder(saved.explainJob("x"),
        { "step=sidecar.orphan job=x task=0 message=\"minion lists a run without entry: run 4 of step 0, not among the latest runs concluded here\"",
            "step=sidecar.orphan job=x task=0 message=\"run 4 of step 0 without entry gone after ", " ms, stop " });
    const auto& metrics = deployment.sidecar.process().metrics;
    cr_assert(metrics.counter("runs_without_entry_total") == 1);
    cr_assert(metrics.counter("leases_granted_beside_runs_without_entry_total") == 0);
}
