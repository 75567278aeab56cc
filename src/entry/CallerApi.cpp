#include "entry/CallerApi.h"

#include "wire/MessageCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <initializer_list>

namespace oleanderport {

namespace {

    Error badField(const std::string& field, const std::string& expected)
    {
        return Error { .code = ErrorCode::BadRequest,
            .ran = Ran::No,
            .step = "entry.parse",
            .peer = {},
            .message = fmt::format("{}: expected {}", field, expected) };
    }

    Result<void> checkFields(
        const Json::Value& value, const std::string& where, std::initializer_list<std::string_view> known)
    {
        if (!value.isObject())
            return badField(where, "an object");
        for (const auto& name : value.getMemberNames()) {
            if (std::find(known.begin(), known.end(), name) == known.end())
                return badField(fmt::format("{}.{}", where, name), "a known field name");
        }
        return boost::outcome_v2::success();
    }

    Result<std::string> readText(const Json::Value& value, const char* field)
    {
        if (!value[field].isString())
            return badField(field, "a string");
        return value[field].asString();
    }

    Result<std::int64_t> readNumber(const Json::Value& value, const char* field, std::int64_t absent)
    {
        if (!value.isMember(field))
            return absent;
        if (!value[field].isInt64() || value[field].asInt64() < 0)
            return badField(field, "a non-negative integer");
        return value[field].asInt64();
    }

    Result<TaskNeeds> readNeeds(const Json::Value& task)
    {
        TaskNeeds needs;
        if (!task.isMember("needs"))
            return needs;
        const Json::Value& value = task["needs"];
        BOOST_OUTCOME_TRYV(checkFields(value, "needs", { "cpuMillis", "memoryMb", "accelerators", "runTimeMs" }));
        BOOST_OUTCOME_TRY(needs.cpuMillis, readNumber(value, "cpuMillis", 0));
        BOOST_OUTCOME_TRY(needs.memoryMb, readNumber(value, "memoryMb", 0));
        BOOST_OUTCOME_TRY(needs.accelerators, readNumber(value, "accelerators", 0));
        BOOST_OUTCOME_TRY(needs.runTime.count, readNumber(value, "runTimeMs", 0));
        return needs;
    }

    Result<TaskSpec> readTask(const Json::Value& value)
    {
        TaskSpec task;
        BOOST_OUTCOME_TRY(task.payload, readText(value, "payload"));
        BOOST_OUTCOME_TRY(task.needs, readNeeds(value));
        return task;
    }

    Result<JobSpec> readCommon(const Json::Value& value)
    {
        JobSpec spec;
        BOOST_OUTCOME_TRY(spec.key.caller, readText(value, "caller"));
        BOOST_OUTCOME_TRY(spec.team, readText(value, "team"));
        BOOST_OUTCOME_TRY(spec.service, readText(value, "service"));
        if (!value.isMember("deadlineUnixMs"))
            return badField("deadlineUnixMs", "a time in milliseconds since 1970");
        BOOST_OUTCOME_TRY(spec.deadlineUnix.count, readNumber(value, "deadlineUnixMs", 0));
        return spec;
    }

} // namespace

Result<JobSpec> parseJob(const std::string& body)
{
    BOOST_OUTCOME_TRY(const auto value, parseJson(body));
    BOOST_OUTCOME_TRYV(checkFields(value, "job", { "caller", "job", "team", "service", "deadlineUnixMs", "tasks" }));
    BOOST_OUTCOME_TRY(auto spec, readCommon(value));
    BOOST_OUTCOME_TRY(spec.key.job, readText(value, "job"));
    if (!value["tasks"].isArray())
        return badField("tasks", "an array");
    for (const auto& item : value["tasks"]) {
        BOOST_OUTCOME_TRYV(checkFields(item, "task", { "payload", "needs" }));
        BOOST_OUTCOME_TRY(auto task, readTask(item));
        spec.tasks.push_back(std::move(task));
    }
    return spec;
}

Result<JobSpec> parseRequest(const std::string& body, const std::string& defaultId)
{
    BOOST_OUTCOME_TRY(const auto value, parseJson(body));
    BOOST_OUTCOME_TRYV(checkFields(value, "request",
        { "caller", "request", "team", "service", "deadlineUnixMs", "idempotent", "payload", "needs" }));
    BOOST_OUTCOME_TRY(auto spec, readCommon(value));
    spec.key.job = defaultId;
    if (value.isMember("request")) {
        BOOST_OUTCOME_TRY(spec.key.job, readText(value, "request"));
    }
    if (!value["idempotent"].isBool())
        return badField("idempotent", "true or false");
    spec.idempotent = value["idempotent"].asBool();
    BOOST_OUTCOME_TRY(auto task, readTask(value));
    spec.tasks.push_back(std::move(task));
    return spec;
}

Json::Value answerToJson(const JobAnswer& answer)
{
    Json::Value value(Json::objectValue);
    value["caller"] = answer.key.caller;
    value["job"] = answer.key.job;
    value["state"] = std::string(jobStateName(answer.state));
    if (answer.state == JobState::Complete) {
        value["results"] = Json::Value(Json::arrayValue);
        for (const auto& result : answer.results)
            value["results"].append(result);
    }
    if (answer.state == JobState::Failed) {
        value["failures"] = Json::Value(Json::arrayValue);
        for (const auto& failure : answer.failures) {
            Json::Value item(Json::objectValue);
            item["task"] = failure.task;
            item["outcome"] = std::string(taskOutcomeName(failure.outcome));
            item["reason"] = failure.reason;
            value["failures"].append(item);
        }
    }
    if (answer.error)
        value["error"] = errorToJson(*answer.error);
    return value;
}

} // namespace oleanderport
