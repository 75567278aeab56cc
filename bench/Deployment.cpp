#include "Deployment.h"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace oleanderport::bench {

namespace {

    constexpr int entryOffset = 10;
    constexpr int sidecarOffset = 100;
    constexpr int minionOffset = 200;
    constexpr int maxPolls = 100;
    constexpr std::chrono::milliseconds pollInterval { 100 };
    constexpr double nanosecondsPerMicrosecond = 1'000;
    constexpr const char* environment = R"(environment = "bench"
data_centres = ["dc-1", "dc-2", "dc-3"]
[[team]]
name = "quiet"
weight = 1
callers = ["quiet-1", "quiet-2"]
[[team]]
name = "loud"
weight = 1
callers = ["loud-1", "loud-2"]
[[service]]
name = "work"
max_tasks_per_job = 990
)";

    bool ended(pid_t pid) { return waitpid(pid, nullptr, WNOHANG) != 0; }

} // namespace

Deployment::Deployment(const DeploymentOptions& options)
    : m_options(options)
{
    std::filesystem::remove_all(m_options.folder);
    std::filesystem::create_directories(m_options.folder);
}

Deployment::~Deployment()
{
    for (const auto& child : m_processes)
        kill(child.pid, SIGTERM);
    for (const auto& child : m_processes) {
        int left = maxPolls;
        while (!ended(child.pid) && --left > 0)
            std::this_thread::sleep_for(pollInterval);
        if (left > 0)
            continue;
        kill(child.pid, SIGKILL);
        waitpid(child.pid, nullptr, 0);
    }
    std::filesystem::remove_all(m_options.folder);
}

std::string Deployment::address(int offset) const { return fmt::format("127.0.0.1:{}", m_options.basePort + offset); }

pid_t Deployment::launch(const std::vector<std::string>& command) const
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    const std::string log = m_options.folder + "/log";
    const pid_t pid = fork();
    if (pid != 0)
        return pid;
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

void Deployment::startDaemon(ProcessKind kind, const std::string& role, int number)
{
    const int offset = kind == ProcessKind::Control ? 0 : kind == ProcessKind::Entry ? entryOffset
                                                                                     : sidecarOffset;
    const std::string name = fmt::format("{}-{}", role, number);
    const std::string file = fmt::format("{}/{}.toml", m_options.folder, name);
    std::ofstream(file) << fmt::format("[process]\nrole = \"{}\"\ninstance = \"{}\"\nlisten = \"{}\"\n"
                                       "data_centre = \"dc-{}\"\nlog_level = \"warning\"\n"
                                       "[control]\npeers = [\"{}\"]\ndata_folder = \"{}/{}\"\n",
        role, name, address(offset + number), 1 + number % m_options.dataCentres, address(0), m_options.folder, name)
                        << (kind == ProcessKind::Control ? "bootstrap = true\n" : "")
                        << (kind == ProcessKind::Sidecar ? fmt::format("[sidecar]\nprefetch = {}\n", m_options.prefetch) : "");
    m_processes.push_back({ .kind = kind,
        .pid = launch({ m_options.programs + "/oleanderportd", "--settings", file }),
        .address = address(offset + number) });
}

void Deployment::startMinion(int number)
{
    const std::string listen = address(minionOffset + number);
    m_processes.push_back({ .kind = ProcessKind::Minion,
        .pid = launch({ m_options.programs + "/fake-minion", "--listen", listen, "--sidecar",
            address(sidecarOffset + number), "--service", "work", "--name", fmt::format("minion-{}", number), "--slots",
            fmt::format("{}", m_options.slots), "--connections", fmt::format("{}", m_options.connections) }),
        .address = listen });
}

Result<void> Deployment::start()
{
    startDaemon(ProcessKind::Control, "control", 0);
    const std::string file = m_options.folder + "/environment.toml";
    std::ofstream(file) << environment;
    for (int i = 0; i < maxPolls; ++i) {
        const pid_t pid
            = launch({ m_options.programs + "/oleanderport", "apply", "--control", address(0), "--file", file });
        int status = -1;
        waitpid(pid, &status, 0);
        if (status == 0)
            break;
        if (i + 1 == maxPolls) {
            return Error { .code = ErrorCode::Unavailable,
                .ran = Ran::Unknown,
                .step = "bench.apply",
                .peer = address(0),
                .message = "the control instance did not accept the environment in time" };
        }
        std::this_thread::sleep_for(pollInterval);
    }
    for (int i = 0; i < m_options.entries; ++i)
        startDaemon(ProcessKind::Entry, "entry", i);
    for (int i = 0; i < m_options.minions; ++i) {
        startDaemon(ProcessKind::Sidecar, "sidecar", i);
        startMinion(i);
    }
    return boost::outcome_v2::success();
}

std::vector<std::string> Deployment::addressesOf(ProcessKind kind) const
{
    std::vector<std::string> addresses;
    for (const auto& child : m_processes) {
        if (child.kind == kind)
            addresses.push_back(child.address);
    }
    return addresses;
}

double Deployment::cpuMicroseconds(ProcessKind kind) const
{
    double sum = 0;
    for (const auto& child : m_processes) {
        if (child.kind != kind)
            continue;
        // Finer than /proc/PID/stat, which counts in ticks of 10 ms. The processes are single-threaded.
        std::ifstream file(fmt::format("/proc/{}/schedstat", child.pid));
        double nanoseconds = 0;
        file >> nanoseconds;
        sum += nanoseconds / nanosecondsPerMicrosecond;
    }
    return sum;
}

} // namespace oleanderport::bench
