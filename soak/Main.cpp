// Runs the real programs under faults drawn from a seed and checks the observations of callers, minions and operators. See
// docs/SOAK.md.

#include "Callers.h"
#include "Deployment.h"
#include "HostileClients.h"
#include "Judge.h"
#include "NearMisses.h"
#include "Operator.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace {

using namespace oleanderport;
using namespace oleanderport::soak;

constexpr int exitViolation = 1;
constexpr int exitError = 2;
constexpr Milliseconds pollPeriod { 20 };
constexpr int controlsWithReplacements = 5;
// Limit until a new deployment serves its first job. No guarantee depends on it.
constexpr Milliseconds startupTimeout { 60'000 };
// Three attempts with the longest timeout of 4 s, and the resend delays between them.
constexpr Milliseconds maxJobTime { 15'000 };

struct SoakOptions {
    std::filesystem::path build;
    std::filesystem::path folder;
    std::uint16_t basePort { 0 };
    // Also keep the folders of runs without a violation.
    bool keep { false };
};

// One seed's run.
class Soak {
public:
    Soak(const SoakOptions& options, std::uint64_t seed, const Shape& shape)
        : m_seed(seed)
        , m_plan(makePlan(seed, shape))
        , m_deployment(m_loop, { .build = options.build, .folder = options.folder, .basePort = options.basePort, .seed = seed, .shape = shape })
        , m_operator(m_loop, seed + 1, controls(), shape.successors)
        , m_callers(m_loop, seed + 2, entries(), shape.callers, shape.minionFaults || shape.impatientCallers ? longJobKinds() : usualJobKinds(), shape.impatientCallers ? Patience::Drawn : Patience::Full, shape.twinRequests ? Twins::Drawn : Twins::None)
        , m_probeCallers(m_loop, seed + 3, entries(), 1)
    {
    }

    Record run()
    {
        const auto pollTimer = m_loop.every(pollPeriod, [this] {
            recordStall();
            m_deployment.supervise();
        });
        m_deployment.startAll();
        m_operator.putConfig([this] { m_probeCallers.start(); });
        runUntil([this] { return servesAJob(); });
        m_probeCallers.stop();
        m_callers.start();
        m_operator.start();
        if (m_plan.shape.hostileClients) {
            m_hostileClients = std::make_unique<HostileClients>(m_loop, m_seed + 4, m_deployment.listenAddresses());
            m_hostileClients->start();
        }
        scheduleFaults();
        runFor(m_plan.length);
        // Wait for the jobs in flight, so that each is judged by its final answer.
        m_callers.drain();
        const Milliseconds limit = Clock::now() + maxJobTime;
        while (m_callers.inFlight() > 0 && Clock::now() < limit)
            runFor(pollPeriod);
        return finish();
    }

    const Plan& plan() const { return m_plan; }

private:
    std::vector<ControlAddress> controls()
    {
        std::vector<ControlAddress> list;
        for (const auto& name : m_deployment.names("control"))
            list.push_back({ name, m_deployment.address(name) });
        return list;
    }

    std::vector<EntryAddress> entries()
    {
        std::vector<EntryAddress> list;
        for (const auto& name : m_deployment.names("entry"))
            list.push_back({ name, m_deployment.address(name) });
        return list;
    }

    bool servesAJob() const
    {
        for (const auto& job : m_probeCallers.jobs()) {
            if (!job.attempts.empty() && job.attempts.back().status == 200)
                return true;
        }
        return false;
    }

    void runFor(Milliseconds time)
    {
        const auto timer = m_loop.once(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    template <typename Condition>
    void runUntil(Condition holds)
    {
        const Milliseconds limit = Clock::now() + startupTimeout;
        while (!holds()) {
            if (Clock::now() > limit)
                throw std::runtime_error("the deployment did not serve its first job in time");
            runFor(pollPeriod);
        }
    }

    // This process does little work, so a long gap between two polls is caused by the machine.
    void recordStall()
    {
        const Milliseconds now = Clock::now();
        if (m_lastPoll.count > 0 && now - m_lastPoll > m_longestStall.duration)
            m_longestStall = { .at = m_lastPoll, .duration = now - m_lastPoll };
        m_lastPoll = now;
    }

    void scheduleFaults()
    {
        const Milliseconds begin = Clock::now();
        for (const auto& fault : m_plan.faults) {
            if (fault.kind != FaultKind::EvacuateDataCentre)
                m_lastFaultEnd = std::max(m_lastFaultEnd, begin + fault.at + fault.duration);
            m_timers.push_back(m_loop.once(fault.at, [this, &fault] { injectFault(fault); }));
        }
    }

    void injectFault(const PlannedFault& fault)
    {
        if (fault.kind != FaultKind::EvacuateDataCentre) {
            m_deployment.injectFault(fault);
            return m_operator.setControls(controls());
        }
        m_operator.changeDataCentre(fault.target, true);
        m_timers.push_back(m_loop.once(fault.duration, [this, &fault] { m_operator.changeDataCentre(fault.target, false); }));
    }

    Record finish()
    {
        Record record;
        for (const Callers* callers : { &m_probeCallers, &m_callers })
            record.jobs.insert(record.jobs.end(), callers->jobs().begin(), callers->jobs().end());
        m_callers.stop();
        m_hostileClients.reset();
        record.peakResidentBytes = m_deployment.peakResidentBytes();
        record.operatorRequests.assign(m_operator.requests().begin(), m_operator.requests().end());
        record.reads = m_operator.reads();
        m_operator.stop();
        m_deployment.stopAll();
        record.runs = m_deployment.runs();
        record.faults = m_deployment.faults();
        record.unexpectedExits = m_deployment.unexpectedExits();
        record.lastFaultEnd = m_lastFaultEnd;
        record.longestStall = m_longestStall;
        for (const auto& fault : record.faults)
            record.lastFaultEnd = std::max(record.lastFaultEnd, fault.until);
        record.finished = Clock::now();
        return record;
    }

    std::uint64_t m_seed;
    Plan m_plan;
    EventLoop m_loop;
    Deployment m_deployment;
    Operator m_operator;
    Callers m_callers;
    // Sends jobs until the deployment serves the first one.
    Callers m_probeCallers;
    std::unique_ptr<HostileClients> m_hostileClients;
    std::vector<std::unique_ptr<EventLoop::Timer>> m_timers;
    Milliseconds m_lastFaultEnd {};
    Milliseconds m_lastPoll {};
    Stall m_longestStall;
};

bool usesDelay(FaultKind kind) { return kind == FaultKind::Delay || kind == FaultKind::CrashBehindCut || kind == FaultKind::LateReset; }

std::string describe(const Plan& plan)
{
    std::string text = fmt::format("{} control instances, {} entries, {} sidecars, {} data centres, {} callers{}\n", plan.shape.controls,
        plan.shape.entries, plan.shape.sidecars, plan.shape.dataCentres, plan.shape.callers, plan.shape.lateMinions ? ", late minions" : "");
    for (const auto& fault : plan.faults)
        text += fmt::format("{:>6} ms {} {} for {} ms{}\n", fault.at.count, faultKindName(fault.kind), fault.target, fault.duration.count,
            usesDelay(fault.kind) ? fmt::format(", delay {} ms", fault.delay.count) : std::string());
    return text;
}

std::string summary(const Record& record)
{
    int served = 0;
    int refused = 0;
    int resent = 0;
    for (const auto& job : record.jobs) {
        const int status = job.attempts.empty() ? 0 : job.attempts.back().status;
        served += isServed(job) ? 1 : 0;
        refused += !isServed(job) && (status == 503 || status == 429) ? 1 : 0;
        resent += job.attempts.size() > 1 ? 1 : 0;
    }
    const auto late = jobsAfterRecovery(record, {});
    std::size_t mostBytes = 0;
    for (const auto& [process, bytes] : record.peakResidentBytes)
        mostBytes = std::max(mostBytes, bytes);
    return fmt::format("{} jobs, {} served, {} refused, {} resent, {} runs, {} operator requests, {} reads, {} faults; after recovery {} of {} served; largest process {} MB; longest stall of the soak {} ms, from {} ms", record.jobs.size(),
        served, refused, resent, record.runs.size(), record.operatorRequests.size(), record.reads.size(), record.faults.size(),
        std::count_if(late.begin(), late.end(), [](const JobRecord* job) { return isServed(*job); }), late.size(), mostBytes / 1'000'000, record.longestStall.duration.count,
        record.longestStall.at.count);
}

// What timelines are read from, beside the logs (which have the time of day) and the runs of minions.
void writeRecord(const Record& record, const std::filesystem::path& file)
{
    std::ofstream out(file);
    out << fmt::format("clock {} is {} in logs\n", Clock::now().count, Clock::unixNow().count);
    for (const auto& fault : record.faults)
        out << fmt::format("fault {} {} {} {}\n", fault.from.count, fault.until.count, fault.kind, fault.process);
    for (const auto& job : record.jobs) {
        for (const auto& attempt : job.attempts)
            out << fmt::format("attempt {} {} {} {} {}\n", job.id, attempt.sent.count, attempt.ended.value_or(record.finished).count, attempt.entry, attempt.status);
    }
}

// Returns true when the run broke no guarantee; otherwise the run's folder is kept.
bool runSeed(const SoakOptions& options, std::uint64_t seed, const Shape& shape)
{
    SoakOptions own = options;
    own.folder = options.folder / fmt::format("seed-{}", seed);
    std::filesystem::remove_all(own.folder);
    std::filesystem::create_directories(own.folder);
    Soak soak(own, seed, shape);
    const Record record = soak.run();
    const auto violations = judge(record, {});
    writeRecord(record, own.folder / "record");
    fmt::print("seed {}: {}: {}\n", seed, violations.empty() ? "kept" : "BROKEN", summary(record));
    for (const auto& violation : violations)
        fmt::print("  {}: {}\n", violation.guarantee, violation.detail);
    const NearMisses misses = nearMisses(record);
    fmt::print("{}\n{}", describe(misses), tableOf(seed, misses));
    if (violations.empty() && !options.keep)
        std::filesystem::remove_all(own.folder);
    if (!violations.empty())
        fmt::print("{}  logs in {}\n", describe(soak.plan()), own.folder.string());
    std::fflush(stdout);
    return violations.empty();
}

int run(const cxxopts::ParseResult& arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto first = arguments["seed"].as<std::uint64_t>();
    const auto count = arguments["count"].as<std::uint64_t>();
    const SoakOptions options { .build = arguments["build"].as<std::string>(),
        .folder = arguments["folder"].as<std::string>(),
        .basePort = arguments["base-port"].as<std::uint16_t>(),
        .keep = arguments.count("keep") > 0 };
    std::uint64_t broken = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        Shape shape = makeShape(seed);
        if (arguments.count("sidecars") > 0)
            shape.sidecars = arguments["sidecars"].as<int>();
        if (arguments.count("replacements") > 0) {
            shape.replacements = arguments["replacements"].as<int>();
            shape.controls = controlsWithReplacements;
        }
        shape.minionFaults = arguments.count("minion-faults") > 0;
        shape.entryFaults = arguments.count("entry-faults") > 0;
        shape.impatientCallers = arguments.count("impatient-callers") > 0;
        shape.hardLoad = arguments.count("hard-load") > 0;
        shape.hostileClients = arguments.count("hostile-clients") > 0;
        shape.twinRequests = arguments.count("twin-requests") > 0;
        shape.oddReports = arguments.count("odd-reports") > 0;
        shape.successors = arguments.count("successors") > 0;
        shape.minionFaults = shape.minionFaults || shape.successors;
        if (arguments.count("plan") > 0)
            fmt::print("seed {}: {}", seed, describe(makePlan(seed, shape)));
        else
            broken += runSeed(options, seed, shape) ? 0 : 1;
    }
    if (arguments.count("plan") == 0)
        fmt::print("{} passed, {} failed\n", count - broken, broken);
    return broken > 0 ? exitViolation : 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("soak", "Runs the real programs under faults drawn from a seed.");
        options.add_options()("seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "count", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "build", "Folder with the programs", cxxopts::value<std::string>()->default_value("build"))(
            "folder", "Folder for logs and data", cxxopts::value<std::string>()->default_value("soak-runs"))(
            "base-port", "First of a few hundred ports", cxxopts::value<std::uint16_t>()->default_value("24000"))(
            "sidecars", "Number of sidecars, instead of the one drawn from the seed", cxxopts::value<int>())(
            "replacements", "Number of control instances to replace; the deployment then has five", cxxopts::value<int>())(
            "minion-faults", "Also faults of minions and of single paths")(
            "entry-faults", "Also slow entries, and late news of callers that left")(
            "hard-load", "Entries run with the settings of [placement] and shutdown.accept_ms")(
            "impatient-callers", "Callers come back after 0 to 1,300 ms, entries and sidecars are lost together, and minions take their grace")(
            "hostile-clients", "Clients outside the limits at every address of every process")(
            "twin-requests", "Some requests are sent twice at the same moment, to one entry or to two")(
            "odd-reports", "Minions' reports overtake each other, and other writers send some")(
            "successors", "Faults of minions, and minions that crash are followed by others at their address")(
            "keep", "Keep the logs and data of every run")("plan", "Only print the faults of each seed")(
            "help", "Show this help");
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            fmt::print("{}", options.help());
            return 0;
        }
        return run(arguments);
    } catch (const std::exception& exception) {
        fmt::print(stderr, "soak: {}\n", exception.what());
        return exitError;
    }
}
