#include "policy/Raft.h"

#include <algorithm>

// Replication of entries and snapshots from the leader to its peers, and commit.
namespace oleanderport {

namespace {

    constexpr std::size_t snapshotChunkBytes = 1'048'576;

    // End of a chunk that begins at `offset`; never splits a UTF-8 character.
    std::size_t chunkEnd(const std::string& data, std::size_t offset)
    {
        std::size_t end = std::min(data.size(), offset + snapshotChunkBytes);
        while (end < data.size() && (static_cast<unsigned char>(data[end]) & 0xC0U) == 0x80U)
            --end;
        return end;
    }

} // namespace

RaftActions Raft::propose(const std::vector<std::string>& commands, Milliseconds now)
{
    std::vector<RaftEntry> entries;
    entries.reserve(commands.size());
    for (const auto& command : commands)
        entries.push_back({ .kind = RaftEntryKind::Command, .data = command });
    appendAsLeader(std::move(entries), now);
    return takeActions();
}

void Raft::appendAsLeader(std::vector<RaftEntry> entries, Milliseconds now)
{
    for (auto& entry : entries) {
        entry.index = m_log.lastIndex() + 1;
        entry.term = m_hard.term;
        m_log.append(entry);
    }
    write({ .entries = std::move(entries) });
    for (const auto& [peer, progress] : m_progress) {
        if (!progress.inFlightSince)
            sendAppend(peer, now, false);
    }
}

void Raft::addEvidence(RaftMessage& message) const
{
    for (const auto& voter : voters()) {
        const auto known = m_evidence.find(voter.incarnation);
        if (known != m_evidence.end())
            message.evidence.push_back(known->second);
    }
}

void Raft::sendHeartbeat(const std::string& peer, Progress& progress, Milliseconds now)
{
    if (!progress.inFlightSince || now >= *progress.inFlightSince + m_options.resendAfter)
        return sendAppend(peer, now, true);
    // Index 0 without entries matches any log, and the reply waits for no sync, so a slow disk does not depose a leader.
    RaftMessage message = makeMessage(RaftMessageKind::Append, peer);
    message.synced = m_syncedIndex;
    message.sentAt = now;
    addEvidence(message);
    send(std::move(message));
}

void Raft::sendAppend(const std::string& peer, Milliseconds now, bool allowEmpty)
{
    Progress& progress = m_progress[peer];
    const auto previousTerm = m_log.termAt(progress.nextIndex - 1);
    if (!previousTerm)
        return sendSnapshot(peer, progress, now);
    RaftMessage message = makeMessage(RaftMessageKind::Append, peer);
    message.index = progress.nextIndex - 1;
    message.logTerm = *previousTerm;
    message.commit = m_commitIndex;
    message.synced = m_syncedIndex;
    message.sentAt = now;
    std::size_t bytes = 0;
    for (std::uint64_t index = progress.nextIndex; index <= m_log.lastIndex(); ++index) {
        const RaftEntry& entry = m_log.at(index);
        const bool full = message.entries.size() >= m_options.maxEntriesPerMessage
            || (!message.entries.empty() && bytes + entry.data.size() > m_options.maxBytesPerMessage);
        if (full)
            break;
        bytes += entry.data.size();
        message.entries.push_back(entry);
    }
    if (message.entries.empty() && !allowEmpty)
        return;
    addEvidence(message);
    if (!message.entries.empty())
        progress.inFlightSince = now;
    send(std::move(message));
}

void Raft::sendSnapshot(const std::string& peer, Progress& progress, Milliseconds now)
{
    const RaftSnapshot& snapshot = m_log.snapshot();
    if (progress.snapshotIndex != snapshot.index) {
        progress.snapshotIndex = snapshot.index;
        progress.snapshotOffset = 0;
    }
    const std::size_t end = chunkEnd(snapshot.data, progress.snapshotOffset);
    RaftMessage message = makeMessage(RaftMessageKind::Snapshot, peer);
    message.index = snapshot.index;
    message.logTerm = snapshot.term;
    message.voters = snapshot.voters;
    message.data = snapshot.data.substr(progress.snapshotOffset, end - progress.snapshotOffset);
    message.offset = progress.snapshotOffset;
    message.last = end == snapshot.data.size();
    message.sentAt = now;
    progress.inFlightSince = now;
    send(std::move(message));
}

void Raft::recordLeaderContact(const RaftMessage& message, Milliseconds now)
{
    m_role = RaftRole::Follower;
    m_leader = message.from.address;
    m_hasParticipated = true;
    m_lastLeaderContact = now;
    resetElectionTimeout(now);
}

void Raft::receiveAppend(const RaftMessage& message, Milliseconds now)
{
    RaftMessage reply = makeReply(RaftMessageKind::AppendReply, message);
    if (message.term < m_hard.term)
        return send(std::move(reply));
    recordLeaderContact(message, now);
    // Committed entries match the log of every leader, even those already replaced by a snapshot.
    const auto previousTerm = m_log.termAt(message.index);
    const bool matchesLog = message.index <= m_commitIndex || previousTerm == message.logTerm;
    if (!matchesLog) {
        const std::uint64_t before = message.index == 0 ? 0 : message.index - 1;
        reply.index = std::min(m_log.lastIndex(), std::max(before, m_commitIndex));
        return send(std::move(reply));
    }
    const std::uint64_t writeNumber = appendMissing(message);
    const std::uint64_t lastMatch = message.index + message.entries.size();
    commitUpTo(std::min(message.commit, lastMatch));
    reply.granted = true;
    // A heartbeat is acknowledged immediately with the synced index; entries are acknowledged once synced.
    const bool waits = writeNumber > 0 || (!message.entries.empty() && m_syncedIndex < lastMatch);
    reply.index = waits ? lastMatch : std::min(lastMatch, m_syncedIndex);
    send(std::move(reply), waits ? m_lastWrite : 0);
}

std::uint64_t Raft::appendMissing(const RaftMessage& message)
{
    RaftWrite change;
    for (const auto& entry : message.entries) {
        if (entry.index <= m_commitIndex || entry.index < m_log.firstIndex())
            continue;
        if (entry.index <= m_log.lastIndex()) {
            if (m_log.termAt(entry.index) == entry.term)
                continue;
            m_log.truncateAfter(entry.index - 1);
            change.truncateAfter = entry.index - 1;
        }
        m_log.append(entry);
        change.entries.push_back(entry);
    }
    if (change.entries.empty())
        return 0;
    write(std::move(change));
    return m_lastWrite;
}

Raft::Progress* Raft::progressOf(const RaftMessage& message)
{
    const auto found = m_progress.find(message.from.address);
    if (!leads() || message.term != m_hard.term || found == m_progress.end())
        return nullptr;
    Progress& progress = found->second;
    if (progress.incarnation != message.from.incarnation) {
        progress = Progress {};
        progress.incarnation = message.from.incarnation;
        progress.nextIndex = m_log.lastIndex() + 1;
    }
    progress.dataCentre = message.from.dataCentre;
    progress.verified = message.verified;
    if (progress.inFlightSince == message.sentAt)
        progress.inFlightSince.reset();
    if (!progress.lastAnsweredSentAt || *progress.lastAnsweredSentAt < message.sentAt)
        progress.lastAnsweredSentAt = message.sentAt;
    return &progress;
}

void Raft::receiveAppendReply(const RaftMessage& message, Milliseconds now)
{
    Progress* progress = progressOf(message);
    if (!progress)
        return;
    if (message.granted) {
        progress->matchIndex = std::max(progress->matchIndex, message.index);
        progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
        advanceCommit();
    } else {
        progress->nextIndex = std::max(progress->matchIndex + 1, std::min(progress->nextIndex - 1, message.index + 1));
        progress->nextIndex = std::max<std::uint64_t>(progress->nextIndex, 1);
    }
    if (!progress->inFlightSince)
        sendAppend(message.from.address, now, !message.granted);
}

void Raft::receiveSnapshot(const RaftMessage& message, Milliseconds now)
{
    if (message.term < m_hard.term)
        return send(makeReply(RaftMessageKind::AppendReply, message));
    recordLeaderContact(message, now);
    if (message.index <= m_commitIndex) {
        RaftMessage reply = makeReply(RaftMessageKind::AppendReply, message);
        reply.granted = true;
        reply.index = std::min(m_commitIndex, m_syncedIndex);
        return send(std::move(reply));
    }
    if (message.offset == 0)
        m_incomingSnapshot = { .index = message.index, .term = message.logTerm, .voters = message.voters, .data = {} };
    const bool isNextChunk = m_incomingSnapshot.index == message.index && m_incomingSnapshot.data.size() == message.offset;
    if (isNextChunk)
        m_incomingSnapshot.data += message.data;
    if (!isNextChunk || !message.last) {
        RaftMessage reply = makeReply(RaftMessageKind::SnapshotReply, message);
        reply.index = message.index;
        reply.offset = m_incomingSnapshot.index == message.index ? m_incomingSnapshot.data.size() : 0;
        return send(std::move(reply));
    }
    m_log.install(m_incomingSnapshot);
    m_commitIndex = m_incomingSnapshot.index;
    write({ .truncateAfter = m_incomingSnapshot.index, .snapshot = m_incomingSnapshot, .firstKept = m_incomingSnapshot.index + 1 });
    RaftMessage reply = makeReply(RaftMessageKind::AppendReply, message);
    reply.granted = true;
    reply.index = m_incomingSnapshot.index;
    m_actions.committed.clear();
    m_actions.install = std::move(m_incomingSnapshot);
    m_incomingSnapshot = {};
    send(std::move(reply), m_lastWrite);
}

void Raft::receiveSnapshotReply(const RaftMessage& message, Milliseconds now)
{
    Progress* progress = progressOf(message);
    if (!progress || message.index != progress->snapshotIndex)
        return;
    progress->snapshotOffset = std::min<std::uint64_t>(message.offset, m_log.snapshot().data.size());
    if (!progress->inFlightSince)
        sendAppend(message.from.address, now, false);
}

void Raft::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const auto& voter : voters()) {
        const auto found = m_progress.find(voter.address);
        const bool counts = found != m_progress.end() && found->second.incarnation == voter.incarnation
            && found->second.verified;
        matches.push_back(voter == m_self ? m_syncedIndex : counts ? found->second.matchIndex
                                                                   : 0);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t quorumIndex = matches[majority() - 1];
    // Entries of former terms are committed only together with an entry of this term.
    if (quorumIndex > m_commitIndex && m_log.termAt(quorumIndex) == m_hard.term)
        commitUpTo(quorumIndex);
}

