#include "base/EnvironmentDocument.h"
#include "base/LineDiff.h"
#include "base/UtcText.h"
#include "cli/ControlCalls.h"

#include <fmt/format.h>

namespace oleanderport {

namespace {

    // Reports a failed change. When it may have been accepted, prints the options for resending it as the same change.
    ExitCode reportChangeError(const Error& error, const std::string& changeId, std::uint64_t baseVersion)
    {
        if (error.ran == Ran::Unknown) {
            fmt::print(stderr,
                "oleanderport: it is unknown whether the change was accepted; resend it with --change-id {} "
                "--base-version {}\n",
                changeId, baseVersion);
        }
        return reportError(error);
    }

    void addChangeOptions(cxxopts::Options& options)
    {
        options.add_options()("base-version", "Version on which the change is based; default: the version in force",
            cxxopts::value<std::uint64_t>())(
            "change-id", "Id of the change, for resending it; requires --base-version", cxxopts::value<std::string>());
        addAuthorOptions(options);
        addWaitOptions(options);
    }

    struct ChangeIdentity {
        std::string changeId;
        std::uint64_t baseVersion { 0 };
    };

    Result<ChangeIdentity> identifyChange(
        const cxxopts::ParseResult& arguments, const std::vector<std::string>& peers, const std::string& environment)
    {
        const bool hasBase = arguments.count("base-version") > 0;
        const bool hasId = arguments.count("change-id") > 0;
        if (hasId && !hasBase)
            throw std::runtime_error("--change-id requires --base-version, so that a resend is the same change");
        ChangeIdentity identity { .changeId = hasId ? arguments["change-id"].as<std::string>() : makeChangeId() };
        if (hasBase) {
            identity.baseVersion = arguments["base-version"].as<std::uint64_t>();
            return identity;
        }
        BOOST_OUTCOME_TRY(const auto status, fetchStatus(peers, environment));
        identity.baseVersion = status.view.config.version;
        return identity;
    }

    // Text of --file, or of the earlier version that --rollback-to names.
    Result<std::string> documentText(
        const cxxopts::ParseResult& arguments, const std::vector<std::string>& peers, const std::string& environment)
    {
        const bool hasFile = arguments.count("file") > 0;
        const bool hasVersion = arguments.count("rollback-to") > 0;
        if (hasFile == hasVersion)
            throw std::runtime_error("expected either --file or --rollback-to");
        if (hasFile) {
            const auto file = arguments["file"].as<std::string>();
            BOOST_OUTCOME_TRY(auto text, readFile(file));
            BOOST_OUTCOME_TRY(parseEnvironment(text, file));
            return text;
        }
        BOOST_OUTCOME_TRY(
            const auto record, fetchVersion(peers, environment, arguments["rollback-to"].as<std::uint64_t>()));
        return record.text;
    }

    ExitCode finishChange(const cxxopts::ParseResult& arguments, const std::vector<std::string>& peers,
        const std::string& environment, const ChangeIdentity& identity, const DocumentApplied& applied)
    {
        if (wantsJson(arguments)) {
            Json::Value value = toJson(applied);
            value["environment"] = environment;
            value["changeId"] = identity.changeId;
            fmt::print("{}\n", prettyJson(value));
        } else {
            fmt::print("{} version {} digest {} accepted\n", environment, applied.version, applied.digest);
        }
        std::fflush(stdout);
        const auto confirmed = awaitConfirmation(
            peers, arguments, { .environment = environment, .viewVersion = applied.viewVersion, .dataCentre = {} });
        return confirmed.has_value() ? ExitCode::Success : reportError(confirmed.assume_error());
    }

