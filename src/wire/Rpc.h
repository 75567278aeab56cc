#pragma once

#include "oleanderport/Error.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"
#include "wire/MessageCodec.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// JSON-RPC 2.0 over persistent evhttp connections. libjsonrpccpp's batch codec builds the requests. Its connectors
// block and its server answers within the call, so the asynchronous parts are implemented here (see docs/DESIGN.md).
namespace oleanderport {

inline constexpr const char* rpcPath = "/rpc";

// Replies to one RPC, once, now or later.
using RpcReply = std::function<void(Result<Json::Value>)>;
using RpcMethod = std::function<void(const Json::Value& params, RpcReply)>;

// Method table of one process.
class RpcServer {
public:
    // Advances the clock by every request and sends its time with every response. The clock must outlive this object.
    void useClock(LogicalClock& clock) { m_clock = &clock; }

    // Calls of a batch are refused once the answers of those before them take more than this.
    void limitAnswers(std::size_t bytes) { m_maxAnswerBytes = bytes; }

    void add(const std::string& name, RpcMethod);

    // Adds a method with typed request and response. `function` takes the request and a callback for the result.
    template <typename Request, typename Response>
    void addTyped(const std::string& name, std::function<void(Request, std::function<void(Result<Response>)>)> function)
    {
        add(name, [function = std::move(function)](const Json::Value& params, RpcReply reply) {
            Result<Request> request = fromJson<Request>(params);
            if (!request.has_value())
                return reply(std::move(request).assume_error());
            function(std::move(request).assume_value(), [reply = std::move(reply)](Result<Response> response) {
                if (response.has_value())
                    return reply(toJson(response.assume_value()));
                reply(std::move(response).assume_error());
            });
        });
    }

    // Serves one HTTP request whose body is a call or a batch of at most 256 calls.
    void serve(const HttpRequest&, std::shared_ptr<HttpResponder>);

private:
    void dispatch(const Json::Value& call, RpcReply);
    void advanceClock(const Json::Value& call) const;

    LogicalClock* m_clock { nullptr };
    std::size_t m_maxAnswerBytes { 8 * 1024 * 1024 };
    std::map<std::string, RpcMethod> m_methods;
};

// The error for an answer that cannot be parsed. The peer received the call, so ran is Unknown.
Error malformedAnswer(const std::string& peer, const std::string& why);

// Converts the answer of a peer to its message type.
template <typename Response>
Result<Response> readAnswer(const Result<Json::Value>& value, const std::string& peer)
{
    if (!value.has_value())
        return value.assume_error();
    Result<Response> response = fromJson<Response>(value.assume_value());
    if (!response.has_value())
        return malformedAnswer(peer, response.assume_error().message);
    return response;
}

// Calls methods of one peer over one connection, in order. Every call carries the loop's logical time, and every answer
// advances the loop's logical clock to the peer's.
class RpcClient {
public:
    // Without `connectTimeout` a call may spend its whole timeout on connecting.
    RpcClient(EventLoop&, const std::string& address, Milliseconds connectTimeout = {});

    void call(const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply);

    template <typename Response, typename Request>
    void callTyped(const std::string& method, const Request& request, Milliseconds timeout,
        std::function<void(Result<Response>)> callback)
    {
        call(method, toJson(request), timeout,
            [peer = address(), callback = std::move(callback)](const Result<Json::Value>& value) {
                callback(readAnswer<Response>(value, peer));
            });
    }

    const std::string& address() const { return m_connection.address(); }
    bool isConnecting() const { return m_connection.isConnecting(); }

private:
    LogicalClock& m_clock;
    HttpConnection m_connection;
    Milliseconds m_connectTimeout;
};

// Calls methods of one peer in batches. Calls made while a batch is in flight are sent together in the next one, so a
// slow answer delays one batch instead of each call in turn. The peer answers a batch once its last call is done, so
// use this only for methods that do not wait for other events. A call that could not be sent within its timeout ends
// with Timeout (ran: no).
class RpcBatcher {
public:
    RpcBatcher(EventLoop&, const std::string& address, Milliseconds connectTimeout = {});
    ~RpcBatcher();
    RpcBatcher(const RpcBatcher&) = delete;
    RpcBatcher& operator=(const RpcBatcher&) = delete;

    void call(const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply);

private:
    struct QueuedCall {
        std::string method;
        Json::Value params;
        Milliseconds sendBy {};
        RpcReply callback;
    };

    void flush();
    std::vector<QueuedCall> dequeueBatch(Milliseconds now);
    void onAnswer(std::vector<QueuedCall>&, const Result<HttpAnswer>&);

    LogicalClock& m_clock;
    HttpConnection m_connection;
    Milliseconds m_connectTimeout;
    std::vector<QueuedCall> m_queue;
    bool m_inFlight { false };
    // Watched by batches in flight; expires with this object.
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
