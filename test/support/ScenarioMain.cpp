// Runs scenarios, several in parallel, and prints a verdict for each.

#include "support/Scenario.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

using namespace oleanderport;

constexpr int portsPerRun = 100;

// One scenario in its own process, so that a crash of one run does not end the others.
struct RunningScenario {
    std::string name;
    int slot { 0 };
    int output { -1 };
};

// A scenario from a file or drawn from a seed.
struct PlannedScenario {
    std::filesystem::path file;
    std::optional<std::uint64_t> seed;

    std::string name() const { return seed ? fmt::format("random-{}", *seed) : file.stem().string(); }
};

struct RunnerOptions {
    std::filesystem::path build;
    int basePort { 0 };
    std::size_t jobs { 1 };
    Milliseconds conditionTimeout {};
    std::set<std::string> knownRed;
};

struct Counts {
    int passed { 0 };
    int failed { 0 };
    int knownRed { 0 };
};

// Reads the names from lines "scenario NAME: ..." in the list of known faults.
std::set<std::string> readKnownRed(const std::string& path)
{
    std::set<std::string> names;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string kind;
        std::string name;
        words >> kind >> name;
        if (kind == "scenario" && !name.empty())
            names.insert(name.substr(0, name.find(':')));
    }
    return names;
}

std::string readAll(int descriptor)
{
    std::string text;
    char buffer[4096];
    ssize_t size = 0;
    while ((size = read(descriptor, buffer, sizeof(buffer))) > 0)
        text.append(buffer, static_cast<std::size_t>(size));
    close(descriptor);
    return text;
}

class Runner {
public:
    explicit Runner(const RunnerOptions& options)
        : m_options(options)
    {
        for (int slot = 0; slot < static_cast<int>(options.jobs); ++slot)
            m_freeSlots.push_back(slot);
    }

    Counts run(std::deque<PlannedScenario> files)
    {
        while (!files.empty() || !m_running.empty()) {
            while (!files.empty() && !m_freeSlots.empty()) {
                begin(files.front());
                files.pop_front();
            }
            finishOne();
        }
        return m_counts;
    }

private:
    void begin(const PlannedScenario& planned)
    {
        const int slot = m_freeSlots.front();
        m_freeSlots.pop_front();
        std::FILE* const output = std::tmpfile();
        const int descriptor = fileno(output);
        std::fflush(stdout);
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const std::string fault = runScenario({ .file = planned.file,
                .seed = planned.seed,
                .build = m_options.build,
                .basePort = static_cast<std::uint16_t>(m_options.basePort + slot * portsPerRun),
                .conditionTimeout = m_options.conditionTimeout });
            [[maybe_unused]] const auto written = write(descriptor, fault.data(), fault.size());
            _exit(fault.empty() ? 0 : 1);
        }
        m_running[pid] = { .name = planned.name(), .slot = slot, .output = dup(descriptor) };
        std::fclose(output);
    }

    void finishOne()
    {
        int status = 0;
        const pid_t pid = waitpid(-1, &status, 0);
        const auto found = m_running.find(pid);
        if (found == m_running.end())
            return;
        lseek(found->second.output, 0, SEEK_SET);
        std::string fault = readAll(found->second.output);
        if (fault.empty() && status != 0)
            fault = fmt::format("the run ended with status {}", status);
        print(found->second.name, fault);
        m_freeSlots.push_back(found->second.slot);
        m_running.erase(found);
    }

    void print(const std::string& name, const std::string& fault)
    {
        const bool known = m_options.knownRed.contains(name);
        if (fault.empty()) {
            ++m_counts.passed;
            fmt::print("PASS {}{}\n", name, known ? " (listed in KNOWN-RED.txt: remove it there)" : "");
        } else if (known) {
            ++m_counts.knownRed;
            fmt::print("KNOWN RED {}: {}\n", name, fault);
        } else {
            ++m_counts.failed;
            fmt::print("FAIL {}: {}\n", name, fault);
        }
        std::fflush(stdout);
    }

    RunnerOptions m_options;
    std::deque<int> m_freeSlots;
    std::map<pid_t, RunningScenario> m_running;
    Counts m_counts;
};

int runMain(int argc, char** argv)
{
    cxxopts::Options options("scenario-runner", "Runs scenarios against the real processes.");
    options.add_options()("build", "Folder with the built programs", cxxopts::value<std::string>()->default_value("build"))(
        "base-port", "First port; each parallel run uses a hundred",
        cxxopts::value<int>()->default_value("21000"))(
        "jobs", "Scenarios run in parallel", cxxopts::value<std::size_t>()->default_value("1"))(
        "patience", "Timeout of the wait for one condition, in milliseconds",
        cxxopts::value<std::int64_t>()->default_value("60000"))("known-red", "List of known faults", cxxopts::value<std::string>()->default_value("KNOWN-RED.txt"))(
        "random", "Seeds of random schedules, separated by commas",
        cxxopts::value<std::vector<std::uint64_t>>())("files", "Scenarios", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "files" });
    const auto arguments = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::deque<PlannedScenario> planned;
    if (arguments.count("files") > 0) {
        for (const auto& file : arguments["files"].as<std::vector<std::string>>())
            planned.push_back({ .file = file });
    }
    if (arguments.count("random") > 0) {
        for (const auto seed : arguments["random"].as<std::vector<std::uint64_t>>())
            planned.push_back({ .seed = seed });
    }
    Runner runner({ .build = arguments["build"].as<std::string>(),
        .basePort = arguments["base-port"].as<int>(),
        .jobs = arguments["jobs"].as<std::size_t>(),
        .conditionTimeout = { arguments["patience"].as<std::int64_t>() },
        .knownRed = readKnownRed(arguments["known-red"].as<std::string>()) });
    const Counts counts = runner.run(planned);
    if (counts.knownRed > 0)
        fmt::print("{} known red\n", counts.knownRed);
    fmt::print("{} passed, {} failed\n", counts.passed, counts.failed);
    return counts.failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runMain(argc, argv);
    } catch (const std::exception& exception) {
        fmt::print(stderr, "scenario-runner: {}\n", exception.what());
        return 2;
    }
}
