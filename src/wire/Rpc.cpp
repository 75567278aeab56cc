#include "wire/Rpc.h"

#include <fmt/format.h>
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

    // Member of the envelope that carries the sender's logical time.
    constexpr const char* logicalMember = "logical";

    Json::Value envelope(const Json::Value& id, Result<Json::Value>&& result, const LogicalClock* clock)
    {
        Json::Value value(Json::objectValue);
        value["jsonrpc"] = "2.0";
        if (clock)
            value[logicalMember] = static_cast<Json::UInt64>(clock->stamp());
        value["id"] = id;
        if (result.has_value()) {
            value["result"] = std::move(result).assume_value();
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

    // The batch codec keeps its envelope to itself, so the stamp is put into its text, behind the first brace.
    std::string stamped(std::string text, std::uint64_t logical)
    {
        const auto brace = text.find('{');
        return text.insert(brace + 1, fmt::format("\"{}\":{},", logicalMember, logical));
    }

    Result<Json::Value> unwrap(const Result<HttpAnswer>& answer, const std::string& peer, LogicalClock& clock)
    {
        if (!answer.has_value())
            return answer.assume_error();
        auto parsed = parseJson(answer.assume_value().body);
        if (!parsed.has_value())
            return unreadableAnswer(peer, "not JSON");
        Json::Value& value = parsed.assume_value();
        Json::Value& first = value.isArray() && !value.empty() ? value[0] : value;
        const bool isAnswer = first.isObject() && first["jsonrpc"] == "2.0"
            && (first.isMember("result") || first["error"].isObject());
        if (!isAnswer)
            return unreadableAnswer(peer, "not a JSON-RPC answer");
        if (first[logicalMember].isUInt64())
            clock.witness(first[logicalMember].asUInt64());
        if (first.isMember("error"))
            return errorFromJson(first["error"]["data"], peer);
        // Moved, since a copy of a large answer costs as much as reading it.
        return std::move(first["result"]);
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
        responder->reply({ .status = 400, .body = writeJson(envelope({}, Error(parsed.assume_error()), m_clock)) });
        return;
    }
    const Json::Value& body = parsed.assume_value();
    auto batch = std::make_shared<PendingBatch>();
    batch->responder = std::move(responder);
    batch->isBatch = body.isArray();
    batch->missing = batch->isBatch ? body.size() : 1;
    if (batch->missing == 0) {
        batch->responder->reply({ .status = 400, .body = writeJson(envelope({}, badCall("empty batch"), m_clock)) });
        return;
    }
    const Json::ArrayIndex count = batch->missing;
    for (Json::ArrayIndex i = 0; i < count; ++i) {
        const Json::Value& call = batch->isBatch ? body[i] : body;
        const Json::Value id = call.isObject() ? call["id"] : Json::Value();
        dispatch(call,
            [this, batch, i, id](
                Result<Json::Value> result) { batch->finish(i, envelope(id, std::move(result), m_clock)); });
    }
}

void RpcServer::dispatch(const Json::Value& call, RpcReply reply)
{
    if (!call.isObject() || call["jsonrpc"] != "2.0" || !call["method"].isString())
        return reply(badCall("not a JSON-RPC 2.0 call"));
    witness(call);
    const auto method = m_methods.find(call["method"].asString());
    if (method == m_methods.end())
        return reply(badCall("unknown method " + call["method"].asString()));
    method->second(call["params"], std::move(reply));
}

void RpcServer::witness(const Json::Value& call) const
{
    if (m_clock && call[logicalMember].isUInt64())
        m_clock->witness(call[logicalMember].asUInt64());
}

RpcClient::RpcClient(EventLoop& loop, const std::string& address)
    : m_clock(loop.logicalClock())
    , m_connection(loop, address)
{
}

void RpcClient::call(const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply callback)
{
    jsonrpc::BatchCall batch;
    batch.addCall(method, params);
    const HttpCall message { .method = HttpMethod::Post,
        .path = rpcPath,
        .body = stamped(batch.toString(true), m_clock.stamp()),
        .timeout = timeout };
    // The clock belongs to the loop, which outlives every call made on it.
    m_connection.call(
        message, [&clock = m_clock, peer = address(), callback = std::move(callback)](const Result<HttpAnswer>& answer) {
            callback(unwrap(answer, peer, clock));
        });
}

} // namespace oleanderport
