#include "policy/ControlState.h"

#include "base/Digest.h"
#include "policy/DocumentHistory.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    Error makeRefusal(ErrorCode code, const char* step, std::string message)
    {
        return Error { .code = code, .ran = Ran::No, .step = step, .peer = {}, .message = std::move(message) };
    }

    // Every field is preceded by its length, so that no two changes give the same text.
    std::string contentDigest(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const auto& part : parts)
            text += fmt::format("{}:{}\n", part.size(), part);
        return digestOf(text);
    }

    DocumentChange documentChange(const AcceptDocument& request, Milliseconds now)
    {
        const ApplyDocument& change = request.change;
        return { .changeId = change.changeId,
            .digest = contentDigest({ "apply", fmt::format("{}", change.baseVersion), change.author, change.reason,
                change.text, request.config.digest }),
            .baseVersion = change.baseVersion,
            .author = change.author,
            .reason = change.reason,
            .whenUnix = now,
            .promotedFrom = 0,
            .text = change.text,
            .config = request.config };
    }

    DocumentChange documentChange(const PromoteDocument& request, const EnvironmentRecord& trial, Milliseconds now)
    {
        return { .changeId = request.changeId,
            .digest = contentDigest({ "promote", fmt::format("{}", request.baseVersion), request.author,
                request.reason, request.digest }),
            .baseVersion = request.baseVersion,
            .author = request.author,
            .reason = request.reason,
            .whenUnix = now,
            .promotedFrom = trial.view.config.version,
            .text = trial.history.empty() ? "" : trial.history.back().text,
            .config = trial.view.config };
    }

    void recordViewChange(
        EnvironmentRecord& environment, ViewChangeKind kind, const SessionId& member, std::size_t limit)
    {
        environment.viewChanges.push_back({ .version = ++environment.view.version, .kind = kind, .member = member });
        dropOldestBeyond(environment.viewChanges, limit);
    }

} // namespace

ControlState::ControlState(const ControlStateOptions& options)
    : m_options(options)
{
    for (const char* name : { productionEnvironment, trialEnvironment }) {
        EnvironmentRecord environment { .name = name, .view = {}, .history = {}, .changes = {}, .viewChanges = {} };
        environment.view.config.environment = name;
        m_environments.push_back(environment);
    }
}

ControlState::ControlState(const ControlStateOptions& options, const ControlContent& content)
    : m_options(options)
    , m_nowUnix(content.nowUnix)
    , m_lastIncarnation(content.lastIncarnation)
    , m_environments(content.environments)
    , m_endedSidecars(content.endedSidecars)
    , m_dataCentreChanges(content.dataCentreChanges)
    , m_catalogueSource(content.catalogueSource)
{
    for (const auto& claim : content.claims) {
        const ClaimKey key { claim.environment, claim.key };
        m_claims.emplace(key, claim);
        m_claimsByDeadline.emplace(claim.deadlineUnix, key);
    }
}

ControlContent ControlState::content() const
{
    ControlContent content { .nowUnix = m_nowUnix,
        .lastIncarnation = m_lastIncarnation,
        .environments = m_environments,
        .claims = {},
        .endedSidecars = m_endedSidecars,
        .dataCentreChanges = m_dataCentreChanges,
        .catalogueSource = m_catalogueSource };
    content.claims.reserve(m_claims.size());
    for (const auto& [key, claim] : m_claims)
        content.claims.push_back(claim);
    return content;
}

Result<ControlOutcome> ControlState::apply(const ControlCommand& command)
{
    m_nowUnix = std::max(m_nowUnix, command.stampUnix);
    removeExpired();
    return std::visit([this](const auto& change) { return applyChange(change); }, command.change);
}

const EnvironmentRecord* ControlState::environment(const std::string& name) const
{
    const auto found = std::find_if(m_environments.begin(), m_environments.end(),
        [&name](const EnvironmentRecord& environment) { return environment.name == name; });
    return found == m_environments.end() ? nullptr : &*found;
}

