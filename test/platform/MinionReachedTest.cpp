#include "support/FaultRelay.h"
#include "support/PlatformDeployment.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;
using namespace oleanderport::platform;

// How soon a minion that starts again under its id carries out a call with a raised fencing token, before it has reported. Until then
// it carries out orders that were sent to its former incarnation.

namespace {

constexpr int restarts = 50;
constexpr Milliseconds cutTime { 200 };
constexpr Milliseconds downTime { 20 };
// Maximum time from when the minion accepts connections again.
constexpr Milliseconds reachedWithin { 50 };
constexpr Milliseconds reportedAfter { 500 };
const char* const oneTask = R"({"spec":"text","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":1,"estimatedMs":1000}]})";

std::uint16_t portOf(const std::string& address) { return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))); }

struct RestartTest {
    // What the minion sees.
    struct Seen {
        Milliseconds startDelay {};
        int startRequests { 0 };
        int ordersOfFormer { 0 };
        // Of the first call that the present incarnation has carried out, and the highest one.
        std::uint64_t firstToken { 0 };
        std::uint64_t token { 0 };
        Milliseconds tokenAt {};
    };
    Seen seen;
    std::string relayAddress;
    std::string minionAddress;
    PlatformDeployment deployment;
    // Null when the sidecar calls the minion directly.
    std::unique_ptr<FaultRelay> relay;
    Milliseconds born { 1'700 };
    int jobs { 0 };
    // Whether the first call that the minion carried out after its restart had a raised token.
    bool hasRaisedBefore { false };

    explicit RestartTest(bool isBehindRelay = false)
        : relayAddress(isBehindRelay ? freeAddress() : "")
        , deployment(minionOptions(isBehindRelay ? freeAddress() : "127.0.0.1:0"))
    {
        if (isBehindRelay) {
            relay = std::make_unique<FaultRelay>(deployment.loop, portOf(relayAddress), portOf(minionAddress));
            cr_assert(relay->start().has_value());
        }
        deployment.becomeReady();
    }

    PlatformMinion::Options minionOptions(const std::string& listen)
    {
        minionAddress = listen;
        return { .listen = listen,
            .advertise = relayAddress,
            .delayOf = [this](PlatformMinion::Call call) {
                    if (call != PlatformMinion::Call::Start)
                        return PlatformMinion::CallDelay {};
                    ++seen.startRequests;
                    return PlatformMinion::CallDelay { .carryOut = seen.startDelay }; },
            .onStart = [this](Milliseconds, const PlatformMinion::Run& run) { seen.ordersOfFormer += run.isOfFormer ? 1 : 0; },
            .onHigherToken = [this](Milliseconds at, std::uint64_t token) { noteToken(at, token); } };
    }

    // Submits a job whose start is carried out that much after it has arrived.
    void submitWithLateStart(Milliseconds delay)
    {
        seen.startDelay = delay;
        seen.startRequests = 0;
        deployment.send(deployment.front, fmt::format("POST /a/job-{}", ++jobs), oneTask);
        cr_assert(runUntil(deployment.loop, [this] { return seen.startRequests > 0; }));
    }

    // The caller leaves, and the run is stopped at the minion.
    void abandon()
    {
        const std::size_t before = deployment.minion.stopped.size();
        deployment.clients.pop_back();
        cr_assert(runUntil(deployment.loop, [this, before] { return deployment.minion.stopped.size() > before; }));
        deployment.runFor({ 50 });
    }

    void noteToken(Milliseconds at, std::uint64_t token)
    {
        if (seen.firstToken == 0)
            seen.firstToken = token;
        seen.token = token;
        seen.tokenAt = at;
    }

    // Returns the time from when the minion can be reached until it has carried out a call with a raised token. It starts behind a
    // cut of that length.
    Milliseconds restart(Milliseconds cut = {})
    {
        const std::uint64_t before = deployment.sidecar.fencingToken().value_or(0);
        if (relay)
            relay->setFault({ .dropRequests = true, .dropAnswers = true });
        deployment.minion.crash();
        deployment.runFor(downTime);
        seen.startDelay = {};
        seen.firstToken = 0;
        seen.token = 0;
        born = born + Milliseconds { 1'000 };
        deployment.minion.startAgain(born);
        if (relay) {
            deployment.runFor(cut);
            relay->setFault({});
        }
        const Milliseconds since = Clock::now();
        cr_assert(runUntil(deployment.loop, [this, before, since] { return seen.token > before || Clock::now() >= since + reportedAfter; }));
        hasRaisedBefore = seen.firstToken > before;
        return seen.token > before ? seen.tokenAt - since : reportedAfter;
    }

    // Reports the incarnation and waits until it serves jobs.
    void resume()
    {
        deployment.minion.report(deployment.reportAddress);
        const std::string answer = deployment.sendAndWait(deployment.front, fmt::format("POST /a/job-{}", ++jobs), oneTask);
        cr_assert(answer.find("\"completed\"") != std::string::npos, "got %s", answer.c_str());
    }

    void expectReachedSoon(Milliseconds took, int each) const
    {
        cr_assert(took <= reachedWithin, "restart %d: expected a call with a raised token within %lld ms, got %lld", each, static_cast<long long>(reachedWithin.count),
            static_cast<long long>(took.count));
    }
};

} // namespace

Test(MinionReached, aMinionThatStartsAgainBesideLiveRunsIsReachedBeforeItReports)
{
    RestartTest test;
    for (int each = 0; each < restarts; ++each) {
        test.submitWithLateStart({ 100 });
        const Milliseconds took = test.restart();
        test.expectReachedSoon(took, each);
        test.resume();
    }
}

// No list was asked for without a live run, so the next incarnation was first heard when it reported.
Test(MinionReached, aMinionThatStartsAgainWithoutLiveRunsIsReachedBeforeItReports)
{
    RestartTest test;
    for (int each = 0; each < restarts; ++each) {
        test.submitWithLateStart({ 400 });
        test.abandon();
        const Milliseconds took = test.restart();
        test.expectReachedSoon(took, each);
        test.resume();
    }
}

// The order comes 200 ms after the minion has started again, and 300 ms before its report.
Test(MinionReached, anOrderOfBeforeIsNotCarriedOutBetweenTheStartOfAMinionAndItsReport)
{
    for (const bool isAbandoned : { false, true }) {
        RestartTest test;
        test.submitWithLateStart(isAbandoned ? Milliseconds { 350 } : Milliseconds { 220 });
        if (isAbandoned)
            test.abandon();
        test.restart();
        test.deployment.runFor({ 450 });
        cr_assert(test.seen.ordersOfFormer == 0, "expected no order of before to be carried out, got %d", test.seen.ordersOfFormer);
        test.resume();
    }
}

// A token that is raised has a sound minion refuse the orders in flight.
Test(MinionReached, noTokenIsRaisedAtAMinionThatIsOnlyBusy)
{
    RestartTest test;
    const auto before = test.deployment.sidecar.fencingToken();
    test.submitWithLateStart({ 200 });
    test.deployment.runFor({ 600 });
    cr_assert(test.deployment.sidecar.fencingToken() == before);
    cr_assert(PlatformDeployment::isComplete(test.deployment.clients.back()->received()));
}

// The first list after a restart had the former token, so an order of before could come between it and the second.
Test(MinionReached, theFirstCallAfterABrokenConnectionHasARaisedToken)
{
    RestartTest test;
    for (int each = 0; each < restarts; ++each) {
        test.submitWithLateStart({ 400 });
        test.abandon();
        test.restart();
        cr_assert(test.hasRaisedBefore, "restart %d: expected the first call to have a raised token", each);
        test.resume();
    }
}

Test(MinionReached, aMinionThatStartsAgainBehindACutIsReachedWhenTheCutEnds)
{
    RestartTest test(true);
    for (int each = 0; each < restarts; ++each) {
        test.submitWithLateStart({ 400 });
        test.abandon();
        const Milliseconds took = test.restart(cutTime);
        test.expectReachedSoon(took, each);
        test.resume();
    }
}
