#include "wire/Rpc.h"

#include "base/Log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <jsonrpccpp/client/batchcall.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace oleanderport {

namespace {

    constexpr int applicationErrorCode = -32000;

    Error badRequest(std::string message)
    {
        return Error { .code = ErrorCode::BadRequest,
            .ran = Ran::No,
            .step = "rpc.dispatch",
            .peer = {},
            .message = std::move(message) };
    }

    // Field of the envelope with the sender's logical time.
    constexpr const char* logicalTimeField = "logical";

    Json::Value envelope(const Json::Value& id, Result<Json::Value>&& result, const LogicalClock* clock)
    {
        Json::Value value(Json::objectValue);
        value["jsonrpc"] = "2.0";
        if (clock)
            value[logicalTimeField] = static_cast<Json::UInt64>(clock->time());
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

    constexpr std::size_t maxCallsPerBatch = 256;

    // Collects the answers of one batch and replies once all are present. Answers are held as text, which takes a tenth of the memory of
    // their values.
    struct PendingBatch {
        std::shared_ptr<HttpResponder> responder;
        const LogicalClock* clock { nullptr };
        std::size_t maxAnswerBytes { 0 };
        std::vector<std::string> answers;
        std::size_t answerBytes { 0 };
        std::size_t remaining { 0 };
        bool isBatch { false };

        bool isFull() const { return answerBytes > maxAnswerBytes; }

        void finish(std::size_t index, const Json::Value& id, Result<Json::Value>&& result)
        {
            if (isFull() && result.has_value())
                result = tooLargeAnswers(Ran::Unknown);
            answers[index] = writeJson(envelope(id, std::move(result), clock));
            answerBytes += answers[index].size();
            if (--remaining == 0)
                responder->reply({ .body = isBatch ? fmt::format("[{}]", fmt::join(answers, ",")) : std::move(answers[0]) });
        }

        Error tooLargeAnswers(Ran ran) const
        {
            return { .code = ErrorCode::Unavailable,
                .ran = ran,
                .step = "rpc.batch",
                .message = fmt::format("the answers of a batch took more than {} bytes", maxAnswerBytes) };
        }
    };

    // The batch codec does not expose its envelope, so the logical time is put into the text after the first brace.
    std::string withLogicalTime(std::string text, std::uint64_t logical)
    {
        const auto brace = text.find('{');
        return text.insert(brace + 1, fmt::format("\"{}\":{},", logicalTimeField, logical));
    }

    // Extracts the result or error of one envelope. Moves, since copying a large answer costs as much as parsing it.
    Result<Json::Value> unwrapEnvelope(Json::Value& envelope, const std::string& peer, LogicalClock& clock)
    {
        const bool isAnswer = envelope.isObject() && envelope["jsonrpc"] == "2.0"
            && (envelope.isMember("result") || envelope["error"].isObject());
        if (!isAnswer)
            return malformedAnswer(peer, "answer is not a JSON-RPC envelope");
        if (envelope[logicalTimeField].isUInt64())
            clock.advanceTo(envelope[logicalTimeField].asUInt64());
        if (envelope.isMember("error"))
            return errorFromJson(envelope["error"]["data"], peer);
        return std::move(envelope["result"]);
    }

    Result<Json::Value> parseAnswer(const Result<HttpAnswer>& answer, const std::string& peer)
    {
        if (!answer.has_value())
            return answer.assume_error();
        auto parsed = parseJson(answer.assume_value().body);
        if (!parsed.has_value())
            return malformedAnswer(peer, "answer is not JSON");
        return parsed;
    }

    Result<Json::Value> readSingleAnswer(const Result<HttpAnswer>& answer, const std::string& peer, LogicalClock& clock)
    {
        BOOST_OUTCOME_TRY(auto value, parseAnswer(answer, peer));
        return unwrapEnvelope(value.isArray() && !value.empty() ? value[0] : value, peer, clock);
    }

} // namespace

Error malformedAnswer(const std::string& peer, const std::string& why)
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
    const Json::ArrayIndex count = body.isArray() ? body.size() : 1;
    if (count == 0 || count > maxCallsPerBatch) {
        const Error error = badRequest(fmt::format("expected 1 to {} calls in a batch, got {}", maxCallsPerBatch, count));
        responder->reply({ .status = 400, .body = writeJson(envelope({}, error, m_clock)) });
        return;
    }
    if (!responder->retain(request.body.size())) {
        const Error error { .code = ErrorCode::Unavailable, .ran = Ran::No, .step = "rpc.serve", .message = "requests in service hold too many bytes here" };
        responder->reply({ .status = httpStatus(error.code), .body = writeJson(envelope({}, error, m_clock)) });
        return;
    }
    const auto batch = std::make_shared<PendingBatch>(PendingBatch { .responder = std::move(responder),
        .clock = m_clock,
        .maxAnswerBytes = m_maxAnswerBytes,
        .answers = std::vector<std::string>(count),
        .remaining = count,
        .isBatch = body.isArray() });
    for (Json::ArrayIndex i = 0; i < count; ++i) {
        const Json::Value& call = batch->isBatch ? body[i] : body;
        const Json::Value id = call.isObject() ? call["id"] : Json::Value();
        if (batch->isFull())
            batch->finish(i, id, batch->tooLargeAnswers(Ran::No));
        else
            dispatch(call, [batch, i, id](Result<Json::Value> result) { batch->finish(i, id, std::move(result)); });
    }
}

