#include "support/FaultRelay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <deque>

namespace oleanderport {

namespace {

    constexpr Milliseconds pumpPeriod { 2 };
    // A client is known by the first bytes that it sends.
    constexpr std::size_t openingBytes = 64;

    sockaddr_in localAddress(const std::string& host, std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        return address;
    }

    std::string readAll(bufferevent* stream)
    {
        evbuffer* input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        return bytes;
    }

    bool drops(const RelayFault& fault) { return fault.dropRequests || fault.dropAnswers; }

    bool hasOutput(bufferevent* stream) { return evbuffer_get_length(bufferevent_get_output(stream)) > 0; }

} // namespace

struct FaultRelay::Connection {
    // Bytes to deliver once they are due.
    struct Held {
        Milliseconds due {};
        std::string bytes;
    };
    FaultRelay* relay { nullptr };
    // Null for a repeated request, whose answer is dropped.
    bufferevent* client { nullptr };
    bufferevent* target { nullptr };
    std::deque<Held> heldRequests;
    std::deque<Held> heldAnswers;
    // First bytes of the client.
    std::string opening;
    // One side has closed: remaining bytes are flushed, then both sides are closed.
    bool closing { false };
    // Bytes were dropped.
    bool lossy { false };
    // The side that is left isn't closed before.
    Milliseconds closeAt {};

    ~Connection()
    {
        if (client)
            bufferevent_free(client);
        if (target)
            bufferevent_free(target);
    }

    // A side that has closed takes no more bytes.
    static bool isFlushed(bufferevent* stream) { return !stream || (bufferevent_get_enabled(stream) & EV_WRITE) == 0 || !hasOutput(stream); }
    bool isFlushed() const { return heldRequests.empty() && heldAnswers.empty() && isFlushed(client) && isFlushed(target); }

    void closeClient(Milliseconds targetCloseAt)
    {
        if (client)
            bufferevent_free(client);
        client = nullptr;
        heldAnswers.clear();
        closing = true;
        closeAt = targetCloseAt;
    }

    static void deliver(std::deque<Held>& held, bufferevent* stream, Milliseconds now)
    {
        for (; !held.empty() && held.front().due <= now; held.pop_front()) {
            if (stream)
                bufferevent_write(stream, held.front().bytes.data(), held.front().bytes.size());
        }
    }

    static void clientReadable(bufferevent*, void* self)
    {
        auto* connection = static_cast<Connection*>(self);
        connection->relay->fromClient(*connection);
    }

    static void targetReadable(bufferevent*, void* self)
    {
        auto* connection = static_cast<Connection*>(self);
        connection->relay->fromTarget(*connection);
    }

    static void changed(bufferevent* stream, short what, void* self)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        auto* connection = static_cast<Connection*>(self);
        connection->closing = true;
        // Bytes for the side that closed cannot be delivered any more.
        evbuffer* output = bufferevent_get_output(stream);
        evbuffer_drain(output, evbuffer_get_length(output));
        bufferevent_disable(stream, EV_READ | EV_WRITE);
    }
};

FaultRelay::FaultRelay(EventLoop& loop, std::uint16_t listenPort, std::uint16_t targetPort, const std::string& host)
    : m_loop(loop)
    , m_listenPort(listenPort)
    , m_targetPort(targetPort)
    , m_host(host)
{
}

FaultRelay::~FaultRelay()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

