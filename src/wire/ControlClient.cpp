#include "wire/ControlClient.h"

#include "policy/Backoff.h"
#include "wire/Process.h"

#include <algorithm>
#include <cstdint>

namespace oleanderport {

namespace {

    // Consecutive NotLeader redirects that are followed without a delay.
    constexpr int maxImmediateRedirects = 2;
    // Covers several round trips between regions. An instance without power is skipped after this time.
    constexpr Milliseconds connectTimeout { 150 };
    constexpr Milliseconds queryTimeout { 500 };

} // namespace

struct ControlClient::PendingCall {
    Channel channel { Channel::Batched };
    std::string method;
    Json::Value params;
    Milliseconds deadline {};
    RpcReply callback;
    std::unique_ptr<EventLoop::Timer> retryTimer;
    bool mayHaveRun { false };
    // Failed attempts, and redirects followed since the last delay.
    int failures { 0 };
    int redirects { 0 };
    // Grows with each attempt and with its end, so that answers to earlier attempts are recognised.
    std::uint64_t attempts { 0 };
    std::unique_ptr<EventLoop::Timer> queryTimer;
};

ControlClient::ControlClient(EventLoop& loop, std::vector<std::string> peers)
    : m_loop(loop)
    , m_random(makeRandomSeed())
    , m_search(std::move(peers))
    , m_alive(std::make_shared<bool>(true))
{
}

void ControlClient::send(const PendingCall& call, const std::string& address, Milliseconds timeout, RpcReply callback)
{
    if (call.channel == Channel::Batched) {
        auto& batcher = m_work[address];
        if (!batcher)
            batcher = std::make_unique<RpcBatcher>(m_loop, address, connectTimeout);
        return batcher->call(call.method, call.params, timeout, std::move(callback));
    }
    auto& client = m_session[address];
    if (!client)
        client = std::make_unique<RpcClient>(m_loop, address, connectTimeout);
    client->call(call.method, call.params, timeout, std::move(callback));
}

void ControlClient::call(
    Channel channel, const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply callback)
{
    auto call = std::make_shared<PendingCall>();
    call->channel = channel;
    call->method = method;
    call->params = params;
    call->deadline = Clock::now() + timeout;
    call->callback = std::move(callback);
    attempt(std::move(call));
}

void ControlClient::attempt(std::shared_ptr<PendingCall> call)
{
    const Milliseconds now = Clock::now();
    const std::string address = m_search.target();
    // One instance gets at most half of the remaining time, so that a frozen one leaves time for the next.
    const Milliseconds left = call->deadline - now;
    const Milliseconds timeout { std::max<std::int64_t>(left.count / 2, 1) };
    const std::weak_ptr<bool> alive = m_alive;
    const std::uint64_t number = ++call->attempts;
    scheduleQuery(call, address);
    send(*call, address, timeout, [this, alive, call, address, number](Result<Json::Value> answer) {
        if (alive.expired() || number != call->attempts)
            return;
        ++call->attempts;
        call->queryTimer.reset();
        onAnswer(call, address, std::move(answer));
    });
}

void ControlClient::onAnswer(const std::shared_ptr<PendingCall>& call, const std::string& address, Result<Json::Value> answer)
{
    if (answer.has_value() || !isUndecided(answer.assume_error().code))
        return call->callback(std::move(answer));
    Error error = answer.assume_error();
    call->mayHaveRun = call->mayHaveRun || error.ran == Ran::Unknown;
    const Milliseconds delay = retryDelay(*call, error, address);
    if (Clock::now() + delay >= call->deadline) {
        error.code = ErrorCode::Unavailable;
        error.ran = call->mayHaveRun ? Ran::Unknown : Ran::No;
        return call->callback(error);
    }
    const std::weak_ptr<bool> alive = m_alive;
    call->retryTimer = m_loop.once(delay, [this, alive, call] {
        if (!alive.expired())
            attempt(call);
    });
}

void ControlClient::scheduleQuery(const std::shared_ptr<PendingCall>& call, const std::string& asked)
{
    const std::weak_ptr<bool> alive = m_alive;
    const std::weak_ptr<PendingCall> pending = call;
    call->queryTimer = m_loop.once(m_search.queryDelay(m_random()), [this, alive, pending, asked] {
        const auto waiting = pending.lock();
        if (alive.expired() || !waiting)
            return;
        // Found by a query of another call.
        const std::string leader = m_search.confirmedLeader();
        if (!leader.empty() && leader != asked)
            return move(waiting, leader);
        const std::string address = m_search.nextQuery(asked, Clock::now());
        if (!address.empty())
            query(waiting, asked, address);
        scheduleQuery(waiting, asked);
    });
}

void ControlClient::query(const std::shared_ptr<PendingCall>& call, const std::string& asked, const std::string& address)
{
    auto& client = m_queries[address];
    if (!client)
        client = std::make_unique<RpcClient>(m_loop, address, connectTimeout);
    const std::weak_ptr<bool> alive = m_alive;
    client->callTyped<ControlGroupInfo>(controlGroupMethod, Nothing {}, queryTimeout,
        [this, alive, call, asked, address, number = call->attempts](const Result<ControlGroupInfo>& answer) {
            if (alive.expired() || !answer.has_value())
                return;
            const ControlGroupInfo& group = answer.assume_value();
            m_search.learn(group.instances, m_random());
            if (number != call->attempts)
                return;
            if (group.leads)
                return move(call, address);
            // The named instance may have lost its leadership since, so it is asked itself.
            if (!group.leader.empty() && group.leader != asked && group.leader != address)
                query(call, asked, group.leader);
        });
}

void ControlClient::move(const std::shared_ptr<PendingCall>& call, const std::string& leader)
{
    m_search.confirmed(leader);
    // The instance that was asked may have led until now and run the call.
    call->mayHaveRun = true;
    ++call->attempts;
    attempt(call);
}

Milliseconds ControlClient::retryDelay(PendingCall& call, const Error& error, const std::string& address)
{
    // The instance is alive but overloaded. Another instance would only redirect back to it.
    if (error.retryAfter.count > 0)
        return jitteredRetryAfter(error.retryAfter, m_random());
    const std::string before = m_search.target();
    const bool isRedirect = error.code == ErrorCode::NotLeader;
    m_search.failed(address, isRedirect ? error.peer : std::string {});
    const bool isNamed = isRedirect && m_search.target() == error.peer && m_search.target() != before;
    if (isNamed && call.redirects++ < maxImmediateRedirects)
        return {};
    call.redirects = 0;
    return jitteredBackoff({}, call.failures++, m_random());
}

} // namespace oleanderport
