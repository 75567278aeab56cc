#include "wire/MessageStream.h"

#include "base/Log.h"

#include "wire/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cstring>
#include <utility>

namespace oleanderport {

namespace {

    constexpr std::size_t headerBytes = 4;
    // A valid peer sends less: the starts of 1,000 tasks with the longest payloads fit twice.
    constexpr std::size_t maxMessageBytes = 8 * 1024 * 1024;
    constexpr Milliseconds messageTimeout { 10'000 };
    constexpr Milliseconds sweepPeriod { 250 };
    constexpr int listenBacklog = 256;
    // Read at once behind the end of a message.
    constexpr std::size_t maxReadAheadBytes = 64 * 1024;

    sockaddr_in socketAddress(const Endpoint& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
        return address;
    }

    // Frames are small and each side waits for the other's, so Nagle's algorithm would delay them.
    void disableNagle(int descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

} // namespace

MessageStream::MessageStream(EventLoop& loop, int descriptor, Callbacks callbacks, std::shared_ptr<RequestIntake> intake)
    : m_loop(loop)
    , m_callbacks(std::move(callbacks))
    , m_connection(bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
    , m_intake(std::move(intake))
    , m_alive(std::make_shared<bool>(true))
{
    bufferevent_setcb(m_connection, &MessageStream::readable, nullptr, &MessageStream::event, this);
    bufferevent_enable(m_connection, EV_READ | EV_WRITE);
    if (descriptor >= 0)
        disableNagle(descriptor);
    if (!m_intake)
        return;
    m_id = m_intake->added(headerBytes + maxMessageBytes + maxReadAheadBytes, [this](std::optional<RequestRefusal> reason) { closeSoon(reason); });
    m_messageTimeout = m_loop.once(messageTimeout, [this] { closeSoon(std::nullopt); });
}

MessageStream::~MessageStream()
{
    if (m_intake)
        m_intake->removed(m_id);
    bufferevent_free(m_connection);
}

std::unique_ptr<MessageStream> MessageStream::connect(
    EventLoop& loop, const std::string& address, Callbacks callbacks)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.has_value())
        return nullptr;
    auto stream = std::make_unique<MessageStream>(loop, -1, std::move(callbacks));
    const sockaddr_in target = socketAddress(endpoint.assume_value());
    // A failure is reported through the event callback, even when it is immediate.
    bufferevent_socket_connect(stream->m_connection, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    return stream;
}

void MessageStream::send(std::string_view message)
{
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(message.size()));
    evbuffer* output = bufferevent_get_output(m_connection);
    evbuffer_add(output, &size, sizeof size);
    evbuffer_add(output, message.data(), message.size());
    if (!m_intake)
        return;
    m_intake->budget().active(m_id, Clock::now());
    m_intake->budget().unsent(m_id, unsentBytes());
}

std::size_t MessageStream::unsentBytes() const { return evbuffer_get_length(bufferevent_get_output(m_connection)); }

void MessageStream::readable(bufferevent*, void* self)
{
    auto* stream = static_cast<MessageStream*>(self);
    if (stream->countReceived())
        stream->readAll();
}

bool MessageStream::countReceived()
{
    if (!m_intake)
        return true;
    const std::size_t bytes = evbuffer_get_length(bufferevent_get_input(m_connection));
    m_intake->budget().active(m_id, Clock::now());
    m_intake->budget().unsent(m_id, unsentBytes());
    m_intake->budget().received(m_id, bytes - m_countedBytes);
    m_countedBytes = bytes;
    const auto reason = m_intake->keepBudget(m_id);
    if (reason)
        closeSoon(reason);
    return !reason;
}

void MessageStream::countRest()
{
    if (!m_intake)
        return;
    const std::size_t rest = evbuffer_get_length(bufferevent_get_input(m_connection));
    if (rest != m_countedBytes) {
        m_intake->budget().handedOver(m_id, 0);
        m_intake->budget().released(m_id);
        m_intake->budget().active(m_id, Clock::now());
        m_intake->budget().received(m_id, rest);
        m_messageTimeout.reset();
    }
    m_countedBytes = rest;
    if (rest > 0 && !m_messageTimeout)
        m_messageTimeout = m_loop.once(messageTimeout, [this] { closeSoon(std::nullopt); });
}

void MessageStream::closeSoon(std::optional<RequestRefusal> reason)
{
    if (m_closing)
        return;
    m_intake->countClosed(reason);
    bufferevent_disable(m_connection, EV_READ | EV_WRITE);
    evbuffer* input = bufferevent_get_input(m_connection);
    evbuffer_drain(input, evbuffer_get_length(input));
    m_intake->budget().closed(m_id);
    m_closing = m_loop.once({}, [this] {
        const auto closed = m_callbacks.closed;
        closed("the peer held too much memory, or sent nothing for too long");
    });
}

void MessageStream::readAll()
{
    evbuffer* input = bufferevent_get_input(m_connection);
    const std::weak_ptr<bool> alive = m_alive;
    // A copy, since a callback may destroy this stream.
    const Callbacks callbacks = m_callbacks;
    while (!alive.expired()) {
        std::uint32_t header = 0;
        if (evbuffer_copyout(input, &header, headerBytes) < static_cast<ev_ssize_t>(headerBytes))
            return countRest();
        const std::size_t size = ntohl(header);
        if (size > maxMessageBytes) {
            callbacks.closed("the peer sent an oversized message");
            return;
        }
        if (evbuffer_get_length(input) < headerBytes + size)
            return countRest();
        evbuffer_drain(input, headerBytes);
        std::string message(size, '\0');
        evbuffer_remove(input, message.data(), size);
        try {
            callbacks.received(message);
        } catch (const std::exception& exception) {
            logError(LogLevel::Error, { .code = ErrorCode::Internal, .ran = Ran::Unknown, .step = "stream.receive", .peer = {}, .message = exception.what() });
            if (!alive.expired())
                callbacks.closed("processing a received message failed");
            return;
        }
    }
}

void MessageStream::event(bufferevent* connection, short what, void* self)
{
    auto* stream = static_cast<MessageStream*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        disableNagle(bufferevent_getfd(connection));
        return;
    }
    const auto closed = stream->m_callbacks.closed;
    closed((what & BEV_EVENT_EOF) != 0 ? "the peer closed the connection" : "the connection failed");
}

StreamListener::StreamListener(std::function<void(int)> accepted, std::shared_ptr<RequestIntake> intake)
    : m_accepted(std::move(accepted))
    , m_intake(std::move(intake))
{
}

StreamListener::~StreamListener()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

std::uint16_t StreamListener::port() const
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    if (getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 0;
    return ntohs(address.sin_port);
}

Result<std::unique_ptr<StreamListener>> StreamListener::listen(
    EventLoop& loop, const std::string& address, std::function<void(int)> accepted, std::shared_ptr<RequestIntake> intake)
{
    BOOST_OUTCOME_TRY(const auto endpoint, parseEndpoint(address));
    std::unique_ptr<StreamListener> listener(new StreamListener(std::move(accepted), std::move(intake)));
    const sockaddr_in own = socketAddress(endpoint);
    listener->m_listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) {
            static_cast<StreamListener*>(self)->accept(descriptor);
        },
        listener.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listenBacklog,
        reinterpret_cast<const sockaddr*>(&own), sizeof own);
    if (!listener->m_listener) {
        return Error { .code = ErrorCode::Unavailable,
            .ran = Ran::No,
            .step = "stream.listen",
            .peer = address,
            .message = "cannot bind this address" };
    }
    if (!listener->m_intake)
        return listener;
    evconnlistener_set_error_cb(listener->m_listener, [](evconnlistener* failed, void* self) {
        // The listener stays readable, so without a pause the loop would call it again and again.
        evconnlistener_disable(failed);
        static_cast<StreamListener*>(self)->m_hasAcceptFailed = true;
    });
    listener->m_sweep = loop.every(sweepPeriod, [self = listener.get()] { self->sweep(); });
    return listener;
}

void StreamListener::accept(int descriptor)
{
    m_accepted(descriptor);
    if (m_intake && m_intake->isFull())
        evconnlistener_disable(m_listener);
}

void StreamListener::sweep()
{
    if (std::exchange(m_hasAcceptFailed, false) || m_intake->isFull())
        m_intake->closeLongestIdle(Clock::now());
    if (!m_intake->isFull())
        evconnlistener_enable(m_listener);
}

} // namespace oleanderport
