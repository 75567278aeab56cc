#include "MinionAdapter.h"

#include "wire/MessageCodec.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;
using namespace oleanderport::platform;

namespace {

const char* const wholeReport
    = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"clockMs":482113,"seq":4,"born":1700,"machineId":"m"})";

std::optional<MinionReport> readReport(const std::string& text)
{
    std::int64_t clock = 0;
    return readMinionReport("i-1", parseJson(text).assume_value(), clock);
}

std::string without(const std::string& field)
{
    Json::Value body = parseJson(wholeReport).assume_value();
    body.removeMember(field);
    return writeJson(body);
}

std::string with(const std::string& field, const Json::Value& value)
{
    Json::Value body = parseJson(wholeReport).assume_value();
    body[field] = value;
    return writeJson(body);
}

RunList listOf(const std::string& running, const std::string& finished)
{
    const auto list = readRunList(parseJson(fmt::format(R"({{"born":1700,"running":[{}],"finished":[{}]}})", running, finished)).assume_value());
    cr_assert(list.has_value(), "expected a list, with %s and %s", running.c_str(), finished.c_str());
    return list.assume_value();
}

} // namespace

Test(MinionAdapter, namesTasksAndReadsTheirNames)
{
    const RunName run { .job = "5c0e7a21d94b36f8", .step = 1, .index = 17, .run = 2 };
    cr_assert(taskName(run) == "5c0e7a21d94b36f8.0.1.17");
    cr_assert(runNameFrom(taskName(run), 2) == run);
    for (const char* name : { "", "a", "a.b", "1.2.3", "a.0.x.1", "a.0.1.", "a.0.1.2x" })
        cr_assert(!runNameFrom(name, 1), "expected no run name in '%s'", name);
}

Test(MinionAdapter, readsAReport)
{
    const auto report = readReport(wholeReport);
    cr_assert(report && report->service == "s" && report->born == Milliseconds { 1700 } && report->sequence == 4);
    cr_assert(report->name == "i-1" && !report->address.empty());
    cr_assert(report->capacity.cpuMillis == 16000 && report->capacity.memoryMb == 32768);
    cr_assert(report->rack == "r1-3" && report->labels.size() == 2 && !report->leaving);
    cr_assert(readReport(with("state", "draining"))->leaving);
}

Test(MinionAdapter, rejectsReportsWithMissingOrInvalidFields)
{
    for (const char* field : { "service", "address", "state", "seq", "born", "clockMs", "capacity" })
        cr_assert(!readReport(without(field)), "expected no report without %s", field);
    cr_assert(!readReport(with("state", "resting")));
    cr_assert(!readReport(with("seq", "4")));
    cr_assert(!readReport(with("address", "nowhere")));
    cr_assert(!readReport(with("capacity", 5)));
    cr_assert(!readReport("[]"));
    for (const Json::Value& odd : { Json::Value(-1), Json::Value("1"), Json::Value(1.5), Json::Value(Json::arrayValue) }) {
        for (const char* field : { "cpu", "memMb", "gpu" }) {
            Json::Value capacity = parseJson(wholeReport).assume_value()["capacity"];
            capacity[field] = odd;
            cr_assert(!readReport(with("capacity", capacity)), "expected no report with %s %s", field, writeJson(odd).c_str());
        }
    }
    cr_assert(!readReport(with("seq", -1)) && !readReport(with("seq", Json::Value(std::int64_t { 9'223'372'036'854'775'807 }))));
    cr_assert(!readReport(with("labels", "a")) && !readReport(with("labels", parseJson("[\"a\",5]").assume_value())));
    cr_assert(!readReport(with("address", "127.0.0.1:70000")) && !readReport(with("address", "127.0.0.1:0")) && !readReport(with("address", "127.0.0.1:-1")));
}

Test(MinionAdapter, readsAListOfRuns)
{
    const auto list = readRunList(parseJson(
        R"({"clockMs":1,"born":1700,"running":[["j.0.1.17",2,"00",41,0.5],["odd",1,"",0],[1]],"finished":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",3,"lapsed",""],[60,"odd",1,"failed",""],["x"]]})")
                                      .assume_value());
    cr_assert(list.has_value());
    cr_assert(list.assume_value().born == Milliseconds { 1700 });
    cr_assert(list.assume_value().running.size() == 1 && list.assume_value().running[0].percent == 41);
    const auto& ended = list.assume_value().ended;
    cr_assert(ended.size() == 3, "expected 3 ends, got %zu", ended.size());
    cr_assert(ended[0].kind == ListedEndKind::Done && ended[0].number == 58);
    cr_assert(ended[1].kind == ListedEndKind::Stopped);
    // The end of a task that no sidecar started still has to be acknowledged.
    cr_assert(ended[2].number == 60 && ended[2].run.job.empty());
}

