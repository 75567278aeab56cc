#pragma once

#include "policy/RequestBudget.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace oleanderport {

struct RequestIntakeOptions {
    // Memory of requests and answers that the process may hold at the same time.
    std::size_t maxBytes { 0 };
    // Open connections of all servers of the process.
    std::size_t maxConnections { 0 };
    // Header lines of one request.
    std::size_t maxHeaderLines { RequestBudget::defaultMaxHeaderLines };
};

// What the servers of a process hold of their clients' requests and answers, and what they refused for it.
class RequestIntake {
public:
    using Connection = RequestBudget::Connection;
    // Closes a connection, with an answer where one can be sent; without a reason it gets none.
    using Close = std::function<void(std::optional<RequestRefusal>)>;

    explicit RequestIntake(const RequestIntakeOptions& options)
        : m_budget(options.maxBytes, options.maxHeaderLines)
        , m_maxConnections(options.maxConnections)
    {
    }

    // Registers a connection until removed(). `maxRequestBytes` is the limit of one request with its headers. The budget learns by its own
    // calls what the connection holds.
    Connection added(std::size_t maxRequestBytes, Close);
    void removed(Connection);

    RequestBudget& budget() { return m_budget; }
    bool isFull() const { return m_close.size() >= m_maxConnections; }

    // Closes connections until the budget is kept, except `reading`, whose input is being read: the reason is returned when that one is to
    // be closed. Must not be called from a handler, as closing a connection tells its handler.
    std::optional<RequestRefusal> keepBudget(std::optional<Connection> reading = std::nullopt);

    // While keepBudget() closes connections during the read of another one.
    bool isReading() const { return m_isReading; }

    // Closes one connection that keepBudget() named.
    void close(Connection connection, RequestRefusal reason) { m_close.at(connection)(reason); }

    // Closes the connections that are idle the longest, so that others can be accepted.
    void closeLongestIdle(Milliseconds now);

    // Counts a connection that is closed for this reason, or as idle.
    void countClosed(std::optional<RequestRefusal>);
    // Counts a request that is refused on a connection which goes on.
    void countRefused(RequestRefusal reason) { ++m_refused[reason]; }

    std::size_t bytes() const { return m_budget.bytes(); }
    std::size_t refused(RequestRefusal) const;
    // Idle connections that were closed to let others in.
    std::size_t closedIdle() const { return m_closedIdle; }

private:
    void logClosed(Milliseconds now);

    RequestBudget m_budget;
    Connection m_lastConnection { 0 };
    std::map<Connection, Close> m_close;
    std::map<RequestRefusal, std::size_t> m_refused;
    std::size_t m_closedIdle { 0 };
    std::size_t m_maxConnections;
    bool m_isReading { false };
    std::size_t m_closedSinceLog { 0 };
    Milliseconds m_loggedAt {};
};

} // namespace oleanderport
