#pragma once

#include "cli/Arguments.h"
#include "cli/Command.h"
#include "wire/MessageCodec.h"
#include "wire/OperatorMessages.h"

#include <functional>

// Typed calls of the operators' commands to control.
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

// An id that no other change has.
std::string makeChangeId();

// Adds --environment, --author and --reason, which every change takes.
void addEnvironmentOption(cxxopts::Options&);
void addAuthorOptions(cxxopts::Options&);
std::string environmentOf(const cxxopts::ParseResult&);
// The author: --author, else the variable USER, else "operator".
std::string authorOf(const cxxopts::ParseResult&);

// Adds --wait and --timeout.
void addWaitOptions(cxxopts::Options&);

// What has to be confirmed, by whom.
struct AwaitedView {
    std::string environment;
    std::uint64_t viewVersion { 0 };
    // Only members in this data centre count; all when empty.
    std::string dataCentre;
};

// With --wait: prints on standard error how many members have confirmed the view, until all have. Fails with Timeout
// that names the missing ones. Without --wait: returns at once.
Result<void> awaitConfirmation(
    const std::vector<std::string>& peers, const cxxopts::ParseResult&, const AwaitedView&);

} // namespace oleanderport
