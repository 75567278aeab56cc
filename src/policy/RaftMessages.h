#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Records and messages of the Raft group of control instances.
namespace oleanderport {

// One incarnation of a data folder at an address. A folder that was lost or restored from a copy gets a new one.
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
    // First entry of a leader's term; carries no command.
    Empty,
    Command,
    // Replaces the set of voters from the moment it is appended.
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
    // Random number of this start; distinguishes two starts with the same boot count.
    std::uint64_t startNonce { 0 };
    RaftHardState hard;
    std::optional<RaftSnapshot> snapshot;
    // Consecutive entries. They may begin before the snapshot's index, never later than one after it.
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

// Highest term and index that an incarnation is known to have reported. Its folder must hold them after each restart.
struct RaftEvidence {
    std::string incarnation;
    std::uint64_t boot { 0 };
    std::uint64_t startNonce { 0 };
    // Highest term it reported, and the highest index that it reported as synced in that term.
    std::uint64_t term { 0 };
    std::uint64_t index { 0 };
};

enum class RaftMessageKind {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Snapshot,
    SnapshotReply,
    // Asks a peer for its evidence about the sender.
    Hello,
    HelloReply,
    // Notifies the receiver that its folder is older than what it acknowledged.
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
    // Whether the sender has checked its folder against what its peers know.
    bool verified { false };
    std::uint64_t term { 0 };
    // Vote, PreVote: the sender's last entry. Append: the entry before `entries`. AppendReply: synced up to here when
    // granted, else a hint where to continue. Snapshot, SnapshotReply: the snapshot's index.
    std::uint64_t index { 0 };
    // Term of the entry at `index`. Vote and PreVote replies: the term of the request. HelloReply: `startNonce` of the request.
    std::uint64_t logTerm { 0 };
    std::uint64_t commit { 0 };
    // Append: the leader's own synced index.
    std::uint64_t synced { 0 };
    // Replies: accepted. HelloReply: the sender has no log and is set to bootstrap.
    bool granted { false };
    // HelloReply: the sender has no log.
    bool empty { false };
    // HelloReply: the sender leads. `voters` are the voters that it knows of; a reply of an older peer has none.
    bool leads { false };
    // Requests: the sender's clock. Replies: the value of the request.
    Milliseconds sentAt {};
    std::vector<RaftEntry> entries;
    std::vector<RaftMember> voters;
    std::string data;
    std::uint64_t offset { 0 };
    bool last { false };
    std::vector<RaftEvidence> evidence;
};

} // namespace oleanderport
