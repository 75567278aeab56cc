#include "wire/HttpClient.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <algorithm>
#include <optional>

namespace oleanderport {

struct HttpConnection::PendingCall {
    HttpConnection* connection { nullptr };
    HttpCall message;
    HttpCallback callback;
    // Null while the call is queued.
    evhttp_request* request { nullptr };
    // Set once bytes of the call may have left this process.
    bool mayHaveBeenSent { false };
    std::optional<evhttp_request_error> error;
    std::unique_ptr<EventLoop::Timer> timer;
    std::unique_ptr<EventLoop::Timer> connectTimer;

    static void onRequestError(evhttp_request_error error, void* self) { static_cast<PendingCall*>(self)->error = error; }
};

namespace {

    evhttp_cmd_type commandOf(HttpMethod method)
    {
        switch (method) {
        case HttpMethod::Get:
            return EVHTTP_REQ_GET;
        case HttpMethod::Delete:
            return EVHTTP_REQ_DELETE;
        default:
            return EVHTTP_REQ_POST;
        }
    }

    HttpAnswer readAnswer(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        HttpAnswer answer { .status = evhttp_request_get_response_code(request), .body = {} };
        answer.body.resize(evbuffer_get_length(input));
        evbuffer_copyout(input, answer.body.data(), answer.body.size());
        if (const char* location = evhttp_find_header(evhttp_request_get_input_headers(request), "Location"))
            answer.location = location;
        return answer;
    }

    // evhttp's timeout covers the connect and a silent peer. The deadline of the whole call fires this much later and
    // covers the rest: an answer that trickles in, or the wait behind a slow call.
    constexpr Milliseconds deadlineSlack { 50 };
    // Practically unlimited: an idle connection stays open until the peer closes it.
    constexpr timeval idleTimeout { 86'400, 0 };
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t microsecondsPerMillisecond = 1000;

} // namespace

HttpConnection::HttpConnection(EventLoop& loop, std::string address)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_alive(std::make_shared<bool>(true))
{
    const auto endpoint = parseEndpoint(m_address);
    if (!endpoint.has_value())
        return;
    m_connection = evhttp_connection_base_new(
        m_loop.base(), nullptr, endpoint.assume_value().ip.c_str(), endpoint.assume_value().port);
    // The policy layer decides on retries, never the transport.
    evhttp_connection_set_retries(m_connection, 0);
    evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection)), &HttpConnection::onOutputChanged, this);
}

// evhttp writes a call to the output buffer only once the connection is established.
void HttpConnection::onOutputChanged(evbuffer*, const evbuffer_cb_info* change, void* self)
{
    auto& pending = static_cast<HttpConnection*>(self)->m_pending;
    if (change->n_added > 0 && !pending.empty())
        pending.front()->mayHaveBeenSent = true;
}

HttpConnection::~HttpConnection()
{
    if (m_connection)
        evhttp_connection_free(m_connection);
}

bool HttpConnection::isConnecting() const
{
    return !m_pending.empty() && m_pending.front()->request && !m_pending.front()->mayHaveBeenSent;
}

void HttpConnection::call(const HttpCall& message, HttpCallback callback)
{
    if (!m_connection) {
        callback(Error { .code = ErrorCode::Unavailable,
            .ran = Ran::No,
            .step = "http.call",
            .peer = m_address,
            .message = "peer address is not IP:port" });
        return;
    }
    m_pending.push_back(std::make_unique<PendingCall>());
    PendingCall* pending = m_pending.back().get();
    pending->connection = this;
    pending->message = message;
    pending->callback = std::move(callback);
    pending->timer = m_loop.once(message.timeout + deadlineSlack, [this, pending] { expire(pending); });
    sendNext();
}

void HttpConnection::sendNext()
{
    if (m_pending.empty() || m_pending.front()->request)
        return;
    PendingCall& next = *m_pending.front();
    const HttpCall& message = next.message;
    evhttp_request* request = evhttp_request_new(&HttpConnection::onRequestDone, &next);
    next.request = request;
    evhttp_request_set_error_cb(request, &PendingCall::onRequestError);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", (message.host.empty() ? m_address : message.host).c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    for (const auto& header : message.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), message.body.data(), message.body.size());
    const timeval timeout { static_cast<time_t>(message.timeout.count / millisecondsPerSecond),
        static_cast<suseconds_t>(message.timeout.count % millisecondsPerSecond * microsecondsPerMillisecond) };
    evhttp_connection_set_timeout_tv(m_connection, &timeout);
    if (message.connectTimeout.count > 0) {
        next.connectTimer = m_loop.once(message.connectTimeout, [this, pending = &next] {
            if (!pending->mayHaveBeenSent)
                expire(pending);
        });
    }
    evhttp_make_request(m_connection, request, commandOf(message.method), message.path.c_str());
}

void HttpConnection::completeCall(const PendingCall& pending, Result<HttpAnswer> end)
{
    const std::weak_ptr<bool> alive = m_alive;
    pending.callback(std::move(end));
    if (!alive.expired())
        sendNext();
}

std::unique_ptr<HttpConnection::PendingCall> HttpConnection::removePending(PendingCall* pending)
{
    const auto position = std::find_if(
        m_pending.begin(), m_pending.end(), [pending](const auto& each) { return each.get() == pending; });
    auto removed = std::move(*position);
    m_pending.erase(position);
    return removed;
}

void HttpConnection::expire(PendingCall* pending)
{
    const auto removed = removePending(pending);
    const bool inFlight = removed->request != nullptr;
    // evhttp calls no callback for a cancelled request, and its timers are destroyed with the call.
    if (inFlight)
        evhttp_cancel_request(removed->request);
    completeCall(*removed,
        Error { .code = ErrorCode::Timeout,
            .ran = removed->mayHaveBeenSent ? Ran::Unknown : Ran::No,
            .step = "http.call",
            .peer = m_address,
            .message = !inFlight ? "timed out behind an earlier call" : removed->mayHaveBeenSent ? "no complete answer within the timeout"
                                                                                                 : "no connection within the timeout" });
}

void HttpConnection::onRequestDone(evhttp_request* request, void* data)
{
    auto* done = static_cast<PendingCall*>(data);
    HttpConnection& connection = *done->connection;
    const auto pending = connection.removePending(done);
    // evhttp's timeout would also close an idle connection.
    if (connection.m_pending.empty())
        evhttp_connection_set_timeout_tv(connection.m_connection, &idleTimeout);
    const int status = request ? evhttp_request_get_response_code(request) : 0;
    if (request && status != 0 && !pending->error)
        return connection.completeCall(*pending, readAnswer(request));
    const bool timedOut = pending->error == EVREQ_HTTP_TIMEOUT;
    connection.completeCall(*pending,
        Error { .code = timedOut ? ErrorCode::Timeout : ErrorCode::Unavailable,
            .ran = pending->mayHaveBeenSent ? Ran::Unknown : Ran::No,
            .step = "http.call",
            .peer = connection.m_address,
            .message = !pending->mayHaveBeenSent ? "cannot connect" : timedOut ? "no answer within the timeout"
                                                                               : "connection lost before the answer" });
}

} // namespace oleanderport
