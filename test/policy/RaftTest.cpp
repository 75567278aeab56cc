#include "support/RaftCluster.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

using namespace oleanderport;
using namespace oleanderport::test;

namespace {

void expectNoViolations(const RaftCluster& cluster)
{
    cr_assert(cluster.violations.empty(), "seed %llu: %s", static_cast<unsigned long long>(cluster.options.seed),
        cluster.violations.empty() ? "" : cluster.violations.front().c_str());
}

void expectEventually(RaftCluster& cluster, const char* expected, const std::function<bool()>& condition)
{
    const bool reached = cluster.runUntil(condition);
    expectNoViolations(cluster);
    cr_assert(reached, "seed %llu: expected %s", static_cast<unsigned long long>(cluster.options.seed), expected);
}

void expectAllVoters(RaftCluster& cluster)
{
    expectEventually(cluster, "all instances to be voters", [&] { return cluster.allAreVoters(); });
}

bool isCommitted(const RaftCluster& cluster, const std::string& command)
{
    return std::any_of(cluster.committed.rbegin(), cluster.committed.rend(),
        [&](const auto& entry) { return entry.second.data == command; });
}

std::size_t leaderOf(RaftCluster& cluster)
{
    return static_cast<std::size_t>(cluster.leader()->leaderAddress().back() - '0');
}

void isolate(RaftCluster& cluster, std::size_t node)
{
    for (std::size_t other = 0; other < cluster.nodes.size(); ++other) {
        cluster.cut(node, other);
        cluster.cut(other, node);
    }
}

// Commits the commands one after the other. A command that was lost with its leader is proposed again.
void commitMany(RaftCluster& cluster, const std::string& prefix, int count)
{
    constexpr std::int64_t commitTimeout = 5'000;
    constexpr int attempts = 20;
    for (int i = 0; i < count; ++i) {
        const std::string command = fmt::format("{}-{}", prefix, i);
        for (int attempt = 0; attempt < attempts && !isCommitted(cluster, command); ++attempt) {
            expectEventually(cluster, "a leader", [&] { return cluster.propose(command); });
            cluster.runUntil([&] { return isCommitted(cluster, command); }, commitTimeout);
        }
        cr_assert(isCommitted(cluster, command), "seed %llu: expected %s to commit",
            static_cast<unsigned long long>(cluster.options.seed), command.c_str());
    }
}

void healAndExpectSameState(RaftCluster& cluster)
{
    cluster.heal();
    cluster.options.loss = 0;
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
        if (!cluster.nodes[i].raft)
            cluster.start(i);
    }
    expectAllVoters(cluster);
    commitMany(cluster, "last", 1);
    expectEventually(cluster, "all instances to apply everything",
        [&] { return cluster.allApplied(cluster.committed.rbegin()->first); });
    for (const auto& node : cluster.nodes)
        cr_assert(node.applied == cluster.nodes.front().applied, "seed %llu: expected the state of %s on %s",
            static_cast<unsigned long long>(cluster.options.seed), cluster.nodes.front().address.c_str(),
            node.address.c_str());
    std::size_t commands = 0;
    for (const auto& [index, entry] : cluster.committed)
        commands += entry.kind == RaftEntryKind::Command ? 1 : 0;
    cr_assert(cluster.nodes.front().applied.size() == commands, "seed %llu: expected %zu commands, got %zu",
        static_cast<unsigned long long>(cluster.options.seed), commands, cluster.nodes.front().applied.size());
}

