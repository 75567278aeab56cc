#pragma once

#include "policy/LeaderSearch.h"
#include "wire/ControlMessages.h"
#include "wire/Rpc.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oleanderport {

// Finds the leader of the control group and calls it. A NotLeader error redirects the call to the leader that it names;
// after an instance that does not answer, the next one is tried. While a call is unanswered, other instances are queried for
// the leader, one after the other. Such a query changes nothing; the call itself is sent to one instance at a time, and moves
// once another instance answers that it leads. Session calls and all other calls use separate connections, so that a slow
// commit does not delay a lease renewal.
class ControlClient {
public:
    enum class Channel {
        Session,
        Batched,
    };

    ControlClient(EventLoop&, std::vector<std::string> peers);

    // Replaces the configured instances. Calls in flight are not affected.
    void setPeers(std::vector<std::string> peers) { m_search.setPeers(std::move(peers)); }

    void call(Channel, const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply);

    template <typename Response, typename Request>
    void callTyped(Channel channel, const std::string& method, const Request& request, Milliseconds timeout,
        std::function<void(Result<Response>)> callback)
    {
        call(channel, method, toJson(request), timeout, [callback = std::move(callback)](const Result<Json::Value>& value) {
            callback(readAnswer<Response>(value, "control"));
        });
    }

private:
    struct PendingCall;

    void send(const PendingCall&, const std::string& address, Milliseconds timeout, RpcReply);
    void attempt(std::shared_ptr<PendingCall>);
    void onAnswer(const std::shared_ptr<PendingCall>&, const std::string& address, Result<Json::Value>);
    // Queries one other instance after the search's delay, and so on until the attempt is over.
    void scheduleQuery(const std::shared_ptr<PendingCall>&, const std::string& asked);
    void query(const std::shared_ptr<PendingCall>&, const std::string& asked, const std::string& address);
    // Sends the call to the instance, which answered that it leads, in place of the one that it was sent to.
    void move(const std::shared_ptr<PendingCall>&, const std::string& leader);

    // Selects the instance for the next attempt and returns the delay before it.
    Milliseconds retryDelay(PendingCall&, const Error&, const std::string& address);

    EventLoop& m_loop;
    std::mt19937_64 m_random;
    LeaderSearch m_search;
    std::map<std::string, std::unique_ptr<RpcClient>> m_session;
    // A claim waits for a synced commit; claims made in the meantime are batched.
    std::map<std::string, std::unique_ptr<RpcBatcher>> m_work;
    // Queries don't wait behind a call that the instance holds.
    std::map<std::string, std::unique_ptr<RpcClient>> m_queries;
    // Expires with this object; callbacks check it.
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
