#pragma once

#include "oleanderport/Error.h"
#include "wire/EventLoop.h"
#include "wire/HttpServer.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace oleanderport {

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpCall {
    HttpMethod method { HttpMethod::Post };
    std::string path;
    std::string body;
    // From the call to the last byte of its answer, the wait for earlier calls included.
    Milliseconds timeout {};
    std::vector<HttpHeader> headers;
    // Host to name; the peer's address when empty.
    std::string host {};
    // Longest that the connection may take to be made, from the moment at which this call is the first; zero for the whole timeout. A machine without
    // power answers no connect, and when it is back the next one is only sent again after a second.
    Milliseconds connectTimeout {};
};

struct HttpAnswer {
    int status { 0 };
    std::string body;
    // Of a redirect.
    std::string location {};
};

using HttpCallback = std::function<void(Result<HttpAnswer>)>;

// One persistent connection to one peer. Calls made while one is under way wait in order. After an error the next
// call connects anew. Errors: Unavailable when no whole answer came, Timeout when it took too long; ran is No only
// when nothing of the call was handed to the socket. Callbacks are not called once this object is destroyed; a callback
// may destroy it.
class HttpConnection {
public:
    // `address` is "IP:port".
    HttpConnection(EventLoop&, std::string address);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    void call(const HttpCall&, HttpCallback);
    // A call waits for a connection: nothing of it has left this process.
    bool isConnecting() const;

    const std::string& address() const { return m_address; }

private:
    struct PendingCall;
    static void onRequestDone(evhttp_request*, void* pending);
    static void onOutputChanged(evbuffer*, const evbuffer_cb_info*, void* self);
    void expire(PendingCall*);
    // Sends the first call unless one is under way.
    void sendNext();
    std::unique_ptr<PendingCall> removePending(PendingCall*);
    // Ends a call that has been taken out, and sends the next.
    void completeCall(const PendingCall&, Result<HttpAnswer>);

    EventLoop& m_loop;
    std::string m_address;
    evhttp_connection* m_connection { nullptr };
    // In the order of the calls; only the first has been given to evhttp.
    std::list<std::unique_ptr<PendingCall>> m_pending;
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
