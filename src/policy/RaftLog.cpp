#include "policy/RaftLog.h"

#include <algorithm>

namespace oleanderport {

void dropDisconnectedEntries(RaftStored& stored)
{
    if (!stored.snapshot || stored.entries.empty())
        return;
    const std::uint64_t snapshotIndex = stored.snapshot->index;
    const std::uint64_t first = stored.entries.front().index;
    if (first == snapshotIndex + 1)
        return;
    const bool containsSnapshotIndex = first <= snapshotIndex && snapshotIndex - first < stored.entries.size();
    if (!containsSnapshotIndex || stored.entries[snapshotIndex - first].term != stored.snapshot->term)
        stored.entries.clear();
}

RaftLog::RaftLog(const RaftStored& stored)
{
    if (stored.snapshot)
        install(*stored.snapshot);
    if (stored.entries.empty())
        return;
    const RaftEntry& first = stored.entries.front();
    if (first.index <= m_baseIndex) {
        // Entries kept before the snapshot. The term before the first of them is unknown and not needed: a leader
        // sends a snapshot to an instance that lacks that first entry.
        m_baseIndex = first.index - 1;
        m_baseTerm = 0;
    }
    for (const auto& entry : stored.entries)
        append(entry);
}

std::optional<std::uint64_t> RaftLog::termAt(std::uint64_t index) const
{
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < firstIndex() || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

void RaftLog::append(const RaftEntry& entry)
{
    m_entries.push_back(entry);
    if (entry.kind == RaftEntryKind::Configuration && entry.index > m_snapshot.index)
        m_configurations.push_back({ .index = entry.index, .voters = entry.voters });
}

void RaftLog::truncateAfter(std::uint64_t index)
{
    while (lastIndex() > index && !m_entries.empty())
        m_entries.pop_back();
    while (m_configurations.size() > 1 && m_configurations.back().index > index)
        m_configurations.pop_back();
}

void RaftLog::install(const RaftSnapshot& snapshot)
{
    m_entries.clear();
    m_snapshot = snapshot;
    m_baseIndex = snapshot.index;
    m_baseTerm = snapshot.term;
    m_configurations = { Configuration { .index = snapshot.index, .voters = snapshot.voters } };
}

void RaftLog::compact(RaftSnapshot snapshot, std::uint64_t firstKept)
{
    m_configurations.erase(
        std::remove_if(m_configurations.begin(), m_configurations.end(),
            [&](const Configuration& configuration) { return configuration.index <= snapshot.index; }),
        m_configurations.end());
    m_configurations.insert(m_configurations.begin(), { .index = snapshot.index, .voters = snapshot.voters });
    m_snapshot = std::move(snapshot);
    while (!m_entries.empty() && m_entries.front().index < firstKept) {
        m_baseIndex = m_entries.front().index;
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
    }
}

const std::vector<RaftMember>& RaftLog::votersAt(std::uint64_t index) const
{
    const auto after = std::find_if(m_configurations.begin() + 1, m_configurations.end(),
        [index](const Configuration& configuration) { return configuration.index > index; });
    return (after - 1)->voters;
}

} // namespace oleanderport
