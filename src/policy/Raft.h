#pragma once

#include "policy/RaftLog.h"
#include "policy/RaftMessages.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace oleanderport {

struct RaftOptions {
    // Addresses of all instances, this one included.
    std::vector<std::string> peers;
    // Target number of voters; instances outside `peers` that follow the log are added up to it. 0: only the peers vote.
    std::size_t targetVoters { 0 };
    // A voter that has not answered for this long is replaced once another instance has caught up with the log.
    Milliseconds replaceAfter { 2'000 };
    // Bootstrap a group once every peer is known to have an empty data folder.
    bool bootstrap { false };
    Milliseconds heartbeat { 150 };
    // Entries or a snapshot chunk without an acknowledgement after this time are resent.
    Milliseconds resendAfter { 600 };
    // Bounds of the randomized election timeout.
    Milliseconds minElectionTimeout { 1'000 };
    Milliseconds maxElectionTimeout { 2'000 };
    // A leader is confirmed while a majority has answered messages sent within this time. Shorter than the minimum
    // election timeout by more than clocks drift within it.
    Milliseconds leaderLease { 800 };
    // How long a restarted instance waits for the evidence of all other voters (see RaftEvidence) before it votes and
    // counts towards majorities without it.
    Milliseconds verifyWait { 6'000 };
    std::size_t maxEntriesPerMessage { 256 };
    std::size_t maxBytesPerMessage { 1'048'576 };
    // Entries kept before a snapshot, so that a slightly lagging instance needs no snapshot transfer.
    std::uint64_t keptEntries { 500 };
    // Upper bound on the bytes of those entries: they are held in memory and on disk and reread at each start.
    std::size_t keptBytes { 4 * 1'048'576 };
    std::uint64_t seed { 0 };
};

// Why the leader adds or removes a voter.
enum class VoterChangeReason {
    // Removed: the instance at the voter's address has another data folder.
    FolderReplaced,
    // Removed: it has not answered for `replaceAfter`.
    Unresponsive,
    // Removed: there are more voters than the target.
    Surplus,
    // Added: there are fewer voters than the target.
    BelowTarget,
    // Added: an unresponsive voter is removed afterwards.
    ReplacesUnresponsive,
    // Added: a voter of the data centre with the most voters is removed afterwards.
    ImprovesSpread,
};

std::string_view voterChangeReasonName(VoterChangeReason);

// A change of one voter, started by the leader.
struct VoterChange {
    RaftMember member;
    bool adds { false };
    VoterChangeReason reason { VoterChangeReason::BelowTarget };
};

// The voters as one instance hears them.
struct RaftQuorum {
    std::size_t voters { 0 };
    std::size_t needed { 0 };
    // Voters from which a message arrived within the maximum election timeout, and the others.
    std::vector<RaftMember> heard;
    std::vector<RaftMember> silent;
    // Leader only: learners that have caught up.
    std::size_t readyLearners { 0 };
};

// How many further voters may be lost before there is no majority; negative when there is none.
inline std::int64_t bearableLosses(const RaftQuorum& quorum)
{
    return static_cast<std::int64_t>(quorum.heard.size()) - static_cast<std::int64_t>(quorum.needed);
}

// Actions for the caller, in this order: queue the writes, send the messages, install the snapshot, apply the committed
// entries.
struct RaftActions {
    std::vector<RaftWrite> writes;
    std::vector<RaftMessage> send;
    std::optional<RaftSnapshot> install;
    std::vector<RaftEntry> committed;
    // The data folder is older than the state that its incarnation has acknowledged to peers. This incarnation must take no
    // further part in the group.
    bool stale { false };
    // A membership change that was started; for logs.
    std::optional<VoterChange> voterChange;
};

// Number of voters that leaves a majority after the tolerated losses, also while earlier losses are still being replaced; 0, a
// group of fixed size, when none are given.
std::size_t targetVoters(std::optional<std::int64_t> toleratedLosses);

// Raft consensus among control instances, without I/O: each call returns the actions for the caller. `now` never decreases.
// Beyond the Raft paper it has pre-votes, a leader lease, non-voting learners, and evidence against stale data folders.
class Raft {
public:
    Raft(const RaftOptions&, const RaftStored&, Milliseconds now);

    RaftActions tick(Milliseconds now);
    RaftActions receive(const RaftMessage&, Milliseconds now);
    // Reports that all writes up to this number are synced.
    RaftActions written(std::uint64_t number, Milliseconds now);
    // Appends commands in one batch after lastIndex(). Call only on a leader.
    RaftActions propose(const std::vector<std::string>& commands, Milliseconds now);
    // Replaces the applied entries up to `index` by a snapshot of the state after it.
    RaftActions compact(std::uint64_t index, std::string data);

    bool leads() const { return m_role == RaftRole::Leader; }
    // True while this leader holds its lease, so that no other instance can lead, and has committed an entry of its term, so
    // that every entry committed before has been returned here to be applied.
    bool isConfirmedLeader(Milliseconds now) const;
    // Address of the leader; empty when none is known.
    const std::string& leaderAddress() const { return m_leader; }
    std::uint64_t term() const { return m_hard.term; }
    std::uint64_t lastIndex() const { return m_log.lastIndex(); }
    std::uint64_t commitIndex() const { return m_commitIndex; }
    // Voters by the last configuration entry, committed or not.
    const std::vector<RaftMember>& voters() const { return m_log.voters(); }
    // Voters by the last committed configuration.
    const std::vector<RaftMember>& committedVoters() const { return m_log.votersAt(m_commitIndex); }
    bool isVoter() const { return isVoter(m_self); }
    RaftQuorum quorum(Milliseconds now) const;

private:
    enum class RaftRole {
        Follower,
        PreCandidate,
        Candidate,
        Leader,
    };
    // Replication state that the leader keeps for one peer.
    struct Progress {
        std::string incarnation;
        std::string dataCentre;
        bool verified { false };
        std::uint64_t nextIndex { 1 };
        std::uint64_t matchIndex { 0 };
        std::uint64_t snapshotIndex { 0 };
        std::uint64_t snapshotOffset { 0 };
        // Send time of the entries or chunk in flight.
        std::optional<Milliseconds> inFlightSince;
        // Send time of the latest request that the peer answered.
        std::optional<Milliseconds> lastAnsweredSentAt;
    };
    struct DeferredMessage {
        std::uint64_t afterWrite { 0 };
        RaftMessage message;
    };
    struct PendingWrite {
        std::uint64_t number { 0 };
        std::uint64_t lastIndex { 0 };
        std::optional<std::uint64_t> truncatedTo;
    };

    RaftActions takeActions();
    RaftMessage makeMessage(RaftMessageKind, const std::string& to) const;
    RaftMessage makeReply(RaftMessageKind, const RaftMessage& request) const;
    // Sends the message once the write `afterWrite` is synced, and never before the term and vote are synced.
    void send(RaftMessage, std::uint64_t afterWrite = 0);
    void write(RaftWrite);
    void writeHardState();

    bool isVoter(const RaftMember&) const;
    std::size_t majority() const { return voters().size() / 2 + 1; }
    bool hasEmptyLog() const { return m_log.lastIndex() == 0; }

    // Checks a message against the evidence about its sender; false when it must be dropped.
    bool acceptSender(const RaftMessage&);
    void recordEvidence(const RaftMessage&);
    void mergeEvidence(const std::vector<RaftEvidence>&);
    bool provesFolderStale(const RaftEvidence&) const;
    void sendHellos(Milliseconds now);
    void receiveHello(const RaftMessage&);
    void receiveHelloReply(const RaftMessage&);
    bool hasSameVoters(const std::vector<RaftMember>&) const;
    void checkVerified(Milliseconds now);
    void bootstrapIfAllEmpty();

    bool mayVote(Milliseconds now) const;
    // Whether no leader lease can depend on a reply that this instance sent before its restart, so that it need not wait
    // for such a lease to expire. See docs/DESIGN.md, "After a cold start".
    bool canSkipLeaseWait() const;
    // Starts a pre-vote before the election timeout while there is no leader after a cold start; voters take turns.
    void startEarlyElection(Milliseconds now);
    bool isUpToDate(const RaftMessage&) const;
    void startPreVote(Milliseconds now);
    void startElection(Milliseconds now);
    void receivePreVote(const RaftMessage&, Milliseconds now);
    void receiveVote(const RaftMessage&, Milliseconds now);
    void receiveVoteReply(const RaftMessage&, Milliseconds now);
    void becomeFollower(std::uint64_t term, Milliseconds now);
    void becomeLeader(Milliseconds now);
    void resetElectionTimeout(Milliseconds now);

    void receiveAppend(const RaftMessage&, Milliseconds now);
    void receiveAppendReply(const RaftMessage&, Milliseconds now);
    void receiveSnapshot(const RaftMessage&, Milliseconds now);
    void receiveSnapshotReply(const RaftMessage&, Milliseconds now);
    void recordLeaderContact(const RaftMessage&, Milliseconds now);
    // Appends the entries that the log lacks. Returns the number of the write, or 0 when nothing was written.
    std::uint64_t appendMissing(const RaftMessage&);
    Progress* progressOf(const RaftMessage&);
    void sendHeartbeat(const std::string& peer, Progress&, Milliseconds now);
    void sendAppend(const std::string& peer, Milliseconds now, bool allowEmpty);
    void addEvidence(RaftMessage&) const;
    void sendSnapshot(const std::string& peer, Progress&, Milliseconds now);
    void appendAsLeader(std::vector<RaftEntry>, Milliseconds now);
    void advanceCommit();
    void commitUpTo(std::uint64_t index);
    void changeMembership(Milliseconds now);
    // The membership change that is due, if any.
    std::optional<VoterChange> nextVoterChange(Milliseconds now) const;
    // Learners (non-voting instances) that are reachable and have caught up; those in data centres with the fewest voters
    // come first.
    std::vector<RaftMember> readyLearners(Milliseconds now) const;
    // Time since the voter last answered this leader.
    Milliseconds silenceOf(const RaftMember& voter, Milliseconds now) const;
    // A voter that has not answered for `replaceAfter`.
    std::optional<RaftMember> unresponsiveVoter(Milliseconds now) const;
    // Number of voters that have not answered this leader within the leader lease.
    std::size_t silentVoters(Milliseconds now) const;
    std::size_t votersIn(const std::string& dataCentre) const;
    // Whether replacing a voter of the data centre with the most voters by the first ready learner would spread the voters
    // more evenly.
    bool improvesSpread(const std::vector<RaftMember>& ready) const;
    // The voter to remove when there is one too many: one of the data centre with the most voters.
    RaftMember surplusVoter() const;
    // In a group of fixed size: the change that adds a peer without a vote.
    std::optional<VoterChange> missingPeer(const std::vector<RaftMember>& ready) const;
    // Starts replication to an instance that sent a message; only a leader does so.
    void trackPeer(const RaftMember&, Milliseconds now);
    static bool hasRecentlyAnswered(const Progress&, Milliseconds now, Milliseconds window);
    // Whether a majority of the voters has answered messages sent within the window.
    bool hasRecentMajority(Milliseconds now, Milliseconds window) const;

    RaftOptions m_options;
    RaftMember m_self;
    std::uint64_t m_boot;
    std::uint64_t m_startNonce;
    std::uint64_t m_bootTerm;
    std::uint64_t m_bootIndex;
    std::mt19937_64 m_random;

    RaftHardState m_hard;
    RaftLog m_log;
    std::uint64_t m_commitIndex { 0 };
    std::uint64_t m_syncedIndex { 0 };
    std::uint64_t m_lastWrite { 0 };
    std::uint64_t m_syncedWrite { 0 };
    std::uint64_t m_hardStateWrite { 0 };
    std::deque<PendingWrite> m_pendingWrites;
    std::deque<DeferredMessage> m_deferred;

    RaftRole m_role { RaftRole::Follower };
    std::string m_leader;
    Milliseconds m_startedAt;
    // Last contact with a leader. The start counts as one, since there may have been contact just before it.
    Milliseconds m_lastLeaderContact;
    Milliseconds m_electionAt {};
    Milliseconds m_leadingSince {};
    Milliseconds m_heartbeatAt {};
    std::uint64_t m_termStartIndex { 0 };
    std::set<std::string> m_votes;
    std::map<std::string, Progress> m_progress;

    bool m_verified { false };
    std::set<std::string> m_helloAnswered;
    // Incarnations of voters that reported since this start that they do not lead and have the same voters.
    std::set<std::string> m_notLeading;
    // Addresses of voters where another incarnation with an empty log replied since this start: the voter's incarnation no
    // longer exists.
    std::set<std::string> m_replaced;
    // Whether this instance has led, had contact with a leader or voted for another instance since this start.
    bool m_hasParticipated { false };
    std::optional<Milliseconds> m_earlyElectionAt;
    // Leader addresses reported by peers.
    std::set<std::string> m_reportedLeaders;
    std::map<std::string, RaftMessage> m_emptyPeers;
    std::map<std::string, RaftEvidence> m_evidence;
    // Arrival of the last message of each incarnation.
    std::map<std::string, Milliseconds> m_lastHeard;
    RaftSnapshot m_incomingSnapshot;
    RaftActions m_actions;
};

} // namespace oleanderport
