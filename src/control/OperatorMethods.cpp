#include "control/OperatorMethods.h"

#include "base/EnvironmentDocument.h"
#include "base/LineDiff.h"
#include "control/Forward.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    constexpr std::size_t maxDocumentBytes = 256 * 1024;
    constexpr std::size_t maxIdBytes = 128;
    constexpr std::size_t maxReasonBytes = 1'024;
    constexpr std::size_t maxDifferences = 40;

    Error refuse(ErrorCode code, const char* step, std::string message)
    {
        return Error { .code = code, .ran = Ran::No, .step = step, .peer = {}, .message = std::move(message) };
    }

    Result<void> checkAuthor(const std::string& author, const std::string& reason)
    {
        if (author.empty() || author.size() > maxIdBytes)
            return refuse(ErrorCode::BadRequest, "control.operator",
                fmt::format("author: expected 1 to {} bytes", maxIdBytes));
        if (reason.size() > maxReasonBytes)
            return refuse(ErrorCode::BadRequest, "control.operator",
                fmt::format("reason: expected at most {} bytes", maxReasonBytes));
        return boost::outcome_v2::success();
    }

    Result<void> checkChange(const std::string& changeId, const std::string& author, const std::string& reason)
    {
        if (changeId.empty() || changeId.size() > maxIdBytes)
            return refuse(ErrorCode::BadRequest, "control.operator",
                fmt::format("changeId: expected 1 to {} bytes", maxIdBytes));
        return checkAuthor(author, reason);
    }

    Result<EnvironmentConfig> checkDocument(const std::string& text)
    {
        if (text.size() > maxDocumentBytes)
            return refuse(
                ErrorCode::BadSettings, "environment", fmt::format("more than {} bytes", maxDocumentBytes));
        return parseEnvironment(text, "document");
    }

    // Appends to a Conflict error the lines in which the rejected document differs from the document in force.
    void addDifferences(Error& error, const EnvironmentRecord& environment, const std::string& text)
    {
        if (error.code != ErrorCode::Conflict || environment.history.empty())
            return;
        auto differences = lineDiff(environment.history.back().text, text);
        const std::size_t found = differences.size();
        if (found > maxDifferences)
            differences.resize(maxDifferences);
        error.message += fmt::format("\n{} lines differ from version {} in force{}", found,
            environment.view.config.version, found > maxDifferences ? ", the first of them:" : "");
        for (const auto& line : differences)
            error.message += "\n" + line;
    }

} // namespace

OperatorMethods::OperatorMethods(Process& process, Replicator& replicator, const SessionTimers& timers)
    : m_process(process)
    , m_replicator(replicator)
    , m_timers(timers)
{
}

void OperatorMethods::registerMethods()
{
    registerQueries();
    registerDocumentChanges();
    registerDataCentreChange();
    m_process.rpc.addTyped<PublishCatalogue, CataloguePublished>(
        "publishQueues", [this](const PublishCatalogue& request, const Reply<CataloguePublished>& reply) {
            publishCatalogue(request, reply);
        });
}

Result<const EnvironmentRecord*> OperatorMethods::environment(const std::string& name) const
{
    if (const auto refusal = refusalUnlessLeader(m_replicator))
        return *refusal;
    const EnvironmentRecord* found = m_replicator.state().environment(name);
    if (!found)
        return refuse(ErrorCode::NotFound, "control.operator", "there is no environment " + name);
    return found;
}

