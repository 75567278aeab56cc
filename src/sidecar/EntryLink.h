#pragma once

#include "wire/Process.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace oleanderport {

// A sidecar's connection to one entry session: a poll, which the entry may hold until it has work, and reports, which it
// answers at once. Each channel sends one numbered exchange at a time and resends it until it is answered, so results and
// tasks are delivered exactly once while both sessions last.
class EntryLink {
public:
    struct Callbacks {
        // Tasks and cancellations from the entry.
        std::function<void(const ExchangeResponse&)> received;
        // Tasks that this sidecar can accept now.
        std::function<std::uint64_t()> room;
        // Queued and running tasks at this sidecar, of all entries.
        std::function<std::uint64_t()> load;
    };

    EntryLink(EventLoop&, const SessionId& sidecar, const SessionId& entry, const std::string& address, Callbacks);

    // Sends a result with the next report.
    void report(const TaskResult&);

    // Reports free capacity to the entry if it has queued work and, by the last report, no credit left.
    void offerRoom();

    // Reports to the entry that this sidecar accepts no further tasks.
    void leave();

    // Whether every result has been acknowledged and, after leave(), every task that the entry sent has been received.
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
    // Largest grant sent so far. It never decreases.
    std::uint64_t m_granted { 0 };
    bool m_entryHasQueue { false };
    bool m_leaving { false };
    // Total of the tasks that the entry has sent; set once it has acknowledged that this sidecar is leaving.
    std::optional<std::uint64_t> m_finalSentTotal;
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
