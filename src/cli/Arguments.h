#pragma once

#include <cxxopts.hpp>

#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// Parses the arguments of a subcommand; the first one is its name. With --help, prints the help and returns nothing. Throws
// the exceptions of cxxopts on invalid arguments, which main() turns into exit code 2.
std::optional<cxxopts::ParseResult> parseArguments(cxxopts::Options&, const std::vector<std::string>& arguments);

// Adds --output (text or json).
void addOutputOption(cxxopts::Options&);
bool wantsJson(const cxxopts::ParseResult&);

// Value of a required option. Throws std::runtime_error naming the option when it is missing.
std::string requiredText(const cxxopts::ParseResult&, const std::string& option);

// Adds --control with the addresses of the control instances. The environment variable OLEANDERPORT_CONTROL is its default.
void addControlOption(cxxopts::Options&);
// Throws std::runtime_error when neither gives an address.
std::vector<std::string> controlPeers(const cxxopts::ParseResult&);

} // namespace oleanderport