void RpcServer::dispatch(const Json::Value& call, RpcReply reply)
{
    if (!call.isObject() || call["jsonrpc"] != "2.0" || !call["method"].isString())
        return reply(badRequest("not a JSON-RPC 2.0 call"));
    advanceClock(call);
    const auto method = m_methods.find(call["method"].asString());
    if (method == m_methods.end())
        return reply(badRequest("unknown method " + call["method"].asString()));
    // A method may have replied before it throws.
    const RpcReply once = [reply = std::make_shared<RpcReply>(std::move(reply))](Result<Json::Value> result) {
        if (const RpcReply first = std::exchange(*reply, nullptr))
            first(std::move(result));
    };
    try {
        method->second(call["params"], once);
    } catch (const std::exception& exception) {
        // The method may have done part of its work.
        const Error error { .code = ErrorCode::Internal, .ran = Ran::Unknown, .step = "rpc." + method->first, .peer = {}, .message = exception.what() };
        logError(LogLevel::Error, error);
        once(error);
    }
}

void RpcServer::advanceClock(const Json::Value& call) const
{
    if (m_clock && call[logicalTimeField].isUInt64())
        m_clock->advanceTo(call[logicalTimeField].asUInt64());
}

RpcClient::RpcClient(EventLoop& loop, const std::string& address, Milliseconds connectTimeout)
    : m_clock(loop.logicalClock())
    , m_connection(loop, address)
    , m_connectTimeout(connectTimeout)
{
}

void RpcClient::call(const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply callback)
{
    jsonrpc::BatchCall batch;
    batch.addCall(method, params);
    const HttpCall message { .method = HttpMethod::Post,
        .path = rpcPath,
        .body = withLogicalTime(batch.toString(true), m_clock.time()),
        .timeout = timeout,
        .headers = {},
        .connectTimeout = m_connectTimeout };
    // The clock belongs to the loop, which outlives all calls.
    m_connection.call(
        message, [&clock = m_clock, peer = address(), callback = std::move(callback)](const Result<HttpAnswer>& answer) {
            callback(readSingleAnswer(answer, peer, clock));
        });
}

RpcBatcher::RpcBatcher(EventLoop& loop, const std::string& address, Milliseconds connectTimeout)
    : m_clock(loop.logicalClock())
    , m_connection(loop, address)
    , m_connectTimeout(connectTimeout)
    , m_alive(std::make_shared<bool>(true))
{
}

RpcBatcher::~RpcBatcher() { *m_alive = false; }

void RpcBatcher::call(const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply callback)
{
    m_queue.push_back({ .method = method,
        .params = params,
        .sendBy = Clock::now() + timeout,
        .callback = std::move(callback) });
    flush();
}

std::vector<RpcBatcher::QueuedCall> RpcBatcher::dequeueBatch(Milliseconds now)
{
    const auto firstLate = std::stable_partition(
        m_queue.begin(), m_queue.end(), [now](const QueuedCall& each) { return now < each.sendBy; });
    std::vector<QueuedCall> late(std::make_move_iterator(firstLate), std::make_move_iterator(m_queue.end()));
    m_queue.erase(firstLate, m_queue.end());
    const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(std::min(m_queue.size(), maxCallsPerBatch));
    std::vector<QueuedCall> batch(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
    m_queue.erase(m_queue.begin(), end);
    const std::string peer = m_connection.address();
    for (const auto& call : late) {
        call.callback(Error { .code = ErrorCode::Timeout,
            .ran = Ran::No,
            .step = "rpc.batch",
            .peer = peer,
            .message = "timed out behind an earlier call" });
    }
    return batch;
}

void RpcBatcher::flush()
{
    if (m_inFlight || m_queue.empty())
        return;
    // The callback of an expired call may make another call, which then waits for the next batch.
    m_inFlight = true;
    const Milliseconds now = Clock::now();
    const std::weak_ptr<bool> alive = m_alive;
    auto batch = std::make_shared<std::vector<QueuedCall>>(dequeueBatch(now));
    if (alive.expired())
        return;
    if (batch->empty()) {
        m_inFlight = false;
        return flush();
    }
    jsonrpc::BatchCall message;
    Milliseconds timeout { 1 };
    for (const auto& call : *batch) {
        message.addCall(call.method, call.params);
        timeout = std::max(timeout, call.sendBy - now);
    }
    const HttpCall http { .method = HttpMethod::Post,
        .path = rpcPath,
        .body = withLogicalTime(message.toString(false), m_clock.time()),
        .timeout = timeout,
        .headers = {},
        .connectTimeout = m_connectTimeout };
    m_connection.call(http, [this, alive, batch](const Result<HttpAnswer>& answer) {
        if (!alive.expired())
            onAnswer(*batch, answer);
    });
}

void RpcBatcher::onAnswer(std::vector<QueuedCall>& batch, const Result<HttpAnswer>& answer)
{
    const std::string peer = m_connection.address();
    const std::weak_ptr<bool> alive = m_alive;
    auto parsed = parseAnswer(answer, peer);
    m_inFlight = false;
    flush();
    for (Json::ArrayIndex i = 0; i < batch.size() && !alive.expired(); ++i) {
        if (!parsed.has_value()) {
            batch[i].callback(parsed.assume_error());
            continue;
        }
        Json::Value& value = parsed.assume_value();
        if (value.isArray() && value.size() == batch.size())
            batch[i].callback(unwrapEnvelope(value[i], peer, m_clock));
        else
            batch[i].callback(malformedAnswer(peer, "answer does not match the batch"));
    }
}

} // namespace oleanderport
