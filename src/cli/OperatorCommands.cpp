#include "base/EnvironmentDocument.h"
#include "cli/Arguments.h"
#include "cli/Command.h"
#include "wire/ControlMessages.h"
#include "wire/MessageCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace oleanderport {

namespace {

    std::string makeChangeId()
    {
        std::random_device random;
        return fmt::format("change-{:08x}{:08x}", random(), random());
    }

    Result<ClusterView> fetchView(const std::vector<std::string>& peers)
    {
        BOOST_OUTCOME_TRY(const auto value, controlAndWait(peers, "view", Json::Value(Json::objectValue)));
        return fromJson<ClusterView>(value);
    }

    void printView(const ClusterView& view)
    {
        fmt::print("environment {} version {} digest {}\n", view.config.environment, view.config.version,
            view.config.digest);
        for (const auto& name : view.config.dataCentres) {
            const bool out = std::find(view.dataCentresOut.begin(), view.dataCentresOut.end(), name)
                != view.dataCentresOut.end();
            fmt::print("data centre {}: {}\n", name, out ? "out" : "in");
        }
        for (const auto& member : view.members) {
            fmt::print("{} {} incarnation {} at {} in {}\n", roleName(member.node.role), member.id.instance,
                member.id.incarnation, member.node.address, member.node.dataCentre);
        }
    }

} // namespace

ExitCode runValidate(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport validate", "Checks an environment document without applying it.");
    options.add_options()("file", "TOML file", cxxopts::value<std::string>());
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const std::string file = (*parsed)["file"].as<std::string>();
    const auto text = readFile(file);
    if (!text.has_value())
        return failWith(text.assume_error());
    const auto config = parseEnvironment(text.assume_value(), file);
    if (!config.has_value())
        return failWith(config.assume_error());
    fmt::print("document of environment {} is valid, digest {}\n", config.assume_value().environment,
        config.assume_value().digest);
    return ExitCode::Success;
}

ExitCode runApply(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport apply", "Puts an environment document in force.");
    addControlOption(options);
    options.add_options()("file", "TOML file", cxxopts::value<std::string>())(
        "base-version", "Version on which the change is based; the one in force when not given",
        cxxopts::value<std::uint64_t>())("change-id", "Id of this change, to send it again after a lost answer",
        cxxopts::value<std::string>())(
        "author", "Who makes the change", cxxopts::value<std::string>()->default_value("operator"))(
        "reason", "Why", cxxopts::value<std::string>()->default_value(""));
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const auto text = readFile((*parsed)["file"].as<std::string>());
    if (!text.has_value())
        return failWith(text.assume_error());
    const auto peers = controlPeers(*parsed);
    ApplyDocument change { .text = text.assume_value(),
        .baseVersion = 0,
        .changeId = parsed->count("change-id") > 0 ? (*parsed)["change-id"].as<std::string>() : makeChangeId(),
        .author = (*parsed)["author"].as<std::string>(),
        .reason = (*parsed)["reason"].as<std::string>() };
    if (parsed->count("base-version") > 0) {
        change.baseVersion = (*parsed)["base-version"].as<std::uint64_t>();
    } else {
        const auto view = fetchView(peers);
        if (!view.has_value())
            return failWith(view.assume_error());
        change.baseVersion = view.assume_value().config.version;
    }
    const auto answer = controlAndWait(peers, "applyDocument", toJson(change));
    if (!answer.has_value()) {
        fmt::print(stderr, "oleanderport: change id {}\n", change.changeId);
        return failWith(answer.assume_error());
    }
    const auto applied = fromJson<DocumentApplied>(answer.assume_value());
    if (!applied.has_value())
        return failWith(applied.assume_error());
    fmt::print("version {} digest {} accepted\n", applied.assume_value().version, applied.assume_value().digest);
    return ExitCode::Success;
}

ExitCode runStatus(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport status", "Prints the document in force, data centres and members.");
    addControlOption(options);
    addOutputOption(options);
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const auto view = fetchView(controlPeers(*parsed));
    if (!view.has_value())
        return failWith(view.assume_error());
    if (wantsJson(*parsed))
        fmt::print("{}\n", prettyJson(toJson(view.assume_value())));
    else
        printView(view.assume_value());
    return ExitCode::Success;
}

ExitCode runDataCentre(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport datacentre", "Takes a data centre out, or brings it in.");
    addControlOption(options);
    options.add_options()("change", "out or in", cxxopts::value<std::string>())(
        "name", "Data centre", cxxopts::value<std::string>());
    options.parse_positional({ "change", "name" });
    options.positional_help("out|in NAME");
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const std::string change = (*parsed)["change"].as<std::string>();
    if (change != "out" && change != "in")
        throw std::runtime_error("expected out or in");
    const DataCentreChange request { .dataCentre = (*parsed)["name"].as<std::string>(), .out = change == "out" };
    const auto answer = controlAndWait(controlPeers(*parsed), "changeDataCentre", toJson(request));
    if (!answer.has_value())
        return failWith(answer.assume_error());
    const auto changed = fromJson<DataCentreChanged>(answer.assume_value());
    if (!changed.has_value())
        return failWith(changed.assume_error());
    if (request.out)
        fmt::print("{} is out; in force everywhere within {} ms\n", request.dataCentre,
            changed.assume_value().inForceWithin.count);
    else
        fmt::print("{} is in\n", request.dataCentre);
    return ExitCode::Success;
}

ExitCode runTimeline(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport timeline",
        "Collects the events of control, entries and sidecars and prints them in causal order.");
    addControlOption(options);
    addOutputOption(options);
    options.add_options()("job", "Only events of this job", cxxopts::value<std::string>())(
        "since", "Only events after this time, in milliseconds since 1970",
        cxxopts::value<std::int64_t>()->default_value("0"));
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    throw std::runtime_error("not built yet");
}

} // namespace oleanderport
