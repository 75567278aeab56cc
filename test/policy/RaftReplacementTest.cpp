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
constexpr std::ptrdiff_t configuredPeers = 3;

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
              .seeds = static_cast<std::size_t>(configuredPeers),
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
        removeForGood(lost);
        cluster.run(successorDelay);
        startSuccessors(lost.size());
        cluster.run(catchUpTime);
    }

    void removeForGood(const std::vector<std::size_t>& lost)
    {
        for (const std::size_t node : lost) {
            cluster.crash(node);
            std::erase(running, node);
        }
    }

    void startSuccessors(std::size_t count)
    {
        // A new instance is configured with peers that are in service.
        cluster.peers.assign(running.end() - std::min<std::ptrdiff_t>(configuredPeers, std::ssize(running)), running.end());
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t successor = shape.running + m_replaced++;
            cluster.start(successor);
            running.push_back(successor);
        }
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

Test(RaftReplacement, servesThroughALossOfPowerRightAfterAPlannedReplacement, .timeout = 600)
{
    constexpr std::uint64_t seeds = 10;
    for (const GroupShape shape : { GroupShape { .running = 5, .toleratedLosses = 1 }, GroupShape { .running = 9, .toleratedLosses = 2 } }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            ReplacementGroup group(shape, seed);
            const auto replaced = group.pickLosses();
            group.startSuccessors(replaced.size());
            group.cluster.run(catchUpTime);
            group.removeForGood(replaced);
            for (const std::size_t node : group.pickLosses())
                group.cluster.crash(node);
            group.commit("meanwhile", contactTime, "a planned replacement and a loss of power");
        }
    }
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

namespace {

// Checks each change of the leader's voters against the instances that were up and connected to it within the last
// `recently` milliseconds.
class VoterChangeCheck {
public:
    explicit VoterChangeCheck(ReplacementGroup& group)
        : m_group(group)
        , m_lastUp(group.cluster.nodes.size())
    {
    }

    void run(std::int64_t milliseconds)
    {
        m_group.cluster.runUntil(
            [this] {
                check();
                return false;
            },
            milliseconds);
        cr_assert(m_group.cluster.violations.empty(), "%s: %s", m_group.describe().c_str(),
            m_group.cluster.violations.empty() ? "" : m_group.cluster.violations.front().c_str());
    }

private:
    static constexpr std::int64_t recently = 500;

    std::int64_t lossesBorne(const std::vector<RaftMember>& voters) const
    {
        const auto up = std::count_if(voters.begin(), voters.end(), [this](const RaftMember& voter) {
            const auto node = static_cast<std::size_t>(std::stoul(voter.address.substr(voter.address.find('-') + 1)));
            return m_group.cluster.nodes[node].disk.self == voter && m_group.cluster.now <= m_lastUp[node] + Milliseconds { recently };
        });
        return up - static_cast<std::int64_t>(voters.size() / 2 + 1);
    }

    void check()
    {
        RaftCluster& cluster = m_group.cluster;
        const Raft* leader = cluster.leader();
        const auto leaderNode = std::find_if(
            cluster.nodes.begin(), cluster.nodes.end(), [leader](const RaftCluster::Node& node) { return leader && node.raft.get() == leader; });
        for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
            const bool isCut = cluster.cuts.contains({ static_cast<std::size_t>(leaderNode - cluster.nodes.begin()), node });
            if (cluster.nodes[node].raft && cluster.nodes[node].pausedUntil <= cluster.now && !isCut)
                m_lastUp[node] = cluster.now;
        }
        if (!leader)
            return m_voters.clear();
        if (!m_voters.empty() && m_leader == leader && m_voters != leader->voters()) {
            const std::int64_t before = lossesBorne(m_voters);
            const std::int64_t after = lossesBorne(leader->voters());
            cr_assert(after >= before, "%s: a change from %zu to %zu voters lowered the losses borne from %ld to %ld at %ld ms", m_group.describe().c_str(),
                m_voters.size(), leader->voters().size(), static_cast<long>(before), static_cast<long>(after), static_cast<long>(cluster.now.count));
        }
        m_leader = leader;
        m_voters = leader->voters();
    }

    ReplacementGroup& m_group;
    std::vector<Milliseconds> m_lastUp;
    const Raft* m_leader { nullptr };
    std::vector<RaftMember> m_voters;
};

} // namespace

Test(RaftReplacement, noChangeOfVotersLowersTheLossesBorne, .timeout = 600)
{
    forEachGroup([](ReplacementGroup& group) {
        RaftCluster& cluster = group.cluster;
        VoterChangeCheck check(group);
        std::size_t replacements = 0;
        for (int round = 0; round < 12; ++round) {
            const auto chosen = group.pickLosses();
            const auto draw = cluster.random() % 5;
            const auto downTime = static_cast<std::int64_t>(cluster.random() % 6'000);
            if (draw == 0 && replacements < maxReplacements) {
                ++replacements;
                group.removeForGood(chosen);
                check.run(successorDelay);
                group.startSuccessors(chosen.size());
            } else if (draw == 1) {
                for (const std::size_t node : chosen)
                    cluster.loseDisk(node);
                check.run(downTime);
                for (const std::size_t node : chosen)
                    cluster.start(node);
            } else if (draw == 2) {
                for (const std::size_t node : chosen)
                    cluster.pause(node, downTime);
            } else {
                // A cut of one instance, or of as many as leave a majority of the running ones.
                const std::size_t cutOff = draw == 3 ? 1 : (group.running.size() - 1) / 2;
                for (std::size_t i = 0; i < cutOff; ++i) {
                    for (std::size_t other = cutOff; other < group.running.size(); ++other) {
                        cluster.cut(group.running[i], group.running[other]);
                        cluster.cut(group.running[other], group.running[i]);
                    }
                }
                check.run(downTime);
                cluster.heal();
            }
            check.run(catchUpTime);
        }
        group.expectLeaderWithin(recoveryTime, "the last fault");
    });
}
