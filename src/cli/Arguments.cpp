#include "cli/Arguments.h"

#include <fmt/format.h>

namespace oleanderport {

std::optional<cxxopts::ParseResult> parseArguments(
    cxxopts::Options& options, const std::vector<std::string>& arguments)
{
    options.add_options()("help", "Show this help");
    std::vector<const char*> pointers;
    pointers.reserve(arguments.size());
    for (const auto& argument : arguments)
        pointers.push_back(argument.c_str());
    auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return std::nullopt;
    }
    return parsed;
}

void addOutputOption(cxxopts::Options& options)
{
    options.add_options()("output", "text or json", cxxopts::value<std::string>()->default_value("text"));
}

bool wantsJson(const cxxopts::ParseResult& arguments)
{
    const auto output = arguments["output"].as<std::string>();
    if (output != "text" && output != "json")
        throw std::runtime_error("--output: expected text or json");
    return output == "json";
}

void addControlOption(cxxopts::Options& options)
{
    options.add_options()("control", "IP:port of each control instance, separated by commas",
        cxxopts::value<std::vector<std::string>>());
}

std::vector<std::string> controlPeers(const cxxopts::ParseResult& arguments)
{
    return arguments["control"].as<std::vector<std::string>>();
}

} // namespace oleanderport
