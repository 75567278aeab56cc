// Simulates loads of best-effort jobs with the real dispatch policies under a virtual clock, for a set of scenes, settings
// and seeds, and prints the callers' outcomes, one line per scene and setting.

#include "support/DispatchLoad.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <sstream>

using namespace oleanderport;

namespace {

struct Setting {
    std::string name;
    JobDispatcherOptions dispatcher;
    RunTableOptions runs;
    Milliseconds minionRequestTimeout { 35 };
};

struct Scene {
    std::string name;
    int entries { 3 };
    int sidecars { 11 };
    int largerEvery { 0 };
    LoadSpread spread;
    double jobsPerSecond { 140 };
    Milliseconds duration { 20'000 };
    // An additional load during the burst.
    double burstPerSecond { 0 };
    Milliseconds burstAt { 5'000 };
    Milliseconds burstFor { 4'000 };
    double delayedRequestShare { 0 };
    int slowMinions { 0 };
    int failingMinions { 0 };
    std::int64_t cores { 64 };
    std::vector<std::int64_t> runTimePercents;
    std::vector<DispatchModelOptions::Interference> interference;
};

// Two of three minions take 70% of the mean run time, the third one 170%.
const std::vector<std::int64_t> unlikeRunTimes { 70, 70, 170 };

std::vector<Scene> scenes()
{
    return {
        { .name = "ordinary" },
        { .name = "short of minions", .sidecars = 9 },
        { .name = "overload", .sidecars = 7 },
        { .name = "burst", .burstPerSecond = 110 },
        { .name = "orders lost", .delayedRequestShare = 0.05 },
        { .name = "half of orders lost", .duration = { 10'000 }, .delayedRequestShare = 0.5 },
        { .name = "most orders lost", .duration = { 10'000 }, .delayedRequestShare = 0.7 },
        { .name = "slow minions", .slowMinions = 2 },
        { .name = "failing minions", .failingMinions = 2 },
        { .name = "large, ordinary", .entries = 51, .sidecars = 240, .largerEvery = 3, .spread = largeSpread(), .jobsPerSecond = 875, .duration = { 4'000 } },
        { .name = "large, heavy", .entries = 51, .sidecars = 240, .largerEvery = 3, .spread = largeSpread(), .jobsPerSecond = 1'266, .duration = { 4'000 } },
        { .name = "large, overload", .entries = 51, .sidecars = 240, .largerEvery = 3, .spread = largeSpread(), .jobsPerSecond = 2'000, .duration = { 4'000 } },
        { .name = "unlike minions", .entries = 8, .sidecars = 69, .largerEvery = 3, .spread = compactSpread(), .jobsPerSecond = 743, .duration = { 10'000 }, .cores = 32, .runTimePercents = unlikeRunTimes },
        { .name = "unlike minions, heavy", .entries = 8, .sidecars = 69, .largerEvery = 3, .spread = compactSpread(), .jobsPerSecond = 1'150, .duration = { 10'000 }, .cores = 32, .runTimePercents = unlikeRunTimes },
        { .name = "unlike minions, burst", .entries = 8, .sidecars = 69, .largerEvery = 3, .spread = compactSpread(), .jobsPerSecond = 743, .duration = { 10'000 }, .burstPerSecond = 1'300, .burstAt = { 3'000 }, .burstFor = { 4'000 }, .cores = 32, .runTimePercents = unlikeRunTimes },
        { .name = "interference", .entries = 8, .sidecars = 69, .largerEvery = 3, .spread = compactSpread(), .jobsPerSecond = 743, .duration = { 30'000 }, .cores = 32, .interference = { { "lookup", "callout", 200 } } },
        { .name = "interference, heavy", .entries = 8, .sidecars = 69, .largerEvery = 3, .spread = compactSpread(), .jobsPerSecond = 1'150, .duration = { 30'000 }, .cores = 32, .interference = { { "lookup", "callout", 200 } } },
        { .name = "alike minions, heavy", .entries = 8, .sidecars = 69, .largerEvery = 3, .spread = compactSpread(), .jobsPerSecond = 1'150, .duration = { 10'000 }, .cores = 32 },
    };
}

std::vector<Setting> settings()
{
    std::vector<Setting> all;
    all.push_back({ .name = "as built" });
    for (const std::int64_t useful : { 90, 130, 200, 300 }) {
        Setting setting { .name = fmt::format("useful {}%", useful) };
        setting.dispatcher.busyCutoffPercent = useful;
        all.push_back(setting);
    }
    for (const std::int64_t reserve : { 0, 4, 10 }) {
        Setting setting { .name = fmt::format("reserve {}%", reserve) };
        setting.dispatcher.reservePercent = reserve;
        all.push_back(setting);
    }
    for (const std::int64_t step : { 0, 100, 600 }) {
        Setting setting { .name = fmt::format("priority {} ms", step) };
        setting.dispatcher.priorityDelay = { step };
        all.push_back(setting);
    }
    // Baselines: dispatch in order of arrival without refusing late jobs, and random placement ("at random", below).
    Setting arrival { .name = "baseline: by arrival" };
    arrival.dispatcher.priorityDelay = { 0 };
    arrival.dispatcher.busyCutoffPercent = 100'000;
    all.push_back(arrival);
    for (const double weight : { 0.3, 1.0 }) {
        Setting setting { .name = fmt::format("draw {}", weight) };
        setting.dispatcher.jitterWeight = weight;
        all.push_back(setting);
    }
    for (const std::int64_t states : { 2'400, 9'600 }) {
        Setting setting { .name = fmt::format("states {}", states) };
        setting.dispatcher.maxStateFramesPerSecond = states;
        all.push_back(setting);
    }
    Setting bySpeed { .name = "by speed" };
    bySpeed.dispatcher.placesBySpeed = true;
    all.push_back(bySpeed);
    for (const std::int64_t useful : { 150, 200, 300, 1'000 }) {
        Setting late = bySpeed;
        late.name = fmt::format("by speed, useful {}%", useful);
        late.dispatcher.busyCutoffPercent = useful;
        late.dispatcher.idleCutoffPercent = std::max<std::int64_t>(useful, 300);
        all.push_back(late);
    }
    Setting apart { .name = "apart" };
    apart.dispatcher.separatesInterference = true;
    all.push_back(apart);
    Setting random { .name = "baseline: at random" };
    random.dispatcher.jitterWeight = 1'000;
    all.push_back(random);
    return all;
}

struct Averages {
    ServedShares shares;
    double wastedShare { 0 };
    std::size_t duplicateRuns { 0 };
};

Averages measure(const Scene& scene, const Setting& setting, std::uint64_t seed)
{
    DispatchModel model({ .entries = scene.entries, .sidecars = scene.sidecars, .capacity = { .cpuMillis = scene.cores * 1'000, .memoryMb = 131'072 }, .largerEvery = scene.largerEvery, .runTimePercents = scene.runTimePercents, .interference = scene.interference, .orderTimeout = setting.minionRequestTimeout, .seed = seed, .dispatcher = setting.dispatcher, .runs = setting.runs });
    model.runFor({ 3'000 });
    DispatchLoad load(model, scene.entries, seed, scene.spread);
    const Milliseconds from = model.now();
    load.offer(scene.jobsPerSecond, from, scene.duration);
    if (scene.burstPerSecond > 0)
        load.offer(scene.burstPerSecond, from + scene.burstAt, scene.burstFor);
    model.delayOrders(scene.delayedRequestShare);
    for (int i = 0; i < scene.slowMinions; ++i)
        model.slowMinion(i, 6);
    for (int i = 0; i < scene.failingMinions; ++i)
        model.failMinion(i, 1);
    model.runFor(scene.duration + Milliseconds { 8'000 });
    const double room = 64.0 * scene.sidecars * static_cast<double>(scene.duration.count);
    return { .shares = servedShares(model, from, from + scene.duration),
        .wastedShare = model.wastedCoreMs() / room,
        .duplicateRuns = model.violations().size() };
}

void runMain(int argc, char** argv)
{
    cxxopts::Options options("dispatch-bench", "Simulates the outcomes of callers' jobs by scene and setting.");
    options.add_options()("seeds", "Seeds per scene and setting", cxxopts::value<std::uint64_t>()->default_value("3"))(
        "scene", "Run only this scene", cxxopts::value<std::string>()->default_value(""))(
        "setting", "Run only settings whose name starts with this", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = options.parse(argc, argv);
    const auto seeds = arguments["seeds"].as<std::uint64_t>();
    const auto only = arguments["scene"].as<std::string>();
    const auto prefix = arguments["setting"].as<std::string>();
    fmt::print("{:<18} {:<22} {:>9} {:>7} {:>8} {:>10} {:>7} {:>6} {:>6} {:>7}\n", "scene", "setting", "in aim", "late", "refused",
        "unfinished", "wasted", "twice", "worth", "lookups");
    for (const auto& scene : scenes()) {
        if (!only.empty() && scene.name != only)
            continue;
        for (const auto& setting : settings()) {
            if (setting.name.rfind(prefix, 0) != 0)
                continue;
            Averages sum;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const Averages one = measure(scene, setting, seed);
                sum.shares.inObjective += one.shares.inObjective / static_cast<double>(seeds);
                sum.shares.late += one.shares.late / static_cast<double>(seeds);
                sum.shares.refused += one.shares.refused / static_cast<double>(seeds);
                sum.shares.unfinished += one.shares.unfinished / static_cast<double>(seeds);
                sum.shares.worth += one.shares.worth / static_cast<double>(seeds);
                sum.shares.lookupWorth += one.shares.lookupWorth / static_cast<double>(seeds);
                sum.wastedShare += one.wastedShare / static_cast<double>(seeds);
                sum.duplicateRuns += one.duplicateRuns;
            }
            fmt::print("{:<18} {:<22} {:>9.3f} {:>7.3f} {:>8.3f} {:>10.3f} {:>7.3f} {:>6} {:>6.3f} {:>7.3f}\n", scene.name, setting.name,
                sum.shares.inObjective, sum.shares.late, sum.shares.refused, sum.shares.unfinished, sum.wastedShare,
                sum.duplicateRuns, sum.shares.worth, sum.shares.lookupWorth);
            std::fflush(stdout);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        runMain(argc, argv);
    } catch (const std::exception& exception) {
        fmt::print(stderr, "dispatch-bench: {}\n", exception.what());
        return 2;
    }
}
