#include "wire/HttpConnections.h"

#include "wire/MessageCodec.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fmt/format.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    constexpr std::int64_t millisecondsPerSecond = 1000;
    // Bytes of header lines behind a chunked body.
    constexpr std::size_t maxTrailerBytes = 512;

    // A whole answer that is written below evhttp, to a request that evhttp has not passed on.
    std::string rawRefusal(int status, const char* reason, const Error& error)
    {
        Json::Value body(Json::objectValue);
        body["error"] = errorToJson(error);
        const std::string text = writeJson(body);
        const std::string retryAfter = error.retryAfter.count > 0 ? fmt::format("Retry-After: {}\r\n", error.retryAfter.count / millisecondsPerSecond) : "";
        return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nConnection: close\r\n{}Content-Length: {}\r\n\r\n{}", status, reason,
            retryAfter, text.size(), text);
    }

    std::string requestTimeoutReply()
    {
        return rawRefusal(408, "Request Timeout", { .code = ErrorCode::Timeout, .ran = Ran::No, .step = "http", .message = "sent too slowly" });
    }

    std::string intakeRefusalReply(RequestRefusal reason, int overBudgetStatus)
    {
        switch (reason) {
        case RequestRefusal::TooLarge:
            return rawRefusal(413, "Request Entity Too Large", { .code = ErrorCode::BodyTooLarge, .ran = Ran::No, .step = "http", .message = "the request is too large" });
        case RequestRefusal::TooManyHeaders:
            return rawRefusal(431, "Request Header Fields Too Large", { .code = ErrorCode::BadRequest, .ran = Ran::No, .step = "http", .message = "the request has too many header lines" });
        case RequestRefusal::OverBudget:
            break;
        }
        if (overBudgetStatus == unknownOutcomeStatus)
            return rawRefusal(overBudgetStatus, "Gateway Timeout", { .code = ErrorCode::Timeout, .ran = Ran::Unknown, .step = "http", .message = "unfinished requests hold too many bytes here" });
        return rawRefusal(overBudgetStatus, "Service Unavailable",
            { .code = ErrorCode::Unavailable, .ran = Ran::No, .step = "http", .message = "unfinished requests hold too many bytes here", .retryAfter = { millisecondsPerSecond } });
    }

    void sendRaw(bufferevent* connection, const std::string& answer)
    {
        (void)::send(bufferevent_getfd(connection), answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }

} // namespace

HttpConnections::~HttpConnections()
{
    for (const auto& [connection, state] : all)
        release(connection, state.get());
}

void HttpConnections::add(bufferevent* connection)
{
    bufferevent_incref(connection);
    auto state = std::make_shared<Connection>();
    state->owner = this;
    state->bufferEvent = connection;
    state->id = intake->added(maxRequestBytes, [connection, state = state.get()](std::optional<RequestRefusal> reason) { refuse(connection, *state, reason); });
    evbuffer_add_cb(bufferevent_get_input(connection), &HttpConnections::inputChanged, state.get());
    evbuffer_add_cb(bufferevent_get_output(connection), &HttpConnections::outputChanged, state.get());
    all[connection] = std::move(state);
}

void HttpConnections::inputChanged(evbuffer*, const evbuffer_cb_info* change, void* state)
{
    auto* connection = static_cast<Connection*>(state);
    if (change->n_added == 0)
        return;
    // The reference of this class keeps a connection reading that evhttp has freed.
    if (isFreed(connection->bufferEvent))
        bufferevent_disable(connection->bufferEvent, EV_READ);
    if (!connection->receivingSince)
        connection->receivingSince = Clock::now();
    HttpConnections& owner = *connection->owner;
    RequestBudget& budget = owner.intake->budget();
    budget.active(connection->id, Clock::now());
    budget.received(connection->id, change->n_added, readHead(*connection, change->orig_size));
    if (const auto reason = owner.intake->keepBudget(connection->id))
        owner.refuseLater(*connection, *reason);
    else if (connection->openRequests > 0 && change->orig_size + change->n_added >= maxReadAheadBytes)
        owner.refuseLater(*connection, RequestRefusal::TooLarge);
}

