#include "wire/MessageCodec.h"

#include "wire/ControlMessages.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

// Writes, reads and writes the message; equal texts mean that no written field was lost.
template <typename T>
T roundTrip(const T& message)
{
    const std::string text = writeJson(toJson(message));
    const auto parsed = parseJson(text);
    cr_assert(parsed.has_value());
    const auto read = fromJson<T>(parsed.assume_value());
    cr_assert(read.has_value(), "expected to read %s, got %s", text.c_str(), describe(read.assume_error()).c_str());
    const std::string rewritten = writeJson(toJson(read.assume_value()));
    cr_assert(rewritten == text, "expected %s, got %s", text.c_str(), rewritten.c_str());
    return read.assume_value();
}

const JobKey key { .caller = "caller", .job = "job \"quoted\" \u00e9" };

template <typename T>
std::string refusalOf(const Json::Value& value)
{
    const auto read = fromJson<T>(value);
    if (read.has_value())
        return "";
    cr_assert(read.assume_error().code == ErrorCode::BadRequest);
    return read.assume_error().message;
}

} // namespace

Test(MessageCodec, keepsEveryFieldOfATaskAssignment)
{
    const TaskAssignment sent { .key = key,
        .task = 4'294'967'295U,
        .attempt = 2,
        .epoch = 18'446'744'073'709'551'615ULL,
        .team = "team",
        .idempotent = true,
        .startByUnix = { 1'800'000'000'000 },
        .needs = { .cpuMillis = 1, .memoryMb = 2, .accelerators = 3, .runTime = { 4 } },
        .payload = std::string("nul\0 and \n control", 18) };
    const TaskAssignment got = roundTrip(sent);
    cr_assert(got.key == sent.key && got.task == sent.task && got.attempt == sent.attempt);
    cr_assert(got.epoch == sent.epoch && got.team == sent.team && got.idempotent);
    cr_assert(got.startByUnix == sent.startByUnix && got.payload == sent.payload);
    cr_assert(got.needs.cpuMillis == 1 && got.needs.memoryMb == 2 && got.needs.accelerators == 3);
    cr_assert(got.needs.runTime == sent.needs.runTime);
}

Test(MessageCodec, keepsExchanges)
{
    const TaskResult result { .key = key, .task = 3, .attempt = 1, .epoch = 7, .outcome = TaskOutcome::Failed, .body = "why", .ranFor = { 12 } };
    const ExchangeRequest request { .sidecar = { .instance = "s", .incarnation = 5 },
        .entry = { .instance = "e", .incarnation = 6 },
        .channel = Channel::Report,
        .sequence = 9,
        .grantedTotal = 11,
        .results = { result } };
    const ExchangeRequest got = roundTrip(request);
    cr_assert(got.sidecar == request.sidecar && got.entry == request.entry && got.channel == Channel::Report);
    cr_assert(got.sequence == 9 && got.grantedTotal == 11 && got.results.size() == 1);
    cr_assert(got.results[0].outcome == TaskOutcome::Failed && got.results[0].ranFor == result.ranFor);
    roundTrip(ExchangeResponse { .sequence = 9,
        .tasks = { { .key = key } },
        .cancels = { { .key = key, .epoch = 2 } },
        .queued = { { .team = "t", .queued = 4 } } });
}

Test(MessageCodec, keepsAnAnswerWithAndWithoutItsError)
{
    JobAnswer answer { .key = key, .state = JobState::Complete, .results = { "a", "b" } };
    cr_assert(!roundTrip(answer).error.has_value());
    answer.state = JobState::Failed;
    answer.failures = { { .task = 1, .outcome = TaskOutcome::NotStarted, .reason = "r" } };
    answer.error = Error { .code = ErrorCode::MinionFailed, .ran = Ran::Unknown, .step = "s", .message = "m" };
    const JobAnswer got = roundTrip(answer);
    cr_assert(got.error && got.error->code == ErrorCode::MinionFailed && got.error->message == "m");
    cr_assert(got.failures.size() == 1 && got.failures[0].outcome == TaskOutcome::NotStarted);
}

Test(MessageCodec, keepsSessionsAndViews)
{
    const Member member { .id = { .instance = "s", .incarnation = 5 },
        .node = { .role = Role::Sidecar, .instance = "s", .address = "127.0.0.1:1", .dataCentre = "dc", .slots = 8 } };
    SessionResponse response { .session = member.id, .lease = { 3'000 } };
    cr_assert(!roundTrip(response).view.has_value());
    response.view = ClusterView { .version = 3, .dataCentresOut = { "dc" }, .members = { member } };
    const SessionResponse got = roundTrip(response);
    cr_assert(got.view && got.view->version == 3 && got.view->members.size() == 1);
    cr_assert(got.view->members[0].node.slots == 8 && got.view->members[0].node.role == Role::Sidecar);
    roundTrip(ClaimRequest { .entry = member.id, .key = key, .digest = "d", .service = "s", .deadlineUnix = { 5 } });
    roundTrip(ClaimResponse { .owner = member.id, .ownerAddress = "a", .epoch = 2, .takenOver = true, .sidecars = { member } });
}

Test(MessageCodec, namesTheFieldThatIsWrong)
{
    Json::Value value = toJson(TaskResult { .key = key });
    value["outcome"] = "nonsense";
    cr_assert(refusalOf<TaskResult>(value).find("outcome") != std::string::npos);
    value = toJson(TaskResult { .key = key });
    value["task"] = -1;
    cr_assert(refusalOf<TaskResult>(value).find("task") != std::string::npos);
    value["task"] = 4'294'967'296.0;
    cr_assert(refusalOf<TaskResult>(value).find("task") != std::string::npos);
    value = toJson(TaskResult { .key = key });
    value.removeMember("body");
    cr_assert(refusalOf<TaskResult>(value).find("body") != std::string::npos);
    value["body"] = Json::Value(Json::arrayValue);
    cr_assert(refusalOf<TaskResult>(value).find("body") != std::string::npos);
    cr_assert(!refusalOf<TaskResult>(Json::Value("text")).empty());
    cr_assert(!refusalOf<TaskResult>(Json::Value(Json::arrayValue)).empty());
}

Test(MessageCodec, parsesOneValueOfBoundedDepthAndNothingBehindIt)
{
    cr_assert(!parseJson("{} {}").has_value());
    cr_assert(!parseJson("").has_value());
    cr_assert(!parseJson("{\"a\":1,}").has_value());
    cr_assert(!parseJson(std::string(100'000, '[')).has_value());
    cr_assert(!parseJson(R"({"a":1,"a":2})").has_value(), "expected a field given twice to be refused");
}

Test(MessageCodec, readsAnUnknownErrorAsInternalFromThatPeer)
{
    Json::Value foreign;
    foreign["code"] = "no_such_code";
    for (const Json::Value& value : { Json::Value(), Json::Value(5), Json::Value(Json::objectValue), foreign,
             Json::Value(Json::arrayValue) }) {
        const Error error = errorFromJson(value, "peer-1");
        cr_assert(error.code == ErrorCode::Internal && error.ran == Ran::Unknown, "for %s", writeJson(value).c_str());
        cr_assert(error.peer == "peer-1");
    }
}
