#include "sidecar/MinionClient.h"

#include "base/Log.h"
#include "wire/MessageCodec.h"

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr Milliseconds requestTimeout { 2'000 };
    constexpr int httpOk = 200;
    constexpr int httpServiceUnavailable = 503;

    MinionRunEnd parseRunEnd(const std::string& run, const Result<HttpAnswer>& answer)
    {
        MinionRunEnd end { .run = run, .outcome = TaskOutcome::Unknown, .body = {}, .ranFor = {} };
        if (!answer.has_value()) {
            const Error& error = answer.assume_error();
            end.outcome = error.ran == Ran::No ? TaskOutcome::NotStarted : TaskOutcome::Unknown;
            end.body = "minion: " + error.message;
            return end;
        }
        if (answer.assume_value().status == httpServiceUnavailable) {
            // By the contract with minions, 503 means that the task was not started.
            end.outcome = TaskOutcome::NotStarted;
            end.body = "the minion refused to start the run";
            return end;
        }
        const auto parsed = parseJson(answer.assume_value().body);
        if (!parsed.has_value() || answer.assume_value().status != httpOk) {
            end.body = "unreadable answer of the minion";
            return end;
        }
        const auto message = fromJson<MinionRunAnswer>(parsed.assume_value());
        if (!message.has_value() || message.assume_value().run != run) {
            end.body = "the minion answered for another run";
            return end;
        }
        end.outcome = message.assume_value().ok ? TaskOutcome::Done : TaskOutcome::Failed;
        end.body = message.assume_value().body;
        return end;
    }

} // namespace

MinionClient::MinionClient(EventLoop& loop, const MinionClientOptions& options)
    : m_loop(loop)
    , m_options(options)
    , m_runConnections(static_cast<std::size_t>(std::max<std::int64_t>(options.connections - 1, 1)))
    , m_requestConnection(loop, options.address)
{
}

bool MinionClient::canRun() const
{
    return std::any_of(m_runConnections.begin(), m_runConnections.end(), [](const RunConnection& each) { return !each.busy; });
}

void MinionClient::run(const TaskStart& start, std::function<void(const MinionRunEnd&)> callback)
{
    const auto idle = std::find_if(m_runConnections.begin(), m_runConnections.end(), [](const RunConnection& each) { return !each.busy; });
    if (idle == m_runConnections.end()) {
        return callback({ .run = start.run, .outcome = TaskOutcome::NotStarted, .body = "no free connection" });
    }
    if (!idle->connection)
        idle->connection = std::make_unique<HttpConnection>(m_loop, m_options.address);
    idle->busy = true;
    const MinionRun message { .run = start.run,
        .caller = start.assignment.key.caller,
        .job = start.assignment.key.job,
        .task = start.assignment.task,
        .attempt = start.assignment.attempt,
        .needs = start.assignment.needs,
        .payload = start.assignment.payload };
    const HttpCall call { .method = HttpMethod::Post,
        .path = "/run",
        .body = writeJson(toJson(message)),
        .timeout = m_options.maxRunTime };
    const std::size_t index = static_cast<std::size_t>(idle - m_runConnections.begin());
    const Milliseconds startedAt = Clock::now();
    idle->connection->call(call,
        [this, index, startedAt, run = start.run, callback = std::move(callback)](const Result<HttpAnswer>& answer) {
            MinionRunEnd end = parseRunEnd(run, answer);
            end.ranFor = Clock::now() - startedAt;
            const auto finish = [this, index, end, callback] {
                m_runConnections[index].busy = false;
                callback(end);
            };
            if (end.outcome != TaskOutcome::Unknown)
                return finish();
            // The run may still be in progress, so its slot stays in use until the stop request has been answered or has failed.
            sendRequest("/stop", run, finish);
        });
}

void MinionClient::stop(const std::string& run)
{
    sendRequest("/stop", run, [] {});
}

void MinionClient::throttle(const std::string& run)
{
    sendRequest("/throttle", run, [] {});
}

void MinionClient::checkpoint(const std::string& run)
{
    sendRequest("/checkpoint", run, [] {});
}

void MinionClient::sendRequest(const std::string& path, const std::string& run, const std::function<void()>& done)
{
    const HttpCall call { .method = HttpMethod::Post,
        .path = path,
        .body = writeJson(toJson(MinionStop { .run = run })),
        .timeout = requestTimeout };
    m_requestConnection.call(call, [done](const Result<HttpAnswer>& answer) {
        if (!answer.has_value())
            logError(LogLevel::Warning, answer.assume_error());
        done();
    });
}

} // namespace oleanderport
