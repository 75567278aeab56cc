#include "base/LogLines.h"
#include "cli/Arguments.h"
#include "cli/Command.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace oleanderport {

ExitCode runExplain(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport explain", "Prints the lines of saved logs about one request or job in order of time.");
    options.add_options()("request", "Id of the caller's request", cxxopts::value<std::string>()->default_value(""))(
        "job", "Name of the job", cxxopts::value<std::string>()->default_value(""))(
        "files", "Log files of all processes; default: standard input", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "files" });
    options.positional_help("FILE...");
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const std::string request = (*parsed)["request"].as<std::string>();
    const std::string job = (*parsed)["job"].as<std::string>();
    if (request.empty() == job.empty()) {
        fmt::print(stderr, "oleanderport explain: expected --request ID or --job NAME\n");
        return ExitCode::BadUsage;
    }
    std::vector<LogLine> lines;
    if (parsed->count("files") == 0)
        addLogLines(lines, std::cin);
    else {
        for (const auto& path : (*parsed)["files"].as<std::vector<std::string>>()) {
            std::ifstream file(path);
            if (!file) {
                fmt::print(stderr, "oleanderport explain: {} cannot be read\n", path);
                return ExitCode::BadUsage;
            }
            addLogLines(lines, file);
        }
    }
    const auto matching = linesAbout(lines, request, job);
    if (matching.empty()) {
        fmt::print(stderr, "oleanderport explain: none of the {} log lines is about it\n", lines.size());
        return ExitCode::Refused;
    }
    for (const auto& line : matching)
        fmt::print("{}\n", line.text);
    return ExitCode::Success;
}

} // namespace oleanderport
