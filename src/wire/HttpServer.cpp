#include "wire/HttpServer.h"

#include "base/Log.h"
#include "wire/HttpConnections.h"
#include "wire/JsonCost.h"
#include "wire/MessageCodec.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <string_view>
#include <utility>

namespace oleanderport {

namespace {

    constexpr int maxPort = 65535;
    // evhttp closes the connection of a body far above the limit; one slightly above it still gets a typed error.
    constexpr std::size_t hardLimitFactor = 4;
    constexpr std::int64_t millisecondsPerSecond = 1000;

    constexpr int badRequestStatus = 400;
    constexpr Milliseconds sweepPeriod { 250 };
    constexpr ev_uint16_t allMethods = 0xffff;
    // Of a server without a shared intake; four of the largest requests fit.
    constexpr std::size_t ownIntakeFactor = 4;
    // A body of the hard limit in chunks of one byte has six times its bytes. evhttp counts only the body and refuses first.
    constexpr std::size_t rawBytesFactor = 6;
    constexpr std::size_t bytesPerJsonValue = 32;
    constexpr std::size_t minDefaultJsonValues = 20'000;

    // libevent hands the callback of a failed accept evhttp's argument, not one of this server.
    std::map<evconnlistener*, HttpServer*>& serverOfListener()
    {
        thread_local std::map<evconnlistener*, HttpServer*> servers;
        return servers;
    }

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

    // Takes the body out of the request, so that it is held once.
    std::string takeBody(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, body.data(), body.size());
        return body;
    }

    // Host header without the port.
    std::string hostOf(evhttp_request* request)
    {
        std::string host = textOrEmpty(evhttp_find_header(evhttp_request_get_input_headers(request), "Host"));
        const auto colon = host.rfind(':');
        if (colon != std::string::npos && host.find(']', colon) == std::string::npos)
            host.resize(colon);
        return host;
    }

    std::string reasonOf(int status) { return status < 300 ? "OK" : "Refused"; }

    // Counts one reply from its start until it is fully sent or its connection is closed.
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

HttpResponder::HttpResponder(evhttp_request* request, std::shared_ptr<std::size_t> unsent, std::function<bool(std::size_t bytes)> retain)
    : m_request(request)
    , m_unsent(std::move(unsent))
    , m_retain(std::move(retain))
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), &HttpResponder::connectionClosed, this);
}

HttpResponder::~HttpResponder()
{
    if (m_request)
        reply({ .status = unknownOutcomeStatus, .body = R"({"error":{"code":"internal","ran":"unknown","step":"http"}})" });
}

void HttpResponder::connectionClosed(evhttp_connection*, void* self)
{
    auto* responder = static_cast<HttpResponder*>(self);
    // evhttp frees the request with its connection, unless it detected the close while the request was open.
    evhttp_request* request = std::exchange(responder->m_request, nullptr);
    if (!evhttp_request_get_connection(request))
        evhttp_request_free(request);
    if (const auto callback = std::exchange(responder->m_onPeerDisconnected, nullptr))
        callback();
}

void HttpResponder::onPeerDisconnected(std::function<void()> callback)
{
    if (!m_request)
        return callback();
    m_onPeerDisconnected = std::move(callback);
    watchPeer();
}

void HttpResponder::watchPeer()
{
    if (std::exchange(m_isWatching, true))
        return;
    // evhttp does not read while a request is handled, and aborts the process if its read callback gets data then. With
    // these watermarks the connection is read, so that a close is detected, but evhttp's callback is not called.
    bufferevent* connection = evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request));
    bufferevent_setwatermark(connection, EV_READ, maxReadAheadBytes + 1, maxReadAheadBytes);
    bufferevent_enable(connection, EV_READ);
}

void HttpResponder::stopWatchingPeer()
{
    m_onPeerDisconnected = nullptr;
    if (!std::exchange(m_isWatching, false))
        return;
    bufferevent* connection = evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request));
    bufferevent_disable(connection, EV_READ);
    bufferevent_setwatermark(connection, EV_READ, 0, 0);
}

