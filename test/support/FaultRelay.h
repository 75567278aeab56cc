#pragma once

#include "oleanderport/Error.h"
#include "wire/EventLoop.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace oleanderport {

// Faults that a relay injects into its traffic. By default everything is forwarded unchanged.
struct RelayFault {
    // Drop bytes towards the target, or from it. Connections stay open and new ones are accepted.
    bool dropRequests { false };
    bool dropAnswers { false };
    // Closes new connections immediately, and all open ones when the fault is set.
    bool refuse { false };
    // With `refuse`: the target learns this much later that its connections were closed, as when the packets that say so are lost.
    Milliseconds newsDelay {};
    // Added latency in each direction.
    Milliseconds delay {};
    // Bytes towards the target, or from it, are held until this time on Clock::now() and then delivered together, as those
    // of lost packets that are sent again.
    Milliseconds holdRequestsUntil {};
    Milliseconds holdAnswersUntil {};
    // Number of next answers to drop; the connection of each is closed.
    std::int64_t swallowAnswers { 0 };
    // Sends every request to the target a second time over a separate connection, this much later, and drops the answer
    // to it. Zero repeats nothing.
    Milliseconds repeatAfter {};
};

// A TCP relay in front of one process that injects network faults. Runs in the given event loop.
class FaultRelay {
public:
    FaultRelay(EventLoop&, std::uint16_t listenPort, std::uint16_t targetPort, const std::string& host = "127.0.0.1");
    ~FaultRelay();
    FaultRelay(const FaultRelay&) = delete;
    FaultRelay& operator=(const FaultRelay&) = delete;

    // Fails with Unavailable when the port cannot be bound.
    Result<void> start();

    // Connections that have lost bytes are closed when the new fault no longer drops any.
    void setFault(const RelayFault&);
    // For the connections of one client, known by a text within the first bytes that it sends. What the fault of all
    // connections drops or holds stays so. `refuse`, `swallowAnswers` and `repeatAfter` don't apply.
    void setClientFault(const std::string& client, const RelayFault&);

    // Numbers of answers dropped by `swallowAnswers` and of requests repeated by `repeatAfter`.
    std::int64_t swallowed() const { return m_swallowed; }
    std::int64_t repeated() const { return m_repeated; }

private:
    struct Connection;

    void accepted(int descriptor);
    // The faults of all connections and of the connection's client together.
    RelayFault faultOf(const Connection&) const;
    void fromClient(Connection&);
    void fromTarget(Connection&);
    void repeat(const std::string& bytes);
    void pump();
    bufferevent* connectToTarget();

    EventLoop& m_loop;
    std::uint16_t m_listenPort;
    std::uint16_t m_targetPort;
    std::string m_host;
    evconnlistener* m_listener { nullptr };
    RelayFault m_fault;
    std::map<std::string, RelayFault> m_clientFaults;
    std::list<std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::int64_t m_swallowed { 0 };
    std::int64_t m_repeated { 0 };
};

} // namespace oleanderport
