#pragma once

#include "oleanderport/Error.h"
#include "wire/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace oleanderport {

// A TCP connection that carries messages both ways, each prefixed with its length in four bytes. JSON-RPC over HTTP
// does not fit here: both sides push messages, several hundred a second per pair (see docs/PLATFORM.md).
class MessageStream {
public:
    struct Callbacks {
        std::function<void(std::string_view)> received;
        // The connection failed or the peer closed it. The last callback; it may destroy the stream.
        std::function<void(const char* why)> closed;
    };

    // Connects to "IP:port". Messages sent before the connection is established are buffered.
    static std::unique_ptr<MessageStream> connect(EventLoop&, const std::string& address, Callbacks);

    // Takes ownership of an accepted socket.
    MessageStream(EventLoop&, int descriptor, Callbacks);
    ~MessageStream();
    MessageStream(const MessageStream&) = delete;
    MessageStream& operator=(const MessageStream&) = delete;

    void send(std::string_view message);

    // Bytes in the output buffer that have not been written to the socket.
    std::size_t unsentBytes() const;

private:
    static void readable(bufferevent*, void* self);
    static void event(bufferevent*, short what, void* self);
    void readAll();

    Callbacks m_callbacks;
    bufferevent* m_connection;
    // Expires when a callback destroys this object.
    std::shared_ptr<bool> m_alive;
};

// Accepts connections on one address.
class StreamListener {
public:
    // Fails with Unavailable when the address cannot be bound.
    static Result<std::unique_ptr<StreamListener>> listen(
        EventLoop&, const std::string& address, std::function<void(int descriptor)> accepted);
    ~StreamListener();
    StreamListener(const StreamListener&) = delete;
    StreamListener& operator=(const StreamListener&) = delete;

    // The bound port, for an address with port 0.
    std::uint16_t port() const;

private:
    explicit StreamListener(std::function<void(int)> accepted);

    std::function<void(int)> m_accepted;
    evconnlistener* m_listener { nullptr };
};

} // namespace oleanderport
