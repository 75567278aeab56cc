#include "cli/Command.h"

#include "wire/ControlClient.h"
#include "wire/Rpc.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace oleanderport {

namespace {

    constexpr Milliseconds controlTimeout { 10'000 };

    // Runs an event loop until a call has set its result.
    template <typename T>
    class PendingResult {
    public:
        void set(const Result<T>& result)
        {
            m_result.emplace(result);
            m_loop.stop();
        }

        Result<T> wait()
        {
            if (!m_result)
                m_loop.run();
            return *m_result;
        }

        EventLoop& loop() { return m_loop; }

    private:
        EventLoop m_loop;
        std::optional<Result<T>> m_result;
    };

} // namespace

const std::vector<Command>& commands()
{
    static const std::vector<Command> all {
        { "submit", "Submit a job to an entry and print its answer", &runSubmit },
        { "job", "Print the state or answer of a job", &runJob },
        { "cancel", "Cancel a job", &runCancel },
        { "validate", "Check an environment document", &runValidate },
        { "apply", "Put an environment document into force", &runApply },
        { "diff", "Print the differences between documents", &runDiff },
        { "promote", "Put the trial document into force in production", &runPromote },
        { "history", "Print the versions of a document", &runHistory },
        { "status", "Print the document in force, the data centres and the members", &runStatus },
        { "datacentre", "Take a data centre out or bring it in", &runDataCentre },
        { "timeline", "Print the events of all processes in causal order", &runTimeline },
        { "explain", "Print the lines of saved logs about one request or job", &runExplain },
        { "explain-placement", "Print where a best-effort job would go now, and why", &runExplainPlacement },
    };
    return all;
}

Result<HttpAnswer> callAndWait(const std::string& address, const HttpCall& call)
{
    PendingResult<HttpAnswer> pending;
    HttpConnection connection(pending.loop(), address);
    connection.call(call, [&pending](const Result<HttpAnswer>& answer) { pending.set(answer); });
    return pending.wait();
}

Result<Json::Value> rpcAndWait(
    const std::string& address, const std::string& method, const Json::Value& params, Milliseconds timeout)
{
    PendingResult<Json::Value> pending;
    RpcClient client(pending.loop(), address);
    client.call(method, params, timeout, [&pending](const Result<Json::Value>& answer) { pending.set(answer); });
    return pending.wait();
}

Result<Json::Value> controlAndWait(
    const std::vector<std::string>& peers, const std::string& method, const Json::Value& params)
{
    PendingResult<Json::Value> pending;
    ControlClient client(pending.loop(), peers);
    client.call(ControlClient::Channel::Batched, method, params, controlTimeout,
        [&pending](const Result<Json::Value>& answer) { pending.set(answer); });
    return pending.wait();
}

ExitCode reportError(const Error& error)
{
    fmt::print(stderr, "oleanderport: {}\n", describe(error));
    if (error.retryAfter.count > 0)
        fmt::print(stderr, "oleanderport: retry after {} ms\n", error.retryAfter.count);
    if (error.code == ErrorCode::Unavailable || error.code == ErrorCode::Timeout)
        return ExitCode::Unreachable;
    return error.code == ErrorCode::BadSettings ? ExitCode::BadUsage : ExitCode::Refused;
}

Result<std::string> readFile(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file) {
        return Error { .code = ErrorCode::BadSettings,
            .ran = Ran::No,
            .step = "cli.read",
            .peer = path,
            .message = "cannot be read" };
    }
    text << file.rdbuf();
    return text.str();
}

std::string prettyJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    return Json::writeString(builder, value);
}

} // namespace oleanderport
