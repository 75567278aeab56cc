#include "wire/ControlClient.h"

#include "policy/Backoff.h"
#include "wire/Process.h"

#include <algorithm>

namespace oleanderport {

namespace {

    // Leaders that are followed without a pause, one naming the next.
    constexpr int mostFollowed = 2;
    // Several round trips between regions. An instance without power is passed over after it.
    constexpr Milliseconds connectTimeout { 150 };

} // namespace

struct ControlClient::Attempt {
    Lane lane { Lane::Work };
    std::string method;
    Json::Value params;
    Milliseconds giveUpAt {};
    RpcReply callback;
    std::unique_ptr<EventLoop::Timer> pause;
    bool ranUnknown { false };
    // Attempts that failed, and leaders that were followed since the last pause.
    int failures { 0 };
    int followed { 0 };
};

ControlClient::ControlClient(EventLoop& loop, std::vector<std::string> peers)
    : m_loop(loop)
    , m_random(makeRandomSeed())
    , m_peers(std::move(peers))
    , m_leader(m_peers.front())
    , m_alive(std::make_shared<bool>(true))
{
}

void ControlClient::send(const Attempt& work, const std::string& address, Milliseconds timeout, RpcReply callback)
{
    if (work.lane == Lane::Work) {
        auto& batcher = m_work[address];
        if (!batcher)
            batcher = std::make_unique<RpcBatcher>(m_loop, address, connectTimeout);
        return batcher->call(work.method, work.params, timeout, std::move(callback));
    }
    auto& client = m_session[address];
    if (!client)
        client = std::make_unique<RpcClient>(m_loop, address, connectTimeout);
    client->call(work.method, work.params, timeout, std::move(callback));
}

void ControlClient::call(
    Lane lane, const std::string& method, const Json::Value& params, Milliseconds timeout, RpcReply callback)
{
    auto work = std::make_shared<Attempt>();
    work->lane = lane;
    work->method = method;
    work->params = params;
    work->giveUpAt = Clock::now() + timeout;
    work->callback = std::move(callback);
    attempt(std::move(work));
}

void ControlClient::attempt(std::shared_ptr<Attempt> work)
{
    const Milliseconds now = Clock::now();
    const std::string asked = m_leader;
    // Half of the time at most goes to one instance, so that a frozen one leaves time for the next.
    const Milliseconds left = work->giveUpAt - now;
    const Milliseconds timeout { std::max<std::int64_t>(left.count / 2, 1) };
    const std::weak_ptr<bool> alive = m_alive;
    send(*work, asked, timeout, [this, alive, work, asked](Result<Json::Value> answer) {
        if (alive.expired())
            return;
        if (answer.has_value() || !isUndecided(answer.assume_error().code))
            return work->callback(std::move(answer));
        Error error = answer.assume_error();
        work->ranUnknown = work->ranUnknown || error.ran == Ran::Unknown;
        const Milliseconds pause = pauseAfter(*work, error, asked);
        if (Clock::now() + pause >= work->giveUpAt) {
            error.code = ErrorCode::Unavailable;
            error.ran = work->ranUnknown ? Ran::Unknown : Ran::No;
            return work->callback(error);
        }
        work->pause = m_loop.once(pause, [this, alive, work] {
            if (!alive.expired())
                attempt(work);
        });
    });
}

Milliseconds ControlClient::pauseAfter(Attempt& work, const Error& error, const std::string& asked)
{
    // It is there and has too much to do: another instance would only send us back.
    if (error.retryAfter.count > 0)
        return jitteredRetryAfter(error.retryAfter, m_random());
    const std::string before = m_leader;
    follow(error, asked);
    const bool isNamed = error.code == ErrorCode::NotLeader && m_leader == error.peer && m_leader != before;
    if (isNamed && work.followed++ < mostFollowed)
        return {};
    work.followed = 0;
    return jitteredBackoff({}, work.failures++, m_random());
}

void ControlClient::follow(const Error& error, const std::string& asked)
{
    if (m_leader != asked)
        return;
    const bool isPeer = std::find(m_peers.begin(), m_peers.end(), asked) != m_peers.end();
    if (isPeer)
        m_lastPeer = asked;
    const bool named = error.code == ErrorCode::NotLeader && error.peer != asked && !error.peer.empty();
    const bool namesPeer = named && std::find(m_peers.begin(), m_peers.end(), error.peer) != m_peers.end();
    // A group may grow beyond the instances that this process was told of. Such a leader is asked on the word of a
    // peer; when it does not answer, the next peer is.
    if (namesPeer || (named && isPeer)) {
        m_leader = error.peer;
        return;
    }
    const auto position = std::find(m_peers.begin(), m_peers.end(), m_lastPeer);
    const auto next = position == m_peers.end() || position + 1 == m_peers.end() ? m_peers.begin() : position + 1;
    m_leader = *next;
}

} // namespace oleanderport
