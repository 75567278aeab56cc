#include "wire/HttpClient.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds longTimeout { 15'000 };

HttpCall callWith(const std::string& body, Milliseconds timeout = longTimeout)
{
    return { .path = "/run", .body = body, .timeout = timeout };
}

// Makes one call and waits until it ends.
Result<HttpAnswer> callNow(EventLoop& loop, HttpConnection& connection, const HttpCall& call)
{
    std::optional<Result<HttpAnswer>> end;
    connection.call(call, [&end](const Result<HttpAnswer>& answer) { end = answer; });
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }), "expected an end of the call");
    return *end;
}

// Bytes that the peer has read, over all connections.
std::size_t readBy(const RawServer& server)
{
    std::size_t bytes = 0;
    for (const auto& connection : server.connections)
        bytes += connection->received().size();
    return bytes;
}

// Makes one call, runs `act` once the condition holds, and waits until the call ends.
Result<HttpAnswer> callAndThen(EventLoop& loop, HttpConnection& connection, const HttpCall& call,
    const std::function<bool()>& condition, const std::function<void()>& act)
{
    std::optional<Result<HttpAnswer>> end;
    connection.call(call, [&end](const Result<HttpAnswer>& answer) { end = answer; });
    cr_assert(runUntil(loop, condition), "expected the call to reach the peer");
    cr_assert(!end.has_value(), "expected no end of the call yet");
    act();
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }), "expected an end of the call");
    return *end;
}

// A peer that has read this many bytes of a call may have run it.
void assertUnknown(const Result<HttpAnswer>& end, std::size_t bytesRead)
{
    cr_assert(!end.has_value(), "expected an error after the peer had read %zu bytes", bytesRead);
    cr_assert(end.assume_error().ran == Ran::Unknown, "the peer had read %zu bytes, got %s", bytesRead, describe(end.assume_error()).c_str());
}

constexpr std::size_t largeBody = 32 * 1024 * 1024;

bool isWhole(const RawConnection& connection) { return countOf(connection.received(), "end-of-body") > 0; }

} // namespace

Test(HttpClient, aRefusedConnectionIsKnownNotToHaveRun)
{
    EventLoop loop;
    std::string address;
    {
        const RawServer gone(loop, {});
        address = gone.address();
    }
    HttpConnection connection(loop, address);
    const auto end = callNow(loop, connection, callWith("x"));
    cr_assert(!end.has_value());
    cr_assert(end.assume_error().code == ErrorCode::Unavailable);
    cr_assert(end.assume_error().ran == Ran::No, "expected ran: no, got %s", describe(end.assume_error()).c_str());
}

Test(HttpClient, aConnectionLostBeforeTheAnswerLeavesItUnknown)
{
    EventLoop loop;
    RawServer server(loop, [](RawConnection& peer) {
        if (isWhole(peer))
            peer.close();
    });
    HttpConnection connection(loop, server.address());
    const auto end = callNow(loop, connection, callWith("end-of-body"));
    cr_assert(!end.has_value());
    cr_assert(end.assume_error().ran == Ran::Unknown);
}

Test(HttpClient, anAnswerCutInItsBodyIsNoAnswer)
{
    EventLoop loop;
    RawServer server(loop, [](RawConnection& peer) {
        if (isWhole(peer))
            peer.send(rawAnswer(100) + "half");
    });
    HttpConnection connection(loop, server.address());
    std::optional<Result<HttpAnswer>> end;
    connection.call(callWith("end-of-body"), [&end](const Result<HttpAnswer>& answer) { end = answer; });
    cr_assert(runUntil(loop, [&] { return !server.connections.empty() && isWhole(*server.connections[0]); }));
    const auto later = loop.once({ 100 }, [&] { server.connections[0]->close(); });
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
    cr_assert(!end->has_value(), "expected an error, got the body '%s'", end->assume_value().body.c_str());
    cr_assert(end->assume_error().ran == Ran::Unknown);
}

Test(HttpClient, aSilentPeerEndsInATimeout)
{
    EventLoop loop;
    const RawServer server(loop, {});
    HttpConnection connection(loop, server.address());
    const auto end = callNow(loop, connection, callWith("x", { 100 }));
    cr_assert(!end.has_value());
    cr_assert(end.assume_error().code == ErrorCode::Timeout);
    cr_assert(end.assume_error().ran == Ran::Unknown);
}

