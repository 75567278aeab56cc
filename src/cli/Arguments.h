#pragma once

#include <cxxopts.hpp>

#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// Parses the arguments of one subcommand; the first one is its name. Prints the help and returns nothing when help is
// asked for. Throws cxxopts' exceptions on wrong arguments, which main() turns into exit code 2.
std::optional<cxxopts::ParseResult> parseArguments(cxxopts::Options&, const std::vector<std::string>& arguments);

// Adds --output (text or json).
void addOutputOption(cxxopts::Options&);
bool wantsJson(const cxxopts::ParseResult&);

// Adds --control with the addresses of the control instances.
void addControlOption(cxxopts::Options&);
std::vector<std::string> controlPeers(const cxxopts::ParseResult&);

} // namespace oleanderport
