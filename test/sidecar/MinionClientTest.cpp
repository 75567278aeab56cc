#include "sidecar/MinionClient.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;

namespace {

TaskStart startOf(const std::string& run)
{
    return { .run = run, .assignment = { .key = { .caller = "caller", .job = "job" } } };
}

std::size_t countOverConnections(const RawServer& server, const std::string& part)
{
    std::size_t count = 0;
    for (const auto& connection : server.connections)
        count += countOf(connection->received(), part);
    return count;
}

} // namespace

Test(MinionClient, aRunThatExceedsItsTimeIsStoppedBeforeItsSlotIsFree)
{
    EventLoop loop;
    RawConnection* stopping = nullptr;
    RawServer minion(loop, [&stopping](RawConnection& peer) {
        if (countOf(peer.received(), "POST /stop") > 0)
            stopping = &peer;
    });
    MinionClient client(loop, { .address = minion.address(), .connections = 2, .maxRunTime = { 100 } });
    std::optional<MinionRunEnd> end;
    client.run(startOf("run-1"), [&end](const MinionRunEnd& ended) { end = ended; });
    cr_assert(runUntil(loop, [&stopping] { return stopping != nullptr; }), "expected a stop request for the run");
    cr_assert(!end.has_value(), "expected the slot to stay in use until the minion has answered the stop request");
    cr_assert(!client.canRun());
    stopping->send(rawAnswer(2) + "{}");
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
    cr_assert(end->outcome == TaskOutcome::Unknown);
    cr_assert(client.canRun());
    cr_assert(countOverConnections(minion, "POST /run") == 1, "expected the run to be sent once");
}

Test(MinionClient, aRunIsNotStartedWhenTheConnectionIsRefused)
{
    EventLoop loop;
    std::string address;
    {
        const RawServer closed(loop, {});
        address = closed.address();
    }
    MinionClient client(loop, { .address = address, .connections = 2, .maxRunTime = { 5'000 } });
    std::optional<MinionRunEnd> end;
    client.run(startOf("run-1"), [&end](const MinionRunEnd& ended) { end = ended; });
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
    cr_assert(end->outcome == TaskOutcome::NotStarted);
}

Test(MinionClient, anAnswerForAnotherRunLeavesTheOutcomeUnknown)
{
    EventLoop loop;
    RawServer minion(loop, [](RawConnection& peer) {
        const std::string body = R"({"run":"run-2","ok":true,"body":"foreign"})";
        peer.send(rawAnswer(body.size()) + body);
    });
    MinionClient client(loop, { .address = minion.address(), .connections = 2, .maxRunTime = { 5'000 } });
    std::optional<MinionRunEnd> end;
    client.run(startOf("run-1"), [&end](const MinionRunEnd& ended) { end = ended; });
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
    cr_assert(end->outcome == TaskOutcome::Unknown);
}

Test(MinionClient, onlyStatus503ProvesThatARunDidNotStart)
{
    EventLoop loop;
    for (const int status : { 200, 204, 301, 400, 404, 409, 421, 429, 500, 502, 503, 504 }) {
        RawServer minion(loop, [status](RawConnection& peer) {
            const bool isRun = countOf(peer.received(), "POST /run") > 0;
            peer.send(fmt::format("HTTP/1.1 {} Any\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}", isRun ? status : 200));
        });
        MinionClient client(loop, { .address = minion.address(), .connections = 2, .maxRunTime = { 5'000 } });
        std::optional<MinionRunEnd> end;
        client.run(startOf("run-1"), [&end](const MinionRunEnd& ended) { end = ended; });
        cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
        cr_assert((end->outcome == TaskOutcome::NotStarted) == (status == 503), "expected NotStarted for status 503 alone, failed for status %d", status);
        cr_assert((countOverConnections(minion, "POST /stop") == 1) == (status != 503), "expected one stop request for each status but 503, failed for status %d", status);
    }
}

Test(MinionClient, aRunWhoseConnectionIsResetAfterItWasReadMayHaveStarted)
{
    EventLoop loop;
    RawServer minion(loop, [](RawConnection& peer) {
        if (countOf(peer.received(), "POST /run") > 0)
            peer.reset();
        else
            peer.send(rawAnswer(2) + "{}");
    });
    MinionClient client(loop, { .address = minion.address(), .connections = 2, .maxRunTime = { 5'000 } });
    std::optional<MinionRunEnd> end;
    client.run(startOf("run-1"), [&end](const MinionRunEnd& ended) { end = ended; });
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
    cr_assert(end->outcome == TaskOutcome::Unknown);
}
