#include "wire/Rpc.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;

namespace {

constexpr int firstPort = 25900;
constexpr int ports = 50;
constexpr Milliseconds generous { 20'000 };

// A server and a client in one loop, each with its own clock.
class Pair {
public:
    Pair()
    {
        rpc.useClock(serverClock);
        rpc.add("echo", [](const Json::Value& params, const RpcReply& reply) { reply(params); });
        rpc.add("fail", [](const Json::Value&, const RpcReply& reply) { reply(Error {}); });
        for (int port = firstPort; port < firstPort + ports && !m_server; ++port) {
            m_address = fmt::format("127.0.0.1:{}", port);
            auto server = HttpServer::listen(loop,
                { .address = m_address, .maxBodyBytes = 10'000, .idleTimeout = generous },
                [this](HttpRequest&& request, std::shared_ptr<HttpResponder> responder) {
                    rpc.serve(request, std::move(responder));
                });
            if (server.has_value())
                m_server = std::move(server).assume_value();
        }
        cr_assert(m_server, "no free port from %d on", firstPort);
    }

    void call(const std::string& method)
    {
        RpcClient client(loop, m_address);
        Json::Value params(Json::objectValue);
        params["text"] = "{}";
        client.call(method, params, generous, [this](const Result<Json::Value>& answer) {
            answered = answer.has_value();
            loop.stop();
        });
        loop.run();
    }

    EventLoop loop;
    LogicalClock serverClock;
    RpcServer rpc;
    bool answered { false };

private:
    std::string m_address;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

Test(RpcStamp, aRequestCarriesTheTimeOfItsSender)
{
    Pair pair;
    pair.loop.logicalClock().advanceTo(40);
    pair.call("echo");
    cr_assert(pair.answered);
    cr_assert(pair.serverClock.time() == 40, "expected 40, got %zu", static_cast<std::size_t>(pair.serverClock.time()));
}

Test(RpcStamp, aResponseCarriesTheTimeOfItsSender)
{
    Pair pair;
    pair.serverClock.advanceTo(70);
    pair.call("echo");
    cr_assert(pair.answered);
    const auto actual = pair.loop.logicalClock().time();
    cr_assert(actual == 70, "expected 70, got %zu", static_cast<std::size_t>(actual));
}

Test(RpcStamp, aRefusalCarriesTheTimeOfItsSender)
{
    Pair pair;
    pair.serverClock.advanceTo(70);
    pair.call("fail");
    cr_assert(!pair.answered);
    cr_assert(pair.loop.logicalClock().time() == 70);
}
