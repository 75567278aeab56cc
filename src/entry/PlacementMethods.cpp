#include "entry/PlacementMethods.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr std::int64_t maxTasks = 10'000;
    constexpr std::int64_t maxNeed = 1'000'000'000;

    Error badParameter(ErrorCode code, std::string message)
    {
        return Error { .code = code, .ran = Ran::No, .step = "entry.explainPlacement", .peer = {}, .message = std::move(message) };
    }

    Result<std::int64_t> readNumber(const Json::Value& object, const char* name, std::int64_t fallback, std::int64_t most)
    {
        const Json::Value& value = object[name];
        if (value.isNull())
            return fallback;
        if (!value.isInt64() || value.asInt64() < 0 || value.asInt64() > most)
            return badParameter(ErrorCode::BadRequest, fmt::format("{}: expected a whole number from 0 to {}", name, most));
        return value.asInt64();
    }

    Result<DispatchStep> readStep(const Json::Value& value)
    {
        if (!value.isObject())
            return badParameter(ErrorCode::BadRequest, "steps: expected objects");
        BOOST_OUTCOME_TRY(const auto count, readNumber(value, "count", 1, maxTasks));
        BOOST_OUTCOME_TRY(const auto cpu, readNumber(value, "cpuMillis", 0, maxNeed));
        BOOST_OUTCOME_TRY(const auto memory, readNumber(value, "memoryMb", 0, maxNeed));
        BOOST_OUTCOME_TRY(const auto accelerators, readNumber(value, "accelerators", 0, maxNeed));
        BOOST_OUTCOME_TRY(const auto runTime, readNumber(value, "runTimeMs", 0, maxNeed));
        BOOST_OUTCOME_TRY(const auto maxPerMinion, readNumber(value, "maxPerMinion", 0, maxTasks));
        return DispatchStep { .count = static_cast<std::uint32_t>(std::max<std::int64_t>(count, 1)),
            .needs = { .cpuMillis = cpu, .memoryMb = memory, .accelerators = accelerators, .runTime = { runTime } },
            .requiredLabel = value["requiredLabel"].isString() ? value["requiredLabel"].asString() : "",
            .preferredRack = value["preferredRack"].isString() ? value["preferredRack"].asString() : "",
            .maxPerMinion = maxPerMinion };
    }

    Json::Value toJson(const ExplainedMinion& minion)
    {
        Json::Value value(Json::objectValue);
        value["sidecar"] = minion.sidecar;
        value["dataCentre"] = minion.dataCentre;
        value["rack"] = minion.rack;
        value["freeCpuMillis"] = static_cast<Json::Int64>(minion.free.cpuMillis);
        value["freeMemoryMb"] = static_cast<Json::Int64>(minion.free.memoryMb);
        value["slowness"] = minion.slowness;
        value["hasRivals"] = minion.hasRivals;
        value["lateProbability"] = minion.lateProbability;
        value["score"] = minion.score;
        value["excludedBy"] = minion.excludedBy;
        return value;
    }

} // namespace

Result<DispatchJob> readExplainedJob(const Json::Value& params, const QueueCatalogue& catalogue, Milliseconds now)
{
    if (!params.isObject() || !params["queue"].isString() || !params["steps"].isArray() || params["steps"].empty())
        return badParameter(ErrorCode::BadRequest, "expected queue and steps");
    const auto queue = std::find_if(catalogue.queues.begin(), catalogue.queues.end(),
        [&params](const QueueConfig& each) { return each.name == params["queue"].asString(); });
    if (queue == catalogue.queues.end())
        return badParameter(ErrorCode::NotFound, fmt::format("no queue is named {}", params["queue"].asString()));
    BOOST_OUTCOME_TRY(const auto wait, readNumber(params, "waitMs", queue->timeLimit.count, maxNeed));
    DispatchJob job { .name = "explained", .payload = {}, .queue = *queue, .deadline = now + Milliseconds { wait }, .steps = {} };
    for (const auto& item : params["steps"]) {
        BOOST_OUTCOME_TRY(auto step, readStep(item));
        job.steps.push_back(std::move(step));
    }
    return job;
}

Json::Value toJson(const PlacementExplanation& explanation)
{
    Json::Value value(Json::objectValue);
    value["queue"] = explanation.queue;
    value["service"] = explanation.service;
    value["refusal"] = explanation.refusal ? Json::Value(*explanation.refusal) : Json::Value();
    value["expectedWaitMs"] = static_cast<Json::Int64>(explanation.expectedWait.count);
    value["expectedRunMs"] = static_cast<Json::Int64>(explanation.expectedRun.count);
    value["objectiveMs"] = static_cast<Json::Int64>(explanation.objective.count);
    value["cutoffMs"] = static_cast<Json::Int64>(explanation.cutoff.count);
    value["isHeldByReserve"] = explanation.isHeldByReserve;
    value["steps"] = Json::Value(Json::arrayValue);
    for (const auto& step : explanation.steps) {
        Json::Value row(Json::objectValue);
        row["step"] = step.step;
        row["expectedRunMs"] = static_cast<Json::Int64>(step.expectedRun.count);
        row["minions"] = Json::Value(Json::arrayValue);
        for (const auto& minion : step.minions)
            row["minions"].append(toJson(minion));
        row["placements"] = Json::Value(Json::arrayValue);
        for (const auto& placement : step.placements)
            row["placements"].append(placement);
        value["steps"].append(std::move(row));
    }
    return value;
}

} // namespace oleanderport
