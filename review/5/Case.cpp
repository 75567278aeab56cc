// A client cancels a job. The channel of its request to the node that has the job is reset, so the client asks another node,
// as the pages say. That node answers that no such job exists, and the job runs to its end.

#include "Deployment.h"
#include "Ports.h"
#include "Relay.h"

#include <fmt/format.h>

#include <filesystem>

using namespace oleanderport;
using namespace oleanderport::review;

namespace {

constexpr int minions = 2;
constexpr Milliseconds timeBudget { 9'000 };
constexpr Milliseconds beforeCancel { 300 };
constexpr Milliseconds callTimeout { 500 };
// `cancel_ms` and `stopGraceMs`.
constexpr Milliseconds cancelTime { 3'000 };
constexpr Milliseconds stopGrace { 50 };

const char* const config
    = R"({"version":7,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/jobs/","kind":"non_idempotent","timeoutMs":9000,)"
      R"("targetLatencyMs":60,"priority":0,"service":"s1","maxAttempts":3,"stretch":1.6}],)"
      R"("services":[{"name":"s1","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,)"
      R"("coldPerS":0.0,"rejectsOverload":true,"standby":false}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const char* const job
    = R"({"spec":"900","bestEffort":true,"steps":[{"count":2,"cpu":3100,"memMb":64,"estimatedMs":900},)"
      R"({"count":2,"cpu":3100,"memMb":64,"estimatedMs":900,"after":[0]},{"count":2,"cpu":3100,"memMb":64,"estimatedMs":900,"after":[1]},)"
      R"({"count":2,"cpu":3100,"memMb":64,"estimatedMs":900,"after":[2]},{"count":2,"cpu":3100,"memMb":64,"estimatedMs":900,"after":[3]},)"
      R"({"count":2,"cpu":3100,"memMb":64,"estimatedMs":900,"after":[4]},{"count":2,"cpu":3100,"memMb":64,"estimatedMs":900,"after":[5]}]})";
const char* const path = "/jobs/00000000000000d5";

int run(const std::filesystem::path& folder)
{
    Deployment deployment(folder, { .controls = 3, .entries = 2, .sidecars = minions });
    std::vector<std::unique_ptr<Minion>> workers;
    for (int number = 1; number <= minions; ++number) {
        workers.push_back(std::make_unique<Minion>(deployment.loop, deployment.record,
            MinionOptions { .id = fmt::format("i-{}", number),
                .service = "s1",
                .zone = Deployment::zone(number),
                .rack = fmt::format("r{}", number),
                .listen = freeLoopbackAddress(),
                .sidecar = deployment.reportAddress(number),
                .born = Clock::unixNow() }));
    }
    deployment.start(config);
    deployment.runFor({ 4'000 });

    const auto submission = deployment.send(1, HttpMethod::Post, path, job, timeBudget);
    deployment.runFor(beforeCancel);
    const std::string address = freeLoopbackAddress();
    Relay relay(deployment.loop, address, deployment.clientAddress(1));
    if (deployment.hasTrouble) {
        relay.resetNewChannels();
        deployment.record.add("the channel of the cancelling to entry-1 is reset");
    }
    auto cancelling = deployment.sendThrough(address, 1, HttpMethod::Delete, path, "", callTimeout);
    deployment.runUntil([&] { return cancelling->hasEnded(); }, { 5'000 });
    if (!cancelling->isAnswered())
        cancelling = deployment.send(2, HttpMethod::Delete, path, "", callTimeout);
    deployment.runUntil([&] { return cancelling->hasEnded() && submission->hasEnded(); }, { 11'000 });
    if (cancelling->status != 200 && cancelling->status != 410)
        throw CannotRun("the cancelling was not acknowledged");
    deployment.runFor({ 1'000 });

    int late = 0;
    for (const auto& each : deployment.record.runs()) {
        const Milliseconds startsUntil = cancelling->endedAt + cancelTime;
        const bool startedLate = each.startedAt > startsUntil;
        const bool ranOn = each.endedAt.count == 0 || each.endedAt > startsUntil + stopGrace;
        if (!startedLate && !ranOn)
            continue;
        ++late;
        deployment.record.add(fmt::format("UNASKED: {} at {} {} {} ms after the cancelling was acknowledged with {}", each.task, each.minion,
            startedLate ? "started" : "still ran", ((startedLate ? each.startedAt : each.endedAt) - cancelling->endedAt).count, cancelling->status));
    }
    return late == 0 ? ruleHeld : ruleBroken;
}

} // namespace

int main(int, char** argv)
{
    return runCase([argv] { return run(argv[1]); });
}
