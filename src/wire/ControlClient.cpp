#include "wire/ControlClient.h"

#include "policy/Backoff.h"
#include "wire/Process.h"

#include <algorithm>

namespace oleanderport {

namespace {

    // Consecutive NotLeader redirects that are followed without a delay.
    constexpr int maxImmediateRedirects = 2;
    // Covers several round trips between regions. An instance without power is skipped after this time.
    constexpr Milliseconds connectTimeout { 150 };

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
};

ControlClient::ControlClient(EventLoop& loop, std::vector<std::string> peers)
    : m_loop(loop)
    , m_random(makeRandomSeed())
    , m_peers(std::move(peers))
    , m_leader(m_peers.front())
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
    const std::string address = m_leader;
    // One instance gets at most half of the remaining time, so that a frozen one leaves time for the next.
    const Milliseconds left = call->deadline - now;
    const Milliseconds timeout { std::max<std::int64_t>(left.count / 2, 1) };
    const std::weak_ptr<bool> alive = m_alive;
    send(*call, address, timeout, [this, alive, call, address](Result<Json::Value> answer) {
        if (alive.expired())
            return;
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
        call->retryTimer = m_loop.once(delay, [this, alive, call] {
            if (!alive.expired())
                attempt(call);
        });
    });
}

Milliseconds ControlClient::retryDelay(PendingCall& call, const Error& error, const std::string& address)
{
    // The instance is alive but overloaded. Another instance would only redirect back to it.
    if (error.retryAfter.count > 0)
        return jitteredRetryAfter(error.retryAfter, m_random());
    const std::string before = m_leader;
    selectLeader(error, address);
    const bool isNamed = error.code == ErrorCode::NotLeader && m_leader == error.peer && m_leader != before;
    if (isNamed && call.redirects++ < maxImmediateRedirects)
        return {};
    call.redirects = 0;
    return jitteredBackoff({}, call.failures++, m_random());
}

void ControlClient::selectLeader(const Error& error, const std::string& address)
{
    if (m_leader != address)
        return;
    const bool isPeer = std::find(m_peers.begin(), m_peers.end(), address) != m_peers.end();
    if (isPeer)
        m_lastPeer = address;
    const bool named = error.code == ErrorCode::NotLeader && error.peer != address && !error.peer.empty();
    const bool namesPeer = named && std::find(m_peers.begin(), m_peers.end(), error.peer) != m_peers.end();
    // The group may include instances that are not in this process's configuration. A leader outside of it is tried
    // when a configured peer names it; if it does not answer, the next configured peer is tried.
    if (namesPeer || (named && isPeer)) {
        m_leader = error.peer;
        return;
    }
    const auto position = std::find(m_peers.begin(), m_peers.end(), m_lastPeer);
    const auto next = position == m_peers.end() || position + 1 == m_peers.end() ? m_peers.begin() : position + 1;
    m_leader = *next;
}

} // namespace oleanderport
