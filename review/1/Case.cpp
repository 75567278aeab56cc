// An operator sends a config with a negative priority. It is neither refused nor acknowledged: it is committed, and each control
// process ends when it applies it, also after each restart. What was acknowledged before can't be read any more.

#include "Deployment.h"
#include "Ports.h"

#include <fmt/format.h>

#include <filesystem>

using namespace oleanderport;
using namespace oleanderport::review;

namespace {

constexpr int minions = 3;
constexpr Milliseconds timeBudget { 1'500 };
constexpr Milliseconds afterBadConfig { 6'000 };
// The operator reads for at least `contactMs`; here five times as long.
constexpr Milliseconds readingTime { 15'000 };
constexpr Milliseconds readPause { 200 };

std::string config(int version, int priority)
{
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"r1","host":"shop.example","pathPrefix":"/jobs/","kind":"non_idempotent","timeoutMs":1500,)"
        R"("targetLatencyMs":60,"priority":0,"service":"s1","maxAttempts":3,"stretch":1.6}},)"
        R"({{"name":"r2","host":"shop.example","pathPrefix":"/urgent/","kind":"non_idempotent","timeoutMs":1500,)"
        R"("targetLatencyMs":60,"priority":{},"service":"s1","maxAttempts":3,"stretch":1.6}}],)"
        R"("services":[{{"name":"s1","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,)"
        R"("coldPerS":0.0,"rejectsOverload":true,"standby":false}}],)"
        R"("limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}})",
        version, priority);
}

const char* const job = R"({"spec":"60","bestEffort":true,"steps":[{"count":8,"cpu":1000,"memMb":64,"estimatedMs":60}]})";

int run(const std::filesystem::path& folder)
{
    Deployment deployment(folder, { .controls = 5, .entries = 2, .sidecars = minions });
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
    const std::string acknowledged = config(7, 0);
    deployment.start(acknowledged);
    const auto platform = deployment.loop.every({ 50 }, [&] { deployment.restartEndedControls(); });
    deployment.runFor({ 4'000 });
    const auto first = deployment.send(1, HttpMethod::Post, "/jobs/0000000000000001", job, timeBudget);
    deployment.runUntil([&] { return first->hasEnded(); }, { 5'000 });
    if (first->status != 200)
        throw CannotRun("the first job was not served");

    if (deployment.hasTrouble) {
        deployment.record.add("an operator sends version 8, in which a priority is -1");
        for (int control = 1; control <= deployment.controls(); ++control) {
            const int status = deployment.putConfig(control, config(8, -1))->status;
            // Any 2xx or 4xx ends the call of the operator.
            if (status >= 200 && status < 500 && status != 307)
                break;
        }
    }
    deployment.runFor(afterBadConfig);

    bool wasRead = false;
    const Milliseconds until = Clock::now() + readingTime;
    for (int next = 0; !wasRead && Clock::now() < until; ++next) {
        const auto read = deployment.readConfig(1 + next % deployment.controls());
        wasRead = read->status == 200 && read->text == acknowledged;
        deployment.runFor(readPause);
    }
    const auto last = deployment.send(2, HttpMethod::Post, "/jobs/0000000000000002", job, timeBudget);
    deployment.runUntil([&] { return last->hasEnded(); }, { 5'000 });
    deployment.record.add(fmt::format("control processes ended {} times by themselves; a job at the end was answered with {}", deployment.controlEnds(), last->status));
    if (!wasRead)
        deployment.record.add(fmt::format("CONFIG: version 7 was acknowledged, and no node returned it in {} ms of reading", readingTime.count));
    if (deployment.controlEnds() >= 3 * (deployment.controls() / 2 + 1))
        deployment.record.add("Fault: on half of the core, processes ended by themselves three times");
    return wasRead ? ruleHeld : ruleBroken;
}

} // namespace

int main(int, char** argv)
{
    return runCase([argv] { return run(argv[1]); });
}