// Injects one random fault. A disk is damaged only while a majority of the voters keeps its disks.
void injectRandomFault(RaftCluster& cluster, std::set<std::size_t>& damaged, std::vector<RaftStored>& copies)
{
    enum class Fault { Propose,
        Crash,
        Start,
        Cut,
        Heal,
        Pause,
        LoseDisk,
        Copy,
        Restore,
        Loss };
    constexpr std::uint64_t kinds = 24;
    const std::size_t node = cluster.random() % cluster.nodes.size();
    const std::size_t other = cluster.random() % cluster.nodes.size();
    const bool mayDamage = damaged.size() < (cluster.nodes.size() - 1) / 2 || damaged.contains(node);
    const auto draw = cluster.random() % kinds;
    switch (draw < 10 ? static_cast<Fault>(draw) : Fault::Propose) {
    case Fault::Propose:
        for (std::uint64_t i = 0; i < cluster.random() % 4; ++i)
            cluster.propose(fmt::format("command-{}-{}", cluster.now.count, i));
        break;
    case Fault::Crash:
        cluster.crash(node);
        if (cluster.random() % 2 == 0)
            cluster.start(node);
        break;
    case Fault::Start:
        for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
            if (!cluster.nodes[i].raft)
                cluster.start(i);
        }
        break;
    case Fault::Cut:
        cluster.cut(node, other);
        break;
    case Fault::Heal:
        cluster.heal();
        break;
    case Fault::Pause:
        cluster.pause(node, static_cast<std::int64_t>(cluster.random() % 4'000));
        break;
    case Fault::LoseDisk:
        if (mayDamage) {
            cluster.loseDisk(node);
            cluster.start(node);
            damaged.insert(node);
        }
        break;
    case Fault::Copy:
        copies[node] = cluster.nodes[node].disk;
        break;
    case Fault::Restore:
        if (mayDamage && copies[node].boot > 0) {
            cluster.restore(node, copies[node], true);
            cluster.start(node);
            damaged.insert(node);
        }
        break;
    case Fault::Loss:
        cluster.options.loss = static_cast<double>(cluster.random() % 30) / 100;
        break;
    }
    if (cluster.allAreVoters())
        damaged.clear();
}

void runSchedule(std::uint64_t seed)
{
    constexpr std::array<std::int64_t, 3> delays { 10, 60, 300 };
    constexpr std::array<std::int64_t, 3> syncs { 5, 60, 400 };
    RaftCluster cluster({ .size = seed % 4 == 0 ? 5U : 3U,
        .seed = seed,
        .duplication = 0.05,
        .maxDelay = delays[seed % delays.size()],
        .maxSync = syncs[seed / delays.size() % syncs.size()] });
    expectAllVoters(cluster);
    std::set<std::size_t> damaged;
    std::vector<RaftStored> copies(cluster.nodes.size());
    for (int i = 0; i < 150; ++i) {
        injectRandomFault(cluster, damaged, copies);
        cluster.run(static_cast<std::int64_t>(cluster.random() % 400));
        expectNoViolations(cluster);
    }
    healAndExpectSameState(cluster);
}

} // namespace

Test(Raft, bootstrapsOnlyWhenEveryInstanceIsReachableAndEmpty)
{
    RaftCluster cluster({ .seed = 1 });
    cluster.crash(2);
    cluster.run(30'000);
    cr_assert(cluster.committed.empty(), "expected no group while an instance is down");
    cluster.start(2);
    expectAllVoters(cluster);
}

Test(Raft, aBootstrappingInstanceThatLostItsDiskDoesNotBootstrapASecondGroup)
{
    RaftCluster cluster({ .seed = 2 });
    expectAllVoters(cluster);
    commitMany(cluster, "a", 5);
    cluster.loseDisk(0);
    cluster.crash(1);
    cluster.start(0);
    cluster.run(60'000);
    cr_assert(!cluster.leader(), "expected no leader from one empty folder and one voter");
    cluster.start(1);
    healAndExpectSameState(cluster);
}

Test(Raft, keepsItsGuaranteesUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 600; ++seed)
        runSchedule(seed);
}

Test(Raft, losesNothingWhenAnotherDiskIsLostRightAfterARepair)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RaftCluster cluster({ .seed = seed, .loss = 0.05, .maxDelay = 40, .maxSync = 100 });
        expectAllVoters(cluster);
        commitMany(cluster, "a", 30);
        for (std::size_t lost = 0; lost < 3; ++lost) {
            cluster.loseDisk(lost);
            cluster.start(lost);
            expectEventually(cluster, "a leader", [&] { return cluster.propose(fmt::format("b-{}", lost)); });
            expectAllVoters(cluster);
        }
        healAndExpectSameState(cluster);
    }
}

