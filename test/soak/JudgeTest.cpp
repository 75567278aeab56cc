#include "Judge.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

using namespace oleanderport;
using namespace oleanderport::soak;

namespace {

constexpr const char* completed = R"({"state":"completed"})";
constexpr const char* configOne = R"({"version":1})";
constexpr const char* configTwo = R"({"version":2})";

// A run without a violation: one job was served, and one configuration was acknowledged and read. Job "a" has one task,
// which ran from 1,000 to 1,100 ms.
struct GoodRun {
    Record record;

    GoodRun()
    {
        addJob("a", { 990 }, { 1'110 }, 200, completed);
        addRun("a.0.0.0", "minion-1", { 1'000 }, { 1'100 }, "done");
        record.operatorRequests.push_back({ .kind = OperatorRequest::Kind::Config, .version = 1, .body = configOne, .sent = { 100 }, .acknowledged = Milliseconds { 200 } });
        record.reads.push_back({ .instance = "control-1", .sent = { 60'000 }, .status = 200, .body = configOne });
        // A job that is served after the recovery time.
        addJob("z", { 70'000 }, { 70'100 }, 200, completed);
        addRun("z.0.0.0", "minion-1", { 70'010 }, { 70'090 }, "done");
        record.lastFaultEnd = { 50'000 };
        record.finished = { 80'000 };
    }

    JobRecord& addJob(const std::string& id, Milliseconds sent, Milliseconds ended, int status, const std::string& body)
    {
        return record.jobs.emplace_back(JobRecord { .id = id,
            .queue = steadyQueue,
            .spec = "run=100",
            .tasks = 1,
            .attempts = { { .entry = "entry-1", .sent = sent, .ended = ended, .status = status, .body = body } } });
    }

    void addRun(const std::string& task, const std::string& minion, Milliseconds start, Milliseconds end, const std::string& how)
    {
        record.runs.push_back({ .task = task, .minion = minion, .zone = "dc-1", .number = 1, .spec = "run=100", .start = start, .end = end, .how = how });
    }

    void addFault(const std::string& process, Milliseconds from, Milliseconds until, bool planned = false)
    {
        record.faults.push_back({ .process = process, .kind = planned ? "stop" : "kill", .from = from, .until = until, .planned = planned });
        if (planned)
            record.faults.back().exited = until;
    }

    void assertBroken(const std::string& guarantee) const
    {
        const auto violations = judge(record, {});
        cr_assert(violations.size() == 1 && violations.front().guarantee == guarantee, "expected a violation of %s only, got %s", guarantee.c_str(), text().c_str());
    }

    void assertKept() const { cr_assert(judge(record, {}).empty(), "expected no violation, got %s", text().c_str()); }

    std::string text() const
    {
        std::vector<std::string> lines;
        for (const auto& violation : judge(record, {}))
            lines.push_back(violation.guarantee + ": " + violation.detail);
        return fmt::format("[{}]", fmt::join(lines, "; "));
    }
};

} // namespace

Test(SoakJudge, findsNothingInAGoodRun) { GoodRun().assertKept(); }

Test(SoakJudge, detectsTwoRunsOfATaskAtTheSameTime)
{
    GoodRun run;
    run.addRun("a.0.0.0", "minion-2", { 1'099 }, { 1'105 }, "stopped");
    run.assertBroken("one-run");
}

Test(SoakJudge, tellsARunThatWasOrderedBeforeItsMinionStartedAgain)
{
    GoodRun run;
    run.addRun("a.0.0.0", "minion-2", { 1'099 }, { 1'105 }, "stopped");
    run.record.runs.back().isOfFormer = true;
    run.assertBroken("one-run");
    const auto violations = judge(run.record, {});
    cr_assert(violations.front().detail.find("ordered before its minion started again") != std::string::npos, "got %s", violations.front().detail.c_str());
}

Test(SoakJudge, allowsARunAfterThePreviousOneEnded)
{
    GoodRun run;
    run.addRun("a.0.0.0", "minion-2", { 900'000 }, { 900'001 }, "stopped");
    run.addRun("a.0.0.0", "minion-2", { 995 }, { 1'000 }, "stopped");
    run.assertKept();
}

Test(SoakJudge, detectsRunsWithoutARequest)
{
    GoodRun run;
    run.addRun("b.0.0.0", "minion-1", { 1'000 }, { 1'100 }, "done");
    run.assertBroken("asked-for");
}

Test(SoakJudge, detectsAWrongSpecAndAnExtraTask)
{
    GoodRun other;
    other.record.runs.front().spec = "run=999";
    other.assertBroken("asked-for");
    GoodRun tooMany;
    tooMany.addRun("a.0.0.1", "minion-1", { 1'000 }, { 1'100 }, "done");
    tooMany.assertBroken("asked-for");
}

Test(SoakJudge, detectsAStartAtAMinionOfAnotherService)
{
    GoodRun run;
    run.record.runs.front().service = otherService;
    run.assertBroken("service");
}

Test(SoakJudge, detectsAStartAtAMinionThatDrains)
{
    for (const bool isInTime : { true, false }) {
        GoodRun run;
        RunRecord& start = run.record.runs.front();
        start.ordered = start.start;
        start.draining = start.start - Milliseconds { isInTime ? 1'000 : 1'001 };
        if (isInTime)
            run.assertKept();
        else
            run.assertBroken("draining");
    }
}

Test(SoakJudge, detectsARefusedJobThatRan)
{
    GoodRun run;
    run.addJob("r", { 2'000 }, { 2'010 }, 503, "{}");
    run.assertKept();
    run.addRun("r.0.0.0", "minion-1", { 2'005 }, { 2'100 }, "stopped");
    run.assertBroken("true-refusal");
}

Test(SoakJudge, allowsARunOfAJobWithOneAttemptThatWasNotRefused)
{
    GoodRun run;
    JobRecord& job = run.addJob("r", { 2'000 }, { 3'500 }, 0, "");
    job.attempts.front().timedOut = true;
    job.attempts.push_back({ .entry = "entry-2", .sent = { 4'800 }, .ended = Milliseconds { 4'801 }, .status = 503 });
    run.addRun("r.0.0.0", "minion-1", { 2'005 }, { 2'100 }, "stopped");
    run.assertKept();
}

Test(SoakJudge, detectsAnAnswerBeforeEveryTaskIsDone)
{
    GoodRun run;
    run.record.runs.front().end = { 1'111 };
    run.assertBroken("whole-answer");
}

Test(SoakJudge, detectsAnAnswerThatIsNotWhole)
{
    GoodRun run;
    run.addJob("p", { 2'000 }, { 2'100 }, 200, R"({"state":"comp)");
    run.assertBroken("whole-answer");
}

Test(SoakJudge, detectsAJobReportedAsFailedThatDidNotFail)
{
    GoodRun run;
    run.record.jobs.front().attempts.front().body = R"({"state":"failed"})";
    run.assertBroken("whole-answer");
}

Test(SoakJudge, detectsARequestLostByAPlannedStop)
{
    GoodRun run;
    run.addFault("entry-1", { 20'000 }, { 22'000 }, true);
    run.addJob("l", { 20'500 }, { 20'900 }, 0, "");
    run.assertBroken("planned-stop");
}

Test(SoakJudge, allowsALostRequestDuringOtherFaultsAndAnUnreadOne)
{
    GoodRun beside;
    beside.addFault("entry-1", { 20'000 }, { 22'000 }, true);
    beside.addFault("sidecar-1", { 18'000 }, { 19'000 });
    beside.addJob("l", { 20'500 }, { 20'900 }, 0, "");
    beside.assertKept();
    GoodRun unread;
    unread.addFault("entry-1", { 20'000 }, { 22'000 }, true);
    unread.addJob("l", { 21'990 }, { 22'000 }, 0, "");
    unread.assertKept();
}

Test(SoakJudge, detectsAReadOfAConfigurationOlderThanAcknowledged)
{
    GoodRun run;
    run.record.operatorRequests.push_back({ .kind = OperatorRequest::Kind::Config, .version = 2, .body = configTwo, .sent = { 300 }, .acknowledged = Milliseconds { 400 } });
    run.record.reads.push_back({ .instance = "control-2", .sent = { 61'000 }, .status = 200, .body = configTwo });
    run.assertBroken("configuration");
}

Test(SoakJudge, detectsAConfigurationThatIsNotAsItWasSent)
{
    GoodRun run;
    run.record.reads.push_back({ .instance = "control-2", .sent = { 61'000 }, .status = 200, .body = R"({"version":1,"more":0})" });
    run.assertBroken("configuration");
}

Test(SoakJudge, detectsAConfigurationThatCannotBeReadAtTheEnd)
{
    GoodRun run;
    run.record.reads.front().status = 503;
    run.assertBroken("configuration");
}

Test(SoakJudge, detectsAnInvalidConfigurationAcknowledgedAndAValidOneRefused)
{
    GoodRun bad;
    bad.record.operatorRequests.push_back({ .kind = OperatorRequest::Kind::InvalidConfig, .body = "{", .sent = { 300 }, .acknowledged = Milliseconds { 400 } });
    bad.assertBroken("configuration");
    GoodRun refused;
    refused.record.operatorRequests.push_back({ .kind = OperatorRequest::Kind::Config, .version = 2, .body = configTwo, .sent = { 300 }, .refused = 400 });
    refused.assertBroken("configuration");
}

Test(SoakJudge, detectsAQueueThatIsUnknownAfterItsConfigurationWasAcknowledged)
{
    GoodRun run;
    run.addJob("q", { 5'000 }, { 5'001 }, 404, "{}");
    run.assertBroken("configuration");
}

Test(SoakJudge, detectsAQueueServedAfterItsRemoval)
{
    GoodRun run;
    run.addJob("q", { 5'000 }, { 5'100 }, 503, "{}").queue = optionalQueue;
    run.assertBroken("configuration");
    run.record.operatorRequests.front().acknowledged = Milliseconds { 4'000 };
    run.assertKept();
}

Test(SoakJudge, detectsAStartInAnEvacuatedDataCentre)
{
    GoodRun run;
    run.record.operatorRequests.push_back({ .kind = OperatorRequest::Kind::EvacuationStart, .zone = "dc-1", .sent = { 60'000 }, .acknowledged = Milliseconds { 60'100 } });
    run.assertBroken("data-centre-out");
    run.record.operatorRequests.push_back({ .kind = OperatorRequest::Kind::EvacuationFinish, .zone = "dc-1", .sent = { 65'000 }, .acknowledged = Milliseconds { 65'100 } });
    run.assertKept();
}

Test(SoakJudge, detectsServiceThatDoesNotRecover)
{
    GoodRun run;
    for (int i = 0; i < 4; ++i)
        run.addJob(fmt::format("n{}", i), { 71'000 }, { 71'001 }, 503, "{}");
    run.assertBroken("recovery");
}

Test(SoakJudge, countsAJobAsServedWhenOneOfTwoRequestsAtOnceWas)
{
    GoodRun run;
    JobRecord& job = run.record.jobs.back();
    job.attempts.push_back({ .entry = "entry-2", .sent = job.attempts.front().sent, .ended = Milliseconds { 70'050 }, .status = 503 });
    run.assertKept();
}

Test(SoakJudge, detectsAnUnexpectedExit)
{
    GoodRun run;
    run.record.unexpectedExits.push_back("entry-1 ended with -11");
    run.assertBroken("ends");
}
