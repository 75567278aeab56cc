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
    // From call() to the last byte of the answer, including the wait for earlier calls.
    Milliseconds timeout {};
    std::vector<HttpHeader> headers;
    // Value of the Host header; the peer's address when empty.
    std::string host {};
    // Limit for establishing the connection, from the time at which this call is first in the queue; zero for the whole
    // timeout. A machine without power does not answer a connect, and TCP resends the SYN only after a second, even if
    // the machine is back before.
    Milliseconds connectTimeout {};
};

struct HttpAnswer {
    int status { 0 };
    std::string body;
    // Set on a redirect.
    std::string location {};
};

using HttpCallback = std::function<void(Result<HttpAnswer>)>;

// A persistent connection to one peer. Calls are sent one by one, in order. After an error the next call reconnects.
// Errors: Unavailable when no complete answer came, Timeout when it took too long; ran is No only when no byte of the
// call was passed to the socket. No callback is called after this object is destroyed; a callback may destroy it.
class HttpConnection {
public:
    // `address` is "IP:port".
    HttpConnection(EventLoop&, std::string address);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    void call(const HttpCall&, HttpCallback);
    // True while the first call waits for the connection and none of its bytes has been sent.
    bool isConnecting() const;

    const std::string& address() const { return m_address; }

private:
    struct PendingCall;
    static void onRequestDone(evhttp_request*, void* pending);
    static void onOutputChanged(evbuffer*, const evbuffer_cb_info*, void* self);
    void expire(PendingCall*);
    // Sends the first call unless one is in flight.
    void sendNext();
    std::unique_ptr<PendingCall> removePending(PendingCall*);
    // Calls back for a call that was removed from the queue, then sends the next one.
    void completeCall(const PendingCall&, Result<HttpAnswer>);

    EventLoop& m_loop;
    std::string m_address;
    evhttp_connection* m_connection { nullptr };
    // In call order; only the first has been passed to evhttp.
    std::list<std::unique_ptr<PendingCall>> m_pending;
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
