// A minion starts while the clock of its machine is ahead, and starts again after the clock has gone back. Its sidecar takes
// the reports of the new life for old ones: it acknowledges that the minion is draining, and goes on starting tasks there.

#include "Deployment.h"
#include "Ports.h"

#include <fmt/format.h>

#include <filesystem>

using namespace oleanderport;
using namespace oleanderport::review;

namespace {

// One of eight crashes: a share of 0.125.
constexpr int minions = 8;
constexpr Milliseconds timeBudget { 1'500 };
// How far the clock jumps.
constexpr Milliseconds clockStep { 2'400 };
constexpr Milliseconds firstLife { 1'000 };
constexpr Milliseconds downTime { 500 };
// A moment without jobs, in which the minion is down and starts again.
constexpr Milliseconds quietAfterStart { 500 };
constexpr Milliseconds secondLife { 4'000 };
// `drainMs` of the pages, and how long the minion goes on serving after its report was acknowledged.
constexpr Milliseconds drainTime { 2'000 };
constexpr Milliseconds servedFor { 5'000 };
constexpr Milliseconds jobPeriod { 50 };

const char* const config
    = R"({"version":7,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/jobs/","kind":"non_idempotent","timeoutMs":1500,)"
      R"("targetLatencyMs":60,"priority":0,"service":"s1","maxAttempts":3,"stretch":1.6}],)"
      R"("services":[{"name":"s1","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,)"
      R"("coldPerS":0.0,"rejectsOverload":true,"standby":false}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const char* const job = R"({"spec":"60","bestEffort":true,"steps":[{"count":2,"cpu":100,"memMb":16,"estimatedMs":60,"requirements":"b"}]})";

int run(const std::filesystem::path& folder)
{
    Deployment deployment(folder, { .controls = 3, .entries = 2, .sidecars = minions });
    std::vector<std::string> addresses;
    for (int number = 1; number <= minions; ++number)
        addresses.push_back(freeLoopbackAddress());
    const auto startMinion = [&](int number, Milliseconds born) {
        return std::make_unique<Minion>(deployment.loop, deployment.record,
            MinionOptions { .id = fmt::format("i-{}", number),
                .service = "s1",
                .zone = Deployment::zone(number),
                .kind = number == 1 ? "b" : "a",
                .rack = fmt::format("r{}", number),
                .listen = addresses.at(static_cast<std::size_t>(number - 1)),
                .sidecar = deployment.reportAddress(number),
                .cpuMillis = 64'000,
                .born = born });
    };
    std::vector<std::unique_ptr<Minion>> others;
    for (int number = 2; number <= minions; ++number)
        others.push_back(startMinion(number, Clock::unixNow()));
    deployment.start(config);
    deployment.runFor({ 4'000 });

    if (deployment.hasTrouble)
        deployment.record.add(fmt::format("the clock of the machine of i-1 jumps {} ms ahead", clockStep.count));
    auto minion = startMinion(1, Clock::unixNow() + (deployment.hasTrouble ? clockStep : Milliseconds {}));
    deployment.runFor(firstLife);
    if (deployment.hasTrouble)
        deployment.record.add("the clock goes back");
    minion->crash();
    minion.reset();
    deployment.runFor(downTime);
    minion = startMinion(1, Clock::unixNow());
    deployment.runFor(quietAfterStart);
    int jobs = 0;
    const auto client = deployment.loop.every(jobPeriod, [&] {
        ++jobs;
        deployment.send(1 + jobs % 2, HttpMethod::Post, fmt::format("/jobs/{:016x}", jobs), job, timeBudget);
    });
    deployment.runFor(secondLife);
    minion->drain();
    if (!deployment.runUntil([&] { return minion->drainAcknowledgedAt().count > 0; }, { 5'000 }))
        throw CannotRun("the report that the minion is draining was not acknowledged");
    deployment.runFor(servedFor);
    const Milliseconds limit = minion->drainAcknowledgedAt() + drainTime;

    int late = 0;
    for (const auto& each : deployment.record.runs()) {
        if (each.minion != "i-1" || each.startedAt <= limit)
            continue;
        ++late;
        deployment.record.add(fmt::format("DRAIN: {} started at i-1 {} ms after it was acknowledged that i-1 is draining", each.task,
            (each.startedAt - minion->drainAcknowledgedAt()).count));
    }
    return late == 0 ? ruleHeld : ruleBroken;
}

} // namespace

int main(int, char** argv)
{
    return runCase([argv] { return run(argv[1]); });
}
