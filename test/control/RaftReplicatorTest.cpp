#include "control/ControlCodec.h"
#include "control/LogStore.h"
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

// Processes are configured with a few instances and learn the others from any of them.
Test(RaftReplicator, anInstanceWithoutALeaderReportsTheWholeGroup)
{
    ControlGroup group(3);
    group.openSession("one");
    group.runUntil("all to apply", [&] { return group.memberCount(0) == 1 && group.memberCount(1) == 1 && group.memberCount(2) == 1; });
    group.stop(1);
    group.stop(2);
    group.runUntil("no leader", [&] { return !group.leader() && group.replicator(0).leaderAddress().empty(); });
    cr_assert(group.replicator(0).instances().size() == 3, "expected 3 instances, got %zu", group.replicator(0).instances().size());
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

namespace {

// A change that the codec writes and can't read back.
PublishCatalogue catalogueWithNegativePriority()
{
    return { .catalogue = { .version = 8, .queues = { { .name = "q", .host = "h", .pathPrefix = "/", .service = "s", .priority = -1, .timeLimit = { 1'500 } } } },
        .source = "{}" };
}

// Appends the text as a command to the log of a stopped instance.
void appendCommand(const std::string& folder, const std::string& text)
{
    const auto store = LogStore::open({ .folder = folder, .address = "127.0.0.1:1" }, [](const Result<std::uint64_t>& result) {
        cr_assert(result.has_value());
    });
    cr_assert(store.has_value());
    const RaftEntry& last = store.assume_value()->stored().entries.back();
    store.assume_value()->write({ .number = 1,
        .entries = { { .index = last.index + 1, .term = last.term, .kind = RaftEntryKind::Command, .data = text } } });
}

} // namespace

// A committed change that no instance could read back ended every control instance, for good (review case 1).
Test(RaftReplicator, refusesAChangeThatItCouldNotReadBack)
{
    ControlGroup group(3);
    group.openSession("one");
    std::optional<Result<ControlOutcome>> outcome;
    group.replicator(group.leader().value()).propose(catalogueWithNegativePriority(), [&](const Result<ControlOutcome>& result) { outcome = result; });
    group.runUntil("an outcome", [&] { return outcome.has_value(); });
    cr_assert(!outcome->has_value() && outcome->assume_error().code == ErrorCode::BadRequest && outcome->assume_error().ran == Ran::No);
    cr_assert(outcome->assume_error().message.find("priority") != std::string::npos, "got '%s'", outcome->assume_error().message.c_str());
    group.openSession("two");
    group.runUntil("all to apply", [&] { return group.memberCount(0) == 2 && group.memberCount(1) == 2 && group.memberCount(2) == 2; });
}

// An instance whose log holds an unreadable command ended again after each start (review case 1).
Test(RaftReplicator, comesBackWithAnUnreadableCommandInItsLog)
{
    ControlGroup group(1);
    group.openSession("one");
    group.stop(0);
    appendCommand(group.folderOf(0), encodeCommand({ .stampUnix = { 1 }, .change = catalogueWithNegativePriority() }));
    appendCommand(group.folderOf(0), "no command at all");
    group.start(0);
    group.openSession("two");
    cr_assert(group.memberCount(0) == 2, "expected 2 members, got %zu", group.memberCount(0));
    cr_assert(!group.replicator(0).state().view().catalogue);
}
