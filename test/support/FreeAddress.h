#pragma once

#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace oleanderport {

// A loopback address whose port is free now. It is unlikely to be taken before the caller binds it: the port lies outside
// the range that the system uses for outgoing connections (32768 and up), and each process starts at a different port.
inline std::string freeAddress()
{
    constexpr std::uint32_t firstPort = 10'000;
    constexpr std::uint32_t ports = 10'000;
    constexpr std::uint32_t portsPerProcess = 64;
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * portsPerProcess;
    for (std::uint32_t tried = 0; tried < ports; ++tried) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % ports);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const bool isFree = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (isFree)
            return fmt::format("127.0.0.1:{}", port);
    }
    throw std::runtime_error("no free loopback port between 10000 and 19999");
}

} // namespace oleanderport