Test(HttpClient, aTricklingPeerCannotStretchTheTimeout)
{
    EventLoop loop;
    std::unique_ptr<EventLoop::Timer> trickle;
    RawServer server(loop, [&](RawConnection& peer) {
        if (!isWhole(peer) || trickle)
            return;
        peer.send(rawAnswer(1'000'000));
        trickle = loop.every({ 30 }, [&peer] { peer.send("x"); });
    });
    HttpConnection connection(loop, server.address());
    const auto end = callNow(loop, connection, callWith("end-of-body", { 300 }));
    cr_assert(!end.has_value());
    cr_assert(end.assume_error().code == ErrorCode::Timeout);
}

Test(HttpClient, aCallNeverGoesOutTwiceWhenThePeerHasClosedTheIdleConnection)
{
    for (int round = 0; round < 20; ++round) {
        EventLoop loop;
        RawServer server(loop, [](RawConnection& peer) {
            const auto answered = countOf(peer.received(), "end-of-body");
            if (answered == 1)
                peer.send(rawAnswer(2) + "{}");
        });
        HttpConnection connection(loop, server.address());
        cr_assert(callNow(loop, connection, callWith("first end-of-body")).has_value());
        server.connections[0]->close();
        // In half of the rounds the client has not yet detected the close when it makes the call.
        if (round % 2 == 0)
            event_base_loop(loop.base(), EVLOOP_ONCE);
        const auto end = callNow(loop, connection, callWith("second end-of-body"));
        std::size_t sent = 0;
        for (const auto& peer : server.connections)
            sent += countOf(peer->received(), "second");
        cr_assert(sent <= 1, "expected the call at most once, got %zu", sent);
        if (!end.has_value() && end.assume_error().ran == Ran::No)
            cr_assert(sent == 0, "reported as not run, but the peer received it");
    }
}

Test(HttpClient, connectsAnewAfterAnError)
{
    EventLoop loop;
    int calls = 0;
    RawServer server(loop, [&calls](RawConnection& peer) {
        if (!isWhole(peer))
            return;
        if (++calls == 1)
            peer.close();
        else
            peer.send(rawAnswer(2) + "{}");
    });
    HttpConnection connection(loop, server.address());
    cr_assert(!callNow(loop, connection, callWith("end-of-body")).has_value());
    cr_assert(callNow(loop, connection, callWith("end-of-body")).has_value());
}

Test(HttpClient, mayBeDestroyedWhileACallIsUnderWay)
{
    EventLoop loop;
    RawServer server(loop, {});
    bool called = false;
    auto connection = std::make_unique<HttpConnection>(loop, server.address());
    connection->call(callWith("x"), [&called](const Result<HttpAnswer>&) { called = true; });
    cr_assert(runUntil(loop, [&server] { return !server.connections.empty(); }));
    connection.reset();
    cr_assert(runUntil(loop, [&server] { return server.connections[0]->closedByPeer(); }));
    cr_assert(!called, "a destroyed connection must not call back");
}

Test(HttpClient, mayBeDestroyedByItsOwnCallback)
{
    EventLoop loop;
    RawServer server(loop, [](RawConnection& peer) {
        if (isWhole(peer))
            peer.send(rawAnswer(2) + "{}");
    });
    auto connection = std::make_unique<HttpConnection>(loop, server.address());
    bool called = false;
    connection->call(callWith("end-of-body"), [&](const Result<HttpAnswer>&) {
        called = true;
        connection.reset();
    });
    cr_assert(runUntil(loop, [&called] { return called; }));
}

Test(HttpClient, aCallThatWaitsBehindASlowOneEndsInTimeAndIsKnownNotToHaveRun)
{
    EventLoop loop;
    const RawServer server(loop, {});
    HttpConnection connection(loop, server.address());
    connection.call(callWith("slow"), [](const Result<HttpAnswer>&) {});
    const auto end = callNow(loop, connection, callWith("waiting", { 100 }));
    cr_assert(!end.has_value());
    cr_assert(end.assume_error().code == ErrorCode::Timeout);
    cr_assert(end.assume_error().ran == Ran::No);
    cr_assert(countOf(server.connections[0]->received(), "waiting") == 0);
}

Test(HttpClient, aCallThatWasReadAndResetMayHaveRun)
{
    EventLoop loop;
    RawServer server(loop, {});
    HttpConnection connection(loop, server.address());
    const auto end = callAndThen(
        loop, connection, callWith("end-of-body"), [&] { return !server.connections.empty() && isWhole(*server.connections[0]); },
        [&] { server.connections[0]->reset(); });
    cr_assert(countOf(server.connections[0]->received(), "end-of-body") == 1, "expected the peer to have read the whole call");
    assertUnknown(end, readBy(server));
}