Test(Raft, anUndetectedOlderCopyIsReadmittedUnderANewIncarnation)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RaftCluster cluster({ .seed = seed, .loss = 0.05 });
        expectAllVoters(cluster);
        const std::size_t restored = seed % 3;
        const std::size_t behind = (restored + 1) % 3;
        const RaftStored copy = cluster.nodes[restored].disk;
        // The lagging instance has no evidence of what the restored one acknowledged.
        isolate(cluster, behind);
        commitMany(cluster, "a", 20);
        cluster.restore(restored, copy, false);
        cluster.start(restored);
        cluster.heal();
        expectEventually(cluster, "the older copy to be detected", [&] { return cluster.staleFolders > 0; });
        healAndExpectSameState(cluster);
    }
}

Test(Raft, anInstanceThatRestartsWithItsOwnFolderStaysAVoter)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RaftCluster cluster({ .seed = seed, .loss = 0.1, .duplication = 0.1, .maxDelay = 200 });
        expectAllVoters(cluster);
        for (int round = 0; round < 10; ++round) {
            commitMany(cluster, fmt::format("round-{}", round), 3);
            const std::size_t node = cluster.random() % 3;
            cluster.crash(node);
            cluster.start(node);
        }
        healAndExpectSameState(cluster);
        cr_assert(cluster.staleFolders == 0, "seed %llu: expected no folder to be taken for an older copy",
            static_cast<unsigned long long>(seed));
    }
}

Test(Raft, catchesUpALaggingInstanceByLogOrSnapshot)
{
    for (const std::uint64_t kept : { 10U, 1'000U }) {
        RaftCluster cluster({ .seed = 7, .snapshotEvery = 100, .keptEntries = kept });
        expectAllVoters(cluster);
        cluster.crash(2);
        commitMany(cluster, "a", 500);
        cluster.start(2);
        healAndExpectSameState(cluster);
        const std::size_t expected = kept == 10 ? 1 : 0;
        cr_assert(cluster.snapshotsInstalled == expected, "expected %zu snapshots, got %zu", expected,
            cluster.snapshotsInstalled);
    }
}

Test(Raft, aLeaderCutOffInOneDirectionIsNotConfirmedOnceAnotherLeads)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RaftCluster cluster({ .seed = seed });
        expectAllVoters(cluster);
        const std::string former = cluster.leader()->leaderAddress();
        const auto node = static_cast<std::size_t>(former.back() - '0');
        // The link is cut in one direction only: the instance receives but cannot send, or the reverse.
        for (std::size_t other = 0; other < 3; ++other) {
            if (seed % 2 == 0)
                cluster.cut(node, other);
            else
                cluster.cut(other, node);
        }
        expectEventually(cluster, "another leader",
            [&] { return cluster.leader() && cluster.leader()->leaderAddress() != former; });
        healAndExpectSameState(cluster);
    }
}

Test(Raft, aLeaderPausedLongerThanTheElectionTimeoutIsNotConfirmedWhenItResumes)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RaftCluster cluster({ .seed = seed });
        expectAllVoters(cluster);
        const std::string former = cluster.leader()->leaderAddress();
        const auto node = static_cast<std::size_t>(former.back() - '0');
        cluster.pause(node, 5'000);
        expectEventually(cluster, "another leader",
            [&] { return cluster.leader() && cluster.leader()->leaderAddress() != former; });
        healAndExpectSameState(cluster);
    }
}

