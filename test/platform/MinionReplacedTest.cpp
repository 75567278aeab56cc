#include "support/FaultRelay.h"
#include "support/PlatformDeployment.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;
using namespace oleanderport::platform;

namespace {

constexpr std::size_t tasks = 8;

std::uint16_t portOf(const std::string& address) { return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))); }

// A deployment whose minion executes every call while its answers are lost, and which is replaced while some start requests
// are in flight and others are queued for a connection.
struct ReplacementTest {
    std::string minionAddress { freeAddress() };
    std::string relayAddress { freeAddress() };
    PlatformDeployment deployment;
    FaultRelay relay;
    PlatformMinion next;
    RawConnection* client { nullptr };

    explicit ReplacementTest(const std::string& nextId)
        : deployment({ .listen = minionAddress, .advertise = relayAddress, .runTime = [](const std::string& spec) { return spec == "long" ? Milliseconds { 10'000 } : Milliseconds { 20 }; } })
        , relay(deployment.loop, portOf(relayAddress), portOf(minionAddress))
        , next(deployment.loop, { .kind = { .id = nextId }, .born = { 1'800 }, .runTime = [](const std::string&) { return Milliseconds { 20 }; } })
    {
        cr_assert(relay.start().has_value());
        deployment.becomeReady();
    }

    void submit(Milliseconds deadline)
    {
        relay.setFault({ .dropAnswers = true });
        const std::string job
            = fmt::format(R"({{"spec":"long","bestEffort":true,"steps":[{{"count":{},"cpu":1000,"memMb":1,"estimatedMs":100}}]}})", tasks);
        deployment.clients.push_back(rawConnect(deployment.loop, portOf(deployment.front)));
        client = deployment.clients.back().get();
        client->send(fmt::format("POST /a/job HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q2\r\nOleanderport-Deadline: {}\r\nContent-Length: {}\r\n\r\n{}",
            deadline.count, job.size(), job));
        cr_assert(runUntil(deployment.loop, [this] { return !deployment.minion.started.empty(); }));
    }

    void replace(const char* state)
    {
        next.report(deployment.reportAddress, state);
        cr_assert(runUntil(deployment.loop, [this] { return next.acknowledged == 1; }));
    }

    const std::string& answer()
    {
        cr_assert(runUntil(deployment.loop, [this] { return PlatformDeployment::isComplete(client->received()); }), "expected an answer");
        return client->received();
    }
};

} // namespace

Test(MinionReplaced, aJobIsNotRefusedWhenItsMinionIsReplacedWithStartsInFlight)
{
    for (const char* nextId : { "i-1", "i-2" }) {
        ReplacementTest test(nextId);
        test.submit({ 1'200 });
        // A draining minion accepts nothing, so the job cannot continue there.
        test.replace("draining");
        const std::string& answer = test.answer();
        cr_assert(answer.rfind("HTTP/1.1 503 ", 0) != 0 && answer.rfind("HTTP/1.1 429 ", 0) != 0,
            "refused although %zu of its tasks had started: %s", test.deployment.minion.started.size(), answer.c_str());
        cr_assert(test.next.started.empty(), "a start request queued for the replaced minion was sent to its replacement");
    }
}

Test(MinionReplaced, aJobContinuesOnTheReplacementMinion)
{
    for (const char* nextId : { "i-1", "i-2" }) {
        ReplacementTest test(nextId);
        test.submit({ 4'000 });
        test.replace("ready");
        const std::string& answer = test.answer();
        cr_assert(answer.rfind("HTTP/1.1 200 ", 0) == 0 && answer.find("\"completed\"") != std::string::npos, "got %s", answer.c_str());
        cr_assert(test.next.started.size() == tasks, "expected each task once on the replacement minion, got %zu", test.next.started.size());
    }
}

// The calls are still pending when the adapter is destroyed.
Test(MinionReplaced, theAdapterMayBeDestroyedWithCallsInFlightAndQueued)
{
    ReplacementTest test("i-2");
    test.submit({ 4'000 });
}