Test(HttpClient, aCallThatArrivedAndWasResetUnreadMayHaveRun)
{
    EventLoop loop;
    RawServer server(loop, {});
    HttpConnection connection(loop, server.address());
    const auto end = callAndThen(
        loop, connection, callWith("x"),
        [&] {
            if (!server.connections.empty())
                server.connections[0]->stopReading();
            return !server.connections.empty() && server.connections[0]->unread() > 0;
        },
        [&] { server.connections[0]->reset(); });
    cr_assert(readBy(server) == 0, "expected an unread call, %zu bytes were read", readBy(server));
    assertUnknown(end, readBy(server));
}

Test(HttpClient, aCallCutWhileItIsWrittenMayHaveRun)
{
    for (const bool isReset : { false, true }) {
        EventLoop loop;
        RawServer server(loop, {});
        HttpConnection connection(loop, server.address());
        const auto end = callAndThen(
            loop, connection, callWith(std::string(largeBody, 'x')), [&] { return readBy(server) > 0; },
            [&] {
                if (isReset)
                    server.connections[0]->reset();
                else
                    server.connections[0]->close();
            });
        cr_assert(readBy(server) > 0 && readBy(server) < largeBody, "expected a part of the call, %zu bytes were read", readBy(server));
        assertUnknown(end, readBy(server));
    }
}

Test(HttpClient, aCallThatOnlyTheKernelOfThePeerTookMayHaveRun)
{
    EventLoop loop;
    RawServer server(loop, {});
    server.stopAccepting();
    HttpConnection connection(loop, server.address());
    const Milliseconds writtenBy = Clock::now() + Milliseconds { 100 };
    const auto end = callAndThen(
        loop, connection, callWith("x"), [&] { return Clock::now() > writtenBy; }, [&] { server.stop(); });
    assertUnknown(end, readBy(server));
}

Test(HttpClient, aCallOnAnIdleConnectionThatIsResetIsNotReportedAsNeverSentOnceItWasRead)
{
    enum class When {
        BeforeUnnoticed,
        BeforeNoticed,
        AfterTheCall,
        AfterAnotherTurn,
    };
    for (const auto when : { When::BeforeUnnoticed, When::BeforeNoticed, When::AfterTheCall, When::AfterAnotherTurn }) {
        EventLoop loop;
        RawServer server(loop, [](RawConnection& peer) {
            if (countOf(peer.received(), "first end-of-body") == 1 && countOf(peer.received(), "second") == 0)
                peer.send(rawAnswer(2) + "{}");
        });
        HttpConnection connection(loop, server.address());
        cr_assert(callNow(loop, connection, callWith("first end-of-body")).has_value());
        RawConnection& idle = *server.connections[0];
        const std::size_t before = readBy(server);
        if (when == When::BeforeUnnoticed || when == When::BeforeNoticed)
            idle.reset();
        if (when == When::BeforeNoticed)
            event_base_loop(loop.base(), EVLOOP_ONCE);
        std::optional<Result<HttpAnswer>> end;
        connection.call(callWith("second", { 300 }), [&end](const Result<HttpAnswer>& answer) { end = answer; });
        if (when == When::AfterAnotherTurn)
            event_base_loop(loop.base(), EVLOOP_ONCE);
        if (when == When::AfterTheCall || when == When::AfterAnotherTurn)
            idle.reset();
        cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
        assertUnknown(*end, readBy(server) - before);
    }
}

Test(HttpClient, aConnectThatTimesOutIsKnownNotToHaveRun)
{
    EventLoop loop;
    const DeafPort peer;
    HttpConnection connection(loop, peer.address());
    const Milliseconds began = Clock::now();
    const auto end = callNow(loop, connection, callWith("x", { 100 }));
    cr_assert(Clock::now() - began >= Milliseconds { 90 }, "expected the connect to hang");
    cr_assert(!end.has_value());
    cr_assert(end.assume_error().ran == Ran::No, "got %s", describe(end.assume_error()).c_str());
}

