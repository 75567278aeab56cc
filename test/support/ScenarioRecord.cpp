#include "support/ScenarioRecord.h"

#include "wire/MessageCodec.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <fstream>

namespace oleanderport {

namespace {

    constexpr std::size_t contextLines = 40;
    // A start is timestamped and recorded after the decision to start, so its recorded time may be late by this much.
    constexpr std::int64_t recordingSlackMs = 500;

    template <typename T>
    bool matches(const toml::table& wanted, const char* key, const T& actual)
    {
        const auto value = wanted[key].value<T>();
        return !value || *value == actual;
    }

    std::optional<std::string> unmetCount(const toml::table& wanted, std::int64_t actual, const std::string& what)
    {
        const auto exactly = wanted["exactly"].value<std::int64_t>();
        const auto atMost = wanted["at_most"].value<std::int64_t>();
        const auto atLeast = wanted["at_least"].value<std::int64_t>();
        if (exactly && actual != *exactly)
            return fmt::format("{}: expected exactly {}, actual {}", what, *exactly, actual);
        if (atMost && actual > *atMost)
            return fmt::format("{}: expected at most {}, actual {}", what, *atMost, actual);
        const bool bounded = exactly || atMost;
        const std::int64_t least = atLeast.value_or(bounded ? 0 : 1);
        if (actual < least)
            return fmt::format("{}: expected at least {}, actual {}", what, least, actual);
        return std::nullopt;
    }

    std::string textOf(const toml::table& table)
    {
        std::ostringstream text;
        text << toml::toml_formatter(table, toml::format_flags::none);
        std::string line = text.str();
        std::replace(line.begin(), line.end(), '\n', ' ');
        return line;
    }

