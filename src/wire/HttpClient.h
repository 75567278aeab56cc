#pragma once

#include "oleanderport/Error.h"
#include "wire/EventLoop.h"
#include "wire/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

struct evhttp_connection;
struct evhttp_request;

namespace oleanderport {

struct HttpCall {
    HttpMethod method { HttpMethod::Post };
    std::string path;
    std::string body;
    Milliseconds timeout {};
};

struct HttpAnswer {
    int status { 0 };
    std::string body;
};

using HttpCallback = std::function<void(Result<HttpAnswer>)>;

// One persistent connection to one peer. Calls made while one is under way wait in order. After an error the next
// call connects anew. Errors: Unavailable when no whole answer came (ran is No only when the connection was never
// made), Timeout when it took too long.
class HttpConnection {
public:
    // `address` is "IP:port".
    HttpConnection(EventLoop&, std::string address);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    void call(const HttpCall&, HttpCallback);
    const std::string& address() const { return m_address; }

private:
    struct PendingCall;
    static void finished(evhttp_request*, void* pending);

    EventLoop& m_loop;
    std::string m_address;
    evhttp_connection* m_connection { nullptr };
    // Shared with calls under way, so that a callback knows when this object is gone.
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
