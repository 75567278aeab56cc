#include "base/UtcText.h"
#include "cli/ControlCalls.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    void printDataCentres(const ControlStatus& status)
    {
        const auto& out = status.view.dataCentresOut;
        for (const auto& name : status.view.config.dataCentres) {
            const bool isOut = std::find(out.begin(), out.end(), name) != out.end();
            fmt::print("data centre {}: {}", name, isOut ? "out" : "in");
            const auto last = std::find_if(status.dataCentreChanges.rbegin(), status.dataCentreChanges.rend(),
                [&name](const DataCentreRecord& record) { return record.change.dataCentre == name; });
            if (last != status.dataCentreChanges.rend()) {
                fmt::print(", since {} by {}: {}", utcText(last->whenUnix), last->change.author,
                    last->change.reason.empty() ? "no reason given" : last->change.reason);
            }
            fmt::print("\n");
        }
    }

    void printStatus(const ControlStatus& status)
    {
        const ClusterView& view = status.view;
        fmt::print("environment {} ({}) version {} digest {}\n", view.config.environment, view.config.deployment,
            view.config.version, view.config.digest);
        fmt::print("view {}, answered by {}\n", view.version, status.leader);
        printDataCentres(status);
        for (std::size_t i = 0; i < view.members.size() && i < status.confirmations.size(); ++i) {
            const Member& member = view.members[i];
            const bool current = status.confirmations[i].viewVersion >= view.version;
            fmt::print("{} {} incarnation {} at {} in {}, view {}{}\n", roleName(member.node.role), member.id.instance,
                member.id.incarnation, member.node.address, member.node.dataCentre,
                status.confirmations[i].viewVersion, current ? "" : " (behind)");
        }
    }

} // namespace

ExitCode runStatus(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport status",
        "Prints the document in force, the data centres, and the members with the view confirmed by each.");
    addControlOption(options);
    addEnvironmentOption(options);
    addOutputOption(options);
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const auto status = fetchStatus(controlPeers(*parsed), environmentOf(*parsed));
    if (!status.has_value())
        return reportError(status.assume_error());
    if (wantsJson(*parsed))
        fmt::print("{}\n", prettyJson(toJson(status.assume_value())));
    else
        printStatus(status.assume_value());
    return ExitCode::Success;
}

ExitCode runDataCentre(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport datacentre",
        "Takes a data centre out, or brings it in, for all environments. Repeating a change has no effect.");
    addControlOption(options);
    addOutputOption(options);
    addAuthorOptions(options);
    addWaitOptions(options);
    options.add_options()("change", "out or in", cxxopts::value<std::string>())(
        "name", "Data centre", cxxopts::value<std::string>());
    options.parse_positional({ "change", "name" });
    options.positional_help("out|in NAME");
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const std::string direction = requiredText(*parsed, "change");
    if (direction != "out" && direction != "in")
        throw std::runtime_error("datacentre: expected out or in");
    const DataCentreChange request { .dataCentre = requiredText(*parsed, "name"),
        .out = direction == "out",
        .author = authorOf(*parsed),
        .reason = (*parsed)["reason"].as<std::string>() };
    const auto peers = controlPeers(*parsed);
    const auto answer = callControl<DataCentreChanged>(peers, "changeDataCentre", request);
    if (!answer.has_value())
        return reportError(answer.assume_error());
    const DataCentreChanged& changed = answer.assume_value();
    if (wantsJson(*parsed))
        fmt::print("{}\n", prettyJson(toJson(changed)));
    else if (!changed.changed)
        fmt::print("{} was {} already\n", request.dataCentre, direction);
    else if (request.out)
        fmt::print("{} is out; in force everywhere within {} ms\n", request.dataCentre, changed.effectiveWithin.count);
    else
        fmt::print("{} is in\n", request.dataCentre);
    std::fflush(stdout);
    const AwaitedView production { productionEnvironment, changed.viewVersion, request.dataCentre };
    const AwaitedView trial { trialEnvironment, changed.trialViewVersion, request.dataCentre };
    for (const auto& awaited : { production, trial }) {
        const auto confirmed = awaitConfirmation(peers, *parsed, awaited);
        if (!confirmed.has_value())
            return reportError(confirmed.assume_error());
    }
    return ExitCode::Success;
}

} // namespace oleanderport
