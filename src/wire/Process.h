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

// What every role has: the loop, the settings, the record of events, metrics and the methods it serves.
struct Process {
    Process(EventLoop&, const Settings&);

    // Listens and serves: RPC at /rpc, metrics at /metrics, events at the "events" method, liveness at /healthz.
    // Anything else goes to `other`, or is answered with NotFound when there is none.
    Result<void> listen(HttpHandler other);

    EventLoop& loop;
    Settings settings;
    EventRing events;
    Metrics metrics;
    // Called before the metrics are read, to set those that nothing on the hot path needs to.
    std::vector<std::function<void()>> gaugeUpdaters;
    RpcServer rpc;
    std::unique_ptr<HttpServer> server;
    // Null unless the settings name an address for metrics alone.
    std::unique_ptr<HttpServer> metricsServer;

private:
    Result<void> listenForMetrics();
    void replyMetrics(HttpResponder&);
};

// A role of the daemon, from start to its graceful end.
class RoleProcess {
public:
    virtual ~RoleProcess() = default;

    virtual Result<void> start() = 0;

    // Accepts nothing further, finishes or hands over what is in flight, then calls back.
    virtual void shutDown(std::function<void()> done) = 0;

    // Takes over settings that may change while the process runs.
    virtual void reconfigure(const Settings&) = 0;
};

// A random number that differs from start to start.
std::uint64_t makeRandomSeed();

// A name for one life of a process that no other life has.
std::string makeIncarnationName(const std::string& instance);

// Answers a caller or operator with an error as JSON.
void replyError(HttpResponder&, const Error&);

} // namespace oleanderport
