#pragma once

#include "oleanderport/Error.h"
#include "wire/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace oleanderport {

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
};

struct HttpReply {
    int status { 200 };
    std::string contentType { "application/json" };
    std::string body;
    Milliseconds retryAfter {};
};

// The right to answer one request, once, at any later time in the loop. Safe to use after the peer has gone.
class HttpResponder {
public:
    // `unsent` counts replies that were begun and have not left the process yet.
    HttpResponder(evhttp_request*, std::shared_ptr<std::size_t> unsent);
    ~HttpResponder();
    HttpResponder(const HttpResponder&) = delete;
    HttpResponder& operator=(const HttpResponder&) = delete;

    void reply(const HttpReply&);
    bool isOpen() const { return m_request; }

private:
    static void connectionClosed(evhttp_connection*, void* self);

    evhttp_request* m_request;
    std::shared_ptr<std::size_t> m_unsent;
};

using HttpHandler = std::function<void(HttpRequest&&, std::shared_ptr<HttpResponder>)>;

struct HttpServerOptions {
    // "IP:port".
    std::string address;
    std::size_t maxBodyBytes { 0 };
    Milliseconds idleTimeout {};
};

// An evhttp server. Every request goes to one handler, which may answer later.
class HttpServer {
public:
    // Fails with Unavailable when the address cannot be bound.
    static Result<std::unique_ptr<HttpServer>> listen(EventLoop&, const HttpServerOptions&, HttpHandler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Accepts no further connections; open ones stay.
    void stopAccepting();

    // Requests that have been received and not yet answered.
    std::size_t openRequests() const { return *m_openRequests; }

    // Replies that have not left the process whole yet. One whose peer has gone does not count.
    std::size_t unsentReplies() const { return *m_unsentReplies; }

private:
    HttpServer(EventLoop&, HttpHandler);
    static void received(evhttp_request*, void* self);

    HttpHandler m_handler;
    evhttp* m_http;
    evhttp_bound_socket* m_socket { nullptr };
    std::shared_ptr<std::size_t> m_openRequests;
    std::shared_ptr<std::size_t> m_unsentReplies;
};

// Splits "IP:port". Fails with BadSettings on anything else.
struct Endpoint {
    std::string ip;
    std::uint16_t port { 0 };
};
Result<Endpoint> parseEndpoint(const std::string& address);

} // namespace oleanderport
