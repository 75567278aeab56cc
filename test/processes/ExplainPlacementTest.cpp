#include "PlatformProcesses.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace oleanderport;
using namespace oleanderport::platform;

namespace {

struct ToolRun {
    int exitCode { 0 };
    std::string output;
};

// The minion of the test's own loop is not needed while the tool runs.
ToolRun runTool(const std::string& arguments)
{
    ToolRun run;
    std::FILE* pipe = popen(fmt::format("{}/oleanderport {} 2>&1", BUILD_FOLDER, arguments).c_str(), "r");
    cr_assert(pipe != nullptr);
    char buffer[1024];
    while (std::fgets(buffer, sizeof buffer, pipe))
        run.output += buffer;
    run.exitCode = WEXITSTATUS(pclose(pipe));
    return run;
}

void assertContains(const ToolRun& run, const char* text) { cr_assert(run.output.find(text) != std::string::npos, "expected '%s', got '%s'", text, run.output.c_str()); }

} // namespace

// Guards against a command that submits the job, or that explains nothing of a refused one.
Test(ExplainPlacement, tellsOfOneJobThatIsAcceptedAndOneThatIsRefused)
{
    PlatformProcesses processes;
    processes.becomeReady();
    processes.minion.started.clear();
    const std::string common = fmt::format("explain-placement --entry {} --queue r1 --tasks 3 --memory 1 --run-time 400", processes.entryRpc);
    const ToolRun accepted = runTool(common + " --cpu 1000");
    cr_assert(accepted.exitCode == 0);
    assertContains(accepted, "would be accepted");
    assertContains(accepted, "3 tasks would go to");
    // The refusal needs two seconds of knowledge about the service.
    const Milliseconds until = Clock::now() + Milliseconds { 2'500 };
    runUntil(processes.loop, [until] { return Clock::now() >= until; });
    const ToolRun refused = runTool(common + " --cpu 17000");
    cr_assert(refused.exitCode == 0);
    assertContains(refused, "would be refused: a task needs more than the capacity of any minion");
    assertContains(refused, "excluded, room");
    const ToolRun json = runTool(common + " --cpu 1000 --output json");
    assertContains(json, "\"placements\"");
    const ToolRun unknown = runTool(fmt::format("explain-placement --entry {} --queue none", processes.entryRpc));
    cr_assert(unknown.exitCode == 1);
    assertContains(unknown, "no queue is named none");
    cr_assert(processes.minion.started.empty(), "a task was started");
}