void Raft::commitUpTo(std::uint64_t index)
{
    while (m_commitIndex < std::min(index, m_log.lastIndex())) {
        ++m_commitIndex;
        m_actions.committed.push_back(m_log.at(m_commitIndex));
    }
}

RaftActions Raft::compact(std::uint64_t index, std::string data)
{
    if (index <= m_log.snapshot().index || index > m_commitIndex)
        return takeActions();
    RaftSnapshot snapshot { .index = index,
        .term = *m_log.termAt(index),
        .voters = m_log.votersAt(index),
        .data = std::move(data) };
    std::uint64_t firstKept = std::max(index > m_options.keptEntries ? index - m_options.keptEntries + 1 : 1, m_log.firstIndex());
    std::size_t bytes = 0;
    for (std::uint64_t kept = index; kept >= firstKept; --kept) {
        bytes += m_log.at(kept).data.size();
        if (bytes > m_options.keptBytes)
            firstKept = kept + 1;
    }
    m_log.compact(snapshot, firstKept);
    write({ .snapshot = std::move(snapshot), .firstKept = firstKept });
    return takeActions();
}

bool Raft::hasRecentlyAnswered(const Progress& progress, Milliseconds now, Milliseconds window)
{
    return progress.lastAnsweredSentAt && now < *progress.lastAnsweredSentAt + window;
}

bool Raft::hasRecentMajority(Milliseconds now, Milliseconds window) const
{
    std::size_t count = 0;
    for (const auto& voter : voters()) {
        if (voter == m_self) {
            ++count;
            continue;
        }
        const auto found = m_progress.find(voter.address);
        if (found == m_progress.end() || found->second.incarnation != voter.incarnation)
            continue;
        if (found->second.verified && hasRecentlyAnswered(found->second, now, window))
            ++count;
    }
    return count >= majority();
}

bool Raft::isConfirmedLeader(Milliseconds now) const
{
    return leads() && m_commitIndex >= m_termStartIndex && hasRecentMajority(now, m_options.leaderLease);
}

void Raft::trackPeer(const RaftMember& other, Milliseconds now)
{
    if (!leads() || other.address == m_self.address || m_progress.contains(other.address))
        return;
    m_progress[other.address].nextIndex = m_log.lastIndex() + 1;
    // The instance does not know yet that this one leads.
    sendAppend(other.address, now, true);
}

} // namespace oleanderport
