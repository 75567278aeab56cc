#include "sidecar/EntryLink.h"

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    constexpr Milliseconds exchangeTimeout { 15'000 };
    constexpr Milliseconds retryDelay { 100 };

} // namespace

EntryLink::EntryLink(EventLoop& loop, const SessionId& sidecar, const SessionId& entry, const std::string& address,
    Callbacks callbacks)
    : m_loop(loop)
    , m_sidecar(sidecar)
    , m_entry(entry)
    , m_callbacks(std::move(callbacks))
    , m_alive(std::make_shared<bool>(true))
{
    m_poll.channel = Channel::Poll;
    m_poll.client = std::make_unique<RpcClient>(loop, address);
    m_report.channel = Channel::Report;
    m_report.client = std::make_unique<RpcClient>(loop, address);
    beginExchange(m_poll);
}

void EntryLink::report(const TaskResult& result)
{
    m_unsentResults.push_back(result);
    flushReport();
}

void EntryLink::offerRoom()
{
    const bool entrySeesNoRoom = m_granted <= m_received;
    if (m_entryHasQueue && entrySeesNoRoom && m_callbacks.room() > 0 && !m_report.inFlight)
        beginExchange(m_report);
}

void EntryLink::leave()
{
    m_leaving = true;
    flushReport();
}

bool EntryLink::isSettled() const
{
    const bool reported = m_report.sentResults.empty() && m_unsentResults.empty();
    return reported && (!m_leaving || (m_finalSentTotal && m_received >= *m_finalSentTotal));
}

void EntryLink::flushReport()
{
    const bool mustReportLeaving = m_leaving && !m_finalSentTotal;
    if (m_report.inFlight || (m_unsentResults.empty() && !mustReportLeaving))
        return;
    beginExchange(m_report);
}

void EntryLink::beginExchange(ChannelState& state)
{
    ++state.sequence;
    state.inFlight = true;
    // A resent exchange repeats its first content, because the entry does not process it again.
    state.leaving = m_leaving;
    if (state.channel == Channel::Report)
        state.sentResults = std::exchange(m_unsentResults, {});
    send(state);
}

void EntryLink::send(ChannelState& state)
{
    m_granted = std::max(m_granted, m_received + m_callbacks.room());
    const ExchangeRequest request { .sidecar = m_sidecar,
        .entry = m_entry,
        .channel = state.channel,
        .sequence = state.sequence,
        .grantedTotal = m_granted,
        .receivedTotal = m_received,
        .load = m_callbacks.load(),
        .results = state.sentResults,
        .leaving = state.leaving };
    const std::weak_ptr<bool> alive = m_alive;
    state.client->callTyped<ExchangeResponse>(
        "exchange", request, exchangeTimeout, [this, alive, &state](const Result<ExchangeResponse>& response) {
            if (!alive.expired())
                exchangeAnswered(state, response);
        });
}

void EntryLink::exchangeAnswered(ChannelState& state, const Result<ExchangeResponse>& response)
{
    if (!response.has_value() || response.assume_value().sequence != state.sequence) {
        state.retryTimer = m_loop.once(retryDelay, [this, &state] { send(state); });
        return;
    }
    const ExchangeResponse& message = response.assume_value();
    state.inFlight = false;
    state.sentResults.clear();
    m_received += message.tasks.size();
    m_entryHasQueue = !message.queued.empty();
    if (state.leaving)
        m_finalSentTotal = message.sentTotal;
    const std::weak_ptr<bool> alive = m_alive;
    m_callbacks.received(message);
    if (alive.expired())
        return;
    if (state.channel == Channel::Poll)
        beginExchange(m_poll);
    flushReport();
}

} // namespace oleanderport
