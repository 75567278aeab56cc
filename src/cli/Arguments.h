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

// Value of an option that must be given; throws a message that names it otherwise.
std::string requiredText(const cxxopts::ParseResult&, const std::string& option);

// Adds --control with the addresses of the control instances. When it is not given, the environment variable
// OLEANDERPORT_CONTROL is read instead.
void addControlOption(cxxopts::Options&);
std::vector<std::string> controlPeers(const cxxopts::ParseResult&);

} // namespace oleanderport
