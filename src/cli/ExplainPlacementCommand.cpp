#include "cli/Arguments.h"
#include "cli/Command.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr Milliseconds callTimeout { 5'000 };
    constexpr Json::ArrayIndex maxShownMinions = 10;

    void addNumber(cxxopts::Options& options, const char* name, const char* text, const char* byDefault)
    {
        options.add_options()(name, text, cxxopts::value<std::int64_t>()->default_value(byDefault));
    }

    Json::Value paramsOf(const cxxopts::ParseResult& arguments)
    {
        const auto number = [&arguments](const char* name) { return static_cast<Json::Int64>(arguments[name].as<std::int64_t>()); };
        Json::Value step(Json::objectValue);
        step["count"] = number("tasks");
        step["cpuMillis"] = number("cpu");
        step["memoryMb"] = number("memory");
        step["accelerators"] = number("accelerators");
        step["runTimeMs"] = number("run-time");
        step["maxPerMinion"] = number("max-per-minion");
        step["requiredLabel"] = arguments["label"].as<std::string>();
        step["preferredRack"] = arguments["rack"].as<std::string>();
        Json::Value params(Json::objectValue);
        params["queue"] = requiredText(arguments, "queue");
        params["steps"].append(step);
        if (arguments.count("wait") > 0)
            params["waitMs"] = static_cast<Json::Int64>(arguments["wait"].as<std::int64_t>());
        return params;
    }

    void printMinion(const Json::Value& minion)
    {
        if (!minion["excludedBy"].asString().empty()) {
            fmt::print("  {} in {}: excluded, {}; {} thousandths of a core free\n", minion["sidecar"].asString(), minion["dataCentre"].asString(),
                minion["excludedBy"].asString(), minion["freeCpuMillis"].asInt64());
            return;
        }
        fmt::print("  {} in {}, rack {}: score {:.2f}; {} thousandths of a core free, run times {:.2f} of the mean, {:.0f}% likely late{}\n", minion["sidecar"].asString(),
            minion["dataCentre"].asString(), minion["rack"].asString(), minion["score"].asDouble(), minion["freeCpuMillis"].asInt64(), minion["slowness"].asDouble(),
            minion["lateProbability"].asDouble() * 100, minion["hasRivals"].asBool() ? ", tasks there slow it down or are slowed down" : "");
    }

    void printStep(const Json::Value& step)
    {
        std::map<std::string, int> tasks;
        for (const auto& placement : step["placements"])
            ++tasks[placement.asString()];
        fmt::print("step {}: expected to run {} ms\n", step["step"].asUInt(), step["expectedRunMs"].asInt64());
        for (const auto& [sidecar, count] : tasks)
            fmt::print("  {} task{} {}\n", count, count == 1 ? "" : "s", sidecar.empty() ? "would wait: no minion has room" : "would go to " + sidecar);
        const Json::Value& minions = step["minions"];
        for (Json::ArrayIndex i = 0; i < std::min(minions.size(), maxShownMinions); ++i)
            printMinion(minions[i]);
        if (minions.size() > maxShownMinions)
            fmt::print("  and {} further minions; all with --output json\n", minions.size() - maxShownMinions);
    }

} // namespace

ExitCode runExplainPlacement(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport explain-placement", "Prints where an entry would place the tasks of a best-effort job now, and why. Submits nothing.");
    options.add_options()("entry", "IP:port of an entry", cxxopts::value<std::string>())("queue", "Name of the queue", cxxopts::value<std::string>())(
        "label", "Label that the minion must have", cxxopts::value<std::string>()->default_value(""))(
        "rack", "Rack of the job's data", cxxopts::value<std::string>()->default_value(""))(
        "wait", "Milliseconds for which the caller would wait; the queue's limit when not given", cxxopts::value<std::int64_t>());
    addNumber(options, "tasks", "Number of tasks", "1");
    addNumber(options, "cpu", "Thousandths of a core for each task", "1000");
    addNumber(options, "memory", "Memory of each task in MB", "0");
    addNumber(options, "accelerators", "Accelerators of each task", "0");
    addNumber(options, "run-time", "Estimated run time of a task in milliseconds", "0");
    addNumber(options, "max-per-minion", "Most tasks on one minion; 0 for no limit", "0");
    addOutputOption(options);
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const auto answer = rpcAndWait(requiredText(*parsed, "entry"), "explainPlacement", paramsOf(*parsed), callTimeout);
    if (!answer.has_value())
        return reportError(answer.assume_error());
    const Json::Value& value = answer.assume_value();
    if (wantsJson(*parsed)) {
        fmt::print("{}\n", prettyJson(value));
        return ExitCode::Success;
    }
    fmt::print("queue {} of service {}: {}\n", value["queue"].asString(), value["service"].asString(),
        value["refusal"].isNull() ? "would be accepted" : "would be refused: " + value["refusal"].asString());
    fmt::print("objective {} ms, refused unless it can end within {} ms; expected to wait {} ms and run {} ms\n", value["objectiveMs"].asInt64(), value["cutoffMs"].asInt64(),
        value["expectedWaitMs"].asInt64(), value["expectedRunMs"].asInt64());
    if (value["isHeldByReserve"].asBool())
        fmt::print("the free room is left to queues of priority 0\n");
    for (const auto& step : value["steps"])
        printStep(step);
    return ExitCode::Success;
}

} // namespace oleanderport
