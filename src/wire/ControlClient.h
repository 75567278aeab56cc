#pragma once

#include "wire/ControlMessages.h"
#include "wire/Rpc.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oleanderport {

// Finds the leader among the control instances and calls it. A refusal that says NotLeader is followed to the named
// leader; an instance that does not answer is passed over for the next. Calls go on separate connections for
// heartbeats and for the rest, so a slow commit does not delay a lease.
class ControlClient {
public:
    enum class Lane {
        Session,
        Work,
    };

    ControlClient(EventLoop&, std::vector<std::string> peers);

    // Asks these instances from now on. What is under way goes on.
    void setPeers(std::vector<std::string> peers) { m_peers = std::move(peers); }

    void call(Lane, const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply);

    template <typename Response, typename Request>
    void callTyped(Lane lane, const std::string& method, const Request& request, Milliseconds timeout,
        std::function<void(Result<Response>)> callback)
    {
        call(lane, method, toJson(request), timeout, [callback = std::move(callback)](const Result<Json::Value>& value) {
            callback(readAnswer<Response>(value, "control"));
        });
    }

private:
    struct Attempt;

    void send(const Attempt&, const std::string& address, Milliseconds timeout, RpcReply);
    void attempt(std::shared_ptr<Attempt>);
    void follow(const Error&, const std::string& asked);

    // When to try again after this error.
    Milliseconds pauseAfter(Attempt&, const Error&, const std::string& asked);

    EventLoop& m_loop;
    std::mt19937_64 m_random;
    std::vector<std::string> m_peers;
    std::string m_leader;
    // The peer that was asked last.
    std::string m_lastPeer;
    std::map<std::string, std::unique_ptr<RpcClient>> m_session;
    // A claim waits for a synced commit; claims made meanwhile go together.
    std::map<std::string, std::unique_ptr<RpcBatcher>> m_work;
    // Guards callbacks that outlive this object.
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
