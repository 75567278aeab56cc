#include "Ports.h"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <random>
#include <stdexcept>

namespace oleanderport::review {

namespace {

    constexpr std::uint32_t firstPort = 10'000;
    constexpr std::uint32_t ports = 22'000;

    bool isFree(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        return bound;
    }

} // namespace

std::string freeLoopbackAddress()
{
    static std::uint32_t next = std::random_device {}();
    for (std::uint32_t tried = 0; tried < ports; ++tried) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % ports);
        if (isFree(port))
            return fmt::format("127.0.0.1:{}", port);
    }
    throw std::runtime_error("no free loopback port");
}

} // namespace oleanderport::review