void OperatorMethods::registerQueries()
{
    RpcServer& rpc = m_process.rpc;
    rpc.addTyped<EnvironmentRequest, ClusterView>(
        "view", [this](const EnvironmentRequest& request, const Reply<ClusterView>& reply) {
            const auto found = environment(request.environment.value_or(productionEnvironment));
            if (!found.has_value())
                return reply(found.assume_error());
            reply(found.assume_value()->view);
        });
    rpc.addTyped<EnvironmentRequest, ControlStatus>(
        "status", [this](const EnvironmentRequest& request, const Reply<ControlStatus>& reply) {
            reply(status(request));
        });
    rpc.addTyped<EnvironmentRequest, DocumentVersions>(
        "history", [this](const EnvironmentRequest& request, const Reply<DocumentVersions>& reply) {
            reply(versions(request));
        });
    rpc.addTyped<VersionRequest, VersionRecord>(
        "documentVersion", [this](const VersionRequest& request, const Reply<VersionRecord>& reply) {
            reply(version(request));
        });
    rpc.addTyped<ValidateDocument, DocumentChecked>(
        "validateDocument", [](const ValidateDocument& request, const Reply<DocumentChecked>& reply) {
            const auto config = checkDocument(request.text);
            if (!config.has_value())
                return reply(config.assume_error());
            reply(DocumentChecked {
                .deployment = config.assume_value().deployment, .digest = config.assume_value().digest });
        });
}

Result<ControlStatus> OperatorMethods::status(const EnvironmentRequest& request) const
{
    BOOST_OUTCOME_TRY(const auto* found, environment(request.environment.value_or(productionEnvironment)));
    ControlStatus status { .leader = m_process.settings.instance,
        .view = found->view,
        .confirmations = {},
        .dataCentreChanges = m_replicator.state().dataCentreChanges() };
    for (const auto& member : found->view.members)
        status.confirmations.push_back({ .member = member.id, .viewVersion = m_timers.confirmedView(member.id) });
    return status;
}

Result<DocumentVersions> OperatorMethods::versions(const EnvironmentRequest& request) const
{
    BOOST_OUTCOME_TRY(const auto* found, environment(request.environment.value_or(productionEnvironment)));
    DocumentVersions versions { .environment = found->name, .versions = {} };
    for (const auto& record : found->history)
        versions.versions.push_back(record.summary);
    return versions;
}

Result<VersionRecord> OperatorMethods::version(const VersionRequest& request) const
{
    BOOST_OUTCOME_TRY(const auto* found, environment(request.environment));
    const std::uint64_t wanted = request.version == 0 ? found->view.config.version : request.version;
    for (const auto& record : found->history) {
        if (record.summary.version == wanted)
            return record;
    }
    return refuse(ErrorCode::NotFound, "control.history",
        fmt::format("environment {} has no version {} or no longer stores it", found->name, request.version));
}

void OperatorMethods::registerDocumentChanges()
{
    m_process.rpc.addTyped<ApplyDocument, DocumentApplied>(
        "applyDocument", [this](const ApplyDocument& change, const Reply<DocumentApplied>& reply) {
            applyDocument(change, reply);
        });
    m_process.rpc.addTyped<PromoteDocument, DocumentApplied>(
        "promoteDocument", [this](const PromoteDocument& change, const Reply<DocumentApplied>& reply) {
            promoteDocument(change, reply);
        });
}

bool OperatorMethods::isResend(const std::string& environment, const std::string& changeId) const
{
    const auto* found = m_replicator.state().environment(environment);
    return found
        && std::any_of(found->changes.begin(), found->changes.end(),
            [&changeId](const ChangeRecord& record) { return record.changeId == changeId; });
}

void OperatorMethods::applyDocument(const ApplyDocument& change, const Reply<DocumentApplied>& reply)
{
    const auto checked = checkChange(change.changeId, change.author, change.reason);
    if (!checked.has_value())
        return reply(checked.assume_error());
    const auto config = checkDocument(change.text);
    if (!config.has_value())
        return reply(config.assume_error());
    m_replicator.propose(AcceptDocument { .change = change, .config = config.assume_value() },
        [this, change, reply, resend = isResend(change.environment, change.changeId)](const Result<ControlOutcome>& outcome) {
            if (!outcome.has_value()) {
                Error error = outcome.assume_error();
                if (const auto* environment = m_replicator.state().environment(change.environment))
                    addDifferences(error, *environment, change.text);
                return reply(error);
            }
            const auto applied = std::get<DocumentApplied>(outcome.assume_value());
            if (resend)
                return reply(applied);
            m_process.events.record(EventKind::ConfigurationApplied,
                { .detail = fmt::format("{} version {} by {}", change.environment, applied.version, change.author) });
            reply(applied);
        });
}

