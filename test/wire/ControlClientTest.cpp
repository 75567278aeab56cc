#include "wire/ControlClient.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

#include <deque>

using namespace oleanderport;

namespace {

// A control instance that answers "who" with its own address, or redirects to the leader.
struct Instance {
    explicit Instance(EventLoop& loop)
    {
        auto listening = HttpServer::listen(loop, { .address = "127.0.0.1:0", .maxBodyBytes = 1'000'000 },
            [this](const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
                methods.serve(request, std::move(responder));
            });
        cr_assert(listening.has_value());
        server = std::move(listening).assume_value();
        address = fmt::format("127.0.0.1:{}", server->port());
        methods.add("who", [this](const Json::Value&, const RpcReply& reply) {
            ++calls;
            if (refusals > 0) {
                --refusals;
                return reply(Error { .code = ErrorCode::Unavailable, .ran = Ran::No, .step = "control", .retryAfter = { 20 } });
            }
            if (holds) {
                held.push_back(reply);
                return;
            }
            if (leader.empty() && leads)
                return reply(Json::Value(address));
            reply(Error { .code = ErrorCode::NotLeader, .ran = Ran::No, .step = "control", .peer = leader });
        });
        methods.add("controlGroup", [this](const Json::Value&, const RpcReply& reply) {
            ++queries;
            Json::Value group;
            group["leads"] = leader.empty() && leads;
            group["leader"] = leader;
            group["instances"] = Json::Value(Json::arrayValue);
            for (const auto& instance : instances)
                group["instances"].append(instance);
            reply(group);
        });
    }

    RpcServer methods;
    std::unique_ptr<HttpServer> server;
    std::string address;
    // Empty when this instance leads, or when it knows no leader.
    std::string leader;
    bool leads { true };
    // Answers no call, as an instance that waits for a leader or whose answers are lost.
    bool holds { false };
    std::vector<RpcReply> held;
    // The group as this instance reports it.
    std::vector<std::string> instances;
    int calls { 0 };
    int queries { 0 };
    // Number of further calls that are refused with a retry delay.
    int refusals { 0 };
};

Result<Json::Value> ask(EventLoop& loop, ControlClient& client, Milliseconds timeout)
{
    std::optional<Result<Json::Value>> end;
    client.call(ControlClient::Channel::Batched, "who", {}, timeout,
        [&end](const Result<Json::Value>& answer) { end = answer; });
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }), "expected the call to end in time");
    return *end;
}

} // namespace