Test(Raft, aRestartedFollowerRefusesVotesForAWholeElectionTimeout)
{
    const RaftOptions options { .peers = { "a", "b", "c" } };
    RaftStored stored { .self = { "a", "ia" }, .boot = 2 };
    stored.entries.push_back({ .index = 1,
        .term = 1,
        .kind = RaftEntryKind::Configuration,
        .data = {},
        .voters = { { "a", "ia" }, { "b", "ib" }, { "c", "ic" } } });
    stored.hard.term = 1;
    const Milliseconds begin { 50'000 };
    Raft raft(options, stored, begin);
    RaftMessage hello { .kind = RaftMessageKind::HelloReply, .to = "a", .from = { "b", "ib" }, .boot = 1, .term = 1 };
    raft.receive(hello, begin);
    hello.from = { "c", "ic" };
    raft.receive(hello, begin);
    const RaftMessage request { .kind = RaftMessageKind::PreVote,
        .to = "a",
        .from = { "b", "ib" },
        .boot = 1,
        .verified = true,
        .term = 1,
        .index = 1,
        .logTerm = 1 };
    const auto granted = [&](Milliseconds at) { return raft.receive(request, at).send.front().granted; };
    cr_assert(!granted(begin + Milliseconds { options.minElectionTimeout.count - 1 }), "expected a refused pre-vote before the timeout");
    cr_assert(granted(begin + options.minElectionTimeout), "expected a granted pre-vote after the timeout");
}

Test(Raft, aLeaderCountsItselfOnlyAfterItsOwnSync)
{
    RaftCluster cluster({ .seed = 11 });
    expectAllVoters(cluster);
    const auto leader = leaderOf(cluster);
    cluster.nodes[leader].stalledDisk = true;
    cluster.cut(leader, (leader + 1) % 3);
    cluster.propose("unsynced");
    cluster.run(500);
    cr_assert(!isCommitted(cluster, "unsynced"), "expected one synced copy of three not to be enough");
}

Test(Raft, aFollowerAcknowledgesOnlyAfterItsSync)
{
    RaftCluster cluster({ .seed = 12 });
    expectAllVoters(cluster);
    const std::size_t leader = leaderOf(cluster);
    for (std::size_t other = 1; other < 3; ++other)
        cluster.nodes[(leader + other) % 3].stalledDisk = true;
    cluster.propose("unsynced");
    cluster.run(5'000);
    cr_assert(!isCommitted(cluster, "unsynced"), "expected one synced copy of three not to be enough");
    cr_assert(cluster.leader(), "expected a slow disk not to depose the leader");
}

Test(Raft, aLearnerIsAdmittedOnlyOnceItHasSyncedWhatIsCommitted)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RaftCluster cluster({ .seed = seed });
        expectAllVoters(cluster);
        commitMany(cluster, "a", 30);
        const std::size_t lost = (leaderOf(cluster) + 1) % 3;
        cluster.loseDisk(lost);
        cluster.start(lost);
        // Its disk stalls after the term is written, so it still answers heartbeats.
        expectEventually(cluster, "the term to be stored", [&] { return cluster.nodes[lost].disk.hard.term > 0; });
        cluster.nodes[lost].stalledDisk = true;
        cluster.run(5'000);
        cr_assert(!cluster.allAreVoters(), "seed %lu: expected a learner that has synced nothing not to be admitted", seed);
        cluster.nodes[lost].stalledDisk = false;
        healAndExpectSameState(cluster);
    }
}

Test(Raft, aLearnerDoesNotCountForAMajority)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RaftCluster cluster({ .seed = seed });
        expectAllVoters(cluster);
        const std::size_t leader = leaderOf(cluster);
        const std::size_t other = (leader + 2) % 3;
        cluster.loseDisk((leader + 1) % 3);
        cluster.start((leader + 1) % 3);
        isolate(cluster, other);
        cluster.propose("one voter");
        cluster.run(5'000);
        cr_assert(!isCommitted(cluster, "one voter"), "seed %lu: expected a voter and a learner not to commit", seed);
        healAndExpectSameState(cluster);
    }
}

