#include "Relay.h"

#include "wire/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace oleanderport::review {

namespace {

    constexpr int backlog = 64;
    // The end of a channel follows its last bytes after this time.
    constexpr Milliseconds closeDelay { 50 };

    sockaddr_in socketAddress(const std::string& address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint.has_value())
            throw std::runtime_error("expected IP:port: " + address);
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(endpoint.assume_value().port);
        inet_pton(AF_INET, endpoint.assume_value().ip.c_str(), &result.sin_addr);
        return result;
    }

    void disableNagle(bufferevent* side)
    {
        const int on = 1;
        setsockopt(bufferevent_getfd(side), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

} // namespace

struct Relay::Channel {
    Relay* relay { nullptr };
    bufferevent* client { nullptr };
    // Null for a channel that was opened during a cut.
    bufferevent* target { nullptr };
    bool clientClosed { false };
    bool targetClosed { false };
    std::unique_ptr<EventLoop::Timer> closing;

    ~Channel()
    {
        if (client)
            bufferevent_free(client);
        if (target)
            bufferevent_free(target);
    }
};

Relay::Relay(EventLoop& loop, const std::string& listen, std::string target)
    : m_loop(loop)
    , m_target(std::move(target))
{
    const sockaddr_in own = socketAddress(listen);
    m_listener = evconnlistener_new_bind(
        loop.base(), [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) { static_cast<Relay*>(self)->accepted(descriptor); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog, reinterpret_cast<const sockaddr*>(&own), sizeof own);
    if (!m_listener)
        throw std::runtime_error("cannot listen at " + listen);
}

Relay::~Relay()
{
    m_channels.clear();
    evconnlistener_free(m_listener);
}

bufferevent* Relay::connectToTarget()
{
    const sockaddr_in target = socketAddress(m_target);
    bufferevent* side = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_socket_connect(side, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    return side;
}

void Relay::accepted(int descriptor)
{
    if (m_resetsNewChannels) {
        const linger resetOnClose { .l_onoff = 1, .l_linger = 0 };
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        ::close(descriptor);
        return;
    }
    auto& channel = *m_channels.emplace_back(std::make_unique<Channel>());
    channel.relay = this;
    channel.client = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    if (!m_isCut)
        channel.target = connectToTarget();
    const auto readable = [](bufferevent*, void* data) {
        auto* self = static_cast<Channel*>(data);
        self->relay->forward(*self);
    };
    const auto event = [](bufferevent* side, short what, void* data) {
        auto* self = static_cast<Channel*>(data);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            disableNagle(side);
            return;
        }
        (side == self->client ? self->clientClosed : self->targetClosed) = true;
        self->relay->forward(*self);
    };
    disableNagle(channel.client);
    for (bufferevent* side : { channel.client, channel.target }) {
        if (!side)
            continue;
        bufferevent_setcb(side, readable, nullptr, event, &channel);
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
}

void Relay::forward(Channel& channel)
{
    if (!channel.target) {
        evbuffer_drain(bufferevent_get_input(channel.client), evbuffer_get_length(bufferevent_get_input(channel.client)));
        if (channel.clientClosed)
            remove(channel);
        return;
    }
    if (m_isCut)
        return;
    evbuffer_add_buffer(bufferevent_get_output(channel.target), bufferevent_get_input(channel.client));
    evbuffer_add_buffer(bufferevent_get_output(channel.client), bufferevent_get_input(channel.target));
    if ((channel.clientClosed || channel.targetClosed) && !channel.closing)
        channel.closing = m_loop.once(closeDelay, [this, &channel] { remove(channel); });
}

void Relay::remove(Channel& channel)
{
    m_channels.remove_if([&channel](const auto& each) { return each.get() == &channel; });
}

void Relay::cut()
{
    m_isCut = true;
    for (const auto& channel : m_channels)
        channel->closing.reset();
}

void Relay::heal()
{
    m_isCut = false;
    for (auto position = m_channels.begin(); position != m_channels.end();) {
        Channel& channel = **position++;
        forward(channel);
    }
}

} // namespace oleanderport::review