Test(MinionAdapter, treatsAListWithUnreadableRowsAsIncomplete)
{
    const char* const run = R"(["j.0.1.17",2,"",41])";
    const char* const end = R"([58,"j.0.1.9",1,"done",""])";
    const char* const oddRun = R"(["odd",1,"",0])";
    const char* const oddEnd = R"([60,"odd",1,"failed",""])";
    cr_assert(listOf(run, end).isRunningWhole && listOf(run, end).isEndedWhole);
    // A row with a name of another form is readable and does not make the list incomplete.
    cr_assert(listOf(oddRun, oddEnd).isRunningWhole && listOf(oddRun, oddEnd).isEndedWhole);
    for (const char* row : { "5", "{}", "[]", R"(["j.0.1.17",2,""])", R"([7,2,"",41])", R"(["j.0.1.17",-2,"",41])", R"(["j.0.1.17",2.5,"",41])",
             R"(["j.0.1.17",18446744073709551616,"",41])", R"(["j.0.1.17","2","",41])" }) {
        const RunList list = listOf(row, end);
        cr_assert(list.running.empty() && !list.isRunningWhole && list.isEndedWhole, "expected an incomplete running list with %s", row);
    }
    for (const char* row : { "5", "{}", "[]", R"([58,"j.0.1.9",1])", R"(["58","j.0.1.9",1,"done",""])", R"([58,9,1,"done",""])", R"([58,"j.0.1.9",-1,"done",""])",
             R"([58,"j.0.1.9",1e300,"done",""])", R"([-58,"j.0.1.9",1,"done",""])", R"([58,"j.0.1.9",1,5,""])" }) {
        const RunList list = listOf(run, row);
        cr_assert(list.ended.empty() && list.isRunningWhole && !list.isEndedWhole, "expected an incomplete finished list with %s", row);
    }
}

Test(MinionAdapter, treatsAListWithTheMaximumNumberOfEndsAsIncomplete)
{
    for (const int ends : { 499, 500, 501 }) {
        std::string rows;
        for (int number = 1; number <= ends; ++number)
            rows += fmt::format(R"({}[{},"j.0.1.{}",1,"done",""])", number == 1 ? "" : ",", number, number);
        const RunList list = listOf("", rows);
        cr_assert(list.ended.size() == static_cast<std::size_t>(ends) && list.isRunningWhole);
        cr_assert(list.isEndedWhole == (ends < 500), "wrong completeness for %d ends", ends);
    }
}

Test(MinionAdapter, clampsThePercentOfARun)
{
    for (const char* percent : { "-1", "-3000000000", "3000000000", "1e300", "18446744073709551615", "99999999999999999999", "null", R"("41")", "[]", "true" }) {
        const RunList list = listOf(fmt::format(R"(["j.0.1.17",2,"",{}])", percent), "");
        cr_assert(list.running.size() == 1 && list.isRunningWhole, "expected the run with percent %s", percent);
        cr_assert(list.running[0].percent >= 0 && list.running[0].percent <= 100, "got %d from %s", list.running[0].percent, percent);
    }
    cr_assert(listOf(R"(["j.0.1.17",2,"",41.9])", "").running[0].percent == 41);
}

Test(MinionAdapter, rejectsAListWithMissingFields)
{
    for (const char* text : { "{}", R"({"running":[],"finished":[]})", R"({"born":1,"running":[]})", R"({"born":"1","running":[],"finished":[]})" })
        cr_assert(!readRunList(parseJson(text).assume_value()).has_value(), "%s", text);
}

Test(MinionAdapter, readsTheAnswerToAStartRequest)
{
    cr_assert(readStartAnswer(200, "{}") == StartAnswer::Started);
    cr_assert(readStartAnswer(409, R"({"reason":"room"})") == StartAnswer::NoRoom);
    cr_assert(readStartAnswer(409, R"({"reason":"old"})") == StartAnswer::Superseded);
    cr_assert(readStartAnswer(409, R"({"reason":"late"})") == StartAnswer::Refused);
    cr_assert(readStartAnswer(409, "not JSON") == StartAnswer::Refused);
    cr_assert(readStartAnswer(503, "") == StartAnswer::Unhealthy);
    cr_assert(readStartAnswer(429, "") == StartAnswer::Unhealthy);
    cr_assert(readStartAnswer(421, "") == StartAnswer::Refused);
    cr_assert(readStartAnswer(400, "") == StartAnswer::Refused);
}

// It was taken for one of the run itself, which ended runs whose start a raised token had overtaken.
Test(MinionAdapter, tellsARefusalForTheTokenFromOthers)
{
    cr_assert(readStartAnswer(409, R"({"clockMs":482113,"reason":"fence"})") == StartAnswer::Fenced);
}

Test(MinionAdapter, treatsUndocumentedStatusesAsUnknown)
{
    for (const int status : { 201, 202, 204, 301, 307, 401, 403, 404, 408, 410, 500, 502, 504, 599 })
        cr_assert(readStartAnswer(status, R"({"reason":"old"})") == StartAnswer::Unknown, "status %d does not show that the run was not started", status);
}

// After 70 s without jobs the sidecar granted leases by an old reading of a minion's clock that is 2% slow: 1.4 s too long, so that
// an order that was held up ran beside its successor (review case 2).
Test(MinionAdapter, grantsNoMoreTimeByAnOldReadingOfASlowClock)
{
    const MinionClock clock { .reading = 5'000, .readAt = { 100'000 } };
    cr_assert(earliestOnMinionClock(clock, { 100'800 }, { 100'000 }) == 5'800);
    // 70 s later the minion's clock shows 68,600 ms more.
    const std::int64_t end = earliestOnMinionClock(clock, { 170'800 }, { 170'000 });
    cr_assert(end <= 5'000 + 68'600 + 800 && end > 5'000 + 68'600 + 790, "got %lld", static_cast<long long>(end));
}

Test(MinionAdapter, takesNoReadingOfAReportThatTheClockCanNotShow)
{
    const MinionClock clock { .reading = 5'000, .readAt = { 100'000 } };
    cr_assert(mayFollow(clock, { .reading = 6'470, .readAt = { 101'500 } }));
    cr_assert(!mayFollow(clock, { .reading = 4'999, .readAt = { 101'500 } }), "expected a delayed reading to be ignored");
    cr_assert(!mayFollow(clock, { .reading = 6'531, .readAt = { 101'500 } }), "expected a reading from the future to be ignored");
    cr_assert(!mayFollow(clock, { .reading = 9'223'372'036'854'775'807, .readAt = { 101'500 } }));
}
