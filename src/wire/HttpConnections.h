#pragma once

#include "policy/RequestHead.h"
#include "wire/RequestIntake.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace oleanderport {

// Bytes that a peer may send ahead of the reply while its connection is watched for a close.
inline constexpr std::size_t maxReadAheadBytes = 64 * 1024;
// Of the request line and the header lines of a request together.
inline constexpr std::size_t maxHeaderBytes = 16 * 1024;
// Callers treat other error statuses as final and as proof that the request has not run.
inline constexpr int unknownOutcomeStatus = 504;

// The connections of one HTTP server: what they hold, and which of them are closed below evhttp. evhttp reports a request only once it is
// complete, and never reports a closed connection. So a reference to each connection's bufferevent is held, its input is watched, and a
// sweep releases it after evhttp has freed it.
struct HttpConnections {
    struct Connection {
        // Arrival of the first byte of an incomplete request; unset between requests and while one is handled.
        std::optional<Milliseconds> receivingSince;
        std::size_t openRequests { 0 };
        bool timedOut { false };
        bufferevent* bufferEvent { nullptr };
        RequestIntake::Connection id { 0 };
        HttpConnections* owner { nullptr };
        // Of the request whose bytes arrive.
        RequestHead head;
        // Why the connection is closed as soon as its input is no longer being read.
        std::optional<RequestRefusal> refusal;
    };

    ~HttpConnections();

    // Takes in a connection that was accepted, before evhttp has it.
    void add(bufferevent*);

    // Measures the head of a request in the bytes that have arrived from this position on.
    static HeadPart readHead(Connection&, std::size_t from);

    // Closes what could not be closed when its turn came.
    void closeRefused();

    // Releases the connections that evhttp has freed, and closes those whose request takes too long to arrive.
    void sweep(Milliseconds now);

    std::map<bufferevent*, std::shared_ptr<Connection>> all;
    std::shared_ptr<RequestIntake> intake;
    // Limit of one request with its headers, as received.
    std::size_t maxRequestBytes { 0 };
    // See HttpServerOptions.
    int overBudgetStatus { 503 };
    Milliseconds requestTimeout {};
    // Called when connections have to be closed but can't be in the present call.
    std::function<void()> onOverload;

private:
    static void inputChanged(evbuffer*, const evbuffer_cb_info*, void* connection);
    static void outputChanged(evbuffer*, const evbuffer_cb_info*, void* connection);

    // evhttp removes its callbacks when it frees a connection.
    static bool isFreed(bufferevent*);
    // evhttp's connection is the argument of its callbacks.
    static evhttp_connection* evhttpConnectionOf(bufferevent*);

    // Closes the connection, with a reply unless another one is due on it. What it held is given back at once.
    static void refuse(bufferevent*, Connection&, std::optional<RequestRefusal>);
    // For a connection that evhttp is reading: its bytes are taken away, and it is closed afterwards.
    void refuseLater(Connection&, RequestRefusal);
    // Shuts down the socket below evhttp, which then reads the end of input and frees the connection.
    static void sendTimeoutAndClose(bufferevent*, Connection&);
    void release(bufferevent*, Connection*) const;

    std::vector<RequestIntake::Connection> m_refusedLater;
};

} // namespace oleanderport
