#pragma once

#include "support/RandomDraw.h"
#include "support/RawPeer.h"
#include "wire/EventLoop.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace oleanderport::soak {

// Clients outside the limits, at every address of every process: they send heads, bodies and messages that cost far more than ordinary ones,
// withhold their ends, or send them byte by byte, and leave their connections open.
class HostileClients {
public:
    HostileClients(EventLoop&, std::uint64_t seed, std::vector<std::string> addresses);

    void start();
    // Closes every connection.
    void stop();

private:
    void connect();
    std::string drawRequest();

    EventLoop& m_loop;
    RandomDraw m_random;
    std::vector<std::string> m_addresses;
    std::deque<std::unique_ptr<RawConnection>> m_connections;
    std::unique_ptr<EventLoop::Timer> m_connectTimer;
    std::unique_ptr<EventLoop::Timer> m_byteTimer;
};

} // namespace oleanderport::soak
