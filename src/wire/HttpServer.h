#pragma once

#include "oleanderport/Error.h"
#include "wire/EventLoop.h"
#include "wire/RequestIntake.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;
struct evconnlistener;

namespace oleanderport {

struct HttpConnections;

enum class HttpMethod {
    Get,
    Post,
    Delete,
    Other,
};

struct HttpRequest {
    HttpMethod method { HttpMethod::Get };
    std::string path;
    std::string query;
    std::string peer;
    std::string body;
    // Host header without the port.
    std::string host;
    // Values of HttpServerOptions::headers, in that order; empty for a header that was not sent.
    std::vector<std::string> headers;
};

struct HttpReply {
    int status { 200 };
    std::string contentType { "application/json" };
    std::string body;
    Milliseconds retryAfter {};
    // Set on a redirect.
    std::string location;
    // Sends "Connection: close", so that the peer uses another connection for its next request.
    bool close { false };
};

// Answers one request, once, now or later in the loop. Safe to use after the peer has disconnected. If it is destroyed
// without a reply, the peer gets an error which says that the request may have run.
class HttpResponder {
public:
    // `unsent` counts replies that were started and have not been fully sent yet. `retain` implements retain().
    HttpResponder(evhttp_request*, std::shared_ptr<std::size_t> unsent, std::function<bool(std::size_t bytes)> retain);
    ~HttpResponder();
    HttpResponder(const HttpResponder&) = delete;
    HttpResponder& operator=(const HttpResponder&) = delete;

    void reply(const HttpReply&);
    bool isOpen() const { return m_request; }

    // Tells that from now on the handler holds this many bytes for the request; until then it is taken to hold the body. False when the
    // process has no room for them: the request is to be refused then.
    bool retain(std::size_t bytes) { return m_retain(bytes); }

    // Calls back once when the peer closes or resets the connection before the reply.
    void onPeerDisconnected(std::function<void()>);

private:
    friend class HttpServer;

    static void connectionClosed(evhttp_connection*, void* self);
    // Reads the connection while the request is handled, so that a close is seen and what the peer sends ahead is bounded.
    void watchPeer();
    void stopWatchingPeer();

    evhttp_request* m_request;
    std::shared_ptr<std::size_t> m_unsent;
    std::function<bool(std::size_t bytes)> m_retain;
    std::function<void()> m_onPeerDisconnected;
    bool m_isWatching { false };
};

using HttpHandler = std::function<void(HttpRequest&&, std::shared_ptr<HttpResponder>)>;

struct HttpServerOptions {
    // "IP:port".
    std::string address;
    // A body over this limit but at most four times as long reaches the handler, which replies with its own error.
    // evhttp refuses a longer one with status 413.
    std::size_t maxBodyBytes { 0 };
    // Most values in the JSON of a body; by default one for each 32 bytes of the largest body, at least 20,000.
    std::optional<std::size_t> maxJsonValues;
    Milliseconds idleTimeout {};
    // From the first to the last byte of a request. A slower sender gets status 408 and its connection is closed.
    Milliseconds requestTimeout { 30'000 };
    // Limit of open connections of a server without a shared intake; at the limit the longest idle ones are closed, and further ones wait in
    // the listen backlog.
    std::size_t maxConnections { 10'000 };
    // Status for a request that the budget of the process closes before it is complete. 503 says that it never runs, which is not known
    // where a repeated request stands for the same work as one before.
    int overBudgetStatus { 503 };
    // Of each connection, for what arrives before the process reads it; zero leaves it to the system, which may grow it to megabytes.
    int receiveBufferBytes { 0 };
    // Names of the headers that handlers read.
    std::vector<std::string> headers;
    // Shared by the servers of a process; null for a server of its own.
    std::shared_ptr<RequestIntake> intake;
};

// An evhttp server. Every request goes to one handler, which may answer later. evhttp itself refuses input that is not
// HTTP or has more than 16 KiB of headers, with a plain page; it never reaches the handler.
class HttpServer {
public:
    // Fails with Unavailable when the address cannot be bound.
    static Result<std::unique_ptr<HttpServer>> listen(EventLoop&, const HttpServerOptions&, HttpHandler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Accepts no further connections; open ones stay open.
    void stopAccepting();

    // The bound port, for an address with port 0.
    std::uint16_t port() const;

    // Open connections, as of the last sweep.
    std::size_t connections() const;

    // Requests received and not yet answered.
    std::size_t openRequests() const { return *m_openRequests; }

    // Replies that have not been fully sent. Those whose peer has disconnected are not counted.
    std::size_t unsentReplies() const { return *m_unsentReplies; }

private:
    HttpServer(EventLoop&, const HttpServerOptions&, HttpHandler);
    static bufferevent* accept(event_base*, void* self);
    static void onRequest(evhttp_request*, void* self);
    static void acceptFailed(evconnlistener*, void*);
    // Accepts connections again where there is room, closing idle ones first.
    void sweep();

    EventLoop& m_loop;
    HttpHandler m_handler;
    std::vector<std::string> m_headers;
    std::size_t m_maxBodyBytes;
    std::size_t m_maxJsonValues;
    evhttp* m_http;
    evhttp_bound_socket* m_socket { nullptr };
    std::shared_ptr<std::size_t> m_openRequests;
    std::shared_ptr<std::size_t> m_unsentReplies;
    std::shared_ptr<HttpConnections> m_connections;
    std::shared_ptr<RequestIntake> m_intake;
    std::unique_ptr<EventLoop::Timer> m_sweep;
    // The process had no descriptor left for a connection.
    bool m_isOutOfDescriptors { false };
    // Set while connections are to be closed that could not be closed when their turn came.
    std::unique_ptr<EventLoop::Timer> m_closing;
};

// HttpServerOptions::maxJsonValues by default.
std::size_t defaultMaxJsonValues(std::size_t maxBodyBytes);

// Splits "IP:port". Fails with BadSettings on anything else.
struct Endpoint {
    std::string ip;
    std::uint16_t port { 0 };
};
Result<Endpoint> parseEndpoint(const std::string& address);

} // namespace oleanderport