Test(Raft, aReplacedDiskThatReturnsElectsNoLeader)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RaftCluster cluster({ .seed = seed });
        expectAllVoters(cluster);
        commitMany(cluster, "a", 5);
        const std::size_t leader = leaderOf(cluster);
        const std::size_t replaced = (leader + 1) % 3;
        cluster.crash(replaced);
        const RaftStored former = cluster.nodes[replaced].disk;
        cluster.loseDisk(replaced);
        cluster.start(replaced);
        // The third instance misses a part of the replacement.
        cluster.run(static_cast<std::int64_t>(cluster.random() % 1'000));
        isolate(cluster, (leader + 2) % 3);
        cluster.run(500);
        cluster.propose("after the replacement");
        cluster.run(500);
        cluster.crash(leader);
        cluster.restore(replaced, former, false);
        cluster.start(replaced);
        cluster.heal();
        cluster.run(15'000);
        cluster.propose("by the former disk");
        cluster.run(500);
        healAndExpectSameState(cluster);
    }
}

Test(Raft, anEntryOfAFormerTermIsNotCommittedAlone)
{
    RaftStored stored { .self = { "a", "ia" }, .boot = 2, .hard = { .term = 2, .votedFor = {} } };
    stored.entries.push_back({ .index = 1,
        .term = 1,
        .kind = RaftEntryKind::Configuration,
        .data = {},
        .voters = { { "a", "ia" }, { "b", "ib" }, { "c", "ic" } } });
    stored.entries.push_back({ .index = 2, .term = 2, .kind = RaftEntryKind::Command, .data = "former" });
    Milliseconds now { 50'000 };
    Raft raft({ .peers = { "a", "b", "c" } }, stored, now);
    // After verifyWait and the election timeout.
    now = now + Milliseconds { 10'000 };
    raft.tick(now);
    now = now + Milliseconds { 10'000 };
    raft.tick(now);
    RaftMessage fromB { .to = "a", .from = { "b", "ib" }, .boot = 1, .verified = true, .term = 2, .granted = true };
    fromB.kind = RaftMessageKind::PreVoteReply;
    fromB.logTerm = 2;
    const RaftActions candidacy = raft.receive(fromB, now);
    cr_assert(candidacy.writes.size() == 1, "expected one write with the vote of the candidate");
    raft.written(candidacy.writes.back().number, now);
    fromB.kind = RaftMessageKind::VoteReply;
    fromB.term = fromB.logTerm = 3;
    const RaftActions elected = raft.receive(fromB, now);
    cr_assert(raft.leads(), "expected a leader");
    raft.written(elected.writes.back().number, now);
    fromB.kind = RaftMessageKind::AppendReply;
    fromB.index = 2;
    raft.receive(fromB, now);
    cr_assert(raft.commitIndex() == 0, "expected no committed entry, got commit index %lu", raft.commitIndex());
    fromB.index = 3;
    raft.receive(fromB, now);
    cr_assert(raft.commitIndex() == 3, "expected commit index 3, got %lu", raft.commitIndex());
}

namespace {

ClusterOptions growingGroup(std::uint64_t seed)
{
    return { .size = 9, .seeds = 3, .voters = 5, .dataCentres = 3, .seed = seed, .loss = 0.02 };
}

std::size_t liveCount(RaftCluster& cluster)
{
    std::size_t count = 0;
    for (const auto& [dataCentre, voters] : cluster.liveVoters())
        count += voters;
    return count;
}

void expectSpread(RaftCluster& cluster, std::size_t voters, std::size_t maxPerDataCentre)
{
    expectEventually(cluster, "the target number of live voters, spread over the data centres", [&] {
        const auto live = cluster.liveVoters();
        return liveCount(cluster) >= voters && std::all_of(live.begin(), live.end(), [maxPerDataCentre](const auto& item) { return item.second <= maxPerDataCentre; });
    });
}

} // namespace

Test(Raft, growsBeyondTheConfiguredPeers)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        RaftCluster cluster(growingGroup(seed));
        expectSpread(cluster, 5, 2);
        commitMany(cluster, "grown", 10);
        const std::uint64_t index = cluster.committed.rbegin()->first;
        expectEventually(cluster, "every instance to follow the log", [&] { return cluster.allApplied(index); });
        cr_assert(cluster.leader()->committedVoters().size() == 5, "expected five voters, got %zu",
            cluster.leader()->committedVoters().size());
    }
}

Test(Raft, survivesTheLossOfTwoDisksAtOnceWithFiveVoters)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        RaftCluster cluster(growingGroup(seed));
        expectSpread(cluster, 5, 2);
        commitMany(cluster, "before", 10);
        // Two voters lose their disks, then all instances crash.
        const auto voters = cluster.leader()->committedVoters();
        for (std::size_t i = 0; i < 2; ++i)
            cluster.loseDisk(static_cast<std::size_t>(voters[(seed + i * 2) % 5].address.back() - '0'));
        for (std::size_t i = 0; i < 9; ++i)
            cluster.crash(i);
        for (std::size_t i = 0; i < 9; ++i)
            cluster.start(i);
        expectSpread(cluster, 5, 2);
        for (int i = 0; i < 10; ++i)
            cr_assert(isCommitted(cluster, fmt::format("before-{}", i)));
        commitMany(cluster, "after", 5);
    }
}