Result<void> FaultRelay::start()
{
    const sockaddr_in address = localAddress(m_host, m_listenPort);
    m_listener = evconnlistener_new_bind(
        m_loop.base(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) {
            static_cast<FaultRelay*>(self)->accepted(descriptor);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (!m_listener) {
        return Error { .code = ErrorCode::Unavailable,
            .ran = Ran::No,
            .step = "relay.listen",
            .peer = std::to_string(m_listenPort),
            .message = "cannot bind the relay's listening port" };
    }
    m_timer = m_loop.every(pumpPeriod, [this] { pump(); });
    return boost::outcome_v2::success();
}

void FaultRelay::setFault(const RelayFault& fault)
{
    m_fault = fault;
    const bool isNewsLate = fault.refuse && fault.newsDelay.count > 0;
    std::erase_if(m_connections, [&](const auto& connection) { return (fault.refuse && !isNewsLate) || (connection->lossy && !drops(faultOf(*connection))); });
    for (const auto& connection : m_connections) {
        if (isNewsLate && !connection->closing)
            connection->closeClient(Clock::now() + fault.newsDelay);
    }
}

void FaultRelay::setClientFault(const std::string& client, const RelayFault& fault)
{
    m_clientFaults[client] = fault;
    std::erase_if(m_connections, [&](const auto& connection) { return connection->lossy && !drops(faultOf(*connection)); });
}

RelayFault FaultRelay::faultOf(const Connection& connection) const
{
    RelayFault both = m_fault;
    for (const auto& [client, fault] : m_clientFaults) {
        if (connection.opening.find(client) == std::string::npos)
            continue;
        both.dropRequests = both.dropRequests || fault.dropRequests;
        both.dropAnswers = both.dropAnswers || fault.dropAnswers;
        both.delay = std::max(both.delay, fault.delay);
        both.holdRequestsUntil = std::max(both.holdRequestsUntil, fault.holdRequestsUntil);
        both.holdAnswersUntil = std::max(both.holdAnswersUntil, fault.holdAnswersUntil);
    }
    return both;
}

bufferevent* FaultRelay::connectToTarget()
{
    bufferevent* stream = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    const sockaddr_in address = localAddress(m_host, m_targetPort);
    bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return stream;
}

void FaultRelay::accepted(int descriptor)
{
    if (m_fault.refuse) {
        evutil_closesocket(descriptor);
        return;
    }
    auto connection = std::make_unique<Connection>();
    connection->relay = this;
    connection->client = bufferevent_socket_new(
        m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    connection->target = connectToTarget();
    bufferevent_setcb(
        connection->client, &Connection::clientReadable, nullptr, &Connection::changed, connection.get());
    bufferevent_setcb(
        connection->target, &Connection::targetReadable, nullptr, &Connection::changed, connection.get());
    bufferevent_enable(connection->client, EV_READ | EV_WRITE);
    bufferevent_enable(connection->target, EV_READ | EV_WRITE);
    m_connections.push_back(std::move(connection));
}

void FaultRelay::fromClient(Connection& connection)
{
    std::string bytes = readAll(connection.client);
    connection.opening += bytes.substr(0, openingBytes - connection.opening.size());
    const RelayFault fault = faultOf(connection);
    if (fault.dropRequests) {
        connection.lossy = true;
        return;
    }
    if (m_fault.repeatAfter.count > 0)
        repeat(bytes);
    connection.heldRequests.push_back({ .due = std::max(Clock::now() + fault.delay, fault.holdRequestsUntil), .bytes = std::move(bytes) });
}

void FaultRelay::fromTarget(Connection& connection)
{
    std::string bytes = readAll(connection.target);
    if (!connection.client)
        return;
    const RelayFault fault = faultOf(connection);
    if (fault.dropAnswers) {
        connection.lossy = true;
        return;
    }
    if (m_fault.swallowAnswers > 0) {
        --m_fault.swallowAnswers;
        ++m_swallowed;
        connection.closing = true;
        return;
    }
    connection.heldAnswers.push_back({ .due = std::max(Clock::now() + fault.delay, fault.holdAnswersUntil), .bytes = std::move(bytes) });
}

void FaultRelay::repeat(const std::string& bytes)
{
    ++m_repeated;
    auto connection = std::make_unique<Connection>();
    connection->relay = this;
    connection->target = connectToTarget();
    bufferevent_setcb(
        connection->target, &Connection::targetReadable, nullptr, &Connection::changed, connection.get());
    bufferevent_enable(connection->target, EV_READ | EV_WRITE);
    connection->heldRequests.push_back({ .due = Clock::now() + m_fault.repeatAfter, .bytes = bytes });
    m_connections.push_back(std::move(connection));
}

void FaultRelay::pump()
{
    const Milliseconds now = Clock::now();
    for (const auto& connection : m_connections) {
        Connection::deliver(connection->heldRequests, connection->target, now);
        Connection::deliver(connection->heldAnswers, connection->client, now);
    }
    // While both directions are dropped, neither side learns that the other has closed.
    std::erase_if(m_connections, [this, now](const auto& connection) {
        const RelayFault fault = faultOf(*connection);
        const bool cut = fault.dropRequests && fault.dropAnswers;
        return connection->closing && now >= connection->closeAt && connection->isFlushed() && !(cut && connection->client);
    });
}

} // namespace oleanderport