void HttpResponder::reply(const HttpReply& answer)
{
    if (!m_request)
        return;
    stopWatchingPeer();
    evhttp_request* request = m_request;
    m_request = nullptr;
    UnsentReply::begin(request, m_unsent);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", answer.contentType.c_str());
    if (answer.retryAfter.count > 0) {
        const auto seconds = (answer.retryAfter.count + millisecondsPerSecond - 1) / millisecondsPerSecond;
        evhttp_add_header(headers, "Retry-After", fmt::format("{}", seconds).c_str());
    }
    if (answer.close)
        evhttp_add_header(headers, "Connection", "close");
    if (!answer.location.empty())
        evhttp_add_header(headers, "Location", answer.location.c_str());
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, answer.body.data(), answer.body.size());
    evhttp_send_reply(request, answer.status, reasonOf(answer.status).c_str(), body);
    evbuffer_free(body);
}

HttpServer::HttpServer(EventLoop& loop, const HttpServerOptions& options, HttpHandler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_headers(options.headers)
    , m_maxBodyBytes(options.maxBodyBytes)
    , m_maxJsonValues(options.maxJsonValues.value_or(defaultMaxJsonValues(options.maxBodyBytes)))
    , m_http(evhttp_new(loop.base()))
    , m_openRequests(std::make_shared<std::size_t>(0))
    , m_unsentReplies(std::make_shared<std::size_t>(0))
    , m_connections(std::make_shared<HttpConnections>())
    , m_intake(options.intake)
{
    const std::size_t maxRequestBytes = maxHeaderBytes + maxReadAheadBytes + options.maxBodyBytes * hardLimitFactor * rawBytesFactor;
    if (!m_intake)
        m_intake = std::make_shared<RequestIntake>(RequestIntakeOptions { .maxBytes = maxRequestBytes * ownIntakeFactor, .maxConnections = options.maxConnections });
    m_connections->intake = m_intake;
    m_connections->maxRequestBytes = maxRequestBytes;
    m_connections->overBudgetStatus = options.overBudgetStatus;
    m_connections->onOverload = [this] {
        if (!m_closing)
            m_closing = m_loop.once({}, [this] {
                const auto finished = std::exchange(m_closing, nullptr);
                m_connections->closeRefused();
            });
    };
    m_connections->requestTimeout = options.requestTimeout;
    // Unsupported methods get a typed error from the handler instead of evhttp's page.
    evhttp_set_allowed_methods(m_http, allMethods);
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(maxHeaderBytes));
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(options.maxBodyBytes * hardLimitFactor));
    if (options.idleTimeout.count > 0)
        evhttp_set_timeout(m_http, static_cast<int>(options.idleTimeout.count / millisecondsPerSecond));
    evhttp_set_gencb(m_http, &HttpServer::onRequest, this);
    evhttp_set_bevcb(m_http, &HttpServer::accept, this);
    m_sweep = loop.every(sweepPeriod, [this] { sweep(); });
}

HttpServer::~HttpServer()
{
    stopAccepting();
    evhttp_free(m_http);
}

void HttpServer::acceptFailed(evconnlistener* listener, void*)
{
    // The listener stays readable, so without a pause the loop would call it again and again.
    evconnlistener_disable(listener);
    if (const auto server = serverOfListener().find(listener); server != serverOfListener().end())
        server->second->m_isOutOfDescriptors = true;
}

