#include "support/RaftCluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace oleanderport::test {

namespace {

    std::string joined(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const auto& line : lines)
            text += line + '\n';
        return text;
    }

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::vector<std::string> lines;
        for (std::size_t begin = 0; begin < text.size();) {
            const std::size_t end = text.find('\n', begin);
            lines.push_back(text.substr(begin, end - begin));
            begin = end + 1;
        }
        return lines;
    }

} // namespace

RaftCluster::RaftCluster(const ClusterOptions& clusterOptions)
    : options(clusterOptions)
    , random(clusterOptions.seed)
{
    nodes.resize(options.size);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes[i].address = "node-" + std::to_string(i);
        nodes[i].disk.self = selfOf(i);
    }
    peers.resize(options.seeds == 0 ? nodes.size() : options.seeds);
    std::iota(peers.begin(), peers.end(), 0);
    for (std::size_t i = 0; i < nodes.size(); ++i)
        start(i);
}

RaftMember RaftCluster::selfOf(std::size_t index)
{
    return { .address = nodes[index].address,
        .incarnation = newIncarnation(),
        .dataCentre = "dc-" + std::to_string(index % options.dataCentres) };
}

bool RaftCluster::happens(double probability)
{
    constexpr std::uint64_t scale = 1'000'000;
    return random() % scale < static_cast<std::uint64_t>(probability * scale);
}

std::size_t RaftCluster::indexOf(const std::string& address) const
{
    return static_cast<std::size_t>(std::stoul(address.substr(address.find('-') + 1)));
}

void RaftCluster::start(std::size_t index)
{
    Node& node = nodes[index];
    ++node.disk.boot;
    node.disk.startNonce = random();
    RaftOptions raftOptions { .targetVoters = options.voters,
        .bootstrap = options.seeds > 0 || index == 0,
        .heartbeat = { options.election * 15 / 100 },
        .minElectionTimeout = { options.election },
        .maxElectionTimeout = { options.election * 2 },
        .leaderLease = { options.election * 80 / 100 },
        .keptEntries = options.keptEntries,
        .keptBytes = options.keptBytes,
        .seed = random() };
    for (const std::size_t peer : peers)
        raftOptions.peers.push_back(nodes[peer].address);
    node.applied.clear();
    node.appliedIndex = 0;
    if (node.disk.snapshot) {
        node.applied = linesOf(node.disk.snapshot->data);
        node.appliedIndex = node.disk.snapshot->index;
    }
    node.raft = std::make_unique<Raft>(raftOptions, node.disk, now);
}

void RaftCluster::store(RaftStored& disk, const RaftWrite& write)
{
    if (write.hard)
        disk.hard = *write.hard;
    if (write.truncateAfter)
        std::erase_if(disk.entries, [&](const RaftEntry& entry) { return entry.index > *write.truncateAfter; });
    disk.entries.insert(disk.entries.end(), write.entries.begin(), write.entries.end());
    if (write.snapshot) {
        disk.snapshot = write.snapshot;
        std::erase_if(disk.entries, [&](const RaftEntry& entry) { return entry.index < write.firstKept; });
    }
}

void RaftCluster::crash(std::size_t index)
{
    Node& node = nodes[index];
    if (!node.raft)
        return;
    // Unconfirmed writes may have reached the disk, in order.
    const std::size_t reached = node.unsynced.empty() ? 0 : random() % (node.unsynced.size() + 1);
    for (std::size_t i = 0; i < reached; ++i)
        store(node.disk, node.unsynced[i]);
    node.unsynced.clear();
    node.raft.reset();
}

void RaftCluster::loseDisk(std::size_t index)
{
    crash(index);
    nodes[index].disk = { .self = selfOf(index) };
}

void RaftCluster::restore(std::size_t index, const RaftStored& copy, bool detected)
{
    crash(index);
    nodes[index].disk = copy;
    if (detected) {
        nodes[index].disk.self.incarnation = newIncarnation();
        nodes[index].disk.boot = 0;
        nodes[index].disk.hard.votedFor.clear();
    }
}

void RaftCluster::transmit(std::size_t from, const RaftMessage& message)
{
    const std::size_t to = indexOf(message.to);
    const int copies = happens(options.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (happens(options.loss))
            continue;
        const auto delay = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(options.maxDelay + 1));
        m_network.emplace(now + Milliseconds { delay }, InFlightMessage { from, to, message });
    }
}

void RaftCluster::apply(Node& node, const RaftEntry& entry)
{
    if (entry.index != node.appliedIndex + 1)
        violations.push_back(fmt::format("{} applied entry {} directly after entry {}", node.address, entry.index, node.appliedIndex));
    node.appliedIndex = entry.index;
    if (entry.kind == RaftEntryKind::Command)
        node.applied.push_back(entry.data);
    const auto [known, added] = committed.emplace(entry.index, entry);
    if (!added && (known->second.term != entry.term || known->second.data != entry.data)) {
        violations.push_back(fmt::format("{} applied '{}' of term {} at index {}, but '{}' of term {} was committed there",
            node.address, entry.data, entry.term, entry.index, known->second.data, known->second.term));
    }
}

