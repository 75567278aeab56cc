#pragma once

#include "policy/RaftMessages.h"

#include <deque>
#include <optional>

namespace oleanderport {

// Removes the entries when they do not connect to the snapshot: a crash may occur between installing a snapshot and dropping
// the log.
void dropDisconnectedEntries(RaftStored&);

// The entries that an instance holds, the snapshot that replaces the older ones, and the resulting sets of voters.
class RaftLog {
public:
    RaftLog() = default;
    explicit RaftLog(const RaftStored&);

    std::uint64_t firstIndex() const { return m_baseIndex + 1; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    // Term of the entry; nullopt when the log does not hold it.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    // The log must hold the entry.
    const RaftEntry& at(std::uint64_t index) const { return m_entries[index - firstIndex()]; }

    void append(const RaftEntry&);
    void truncateAfter(std::uint64_t index);
    // Replaces everything by the snapshot.
    void install(const RaftSnapshot&);
    // Replaces the entries before `firstKept` by the snapshot.
    void compact(RaftSnapshot, std::uint64_t firstKept);

    // Empty (index 0) when there is none yet.
    const RaftSnapshot& snapshot() const { return m_snapshot; }
    // Voters by the last configuration entry, committed or not.
    const std::vector<RaftMember>& voters() const { return m_configurations.back().voters; }
    std::uint64_t configurationIndex() const { return m_configurations.back().index; }
    // Voters in effect at an index, which must not be below the snapshot's.
    const std::vector<RaftMember>& votersAt(std::uint64_t index) const;

private:
    struct Configuration {
        std::uint64_t index { 0 };
        std::vector<RaftMember> voters;
    };

    std::uint64_t m_baseIndex { 0 };
    std::uint64_t m_baseTerm { 0 };
    std::deque<RaftEntry> m_entries;
    RaftSnapshot m_snapshot;
    std::vector<Configuration> m_configurations { Configuration {} };
};

} // namespace oleanderport
