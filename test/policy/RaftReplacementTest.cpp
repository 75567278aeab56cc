#include "support/RaftCluster.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace oleanderport;
using namespace oleanderport::test;

// The group bears its tolerated losses again once the successors of earlier losses have had the catch-up time.
namespace {

constexpr std::int64_t successorDelay = 1'000;
constexpr std::int64_t catchUpTime = 4'000;
constexpr std::int64_t recoveryTime = 12'000;
// Within this time after a tolerated loss the remaining instances serve again.
constexpr std::int64_t contactTime = 3'000;
constexpr std::size_t maxReplacements = 3;

struct GroupShape {
    std::size_t running { 5 };
    std::int64_t toleratedLosses { 1 };
};

constexpr GroupShape shapes[] = {
    { .running = 3, .toleratedLosses = 1 },
    { .running = 4, .toleratedLosses = 1 },
    { .running = 5, .toleratedLosses = 1 },
    { .running = 6, .toleratedLosses = 1 },
    { .running = 5, .toleratedLosses = 2 },
    { .running = 7, .toleratedLosses = 2 },
    { .running = 9, .toleratedLosses = 2 },
};

// A group of which some instances are replaced by new ones at other addresses.
class ReplacementGroup {
public:
    ReplacementGroup(const GroupShape& shape, std::uint64_t seed)
        : shape(shape)
        , cluster({ .size = shape.running + maxReplacements * static_cast<std::size_t>(shape.toleratedLosses),
              .seeds = 3,
              .voters = targetVoters(shape.toleratedLosses),
              .dataCentres = 3,
              .seed = seed,
              .maxDelay = 2,
              .maxSync = 12,
              .election = 400,
              .step = 4 })
    {
        for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
            if (node < shape.running)
                running.push_back(node);
            else
                cluster.loseDisk(node);
        }
        expectLeaderWithin(recoveryTime, "the start");
        cluster.run(catchUpTime);
    }

    void expectLeaderWithin(std::int64_t limit, const char* event)
    {
        const bool reached = cluster.runUntil([this] { return cluster.leader() != nullptr; }, limit);
        cr_assert(cluster.violations.empty(), "%s: %s", describe().c_str(), cluster.violations.empty() ? "" : cluster.violations.front().c_str());
        cr_assert(reached, "%s: expected a leader within %ld ms after %s", describe().c_str(), static_cast<long>(limit), event);
    }

    // Commits the command; `limit` includes the wait for a leader.
    void commit(const std::string& command, std::int64_t limit, const char* event)
    {
        const bool reached = cluster.runUntil(
            [&] {
                if (!isCommitted(command) && cluster.now >= m_proposeAt) {
                    m_proposeAt = cluster.now + Milliseconds { 200 };
                    cluster.propose(command);
                }
                return isCommitted(command);
            },
            limit);
        cr_assert(cluster.violations.empty(), "%s: %s", describe().c_str(), cluster.violations.empty() ? "" : cluster.violations.front().c_str());
        cr_assert(reached, "%s: expected %s to commit within %ld ms after %s", describe().c_str(), command.c_str(), static_cast<long>(limit), event);
    }

    bool isCommitted(const std::string& command) const
    {
        return std::any_of(cluster.committed.rbegin(), cluster.committed.rend(), [&](const auto& entry) { return entry.second.data == command; });
    }

    // Picks as many running instances as may be lost; in every other draw the leader is among them.
    std::vector<std::size_t> pickLosses()
    {
        std::vector<std::size_t> candidates = running;
        std::shuffle(candidates.begin(), candidates.end(), cluster.random);
        if (cluster.leader() && cluster.random() % 2 == 0) {
            std::stable_partition(candidates.begin(), candidates.end(),
                [this](std::size_t node) { return cluster.nodes[node].raft.get() == cluster.leader(); });
        }
        candidates.resize(static_cast<std::size_t>(shape.toleratedLosses));
        return candidates;
    }

    // Loses as many instances for good as are tolerated and starts a successor for each; returns once these have caught up.
    void replaceSome()
    {
        const auto lost = pickLosses();
        for (const std::size_t node : lost) {
            cluster.crash(node);
            std::erase(running, node);
        }
        cluster.run(successorDelay);
        for (std::size_t i = 0; i < lost.size(); ++i) {
            const std::size_t successor = shape.running + m_replaced++;
            cluster.start(successor);
            running.push_back(successor);
        }
        cluster.run(catchUpTime);
    }