    Json::Value summaryJson(const std::vector<VersionSummary>& versions)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& version : versions)
            list.append(toJson(version));
        return list;
    }

    void printVersions(const std::vector<VersionSummary>& versions)
    {
        for (const auto& version : versions) {
            fmt::print("version {} at {} by {}{}: {} (change {}, digest {})\n", version.version,
                utcText(version.whenUnix), version.author,
                version.promotedFrom > 0 ? fmt::format(", promoted from trial version {}", version.promotedFrom) : "",
                version.reason.empty() ? "no reason given" : version.reason, version.changeId, version.digest);
        }
    }

    ExitCode printDifference(const cxxopts::ParseResult& arguments, const std::string& before, const std::string& after)
    {
        const auto lines = lineDiff(before, after);
        if (wantsJson(arguments)) {
            Json::Value value(Json::objectValue);
            value["differs"] = !lines.empty();
            value["lines"] = Json::Value(Json::arrayValue);
            for (const auto& line : lines)
                value["lines"].append(line);
            fmt::print("{}\n", prettyJson(value));
        } else {
            for (const auto& line : lines)
                fmt::print("{}\n", line);
        }
        return lines.empty() ? ExitCode::Success : ExitCode::Refused;
    }

    // Text of a version; 0 is the version in force, whose text is empty while the environment has no document.
    Result<std::string> versionText(
        const std::vector<std::string>& peers, const std::string& environment, std::uint64_t version)
    {
        const auto record = fetchVersion(peers, environment, version);
        if (record.has_value())
            return record.assume_value().text;
        if (version == 0 && record.assume_error().code == ErrorCode::NotFound)
            return std::string();
        return record.assume_error();
    }

} // namespace

ExitCode runValidate(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport validate", "Validates an environment document without applying it.");
    options.add_options()("file", "TOML file, or - for standard input", cxxopts::value<std::string>());
    addOutputOption(options);
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const std::string file = requiredText(*parsed, "file");
    const auto text = readFile(file);
    if (!text.has_value())
        return reportError(text.assume_error());
    const auto config = parseEnvironment(text.assume_value(), file);
    if (!config.has_value())
        return reportError(config.assume_error());
    const EnvironmentConfig& checked = config.assume_value();
    if (wantsJson(*parsed))
        fmt::print("{}\n", prettyJson(toJson(DocumentChecked { checked.deployment, checked.digest })));
    else
        fmt::print("document of {} is valid, digest {}\n", checked.deployment, checked.digest);
    return ExitCode::Success;
}

ExitCode runApply(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport apply",
        "Puts an environment document, or an earlier version of it, into force as the next version.");
    addControlOption(options);
    addEnvironmentOption(options);
    addOutputOption(options);
    options.add_options()("file", "TOML file, or - for standard input", cxxopts::value<std::string>())(
        "rollback-to", "Earlier version whose text becomes the next version", cxxopts::value<std::uint64_t>());
    addChangeOptions(options);
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const auto peers = controlPeers(*parsed);
    const auto environment = environmentOf(*parsed);
    const auto text = documentText(*parsed, peers, environment);
    if (!text.has_value())
        return reportError(text.assume_error());
    const auto identity = identifyChange(*parsed, peers, environment);
    if (!identity.has_value())
        return reportError(identity.assume_error());
    const ApplyDocument change { .environment = environment,
        .text = text.assume_value(),
        .baseVersion = identity.assume_value().baseVersion,
        .changeId = identity.assume_value().changeId,
        .author = authorOf(*parsed),
        .reason = (*parsed)["reason"].as<std::string>() };
    const auto applied = callControl<DocumentApplied>(peers, "applyDocument", change);
    if (!applied.has_value())
        return reportChangeError(applied.assume_error(), change.changeId, change.baseVersion);
    return finishChange(*parsed, peers, environment, identity.assume_value(), applied.assume_value());
}