EnvironmentRecord* ControlState::findEnvironment(const std::string& name)
{
    return const_cast<EnvironmentRecord*>(environment(name));
}

const ClusterView& ControlState::view(const std::string& name) const
{
    static const ClusterView unknown;
    const EnvironmentRecord* found = environment(name);
    return found ? found->view : unknown;
}

std::vector<Member> ControlState::members() const
{
    std::vector<Member> all;
    for (const auto& environment : m_environments)
        all.insert(all.end(), environment.view.members.begin(), environment.view.members.end());
    return all;
}

const Member* ControlState::member(const SessionId& id) const
{
    for (const auto& environment : m_environments) {
        // Members are in the order in which they joined, so their incarnations ascend.
        const auto& members = environment.view.members;
        const auto found = std::lower_bound(members.begin(), members.end(), id.incarnation,
            [](const Member& member, std::uint64_t incarnation) { return member.id.incarnation < incarnation; });
        if (found != members.end() && found->id == id)
            return &*found;
    }
    return nullptr;
}

const Member* ControlState::memberOfInstance(const std::string& instance) const
{
    for (const auto& environment : m_environments) {
        const auto& members = environment.view.members;
        const auto found = std::find_if(members.begin(), members.end(),
            [&instance](const Member& member) { return member.id.instance == instance; });
        if (found != members.end())
            return &*found;
    }
    return nullptr;
}

bool ControlState::isOut(const std::string& dataCentre) const
{
    // A data centre is out for all environments.
    const auto& out = m_environments.front().view.dataCentresOut;
    return std::find(out.begin(), out.end(), dataCentre) != out.end();
}

FindJobResponse ControlState::findJob(const FindJobRequest& request) const
{
    const auto claim = m_claims.find({ request.environment, request.key });
    if (claim == m_claims.end())
        return {};
    const Member* owner = member(claim->second.owner);
    return { .owner = claim->second.owner, .ownerAddress = owner ? owner->node.address : "" };
}

Result<ControlOutcome> ControlState::applyChange(const OpenSessionRequest& request)
{
    EnvironmentRecord* environment = findEnvironment(request.node.environment);
    if (!environment)
        return makeRefusal(ErrorCode::BadRequest, "control.session", "no environment " + request.node.environment);
    // A new incarnation of an instance ends the session of its former one.
    if (const Member* former = memberOfInstance(request.node.instance))
        endSession(SessionId(former->id));
    const SessionId id { .instance = request.node.instance, .incarnation = ++m_lastIncarnation };
    environment->view.members.push_back({ .id = id, .node = request.node });
    recordViewChange(*environment, ViewChangeKind::MemberJoined, id, m_options.keptViewChanges);
    return ControlOutcome(id);
}

Result<ControlOutcome> ControlState::applyChange(const CloseSession& request)
{
    endSession(request.session);
    return ControlOutcome(Nothing {});
}

void ControlState::endSession(const SessionId& id)
{
    const Member* found = member(id);
    if (!found)
        return;
    const Member ended = *found;
    if (ended.node.role == Role::Sidecar)
        m_endedSidecars.push_back({ .member = ended, .endedUnix = m_nowUnix });
    EnvironmentRecord& environment = *findEnvironment(ended.node.environment);
    std::erase_if(environment.view.members, [&ended](const Member& member) { return member.id == ended.id; });
    recordViewChange(environment, ViewChangeKind::MemberLeft, ended.id, m_options.keptViewChanges);
}

