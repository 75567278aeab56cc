#include "policy/ControlState.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    Error refuse(ErrorCode code, const char* step, std::string message)
    {
        return Error { .code = code, .ran = Ran::No, .step = step, .peer = {}, .message = std::move(message) };
    }

} // namespace

ControlState::ControlState(const ControlStateOptions& options)
    : m_options(options)
{
}

Result<ControlOutcome> ControlState::apply(const ControlCommand& command)
{
    m_nowUnix = std::max(m_nowUnix, command.stampUnix);
    forget();
    return std::visit([this](const auto& change) { return applyChange(change); }, command.change);
}

const Member* ControlState::member(const SessionId& id) const
{
    const auto found = std::find_if(
        m_view.members.begin(), m_view.members.end(), [&id](const Member& member) { return member.id == id; });
    return found == m_view.members.end() ? nullptr : &*found;
}

bool ControlState::isOut(const std::string& dataCentre) const
{
    const auto& out = m_view.dataCentresOut;
    return std::find(out.begin(), out.end(), dataCentre) != out.end();
}

FindJobResponse ControlState::findJob(const JobKey& key) const
{
    const auto claim = m_claims.find(key);
    if (claim == m_claims.end())
        return {};
    const Member* owner = member(claim->second.owner);
    return { .owner = claim->second.owner, .ownerAddress = owner ? owner->node.address : "" };
}

Result<ControlOutcome> ControlState::applyChange(const OpenSessionRequest& request)
{
    // A new life of an instance ends its former one.
    const auto former = std::find_if(m_view.members.begin(), m_view.members.end(), [&request](const Member& member) {
        return member.id.instance == request.node.instance;
    });
    if (former != m_view.members.end())
        endSession(SessionId(former->id));
    const SessionId id { .instance = request.node.instance, .incarnation = ++m_lastIncarnation };
    m_view.members.push_back({ .id = id, .node = request.node });
    ++m_view.version;
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
    if (found->node.role == Role::Sidecar)
        m_endedSidecars.push_back({ .member = *found, .endedUnix = m_nowUnix });
    std::erase_if(m_view.members, [&id](const Member& member) { return member.id == id; });
    ++m_view.version;
}

Result<ControlOutcome> ControlState::applyChange(const ClaimRequest& request)
{
    if (!member(request.entry))
        return refuse(ErrorCode::StaleIncarnation, "control.claim", "the entry's session has ended");
    if (request.deadlineUnix > m_nowUnix + m_options.maxDeadline) {
        return refuse(ErrorCode::BadRequest, "control.claim",
            fmt::format("deadline more than {} ms ahead", m_options.maxDeadline.count));
    }
    const auto found = m_claims.find(request.key);
    if (found != m_claims.end()) {
        Claim& claim = found->second;
        if (claim.digest != request.digest)
            return refuse(ErrorCode::Conflict, "control.claim", "the job id is in use with other content");
        if (!member(claim.owner)) {
            claim.owner = request.entry;
            ++claim.epoch;
        }
        // An owner that asks again after a lost answer must collect as well.
        const bool takenOver = claim.owner == request.entry && claim.epoch > 1;
        return ControlOutcome(respond(claim, takenOver));
    }
    if (request.deadlineUnix <= m_nowUnix) {
        // The claim of an earlier submission may have been forgotten by now.
        Error error = refuse(ErrorCode::DeadlinePassed, "control.claim", "the deadline has passed");
        error.ran = Ran::Unknown;
        return error;
    }
    const Claim claim { .digest = request.digest,
        .service = request.service,
        .owner = request.entry,
        .epoch = 1,
        .firstClaimedUnix = m_nowUnix,
        .deadlineUnix = request.deadlineUnix };
    m_claims.emplace(request.key, claim);
    m_claimsByDeadline.emplace(request.deadlineUnix, request.key);
    return ControlOutcome(respond(claim, false));
}

ClaimResponse ControlState::respond(const Claim& claim, bool takenOver) const
{
    const Member* owner = member(claim.owner);
    ClaimResponse response { .owner = claim.owner,
        .ownerAddress = owner ? owner->node.address : "",
        .epoch = claim.epoch,
        .takenOver = takenOver,
        .sidecars = {} };
    if (!takenOver)
        return response;
    for (const auto& member : m_view.members) {
        if (member.node.role == Role::Sidecar && member.node.service == claim.service)
            response.sidecars.push_back(member);
    }
    for (const auto& ended : m_endedSidecars) {
        if (ended.member.node.service == claim.service && ended.endedUnix >= claim.firstClaimedUnix)
            response.sidecars.push_back(ended.member);
    }
    return response;
}

Result<ControlOutcome> ControlState::applyChange(const DataCentreChange& request)
{
    const auto& known = m_view.config.dataCentres;
    if (std::find(known.begin(), known.end(), request.dataCentre) == known.end())
        return refuse(ErrorCode::NotFound, "control.datacentre", "no data centre " + request.dataCentre);
    if (isOut(request.dataCentre) != request.out) {
        std::erase(m_view.dataCentresOut, request.dataCentre);
        if (request.out)
            m_view.dataCentresOut.push_back(request.dataCentre);
        ++m_view.version;
    }
    return ControlOutcome(DataCentreChanged { .viewVersion = m_view.version, .inForceWithin = {} });
}

Result<ControlOutcome> ControlState::applyChange(const AcceptDocument& request)
{
    const auto before = m_appliedChanges.find(request.change.changeId);
    if (before != m_appliedChanges.end())
        return ControlOutcome(before->second);
    if (request.change.baseVersion != m_view.config.version) {
        return refuse(ErrorCode::Conflict, "control.apply",
            fmt::format("based on version {}, but version {} is in force", request.change.baseVersion,
                m_view.config.version));
    }
    const std::uint64_t version = m_view.config.version + 1;
    m_view.config = request.config;
    m_view.config.version = version;
    ++m_view.version;
    const DocumentApplied applied { .version = version, .digest = request.config.digest };
    m_appliedChanges.emplace(request.change.changeId, applied);
    return ControlOutcome(applied);
}

void ControlState::forget()
{
    while (!m_claimsByDeadline.empty()) {
        const auto oldest = m_claimsByDeadline.begin();
        if (m_nowUnix <= oldest->first + m_options.claimRetention)
            break;
        m_claims.erase(oldest->second);
        m_claimsByDeadline.erase(oldest);
    }
    const Milliseconds keep = m_options.maxDeadline + m_options.claimRetention;
    std::erase_if(
        m_endedSidecars, [this, keep](const EndedSidecar& ended) { return m_nowUnix > ended.endedUnix + keep; });
}

} // namespace oleanderport
