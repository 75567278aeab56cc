#include "policy/Raft.h"

#include <algorithm>
#include <tuple>

// Detection of stale data folders, which are older than the state that their incarnation acknowledged; bootstrap of a group.
namespace oleanderport {

namespace {

    auto reportedPosition(const RaftEvidence& evidence) { return std::tie(evidence.term, evidence.index); }

} // namespace

bool Raft::provesFolderStale(const RaftEvidence& evidence) const
{
    if (evidence.boot > m_boot)
        return true;
    if (evidence.boot == m_boot)
        return evidence.startNonce != m_startNonce;
    // Reported by former starts. An index reported in an older term may have been replaced by a later leader.
    return evidence.term > m_bootTerm || (evidence.term == m_bootTerm && evidence.index > m_bootIndex);
}

bool Raft::acceptSender(const RaftMessage& message)
{
    const auto known = m_evidence.find(message.from.incarnation);
    if (known != m_evidence.end()) {
        const RaftEvidence& evidence = known->second;
        const bool isFormerStart = message.boot < evidence.boot;
        const bool isOtherStart = message.boot == evidence.boot && message.startNonce != evidence.startNonce;
        const bool restarted = message.boot > evidence.boot;
        const bool isStaleFolder = restarted
            && (evidence.term > message.bootTerm
                || (evidence.term == message.bootTerm && evidence.index > message.bootIndex));
        if (isFormerStart || isOtherStart || isStaleFolder) {
            if (message.kind != RaftMessageKind::Stale) {
                RaftMessage notice = makeMessage(RaftMessageKind::Stale, message.from.address);
                notice.evidence.push_back(evidence);
                send(std::move(notice));
            }
            return false;
        }
    }
    recordEvidence(message);
    return true;
}

void Raft::recordEvidence(const RaftMessage& message)
{
    RaftEvidence seen { .incarnation = message.from.incarnation,
        .boot = message.boot,
        .startNonce = message.startNonce,
        .term = message.term,
        .index = 0 };
    if (message.kind == RaftMessageKind::AppendReply && message.granted)
        seen.index = message.index;
    if (message.kind == RaftMessageKind::Append)
        seen.index = message.synced;
    mergeEvidence({ seen });
}

void Raft::mergeEvidence(const std::vector<RaftEvidence>& evidence)
{
    for (const auto& seen : evidence) {
        if (seen.incarnation == m_self.incarnation) {
            m_actions.stale = m_actions.stale || provesFolderStale(seen);
            continue;
        }
        auto [known, added] = m_evidence.try_emplace(seen.incarnation, seen);
        if (added)
            continue;
        if (seen.boot > known->second.boot) {
            known->second.boot = seen.boot;
            known->second.startNonce = seen.startNonce;
        }
        if (reportedPosition(seen) > reportedPosition(known->second))
            std::tie(known->second.term, known->second.index) = reportedPosition(seen);
    }
}

void Raft::sendHellos(Milliseconds now)
{
    std::set<std::string> addresses(m_options.peers.begin(), m_options.peers.end());
    for (const auto& voter : voters())
        addresses.insert(voter.address);
    addresses.insert(m_reportedLeaders.begin(), m_reportedLeaders.end());
    for (const auto& address : addresses) {
        RaftMessage hello = makeMessage(RaftMessageKind::Hello, address);
        hello.sentAt = now;
        if (address != m_self.address)
            send(std::move(hello));
    }
}

void Raft::receiveHello(const RaftMessage& message)
{
    RaftMessage reply = makeReply(RaftMessageKind::HelloReply, message);
    reply.logTerm = message.startNonce;
    reply.empty = hasEmptyLog();
    reply.granted = m_options.bootstrap && hasEmptyLog();
    reply.data = m_leader;
    reply.leads = leads();
    reply.voters = voters();
    const auto known = m_evidence.find(message.from.incarnation);
    if (known != m_evidence.end())
        reply.evidence.push_back(known->second);
    send(std::move(reply));
    // A peer that has just started is asked immediately, not in the next round.
    if (!m_verified && isVoter(message.from) && !m_helloAnswered.contains(message.from.address)) {
        RaftMessage hello = makeMessage(RaftMessageKind::Hello, message.from.address);
        send(std::move(hello));
    }
}

void Raft::receiveHelloReply(const RaftMessage& message)
{
    // A reply to a former start is not valid for this one.
    if (message.logTerm != m_startNonce)
        return;
    m_helloAnswered.insert(message.from.address);
    // Both must have the same voters: otherwise there may be a leader among voters that this instance does not know yet.
    if (!message.leads && hasSameVoters(message.voters))
        m_notLeading.insert(message.from.incarnation);
    else
        m_notLeading.erase(message.from.incarnation);
    if (!message.leads && message.empty && !isVoter(message.from))
        m_replaced.insert(message.from.address);
    if (!message.data.empty() && message.data != m_self.address && m_reportedLeaders.insert(message.data).second)
        send(makeMessage(RaftMessageKind::Hello, message.data));
    if (message.empty)
        m_emptyPeers[message.from.address] = message;
    else
        m_emptyPeers.erase(message.from.address);
}

bool Raft::hasSameVoters(const std::vector<RaftMember>& others) const
{
    return !others.empty() && others.size() == voters().size()
        && std::all_of(others.begin(), others.end(), [this](const RaftMember& other) { return isVoter(other); });
}

void Raft::checkVerified(Milliseconds now)
{
    if (m_verified)
        return;
    const bool allAnswered = std::all_of(voters().begin(), voters().end(), [this](const RaftMember& voter) {
        return voter.address == m_self.address || m_helloAnswered.contains(voter.address);
    });
    m_verified = allAnswered || now >= m_startedAt + m_options.verifyWait;
}

void Raft::bootstrapIfAllEmpty()
{
    // An instance that is not among the peers must not bootstrap a group of its own.
    const auto& peers = m_options.peers;
    if (!m_options.bootstrap || std::find(peers.begin(), peers.end(), m_self.address) == peers.end())
        return;
    RaftEntry entry { .index = 1, .term = 1, .kind = RaftEntryKind::Configuration, .data = {}, .voters = { m_self } };
    for (const auto& address : m_options.peers) {
        if (address == m_self.address)
            continue;
        const auto empty = m_emptyPeers.find(address);
        // Every instance must be reachable and empty: an unreachable one may hold the state of the group.
        if (empty == m_emptyPeers.end())
            return;
        const bool peerBootstraps = empty->second.granted && address < m_self.address;
        if (peerBootstraps)
            return;
        entry.voters.push_back(empty->second.from);
    }
    m_hard.term = std::max<std::uint64_t>(m_hard.term, 1);
    m_log.append(entry);
    write({ .hard = m_hard, .truncateAfter = std::nullopt, .entries = { entry } });
}

} // namespace oleanderport
