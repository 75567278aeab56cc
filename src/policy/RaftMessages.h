#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Records and messages of the Raft group of control instances.
namespace oleanderport {

// A control instance: its address and the incarnation of its data folder. A folder that was lost or restored from a copy
// gets a new incarnation.
struct RaftMember {
    std::string address;
    std::string incarnation;
    // Voters are spread over data centres. Not part of the identity.
    std::string dataCentre {};

    bool operator==(const RaftMember& other) const
    {
        return address == other.address && incarnation == other.incarnation;
    }
};

enum class RaftEntryKind {
    // No-op that a new leader appends as the first entry of its term.
    Empty,
    Command,
    // Replaces the set of voters, in effect as soon as it is appended.
    Configuration,
};

struct RaftEntry {
    std::uint64_t index { 0 };
    std::uint64_t term { 0 };
    RaftEntryKind kind { RaftEntryKind::Empty };
    std::string data;
    std::vector<RaftMember> voters;
};

// State after the entry `index`; replaces all entries up to it.
struct RaftSnapshot {
    std::uint64_t index { 0 };
    std::uint64_t term { 0 };
    std::vector<RaftMember> voters;
    std::string data;
};

// Term and vote. Messages that depend on them are sent once they are synced.
struct RaftHardState {
    std::uint64_t term { 0 };
    // Incarnation that this instance voted for in the term; empty when none.
    std::string votedFor;
};

// Content of the data folder at start.
struct RaftStored {
    RaftMember self;
    // Number of starts with this folder, including this one.
    std::uint64_t boot { 0 };
    // Random number drawn at each start; distinguishes two starts with the same boot count.
    std::uint64_t startNonce { 0 };
    RaftHardState hard;
    std::optional<RaftSnapshot> snapshot;
    // Consecutive entries; the first may be before the snapshot's index and is at most one after it.
    std::vector<RaftEntry> entries;
};

// One write to the data folder. Writes are applied in the order of their numbers.
struct RaftWrite {
    std::uint64_t number { 0 };
    std::optional<RaftHardState> hard;
    // Entries after this index are removed before `entries` are appended.
    std::optional<std::uint64_t> truncateAfter;
    std::vector<RaftEntry> entries;
    std::optional<RaftSnapshot> snapshot;
    // With a snapshot: entries before this index are dropped.
    std::uint64_t firstKept { 0 };
};

// Highest term and index that an incarnation has reported, as its peers know them. After a restart its data folder must
// hold them; otherwise the folder is stale.
struct RaftEvidence {
    std::string incarnation;
    std::uint64_t boot { 0 };
    std::uint64_t startNonce { 0 };
    // Highest term it reported, and the highest index that it reported as synced in that term.
    std::uint64_t term { 0 };
    std::uint64_t index { 0 };
};

// Append and Snapshot are AppendEntries and InstallSnapshot of the Raft paper.
enum class RaftMessageKind {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Snapshot,
    SnapshotReply,
    // Asks a peer for its evidence about the sender, its leader and its voters.
    Hello,
    HelloReply,
    // Notifies the receiver that its data folder is older than the state that it acknowledged.
    Stale,
};

struct RaftMessage {
    RaftMessageKind kind { RaftMessageKind::Hello };
    std::string to;
    RaftMember from;
    std::uint64_t boot { 0 };
    std::uint64_t startNonce { 0 };
    // Term and last index of the sender's folder at its start.
    std::uint64_t bootTerm { 0 };
    std::uint64_t bootIndex { 0 };
    // Whether the sender has finished checking its data folder against its peers' evidence. Only then it counts towards a
    // majority.
    bool verified { false };
    std::uint64_t term { 0 };
    // Vote, PreVote: the sender's last entry. Append: the entry before `entries`. AppendReply: the last synced entry that
    // matches the leader's when granted, else the entry after which to retry. Snapshot, SnapshotReply: the snapshot's index.
    std::uint64_t index { 0 };
    // Term of the entry at `index`. Vote and PreVote replies: the term of the request. HelloReply: `startNonce` of the request.
    std::uint64_t logTerm { 0 };
    // Append: the leader's commit index.
    std::uint64_t commit { 0 };
    // Append: the leader's own synced index.
    std::uint64_t synced { 0 };
    // Replies: the request is accepted. HelloReply: the sender has an empty log and is configured to bootstrap a group.
    bool granted { false };
    // HelloReply: the sender has an empty log.
    bool empty { false };
    // HelloReply: the sender leads. `voters` are those that it knows of; a peer of an older version sends none.
    bool leads { false };
    // Requests: send time by the sender's clock. Replies: copied from the request.
    Milliseconds sentAt {};
    std::vector<RaftEntry> entries;
    std::vector<RaftMember> voters;
    // Snapshot: one chunk of the state. HelloReply: address of the leader, empty when none is known.
    std::string data;
    // Snapshot: position of the chunk in bytes. SnapshotReply: bytes received so far.
    std::uint64_t offset { 0 };
    // Snapshot: this is the last chunk.
    bool last { false };
    std::vector<RaftEvidence> evidence;
};

} // namespace oleanderport
