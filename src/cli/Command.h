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
    // The system refused, or the job failed.
    Refused = 1,
    // The command line or a file given to it is wrong.
    BadUsage = 2,
    // No process answered.
    Unreachable = 3,
};

// One subcommand. `run` gets the arguments after its name.
struct Command {
    std::string_view name;
    std::string_view summary;
    ExitCode (*run)(const std::vector<std::string>& arguments);
};

// All subcommands, in the order in which help shows them.
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

// Makes one HTTP call and waits for its answer.
Result<HttpAnswer> callAndWait(const std::string& address, const HttpCall&);

// Calls a method of one process and waits for its answer.
Result<Json::Value> rpcAndWait(
    const std::string& address, const std::string& method, const Json::Value& params, Milliseconds timeout);

// Calls a method of the leader among the control instances and waits for its answer.
Result<Json::Value> controlAndWait(
    const std::vector<std::string>& peers, const std::string& method, const Json::Value& params);

// Prints an error in plain words on standard error and returns the exit code that fits it.
ExitCode reportError(const Error&);

// Reads a whole file; "-" is standard input.
Result<std::string> readFile(const std::string& path);

// JSON for people, indented.
std::string prettyJson(const Json::Value&);

} // namespace oleanderport
