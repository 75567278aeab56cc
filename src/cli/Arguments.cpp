#include "cli/Arguments.h"

#include <fmt/format.h>

#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace oleanderport {

namespace {

    constexpr const char* controlVariable = "OLEANDERPORT_CONTROL";

} // namespace

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

std::string requiredText(const cxxopts::ParseResult& arguments, const std::string& option)
{
    if (arguments.count(option) == 0)
        throw std::runtime_error(fmt::format("--{} is missing; see --help", option));
    return arguments[option].as<std::string>();
}

void addControlOption(cxxopts::Options& options)
{
    options.add_options()("control",
        "IP:port of each control instance, separated by commas; default: the environment variable OLEANDERPORT_CONTROL",
        cxxopts::value<std::vector<std::string>>());
}

std::vector<std::string> controlPeers(const cxxopts::ParseResult& arguments)
{
    std::vector<std::string> peers;
    if (arguments.count("control") > 0) {
        peers = arguments["control"].as<std::vector<std::string>>();
    } else if (const char* text = std::getenv(controlVariable)) {
        std::istringstream stream(text);
        for (std::string peer; std::getline(stream, peer, ',');)
            peers.push_back(peer);
    }
    std::erase(peers, "");
    if (peers.empty())
        throw std::runtime_error(fmt::format("no control instance given: pass --control or set {}", controlVariable));
    return peers;
}

} // namespace oleanderport
