#pragma once

#include "policy/Raft.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleanderport::test {

struct ClusterOptions {
    std::size_t size { 3 };
    // The first `seeds` instances are the configured peers of every instance, and the group grows to `voters`. 0: all
    // instances are peers, and the group does not grow.
    std::size_t seeds { 0 };
    std::size_t voters { 0 };
    // Instances are assigned to this number of data centres in turn.
    std::size_t dataCentres { 1 };
    std::uint64_t seed { 0 };
    double loss { 0 };
    double duplication { 0 };
    std::int64_t maxDelay { 20 };
    std::int64_t maxSync { 15 };
    // Minimum election timeout; the other times are derived from it as in RaftReplicator.
    std::int64_t election { 1'000 };
    // Time between two ticks of all instances.
    std::int64_t step { 10 };
    // Number of applied entries after which an instance makes a snapshot.
    std::uint64_t snapshotEvery { 40 };
    std::uint64_t keptEntries { 10 };
    std::size_t keptBytes { 4 * 1'048'576 };
};

// Simulates control instances on a virtual clock, with an in-memory network and disks that keep only synced writes.
// Violations of the Raft guarantees are collected in `violations`.
class RaftCluster {
public:
    struct Node {
        std::string address;
        RaftStored disk;
        std::unique_ptr<Raft> raft;
        std::vector<RaftWrite> unsynced;
        Milliseconds syncDone {};
        Milliseconds pausedUntil {};
        // The disk no longer syncs.
        bool stalledDisk { false };
        std::vector<std::string> applied;
        std::uint64_t appliedIndex { 0 };
    };

    explicit RaftCluster(const ClusterOptions&);

    void run(std::int64_t milliseconds);
    // Runs until the condition holds; false when it does not within the limit.
    bool runUntil(const std::function<bool()>&, std::int64_t limit = 120'000);

    void crash(std::size_t);
    void start(std::size_t);
    void pause(std::size_t node, std::int64_t milliseconds) { nodes[node].pausedUntil = now + Milliseconds { milliseconds }; }
    // Crashes the instance and empties its disk.
    void loseDisk(std::size_t);
    // Crashes the instance and replaces its disk by an older copy. `detected`: its store recognises the copy and takes a new
    // incarnation.
    void restore(std::size_t, const RaftStored& copy, bool detected);
    void cut(std::size_t from, std::size_t to) { cuts.insert({ from, to }); }
    void heal() { cuts.clear(); }

    Raft* leader();
    // Proposes at the confirmed leader; false when there is none.
    bool propose(const std::string&);
    // True when the confirmed leader's committed voters are the current incarnations of all instances.
    bool allAreVoters();
    // Committed voters of the confirmed leader that are alive, by data centre; empty without a leader.
    std::map<std::string, std::size_t> liveVoters();
    bool allApplied(std::uint64_t index) const;

    std::vector<Node> nodes;
    // Configured peers of the instances that start from now on.
    std::vector<std::size_t> peers;
    Milliseconds now { 1'000'000 };
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::vector<std::string> violations;
    // Entries committed on any instance, by index.
    std::map<std::uint64_t, RaftEntry> committed;
    ClusterOptions options;
    std::mt19937_64 random;
    std::size_t snapshotsInstalled { 0 };
    std::size_t staleFolders { 0 };

private:
    struct InFlightMessage {
        std::size_t from { 0 };
        std::size_t to { 0 };
        RaftMessage message;
    };

    void step();
    void execute(std::size_t, RaftActions);
    void transmit(std::size_t from, const RaftMessage&);
    void apply(Node&, const RaftEntry&);
    void check();
    RaftMember selfOf(std::size_t);
    std::string newIncarnation() { return "i" + std::to_string(++m_incarnations); }
    std::size_t indexOf(const std::string& address) const;
    bool happens(double probability);
    static void store(RaftStored&, const RaftWrite&);

    std::multimap<Milliseconds, InFlightMessage> m_network;
    std::map<std::uint64_t, std::string> m_leaders;
    std::uint64_t m_incarnations { 0 };
};

} // namespace oleanderport::test
