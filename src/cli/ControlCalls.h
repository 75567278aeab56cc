#pragma once

#include "cli/Arguments.h"
#include "cli/Command.h"
#include "wire/MessageCodec.h"
#include "wire/OperatorMessages.h"

#include <functional>

// Typed calls from the operators' commands to the control instances.
namespace oleanderport {

template <typename Response, typename Request>
Result<Response> callControl(const std::vector<std::string>& peers, const std::string& method, const Request& request)
{
    BOOST_OUTCOME_TRY(const auto value, controlAndWait(peers, method, toJson(request)));
    return fromJson<Response>(value);
}

Result<ControlStatus> fetchStatus(const std::vector<std::string>& peers, const std::string& environment);
Result<VersionRecord> fetchVersion(
    const std::vector<std::string>& peers, const std::string& environment, std::uint64_t version);

// Returns a random id, unique in practice.
std::string makeChangeId();

// Adds --environment.
void addEnvironmentOption(cxxopts::Options&);
// Adds --author and --reason.
void addAuthorOptions(cxxopts::Options&);
std::string environmentOf(const cxxopts::ParseResult&);
// The author of a change: --author, else the environment variable USER, else "operator".
std::string authorOf(const cxxopts::ParseResult&);

// Adds --wait and --timeout.
void addWaitOptions(cxxopts::Options&);

// A view and the members that have to confirm it.
struct AwaitedView {
    std::string environment;
    std::uint64_t viewVersion { 0 };
    // Limits the members to this data centre; all members when empty.
    std::string dataCentre;
};

// With --wait, prints on standard error how many members have confirmed the view until all have. Fails with Timeout after
// --timeout milliseconds and names the members that have not. Without --wait, returns at once.
Result<void> awaitConfirmation(
    const std::vector<std::string>& peers, const cxxopts::ParseResult&, const AwaitedView&);

} // namespace oleanderport
