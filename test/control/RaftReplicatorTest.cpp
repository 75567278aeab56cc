#include "support/ControlGroup.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <filesystem>

using namespace oleanderport;
using namespace oleanderport::test;

Test(RaftReplicator, aSingleInstanceKeepsItsStateAcrossAStart)
{
    ControlGroup group(1);
    group.openSession("one");
    group.openSession("two");
    group.stop(0);
    group.start(0);
    group.runUntil("a leader", [&] { return group.leader().has_value(); });
    cr_assert(group.memberCount(0) == 2, "expected 2 members, got %zu", group.memberCount(0));
}

Test(RaftReplicator, everyInstanceReachesTheSameStateAndOneTakesOver)
{
    ControlGroup group(3);
    group.openSession("one");
    group.runUntil("all to apply", [&] { return group.memberCount(0) == 1 && group.memberCount(1) == 1 && group.memberCount(2) == 1; });
    const std::size_t former = group.leader().value();
    group.stop(former);
    group.openSession("two");
    cr_assert(group.leader().value() != former);
    group.start(former);
    group.runUntil("the former leader to catch up", [&] { return group.memberCount(former) == 2; });
}

Test(RaftReplicator, anEmptiedFolderIsRestoredByTheOthers)
{
    ControlGroup group(3);
    group.openSession("one");
    const std::size_t lost = (group.leader().value() + 1) % 3;
    group.stop(lost);
    std::filesystem::remove_all(group.folderOf(lost));
    group.openSession("two");
    group.start(lost);
    group.runUntil("the emptied instance to catch up", [&] { return group.memberCount(lost) == 2; });
}

Test(RaftReplicator, anInstanceThatMissedAThousandChangesCatchesUpBySnapshot)
{
    constexpr int changes = 1'600;
    constexpr int distinct = 40;
    ControlGroup group(3);
    group.openSession("first");
    const std::size_t behind = (group.leader().value() + 1) % 3;
    group.stop(behind);
    int outcomes = 0;
    for (int i = 0; i < changes; ++i) {
        group.propose(
            fmt::format("instance-{}", i % distinct), [&](const Result<ControlOutcome>&) { ++outcomes; });
    }
    group.runUntil("all outcomes", [&] { return outcomes == changes; });
    group.runUntil("a leader", [&] { return group.leader().has_value(); });
    const auto expected = group.replicator(group.leader().value()).state().view().version;
    group.start(behind);
    group.runUntil(
        "the instance to catch up", [&] { return group.replicator(behind).state().view().version == expected; });
    cr_assert(std::filesystem::exists(group.folderOf(behind) + "/snapshot"), "expected a snapshot to be installed");
}

Test(RaftReplicator, aLostMajorityLeavesTheOutcomeUnknown)
{
    ControlGroup group(3);
    group.openSession("one");
    const std::size_t leader = group.leader().value();
    group.stop((leader + 1) % 3);
    group.stop((leader + 2) % 3);
    std::optional<Result<ControlOutcome>> outcome;
    OpenSessionRequest request;
    request.node.instance = "two";
    group.replicator(leader).propose(request, [&](const Result<ControlOutcome>& result) { outcome = result; });
    group.runUntil("an outcome", [&] { return outcome.has_value(); });
    cr_assert(!outcome->has_value() && outcome->assume_error().code == ErrorCode::Unavailable);
    cr_assert(outcome->assume_error().ran == Ran::Unknown);
    group.replicator(leader).propose(request, [&](const Result<ControlOutcome>& result) { outcome = result; });
    cr_assert(outcome->assume_error().code == ErrorCode::NotLeader && outcome->assume_error().ran == Ran::No);
}
