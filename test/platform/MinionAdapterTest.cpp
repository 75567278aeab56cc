#include "MinionAdapter.h"

#include "wire/MessageCodec.h"

#include <criterion/criterion.h>

using namespace oleanderport;
using namespace oleanderport::platform;

namespace {

const char* const wholeReport
    = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"clockMs":482113,"seq":4,"born":1700,"machineId":"m"})";

std::optional<MinionReport> readReport(const std::string& text)
{
    std::string address;
    std::int64_t clock = 0;
    return readMinionReport(parseJson(text).assume_value(), address, clock);
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
    cr_assert(report->capacity.cpuMillis == 16000 && report->capacity.memoryMb == 32768);
    cr_assert(report->rack == "r1-3" && report->labels.size() == 2 && !report->leaving);
    cr_assert(readReport(with("state", "draining"))->leaving);
}

Test(MinionAdapter, dropsReportsOfAnotherWriter)
{
    for (const char* field : { "service", "address", "state", "seq", "born", "clockMs", "capacity" })
        cr_assert(!readReport(without(field)), "expected no report without %s", field);
    cr_assert(!readReport(with("state", "resting")));
    cr_assert(!readReport(with("seq", "4")));
    cr_assert(!readReport(with("address", "nowhere")));
    cr_assert(!readReport(with("capacity", 5)));
    cr_assert(!readReport("[]"));
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
    // An end of something else still has to be acknowledged.
    cr_assert(ended[2].number == 60 && ended[2].run.job.empty());
}

Test(MinionAdapter, aListIsNotWholeWhenRowsCannotBeReadOrAPageOfEndsIsFull)
{
    const auto wholeParts = [](const Json::Value& running, const Json::Value& finished) {
        Json::Value body(Json::objectValue);
        body["born"] = 1700;
        body["running"] = running;
        body["finished"] = finished;
        const auto list = readRunList(body).assume_value();
        return std::pair(list.isRunningWhole, list.isEndedWhole);
    };
    const Json::Value none(Json::arrayValue);
    Json::Value odd(Json::arrayValue);
    odd.append("odd");
    Json::Value page(Json::arrayValue);
    for (int number = 1; number <= 500; ++number)
        page.append(parseJson(R"([)" + std::to_string(number) + R"(,"j.0.0.1",1,"done",""])").assume_value());
    cr_expect(wholeParts(none, none) == std::pair(true, true));
    cr_expect(!wholeParts(odd, none).first, "a running row that cannot be read");
    cr_expect(!wholeParts(none, odd).second, "an ended row that cannot be read");
    cr_expect(!wholeParts(none, page).second, "a full page of ends");
}

Test(MinionAdapter, refusesAListWithoutItsParts)
{
    for (const char* text : { "{}", R"({"running":[],"finished":[]})", R"({"born":1,"running":[]})", R"({"born":"1","running":[],"finished":[]})" })
        cr_assert(!readRunList(parseJson(text).assume_value()).has_value(), "%s", text);
}

Test(MinionAdapter, readsHowAnOrderWasTaken)
{
    cr_assert(readStartAnswer(200, "{}") == StartAnswer::Started);
    cr_assert(readStartAnswer(409, R"({"reason":"room"})") == StartAnswer::NoRoom);
    cr_assert(readStartAnswer(409, R"({"reason":"old"})") == StartAnswer::Superseded);
    cr_assert(readStartAnswer(409, R"({"reason":"late"})") == StartAnswer::Refused);
    cr_assert(readStartAnswer(409, "not JSON") == StartAnswer::Refused);
    cr_assert(readStartAnswer(503, "") == StartAnswer::Unhealthy);
    cr_assert(readStartAnswer(429, "") == StartAnswer::Unhealthy);
    cr_assert(readStartAnswer(421, "") == StartAnswer::Refused);
}