ExitCode runPromote(const std::vector<std::string>& arguments)
{
    cxxopts::Options options(
        "oleanderport promote", "Puts the document that is in force in trial into force in production, unchanged.");
    addControlOption(options);
    addOutputOption(options);
    options.add_options()(
        "digest", "Digest of the trial document to promote; default: the digest of the document in force", cxxopts::value<std::string>());
    addChangeOptions(options);
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    if (parsed->count("change-id") > 0 && parsed->count("digest") == 0)
        throw std::runtime_error("--change-id requires --digest, so that a resend is the same change");
    const auto peers = controlPeers(*parsed);
    const auto identity = identifyChange(*parsed, peers, productionEnvironment);
    if (!identity.has_value())
        return reportError(identity.assume_error());
    PromoteDocument change { .digest = {},
        .baseVersion = identity.assume_value().baseVersion,
        .changeId = identity.assume_value().changeId,
        .author = authorOf(*parsed),
        .reason = (*parsed)["reason"].as<std::string>() };
    if (parsed->count("digest") > 0) {
        change.digest = (*parsed)["digest"].as<std::string>();
    } else {
        const auto trial = fetchStatus(peers, trialEnvironment);
        if (!trial.has_value())
            return reportError(trial.assume_error());
        change.digest = trial.assume_value().view.config.digest;
    }
    const auto applied = callControl<DocumentApplied>(peers, "promoteDocument", change);
    if (!applied.has_value()) {
        if (applied.assume_error().ran == Ran::Unknown)
            fmt::print(stderr, "oleanderport: the digest was {}; resend it with --digest\n", change.digest);
        return reportChangeError(applied.assume_error(), change.changeId, change.baseVersion);
    }
    return finishChange(*parsed, peers, productionEnvironment, identity.assume_value(), applied.assume_value());
}

ExitCode runDiff(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport diff",
        "Prints the lines that differ between the document in force and a file, between two versions, or with --promote "
        "between production and trial. Exit code 0: no difference, 1: differences.");
    addControlOption(options);
    addEnvironmentOption(options);
    addOutputOption(options);
    options.add_options()("file", "Compare the document in force with this file", cxxopts::value<std::string>())(
        "from", "Version to compare; default: the version in force", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "to", "Version to compare with; default: the version in force", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "promote", "Compare the document in force in production with the one in force in trial");
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const auto peers = controlPeers(*parsed);
    const bool promote = parsed->count("promote") > 0;
    const std::string environment = promote ? productionEnvironment : environmentOf(*parsed);
    const auto before = versionText(peers, environment, (*parsed)["from"].as<std::uint64_t>());
    if (!before.has_value())
        return reportError(before.assume_error());
    const auto after = parsed->count("file") > 0
        ? readFile((*parsed)["file"].as<std::string>())
        : versionText(peers, promote ? trialEnvironment : environment, (*parsed)["to"].as<std::uint64_t>());
    if (!after.has_value())
        return reportError(after.assume_error());
    return printDifference(*parsed, before.assume_value(), after.assume_value());
}

ExitCode runHistory(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport history",
        "Prints the author, time and reason of each version of a document, or with --version the text of one version.");
    addControlOption(options);
    addEnvironmentOption(options);
    addOutputOption(options);
    options.add_options()("version", "Print the text of this version", cxxopts::value<std::uint64_t>());
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const auto peers = controlPeers(*parsed);
    const auto environment = environmentOf(*parsed);
    if (parsed->count("version") > 0) {
        const auto record = fetchVersion(peers, environment, (*parsed)["version"].as<std::uint64_t>());
        if (!record.has_value())
            return reportError(record.assume_error());
        if (wantsJson(*parsed))
            fmt::print("{}\n", prettyJson(toJson(record.assume_value())));
        else
            fmt::print("{}", record.assume_value().text);
        return ExitCode::Success;
    }
    const auto versions
        = callControl<DocumentVersions>(peers, "history", EnvironmentRequest { .environment = environment });
    if (!versions.has_value())
        return reportError(versions.assume_error());
    if (wantsJson(*parsed))
        fmt::print("{}\n", prettyJson(summaryJson(versions.assume_value().versions)));
    else
        printVersions(versions.assume_value().versions);
    return ExitCode::Success;
}

} // namespace oleanderport
