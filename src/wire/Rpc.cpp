#include "wire/Rpc.h"

#include <jsonrpccpp/client/batchcall.h>

namespace oleanderport {

namespace {

    constexpr int applicationErrorCode = -32000;

    Error badCall(std::string message)
    {
        return Error { .code = ErrorCode::BadRequest,
            .ran = Ran::No,
            .step = "rpc.dispatch",
            .peer = {},
            .message = std::move(message) };
    }

    Json::Value envelope(const Json::Value& id, const Result<Json::Value>& result)
    {
        Json::Value value(Json::objectValue);
        value["jsonrpc"] = "2.0";
        value["id"] = id;
        if (result.has_value()) {
            value["result"] = result.assume_value();
            return value;
        }
        value["error"]["code"] = applicationErrorCode;
        value["error"]["message"] = result.assume_error().message;
        value["error"]["data"] = errorToJson(result.assume_error());
        return value;
    }

    // Gathers the answers of one batch and replies when the last has come.
    struct PendingBatch {
        std::shared_ptr<HttpResponder> responder;
        Json::Value answers { Json::arrayValue };
        Json::ArrayIndex missing { 0 };
        bool isBatch { false };

        void finish(Json::ArrayIndex index, Json::Value answer)
        {
            answers[index] = std::move(answer);
            if (--missing == 0)
                responder->reply({ .body = writeJson(isBatch ? answers : answers[0]) });
        }
    };

    Result<Json::Value> unwrap(const Result<HttpAnswer>& answer, const std::string& peer)
    {
        if (!answer.has_value())
            return answer.assume_error();
        const auto parsed = parseJson(answer.assume_value().body);
        if (!parsed.has_value())
            return unreadableAnswer(peer, "not JSON");
        const Json::Value& value = parsed.assume_value();
        const Json::Value& first = value.isArray() && !value.empty() ? value[0] : value;
        const bool isAnswer = first.isObject() && first["jsonrpc"] == "2.0"
            && (first.isMember("result") || first.isMember("error"));
        if (!isAnswer)
            return unreadableAnswer(peer, "not a JSON-RPC answer");
        if (first.isMember("error"))
            return errorFromJson(first["error"]["data"], peer);
        return first["result"];
    }

} // namespace

Error unreadableAnswer(const std::string& peer, const std::string& why)
{
    return Error { .code = ErrorCode::Unavailable,
        .ran = Ran::Unknown,
        .step = "rpc.answer",
        .peer = peer,
        .message = why };
}

void RpcServer::add(const std::string& name, RpcMethod method) { m_methods[name] = std::move(method); }

void RpcServer::serve(const HttpRequest& request, std::shared_ptr<HttpResponder> responder)
{
    const auto parsed = parseJson(request.body);
    if (!parsed.has_value()) {
        responder->reply({ .status = 400, .body = writeJson(envelope({}, parsed.assume_error())) });
        return;
    }
    const Json::Value& body = parsed.assume_value();
    auto batch = std::make_shared<PendingBatch>();
    batch->responder = std::move(responder);
    batch->isBatch = body.isArray();
    batch->missing = batch->isBatch ? body.size() : 1;
    if (batch->missing == 0) {
        batch->responder->reply({ .status = 400, .body = writeJson(envelope({}, badCall("empty batch"))) });
        return;
    }
    const Json::ArrayIndex count = batch->missing;
    for (Json::ArrayIndex i = 0; i < count; ++i) {
        const Json::Value& call = batch->isBatch ? body[i] : body;
        const Json::Value id = call.isObject() ? call["id"] : Json::Value();
        dispatch(call,
            [batch, i, id](const Result<Json::Value>& result) { batch->finish(i, envelope(id, result)); });
    }
}

void RpcServer::dispatch(const Json::Value& call, RpcReply reply)
{
    if (!call.isObject() || call["jsonrpc"] != "2.0" || !call["method"].isString())
        return reply(badCall("not a JSON-RPC 2.0 call"));
    const auto method = m_methods.find(call["method"].asString());
    if (method == m_methods.end())
        return reply(badCall("unknown method " + call["method"].asString()));
    method->second(call["params"], std::move(reply));
}

RpcClient::RpcClient(EventLoop& loop, const std::string& address)
    : m_connection(loop, address)
{
}

void RpcClient::call(const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply callback)
{
    jsonrpc::BatchCall batch;
    batch.addCall(method, params);
    HttpCall message { .method = HttpMethod::Post, .path = rpcPath, .body = batch.toString(true), .timeout = timeout };
    m_connection.call(message, [peer = address(), callback = std::move(callback)](const Result<HttpAnswer>& answer) {
        callback(unwrap(answer, peer));
    });
}

} // namespace oleanderport