Test(Raft, replacesVotersThatDoNotReturn)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        RaftCluster cluster(growingGroup(seed));
        expectSpread(cluster, 5, 2);
        commitMany(cluster, "before", 5);
        // All three seeds fail one after the other; the remaining instances continue without them.
        for (std::size_t seedNode = 0; seedNode < 3; ++seedNode) {
            cluster.crash(seedNode);
            expectSpread(cluster, 5, 2);
        }
        commitMany(cluster, "after", 5);
    }
}

Test(Raft, readmitsAVoterThatWasReplacedWhilePaused)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        RaftCluster cluster(growingGroup(seed));
        expectSpread(cluster, 5, 2);
        const auto voter = cluster.leader()->committedVoters().front().address;
        const auto number = static_cast<std::size_t>(voter.back() - '0');
        cluster.pause(number, 15'000);
        cluster.run(14'000);
        commitMany(cluster, "meanwhile", 5);
        const std::uint64_t index = cluster.committed.rbegin()->first;
        expectEventually(cluster, "the returned instance to follow the log", [&] { return cluster.allApplied(index); });
        expectSpread(cluster, 5, 2);
        cr_assert(cluster.leader()->committedVoters().size() <= 6);
    }
}

Test(Raft, reportsTheVotersThatAreHeardAndTheLossesBorne)
{
    RaftCluster cluster({ .size = 5, .seed = 1 });
    expectAllVoters(cluster);
    cluster.run(1'000);
    const std::size_t leader = leaderOf(cluster);
    cr_assert(bearableLosses(cluster.leader()->quorum(cluster.now)) == 2);
    const std::size_t silent = (leader + 1) % 5;
    cluster.crash(silent);
    cluster.run(3'000);
    const RaftQuorum quorum = cluster.leader()->quorum(cluster.now);
    cr_assert(bearableLosses(quorum) == 1);
    cr_assert(quorum.voters == 5 && quorum.needed == 3);
    cr_assert(quorum.silent == std::vector<RaftMember> { cluster.nodes[silent].disk.self });
    // Without a majority the remaining instances hear each other's hellos.
    cluster.crash(leader);
    cluster.crash((leader + 2) % 5);
    cluster.run(6'000);
    cr_assert(!cluster.leader());
    cr_assert(bearableLosses(cluster.nodes[(leader + 3) % 5].raft->quorum(cluster.now)) == -1);
}

Test(Raft, doesNotBootstrapWithoutTheSeeds)
{
    RaftCluster cluster(growingGroup(3));
    for (std::size_t i = 0; i < 9; ++i)
        cluster.crash(i);
    for (std::size_t i = 0; i < 9; ++i)
        cluster.loseDisk(i);
    for (std::size_t i = 3; i < 9; ++i)
        cluster.start(i);
    cluster.run(20'000);
    cr_assert(!cluster.leader(), "expected no group without the seeds");
    for (std::size_t i = 0; i < 3; ++i)
        cluster.start(i);
    expectSpread(cluster, 5, 2);
}

namespace {

// Five instances, as in the users' deployments.
ClusterOptions fastGroup(std::uint64_t seed)
{
    return { .size = 5, .seed = seed, .maxDelay = 2, .maxSync = 12, .election = 400, .step = 2 };
}

void expectLeaderWithin(RaftCluster& cluster, std::int64_t milliseconds)
{
    const Milliseconds from = cluster.now;
    expectEventually(cluster, "a leader", [&] { return cluster.leader() != nullptr; });
    const std::int64_t took = (cluster.now - from).count;
    cr_assert(took <= milliseconds, "seed %lu: expected a leader within %ld ms, got %ld", static_cast<unsigned long>(cluster.options.seed),
        static_cast<long>(milliseconds), static_cast<long>(took));
}

// Crashes all instances and starts them one after the other, with at most `spread` milliseconds from the first to the last.
void restartAll(RaftCluster& cluster, std::int64_t spread)
{
    for (std::size_t node = 0; node < cluster.nodes.size(); ++node)
        cluster.crash(node);
    std::multimap<std::int64_t, std::size_t> starts;
    for (std::size_t node = 0; node < cluster.nodes.size(); ++node)
        starts.emplace(static_cast<std::int64_t>(cluster.random() % static_cast<std::uint64_t>(spread + 1)), node);
    std::int64_t passed = 0;
    for (const auto& [at, node] : starts) {
        cluster.run(at - passed);
        passed = at;
        cluster.start(node);
    }
}

// Expects a leader within 250 ms after a restart of all instances, with or without one lost disk.
void expectFastElections(bool withLostDisk)
{
    constexpr std::int64_t limit = 250;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RaftCluster cluster(fastGroup(seed));
        expectAllVoters(cluster);
        commitMany(cluster, "a", 3);
        if (withLostDisk)
            cluster.loseDisk(seed % 5);
        restartAll(cluster, 200);
        expectLeaderWithin(cluster, limit);
    }
}

} // namespace

Test(Raft, electsWithin250MsAfterARestartOfAllInstances)
{
    expectFastElections(false);
}

Test(Raft, electsWithin250MsAfterARestartWithOneDiskLost)
{
    expectFastElections(true);
}

// Processes contact the configured instances, which need not be voters.
Test(Raft, anInstanceThatDoesNotVoteKnowsTheLeaderSoonAfterAColdStart)
{
    constexpr std::int64_t limit = 100;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        ClusterOptions options = fastGroup(seed);
        options.size = 7;
        options.seeds = 3;
        options.voters = 5;
        RaftCluster cluster(options);
        expectEventually(cluster, "five voters and learners that follow", [&] {
            const Raft* leader = cluster.leader();
            return leader && leader->committedVoters().size() == 5
                && std::all_of(cluster.nodes.begin(), cluster.nodes.end(), [](const auto& node) { return !node.raft->leaderAddress().empty(); });
        });
        restartAll(cluster, 200);
        expectEventually(cluster, "a leader", [&] { return cluster.leader() != nullptr; });
        cluster.run(limit);
        for (const auto& node : cluster.nodes)
            cr_assert(!node.raft->leaderAddress().empty(), "seed %lu: %s does not know the leader", static_cast<unsigned long>(seed), node.address.c_str());
    }
}

// The missing instance may hold a lease from before the restart; the others wait until it must have expired.
Test(Raft, waitsForFormerLeasesWhileAnInstanceIsMissing)
{
    RaftCluster cluster(fastGroup(3));
    expectAllVoters(cluster);
    const std::string former = cluster.leader()->leaderAddress();
    const auto leader = leaderOf(cluster);
    // The leader is cut off and keeps serving until its lease has expired.
    isolate(cluster, leader);
    for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
        if (node == leader)
            continue;
        cluster.crash(node);
        cluster.start(node);
    }
    cluster.run(cluster.options.election - cluster.options.step);
    expectNoViolations(cluster);
    const Raft* serving = cluster.leader();
    cr_assert(!serving || serving->leaderAddress() == former, "expected no other leader before the former lease has expired");
}

// The leader tells the restarted voters that it leads and is then cut off. Its lease depends on their earlier replies, so
// that they must let it expire.
Test(Raft, waitsForTheLeaseOfALeaderThatStillLeads)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RaftCluster cluster(fastGroup(seed));
        expectAllVoters(cluster);
        const auto leader = leaderOf(cluster);
        for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
            if (node == leader)
                continue;
            cluster.crash(node);
            cluster.start(node);
        }
        constexpr std::int64_t roundTrip = 10;
        cluster.run(roundTrip);
        isolate(cluster, leader);
        cluster.run(cluster.options.election * 2);
        expectNoViolations(cluster);
    }
}

