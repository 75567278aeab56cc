#pragma once

#include "control/LogStore.h"
#include "control/Replicator.h"
#include "policy/Raft.h"
#include "wire/Process.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace oleanderport {

// An instance of a Raft group. Sends the messages of the Raft core by JSON-RPC (method "raft"), stores the log in the data folder
// and applies committed entries. Exits the process when the disk fails, because an instance that cannot sync must not continue
// to answer.
class RaftReplicator final : public Replicator {
public:
    // The process must outlive this object. Its settings list the peers.
    RaftReplicator(Process&, const ControlStateOptions&);
    ~RaftReplicator() override;

    // Opens the data folder and joins the group. Fails with Storage, or with BadSettings if a group of fixed size does not list this
    // instance's address.
    Result<void> start() override;

    void propose(decltype(ControlCommand::change), Done) override;
    bool isLeader() const override;
    std::string leaderAddress() const override;
    std::vector<std::string> instances() const override;
    const ControlState& state() const override { return m_state; }

private:
    // Large messages use a separate connection, so that heartbeats don't wait behind them.
    enum class MessageClass {
        Small,
        Large,
    };
    using LinkKey = std::pair<std::string, MessageClass>;
    // Messages to one peer. One call is in flight at a time; messages queued during it are sent with the next call.
    struct PeerLink {
        std::unique_ptr<RpcClient> client;
        std::deque<RaftMessage> outbox;
        bool callInFlight { false };
        // Start of the call in flight, and the number of calls abandoned before.
        Milliseconds callStartedAt {};
        std::uint64_t abandonedCalls { 0 };
    };
    struct Proposal {
        std::uint64_t term { 0 };
        Done done;
    };
    // Passes results of writes from the store's thread to the event loop.
    class CompletionQueue;

    Result<void> open(bool renewIncarnation);
    void receive(const Json::Value& params);
    void processCompletions();
    void perform(RaftActions);
    void send(RaftMessage);
    // Called on a message from the peer, which shows that it is reachable. Replaces a connection attempt to it that was started
    // before the peer came up and hangs.
    void reconnectIfHanging(const std::string& peer);
    void connect(PeerLink&, const std::string& peer);
    void flush(PeerLink&);
    // Large messages are encoded for one peer per iteration of the event loop, so that encoding doesn't delay the leader's
    // heartbeats.
    void scheduleLargeFlush(const std::string& peer);
    void flushNextLarge();
    void installSnapshot(const RaftSnapshot&);
    void apply(const RaftEntry&);
    // Applies the command of an entry. An entry that no program of this version can read changes nothing, at any instance: it
    // is skipped and logged. Ends the process when a newer program wrote the entry.
    Result<ControlOutcome> applyCommand(const RaftEntry&);
    void compactIfDue();
    void rejoin();
    void failLostProposals();
    void reportLeaderChange();
    // Logs how many further losses the group bears when that changes, and which voters are missing while there is no leader.
    void reportQuorum(Milliseconds now);
    // Records the durations of all writes up to this number, which are now synced.
    void recordSyncTimes(std::uint64_t number);
    void setGauges();

    Process& m_process;
    ControlStateOptions m_stateOptions;
    ControlState m_state;
    std::uint64_t m_applied { 0 };
    std::uint64_t m_snapshotIndex { 0 };
    // Size of the entries applied since the snapshot.
    std::size_t m_bytesSinceSnapshot { 0 };
    std::shared_ptr<CompletionQueue> m_completions;
    std::unique_ptr<LogStore> m_store;
    std::unique_ptr<Raft> m_raft;
    std::map<LinkKey, PeerLink> m_links;
    // Peers with a large message to send, in the order of sending.
    std::deque<std::string> m_largeMessagePeers;
    std::unique_ptr<EventLoop::Timer> m_largeFlushTimer;
    std::map<std::uint64_t, Proposal> m_proposals;
    // Numbers of the writes in progress and the times when they were passed to the store.
    std::deque<std::pair<std::uint64_t, Milliseconds>> m_pendingWrites;
    std::string m_knownLeader;
    bool m_wasConfirmed { false };
    std::optional<Milliseconds> m_leaderlessSince;
    Milliseconds m_leaderlessLogAt {};
    // As logged last; absent while this instance does not lead.
    std::optional<std::int64_t> m_reportedLosses;
    std::unique_ptr<EventLoop::Timer> m_completionWatch;
    std::unique_ptr<EventLoop::Timer> m_tickTimer;
    // Callbacks that outlive this object check it through a weak_ptr.
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
