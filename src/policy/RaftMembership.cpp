#include "policy/Raft.h"

#include "oleanderport/NameTable.h"

#include <algorithm>

// Changes of the set of voters, and how far the group is from losing its quorum.
namespace oleanderport {

namespace {

    constexpr NameTable<VoterChangeReason, 6> voterChangeReasonNames { {
        { VoterChangeReason::FolderReplaced, "folder_replaced" },
        { VoterChangeReason::Unresponsive, "unresponsive" },
        { VoterChangeReason::Surplus, "surplus" },
        { VoterChangeReason::BelowTarget, "below_target" },
        { VoterChangeReason::ReplacesUnresponsive, "replaces_unresponsive" },
        { VoterChangeReason::ImprovesSpread, "improves_spread" },
    } };

} // namespace

std::string_view voterChangeReasonName(VoterChangeReason reason) { return nameIn(voterChangeReasonNames, reason); }

std::size_t targetVoters(std::optional<std::int64_t> toleratedLosses)
{
    if (!toleratedLosses)
        return 0;
    // Twice the tolerated losses form the minority: as many again may be lost before the first have been replaced.
    return static_cast<std::size_t>(std::max<std::int64_t>(*toleratedLosses, 1) * 4 + 1);
}

std::size_t Raft::votersIn(const std::string& dataCentre) const
{
    return static_cast<std::size_t>(std::count_if(voters().begin(), voters().end(),
        [&dataCentre](const RaftMember& voter) { return voter.dataCentre == dataCentre; }));
}

std::vector<RaftMember> Raft::readyLearners(Milliseconds now) const
{
    std::vector<RaftMember> ready;
    for (const auto& [address, progress] : m_progress) {
        const RaftMember member { .address = address, .incarnation = progress.incarnation, .dataCentre = progress.dataCentre };
        const bool caughtUp = progress.matchIndex >= m_commitIndex && progress.matchIndex > 0;
        const bool isReachable = progress.verified && hasRecentlyAnswered(progress, now, m_options.leaderLease);
        if (!member.incarnation.empty() && !isVoter(member) && caughtUp && isReachable)
            ready.push_back(member);
    }
    std::stable_sort(ready.begin(), ready.end(), [this](const RaftMember& a, const RaftMember& b) {
        return votersIn(a.dataCentre) < votersIn(b.dataCentre);
    });
    return ready;
}

Milliseconds Raft::silenceOf(const RaftMember& voter, Milliseconds now) const
{
    if (voter == m_self)
        return {};
    const auto found = m_progress.find(voter.address);
    const bool isKnown = found != m_progress.end() && found->second.incarnation == voter.incarnation;
    const Milliseconds lastAnsweredAt = isKnown && found->second.lastAnsweredSentAt ? *found->second.lastAnsweredSentAt : m_leadingSince;
    return now - std::max(lastAnsweredAt, m_leadingSince);
}

std::optional<RaftMember> Raft::unresponsiveVoter(Milliseconds now) const
{
    const auto found = std::find_if(
        voters().begin(), voters().end(), [this, now](const RaftMember& voter) { return silenceOf(voter, now) >= m_options.replaceAfter; });
    return found == voters().end() ? std::nullopt : std::optional(*found);
}

std::size_t Raft::silentVoters(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(voters().begin(), voters().end(), [this, now](const RaftMember& voter) {
        const auto found = m_progress.find(voter.address);
        const bool isKnown = found != m_progress.end() && found->second.incarnation == voter.incarnation;
        return voter != m_self && !(isKnown && hasRecentlyAnswered(found->second, now, m_options.leaderLease));
    }));
}

RaftMember Raft::surplusVoter() const
{
    std::optional<RaftMember> chosen;
    for (const auto& voter : voters()) {
        if (voter != m_self && (!chosen || votersIn(voter.dataCentre) > votersIn(chosen->dataCentre)))
            chosen = voter;
    }
    return *chosen;
}

bool Raft::improvesSpread(const std::vector<RaftMember>& ready) const
{
    std::size_t largest = 0;
    for (const auto& voter : voters())
        largest = std::max(largest, votersIn(voter.dataCentre));
    return !ready.empty() && votersIn(ready.front().dataCentre) + 2 <= largest;
}

