#include "QueueConfigReader.h"

#include "support/ChangedInput.h"
#include "support/PlatformDeployment.h"
#include "wire/MessageCodec.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace oleanderport;
using namespace oleanderport::platform;

namespace {

const char* const minionReport
    = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":8,"state":"ready","capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"clockMs":482113,"seq":4,"born":1700,"machineId":"m"})";
const char* const runList = R"({"clockMs":1,"born":1700,"running":[["j.0.1.17",2,"00",41,0.5]],"finished":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",3,"lapsed",""]]})";
constexpr std::uint64_t callsToPorts = 300;

template <typename Read>
void readMutated(const char* text, std::uint64_t seed, Read read)
{
    std::mt19937_64 random(seed);
    const Json::Value whole = parseJson(text).assume_value();
    for (std::uint64_t i = 0; i < changedInputs(10'000); ++i)
        read(i % 2 == 0 ? changedText(random, text) : writeJson(changedJson(random, whole)));
}

} // namespace

Test(MalformedCalls, bodiesAreReadOrRefused)
{
    readMutated(testConfig, 1, [](const std::string& text) { static_cast<void>(readQueueConfig(text)); });
    readMutated(minionReport, 2, [](const std::string& text) {
        const auto body = parseJson(text);
        std::int64_t clock = 0;
        if (body.has_value())
            static_cast<void>(readMinionReport("i-1", body.assume_value(), clock));
    });
    readMutated(runList, 3, [](const std::string& text) {
        const auto body = parseJson(text);
        if (body.has_value())
            static_cast<void>(readRunList(body.assume_value()));
        static_cast<void>(readStartAnswer(409, text));
    });
}

// Sends malformed calls, each on its own connection, to every port of a deployment, which must then still serve a job.
Test(MalformedCalls, aDeploymentStillServesAfterMalformedCallsToEachPort)
{
    // Like the daemons, so that a write to a closed connection does not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    PlatformDeployment deployment;
    deployment.becomeReady();
    std::mt19937_64 random(4);
    const std::pair<std::string, std::string> calls[] {
        { deployment.front, deployment.requestText("POST /a/5c0e7a21d94b36f8", testJob) },
        { deployment.ready, deployment.requestText("GET /readyz", "") },
        { deployment.control, deployment.requestText("POST /Config.Put", testConfig) },
        { deployment.control, deployment.requestText("POST /rpc", R"({"jsonrpc":"2.0","id":1,"method":"openSession","params":{"node":{"role":"entry","instance":"x"}}})") },
        { deployment.reportAddress, deployment.requestText("POST /Instances.Heartbeat/i-1", minionReport) },
        { deployment.sidecarStream, std::string("\x00\x00\x00\x40stream", 10) },
    };
    for (std::uint64_t i = 0; i < changedInputs(callsToPorts); ++i) {
        const auto& [address, text] = calls[i % std::size(calls)];
        RawConnection& client = deployment.connect(address);
        client.send(changedText(random, text));
        deployment.runFor({ 1 });
        client.close();
        if (i % 100 == 0)
            deployment.clients.clear();
    }
    deployment.clients.clear();
    deployment.runFor({ 200 });
    cr_assert(deployment.sendAndWait(deployment.front, "POST /a/after", testJob).find("\"completed\"") != std::string::npos, "expected a job to be served after the malformed calls");
}