Result<ControlOutcome> ControlState::applyChange(const ClaimRequest& request)
{
    const Member* entry = member(request.entry);
    if (!entry)
        return makeRefusal(ErrorCode::StaleIncarnation, "control.claim", "the entry's session has ended");
    if (request.deadlineUnix > m_nowUnix + m_options.maxDeadline) {
        return makeRefusal(ErrorCode::BadRequest, "control.claim",
            fmt::format("the deadline is more than {} ms ahead", m_options.maxDeadline.count));
    }
    const ClaimKey key { entry->node.environment, request.key };
    const auto found = m_claims.find(key);
    if (found != m_claims.end()) {
        ClaimRecord& claim = found->second;
        if (claim.digest != request.digest)
            return makeRefusal(ErrorCode::Conflict, "control.claim", "the job id is in use by a job with other content");
        if (!member(claim.owner)) {
            if (claim.endedAsFailed) {
                Error error = makeRefusal(ErrorCode::AnswerGone, "control.claim",
                    "the job failed at an entry that is lost; the failure reasons are no longer available");
                error.ran = Ran::Unknown;
                return error;
            }
            claim.owner = request.entry;
            ++claim.epoch;
        }
        // An owner that resends after a lost response must collect results as well.
        const bool takenOver = claim.owner == request.entry && claim.epoch > 1;
        return ControlOutcome(makeClaimResponse(claim, takenOver));
    }
    if (request.deadlineUnix <= m_nowUnix) {
        // The claim of an earlier submission may have expired by now.
        Error error = makeRefusal(ErrorCode::DeadlinePassed, "control.claim", "the deadline has passed");
        error.ran = Ran::Unknown;
        return error;
    }
    const ClaimRecord claim { .environment = key.first,
        .key = request.key,
        .digest = request.digest,
        .service = request.service,
        .owner = request.entry,
        .epoch = 1,
        .firstClaimedUnix = m_nowUnix,
        .deadlineUnix = request.deadlineUnix };
    m_claims.emplace(key, claim);
    m_claimsByDeadline.emplace(request.deadlineUnix, key);
    return ControlOutcome(makeClaimResponse(claim, false));
}

Result<ControlOutcome> ControlState::applyChange(const EndJobRequest& request)
{
    const Member* entry = member(request.entry);
    if (!entry)
        return makeRefusal(ErrorCode::StaleIncarnation, "control.endJob", "the entry's session has ended");
    const auto found = m_claims.find({ entry->node.environment, request.key });
    const bool isOwner
        = found != m_claims.end() && found->second.owner == request.entry && found->second.epoch == request.epoch;
    if (!isOwner)
        return makeRefusal(ErrorCode::StaleEpoch, "control.endJob", "the entry does not own the job");
    found->second.endedAsFailed = true;
    return ControlOutcome(Nothing {});
}

ClaimResponse ControlState::makeClaimResponse(const ClaimRecord& claim, bool takenOver) const
{
    const Member* owner = member(claim.owner);
    ClaimResponse response { .owner = claim.owner,
        .ownerAddress = owner ? owner->node.address : "",
        .epoch = claim.epoch,
        .takenOver = takenOver,
        .sidecars = {} };
    if (!takenOver)
        return response;
    for (const auto& member : view(claim.environment).members) {
        if (member.node.role == Role::Sidecar && member.node.service == claim.service)
            response.sidecars.push_back(member);
    }
    for (const auto& ended : m_endedSidecars) {
        const NodeInfo& node = ended.member.node;
        const bool matchesClaim = node.environment == claim.environment && node.service == claim.service;
        if (matchesClaim && ended.endedUnix >= claim.firstClaimedUnix)
            response.sidecars.push_back(ended.member);
    }
    return response;
}

