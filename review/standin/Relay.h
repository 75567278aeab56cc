#pragma once

#include "wire/EventLoop.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace oleanderport::review {

// A TCP relay in front of one address that can cut it off. Like a partition, a cut is silent: the bytes of channels that
// were open wait and arrive once the cut has healed, and channels that are opened meanwhile carry nothing.
class Relay {
public:
    Relay(EventLoop&, const std::string& listen, std::string target);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    void cut();
    void heal();
    // From now on each new channel is reset.
    void resetNewChannels() { m_resetsNewChannels = true; }

private:
    struct Channel;

    void accepted(int descriptor);
    void forward(Channel&);
    void remove(Channel&);
    bufferevent* connectToTarget();

    EventLoop& m_loop;
    std::string m_target;
    evconnlistener* m_listener { nullptr };
    std::list<std::unique_ptr<Channel>> m_channels;
    bool m_isCut { false };
    bool m_resetsNewChannels { false };
};

} // namespace oleanderport::review