void RaftCluster::execute(std::size_t index, RaftActions actions)
{
    Node& node = nodes[index];
    if (node.unsynced.empty() && !actions.writes.empty())
        node.syncDone = now + Milliseconds { static_cast<std::int64_t>(random() % (options.maxSync + 1)) };
    node.unsynced.insert(node.unsynced.end(), actions.writes.begin(), actions.writes.end());
    for (const auto& message : actions.send)
        transmit(index, message);
    if (actions.install) {
        ++snapshotsInstalled;
        node.applied = linesOf(actions.install->data);
        node.appliedIndex = actions.install->index;
    }
    for (const auto& entry : actions.committed)
        apply(node, entry);
    if (actions.stale) {
        ++staleFolders;
        const RaftStored found = node.disk;
        restore(index, found, true);
        start(index);
        return;
    }
    const std::uint64_t snapshotIndex = node.disk.snapshot ? node.disk.snapshot->index : 0;
    const bool due = node.appliedIndex >= snapshotIndex + options.snapshotEvery && node.unsynced.empty();
    if (due)
        execute(index, node.raft->compact(node.appliedIndex, joined(node.applied)));
}

void RaftCluster::step()
{
    now = now + Milliseconds { options.step };
    while (!m_network.empty() && m_network.begin()->first <= now) {
        const auto first = m_network.begin();
        const InFlightMessage delivery = std::move(first->second);
        m_network.erase(first);
        Node& node = nodes[delivery.to];
        if (node.pausedUntil > now) {
            m_network.emplace(node.pausedUntil, delivery);
            continue;
        }
        if (node.raft && !cuts.contains({ delivery.from, delivery.to }))
            execute(delivery.to, node.raft->receive(delivery.message, now));
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        Node& node = nodes[i];
        if (!node.raft || node.pausedUntil > now)
            continue;
        if (!node.unsynced.empty() && node.syncDone <= now && !node.stalledDisk) {
            const std::vector<RaftWrite> synced = std::move(node.unsynced);
            node.unsynced.clear();
            for (const auto& write : synced)
                store(node.disk, write);
            execute(i, node.raft->written(synced.back().number, now));
        }
        execute(i, node.raft->tick(now));
    }
    check();
}

void RaftCluster::check()
{
    std::size_t confirmed = 0;
    for (const auto& node : nodes) {
        if (!node.raft || !node.raft->leads())
            continue;
        const auto [known, added] = m_leaders.emplace(node.raft->term(), node.address);
        if (!added && known->second != node.address)
            violations.push_back(
                fmt::format("term {} has two leaders: {} and {}", node.raft->term(), known->second, node.address));
        if (!node.raft->isConfirmedLeader(now))
            continue;
        ++confirmed;
        for (auto entry = committed.rbegin(); entry != committed.rend() && entry->first > node.appliedIndex; ++entry) {
            if (entry->second.term < node.raft->term())
                violations.push_back(fmt::format(
                    "{} is a confirmed leader at index {} without entry {} of a former term", node.address, node.appliedIndex, entry->first));
        }
    }
    if (confirmed > 1)
        violations.push_back(fmt::format("{} confirmed leaders at {} ms", confirmed, now.count));
}

void RaftCluster::run(std::int64_t milliseconds)
{
    const Milliseconds end = now + Milliseconds { milliseconds };
    while (now < end && violations.empty())
        step();
}

bool RaftCluster::runUntil(const std::function<bool()>& condition, std::int64_t limit)
{
    const Milliseconds end = now + Milliseconds { limit };
    while (!condition()) {
        if (now >= end || !violations.empty())
            return false;
        step();
    }
    return true;
}

Raft* RaftCluster::leader()
{
    for (auto& node : nodes) {
        if (node.raft && node.pausedUntil <= now && node.raft->isConfirmedLeader(now))
            return node.raft.get();
    }
    return nullptr;
}

bool RaftCluster::propose(const std::string& command)
{
    Raft* raft = leader();
    if (!raft)
        return false;
    const auto node = std::find_if(
        nodes.begin(), nodes.end(), [raft](const Node& candidate) { return candidate.raft.get() == raft; });
    execute(static_cast<std::size_t>(node - nodes.begin()), raft->propose({ command }, now));
    return true;
}

std::map<std::string, std::size_t> RaftCluster::liveVoters()
{
    std::map<std::string, std::size_t> live;
    const Raft* raft = leader();
    if (!raft)
        return live;
    for (const auto& voter : raft->committedVoters()) {
        const Node& node = nodes[indexOf(voter.address)];
        if (node.raft && node.disk.self == voter)
            ++live[voter.dataCentre];
    }
    return live;
}

bool RaftCluster::allAreVoters()
{
    const Raft* raft = leader();
    if (!raft || raft->committedVoters().size() != nodes.size())
        return false;
    const auto& voters = raft->committedVoters();
    return std::all_of(nodes.begin(), nodes.end(),
        [&](const Node& node) { return std::find(voters.begin(), voters.end(), node.disk.self) != voters.end(); });
}

bool RaftCluster::allApplied(std::uint64_t index) const
{
    return std::all_of(nodes.begin(), nodes.end(), [index](const Node& node) { return node.raft && node.appliedIndex >= index; });
}

} // namespace oleanderport::test
