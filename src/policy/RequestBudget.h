#pragma once

#include "oleanderport/Clock.h"
#include "policy/RequestHead.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

// Decides which connections of a process are closed so that what clients send stays within its memory. Made for many clients that each
// announce or send a body far over the limit, or withhold the end of one, or send heads that cost far more than their bytes, and for thousands
// that hold idle connections, beside callers with ordinary requests.
namespace oleanderport {

// Why a request is refused before it is handled.
enum class RequestRefusal {
    // More bytes than its server reads of one request.
    TooLarge,
    // More header lines than the process reads of one request.
    TooManyHeaders,
    // All requests of the process together cost more memory than allowed, and no unfinished one costs more than this one.
    OverBudget,
};

// Counts the memory that connections cost: of unfinished requests, of requests that are handled and not yet answered, of their heads until
// the answer is sent, and of unsent answers. Connection ids are unique among all servers of the process.
class RequestBudget {
public:
    using Connection = std::uint64_t;

    struct Victim {
        Connection connection { 0 };
        RequestRefusal reason { RequestRefusal::OverBudget };
    };

    static constexpr std::size_t defaultMaxHeaderLines = 100;

    // `maxHeaderLines` is the limit of one request.
    explicit RequestBudget(std::size_t maxBytes, std::size_t maxHeaderLines = defaultMaxHeaderLines)
        : m_maxBytes(maxBytes)
        , m_maxLines(maxHeaderLines + linesBesideHeaders)
    {
    }

    // `maxRequestBytes` is the limit of one request with its headers.
    void opened(Connection, std::size_t maxRequestBytes, Milliseconds now);
    // Bytes arrive or were sent. Has no effect while a request is unfinished, so that one whose bytes arrive one by one counts as idle since
    // its first byte.
    void active(Connection, Milliseconds now);
    // What its handler still holds counts until released().
    void closed(Connection);
    // Bytes of an unfinished request have arrived, `head` of them of its head.
    void received(Connection, std::size_t bytes, const HeadPart& head = {});
    // Its request is complete and goes to the handler. `nextBytes` have arrived of the next one.
    void handedOver(Connection, std::size_t nextBytes, const HeadPart& nextHead = {});
    // The handler of its request wants to hold this many bytes until released(), instead of those that arrived. False, with nothing changed,
    // when the requests in the hands of handlers would then cost more than half of the budget, or three quarters for a small request. So
    // small ones are handled beside large ones, and further ones can arrive.
    bool retain(Connection, std::size_t bytes);
    // The handler holds the request no longer. Its head is held until the answer is sent.
    void released(Connection);
    // Bytes of answers that wait to be sent.
    void unsent(Connection, std::size_t bytes);

    // The connection to be closed next; nullopt while all limits are kept. A request over its own limit comes first. Otherwise the unfinished
    // request or unsent answer that costs the most is given up, so that small requests are served while large ones compete. A request
    // in the hands of a handler may be running; it makes its connection no victim, but bytes that arrive behind it do.
    std::optional<Victim> victim() const;

    // Up to `count` connections without a request in the hands of a handler and without an unsent answer that were not active for `minIdle`,
    // those that are idle the longest first.
    std::vector<Connection> longestIdle(Milliseconds now, Milliseconds minIdle, std::size_t count) const;

    std::size_t bytes() const { return m_bytes; }

private:
    // The request line and the line that ends the head.
    static constexpr std::size_t linesBesideHeaders = 2;

    struct Held {
        std::size_t maxRequestBytes { 0 };
        std::size_t receivedBytes { 0 };
        HeadPart receivedHead;
        std::size_t handledBytes { 0 };
        HeadPart handledHead;
        // Of the request whose answer is being sent.
        HeadPart answeredHead;
        std::size_t unsentBytes { 0 };
        bool isClosed { false };
        Milliseconds activeAt {};

        std::size_t unreclaimableBytes() const { return handledBytes + handledHead.overheadBytes(); }
        std::size_t reclaimableBytes() const { return receivedBytes + receivedHead.overheadBytes() + unsentBytes + answeredHead.overheadBytes(); }
        std::size_t bytes() const { return reclaimableBytes() + unreclaimableBytes(); }
    };

    std::optional<RequestRefusal> refusalOf(const Held&) const;

    template <typename Change>
    void change(Connection, Change);
    template <typename Change>
    void recount(Held&, Change);
    void eraseIfDone(Connection);

    std::size_t m_maxBytes;
    std::size_t m_maxLines;
    std::size_t m_bytes { 0 };
    // In the hands of handlers.
    std::size_t m_unreclaimableBytes { 0 };
    std::map<Connection, Held> m_connections;
    // Connections with an unfinished request or an unsent answer, by what they cost.
    std::set<std::pair<std::size_t, Connection>> m_reclaimable;
    // Connections over a limit of their own.
    std::map<Connection, RequestRefusal> m_refused;
};

} // namespace oleanderport
