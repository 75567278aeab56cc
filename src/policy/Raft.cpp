#include "policy/Raft.h"

#include <algorithm>

namespace oleanderport {

Raft::Raft(const RaftOptions& options, const RaftStored& stored, Milliseconds now)
    : m_options(options)
    , m_self(stored.self)
    , m_boot(stored.boot)
    , m_startNonce(stored.startNonce)
    , m_bootTerm(stored.hard.term)
    , m_random(options.seed)
    , m_hard(stored.hard)
    , m_log(stored)
    , m_startedAt(now)
    , m_lastLeaderContact(now)
{
    m_bootIndex = m_log.lastIndex();
    m_syncedIndex = m_log.lastIndex();
    m_commitIndex = m_log.snapshot().index;
    resetElectionTimeout(now);
    // A first start has acknowledged nothing yet, and a group of one has no peer to ask.
    const bool isAlone = isVoter() && voters().size() == 1;
    m_verified = m_boot <= 1 || hasEmptyLog() || isAlone;
}

RaftActions Raft::takeActions()
{
    RaftActions actions = std::move(m_actions);
    m_actions = {};
    return actions;
}

bool Raft::isVoter(const RaftMember& member) const
{
    return std::find(voters().begin(), voters().end(), member) != voters().end();
}

RaftMessage Raft::makeMessage(RaftMessageKind kind, const std::string& to) const
{
    return RaftMessage { .kind = kind,
        .to = to,
        .from = m_self,
        .boot = m_boot,
        .startNonce = m_startNonce,
        .bootTerm = m_bootTerm,
        .bootIndex = m_bootIndex,
        .verified = m_verified,
        .term = m_hard.term };
}

RaftMessage Raft::makeReply(RaftMessageKind kind, const RaftMessage& request) const
{
    RaftMessage message = makeMessage(kind, request.from.address);
    message.sentAt = request.sentAt;
    return message;
}

void Raft::send(RaftMessage message, std::uint64_t afterWrite)
{
    const std::uint64_t needed = std::max(afterWrite, m_hardStateWrite);
    if (needed <= m_syncedWrite)
        m_actions.send.push_back(std::move(message));
    else
        m_deferred.push_back({ .afterWrite = needed, .message = std::move(message) });
}

void Raft::write(RaftWrite write)
{
    write.number = ++m_lastWrite;
    if (write.hard)
        m_hardStateWrite = write.number;
    // An installed snapshot replaces entries that may differ from it.
    const bool installsSnapshot = write.snapshot && write.truncateAfter;
    const auto truncatedTo = installsSnapshot ? std::optional<std::uint64_t>(0) : write.truncateAfter;
    if (truncatedTo)
        m_syncedIndex = std::min(m_syncedIndex, *truncatedTo);
    m_pendingWrites.push_back(
        { .number = write.number, .lastIndex = m_log.lastIndex(), .truncatedTo = truncatedTo });
    m_actions.writes.push_back(std::move(write));
}

void Raft::writeHardState() { write({ .hard = m_hard }); }

RaftActions Raft::written(std::uint64_t number, Milliseconds now)
{
    m_syncedWrite = std::max(m_syncedWrite, number);
    while (!m_pendingWrites.empty() && m_pendingWrites.front().number <= number) {
        m_syncedIndex = m_pendingWrites.front().lastIndex;
        m_pendingWrites.pop_front();
    }
    for (const auto& pending : m_pendingWrites) {
        if (pending.truncatedTo)
            m_syncedIndex = std::min(m_syncedIndex, *pending.truncatedTo);
    }
    std::deque<DeferredMessage> deferred;
    deferred.swap(m_deferred);
    for (auto& message : deferred)
        send(std::move(message.message), message.afterWrite);
    if (leads())
        advanceCommit();
    else if (m_role == RaftRole::Candidate && m_votes.size() >= majority() && m_hardStateWrite <= m_syncedWrite)
        becomeLeader(now);
    return takeActions();
}

void Raft::resetElectionTimeout(Milliseconds now)
{
    const std::int64_t least = m_options.minElectionTimeout.count;
    const std::int64_t span = m_options.maxElectionTimeout.count - least;
    m_electionAt = now + Milliseconds { least + static_cast<std::int64_t>(m_random() % (span + 1)) };
}

RaftActions Raft::tick(Milliseconds now)
{
    // A leader does not know of learners outside `peers` until they send it a message.
    const bool needsLeader = !leads() && (!m_hasParticipated || now >= m_lastLeaderContact + m_options.maxElectionTimeout);
    if (hasEmptyLog() || !m_verified || needsLeader) {
        if (now >= m_heartbeatAt) {
            m_heartbeatAt = now + m_options.heartbeat;
            sendHellos(now);
        }
        checkVerified(now);
        if (hasEmptyLog())
            bootstrapIfAllEmpty();
    }
    if (leads()) {
        const Milliseconds electionTimeout = m_options.minElectionTimeout;
        if (now >= m_leadingSince + electionTimeout && !hasRecentMajority(now, electionTimeout))
            becomeFollower(m_hard.term, now);
    }
    if (leads()) {
        changeMembership(now);
        if (now >= m_heartbeatAt) {
            m_heartbeatAt = now + m_options.heartbeat;
            for (auto& [peer, progress] : m_progress)
                sendHeartbeat(peer, progress, now);
        }
    } else if (now >= m_electionAt) {
        resetElectionTimeout(now);
        if (m_verified && isVoter())
            startPreVote(now);
    } else {
        startEarlyElection(now);
    }
    return takeActions();
}

RaftActions Raft::receive(const RaftMessage& message, Milliseconds now)
{
    if (!acceptSender(message))
        return takeActions();
    m_lastHeard[message.from.incarnation] = now;
    mergeEvidence(message.evidence);
    if (m_actions.stale)
        return takeActions();
    trackPeer(message.from, now);
    switch (message.kind) {
    case RaftMessageKind::Hello:
        receiveHello(message);
        return takeActions();
    case RaftMessageKind::HelloReply:
        receiveHelloReply(message);
        checkVerified(now);
        return takeActions();
    case RaftMessageKind::Stale:
        return takeActions();
    case RaftMessageKind::PreVote:
        receivePreVote(message, now);
        return takeActions();
    case RaftMessageKind::Vote:
        receiveVote(message, now);
        return takeActions();
    default:
        break;
    }
    if (message.term > m_hard.term)
        becomeFollower(message.term, now);
    switch (message.kind) {
    case RaftMessageKind::PreVoteReply:
    case RaftMessageKind::VoteReply:
        receiveVoteReply(message, now);
        break;
    case RaftMessageKind::Append:
        receiveAppend(message, now);
        break;
    case RaftMessageKind::AppendReply:
        receiveAppendReply(message, now);
        break;
    case RaftMessageKind::Snapshot:
        receiveSnapshot(message, now);
        break;
    default:
        receiveSnapshotReply(message, now);
        break;
    }
    return takeActions();
}

bool Raft::mayVote(Milliseconds now) const
{
    if (!m_verified)
        return false;
    if (leads())
        return !isConfirmedLeader(now) && !hasRecentMajority(now, m_options.minElectionTimeout);
    return canSkipLeaseWait() || now >= m_lastLeaderContact + m_options.minElectionTimeout;
}

bool Raft::canSkipLeaseWait() const
{
    if (m_hasParticipated || !isVoter())
        return false;
    std::size_t replaced = 0;
    for (const auto& voter : voters()) {
        if (voter == m_self || m_notLeading.contains(voter.incarnation))
            continue;
        if (!m_replaced.contains(voter.address))
            return false;
        ++replaced;
    }
    // If more voters were replaced, a newer configuration that a majority of these voters held could go undetected.
    return replaced <= (voters().size() - 1) / 2;
}

void Raft::startEarlyElection(Milliseconds now)
{
    const bool isDue = m_verified && isVoter() && m_role != RaftRole::Candidate && canSkipLeaseWait();
    if (!isDue)
        return;
    // A round trip and a sync fit into one turn, so that two voters seldom run for election at the same time.
    const Milliseconds turn { std::max<std::int64_t>(m_options.heartbeat.count / 2, 1) };
    const auto rank = std::count_if(
        voters().begin(), voters().end(), [this](const RaftMember& voter) { return voter.address < m_self.address; });
    if (!m_earlyElectionAt)
        m_earlyElectionAt = now + turn * rank;
    if (now < *m_earlyElectionAt)
        return;
    m_earlyElectionAt = now + turn * static_cast<std::int64_t>(voters().size());
    startPreVote(now);
}

bool Raft::isUpToDate(const RaftMessage& message) const
{
    if (message.logTerm != m_log.lastTerm())
        return message.logTerm > m_log.lastTerm();
    return message.index >= m_log.lastIndex();
}

void Raft::startPreVote(Milliseconds now)
{
    m_role = RaftRole::PreCandidate;
    m_leader.clear();
    m_votes = { m_self.incarnation };
    if (m_votes.size() >= majority())
        return startElection(now);
    for (const auto& voter : voters()) {
        RaftMessage message = makeMessage(RaftMessageKind::PreVote, voter.address);
        message.index = m_log.lastIndex();
        message.logTerm = m_log.lastTerm();
        message.sentAt = now;
        if (voter != m_self)
            send(std::move(message));
    }
}

void Raft::startElection(Milliseconds now)
{
    m_role = RaftRole::Candidate;
    ++m_hard.term;
    m_hard.votedFor = m_self.incarnation;
    m_votes = { m_self.incarnation };
    writeHardState();
    resetElectionTimeout(now);
    for (const auto& voter : voters()) {
        RaftMessage message = makeMessage(RaftMessageKind::Vote, voter.address);
        message.index = m_log.lastIndex();
        message.logTerm = m_log.lastTerm();
        message.sentAt = now;
        if (voter != m_self)
            send(std::move(message));
    }
}

void Raft::receivePreVote(const RaftMessage& message, Milliseconds now)
{
    RaftMessage reply = makeReply(RaftMessageKind::PreVoteReply, message);
    reply.granted = mayVote(now) && message.term >= m_hard.term && isUpToDate(message);
    // Identifies the election: a reply counts only in the term of its request.
    reply.logTerm = message.term;
    send(std::move(reply));
}

void Raft::receiveVote(const RaftMessage& message, Milliseconds now)
{
    RaftMessage reply = makeReply(RaftMessageKind::VoteReply, message);
    reply.logTerm = message.term;
    // Refused without adopting the term: a candidate must not depose a leader that a majority still follows.
    if (!mayVote(now))
        return send(std::move(reply));
    if (message.term > m_hard.term)
        becomeFollower(message.term, now);
    reply.term = m_hard.term;
    const bool canVoteForSender = m_hard.votedFor.empty() || m_hard.votedFor == message.from.incarnation;
    reply.granted = message.term == m_hard.term && canVoteForSender && isUpToDate(message);
    if (reply.granted && m_hard.votedFor.empty()) {
        m_hard.votedFor = message.from.incarnation;
        m_hasParticipated = true;
        writeHardState();
        resetElectionTimeout(now);
    }
    send(std::move(reply));
}

void Raft::receiveVoteReply(const RaftMessage& message, Milliseconds now)
{
    const bool preVote = message.kind == RaftMessageKind::PreVoteReply;
    const RaftRole wantedRole = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    const bool counts = message.granted && message.verified && isVoter(message.from);
    if (m_role != wantedRole || message.logTerm != m_hard.term || !counts)
        return;
    m_votes.insert(message.from.incarnation);
    if (m_votes.size() < majority())
        return;
    if (preVote)
        startElection(now);
    else if (m_hardStateWrite <= m_syncedWrite)
        becomeLeader(now);
}

void Raft::becomeFollower(std::uint64_t term, Milliseconds now)
{
    if (leads() || m_role == RaftRole::PreCandidate || m_role == RaftRole::Candidate)
        resetElectionTimeout(now);
    m_role = RaftRole::Follower;
    m_leader.clear();
    m_progress.clear();
    if (term <= m_hard.term)
        return;
    m_hard = { .term = term, .votedFor = {} };
    writeHardState();
}

void Raft::becomeLeader(Milliseconds now)
{
    m_role = RaftRole::Leader;
    m_leader = m_self.address;
    m_hasParticipated = true;
    m_leadingSince = now;
    m_heartbeatAt = now + m_options.heartbeat;
    m_progress.clear();
    std::set<std::string> addresses(m_options.peers.begin(), m_options.peers.end());
    for (const auto& voter : voters())
        addresses.insert(voter.address);
    addresses.erase(m_self.address);
    // A leader no longer needs the leader addresses that peers reported.
    m_reportedLeaders.clear();
    for (const auto& address : addresses)
        m_progress[address].nextIndex = m_log.lastIndex() + 1;
    m_termStartIndex = m_log.lastIndex() + 1;
    appendAsLeader({ RaftEntry { .kind = RaftEntryKind::Empty } }, now);
}

} // namespace oleanderport