Test(HttpClient, aConnectTimeoutEndsTheCallBeforeItsOwnTimeout)
{
    EventLoop loop;
    const DeafPort peer;
    HttpConnection connection(loop, peer.address());
    HttpCall call = callWith("x", { 3'000 });
    call.connectTimeout = { 60 };
    const Milliseconds began = Clock::now();
    const auto end = callNow(loop, connection, call);
    cr_assert(!end.has_value() && end.assume_error().ran == Ran::No);
    const std::int64_t took = (Clock::now() - began).count;
    cr_assert(took < 1'000, "expected the connect to time out after 60 ms, not with the call after 3,000 ms, took %ld", static_cast<long>(took));
}

// The connect timeout applies to the connection only.
Test(HttpClient, anAnswerMayTakeLongerThanTheConnect)
{
    EventLoop loop;
    std::unique_ptr<EventLoop::Timer> later;
    RawServer server(loop, [&loop, &later](RawConnection& peer) {
        later = loop.once({ 150 }, [&peer] { peer.send(rawAnswer(2) + "{}"); });
    });
    HttpConnection connection(loop, server.address());
    HttpCall call = callWith("x", { 3'000 });
    call.connectTimeout = { 60 };
    cr_assert(callNow(loop, connection, call).has_value());
}

Test(HttpClient, aCallThatExpiredBehindASlowOneNeverGoesOut)
{
    EventLoop loop;
    RawServer server(loop, {});
    HttpConnection connection(loop, server.address());
    bool slowEnded = false;
    connection.call(callWith("slow end-of-body"), [&slowEnded](const Result<HttpAnswer>&) { slowEnded = true; });
    const auto end = callNow(loop, connection, callWith("waiting", { 50 }));
    cr_assert(!end.has_value() && end.assume_error().ran == Ran::No);
    server.connections[0]->send(rawAnswer(2) + "{}");
    cr_assert(runUntil(loop, [&slowEnded] { return slowEnded; }));
    std::optional<Result<HttpAnswer>> last;
    connection.call(callWith("last", { 100 }), [&last](const Result<HttpAnswer>& answer) { last = answer; });
    cr_assert(runUntil(loop, [&last] { return last.has_value(); }));
    std::size_t sent = 0;
    for (const auto& peer : server.connections)
        sent += countOf(peer->received(), "waiting");
    cr_assert(sent == 0, "the peer has read an expired call %zu times", sent);
}

Test(HttpClient, aCallThatWentOutBehindASlowOneAndExpiresMayHaveRun)
{
    EventLoop loop;
    RawServer server(loop, {});
    HttpConnection connection(loop, server.address());
    connection.call(callWith("slow end-of-body"), [](const Result<HttpAnswer>&) {});
    std::optional<Result<HttpAnswer>> end;
    connection.call(callWith("waiting", { 200 }), [&end](const Result<HttpAnswer>& answer) { end = answer; });
    cr_assert(runUntil(loop, [&] { return !server.connections.empty() && isWhole(*server.connections[0]); }));
    server.connections[0]->send(rawAnswer(2) + "{}");
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
    cr_assert(countOf(server.connections[0]->received(), "waiting") == 1, "expected the call to have gone out");
    assertUnknown(*end, readBy(server));
}

Test(HttpClient, queuedCallsBehindAResetOneHaveTheirOwnOutcome)
{
    EventLoop loop;
    RawServer server(loop, {});
    HttpConnection connection(loop, server.address());
    std::optional<Result<HttpAnswer>> cut;
    std::optional<Result<HttpAnswer>> waiting;
    connection.call(callWith("cut end-of-body"), [&cut](const Result<HttpAnswer>& answer) { cut = answer; });
    connection.call(callWith("waiting"), [&waiting](const Result<HttpAnswer>& answer) { waiting = answer; });
    cr_assert(runUntil(loop, [&] { return !server.connections.empty() && isWhole(*server.connections[0]); }));
    server.stop();
    server.connections[0]->reset();
    cr_assert(runUntil(loop, [&] { return cut.has_value() && waiting.has_value(); }));
    assertUnknown(*cut, readBy(server));
    cr_assert(!waiting->has_value() && waiting->assume_error().ran == Ran::No);
    cr_assert(countOf(server.connections[0]->received(), "waiting") == 0);
}

Test(HttpClient, mayBeDestroyedByACallbackWhileCallsWaitForTheSameConnect)
{
    EventLoop loop;
    std::string address;
    {
        const RawServer gone(loop, {});
        address = gone.address();
    }
    auto connection = std::make_unique<HttpConnection>(loop, address);
    int ended = 0;
    for (int call = 0; call < 3; ++call) {
        connection->call(callWith("x"), [&](const Result<HttpAnswer>&) {
            ++ended;
            connection.reset();
        });
    }
    cr_assert(runUntil(loop, [&ended] { return ended > 0; }));
    const Milliseconds later = Clock::now() + Milliseconds { 100 };
    cr_assert(runUntil(loop, [later] { return Clock::now() > later; }));
    cr_assert(ended == 1, "a destroyed connection called back %d times", ended - 1);
}
