#pragma once

#include "oleanderport/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

// Decides which connections of a process are closed so that what clients send stays within its memory. Made for many clients that each
// announce or send a body far over the limit, or withhold the end of one, and for thousands that hold idle connections, beside callers with
// ordinary requests.
namespace oleanderport {

// Why a request is refused before it is handled.
enum class RequestRefusal {
    // More bytes than its server reads of one request.
    TooLarge,
    // All requests of the process together hold more bytes than allowed, and no unfinished one holds more than this one.
    OverBudget,
};

// Counts the bytes that connections hold: of unfinished requests, of requests that are handled and not yet answered, and of unsent
// answers. Connection ids are unique among all servers of the process.
class RequestBudget {
public:
    using Connection = std::uint64_t;

    struct Victim {
        Connection connection { 0 };
        RequestRefusal reason { RequestRefusal::OverBudget };
    };

    explicit RequestBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    // `maxRequestBytes` is the limit of one request with its headers.
    void opened(Connection, std::size_t maxRequestBytes, Milliseconds now);
    // Bytes have arrived or were sent.
    void active(Connection, Milliseconds now);
    // What its handler still holds counts until released().
    void closed(Connection);
    // Bytes of an unfinished request have arrived.
    void received(Connection, std::size_t bytes);
    // Its request is complete and goes to the handler. `nextBytes` have arrived of the next one.
    void handedOver(Connection, std::size_t nextBytes);
    // The handler holds the request no longer.
    void released(Connection);
    // Bytes of answers that wait to be sent.
    void unsent(Connection, std::size_t bytes);

    // The connection to be closed next; nullopt while all limits are kept. A request over its own limit comes first. Otherwise the unfinished
    // request or unsent answer with the most bytes is given up, so that small requests are served while large ones compete. Requests in
    // the hands of a handler are never given up: they may be running.
    std::optional<Victim> victim() const;

    // Up to `count` connections without a request in the hands of a handler and without an unsent answer that were not active for `minIdle`,
    // those that are idle the longest first.
    std::vector<Connection> longestIdle(Milliseconds now, Milliseconds minIdle, std::size_t count) const;

    std::size_t bytes() const { return m_bytes; }

private:
    struct Held {
        std::size_t maxRequestBytes { 0 };
        std::size_t receivedBytes { 0 };
        std::size_t handledBytes { 0 };
        std::size_t unsentBytes { 0 };
        bool isClosed { false };
        Milliseconds activeAt {};

        std::size_t reclaimableBytes() const { return receivedBytes + unsentBytes; }
        std::size_t bytes() const { return reclaimableBytes() + handledBytes; }
        bool isTooLarge() const { return receivedBytes > maxRequestBytes; }
    };

    template <typename Change>
    void change(Connection, Change);
    void eraseIfDone(Connection);

    std::size_t m_maxBytes;
    std::size_t m_bytes { 0 };
    std::map<Connection, Held> m_connections;
    // Connections with an unfinished request or an unsent answer, by its bytes.
    std::set<std::pair<std::size_t, Connection>> m_reclaimable;
    std::set<Connection> m_tooLarge;
};

} // namespace oleanderport
