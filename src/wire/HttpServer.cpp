#include "wire/HttpServer.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include <charconv>

namespace oleanderport {

namespace {

    constexpr int maxPort = 65535;
    constexpr std::size_t maxHeaderBytes = 16 * 1024;
    // evhttp closes the connection of a body far above the limit; one a little above it still gets a typed error.
    constexpr std::size_t hardLimitFactor = 4;
    constexpr std::int64_t millisecondsPerSecond = 1000;

    HttpMethod methodOf(evhttp_request* request)
    {
        switch (evhttp_request_get_command(request)) {
        case EVHTTP_REQ_GET:
            return HttpMethod::Get;
        case EVHTTP_REQ_POST:
            return HttpMethod::Post;
        case EVHTTP_REQ_DELETE:
            return HttpMethod::Delete;
        default:
            return HttpMethod::Other;
        }
    }

    std::string peerOf(evhttp_request* request)
    {
        char* ip = nullptr;
        ev_uint16_t port = 0;
        evhttp_connection_get_peer(evhttp_request_get_connection(request), &ip, &port);
        return fmt::format("{}:{}", ip ? ip : "unknown", port);
    }

    std::string textOrEmpty(const char* text) { return text ? text : ""; }

    std::string bodyOf(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        return body;
    }

    std::string reasonOf(int status) { return status < 300 ? "OK" : "Refused"; }

    // Counts one reply from its begin until it has left the process or its connection has closed.
    struct UnsentReply {
        std::shared_ptr<std::size_t> count;

        static void begin(evhttp_request* request, const std::shared_ptr<std::size_t>& count)
        {
            ++*count;
            auto* reply = new UnsentReply { .count = count };
            evhttp_connection_set_closecb(evhttp_request_get_connection(request), &UnsentReply::closed, reply);
            evhttp_request_set_on_complete_cb(request, &UnsentReply::sent, reply);
        }

        static void sent(evhttp_request* request, void* self)
        {
            evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
            closed(nullptr, self);
        }

        static void closed(evhttp_connection*, void* self)
        {
            auto* reply = static_cast<UnsentReply*>(self);
            --*reply->count;
            delete reply;
        }
    };

} // namespace

HttpResponder::HttpResponder(evhttp_request* request, std::shared_ptr<std::size_t> unsent)
    : m_request(request)
    , m_unsent(std::move(unsent))
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), &HttpResponder::connectionClosed, this);
}

HttpResponder::~HttpResponder()
{
    if (m_request)
        reply({ .status = 500, .body = R"({"error":{"code":"internal","ran":"unknown","step":"http"}})" });
}

void HttpResponder::connectionClosed(evhttp_connection*, void* self)
{
    // The connection frees the request as its owner once it closes.
    static_cast<HttpResponder*>(self)->m_request = nullptr;
}

void HttpResponder::reply(const HttpReply& answer)
{
    if (!m_request)
        return;
    evhttp_request* request = m_request;
    m_request = nullptr;
    UnsentReply::begin(request, m_unsent);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", answer.contentType.c_str());
    if (answer.retryAfter.count > 0) {
        const auto seconds = (answer.retryAfter.count + millisecondsPerSecond - 1) / millisecondsPerSecond;
        evhttp_add_header(headers, "Retry-After", fmt::format("{}", seconds).c_str());
    }
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, answer.body.data(), answer.body.size());
    evhttp_send_reply(request, answer.status, reasonOf(answer.status).c_str(), body);
    evbuffer_free(body);
}

HttpServer::HttpServer(EventLoop& loop, HttpHandler handler)
    : m_handler(std::move(handler))
    , m_http(evhttp_new(loop.base()))
    , m_openRequests(std::make_shared<std::size_t>(0))
    , m_unsentReplies(std::make_shared<std::size_t>(0))
{
    evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE | EVHTTP_REQ_PUT);
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(maxHeaderBytes));
    evhttp_set_gencb(m_http, &HttpServer::received, this);
}

HttpServer::~HttpServer() { evhttp_free(m_http); }

Result<std::unique_ptr<HttpServer>> HttpServer::listen(
    EventLoop& loop, const HttpServerOptions& options, HttpHandler handler)
{
    BOOST_OUTCOME_TRY(const auto endpoint, parseEndpoint(options.address));
    std::unique_ptr<HttpServer> server(new HttpServer(loop, std::move(handler)));
    evhttp_set_max_body_size(server->m_http, static_cast<ev_ssize_t>(options.maxBodyBytes * hardLimitFactor));
    if (options.idleTimeout.count > 0)
        evhttp_set_timeout(server->m_http, static_cast<int>(options.idleTimeout.count / millisecondsPerSecond));
    server->m_socket = evhttp_bind_socket_with_handle(server->m_http, endpoint.ip.c_str(), endpoint.port);
    if (!server->m_socket) {
        return Error { .code = ErrorCode::Unavailable,
            .ran = Ran::No,
            .step = "http.listen",
            .peer = options.address,
            .message = "cannot bind this address" };
    }
    return server;
}

void HttpServer::stopAccepting()
{
    if (!m_socket)
        return;
    evhttp_del_accept_socket(m_http, m_socket);
    m_socket = nullptr;
}

void HttpServer::received(evhttp_request* request, void* self)
{
    auto* server = static_cast<HttpServer*>(self);
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    HttpRequest message { .method = methodOf(request),
        .path = textOrEmpty(uri ? evhttp_uri_get_path(uri) : nullptr),
        .query = textOrEmpty(uri ? evhttp_uri_get_query(uri) : nullptr),
        .peer = peerOf(request),
        .body = bodyOf(request) };
    auto counter = server->m_openRequests;
    ++*counter;
    std::shared_ptr<HttpResponder> responder(new HttpResponder(request, server->m_unsentReplies), [counter](HttpResponder* self) {
        delete self;
        --*counter;
    });
    server->m_handler(std::move(message), std::move(responder));
}

Result<Endpoint> parseEndpoint(const std::string& address)
{
    const Error bad { .code = ErrorCode::BadSettings,
        .ran = Ran::No,
        .step = "settings.address",
        .peer = address,
        .message = "expected IP:port" };
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return bad;
    int port = 0;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port < 0 || port > maxPort)
        return bad;
    return Endpoint { .ip = address.substr(0, colon), .port = static_cast<std::uint16_t>(port) };
}

} // namespace oleanderport
