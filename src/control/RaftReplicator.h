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

// One instance of a control group: carries the consensus core's messages over JSON-RPC (method "raft"), keeps its log
// in the data folder and applies what is committed. Stops the process when the disk fails, since an instance that
// cannot sync must not go on answering.
class RaftReplicator final : public Replicator {
public:
    // The process must outlive this object. Its settings name the peers, this instance's own address among them.
    RaftReplicator(Process&, const ControlStateOptions&);
    ~RaftReplicator() override;

    // Opens the data folder and joins the group. Fails with Storage or BadSettings.
    Result<void> start() override;

    void propose(decltype(ControlCommand::change), Done) override;
    bool isLeader() const override;
    std::string leaderAddress() const override;
    const ControlState& state() const override { return m_state; }

private:
    // Large messages go on a connection of their own, so that no heartbeat waits behind one.
    enum class MessageClass {
        Small,
        Large,
    };
    using LinkKey = std::pair<std::string, MessageClass>;
    // Messages to one peer. One call is under way at a time; what is due meanwhile goes with the next.
    struct PeerLink {
        std::unique_ptr<RpcClient> client;
        std::deque<RaftMessage> outbox;
        bool callInFlight { false };
        // When the call that is under way was made, and how many were given up before.
        Milliseconds callStartedAt {};
        std::uint64_t abandonedCalls { 0 };
    };
    struct Proposal {
        std::uint64_t term { 0 };
        Done done;
    };
    // Results that the store's thread hands to the loop.
    class CompletionQueue;

    Result<void> open(bool renewIncarnation);
    void receive(const Json::Value& params);
    void processCompletions();
    void perform(RaftActions);
    void send(RaftMessage);
    // A peer that speaks can be reached: a connection to it that hangs since before it came up is made anew.
    void reconnectIfHanging(const std::string& peer);
    void connect(PeerLink&, const std::string& peer);
    void flush(PeerLink&);
    // Encodes a large message for one peer a round of the loop, so that it does not hold up the leader's heartbeats.
    void scheduleLargeFlush(const std::string& peer);
    void flushNextLarge();
    void installSnapshot(const RaftSnapshot&);
    void apply(const RaftEntry&);
    void compactIfDue();
    void rejoin();
    void failLostProposals();
    void reportLeaderChange();
    // Up to this number the store has synced.
    void recordSyncTimes(std::uint64_t number);
    void setGauges();

    Process& m_process;
    ControlStateOptions m_stateOptions;
    ControlState m_state;
    std::uint64_t m_applied { 0 };
    std::uint64_t m_snapshotIndex { 0 };
    // Of the entries that were applied since the snapshot.
    std::size_t m_bytesSinceSnapshot { 0 };
    std::shared_ptr<CompletionQueue> m_completions;
    std::unique_ptr<LogStore> m_store;
    std::unique_ptr<Raft> m_raft;
    std::map<LinkKey, PeerLink> m_links;
    // Peers for which a large message waits, in their turn.
    std::deque<std::string> m_largeMessagePeers;
    std::unique_ptr<EventLoop::Timer> m_largeFlushTimer;
    std::map<std::uint64_t, Proposal> m_proposals;
    // Writes under way, with when they were handed to the store.
    std::deque<std::pair<std::uint64_t, Milliseconds>> m_pendingWrites;
    std::string m_knownLeader;
    bool m_wasConfirmed { false };
    std::unique_ptr<EventLoop::Timer> m_completionWatch;
    std::unique_ptr<EventLoop::Timer> m_tickTimer;
    // Guards callbacks that outlive this object.
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
