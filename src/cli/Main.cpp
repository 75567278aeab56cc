#include "cli/Command.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

namespace {

using namespace oleanderport;

void printHelp()
{
    fmt::print("oleanderport: command-line tool for callers and operators\n\n");
    for (const auto& command : commands())
        fmt::print("  {:<12} {}\n", command.name, command.summary);
    fmt::print("\nSee 'oleanderport COMMAND --help'. Exit codes: 0 done, 1 refused or failed, 2 invalid usage, "
               "3 no answer.\n");
}

ExitCode runMain(const std::vector<std::string>& arguments)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
        printHelp();
        return arguments.empty() ? ExitCode::BadUsage : ExitCode::Success;
    }
    const auto& all = commands();
    const auto command = std::find_if(
        all.begin(), all.end(), [&arguments](const Command& each) { return each.name == arguments[0]; });
    if (command == all.end()) {
        fmt::print(stderr, "oleanderport: unknown command '{}'; see 'oleanderport help'\n", arguments[0]);
        return ExitCode::BadUsage;
    }
    return command->run(arguments);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return static_cast<int>(runMain(std::vector<std::string>(argv + 1, argv + argc)));
    } catch (const std::exception& exception) {
        fmt::print(stderr, "oleanderport: {}\n", exception.what());
        return static_cast<int>(ExitCode::BadUsage);
    }
}