// Random restarts of some or all instances, at once or spread, with links cut, processes paused and disks lost at any time.
// RaftCluster reports two confirmed leaders, two leaders of one term, and lost entries.
Test(Raft, electsNoTwoLeadersThroughRandomColdStarts, .timeout = 600)
{
    constexpr std::uint64_t schedules = 5'000;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        ClusterOptions options = fastGroup(seed);
        options.maxDelay = seed % 2 == 0 ? 2 : 60;
        options.loss = seed % 3 == 0 ? 0.05 : 0;
        options.step = 5;
        RaftCluster cluster(options);
        expectAllVoters(cluster);
        auto& random = cluster.random;
        for (int round = 0; round < 4; ++round) {
            commitMany(cluster, fmt::format("r{}", round), 1);
            for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
                if (random() % 4 == 0)
                    cluster.pause(node, static_cast<std::int64_t>(random() % 900));
                if (random() % 6 == 0)
                    isolate(cluster, node);
            }
            const bool all = random() % 2 == 0;
            bool diskLost = false;
            for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
                if (!all && random() % 2 == 0)
                    continue;
                // At most one disk is lost in each round, until all instances are voters again.
                if (random() % 8 == 0 && !std::exchange(diskLost, true))
                    cluster.loseDisk(node);
                else
                    cluster.crash(node);
                cluster.run(static_cast<std::int64_t>(random() % 120));
                cluster.start(node);
            }
            cluster.run(static_cast<std::int64_t>(random() % 1'500));
            expectNoViolations(cluster);
            cluster.heal();
            expectAllVoters(cluster);
        }
        healAndExpectSameState(cluster);
    }
}

// A document of thousands of queues is an entry of almost a megabyte; without the limit hundreds of them fill a disk.
Test(Raft, limitsTheBytesKeptBeforeASnapshot)
{
    constexpr std::size_t most = 2'000;
    RaftCluster cluster({ .seed = 5, .snapshotEvery = 10, .keptEntries = 1'000, .keptBytes = most });
    expectAllVoters(cluster);
    commitMany(cluster, std::string(500, 'x'), 60);
    healAndExpectSameState(cluster);
    for (const auto& node : cluster.nodes) {
        const std::uint64_t snapshotIndex = node.disk.snapshot ? node.disk.snapshot->index : 0;
        cr_assert(snapshotIndex > 0, "expected a snapshot of %s", node.address.c_str());
        std::size_t bytes = 0;
        for (const auto& entry : node.disk.entries)
            bytes += entry.index <= snapshotIndex ? entry.data.size() : 0;
        cr_assert(bytes <= most, "%s keeps %zu bytes before its snapshot, expected at most %zu", node.address.c_str(), bytes, most);
    }
}
