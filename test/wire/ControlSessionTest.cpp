#include "wire/ControlSession.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

using namespace oleanderport;

// A process that is told to stop has a grace, after which it is killed.
Test(ControlSession, stopsInTimeWhenControlDoesNotAnswer)
{
    EventLoop loop;
    RpcServer methods;
    std::vector<RpcReply> held;
    methods.add("openSession", [](const Json::Value&, const RpcReply& reply) {
        reply(toJson(SessionResponse { .session = { .instance = "entry", .incarnation = 1 }, .lease = { 5'000 } }));
    });
    methods.add("closeSession", [&held](const Json::Value&, const RpcReply& reply) { held.push_back(reply); });
    const auto server = HttpServer::listen(loop, { .address = "127.0.0.1:0", .maxBodyBytes = 1'000'000 },
        [&methods](const HttpRequest& request, std::shared_ptr<HttpResponder> responder) { methods.serve(request, std::move(responder)); })
                            .assume_value();
    Settings settings;
    settings.instance = "entry";
    settings.controlPeers = { fmt::format("127.0.0.1:{}", server->port()) };
    settings.controlTimeout = { 10'000 };
    Process process(loop, settings);
    ControlClient client(loop, settings.controlPeers);
    ControlSession session(process, client, {});
    session.start({ .instance = "entry" });
    cr_assert(runUntil(loop, [&session] { return session.id().has_value(); }));
    const Milliseconds from = Clock::now();
    bool stopped = false;
    session.stop([&stopped] { stopped = true; });
    cr_assert(runUntil(loop, [&stopped] { return stopped; }));
    cr_assert(!held.empty(), "expected control to be told");
    const std::int64_t took = (Clock::now() - from).count;
    cr_assert(took < 2'000, "expected the session to give up long before its call's time of 10,000 ms, took %ld", static_cast<long>(took));
}
