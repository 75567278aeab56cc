#include "HostileClients.h"

#include "wire/HttpServer.h"

#include <fmt/format.h>

#include <iterator>

namespace oleanderport::soak {

namespace {

    constexpr Milliseconds connectPeriod { 40 };
    constexpr Milliseconds bytePeriod { 300 };
    constexpr std::size_t maxConnections = 200;
    constexpr std::size_t megabyte = 1024 * 1024;

    enum class Attack {
        Idle,
        HeaderLines,
        UnfinishedBody,
        EndlessChunk,
        JsonValues,
        RpcBatch,
        UnfinishedMessage,
        BytesBehindARequest,
        Count,
    };

    std::string repeated(const std::string& text, std::size_t count)
    {
        std::string all;
        all.reserve(text.size() * count);
        for (std::size_t i = 0; i < count; ++i)
            all += text;
        return all;
    }

    std::string post(const std::string& path, std::size_t announcedBytes, const std::string& body)
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: hostile.example\r\nContent-Length: {}\r\n\r\n{}", path, announcedBytes, body);
    }

    std::string requestOf(Attack attack, const std::string& path)
    {
        switch (attack) {
        case Attack::HeaderLines:
            return fmt::format("GET {} HTTP/1.1\r\n{}", path, repeated("a:b\r\n", 3'000));
        case Attack::UnfinishedBody:
            return post(path, megabyte, std::string(megabyte - 1, 'x'));
        case Attack::EndlessChunk:
            return fmt::format("POST {} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n{}", path, std::string(megabyte, 'x'));
        case Attack::JsonValues: {
            const std::string body = "[" + repeated("[],", 600'000) + "0]";
            return post(path, body.size(), body);
        }
        case Attack::RpcBatch: {
            const std::string body = "[" + repeated(R"({"jsonrpc":"2.0","method":"events","id":1},)", 200) + "0]";
            return post(path, body.size(), body);
        }
        case Attack::UnfinishedMessage:
            return std::string("\x00\x3f\xff\xff", 4) + std::string(megabyte, 'x');
        case Attack::BytesBehindARequest:
            return post(path, 2, "{}") + std::string(megabyte, 'x');
        default:
            return {};
        }
    }

} // namespace

HostileClients::HostileClients(EventLoop& loop, std::uint64_t seed, std::vector<std::string> addresses)
    : m_loop(loop)
    , m_random(seed)
    , m_addresses(std::move(addresses))
{
}

void HostileClients::start()
{
    m_connectTimer = m_loop.every(connectPeriod, [this] { connect(); });
    m_byteTimer = m_loop.every(bytePeriod, [this] {
        for (const auto& connection : m_connections) {
            if (!connection->closedByPeer() && connection->unsent() == 0)
                connection->send("x");
        }
    });
}

void HostileClients::stop()
{
    m_connectTimer.reset();
    m_byteTimer.reset();
    m_connections.clear();
}

void HostileClients::connect()
{
    if (m_connections.size() >= maxConnections)
        m_connections.pop_front();
    const std::string& address = m_addresses[m_random.below(m_addresses.size())];
    const Endpoint endpoint = parseEndpoint(address).value();
    sockaddr_in target = loopback(endpoint.port);
    inet_pton(AF_INET, endpoint.ip.c_str(), &target.sin_addr);
    bufferevent* connection = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    m_connections.push_back(std::make_unique<RawConnection>(connection));
    bufferevent_socket_connect(connection, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    m_connections.back()->send(drawRequest());
}

std::string HostileClients::drawRequest()
{
    const char* const paths[] = { "/rpc", "/", "/Config.Put", "/Instances.Heartbeat/i-x" };
    const auto attack = static_cast<Attack>(m_random.below(static_cast<int>(Attack::Count)));
    return requestOf(attack, paths[m_random.below(std::size(paths))]);
}

} // namespace oleanderport::soak
