// An entry is killed, and sidecars are killed 0.62 s later, just before they would have stopped the entry's runs. The minions'
// leases then end after the entry's clients have sent their jobs again, and tasks run twice at the same time.

#include "Deployment.h"
#include "Ports.h"

#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>

using namespace oleanderport;
using namespace oleanderport::review;

namespace {

constexpr int minions = 11;
constexpr int rounds = 7;
// Sidecars killed at the same moment: 6 of 11, a share of 0.55.
constexpr int killedSidecars = 6;
// The pages allow 2%.
constexpr std::int64_t slowClock = 980;
// From the first start until the kill; longer from round to round, since sidecars and entries exchange frames every 200 ms.
constexpr Milliseconds beforeKill { 1'000 };
constexpr Milliseconds beforeKillStep { 30 };
constexpr Milliseconds betweenKills { 620 };
// `resendMs` of the pages.
constexpr Milliseconds resendAfter { 1'300 };
constexpr Milliseconds timeBudget { 8'000 };
constexpr Milliseconds settleTime { 5'000 };

const char* const config
    = R"({"version":7,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/jobs/","kind":"non_idempotent","timeoutMs":8000,)"
      R"("targetLatencyMs":60,"priority":0,"service":"s1","maxAttempts":3,"stretch":1.6}],)"
      R"("services":[{"name":"s1","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,)"
      R"("coldPerS":0.0,"rejectsOverload":true,"standby":false}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const char* const job = R"({"spec":"3000","bestEffort":true,"steps":[{"count":11,"cpu":4000,"memMb":64,"estimatedMs":3000}]})";

// For a diagnosis by hand: ONLY=entry or ONLY=sidecars leaves the other kills out.
bool isLeftOut(const char* what)
{
    const char* only = std::getenv("ONLY");
    return only && std::string(only) != what;
}

void playRound(Deployment& deployment, int round)
{
    const std::string path = fmt::format("/jobs/{:016x}", round);
    auto request = deployment.send(1, HttpMethod::Post, path, job, timeBudget);
    deployment.runFor(beforeKill + beforeKillStep * round);
    const Milliseconds killedAt = Clock::now();
    if (deployment.hasTrouble) {
        if (!isLeftOut("entry"))
            deployment.kill({ "entry-1" });
        deployment.runFor(betweenKills);
        std::vector<std::string> sidecars;
        for (int number = 1; number <= killedSidecars; ++number)
            sidecars.push_back(fmt::format("sidecar-{}", 1 + (round * killedSidecars + number) % minions));
        if (!isLeftOut("sidecars"))
            deployment.kill(sidecars);
        if (request->hasEnded() && !request->isAnswered()) {
            deployment.runFor(request->endedAt + resendAfter - Clock::now());
            deployment.record.add("the client's channel broke 1,300 ms ago; it sends the job again");
            request = deployment.send(2, HttpMethod::Post, path, job, timeBudget);
        }
    }
    deployment.runUntil([&] { return request->hasEnded(); }, timeBudget + Milliseconds { 1'000 });
    deployment.record.add(fmt::format("round {} ended {} ms after the first kill", round, (Clock::now() - killedAt).count));
    deployment.runFor(settleTime);
}

int run(const std::filesystem::path& folder)
{
    Deployment deployment(folder, { .controls = 3, .entries = 3, .sidecars = minions });
    std::vector<std::unique_ptr<Minion>> workers;
    for (int number = 1; number <= minions; ++number) {
        workers.push_back(std::make_unique<Minion>(deployment.loop, deployment.record,
            MinionOptions { .id = fmt::format("i-{}", number),
                .service = "s1",
                .zone = Deployment::zone(number),
                .rack = fmt::format("r{}", number),
                .listen = freeLoopbackAddress(),
                .sidecar = deployment.reportAddress(number),
                .born = Clock::unixNow(),
                .clockSpeed = slowClock }));
    }
    deployment.start(config);
    deployment.runFor({ 4'000 });
    for (int round = 1; round <= rounds; ++round)
        playRound(deployment, round);

    const auto overlaps = deployment.record.overlaps();
    for (const auto& [one, other] : overlaps) {
        deployment.record.add(fmt::format("TWICE: {} runs at {} (run {}, {} to {}) and at {} (run {}, {} to {}) at the same time", one.task,
            one.minion, one.number, deployment.record.sinceStart(one.startedAt).count, deployment.record.sinceStart(one.endedAt).count,
            other.minion, other.number, deployment.record.sinceStart(other.startedAt).count,
            deployment.record.sinceStart(other.endedAt).count));
    }
    return overlaps.empty() ? ruleHeld : ruleBroken;
}

} // namespace

int main(int, char** argv)
{
    return runCase([argv] { return run(argv[1]); });
}