HeadPart HttpConnections::readHead(Connection& connection, std::size_t from)
{
    HeadPart part;
    if (connection.head.isComplete())
        return part;
    evbuffer* input = bufferevent_get_input(connection.bufferEvent);
    evbuffer_ptr position {};
    evbuffer_ptr_set(input, &position, from, EVBUFFER_PTR_SET);
    std::vector<evbuffer_iovec> blocks(static_cast<std::size_t>(evbuffer_peek(input, -1, &position, nullptr, 0)));
    evbuffer_peek(input, -1, &position, blocks.data(), static_cast<int>(blocks.size()));
    for (const auto& block : blocks)
        part += connection.head.received({ static_cast<const char*>(block.iov_base), block.iov_len });
    // evhttp counts trailers towards the same limit.
    if (connection.head.isComplete() && !isFreed(connection.bufferEvent))
        evhttp_connection_set_max_headers_size(evhttpConnectionOf(connection.bufferEvent), static_cast<ev_ssize_t>(std::min(connection.head.bytes() + maxTrailerBytes, maxHeaderBytes)));
    return part;
}

void HttpConnections::refuseLater(Connection& connection, RequestRefusal reason)
{
    bufferevent_disable(connection.bufferEvent, EV_READ | EV_WRITE);
    evbuffer_drain(bufferevent_get_input(connection.bufferEvent), evbuffer_get_length(bufferevent_get_input(connection.bufferEvent)));
    intake->budget().closed(connection.id);
    connection.refusal = reason;
    m_refusedLater.push_back(connection.id);
    onOverload();
}

void HttpConnections::closeRefused()
{
    for (const auto connection : std::exchange(m_refusedLater, {})) {
        const auto found = std::find_if(all.begin(), all.end(), [connection](const auto& each) { return each.second->id == connection; });
        if (found != all.end())
            intake->close(connection, *found->second->refusal);
    }
    intake->keepBudget();
}

void HttpConnections::outputChanged(evbuffer*, const evbuffer_cb_info* change, void* state)
{
    const auto* connection = static_cast<Connection*>(state);
    RequestBudget& budget = connection->owner->intake->budget();
    budget.active(connection->id, Clock::now());
    budget.unsent(connection->id, change->orig_size + change->n_added - change->n_deleted);
    if (change->n_added > 0 && budget.victim())
        connection->owner->onOverload();
}

bool HttpConnections::isFreed(bufferevent* connection)
{
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    bufferevent_getcb(connection, &read, &write, &event, nullptr);
    return !read && !write && !event;
}

evhttp_connection* HttpConnections::evhttpConnectionOf(bufferevent* connection)
{
    void* argument = nullptr;
    bufferevent_getcb(connection, nullptr, nullptr, nullptr, &argument);
    return static_cast<evhttp_connection*>(argument);
}

void HttpConnections::release(bufferevent* connection, Connection* state) const
{
    evbuffer_remove_cb(bufferevent_get_input(connection), &HttpConnections::inputChanged, state);
    evbuffer_remove_cb(bufferevent_get_output(connection), &HttpConnections::outputChanged, state);
    intake->removed(state->id);
    bufferevent_decref(connection);
}

void HttpConnections::refuse(bufferevent* connection, Connection& state, std::optional<RequestRefusal> reason)
{
    RequestIntake& intake = *state.owner->intake;
    const bool isOpen = !isFreed(connection);
    // The handler learns of the close and may answer others, whose connections must not be read then.
    if (isOpen && reason && state.openRequests > 0 && intake.isReading())
        return state.owner->refuseLater(state, *reason);
    if (isOpen) {
        intake.countClosed(reason);
        if (reason && state.openRequests == 0 && evbuffer_get_length(bufferevent_get_output(connection)) == 0)
            sendRaw(connection, intakeRefusalReply(*reason, state.owner->overBudgetStatus));
    }
    bufferevent_disable(connection, EV_READ | EV_WRITE);
    intake.budget().closed(state.id);
    // evhttp frees the connection.
    if (isOpen)
        bufferevent_trigger_event(connection, BEV_EVENT_READING | BEV_EVENT_ERROR, 0);
    evbuffer_drain(bufferevent_get_input(connection), evbuffer_get_length(bufferevent_get_input(connection)));
}

void HttpConnections::sweep(Milliseconds now)
{
    for (auto position = all.begin(); position != all.end();) {
        bufferevent* connection = position->first;
        if (isFreed(connection)) {
            release(connection, position->second.get());
            position = all.erase(position);
            continue;
        }
        Connection& state = *position->second;
        const bool tooSlow = state.openRequests == 0 && !state.timedOut && state.receivingSince
            && now > *state.receivingSince + requestTimeout;
        if (tooSlow)
            sendTimeoutAndClose(connection, state);
        ++position;
    }
}

void HttpConnections::sendTimeoutAndClose(bufferevent* connection, Connection& state)
{
    state.timedOut = true;
    sendRaw(connection, requestTimeoutReply());
    ::shutdown(bufferevent_getfd(connection), SHUT_RDWR);
}

} // namespace oleanderport
