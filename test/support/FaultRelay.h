#pragma once

#include "oleanderport/Error.h"
#include "wire/EventLoop.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace oleanderport {

// What a relay does to the traffic through it. The default lets everything pass.
struct RelayFault {
    // Bytes towards the target, or from it, vanish; connections stay open and new ones are accepted.
    bool dropRequests { false };
    bool dropAnswers { false };
    // New connections are closed at once and open ones are cut.
    bool refuse { false };
    // How long each byte is held.
    Milliseconds delay {};
    // The next so many answers vanish, each together with its connection.
    std::int64_t swallowAnswers { 0 };
    // Every request reaches the target a second time over a connection of its own, this much later; that answer is
    // dropped. Zero doubles nothing.
    Milliseconds repeatAfter {};
};

// A TCP relay in front of one process, for faults of the network. It lives in the loop given.
class FaultRelay {
public:
    FaultRelay(EventLoop&, std::uint16_t listenPort, std::uint16_t targetPort);
    ~FaultRelay();
    FaultRelay(const FaultRelay&) = delete;
    FaultRelay& operator=(const FaultRelay&) = delete;

    // Fails with Unavailable when the port cannot be bound.
    Result<void> start();

    // Connections that have lost bytes are closed once nothing is dropped any more.
    void setFault(const RelayFault&);

    // Answers that vanished and requests that were repeated so far.
    std::int64_t swallowed() const { return m_swallowed; }
    std::int64_t repeated() const { return m_repeated; }

private:
    struct Connection;

    void accepted(int descriptor);
    void fromClient(Connection&);
    void fromTarget(Connection&);
    void repeat(const std::string& bytes);
    void pump();
    bufferevent* connectToTarget();

    EventLoop& m_loop;
    std::uint16_t m_listenPort;
    std::uint16_t m_targetPort;
    evconnlistener* m_listener { nullptr };
    RelayFault m_fault;
    std::list<std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::int64_t m_swallowed { 0 };
    std::int64_t m_repeated { 0 };
};

} // namespace oleanderport