    std::int64_t unixTimeOf(const Json::Value& event) { return event["unixTime"].asInt64(); }

} // namespace

ScenarioRecord::ScenarioRecord(ScenarioDeployment& deployment)
    : m_deployment(deployment)
{
}

void ScenarioRecord::collectEvents()
{
    ScenarioProcesses& processes = m_deployment.processes();
    processes.reap();
    for (const auto& name : m_deployment.names()) {
        const bool answers = processes.isRunning(name) && !processes.isFrozen(name) && name.rfind("minion", 0) != 0;
        if (!answers)
            continue;
        std::uint64_t& last = m_lastSequence[processes.pid(name)];
        Json::Value params(Json::objectValue);
        params["after"] = static_cast<Json::UInt64>(last);
        const auto answer = m_deployment.call(m_deployment.address(name), "events", params);
        if (!answer.has_value())
            continue;
        for (const auto& event : answer.assume_value()["events"]) {
            last = std::max<std::uint64_t>(last, event["sequence"].asUInt64());
            m_events.push_back(event);
        }
    }
}

std::vector<RecordedStart> ScenarioRecord::starts() const
{
    std::vector<RecordedStart> starts;
    for (const auto& name : m_deployment.names()) {
        if (name.rfind("minion", 0) != 0)
            continue;
        std::ifstream file(m_deployment.startsFile(name));
        RecordedStart start { .minion = name };
        while (file >> start.caller >> start.job >> start.task >> start.attempt)
            starts.push_back(start);
    }
    return starts;
}

std::shared_ptr<RecordedAnswer> ScenarioRecord::addAnswer(const std::string& name)
{
    auto& answer = m_answers[name];
    if (answer)
        throw ScenarioFailure(fmt::format("the scenario has two answers named '{}'", name));
    answer = std::make_shared<RecordedAnswer>();
    return answer;
}

std::optional<std::string> ScenarioRecord::unmet(const toml::table& condition)
{
    for (const auto& [key, node] : condition) {
        const toml::table* wanted = node.as_table();
        std::optional<std::string> fault;
        if (key == "do" || key == "meanwhile")
            continue;
        if (!wanted)
            throw ScenarioFailure(fmt::format("condition '{}': expected a table", key.str()));
        if (key == "starts")
            fault = unmetStarts(*wanted);
        else if (key == "event")
            fault = unmetEvent(*wanted);
        else if (key == "before")
            fault = unmetBefore(*wanted);
        else if (key == "nothing_starts_after_out")
            fault = unmetAfterOut(*wanted);
        else if (key == "answer")
            fault = unmetAnswer(*wanted);
        else if (key == "exit")
            fault = unmetExit(*wanted);
        else if (key == "relay")
            fault = unmetRelay(*wanted);
        else if (key == "view")
            fault = unmetView(*wanted);
        else
            throw ScenarioFailure(fmt::format("unknown condition '{}'", key.str()));
        if (fault)
            return fmt::format("{} [{}]", *fault, textOf(*wanted));
    }
    return std::nullopt;
}

std::optional<std::string> ScenarioRecord::unmetStarts(const toml::table& wanted) const
{
    std::int64_t count = 0;
    for (const auto& start : starts()) {
        const bool counts = matches<std::string>(wanted, "job", start.job)
            && matches<std::string>(wanted, "caller", start.caller)
            && matches<std::string>(wanted, "minion", start.minion)
            && matches<std::int64_t>(wanted, "task", start.task);
        count += counts ? 1 : 0;
    }
    return unmetCount(wanted, count, "starts");
}

std::vector<Json::Value> ScenarioRecord::eventsLike(const toml::table& wanted) const
{
    std::vector<Json::Value> found;
    for (const auto& event : m_events) {
        const auto detail = wanted["detail"].value<std::string>();
        const std::string instance = event["instance"].asString();
        const bool counts = matches<std::string>(wanted, "kind", event["kind"].asString())
            && matches<std::string>(wanted, "process", instance)
            && matches<std::string>(wanted, "role", instance.substr(0, instance.rfind('-')))
            && matches<std::string>(wanted, "job", event["job"]["job"].asString())
            && (!detail || event["detail"].asString().find(*detail) != std::string::npos);
        if (counts)
            found.push_back(event);
    }
    return found;
}

std::optional<std::string> ScenarioRecord::unmetEvent(const toml::table& wanted) const
{
    return unmetCount(wanted, static_cast<std::int64_t>(eventsLike(wanted).size()), "events");
}

std::optional<std::string> ScenarioRecord::unmetBefore(const toml::table& wanted) const
{
    const auto* first = wanted["first"].as_table();
    const auto* second = wanted["second"].as_table();
    if (!first || !second)
        throw ScenarioFailure("condition 'before': expected the tables first and second");
    const auto earlier = eventsLike(*first);
    const auto later = eventsLike(*second);
    if (earlier.empty() || later.empty())
        return fmt::format("order: expected both events, actual {} and {}", earlier.size(), later.size());
    const bool sameProcess = earlier.front()["instance"] == later.front()["instance"];
    const char* field = sameProcess ? "sequence" : "unixTime";
    if (earlier.front()[field].asInt64() <= later.front()[field].asInt64())
        return std::nullopt;
    return fmt::format("order: expected {} first, actual {} first", writeJson(earlier.front()), writeJson(later.front()));
}

std::optional<std::string> ScenarioRecord::unmetAfterOut(const toml::table& wanted) const
{
    const std::string centre = wanted["data_centre"].value_or(std::string());
    const auto outs = eventsLike(toml::table { { "kind", "datacentre_out" }, { "detail", centre } });
    if (outs.empty())
        return fmt::format("expected {} to be taken out, but it was not", centre);
    // Every lease that a sidecar of this data centre can hold was granted before the data centre was taken out.
    const std::int64_t limit = unixTimeOf(outs.back()) + m_deployment.lease().count + recordingSlackMs;
    const auto ins = eventsLike(toml::table { { "kind", "datacentre_in" }, { "detail", centre } });
    const bool cameBack = !ins.empty() && unixTimeOf(ins.back()) >= unixTimeOf(outs.back());
    std::int64_t running = 0;
    for (const auto& event : eventsLike(toml::table { { "kind", "task_started" }, { "role", "sidecar" } })) {
        if (m_deployment.dataCentre(event["instance"].asString()) != centre || unixTimeOf(event) <= limit)
            continue;
        if (cameBack && unixTimeOf(event) >= unixTimeOf(ins.back()))
            continue;
        return fmt::format("expected no start in {} from {} on, actual {}", centre, limit, writeJson(event));
    }
    // The check is only meaningful when tasks started elsewhere after the limit.
    for (const auto& event : eventsLike(toml::table { { "kind", "task_started" }, { "role", "sidecar" } }))
        running += unixTimeOf(event) > limit ? 1 : 0;
    return running > 0 ? std::nullopt
                       : std::optional(fmt::format("expected starts elsewhere after {} ms, actual none", limit));
}

std::optional<std::string> ScenarioRecord::unmetAnswer(const toml::table& wanted) const
{
    const std::string name = wanted["name"].value_or(std::string());
    const auto found = m_answers.find(name);
    if (found == m_answers.end())
        throw ScenarioFailure(fmt::format("no step gives the answer '{}'", name));
    const RecordedAnswer& answer = *found->second;
    if (wanted["arrived"].value_or(true) != answer.arrived)
        return fmt::format("answer '{}': expected arrived {}", name, !answer.arrived);
    if (!answer.arrived)
        return std::nullopt;
    const Json::Value& body = answer.body;
    const std::string code = body["error"]["code"].asString();
    const std::string ran = body["error"]["ran"].asString();
    const auto compare = [&](const char* key, const std::string& actual) -> std::optional<std::string> {
        if (matches<std::string>(wanted, key, actual))
            return std::nullopt;
        return fmt::format("answer '{}': {}: expected '{}', actual '{}' in {} {}", name, key,
            wanted[key].value_or(std::string()), actual, answer.transportError, writeJson(body).substr(0, 600));
    };
    if (auto fault = compare("state", body["state"].asString()))
        return fault;
    if (auto fault = compare("code", code))
        return fault;
    if (auto fault = compare("ran", ran))
        return fault;
    if (auto fault = compare("reason", body["failures"][0]["reason"].asString()))
        return fault;
    if (auto fault = compare("outcome", body["failures"][0]["outcome"].asString()))
        return fault;
    if (!matches<std::int64_t>(wanted, "status", answer.status))
        return fmt::format("answer '{}': expected status {}, actual {}", name, wanted["status"].value_or(0), answer.status);
    const bool lost = !answer.transportError.empty();
    if (!matches<bool>(wanted, "lost", lost))
        return fmt::format("answer '{}': expected lost {}, actual {}", name, !lost, lost);
    return std::nullopt;
}

std::optional<std::string> ScenarioRecord::unmetExit(const toml::table& wanted)
{
    const std::string process = wanted["process"].value_or(std::string());
    m_deployment.processes().reap();
    const auto code = m_deployment.processes().exitCode(process);
    const int expected = wanted["code"].value_or(0);
    if (code && *code == expected)
        return std::nullopt;
    return fmt::format(
        "exit of {}: expected {}, actual {}", process, expected, code ? std::to_string(*code) : "still running");
}

std::optional<std::string> ScenarioRecord::unmetRelay(const toml::table& wanted)
{
    const FaultRelay& relay = m_deployment.relay(wanted["name"].value_or(std::string()));
    const std::int64_t swallowed = wanted["swallowed"].value_or(std::int64_t { 0 });
    const std::int64_t repeated = wanted["repeated"].value_or(std::int64_t { 0 });
    if (relay.swallowed() >= swallowed && relay.repeated() >= repeated)
        return std::nullopt;
    return fmt::format("relay: expected {} swallowed and {} repeated, actual {} and {}", swallowed, repeated,
        relay.swallowed(), relay.repeated());
}

std::optional<std::string> ScenarioRecord::unmetView(const toml::table& wanted)
{
    const std::string process = wanted["process"].value_or(std::string());
    const auto view
        = m_deployment.call(m_deployment.address(process), "knownView", Json::Value(Json::objectValue));
    if (!view.has_value())
        return fmt::format("view of {}: {}", process, describe(view.assume_error()));
    const auto version = view.assume_value()["configurationVersion"].asInt64();
    if (!matches<std::int64_t>(wanted, "configuration", version)) {
        return fmt::format("view of {}: expected configuration {}, actual {}", process,
            wanted["configuration"].value_or(0), version);
    }
    const bool lease = view.assume_value()["hasLease"].asBool();
    if (!matches<bool>(wanted, "lease", lease))
        return fmt::format("view of {}: expected lease {}, actual {}", process, !lease, lease);
    return std::nullopt;
}

void ScenarioRecord::checkAlways()
{
    std::map<std::string, std::string> startedAt;
    for (const auto& start : starts()) {
        if (m_repeatable.contains(start.job))
            continue;
        const std::string key = fmt::format("{}/{} task {}", start.caller, start.job, start.task);
        const auto [first, isNew] = startedAt.emplace(key, fmt::format("{} attempt {}", start.minion, start.attempt));
        if (!isNew) {
            throw ScenarioFailure(fmt::format("at most once: expected one start of {}, actual {} and {} attempt {}", key,
                first->second, start.minion, start.attempt));
        }
    }
    std::map<std::string, std::string> answered;
    for (const auto& [name, answer] : m_answers) {
        const std::string state = answer->body["state"].asString();
        if (state == "failed" && answer->body.isMember("results"))
            throw ScenarioFailure(fmt::format("answer '{}': a failed job has results", name));
        if (state != "complete" && state != "failed")
            continue;
        const auto [first, isNew] = answered.emplace(answer->key, state);
        if (!isNew && first->second != state) {
            throw ScenarioFailure(
                fmt::format("answer '{}': {} is {}, but another caller got {}", name, answer->key, state, first->second));
        }
        if (state == "failed")
            continue;
        std::vector<std::string> results;
        for (const auto& result : answer->body["results"])
            results.push_back(result.asString());
        if (!answer->expected.empty() && results != answer->expected) {
            throw ScenarioFailure(fmt::format(
                "answer '{}': expected {} results of its own tasks, actual {}", name, answer->expected.size(), results));
        }
    }
}

std::string ScenarioRecord::context() const
{
    std::string text;
    const std::size_t skipped = m_events.size() > contextLines ? m_events.size() - contextLines : 0;
    std::vector<Json::Value> events = m_events;
    std::stable_sort(events.begin(), events.end(),
        [](const Json::Value& a, const Json::Value& b) { return unixTimeOf(a) < unixTimeOf(b); });
    for (std::size_t i = skipped; i < events.size(); ++i)
        text += fmt::format("    event {}\n", writeJson(events[i]));
    text += fmt::format("    starts in all: {}\n", starts().size());
    for (const auto& [name, answer] : m_answers) {
        text += fmt::format("    answer {}: {}\n", name,
            answer->arrived ? answer->transportError + writeJson(answer->body).substr(0, 300) : "none yet");
    }
    return text;
}

} // namespace oleanderport
