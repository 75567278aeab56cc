// Runs a complete system on this machine, offers seeded work and compares the response times with an ideal single queue.

#include "Deployment.h"
#include "Load.h"
#include "Work.h"

#include "base/Log.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <numeric>
#include <unistd.h>

namespace {

using namespace oleanderport;
using namespace oleanderport::bench;

constexpr Milliseconds answerLimit { 60'000 };
constexpr int largeJob = 990;
constexpr int mediumJob = 100;
constexpr double warmUpLoad = 0.5;
constexpr double warmUpSeconds = 4;
constexpr int hopProbes = 200;
constexpr std::int64_t hopProbeGapMs = 10;

struct BenchOptions {
    std::uint64_t seed { 1 };
    double seconds { 10 };
    double meanRunMs { 100 };
    int repeats { 1 };
    std::vector<double> loads;
    std::vector<int> sizes;
};

double meanOf(const std::vector<double>& values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::lround(part * static_cast<double>(values.size() - 1)));
    return values[index];
}

std::vector<double> completed(const std::vector<double>& times)
{
    std::vector<double> kept;
    std::copy_if(times.begin(), times.end(), std::back_inserter(kept), [](double time) { return time >= 0; });
    return kept;
}

// Metrics and CPU time of the processes so far.
struct Usage {
    std::map<std::string, double> entry;
    std::map<std::string, double> sidecar;
    double entryMicroseconds { 0 };
    double sidecarMicroseconds { 0 };
    double controlMicroseconds { 0 };
};

Usage usageOf(const Deployment& deployment)
{
    return { .entry = readCounters(deployment.addressesOf(ProcessKind::Entry)),
        .sidecar = readCounters(deployment.addressesOf(ProcessKind::Sidecar)),
        .entryMicroseconds = deployment.cpuMicroseconds(ProcessKind::Entry),
        .sidecarMicroseconds = deployment.cpuMicroseconds(ProcessKind::Sidecar),
        .controlMicroseconds = deployment.cpuMicroseconds(ProcessKind::Control) };
}

double increase(const std::map<std::string, double>& before, const std::map<std::string, double>& after,
    const std::string& name)
{
    const auto valueIn = [&name](const std::map<std::string, double>& counters) {
        const auto found = counters.find(name);
        return found == counters.end() ? 0 : found->second;
    };
    return valueIn(after) - valueIn(before);
}

class Bench {
public:
    Bench(const DeploymentOptions& deployment, const BenchOptions& options)
        : m_size(deployment)
        , m_options(options)
        , m_deployment(deployment)
    {
    }

    Result<void> start()
    {
        BOOST_OUTCOME_TRYV(m_deployment.start());
        BOOST_OUTCOME_TRYV(waitForSidecars());
        // Warm-up: a new deployment starts slowly by design, and that is not measured.
        run(makeWork({ .seed = m_options.seed,
            .load = warmUpLoad,
            .slots = slots(),
            .meanRunMs = m_options.meanRunMs,
            .seconds = warmUpSeconds,
            .team = "quiet",
            .entries = m_size.entries }));
        // Response time of jobs with zero run time on an idle system: the cost of the hops that no policy can avoid.
        std::vector<WorkJob> probes;
        probes.reserve(hopProbes);
        for (int i = 0; i < hopProbes; ++i)
            probes.push_back({ .dueMs = hopProbeGapMs * i, .entry = i % m_size.entries, .team = "quiet", .caller = "quiet-1", .runMs = { 0 } });
        m_hopsMs = percentile(run(probes).responseTimesMs, 0.5);
        fmt::print("hops: {:.2f} ms (median of {} jobs without run time, idle)\n\n", m_hopsMs, hopProbes);
        return boost::outcome_v2::success();
    }

    void responseTimes()
    {
        fmt::print("| load | tasks a job | jobs | mean ms | / fifo | / fair | p99 ms | / fifo | / fair | lost | exchanges a "
                   "start | wasted a start | us a start, entry | sidecar | control |\n"
                   "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (const double load : m_options.loads) {
            for (const int size : m_options.sizes) {
                for (int repeat = 0; repeat < m_options.repeats; ++repeat)
                    responseTime(load, size, m_options.seed + static_cast<std::uint64_t>(repeat));
            }
        }
    }

