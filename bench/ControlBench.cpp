#include "base/Log.h"
#include "control/LogFile.h"
#include "support/ControlGroup.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>

#include <fcntl.h>
#include <unistd.h>

// Measures the commit latency of the control group relative to the sync time of the disk, and the recovery time of an
// instance by the number of changes it missed. All instances share one process and one disk.
namespace {

using namespace oleanderport;
using namespace oleanderport::test;

constexpr int rounds = 300;
constexpr std::size_t payloadBytes = 300;

struct LatencySummary {
    std::int64_t median { 0 };
    std::int64_t max { 0 };
};

LatencySummary summarise(std::vector<std::int64_t> values)
{
    std::sort(values.begin(), values.end());
    return { .median = values[values.size() / 2], .max = values.back() };
}

LatencySummary measureSync()
{
    const std::string path = (std::filesystem::temp_directory_path() / "sync-bench").string();
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
    std::vector<std::int64_t> times;
    for (int i = 0; i < rounds; ++i) {
        const std::int64_t begin = Clock::nowMicroseconds();
        const bool ok = writeAll(descriptor, std::string(payloadBytes, 'x'), path).has_value()
            && syncFile(descriptor, path).has_value();
        if (ok)
            times.push_back(Clock::nowMicroseconds() - begin);
    }
    ::close(descriptor);
    std::filesystem::remove(path);
    return summarise(times);
}

LatencySummary measureCommit(ControlGroup& group)
{
    std::vector<std::int64_t> times;
    for (int i = 0; i < rounds; ++i) {
        const std::int64_t begin = Clock::nowMicroseconds();
        std::int64_t end = 0;
        group.propose(fmt::format("i-{}", i % 10), [&](const Result<ControlOutcome>&) { end = Clock::nowMicroseconds(); });
        group.runUntil("an outcome", [&] { return end != 0; });
        times.push_back(end - begin);
    }
    return summarise(times);
}

std::int64_t measureBurst(ControlGroup& group, int count)
{
    int outcomes = 0;
    std::int64_t end = 0;
    const std::int64_t begin = Clock::nowMicroseconds();
    for (int i = 0; i < count; ++i) {
        group.propose(fmt::format("i-{}", i % 10), [&](const Result<ControlOutcome>&) {
            ++outcomes;
            end = Clock::nowMicroseconds();
        });
    }
    group.runUntil("all outcomes", [&] { return outcomes == count; });
    return end - begin;
}

std::int64_t measureRecovery(ControlGroup& group, int missed)
{
    group.runUntil("a leader", [&] { return group.leader().has_value(); });
    const std::size_t behind = (group.leader().value() + 1) % 3;
    group.stop(behind);
    measureBurst(group, missed);
    const auto expected = group.replicator(group.leader().value()).state().view().version;
    const std::int64_t begin = Clock::nowMicroseconds();
    group.start(behind);
    group.runUntil("recovery", [&] { return group.replicator(behind).state().view().version >= expected; });
    return Clock::nowMicroseconds() - begin;
}

} // namespace

int main()
{
    configureLog(LogLevel::Error, "bench", "control-bench");
    const LatencySummary sync = measureSync();
    fmt::print("sync of {} bytes: median {} us, worst {} us\n", payloadBytes, sync.median, sync.max);
    for (const std::size_t size : { 1U, 3U }) {
        ControlGroup group(size);
        group.openSession("first");
        const LatencySummary commit = measureCommit(group);
        fmt::print("{} instances: commit median {} us, worst {} us, {:.1f} times a sync\n", size, commit.median,
            commit.max, static_cast<double>(commit.median) / static_cast<double>(sync.median));
        constexpr int burst = 2'000;
        fmt::print("{} instances: {} changes at once in {} ms\n", size, burst, measureBurst(group, burst) / 1'000);
    }
    ControlGroup group(3);
    group.openSession("first");
    for (const int missed : { 10, 100, 400, 1'600, 3'200 })
        fmt::print("{} changes missed: recovered {} ms after the start\n", missed, measureRecovery(group, missed) / 1'000);
    return 0;
}