void HttpServer::sweep()
{
    const Milliseconds now = Clock::now();
    m_connections->sweep(now);
    if (std::exchange(m_isOutOfDescriptors, false) || m_intake->isFull()) {
        m_intake->closeLongestIdle(now);
        m_connections->sweep(now);
    }
    if (m_socket && !m_intake->isFull())
        evconnlistener_enable(evhttp_bound_socket_get_listener(m_socket));
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(
    EventLoop& loop, const HttpServerOptions& options, HttpHandler handler)
{
    BOOST_OUTCOME_TRY(const auto endpoint, parseEndpoint(options.address));
    std::unique_ptr<HttpServer> server(new HttpServer(loop, options, std::move(handler)));
    server->m_socket = evhttp_bind_socket_with_handle(server->m_http, endpoint.ip.c_str(), endpoint.port);
    if (!server->m_socket) {
        return Error { .code = ErrorCode::Unavailable,
            .ran = Ran::No,
            .step = "http.listen",
            .peer = options.address,
            .message = "cannot bind this address" };
    }
    evconnlistener* listener = evhttp_bound_socket_get_listener(server->m_socket);
    serverOfListener()[listener] = server.get();
    evconnlistener_set_error_cb(listener, &HttpServer::acceptFailed);
    // Accepted sockets inherit it.
    if (options.receiveBufferBytes > 0)
        setsockopt(evconnlistener_get_fd(listener), SOL_SOCKET, SO_RCVBUF, &options.receiveBufferBytes, sizeof options.receiveBufferBytes);
    return server;
}

void HttpServer::stopAccepting()
{
    if (!m_socket)
        return;
    serverOfListener().erase(evhttp_bound_socket_get_listener(m_socket));
    evhttp_del_accept_socket(m_http, m_socket);
    m_socket = nullptr;
}

std::uint16_t HttpServer::port() const
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    if (!m_socket
        || getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 0;
    // The port is at the same offset for both address families.
    return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

std::size_t HttpServer::connections() const { return m_connections->all.size(); }

bufferevent* HttpServer::accept(event_base* base, void* self)
{
    auto* server = static_cast<HttpServer*>(self);
    bufferevent* connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    server->m_connections->add(connection);
    if (server->m_socket && server->m_intake->isFull())
        evconnlistener_disable(evhttp_bound_socket_get_listener(server->m_socket));
    return connection;
}

void HttpServer::onRequest(evhttp_request* request, void* self)
{
    auto* server = static_cast<HttpServer*>(self);
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    HttpRequest message { .method = methodOf(request),
        .path = textOrEmpty(uri ? evhttp_uri_get_path(uri) : nullptr),
        .query = textOrEmpty(uri ? evhttp_uri_get_query(uri) : nullptr),
        .peer = peerOf(request),
        .body = takeBody(request),
        .host = hostOf(request) };
    for (const auto& name : server->m_headers)
        message.headers.push_back(
            textOrEmpty(evhttp_find_header(evhttp_request_get_input_headers(request), name.c_str())));
    auto counter = server->m_openRequests;
    ++*counter;
    bufferevent* connection = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    const std::shared_ptr<HttpConnections::Connection> state = server->m_connections->all.at(connection);
    ++state->openRequests;
    state->receivingSince.reset();
    state->head = {};
    evhttp_connection_set_max_headers_size(evhttp_request_get_connection(request), static_cast<ev_ssize_t>(maxHeaderBytes));
    server->m_intake->budget().handedOver(state->id, evbuffer_get_length(bufferevent_get_input(connection)), HttpConnections::readHead(*state, 0));
    const auto retain = [intake = server->m_intake, connection = state->id](std::size_t bytes) { return intake->budget().retain(connection, bytes); };
    std::shared_ptr<HttpResponder> responder(new HttpResponder(request, server->m_unsentReplies, retain), [counter, state, intake = server->m_intake](HttpResponder* self) {
        delete self;
        --*counter;
        --state->openRequests;
        intake->budget().released(state->id);
        // Bytes of the next request may have arrived in the meantime; its timeout starts now.
        if (state->receivingSince)
            state->receivingSince = Clock::now();
    });
    // A longer body is refused by the handler, which does not parse it.
    if (message.body.size() <= server->m_maxBodyBytes && hasMoreJsonValues(message.body, server->m_maxJsonValues)) {
        server->m_intake->countRefused(RequestRefusal::TooLarge);
        Json::Value body(Json::objectValue);
        body["error"] = errorToJson({ .code = ErrorCode::BadRequest, .ran = Ran::No, .step = "http", .message = fmt::format("body: expected at most {} JSON values", server->m_maxJsonValues) });
        return responder->reply({ .status = badRequestStatus, .body = writeJson(body), .close = true });
    }
    const std::string path = message.path;
    const std::string peer = message.peer;
    const std::weak_ptr<HttpResponder> waiting = responder;
    try {
        server->m_handler(std::move(message), std::move(responder));
        if (const auto held = waiting.lock(); held && held->isOpen())
            held->watchPeer();
    } catch (const std::exception& exception) {
        // The destroyed responder has already replied that the outcome is unknown.
        logError(LogLevel::Error, { .code = ErrorCode::Internal, .ran = Ran::Unknown, .step = "http.serve", .peer = peer, .message = fmt::format("{}: {}", path, exception.what()) });
    }
}

std::size_t defaultMaxJsonValues(std::size_t maxBodyBytes) { return std::max(maxBodyBytes / bytesPerJsonValue, minDefaultJsonValues); }

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