void OperatorMethods::promoteDocument(const PromoteDocument& change, const Reply<DocumentApplied>& reply)
{
    const auto checked = checkChange(change.changeId, change.author, change.reason);
    if (!checked.has_value())
        return reply(checked.assume_error());
    m_replicator.propose(change,
        forwardOutcome<DocumentApplied, DocumentApplied>(reply, [this, author = change.author, resend = isResend(productionEnvironment, change.changeId)](const DocumentApplied& applied) {
            if (resend)
                return applied;
            m_process.events.record(EventKind::ConfigurationApplied,
                { .detail = fmt::format("{} version {} promoted by {}", productionEnvironment, applied.version, author) });
            return applied;
        }));
}

void OperatorMethods::registerDataCentreChange()
{
    m_process.rpc.addTyped<DataCentreChange, DataCentreChanged>(
        "changeDataCentre", [this](const DataCentreChange& change, const Reply<DataCentreChanged>& reply) {
            changeDataCentre(change, reply);
        });
}

void OperatorMethods::publishCatalogue(const PublishCatalogue& request, const Reply<CataloguePublished>& reply)
{
    if (const auto refusal = refusalUnlessLeader(m_replicator))
        return reply(*refusal);
    // A catalogue may be large, and operators resend it when they got no answer. A request without effect needs no log entry: a
    // confirmed leader has applied every accepted change.
    const ClusterView& view = m_replicator.state().view();
    if (view.catalogue && view.catalogue->version >= request.catalogue.version)
        return reply(CataloguePublished { .version = view.catalogue->version, .changed = false, .viewVersion = view.version });
    const std::uint64_t version = request.catalogue.version;
    auto& waiting = m_pendingCatalogues[version];
    waiting.push_back(reply);
    if (waiting.size() > 1)
        return;
    m_replicator.propose(request, [this, version](const Result<ControlOutcome>& outcome) {
        const auto replies = std::exchange(m_pendingCatalogues[version], {});
        m_pendingCatalogues.erase(version);
        if (!outcome.has_value()) {
            for (const auto& each : replies)
                each(outcome.assume_error());
            return;
        }
        const auto& published = std::get<CataloguePublished>(outcome.assume_value());
        if (published.changed)
            m_process.events.record(EventKind::ConfigurationApplied, { .detail = fmt::format("queues version {}", published.version) });
        for (const auto& each : replies)
            each(published);
    });
}

Result<std::string> OperatorMethods::catalogueSource() const
{
    if (const auto refusal = refusalUnlessLeader(m_replicator))
        return *refusal;
    const auto& source = m_replicator.state().catalogueSource();
    if (!source)
        return refuse(ErrorCode::NotFound, "control.catalogue", "no queue catalogue has been published yet");
    return *source;
}

void OperatorMethods::changeDataCentre(DataCentreChange change, const Reply<DataCentreChanged>& reply)
{
    const auto& declared = m_process.settings.declaredDataCentres;
    if (std::find(declared.begin(), declared.end(), change.dataCentre) != declared.end())
        change.declared = true;
    const auto checked = checkAuthor(change.author, change.reason);
    if (!checked.has_value())
        return reply(checked.assume_error());
    m_replicator.propose(
        change, forwardOutcome<DataCentreChanged, DataCentreChanged>(reply, [this, change](DataCentreChanged changed) {
            changed.effectiveWithin = m_process.settings.lease;
            if (changed.changed) {
                m_process.events.record(change.out ? EventKind::DataCentreOut : EventKind::DataCentreIn,
                    { .detail = fmt::format("{} by {}", change.dataCentre, change.author) });
            }
            return changed;
        }));
}

} // namespace oleanderport
