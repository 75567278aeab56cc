#pragma once

#include "base/EventRing.h"
#include "base/Metrics.h"
#include "base/Settings.h"
#include "wire/EventLoop.h"
#include "wire/HttpServer.h"
#include "wire/Rpc.h"

#include <functional>
#include <memory>
#include <vector>

namespace oleanderport {

// The parts common to all roles: event loop, settings, event log, metrics and RPC methods.
struct Process {
    Process(EventLoop&, const Settings&);

    // Listens and serves RPC at /rpc (events: method "events"), metrics at /metrics and liveness at /healthz.
    // Any other path goes to `other`, or gets NotFound when `other` is empty.
    Result<void> listen(HttpHandler other);

    EventLoop& loop;
    Settings settings;
    EventRing events;
    Metrics metrics;
    // Called before each read of the metrics, to set gauges that need no update on the hot path.
    std::vector<std::function<void()>> gaugeUpdaters;
    // Of all servers of the process, those of an adapter included.
    std::shared_ptr<RequestIntake> intake;
    RpcServer rpc;
    std::unique_ptr<HttpServer> server;
    // Null unless the settings give a separate address for metrics.
    std::unique_ptr<HttpServer> metricsServer;

private:
    Result<void> listenForMetrics();
    void replyMetrics(HttpResponder&);
};

// A role of the daemon, from start to graceful shutdown.
class RoleProcess {
public:
    virtual ~RoleProcess() = default;

    virtual Result<void> start() = 0;

    // Stops accepting work, finishes or hands over the work in flight, then calls back.
    virtual void shutDown(std::function<void()> done) = 0;

    // Applies the settings that may change while the process runs.
    virtual void reconfigure(const Settings&) = 0;
};

// A random number that differs at each process start.
std::uint64_t makeRandomSeed();

// A unique name for one incarnation of a process.
std::string makeIncarnationName(const std::string& instance);

// Replies to a caller or operator with an error as JSON.
void replyError(HttpResponder&, const Error&);

} // namespace oleanderport
