#include "wire/Process.h"

#include "base/Log.h"

#include <fmt/format.h>

#include <random>

#include <sys/resource.h>

namespace oleanderport {

namespace {

    constexpr std::size_t eventCapacity = 20'000;
    constexpr Milliseconds idleConnectionTimeout { 120'000 };
    constexpr const char* metricsPath = "/metrics";

    constexpr double bytesPerKilobyte = 1024;

    double secondsOf(const timeval& time)
    {
        constexpr double microsecondsPerSecond = 1e6;
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
    }

    void serveEvents(const EventRing& ring, const Json::Value& params, const RpcReply& reply)
    {
        const bool hasAfter = params.isObject() && params["after"].isUInt64();
        Json::Value answer(Json::objectValue);
        answer["forgotten"] = static_cast<Json::UInt64>(ring.overwritten());
        answer["events"] = Json::Value(Json::arrayValue);
        for (const auto& event : ring.since(hasAfter ? params["after"].asUInt64() : 0))
            answer["events"].append(toJson(event));
        reply(answer);
    }

} // namespace

Process::Process(EventLoop& eventLoop, const Settings& ownSettings)
    : loop(eventLoop)
    , settings(ownSettings)
    , events(ownSettings.instance, eventCapacity, eventLoop.logicalClock())
    , intake(std::make_shared<RequestIntake>(RequestIntakeOptions { .maxBytes = bufferedBytesLimit(ownSettings),
          .maxConnections = static_cast<std::size_t>(ownSettings.maxConnections),
          .maxHeaderLines = static_cast<std::size_t>(ownSettings.maxHeaderLines) }))
{
    rpc.limitAnswers(static_cast<std::size_t>(ownSettings.maxBodyBytes));
    rpc.useClock(eventLoop.logicalClock());
    rpc.add("events", [this](const Json::Value& params, const RpcReply& reply) { serveEvents(events, params, reply); });
}

Result<void> Process::listen(HttpHandler other)
{
    const HttpServerOptions options { .address = settings.listen,
        .maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes),
        .maxJsonValues = settings.maxJsonValues ? std::optional(static_cast<std::size_t>(*settings.maxJsonValues)) : std::nullopt,
        .idleTimeout = idleConnectionTimeout,
        .intake = intake };
    BOOST_OUTCOME_TRY(server,
        HttpServer::listen(loop, options,
            [this, other = std::move(other)](HttpRequest&& request, std::shared_ptr<HttpResponder> responder) {
                if (request.body.size() > static_cast<std::size_t>(settings.maxBodyBytes)) {
                    return replyError(*responder,
                        { .code = ErrorCode::BodyTooLarge,
                            .ran = Ran::No,
                            .step = "http",
                            .peer = request.peer,
                            .message = fmt::format("body: expected at most {} bytes", settings.maxBodyBytes) });
                }
                if (request.path == rpcPath)
                    return rpc.serve(request, std::move(responder));
                if (request.path == metricsPath)
                    return replyMetrics(*responder);
                if (request.path == "/healthz")
                    return responder->reply({ .body = "{\"ok\":true}" });
                if (other)
                    return other(std::move(request), std::move(responder));
                replyError(*responder,
                    { .code = ErrorCode::NotFound, .ran = Ran::No, .step = "http", .message = "no such path" });
            }));
    if (!settings.metricsListen.empty()) {
        BOOST_OUTCOME_TRYV(listenForMetrics());
    }
    events.record(EventKind::ProcessStarted);
    return boost::outcome_v2::success();
}

Result<void> Process::listenForMetrics()
{
    const HttpServerOptions options { .address = settings.metricsListen, .idleTimeout = idleConnectionTimeout, .intake = intake };
    BOOST_OUTCOME_TRY(metricsServer,
        HttpServer::listen(loop, options, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
            if (request.path == metricsPath)
                return replyMetrics(*responder);
            replyError(*responder, { .code = ErrorCode::NotFound, .ran = Ran::No, .step = "http", .message = "no such path" });
        }));
    return boost::outcome_v2::success();
}

void Process::replyMetrics(HttpResponder& responder)
{
    for (const auto& update : gaugeUpdaters)
        update();
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    metrics.set("process_cpu_seconds", secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime));
    metrics.set("process_peak_resident_bytes", static_cast<double>(usage.ru_maxrss) * bytesPerKilobyte);
    metrics.set("request_bytes_held", static_cast<double>(intake->bytes()));
    metrics.set("requests_refused_too_large", static_cast<double>(intake->refused(RequestRefusal::TooLarge)));
    metrics.set("requests_refused_header_lines", static_cast<double>(intake->refused(RequestRefusal::TooManyHeaders)));
    metrics.set("requests_refused_over_budget", static_cast<double>(intake->refused(RequestRefusal::OverBudget)));
    metrics.set("connections_closed_idle", static_cast<double>(intake->closedIdle()));
    metrics.set("log_lines_dropped", static_cast<double>(droppedLogLines()));
    responder.reply({ .contentType = "text/plain; version=0.0.4", .body = metrics.text() });
}

std::uint64_t makeRandomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string makeIncarnationName(const std::string& instance) { return fmt::format("{}/{:016x}", instance, makeRandomSeed()); }

void replyError(HttpResponder& responder, const Error& error)
{
    Json::Value body(Json::objectValue);
    body["error"] = errorToJson(error);
    responder.reply(
        { .status = httpStatus(error.code), .body = writeJson(body), .retryAfter = error.retryAfter });
}

} // namespace oleanderport
