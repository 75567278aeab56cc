#pragma once

#include "wire/Process.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace oleanderport {

// What a sidecar keeps for one entry session: a poll that the entry may hold until it has work, and reports that it
// answers at once. Each channel sends one numbered exchange at a time and repeats it until it is answered, so results
// and tasks arrive exactly once while both sessions live.
class EntryLink {
public:
    struct Callbacks {
        // Tasks and cancellations from the entry.
        std::function<void(const ExchangeResponse&)> received;
        // Tasks that this sidecar could take right now.
        std::function<std::uint64_t()> room;
        // Tasks that wait or run at this sidecar, of all entries.
        std::function<std::uint64_t()> load;
    };

    EntryLink(EventLoop&, const SessionId& sidecar, const SessionId& entry, const std::string& address, Callbacks);

    // Sends a result with the next report.
    void report(const TaskResult&);

    // Tells the entry of new room when it has work waiting and believes that there is none.
    void offerRoom();

    // Tells the entry that this sidecar takes nothing further.
    void leave();

    // No result waits for an answer and, after leave(), nothing that the entry has sent is still on its way.
    bool isSettled() const;

    const SessionId& entry() const { return m_entry; }

private:
    struct ChannelState {
        Channel channel { Channel::Poll };
        std::uint64_t sequence { 0 };
        bool inFlight { false };
        bool leaving { false };
        std::vector<TaskResult> sentResults;
        std::unique_ptr<RpcClient> client;
        std::unique_ptr<EventLoop::Timer> retryTimer;
    };

    void beginExchange(ChannelState&);
    void send(ChannelState&);
    void exchangeAnswered(ChannelState&, const Result<ExchangeResponse>&);
    void flushReport();

    EventLoop& m_loop;
    SessionId m_sidecar;
    SessionId m_entry;
    Callbacks m_callbacks;
    ChannelState m_poll;
    ChannelState m_report;
    std::vector<TaskResult> m_unsentResults;
    std::uint64_t m_received { 0 };
    // Largest grant sent so far; the entry never sees it fall.
    std::uint64_t m_granted { 0 };
    bool m_entryHasQueue { false };
    bool m_leaving { false };
    // Tasks that the entry has sent in all; set once it knows that this sidecar is leaving.
    std::optional<std::uint64_t> m_finalSentTotal;
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
