#include "control/RaftReplicator.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <filesystem>
#include <optional>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds patience { 60'000 };

std::string freeAddress()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    cr_assert(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(descriptor);
    return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

// Control instances of one group in this process, on one loop.
class Group {
public:
    explicit Group(std::size_t size)
    {
        std::string name = (std::filesystem::temp_directory_path() / "replicator-XXXXXX").string();
        folder = mkdtemp(name.data());
        for (std::size_t i = 0; i < size; ++i)
            peers.push_back(freeAddress());
        instances.resize(size);
        for (std::size_t i = 0; i < size; ++i)
            start(i);
    }

    ~Group()
    {
        instances.clear();
        std::filesystem::remove_all(folder);
    }

    void start(std::size_t index)
    {
        Settings settings { .role = Role::Control,
            .instance = fmt::format("control-{}", index),
            .listen = peers[index],
            .advertise = peers[index],
            .controlPeers = peers,
            .dataFolder = folderOf(index),
            .bootstrap = true };
        Instance& instance = instances[index];
        instance.process = std::make_unique<Process>(loop, settings);
        instance.replicator = std::make_unique<RaftReplicator>(*instance.process, ControlStateOptions {});
        const auto listening = instance.process->listen({});
        cr_assert(listening.has_value(), "%s", listening.has_value() ? "" : describe(listening.assume_error()).c_str());
        const auto started = instance.replicator->start();
        cr_assert(started.has_value(), "%s", started.has_value() ? "" : describe(started.assume_error()).c_str());
    }

    void stop(std::size_t index)
    {
        instances[index].replicator.reset();
        instances[index].process.reset();
    }

    std::string folderOf(std::size_t index) const { return fmt::format("{}/{}", folder, index); }

    // Runs the loop until the condition holds.
    void until(const char* what, const std::function<bool()>& condition)
    {
        const Milliseconds giveUpAt = Clock::now() + patience;
        const auto check = loop.every({ 5 }, [&] {
            if (condition() || Clock::now() >= giveUpAt)
                loop.stop();
        });
        if (!condition())
            loop.run();
        cr_assert(condition(), "expected %s", what);
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t i = 0; i < instances.size(); ++i) {
            if (instances[i].replicator && instances[i].replicator->isLeader())
                return i;
        }
        return std::nullopt;
    }

    // Opens a session by whichever instance leads.
    void open(const std::string& name)
    {
        bool done = false;
        while (!done) {
            until("a leader", [&] { return leader().has_value(); });
            std::optional<Result<ControlOutcome>> outcome;
            OpenSessionRequest request;
            request.node.instance = name;
            instances[*leader()].replicator->propose(
                request, [&](const Result<ControlOutcome>& result) { outcome = result; });
            until("an outcome", [&] { return outcome.has_value(); });
            done = outcome->has_value();
        }
    }

    std::size_t members(std::size_t index) const { return instances[index].replicator->state().view().members.size(); }

    struct Instance {
        std::unique_ptr<Process> process;
        std::unique_ptr<RaftReplicator> replicator;
    };

    EventLoop loop;
    std::string folder;
    std::vector<std::string> peers;
    std::vector<Instance> instances;
};

} // namespace

Test(RaftReplicator, aSingleInstanceKeepsItsStateAcrossAStart)
{
    Group group(1);
    group.open("one");
    group.open("two");
    group.stop(0);
    group.start(0);
    group.until("a leader", [&] { return group.leader().has_value(); });
    cr_assert(group.members(0) == 2, "expected 2 members, got %zu", group.members(0));
}

Test(RaftReplicator, everyInstanceReachesTheSameStateAndOneTakesOver)
{
    Group group(3);
    group.open("one");
    group.until("all to apply", [&] { return group.members(0) == 1 && group.members(1) == 1 && group.members(2) == 1; });
    const std::size_t former = *group.leader();
    group.stop(former);
    group.open("two");
    cr_assert(*group.leader() != former);
    group.start(former);
    group.until("the former leader to catch up", [&] { return group.members(former) == 2; });
}

Test(RaftReplicator, anEmptiedFolderIsFilledAgainByTheOthers)
{
    Group group(3);
    group.open("one");
    const std::size_t lost = (*group.leader() + 1) % 3;
    group.stop(lost);
    std::filesystem::remove_all(group.folderOf(lost));
    group.open("two");
    group.start(lost);
    group.until("the emptied instance to catch up", [&] { return group.members(lost) == 2; });
}

Test(RaftReplicator, anInstanceThatMissedAThousandChangesCatchesUpBySnapshot)
{
    Group group(3);
    group.open("first");
    const std::size_t behind = (*group.leader() + 1) % 3;
    group.stop(behind);
    constexpr int changes = 1'600;
    int outcomes = 0;
    const std::size_t leader = *group.leader();
    for (int i = 0; i < changes; ++i) {
        OpenSessionRequest request;
        request.node.instance = fmt::format("instance-{}", i % 40);
        group.instances[leader].replicator->propose(request, [&](const Result<ControlOutcome>&) { ++outcomes; });
    }
    group.until("all outcomes", [&] { return outcomes == changes; });
    group.until("a leader", [&] { return group.leader().has_value(); });
    const auto expected = group.instances[*group.leader()].replicator->state().view().version;
    group.start(behind);
    group.until("the instance to catch up",
        [&] { return group.instances[behind].replicator->state().view().version == expected; });
    cr_assert(std::filesystem::exists(group.folderOf(behind) + "/snapshot"), "expected a snapshot to be installed");
}

Test(RaftReplicator, aLostMajorityLeavesTheOutcomeUnknown)
{
    Group group(3);
    group.open("one");
    const std::size_t leader = *group.leader();
    group.stop((leader + 1) % 3);
    group.stop((leader + 2) % 3);
    std::optional<Result<ControlOutcome>> outcome;
    OpenSessionRequest request;
    request.node.instance = "two";
    group.instances[leader].replicator->propose(
        request, [&](const Result<ControlOutcome>& result) { outcome = result; });
    group.until("an outcome", [&] { return outcome.has_value(); });
    cr_assert(!outcome->has_value() && outcome->assume_error().code == ErrorCode::Unavailable);
    cr_assert(outcome->assume_error().ran == Ran::Unknown);
    group.instances[leader].replicator->propose(
        request, [&](const Result<ControlOutcome>& result) { outcome = result; });
    cr_assert(outcome->assume_error().code == ErrorCode::NotLeader && outcome->assume_error().ran == Ran::No);
}