std::optional<VoterChange> Raft::nextVoterChange(Milliseconds now) const
{
    const std::vector<RaftMember> ready = readyLearners(now);
    // The former incarnation at an address is removed in a separate change: two sets that differ by two members may have
    // majorities without a common member.
    for (const auto& learner : ready) {
        const auto former = std::find_if(voters().begin(), voters().end(),
            [&learner](const RaftMember& voter) { return voter.address == learner.address; });
        if (former != voters().end())
            return VoterChange { .member = *former, .adds = false, .reason = VoterChangeReason::FolderReplaced };
    }
    if (m_options.targetVoters == 0)
        return missingPeer(ready);
    const bool isAboveTarget = voters().size() > m_options.targetVoters;
    const bool isBelowTarget = voters().size() < m_options.targetVoters;
    const bool isEven = voters().size() % 2 == 0;
    const std::size_t silent = silentVoters(now);
    const auto unresponsive = unresponsiveVoter(now);
    // An even number of voters bears no more losses than the odd number below it. An odd number is not reduced, because the
    // silent voter may only be cut off.
    if (unresponsive && (isAboveTarget || isEven))
        return VoterChange { .member = *unresponsive, .adds = false, .reason = VoterChangeReason::Unresponsive };
    if (isAboveTarget && silent == 0)
        return VoterChange { .member = surplusVoter(), .adds = false, .reason = VoterChangeReason::Surplus };
    // With one more voter the number would be odd, and neither of the silent ones could be removed.
    const bool mustRemoveFirst = isEven && silent > 1;
    if (isAboveTarget || mustRemoveFirst || ready.empty())
        return std::nullopt;
    // A new voter is added before another is removed, so that the group never shrinks.
    if (isBelowTarget)
        return VoterChange { .member = ready.front(), .adds = true, .reason = VoterChangeReason::BelowTarget };
    if (unresponsive)
        return VoterChange { .member = ready.front(), .adds = true, .reason = VoterChangeReason::ReplacesUnresponsive };
    if (improvesSpread(ready))
        return VoterChange { .member = ready.front(), .adds = true, .reason = VoterChangeReason::ImprovesSpread };
    return std::nullopt;
}

std::optional<VoterChange> Raft::missingPeer(const std::vector<RaftMember>& ready) const
{
    const auto& peers = m_options.peers;
    if (voters().size() >= peers.size())
        return std::nullopt;
    const auto found = std::find_if(ready.begin(), ready.end(),
        [&peers](const RaftMember& learner) { return std::find(peers.begin(), peers.end(), learner.address) != peers.end(); });
    if (found == ready.end())
        return std::nullopt;
    return VoterChange { .member = *found, .adds = true, .reason = VoterChangeReason::BelowTarget };
}

void Raft::changeMembership(Milliseconds now)
{
    // One change at a time, and none before an entry of this term is committed.
    const bool mayChange = m_log.configurationIndex() <= m_commitIndex && isConfirmedLeader(now);
    if (!mayChange)
        return;
    const auto change = nextVoterChange(now);
    if (!change)
        return;
    std::vector<RaftMember> next = voters();
    if (change->adds)
        next.push_back(change->member);
    else
        std::erase(next, change->member);
    appendAsLeader({ RaftEntry { .kind = RaftEntryKind::Configuration, .data = {}, .voters = std::move(next) } }, now);
    m_actions.voterChange = change;
}

RaftQuorum Raft::quorum(Milliseconds now) const
{
    RaftQuorum quorum { .voters = voters().size(), .needed = majority(), .heard = {}, .silent = {}, .readyLearners = readyLearners(now).size() };
    for (const auto& voter : voters()) {
        const auto last = m_lastHeard.find(voter.incarnation);
        const bool isHeard = voter == m_self || (last != m_lastHeard.end() && now < last->second + m_options.maxElectionTimeout);
        (isHeard ? quorum.heard : quorum.silent).push_back(voter);
    }
    return quorum;
}

} // namespace oleanderport
