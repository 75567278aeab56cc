#pragma once

#include "oleanderport/Error.h"
#include "wire/EventLoop.h"
#include "wire/RequestIntake.h"

#include <functional>
#include <memory>
#include <optional>
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

    // Takes ownership of an accepted socket. With an intake its messages count in the budget of the process, which may close it.
    MessageStream(EventLoop&, int descriptor, Callbacks, std::shared_ptr<RequestIntake> = nullptr);
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
    // Counts what has arrived. False if the stream is to be closed for it.
    bool countReceived();
    // Counts what is left after messages were taken in.
    void countRest();
    // Drops what has arrived, and reports the stream as closed in the next round of the loop.
    void closeSoon(std::optional<RequestRefusal>);

    EventLoop& m_loop;
    Callbacks m_callbacks;
    bufferevent* m_connection;
    std::shared_ptr<RequestIntake> m_intake;
    // Valid with an intake.
    RequestIntake::Connection m_id { 0 };
    std::size_t m_countedBytes { 0 };
    // Runs while a message is incomplete, and until the first one.
    std::unique_ptr<EventLoop::Timer> m_messageTimeout;
    std::unique_ptr<EventLoop::Timer> m_closing;
    // Expires when a callback destroys this object.
    std::shared_ptr<bool> m_alive;
};

// Accepts connections on one address.
class StreamListener {
public:
    // Fails with Unavailable when the address cannot be bound. With an intake, connections wait in the backlog while it is full or the
    // process has no descriptor left, and those that are idle the longest are closed.
    static Result<std::unique_ptr<StreamListener>> listen(
        EventLoop&, const std::string& address, std::function<void(int descriptor)> accepted, std::shared_ptr<RequestIntake> = nullptr);
    ~StreamListener();
    StreamListener(const StreamListener&) = delete;
    StreamListener& operator=(const StreamListener&) = delete;

    // The bound port, for an address with port 0.
    std::uint16_t port() const;

private:
    StreamListener(std::function<void(int)> accepted, std::shared_ptr<RequestIntake>);

    void accept(int descriptor);
    void sweep();

    std::function<void(int)> m_accepted;
    std::shared_ptr<RequestIntake> m_intake;
    evconnlistener* m_listener { nullptr };
    // Accepting a connection has failed, which it does when the process has no descriptor left.
    bool m_hasAcceptFailed { false };
    std::unique_ptr<EventLoop::Timer> m_sweep;
};

} // namespace oleanderport