Test(ControlClient, followsTheNamedLeaderAndRemembersIt)
{
    EventLoop loop;
    Instance one(loop);
    Instance two(loop);
    Instance three(loop);
    one.leader = three.address;
    two.leader = three.address;
    ControlClient client(loop, { one.address, two.address, three.address });
    const auto answer = ask(loop, client, { 10'000 });
    cr_assert(answer.has_value());
    cr_assert(answer.assume_value() == three.address);
    cr_assert(two.calls == 0, "expected no call to an instance that was not named");
    cr_assert(ask(loop, client, { 10'000 }).has_value());
    cr_assert(one.calls == 1 && three.calls == 2);
}

Test(ControlClient, skipsAnInstanceThatRefusesTheConnection)
{
    EventLoop loop;
    std::string gone;
    {
        const RawServer closed(loop, {});
        gone = closed.address();
    }
    Instance live(loop);
    ControlClient client(loop, { gone, live.address });
    const auto answer = ask(loop, client, { 10'000 });
    cr_assert(answer.has_value());
}

Test(ControlClient, usesPeersThatAreSetLater)
{
    EventLoop loop;
    std::string gone;
    {
        const RawServer closed(loop, {});
        gone = closed.address();
    }
    Instance live(loop);
    ControlClient client(loop, { gone });
    cr_assert(!ask(loop, client, { 200 }).has_value());
    client.setPeers({ live.address });
    cr_assert(ask(loop, client, { 10'000 }).has_value());
}

Test(ControlClient, skipsAFrozenInstanceWithinTheTimeout)
{
    EventLoop loop;
    const RawServer frozen(loop, {});
    Instance live(loop);
    ControlClient client(loop, { frozen.address(), live.address });
    cr_assert(ask(loop, client, { 3'000 }).has_value());
}

// After a power loss some machines are still off and do not answer a connect.
Test(ControlClient, skipsAnInstanceWithoutPowerAfterTheConnectTimeout)
{
    EventLoop loop;
    const DeafPort dark;
    Instance live(loop);
    ControlClient client(loop, { dark.address(), live.address });
    const Milliseconds began = Clock::now();
    cr_assert(ask(loop, client, { 3'000 }).has_value());
    const std::int64_t took = (Clock::now() - began).count;
    cr_assert(took < 600, "expected the next instance to answer within 600 ms, took %ld", static_cast<long>(took));
}

Test(ControlClient, endsWithinTheTimeoutWhenInstancesRedirectToEachOther)
{
    EventLoop loop;
    Instance one(loop);
    Instance two(loop);
    one.leader = two.address;
    two.leader = one.address;
    ControlClient client(loop, { one.address, two.address });
    const auto answer = ask(loop, client, { 400 });
    cr_assert(!answer.has_value());
    cr_assert(answer.assume_error().code == ErrorCode::Unavailable);
    cr_assert(answer.assume_error().ran == Ran::No, "expected ran: no, since no instance accepted the call");
}

Test(ControlClient, reportsUnknownWhenAnInstanceMayHaveRunTheCall)
{
    EventLoop loop;
    const RawServer frozen(loop, {});
    ControlClient client(loop, { frozen.address() });
    const auto answer = ask(loop, client, { 300 });
    cr_assert(!answer.has_value());
    cr_assert(answer.assume_error().ran == Ran::Unknown);
}

Test(ControlClient, skipsANamedLeaderThatDoesNotAnswer)
{
    EventLoop loop;
    Instance one(loop);
    Instance two(loop);
    one.leader = "127.0.0.1:1";
    ControlClient client(loop, { one.address, two.address });
    const auto answer = ask(loop, client, { 10'000 });
    cr_assert(answer.has_value());
    cr_assert(answer.assume_value() == two.address);
}

Test(ControlClient, followsARedirectToALeaderOutsideItsPeers)
{
    EventLoop loop;
    Instance one(loop);
    Instance grown(loop);
    one.leader = grown.address;
    ControlClient client(loop, { one.address });
    const auto answer = ask(loop, client, { 10'000 });
    cr_assert(answer.has_value());
    cr_assert(answer.assume_value() == grown.address);
}

Test(ControlClient, retriesAnOverloadedInstanceAfterItsDelay)
{
    EventLoop loop;
    Instance one(loop);
    Instance two(loop);
    one.refusals = 3;
    ControlClient client(loop, { one.address, two.address });
    const auto answer = ask(loop, client, { 10'000 });
    cr_assert(answer.has_value());
    cr_assert(answer.assume_value() == one.address);
    cr_assert(one.calls == 4 && two.calls == 0, "expected no call to another instance, got %d and %d", one.calls, two.calls);
}

// Control is cut in two, and all configured instances are in the part without a majority. They hold each call while they wait
// for a leader.
Test(ControlClient, findsTheLeaderBesideConfiguredInstancesThatAreCutOffFromIt)
{
    EventLoop loop;
    Instance one(loop);
    Instance two(loop);
    Instance follower(loop);
    Instance leader(loop);
    for (Instance* cut : { &one, &two }) {
        cut->holds = true;
        cut->leads = false;
        cut->instances = { one.address, two.address, follower.address, leader.address };
    }
    follower.leader = leader.address;
    ControlClient client(loop, { one.address, two.address });
    const Milliseconds began = Clock::now();
    const auto answer = ask(loop, client, { 3'000 });
    cr_assert(answer.has_value(), "expected the leader to be found, got %s", describe(answer.assume_error()).c_str());
    cr_assert(answer.assume_value() == leader.address);
    const std::int64_t took = (Clock::now() - began).count;
    cr_assert(took < 1'500, "expected the leader before the first call times out, took %ld ms", static_cast<long>(took));
    cr_assert(leader.calls == 1, "expected one call at the leader, got %d", leader.calls);
}

Test(ControlClient, leavesAnInstanceThatHoldsItsCallOnceAnotherOneLeads)
{
    EventLoop loop;
    Instance one(loop);
    Instance two(loop);
    Instance three(loop);
    one.holds = true;
    one.leads = false;
    two.holds = true;
    two.leads = false;
    ControlClient client(loop, { one.address, two.address, three.address });
    const Milliseconds began = Clock::now();
    const auto answer = ask(loop, client, { 6'000 });
    cr_assert(answer.has_value() && answer.assume_value() == three.address);
    const std::int64_t took = (Clock::now() - began).count;
    cr_assert(took < 1'500, "expected the call to leave the instance before its timeout of 3,000 ms, took %ld", static_cast<long>(took));
}

// A call that changes state must not run at two instances because the leader is slow.
Test(ControlClient, sendsACallToOneInstanceWhileItsLeaderIsSlow)
{
    EventLoop loop;
    Instance one(loop);
    Instance two(loop);
    one.holds = true;
    two.leader = one.address;
    ControlClient client(loop, { one.address, two.address });
    std::optional<Result<Json::Value>> end;
    client.call(ControlClient::Channel::Batched, "who", {}, { 10'000 }, [&end](const Result<Json::Value>& answer) { end = answer; });
    cr_assert(runUntil(loop, [&two] { return two.queries >= 3; }), "expected queries beside the call");
    cr_assert(one.calls == 1 && two.calls == 0, "expected one call, got %d and %d", one.calls, two.calls);
    one.held.front()(Json::Value("late"));
    cr_assert(runUntil(loop, [&end] { return end.has_value(); }));
    cr_assert(end->has_value() && end->assume_value() == "late");
}