    std::string describe() const
    {
        return fmt::format("{} instances, {} tolerated losses, seed {}", shape.running, shape.toleratedLosses, cluster.options.seed);
    }

    GroupShape shape;
    RaftCluster cluster;
    std::vector<std::size_t> running;

private:
    std::size_t m_replaced { 0 };
    Milliseconds m_proposeAt {};
};

void forEachGroup(const std::function<void(ReplacementGroup&)>& play)
{
    constexpr std::uint64_t seeds = 10;
    for (const auto& shape : shapes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            ReplacementGroup group(shape, seed);
            play(group);
        }
    }
}

} // namespace

Test(RaftReplacement, keepsItsQuorumWhenDisksAreLostAfterAReplacement, .timeout = 600)
{
    forEachGroup([](ReplacementGroup& group) {
        group.replaceSome();
        group.commit("acknowledged", contactTime, "a replacement");
        const auto lost = group.pickLosses();
        for (const std::size_t node : group.running)
            group.cluster.crash(node);
        for (const std::size_t node : lost)
            group.cluster.loseDisk(node);
        group.cluster.run(successorDelay);
        for (const std::size_t node : group.running)
            group.cluster.start(node);
        group.commit("after", recoveryTime, "the return of all instances");
        const auto& applied = group.cluster.nodes[group.running.front()].applied;
        group.cluster.run(catchUpTime);
        cr_assert(std::find(applied.begin(), applied.end(), "acknowledged") != applied.end(), "%s: expected the acknowledged change to be kept",
            group.describe().c_str());
    });
}

Test(RaftReplacement, servesThroughALossOfPowerAfterEachOfThreeReplacements, .timeout = 600)
{
    forEachGroup([](ReplacementGroup& group) {
        for (std::size_t round = 0; round < maxReplacements; ++round) {
            group.replaceSome();
            const auto lost = group.pickLosses();
            for (const std::size_t node : lost)
                group.cluster.crash(node);
            group.commit(fmt::format("meanwhile-{}", round), contactTime, "a loss of power");
            for (const std::size_t node : lost)
                group.cluster.start(node);
            group.cluster.run(catchUpTime);
        }
    });
}

Test(RaftReplacement, servesThroughTheLossOfADataCentreAfterAReplacement, .timeout = 600)
{
    constexpr std::uint64_t seeds = 10;
    for (const GroupShape shape : { GroupShape { .running = 5, .toleratedLosses = 1 }, GroupShape { .running = 9, .toleratedLosses = 2 } }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            ReplacementGroup group(shape, seed);
            // The successor, instance number `running`, is in the same data centre.
            const std::size_t lost = shape.running % 3;
            group.cluster.crash(lost);
            std::erase(group.running, lost);
            group.cluster.run(successorDelay);
            group.cluster.start(shape.running);
            group.running.push_back(shape.running);
            group.cluster.run(catchUpTime);
            for (const std::size_t node : group.running) {
                if (node % 3 == seed % 3)
                    group.cluster.crash(node);
            }
            group.commit("meanwhile", contactTime, "the loss of a data centre");
        }
    }
}

Test(RaftReplacement, keepsSilentVotersThatHaveNoSuccessor, .timeout = 600)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        RaftCluster cluster({ .size = 5, .seeds = 3, .voters = targetVoters(1), .dataCentres = 3, .seed = seed, .maxDelay = 2, .maxSync = 12, .election = 400, .step = 4 });
        cluster.run(recoveryTime);
        cr_assert(cluster.leader());
        const std::size_t voters = cluster.leader()->committedVoters().size();
        // All but a bare majority of the voters fall silent.
        std::size_t silent = (voters - 1) / 2;
        for (const auto& voter : cluster.leader()->committedVoters()) {
            const auto number = static_cast<std::size_t>(voter.address.back() - '0');
            if (silent > 0 && cluster.nodes[number].raft.get() != cluster.leader()) {
                --silent;
                cluster.crash(number);
            }
        }
        for (std::size_t node = 0; node < 5; ++node) {
            const auto& committed = cluster.leader()->committedVoters();
            const bool isVoter = std::find(committed.begin(), committed.end(), cluster.nodes[node].disk.self) != committed.end();
            if (!isVoter)
                cluster.crash(node);
        }
        cluster.run(30'000);
        cr_assert(cluster.leader());
        cr_assert(cluster.leader()->committedVoters().size() == voters, "seed %lu: expected %zu voters, got %zu", static_cast<unsigned long>(seed), voters,
            cluster.leader()->committedVoters().size());
    }
}