    // Measures one-task jobs of one team alone, and again while another team offers ten times its share in large jobs.
    void fairness()
    {
        fmt::print("\n| jobs of the quiet team | mean ms | p99 ms | loud jobs complete | loud refused |\n|---|---|---|---|---|\n");
        constexpr double quietLoad = 0.3;
        constexpr double loudLoad = 5;
        for (int repeat = 0; repeat < m_options.repeats; ++repeat) {
            WorkOptions options { .seed = m_options.seed + static_cast<std::uint64_t>(repeat),
                .load = quietLoad,
                .slots = slots(),
                .meanRunMs = m_options.meanRunMs,
                .seconds = m_options.seconds,
                .team = "quiet",
                .entries = m_size.entries };
            const auto quiet = makeWork(options);
            const auto alone = run(quiet);
            options.team = "loud";
            options.load = loudLoad;
            options.tasksPerJob = mediumJob;
            auto both = makeWork(options);
            const std::size_t loudJobs = both.size();
            both.insert(both.end(), quiet.begin(), quiet.end());
            std::stable_sort(
                both.begin(), both.end(), [](const WorkJob& a, const WorkJob& b) { return a.dueMs < b.dueMs; });
            const auto together = run(both);
            std::vector<double> quietTimes;
            std::size_t loudComplete = 0;
            for (std::size_t i = 0; i < both.size(); ++i) {
                if (both[i].team == "quiet")
                    quietTimes.push_back(together.responseTimesMs[i]);
                else if (together.responseTimesMs[i] >= 0)
                    ++loudComplete;
            }
            printFairness("alone", alone.responseTimesMs, 0, 0);
            printFairness("beside the loud team", quietTimes, loudComplete, loudJobs - loudComplete);
        }
    }

private:
    int slots() const { return m_size.minions * m_size.slots; }

    LoadResult run(const std::vector<WorkJob>& work)
    {
        return offerLoad(work, m_deployment.entries(), fmt::format("run-{}", ++m_runs), answerLimit);
    }

