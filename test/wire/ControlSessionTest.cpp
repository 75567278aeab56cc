#include "wire/ControlSession.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

// A control instance that replies with a preset answer, and a session with it.
struct SessionWithControl {
    EventLoop loop;
    RpcServer methods;
    SessionResponse answer { .session = { .instance = "entry", .incarnation = 1 }, .lease = { 5'000 } };
    // View version that each heartbeat carried.
    std::vector<std::uint64_t> knownVersions;
    std::unique_ptr<HttpServer> server;
    Settings settings;
    std::unique_ptr<Process> process;
    std::unique_ptr<ControlClient> client;
    std::unique_ptr<ControlSession> session;

    SessionWithControl()
    {
        methods.add("openSession", [this](const Json::Value&, const RpcReply& reply) { reply(toJson(answer)); });
        methods.add("heartbeat", [this](const Json::Value& request, const RpcReply& reply) {
            knownVersions.push_back(request["viewVersion"].asUInt64());
            reply(toJson(answer));
        });
        server = HttpServer::listen(loop, { .address = "127.0.0.1:0", .maxBodyBytes = 1'000'000 },
            [this](const HttpRequest& request, std::shared_ptr<HttpResponder> responder) { methods.serve(request, std::move(responder)); })
                     .assume_value();
        settings.instance = "entry";
        settings.controlPeers = { fmt::format("127.0.0.1:{}", server->port()) };
        settings.heartbeat = { 20 };
        process = std::make_unique<Process>(loop, settings);
        client = std::make_unique<ControlClient>(loop, settings.controlPeers);
        session = std::make_unique<ControlSession>(*process, *client, ControlSession::Callbacks {});
    }

    static std::string viewText(std::uint64_t version)
    {
        return writeJson(toJson(ClusterView { .version = version, .members = { { .id = { .instance = "sidecar", .incarnation = 3 }, .node = {} } } }));
    }
};

} // namespace

Test(ControlSession, appliesAViewSentAsText)
{
    SessionWithControl control;
    control.answer.viewText = SessionWithControl::viewText(7);
    control.answer.catalogueText = writeJson(toJson(QueueCatalogue { .version = 4 }));
    control.session->start({ .instance = "entry" });
    cr_assert(runUntil(control.loop, [&control] { return control.session->view().version == 7; }));
    cr_assert(control.session->view().members.size() == 1 && control.session->view().members[0].id.instance == "sidecar");
    cr_assert(control.session->view().catalogue && control.session->view().catalogue->version == 4);
}

Test(ControlSession, requestsTheFullViewWhenItsTextCannotBeParsed)
{
    SessionWithControl control;
    control.answer.viewText = "{\"version\":";
    control.session->start({ .instance = "entry" });
    cr_assert(runUntil(control.loop, [&control] { return control.knownVersions.size() >= 2; }));
    cr_assert(control.knownVersions.back() == 0 && control.session->view().version == 0);
    control.answer.viewText = SessionWithControl::viewText(8);
    cr_assert(runUntil(control.loop, [&control] { return control.session->view().version == 8; }));
}

// A stopping process is killed after its grace period, so it must not wait for the call's whole timeout.
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
    cr_assert(!held.empty(), "expected a closeSession call at control");
    const std::int64_t took = (Clock::now() - from).count;
    cr_assert(took < 2'000, "expected stop() to end long before the call's timeout of 10,000 ms, took %ld", static_cast<long>(took));
}
