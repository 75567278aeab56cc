#pragma once

#include "oleanderport/Error.h"
#include "wire/HttpClient.h"

#include <jsoncpp/json/json.h>

#include <string>
#include <string_view>
#include <vector>

namespace oleanderport {

// Exit codes of the command-line tool.
enum class ExitCode {
    Success = 0,
    // The request was refused, the job failed, or compared documents differ.
    Refused = 1,
    // The command line or a file named on it is invalid.
    BadUsage = 2,
    // No process answered.
    Unreachable = 3,
};

// One subcommand. The first argument of `run` is the name of the subcommand.
struct Command {
    std::string_view name;
    std::string_view summary;
    ExitCode (*run)(const std::vector<std::string>& arguments);
};

// All subcommands in the order of the help.
const std::vector<Command>& commands();

ExitCode runSubmit(const std::vector<std::string>&);
ExitCode runJob(const std::vector<std::string>&);
ExitCode runCancel(const std::vector<std::string>&);
ExitCode runApply(const std::vector<std::string>&);
ExitCode runValidate(const std::vector<std::string>&);
ExitCode runPromote(const std::vector<std::string>&);
ExitCode runDiff(const std::vector<std::string>&);
ExitCode runHistory(const std::vector<std::string>&);
ExitCode runStatus(const std::vector<std::string>&);
ExitCode runDataCentre(const std::vector<std::string>&);
ExitCode runTimeline(const std::vector<std::string>&);
ExitCode runExplain(const std::vector<std::string>&);
ExitCode runExplainPlacement(const std::vector<std::string>&);

// Makes an HTTP call and blocks until its answer arrives or its timeout expires.
Result<HttpAnswer> callAndWait(const std::string& address, const HttpCall&);

// Calls an RPC method of a process and blocks until its answer arrives or the timeout expires.
Result<Json::Value> rpcAndWait(
    const std::string& address, const std::string& method, const Json::Value& params, Milliseconds timeout);

// Calls an RPC method of the leader of the control instances and blocks until its answer arrives or the call times out.
Result<Json::Value> controlAndWait(
    const std::vector<std::string>& peers, const std::string& method, const Json::Value& params);

// Prints an error on standard error and returns the matching exit code.
ExitCode reportError(const Error&);

// Reads a whole file; "-" is standard input.
Result<std::string> readFile(const std::string& path);

// Formats JSON with indentation.
std::string prettyJson(const Json::Value&);

} // namespace oleanderport
