// A fake minion: simulates each task with a timer as its payload says and records every start in a file.

#include "base/Log.h"
#include "wire/ControlMessages.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"
#include "wire/MessageCodec.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>

namespace {

using namespace oleanderport;

constexpr Milliseconds callTimeout { 1'000 };
// The sidecar answers when all tasks in progress have ended.
constexpr Milliseconds leaveTimeout { 60'000 };
constexpr int badPayload = 400;
constexpr std::size_t maxBodyBytes = 16 * 1024 * 1024;

struct FakeMinionOptions {
    std::string listen;
    std::string sidecar;
    MinionAnnouncement announcement;
    Milliseconds heartbeat {};
    // Each start appends a line "caller job task attempt" to this file.
    std::string startsFile;
};

// Behaviour that a payload requests: {"sleepMs":N,"fail":true,"refuse":true,"hang":true,"echo":"text",
// "memoryMb":N,"cpuMillis":N}; the last two are the reported usage. Any other payload is echoed immediately.
struct Script {
    Milliseconds sleep {};
    bool fail { false };
    bool refuse { false };
    bool hang { false };
    std::string echo;
    std::int64_t memoryMb { 0 };
    std::int64_t cpuMillis { 0 };
};

Script readScript(const std::string& payload)
{
    Script script { .echo = payload };
    const auto parsed = parseJson(payload);
    if (!parsed.has_value() || !parsed.assume_value().isObject())
        return script;
    const Json::Value& value = parsed.assume_value();
    script.sleep.count = value.get("sleepMs", 0).asInt64();
    script.fail = value.get("fail", false).asBool();
    script.refuse = value.get("refuse", false).asBool();
    script.hang = value.get("hang", false).asBool();
    script.memoryMb = value.get("memoryMb", 0).asInt64();
    script.cpuMillis = value.get("cpuMillis", 0).asInt64();
    script.echo = value.get("echo", payload).asString();
    return script;
}

class FakeMinion {
public:
    FakeMinion(EventLoop& loop, const FakeMinionOptions& options)
        : m_loop(loop)
        , m_options(options)
        , m_sidecar(loop, options.sidecar)
        , m_starts(options.startsFile, std::ios::app)
    {
    }

    Result<void> start()
    {
        BOOST_OUTCOME_TRY(m_server,
            HttpServer::listen(m_loop, { .address = m_options.listen, .maxBodyBytes = maxBodyBytes },
                [this](HttpRequest&& request, std::shared_ptr<HttpResponder> responder) {
                    serve(request, std::move(responder));
                }));
        m_timer = m_loop.every(m_options.heartbeat, [this] { heartbeat(); });
        announce();
        return boost::outcome_v2::success();
    }

    void leave(const std::function<void()>& done)
    {
        if (!m_timer)
            return;
        m_timer.reset();
        const HttpCall call { .path = "/v1/minion/leave",
            .body = writeJson(toJson(MinionHeartbeat { .minion = m_options.announcement.minion })),
            .timeout = leaveTimeout };
        m_sidecar.call(call, [done](const Result<HttpAnswer>&) { done(); });
    }

private:
    struct Running {
        std::shared_ptr<HttpResponder> responder;
        std::unique_ptr<EventLoop::Timer> timer;
        Script script;
    };

    void post(const std::string& path, const Json::Value& body, HttpCallback callback)
    {
        m_sidecar.call({ .path = path, .body = writeJson(body), .timeout = callTimeout }, std::move(callback));
    }

    void announce()
    {
        post("/v1/minion/announce", toJson(m_options.announcement), [](const Result<HttpAnswer>&) {});
    }

    void heartbeat()
    {
        reportUsage();
        post("/v1/minion/heartbeat", toJson(MinionHeartbeat { .minion = m_options.announcement.minion }),
            [this](const Result<HttpAnswer>& answer) {
                if (!answer.has_value() || answer.assume_value().status != 200)
                    announce();
            });
    }

    void reportUsage()
    {
        MinionUsage usage { .minion = m_options.announcement.minion };
        for (const auto& [id, running] : m_running)
            usage.runs.push_back(
                { .run = id, .cpuMillis = running.script.cpuMillis, .memoryMb = running.script.memoryMb });
        if (!usage.runs.empty())
            post("/v1/minion/usage", toJson(usage), [](const Result<HttpAnswer>&) {});
    }

    void serve(const HttpRequest& request, std::shared_ptr<HttpResponder> responder)
    {
        const auto body = parseJson(request.body);
        if (!body.has_value())
            return responder->reply({ .status = badPayload });
        if (request.path == "/throttle" || request.path == "/checkpoint") {
            // Only logged: a fake task cannot be slowed down or checkpointed.
            const auto named = fromJson<MinionStop>(body.assume_value());
            if (named.has_value())
                log(LogLevel::Info, { .step = "fake.order" },
                    fmt::format("{} {}", request.path.substr(1), named.assume_value().run));
            return responder->reply({ .body = "{}" });
        }
        if (request.path == "/stop") {
            const auto stop = fromJson<MinionStop>(body.assume_value());
            if (stop.has_value())
                finish(stop.assume_value().run, false, "stopped");
            return responder->reply({ .body = "{}" });
        }
        const auto run = fromJson<MinionRun>(body.assume_value());
        if (!run.has_value())
            return responder->reply({ .status = badPayload });
        begin(run.assume_value(), std::move(responder));
    }

    void begin(const MinionRun& run, std::shared_ptr<HttpResponder> responder)
    {
        const Script script = readScript(run.payload);
        const bool full = m_running.size() >= static_cast<std::size_t>(m_options.announcement.slots);
        if (script.refuse || full)
            return responder->reply({ .status = 503, .body = "{}" });
        m_starts << fmt::format("{} {} {} {}\n", run.caller, run.job, run.task, run.attempt) << std::flush;
        Running& running = m_running[run.run];
        running.responder = std::move(responder);
        running.script = script;
        if (script.hang)
            return;
        running.timer = m_loop.once(script.sleep, [this, id = run.run, script] { finish(id, !script.fail, script.echo); });
    }

    void finish(const std::string& run, bool ok, const std::string& body)
    {
        const auto found = m_running.find(run);
        if (found == m_running.end())
            return;
        const MinionRunAnswer answer { .run = run, .ok = ok, .body = body };
        const auto responder = found->second.responder;
        m_running.erase(found);
        responder->reply({ .body = writeJson(toJson(answer)) });
    }

    EventLoop& m_loop;
    FakeMinionOptions m_options;
    HttpConnection m_sidecar;
    std::ofstream m_starts;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::map<std::string, Running> m_running;
};

int runMain(int argc, char** argv)
{
    cxxopts::Options options("fake-minion", "Fake minion for tests");
    options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
        "sidecar", "IP:port of the sidecar", cxxopts::value<std::string>())(
        "service", "Service name", cxxopts::value<std::string>())("name", "Name of this incarnation",
        cxxopts::value<std::string>())("rack", "Rack", cxxopts::value<std::string>()->default_value("rack-1"))(
        "slots", "Slots", cxxopts::value<std::int64_t>()->default_value("8"))(
        "connections", "Connections", cxxopts::value<std::int64_t>()->default_value("64"))(
        "starts", "File that records every start", cxxopts::value<std::string>()->default_value("/dev/null"));
    const auto arguments = options.parse(argc, argv);
    const std::string listen = arguments["listen"].as<std::string>();
    const FakeMinionOptions minion { .listen = listen,
        .sidecar = arguments["sidecar"].as<std::string>(),
        .announcement = { .minion = arguments["name"].as<std::string>(),
            .address = listen,
            .service = arguments["service"].as<std::string>(),
            .rack = arguments["rack"].as<std::string>(),
            .slots = arguments["slots"].as<std::int64_t>(),
            .connections = arguments["connections"].as<std::int64_t>(),
            .cpuMillis = 64'000,
            .memoryMb = 128'000,
            .accelerators = 0 },
        .heartbeat = { 500 },
        .startsFile = arguments["starts"].as<std::string>() };
    configureLog(LogLevel::Info, "fake-minion", minion.announcement.minion);
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    FakeMinion fake(loop, minion);
    const auto started = fake.start();
    if (!started.has_value()) {
        logError(LogLevel::Error, started.assume_error());
        return 1;
    }
    const auto onTerm = loop.onSignal(SIGTERM, [&] { fake.leave([&loop] { loop.stop(); }); });
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runMain(argc, argv);
    } catch (const std::exception& exception) {
        fmt::print(stderr, "fake-minion: {}\n", exception.what());
        return 2;
    }
}