    Result<void> waitForSidecars()
    {
        constexpr int maxPolls = 100;
        const auto expected = static_cast<double>(m_size.entries * m_size.minions);
        for (int i = 0; i < maxPolls; ++i) {
            if (readCounters(m_deployment.entries())["sidecars_polling"] >= expected)
                return boost::outcome_v2::success();
            usleep(100'000);
        }
        return Error { .code = ErrorCode::Unavailable,
            .ran = Ran::No,
            .step = "bench.wait",
            .peer = {},
            .message = "not every sidecar was polling every entry in time" };
    }

    void responseTime(double load, int size, std::uint64_t seed)
    {
        const auto work = makeWork({ .seed = seed,
            .load = load,
            .slots = slots(),
            .tasksPerJob = size,
            .meanRunMs = m_options.meanRunMs,
            // Large jobs are few, so they are offered for longer to get enough samples.
            .seconds = size == largeJob ? m_options.seconds * 2 : m_options.seconds,
            .team = "quiet",
            .entries = m_size.entries });
        const Usage before = usageOf(m_deployment);
        const LoadResult result = run(work);
        const Usage after = usageOf(m_deployment);
        for (const auto& [reason, count] : result.reasons)
            fmt::print(stderr, "{} jobs: {}\n", count, reason);
        auto fifo = idealResponseTimes(work, slots(), QueueOrder::Arrival);
        auto fair = idealResponseTimes(work, slots(), QueueOrder::Fair);
        for (auto* ideal : { &fifo, &fair }) {
            for (auto& time : *ideal)
                time += m_hopsMs;
        }
        const auto times = completed(result.responseTimesMs);
        const double mean = meanOf(times);
        const double p99 = percentile(times, 0.99);
        const double starts = std::max(increase(before.sidecar, after.sidecar, "starts_total"), 1.0);
        fmt::print("| {:.0f}% | {} | {} | {:.1f} | {:.3f} | {:.3f} | {:.1f} | {:.3f} | {:.3f} | {} | {:.2f} | {:.3f} | "
                   "{:.0f} | {:.0f} | {:.0f} |\n",
            load * 100, size, work.size(), mean, mean / meanOf(fifo), mean / meanOf(fair), p99,
            p99 / percentile(fifo, 0.99), p99 / percentile(fair, 0.99), work.size() - times.size(),
            increase(before.entry, after.entry, "exchanges_total") / starts,
            increase(before.entry, after.entry, "exchanges_empty_total") / starts,
            (after.entryMicroseconds - before.entryMicroseconds) / starts,
            (after.sidecarMicroseconds - before.sidecarMicroseconds) / starts,
            (after.controlMicroseconds - before.controlMicroseconds) / starts);
        std::fflush(stdout);
    }

    static void printFairness(
        const char* name, const std::vector<double>& all, std::size_t loudComplete, std::size_t loudRefused)
    {
        const auto times = completed(all);
        fmt::print("| {}: {} of {} | {:.1f} | {:.1f} | {} | {} |\n", name, times.size(), all.size(), meanOf(times),
            percentile(times, 0.99), loudComplete, loudRefused);
        std::fflush(stdout);
    }

    DeploymentOptions m_size;
    BenchOptions m_options;
    Deployment m_deployment;
    double m_hopsMs { 0 };
    int m_runs { 0 };
};

std::string folderOf(const std::string& program)
{
    const auto slash = program.rfind('/');
    return slash == std::string::npos ? "." : program.substr(0, slash);
}

int runMain(int argc, char** argv)
{
    cxxopts::Options options("oleanderport-bench", "Measures a complete system on this machine.");
    options.add_options()("seed", "Seed of the work", cxxopts::value<std::uint64_t>()->default_value("1"))("seconds",
        "Length of each run in seconds", cxxopts::value<double>()->default_value("10"))("run-ms", "Mean run time of a task in milliseconds",
        cxxopts::value<double>()->default_value("100"))("repeats", "Runs of each case, with consecutive seeds",
        cxxopts::value<int>()->default_value("1"))("load", "Shares of the slots to keep busy",
        cxxopts::value<std::vector<double>>()->default_value("0.5,0.8,0.95"))("tasks", "Tasks per job",
        cxxopts::value<std::vector<int>>()->default_value("1,100,990"))("port", "First port",
        cxxopts::value<int>()->default_value("26000"))("minions", "Minions", cxxopts::value<int>()->default_value("11"))(
        "prefetch", "Prefetch of each sidecar", cxxopts::value<int>()->default_value("2"))(
        "fairness", "Also measure fairness between teams")("help", "Print this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        fmt::print("{}\n", options.help());
        return 0;
    }
    configureLog(LogLevel::Warning, "bench", "bench");
    std::signal(SIGPIPE, SIG_IGN);
    Bench bench({ .programs = folderOf(argv[0]),
                    .folder = fmt::format("/tmp/oleanderport-bench-{}", getpid()),
                    .basePort = arguments["port"].as<int>(),
                    .minions = arguments["minions"].as<int>(),
                    .prefetch = arguments["prefetch"].as<int>() },
        { .seed = arguments["seed"].as<std::uint64_t>(),
            .seconds = arguments["seconds"].as<double>(),
            .meanRunMs = arguments["run-ms"].as<double>(),
            .repeats = arguments["repeats"].as<int>(),
            .loads = arguments["load"].as<std::vector<double>>(),
            .sizes = arguments["tasks"].as<std::vector<int>>() });
    const auto started = bench.start();
    if (!started.has_value()) {
        logError(LogLevel::Error, started.assume_error());
        return 1;
    }
    bench.responseTimes();
    if (arguments.count("fairness") > 0)
        bench.fairness();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runMain(argc, argv);
    } catch (const std::exception& exception) {
        fmt::print(stderr, "oleanderport-bench: {}\n", exception.what());
        return 2;
    }
}
