#pragma once

#include "oleanderport/Clock.h"
#include "wire/EventLoop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

// Raw TCP peers in a test's event loop, for behaviour that a correct HTTP peer never shows.
namespace oleanderport {

inline constexpr Milliseconds testPatience { 20'000 };

// Runs the loop until the condition holds. False when it does not hold within testPatience.
inline bool runUntil(EventLoop& loop, const std::function<bool()>& condition)
{
    const Milliseconds giveUpAt = Clock::now() + testPatience;
    // Without a timer the loop would block forever when no event arrives.
    const auto wake = loop.every({ 20 }, [] {});
    while (!condition()) {
        if (Clock::now() > giveUpAt)
            return false;
        loop.runOnce();
    }
    return true;
}

// One end of a connection.
class RawConnection {
public:
    explicit RawConnection(bufferevent* connection)
        : m_connection(connection)
    {
        bufferevent_setcb(m_connection, &RawConnection::readable, nullptr, &RawConnection::event, this);
        bufferevent_enable(m_connection, EV_READ | EV_WRITE);
    }
    ~RawConnection() { close(); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    void send(const std::string& bytes)
    {
        if (m_connection)
            bufferevent_write(m_connection, bytes.data(), bytes.size());
    }
    void close()
    {
        if (m_connection)
            bufferevent_free(m_connection);
        m_connection = nullptr;
    }
    // Closes the connection with a TCP reset and discards unread data.
    void reset()
    {
        if (!m_connection)
            return;
        const linger discard { .l_onoff = 1, .l_linger = 0 };
        setsockopt(bufferevent_getfd(m_connection), SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
        close();
    }
    // Leaves further received bytes in the kernel's socket buffer.
    void stopReading() { bufferevent_disable(m_connection, EV_READ); }
    // Number of bytes in the kernel's socket buffer.
    int unread() const
    {
        int bytes = 0;
        ioctl(bufferevent_getfd(m_connection), FIONREAD, &bytes);
        return bytes;
    }
    // Number of bytes not yet written to the socket; zero after close().
    std::size_t unsent() const { return m_connection ? evbuffer_get_length(bufferevent_get_output(m_connection)) : 0; }
    const std::string& received() const { return m_received; }
    bool closedByPeer() const { return m_closed; }
    void onData(std::function<void(RawConnection&)> callback) { m_onData = std::move(callback); }

private:
    static void readable(bufferevent* connection, void* self)
    {
        auto* raw = static_cast<RawConnection*>(self);
        evbuffer* input = bufferevent_get_input(connection);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        raw->m_received += bytes;
        if (raw->m_onData)
            raw->m_onData(*raw);
    }
    static void event(bufferevent*, short what, void* self)
    {
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<RawConnection*>(self)->m_closed = true;
    }

    bufferevent* m_connection;
    std::string m_received;
    bool m_closed { false };
    std::function<void(RawConnection&)> m_onData;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

inline std::unique_ptr<RawConnection> rawConnect(EventLoop& loop, std::uint16_t port)
{
    bufferevent* connection = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    const sockaddr_in address = loopback(port);
    auto raw = std::make_unique<RawConnection>(connection);
    bufferevent_socket_connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return raw;
}

// Accepts connections on a free port and passes the received bytes to the test.
class RawServer {
public:
    RawServer(EventLoop& loop, std::function<void(RawConnection&)> onData)
        : m_loop(loop)
        , m_onData(std::move(onData))
    {
        const sockaddr_in address = loopback(0);
        m_listener = evconnlistener_new_bind(loop.base(), &RawServer::accepted, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<const sockaddr*>(&address),
            sizeof(address));
    }
    ~RawServer() { stop(); }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::uint16_t port() const
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }
    std::string address() const { return fmt::format("127.0.0.1:{}", port()); }
    // Leaves further connections in the kernel's accept queue.
    void stopAccepting() { evconnlistener_disable(m_listener); }
    void stop()
    {
        if (m_listener)
            evconnlistener_free(m_listener);
        m_listener = nullptr;
    }
    std::vector<std::unique_ptr<RawConnection>> connections;

private:
    static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self)
    {
        auto* server = static_cast<RawServer*>(self);
        bufferevent* connection = bufferevent_socket_new(server->m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        server->connections.push_back(std::make_unique<RawConnection>(connection));
        server->connections.back()->onData(server->m_onData);
    }

    EventLoop& m_loop;
    std::function<void(RawConnection&)> m_onData;
    evconnlistener* m_listener;
};

// A port that neither accepts nor refuses connections: its accept queue is full, so the kernel drops further SYN packets.
class DeafPort {
public:
    DeafPort()
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address = loopback(0);
        if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(m_listener, 0) != 0)
            throw std::runtime_error("no free port");
        socklen_t size = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        for (int& queued : m_queued) {
            queued = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(connect(queued, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
        }
    }
    ~DeafPort()
    {
        for (const int queued : m_queued)
            ::close(queued);
        ::close(m_listener);
    }
    DeafPort(const DeafPort&) = delete;
    DeafPort& operator=(const DeafPort&) = delete;

    std::string address() const { return fmt::format("127.0.0.1:{}", m_port); }

private:
    int m_listener;
    std::uint16_t m_port { 0 };
    // More connections than the accept queue of a listener with a backlog of 0 holds.
    std::array<int, 3> m_queued {};
};

// The start of an HTTP answer whose body has this many bytes.
inline std::string rawAnswer(std::size_t bodyBytes)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", bodyBytes);
}

// Number of non-overlapping occurrences of `part` in `text`.
inline std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

} // namespace oleanderport
