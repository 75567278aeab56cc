#include "support/Scenario.h"

#include "support/ScenarioRandom.h"
#include "support/ScenarioRecord.h"
#include "wire/HttpClient.h"
#include "wire/MessageCodec.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

namespace oleanderport {

namespace {

    constexpr std::int64_t defaultDeadline = 45'000;
    constexpr std::int64_t defaultWait = 50'000;
    constexpr Milliseconds callerTimeout { 55'000 };

    class ScratchFolder {
    public:
        ScratchFolder()
        {
            std::string pattern = std::filesystem::temp_directory_path() / "scenario-XXXXXX";
            if (!mkdtemp(pattern.data()))
                throw ScenarioFailure("cannot create a temporary folder");
            m_path = pattern;
        }
        ~ScratchFolder()
        {
            std::error_code ignored;
            std::filesystem::remove_all(m_path, ignored);
        }
        ScratchFolder(const ScratchFolder&) = delete;
        ScratchFolder& operator=(const ScratchFolder&) = delete;

        const std::filesystem::path& path() const { return m_path; }

    private:
        std::filesystem::path m_path;
    };

    std::string text(const toml::table& table, const char* key, const std::string& absent = {})
    {
        return table[key].value_or(absent);
    }

    std::string required(const toml::table& table, const char* key)
    {
        const auto value = table[key].value<std::string>();
        if (!value)
            throw ScenarioFailure(fmt::format("line {}: '{}' is missing", table.source().begin.line, key));
        return *value;
    }

    std::int64_t number(const toml::table& table, const char* key, std::int64_t absent)
    {
        return table[key].value_or(absent);
    }

    // Payload that tells a fake minion how to handle one task; see FakeMinion.cpp.
    std::string payloadOf(const toml::table& step, const std::string& echo, std::int64_t index)
    {
        Json::Value payload(Json::objectValue);
        payload["echo"] = echo;
        payload["sleepMs"] = static_cast<Json::Int64>(number(step, "sleep_ms", 0) + index * number(step, "sleep_step_ms", 0));
        for (const char* flag : { "fail", "refuse", "hang" }) {
            if (step[flag].value_or(false))
                payload[flag] = true;
        }
        return writeJson(payload);
    }

    Json::Value needsOf(const toml::table& step)
    {
        Json::Value needs(Json::objectValue);
        needs["memoryMb"] = static_cast<Json::Int64>(number(step, "memory_mb", 0));
        return needs;
    }

    // A submission as its caller keeps it, so that an identical one can be resent.
    struct Submission {
        std::string key;
        std::string path;
        std::string body;
        std::vector<std::string> expected;
    };

    class ScenarioRun {
    public:
        ScenarioRun(const toml::table& scenario, const DeploymentOptions& options)
            : m_scenario(scenario)
            , m_deployment(m_loop, scenario, options)
            , m_record(m_deployment)
        {
        }

        void run()
        {
            m_deployment.startAll();
            if (const auto* steps = m_scenario["step"].as_array()) {
                for (const auto& item : *steps)
                    perform(*item.as_table());
            }
            judge(true);
            if (m_scenario["stop"].value_or(std::string("graceful")) != "kill") {
                m_record.collectEvents();
                m_deployment.stopAll();
            }
            // All late starts and answers have been recorded by now.
            judge(false);
        }

        std::string context() const { return m_record.context(); }

    private:
        void judge(bool mayWait)
        {
            if (const auto* expectations = m_scenario["expect"].as_array()) {
                for (const auto& item : *expectations) {
                    if (mayWait)
                        await(*item.as_table());
                    else if (const auto fault = unmetAfterStop(*item.as_table()))
                        throw ScenarioFailure("after the stop: " + *fault);
                }
            }
            m_record.checkAlways();
        }

        // Stopped processes answer no calls, so only conditions on recorded starts, answers and events are checked.
        std::optional<std::string> unmetAfterStop(const toml::table& condition)
        {
            toml::table lasting;
            for (const char* key : { "starts", "answer", "event", "nothing_starts_after_out" }) {
                if (const auto* node = condition.get(key))
                    lasting.insert(key, *node);
            }
            return m_record.unmet(lasting);
        }

        void await(const toml::table& condition)
        {
            std::optional<std::string> fault;
            m_deployment.until(
                [&] {
                    m_record.collectEvents();
                    fault = m_record.unmet(condition);
                    return !fault;
                },
                [&] { return *fault; });
        }

        void perform(const toml::table& step)
        {
            const std::string action = required(step, "do");
            if (action == "wait")
                return await(step);
            if (action == "submit" || action == "request" || action == "cancel" || action == "find") {
                performCaller(action, step);
                return;
            }
            if (action == "settle")
                return settle(step);
            if (action == "pass") {
                const Milliseconds until = Clock::now() + Milliseconds { number(step, "ms", 0) };
                return m_deployment.until([until] { return Clock::now() >= until; }, [] { return std::string(); });
            }
            if (action == "fault")
                return m_deployment.relay(required(step, "relay")).setFault(faultOf(step));
            if (action == "operator")
                return performOperator(step);
            if (action == "run_daemon")
                return m_deployment.startWith(required(step, "process"), required(step, "settings"));
            performProcess(action, required(step, "process"));
        }

        void performProcess(const std::string& action, const std::string& name)
        {
            ScenarioProcesses& processes = m_deployment.processes();
            if (action == "start")
                return m_deployment.start(name);
            if (action == "remove_data") {
                std::filesystem::remove_all(m_deployment.dataFolder(name));
                return;
            }
            if (action == "save_data" || action == "restore_data") {
                const std::filesystem::path saved = m_deployment.dataFolder(name) + ".saved";
                const std::filesystem::path data = m_deployment.dataFolder(name);
                std::filesystem::remove_all(action == "save_data" ? saved : data);
                std::filesystem::copy(action == "save_data" ? data : saved, action == "save_data" ? saved : data,
                    std::filesystem::copy_options::recursive);
                return;
            }
            m_record.collectEvents();
            if (action == "terminate")
                return processes.signal(name, SIGTERM);
            if (action == "freeze")
                return processes.signal(name, SIGSTOP);
            if (action == "resume")
                return processes.signal(name, SIGCONT);
            if (action != "kill")
                throw ScenarioFailure(fmt::format("unknown step '{}'", action));
            processes.signal(name, SIGKILL);
            m_deployment.until(
                [&] {
                    processes.reap();
                    return !processes.isRunning(name);
                },
                [&] { return name + " did not exit"; });
        }

        static RelayFault faultOf(const toml::table& step)
        {
            return { .dropRequests = step["drop_requests"].value_or(false),
                .dropAnswers = step["drop_answers"].value_or(false),
                .refuse = step["refuse"].value_or(false),
                .delay = { number(step, "delay_ms", 0) },
                .swallowAnswers = number(step, "swallow_answers", 0),
                .repeatAfter = { number(step, "repeat_after_ms", 0) } };
        }

        void performOperator(const toml::table& step)
        {
            std::vector<std::string> arguments;
            for (const auto& argument : *step["args"].as_array())
                arguments.push_back(argument.value_or(std::string()));
            if (const auto document = step["document"].value<std::string>()) {
                const std::string file = m_deployment.folder() / "change.toml";
                std::ofstream(file) << *document;
                arguments.insert(arguments.end(), { "--file", file });
            }
            const int code = m_deployment.runTool(arguments);
            const int expected = step["exit"].value_or(0);
            if (code != expected) {
                throw ScenarioFailure(
                    fmt::format("operator's {}: expected exit {}, actual {}", arguments.front(), expected, code));
            }
        }

        Submission makeSubmission(const std::string& action, const toml::table& step)
        {
            const std::string caller = text(step, "caller", "caller-1");
            const std::string job = text(step, "job", text(step, "answer"));
            const std::int64_t tasks = action == "request" ? 1 : number(step, "tasks", 1);
            Json::Value body(Json::objectValue);
            body["caller"] = caller;
            body["team"] = text(step, "team", "team-1");
            body["service"] = text(step, "service", "echo");
            body["deadlineUnixMs"]
                = static_cast<Json::Int64>((Clock::unixNow().count + number(step, "deadline_ms", defaultDeadline)));
            Submission made { .key = caller + "/" + job };
            const std::string pad(static_cast<std::size_t>(number(step, "answer_bytes", 0)), 'x');
            for (std::int64_t i = 0; i < tasks; ++i)
                made.expected.push_back(fmt::format("{} answer {}{}", job, i, pad));
            if (action == "request") {
                made.path = "/v1/requests";
                if (!step["anonymous"].value_or(false))
                    body["request"] = job;
                body["idempotent"] = step["idempotent"].value_or(false);
                body["payload"] = payloadOf(step, made.expected.front(), 0);
                if (step["idempotent"].value_or(false))
                    m_record.allowRepeats(job);
            } else {
                made.path = fmt::format("/v1/jobs?waitMs={}", number(step, "wait_ms", defaultWait));
                body["job"] = job;
                for (std::size_t i = 0; i < made.expected.size(); ++i) {
                    Json::Value task(Json::objectValue);
                    task["payload"] = payloadOf(step, made.expected[i], static_cast<std::int64_t>(i));
                    task["needs"] = needsOf(step);
                    body["tasks"].append(task);
                }
            }
            made.body = text(step, "body", writeJson(body));
            return made;
        }

        // Resubmits a job until it has a final answer.
        void settle(const toml::table& step)
        {
            const std::string name = required(step, "answer");
            std::shared_ptr<RecordedAnswer> answer;
            int tries = 0;
            m_deployment.until(
                [&] {
                    if (answer && !answer->arrived)
                        return false;
                    if (answer && isFinal(answer->body))
                        return true;
                    toml::table again = step;
                    again.insert_or_assign("answer", fmt::format("{}-{}", name, ++tries));
                    answer = performCaller("submit", again);
                    return false;
                },
                [&] { return fmt::format("{} has no final answer: {}", name, writeJson(answer->body)); });
        }

        // deadline_passed and answer_gone are final too: after the deadline, or after the loss of the owner and a
        // sidecar, the outcome of the job can no longer be determined.
        static bool isFinal(const Json::Value& body)
        {
            const std::string state = body["state"].asString();
            const std::string code = body["error"]["code"].asString();
            return state == "complete" || state == "failed" || code == "deadline_passed" || code == "answer_gone";
        }

        std::shared_ptr<RecordedAnswer> performCaller(const std::string& action, const toml::table& step)
        {
            const std::string name = required(step, "answer");
            const std::string same = text(step, "same_as");
            HttpCall call { .method = HttpMethod::Post, .path = {}, .body = {}, .timeout = callerTimeout };
            auto answer = m_record.addAnswer(name);
            if (action == "cancel" || action == "find") {
                answer->key = text(step, "caller", "caller-1") + "/" + required(step, "job");
                call.method = action == "cancel" ? HttpMethod::Delete : HttpMethod::Get;
                call.path = fmt::format("/v1/jobs/{}?waitMs={}", answer->key, number(step, "wait_ms", defaultWait));
            } else {
                const Submission& submission
                    = m_submissions[name] = same.empty() ? makeSubmission(action, step) : m_submissions.at(same);
                answer->key = submission.key;
                answer->expected = submission.expected;
                call.path = submission.path;
                call.body = submission.body;
            }
            // Each caller has its own connection, which stays open until the run ends.
            m_callers.push_back(
                std::make_unique<HttpConnection>(m_loop, m_deployment.address(required(step, "entry"))));
            m_callers.back()->call(call, [answer](const Result<HttpAnswer>& result) {
                answer->arrived = true;
                if (!result.has_value()) {
                    answer->transportError = describe(result.assume_error());
                    return;
                }
                answer->status = result.assume_value().status;
                const auto body = parseJson(result.assume_value().body);
                if (body.has_value())
                    answer->body = body.assume_value();
            });
            return answer;
        }

        EventLoop m_loop;
        const toml::table& m_scenario;
        ScenarioDeployment m_deployment;
        ScenarioRecord m_record;
        std::map<std::string, Submission> m_submissions;
        std::vector<std::unique_ptr<HttpConnection>> m_callers;
    };

} // namespace

std::string runScenario(const ScenarioOptions& options)
{
    try {
        const toml::table scenario
            = options.seed ? randomScenario(*options.seed) : toml::parse_file(options.file.string());
        const ScratchFolder folder;
        ScenarioRun run(scenario,
            { .build = std::filesystem::absolute(options.build),
                .folder = folder.path(),
                .basePort = options.basePort,
                .conditionTimeout = options.conditionTimeout });
        try {
            run.run();
        } catch (const std::exception& failure) {
            return fmt::format("{}\n{}", failure.what(), run.context());
        }
    } catch (const toml::parse_error& error) {
        return fmt::format("line {}: {}", error.source().begin.line, error.description());
    } catch (const std::exception& failure) {
        return failure.what();
    }
    return {};
}

} // namespace oleanderport
