#include "cli/ControlCalls.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <random>
#include <thread>

namespace oleanderport {

namespace {

    constexpr Milliseconds pollPeriod { 200 };
    constexpr std::size_t maxListedMembers = 10;

    // Number of members that have to confirm a view, and those that have not done so.
    struct ConfirmationProgress {
        std::size_t expected { 0 };
        std::vector<std::string> missing;
    };

    ConfirmationProgress confirmationProgress(const ControlStatus& status, const AwaitedView& awaited)
    {
        ConfirmationProgress progress;
        for (std::size_t i = 0; i < status.view.members.size() && i < status.confirmations.size(); ++i) {
            const Member& member = status.view.members[i];
            if (!awaited.dataCentre.empty() && member.node.dataCentre != awaited.dataCentre)
                continue;
            ++progress.expected;
            if (status.confirmations[i].viewVersion < awaited.viewVersion)
                progress.missing.push_back(member.id.instance);
        }
        return progress;
    }

    Error confirmationTimeout(const ConfirmationProgress& progress)
    {
        auto names = progress.missing;
        const std::size_t count = names.size();
        names.resize(std::min(count, maxListedMembers));
        return Error { .code = ErrorCode::Timeout,
            .ran = Ran::Unknown,
            .step = "cli.wait",
            .peer = {},
            .message = fmt::format("the change was accepted, but {} of {} members have not confirmed it: {}{}", count,
                progress.expected, fmt::join(names, ", "), count > maxListedMembers ? ", ..." : "") };
    }

} // namespace

Result<ControlStatus> fetchStatus(const std::vector<std::string>& peers, const std::string& environment)
{
    return callControl<ControlStatus>(peers, "status", EnvironmentRequest { .environment = environment });
}

Result<VersionRecord> fetchVersion(
    const std::vector<std::string>& peers, const std::string& environment, std::uint64_t version)
{
    return callControl<VersionRecord>(
        peers, "documentVersion", VersionRequest { .environment = environment, .version = version });
}

std::string makeChangeId()
{
    std::random_device random;
    return fmt::format("change-{:08x}{:08x}", random(), random());
}

void addEnvironmentOption(cxxopts::Options& options)
{
    options.add_options()("environment", "trial or production",
        cxxopts::value<std::string>()->default_value(productionEnvironment));
}

std::string environmentOf(const cxxopts::ParseResult& arguments)
{
    auto name = arguments["environment"].as<std::string>();
    if (name != trialEnvironment && name != productionEnvironment)
        throw std::runtime_error("--environment: expected trial or production");
    return name;
}

void addAuthorOptions(cxxopts::Options& options)
{
    options.add_options()("author", "Author of the change; default: the name of the user",
        cxxopts::value<std::string>())("reason", "Why", cxxopts::value<std::string>()->default_value(""));
}

std::string authorOf(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("author") > 0)
        return arguments["author"].as<std::string>();
    const char* user = std::getenv("USER");
    return user && *user ? user : "operator";
}

void addWaitOptions(cxxopts::Options& options)
{
    options.add_options()("wait", "Wait until every member has confirmed the change, and show the progress")(
        "timeout", "Maximum time of --wait in milliseconds",
        cxxopts::value<std::int64_t>()->default_value("60000"));
}

Result<void> awaitConfirmation(
    const std::vector<std::string>& peers, const cxxopts::ParseResult& arguments, const AwaitedView& awaited)
{
    if (arguments.count("wait") == 0)
        return boost::outcome_v2::success();
    const Milliseconds deadline = Clock::now() + Milliseconds { arguments["timeout"].as<std::int64_t>() };
    std::string shown;
    while (true) {
        BOOST_OUTCOME_TRY(const auto status, fetchStatus(peers, awaited.environment));
        const ConfirmationProgress progress = confirmationProgress(status, awaited);
        const auto line = fmt::format("{} of {} members of {}{}{} have confirmed\n",
            progress.expected - progress.missing.size(), progress.expected, awaited.environment,
            awaited.dataCentre.empty() ? "" : " in ", awaited.dataCentre);
        if (line != shown)
            fmt::print(stderr, "{}", line);
        shown = line;
        if (progress.missing.empty())
            return boost::outcome_v2::success();
        if (Clock::now() >= deadline)
            return confirmationTimeout(progress);
        std::this_thread::sleep_for(std::chrono::milliseconds(pollPeriod.count));
    }
}

} // namespace oleanderport