Result<ControlOutcome> ControlState::applyChange(const DataCentreChange& request)
{
    const bool known = std::any_of(m_environments.begin(), m_environments.end(), [&request](const auto& environment) {
        const auto& names = environment.view.config.dataCentres;
        return std::find(names.begin(), names.end(), request.dataCentre) != names.end();
    });
    // A data centre that is out can be taken back in even when no document names it any more.
    if (!known && !request.declared.value_or(false) && !isOut(request.dataCentre))
        return makeRefusal(ErrorCode::NotFound, "control.datacentre", "no data centre " + request.dataCentre);
    DataCentreChanged changed;
    changed.changed = isOut(request.dataCentre) != request.out;
    if (changed.changed) {
        for (auto& environment : m_environments) {
            std::erase(environment.view.dataCentresOut, request.dataCentre);
            if (request.out)
                environment.view.dataCentresOut.push_back(request.dataCentre);
            recordViewChange(environment, ViewChangeKind::DataCentres, {}, m_options.keptViewChanges);
        }
        m_dataCentreChanges.push_back({ .change = request, .whenUnix = m_nowUnix });
        dropOldestBeyond(m_dataCentreChanges, m_options.keptDataCentreChanges);
    }
    changed.viewVersion = view().version;
    changed.trialViewVersion = view(trialEnvironment).version;
    return ControlOutcome(changed);
}

Result<ControlOutcome> ControlState::applyChange(const AcceptDocument& request)
{
    EnvironmentRecord* environment = findEnvironment(request.change.environment);
    if (!environment)
        return makeRefusal(ErrorCode::NotFound, "control.apply", "no environment " + request.change.environment);
    return changeDocument(*environment, documentChange(request, m_nowUnix), std::nullopt);
}

Result<ControlOutcome> ControlState::applyChange(const PromoteDocument& request)
{
    const EnvironmentRecord& trial = *environment(trialEnvironment);
    const EnvironmentConfig& config = trial.view.config;
    std::optional<Error> refusal;
    if (config.version == 0)
        refusal = makeRefusal(ErrorCode::NotFound, "control.promote", "no document is in force in trial");
    else if (config.digest != request.digest) {
        refusal = makeRefusal(ErrorCode::Conflict, "control.promote",
            fmt::format("digest {} was to be promoted, but version {} with digest {} is in force in trial",
                request.digest, config.version, config.digest));
    }
    return changeDocument(
        *findEnvironment(productionEnvironment), documentChange(request, trial, m_nowUnix), refusal);
}

Result<ControlOutcome> ControlState::applyChange(const PublishCatalogue& request)
{
    EnvironmentRecord& production = *findEnvironment(productionEnvironment);
    auto& inForce = production.view.catalogue;
    const bool isNewer = !inForce || request.catalogue.version > inForce->version;
    if (isNewer) {
        inForce = request.catalogue;
        m_catalogueSource = request.source;
        recordViewChange(production, ViewChangeKind::Catalogue, {}, m_options.keptViewChanges);
    }
    return ControlOutcome(CataloguePublished {
        .version = inForce->version, .changed = isNewer, .viewVersion = production.view.version });
}

Result<ControlOutcome> ControlState::changeDocument(
    EnvironmentRecord& environment, const DocumentChange& change, const std::optional<Error>& refusal)
{
    const HistoryLimits limits { .versions = m_options.keptVersions, .changes = m_options.keptChanges };
    if (const auto recorded = recordedResponse(environment, change.changeId, change.digest)) {
        if (!recorded->has_value())
            return recorded->assume_error();
        return ControlOutcome(recorded->assume_value());
    }
    if (refusal)
        return recordRefusal(environment, change, limits, *refusal);
    BOOST_OUTCOME_TRY(auto applied, acceptDocument(environment, change, limits));
    recordViewChange(environment, ViewChangeKind::Config, {}, m_options.keptViewChanges);
    applied.viewVersion = environment.view.version;
    environment.changes.back().applied = applied;
    return ControlOutcome(applied);
}

void ControlState::removeExpired()
{
    while (!m_claimsByDeadline.empty()) {
        const auto oldest = m_claimsByDeadline.begin();
        if (m_nowUnix <= oldest->first + m_options.claimRetention)
            break;
        m_claims.erase(oldest->second);
        m_claimsByDeadline.erase(oldest);
    }
    const Milliseconds retention = m_options.maxDeadline + m_options.claimRetention;
    std::erase_if(
        m_endedSidecars, [this, retention](const EndedSidecar& ended) { return m_nowUnix > ended.endedUnix + retention; });
}

} // namespace oleanderport
