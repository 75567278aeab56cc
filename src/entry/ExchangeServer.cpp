#include "entry/ExchangeServer.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace oleanderport {

namespace {

    constexpr Milliseconds maxPollHold { 8'000 };

    Error refuse(ErrorCode code, const SessionId& peer, std::string message)
    {
        return Error { .code = code,
            .ran = Ran::No,
            .step = "entry.exchange",
            .peer = peer.instance,
            .message = std::move(message) };
    }

} // namespace

ExchangeServer::ExchangeServer(Process& process, JobTable& jobs, Callbacks callbacks)
    : m_process(process)
    , m_jobs(jobs)
    , m_callbacks(std::move(callbacks))
{
}

void ExchangeServer::setSession(const std::optional<SessionId>& self)
{
    m_self = self;
    m_sidecars.clear();
    m_health.clear();
}

void ExchangeServer::viewChanged(const ClusterView& view)
{
    std::set<SessionId> liveSidecars;
    for (const auto& member : view.members) {
        if (member.node.role != Role::Sidecar)
            continue;
        liveSidecars.insert(member.id);
        Sidecar& sidecar = m_sidecars[member.id];
        sidecar.member = member;
        healthOf(sidecar).add(member.id, member.node.slots);
    }
    std::erase_if(m_sidecars, [&](const auto& item) {
        if (liveSidecars.contains(item.first))
            return false;
        m_jobs.sidecarLost(item.first);
        healthOf(item.second).remove(item.first);
        return true;
    });
}

MinionHealth& ExchangeServer::healthOf(const Sidecar& sidecar)
{
    return m_health.try_emplace(sidecar.member.node.service, MinionHealthOptions {}).first->second;
}

std::optional<double> ExchangeServer::meanRunTime(const std::string& service) const
{
    const auto found = m_runTimes.find(service);
    return found == m_runTimes.end() ? std::nullopt : found->second.mean();
}

SidecarCandidate ExchangeServer::candidateFor(const SessionId& id, const Sidecar& sidecar)
{
    return { .id = id,
        .sameDataCentre = sidecar.member.node.dataCentre == m_process.settings.dataCentre,
        .slots = sidecar.member.node.slots,
        .outstanding = static_cast<std::int64_t>(m_jobs.outstanding(id)),
        .load = sidecar.estimatedLoad(),
        .credit = sidecar.credit(),
        .allowance = healthOf(sidecar).allowance(id, Clock::now()) };
}

std::optional<Error> ExchangeServer::refusalFor(const ExchangeRequest& request) const
{
    if (!m_self || request.entry != *m_self)
        return refuse(ErrorCode::StaleIncarnation, request.sidecar, "the exchange is for another incarnation of this entry");
    const auto sidecar = m_sidecars.find(request.sidecar);
    if (sidecar == m_sidecars.end())
        return refuse(ErrorCode::Unavailable, request.sidecar, "this sidecar session is not in the view of this entry");
    const ChannelState& channel
        = request.channel == Channel::Poll ? sidecar->second.poll : sidecar->second.report;
    if (request.sequence < channel.sequence || request.sequence > channel.sequence + 1)
        return refuse(ErrorCode::BadRequest, request.sidecar, "the sequence number is out of order");
    return std::nullopt;
}

void ExchangeServer::handle(const ExchangeRequest& request, const Reply& reply)
{
    if (const auto refusal = refusalFor(request)) {
        if (m_self && request.entry == *m_self && !m_sidecars.contains(request.sidecar))
            m_callbacks.unknownSidecar();
        return reply(*refusal);
    }
    Sidecar& sidecar = m_sidecars.at(request.sidecar);
    ChannelState& channel = request.channel == Channel::Poll ? sidecar.poll : sidecar.report;
    sidecar.granted = std::max(sidecar.granted, request.grantedTotal);
    sidecar.received = request.receivedTotal;
    sidecar.load = request.load;
    sidecar.leaving = sidecar.leaving || request.leaving;
    const bool repeated = request.sequence == channel.sequence;
    if (repeated && channel.lastResponse)
        return reply(*channel.lastResponse);
    channel.sequence = request.sequence;
    channel.lastResponse.reset();
    channel.hadResults = !request.results.empty();
    if (request.channel == Channel::Poll) {
        channel.heldReply = reply;
        channel.heldSince = Clock::now();
        dispatch();
        return;
    }
    takeResults(request);
    auto tasks = m_jobs.take(sidecar.member.node.service, request.sidecar,
        static_cast<std::size_t>(sendableTasks(candidateFor(request.sidecar, sidecar))));
    reply(respondTo(sidecar, channel, std::move(tasks)));
    m_callbacks.changed();
    dispatch();
}

void ExchangeServer::takeResults(const ExchangeRequest& request)
{
    const Sidecar& sidecar = m_sidecars.at(request.sidecar);
    MinionHealth& health = healthOf(sidecar);
    RunTimes& runTimes = m_runTimes[sidecar.member.node.service];
    for (const auto& result : request.results) {
        if (m_jobs.result(request.sidecar, result)) {
            health.record(request.sidecar, result.outcome, result.ranFor, Clock::now());
            if (result.outcome == TaskOutcome::Done)
                runTimes.record(result.ranFor);
            continue;
        }
        m_process.metrics.add("results_dropped_total");
        m_process.events.record(EventKind::ResultDropped,
            { .job = &result.key, .task = result.task, .detail = request.sidecar.instance });
    }
}

ExchangeResponse ExchangeServer::respondTo(
    Sidecar& sidecar, ChannelState& channel, std::vector<TaskAssignment> tasks)
{
    sidecar.sent += tasks.size();
    for (const auto& task : tasks) {
        m_process.metrics.add("sends_total");
        m_process.events.record(
            EventKind::TaskSent, { .job = &task.key, .task = task.task, .detail = sidecar.member.id.instance });
    }
    ExchangeResponse response { .sequence = channel.sequence,
        .tasks = std::move(tasks),
        .cancels = std::exchange(sidecar.cancels, {}),
        .queued = m_jobs.demand(sidecar.member.node.service),
        .sentTotal = sidecar.sent };
    sidecar.queueAnnounced = !response.queued.empty();
    countExchange(channel, response);
    channel.lastResponse = response;
    return response;
}

void ExchangeServer::countExchange(ChannelState& channel, const ExchangeResponse& response)
{
    const bool hasContent = channel.hadResults || !response.tasks.empty() || !response.cancels.empty();
    channel.hadResults = false;
    m_process.metrics.add("exchanges_total");
    if (!hasContent)
        m_process.metrics.add("exchanges_empty_total");
}

void ExchangeServer::answerPoll(Sidecar& sidecar, std::vector<TaskAssignment> tasks)
{
    const Reply reply = std::exchange(sidecar.poll.heldReply, nullptr);
    reply(respondTo(sidecar, sidecar.poll, std::move(tasks)));
}

void ExchangeServer::dispatch()
{
    collectCancellations();
    assign();
    announceDemand();
}

void ExchangeServer::assign()
{
    std::map<std::string, std::vector<SidecarCandidate>> byService;
    for (const auto& [id, sidecar] : m_sidecars) {
        if (!sidecar.poll.heldReply || sidecar.credit() <= 0 || m_jobs.queued(sidecar.member.node.service) == 0)
            continue;
        byService[sidecar.member.node.service].push_back(candidateFor(id, sidecar));
    }
    std::map<SessionId, std::vector<TaskAssignment>> batches;
    for (auto& [service, candidates] : byService) {
        while (m_jobs.queued(service) > 0) {
            const auto best = pickSidecar(candidates);
            if (!best)
                break;
            SidecarCandidate& chosen = candidates[*best];
            auto taken = m_jobs.take(service, chosen.id, 1);
            if (taken.empty())
                break;
            batches[chosen.id].push_back(std::move(taken.front()));
            --chosen.credit;
            ++chosen.outstanding;
            ++chosen.load;
        }
    }
    for (auto& [id, tasks] : batches)
        answerPoll(m_sidecars.at(id), std::move(tasks));
}

void ExchangeServer::collectCancellations()
{
    std::set<SessionId> cancelledAt;
    for (const auto& cancellation : m_jobs.drainCancellations()) {
        const auto sidecar = m_sidecars.find(cancellation.sidecar);
        if (sidecar == m_sidecars.end())
            continue;
        sidecar->second.cancels.push_back(cancellation.order);
        cancelledAt.insert(cancellation.sidecar);
    }
    for (const auto& id : cancelledAt) {
        Sidecar& sidecar = m_sidecars.at(id);
        if (sidecar.poll.heldReply)
            answerPoll(sidecar, {});
    }
}

void ExchangeServer::announceDemand()
{
    for (auto& [id, sidecar] : m_sidecars) {
        const bool mustAnnounce
            = sidecar.poll.heldReply && !sidecar.queueAnnounced && m_jobs.queued(sidecar.member.node.service) > 0;
        if (mustAnnounce)
            answerPoll(sidecar, {});
    }
}

void ExchangeServer::tick(Milliseconds now)
{
    const auto polling = std::count_if(
        m_sidecars.begin(), m_sidecars.end(), [](const auto& item) { return item.second.poll.heldReply != nullptr; });
    m_process.metrics.set("sidecars_polling", static_cast<double>(polling));
    for (const auto& [service, health] : m_health)
        m_process.metrics.set("minions_ejected", static_cast<double>(health.ejectedCount(now)));
    for (auto& [id, sidecar] : m_sidecars) {
        const bool heldTooLong = sidecar.poll.heldReply && now > sidecar.poll.heldSince + maxPollHold;
        const bool hasCancels = sidecar.poll.heldReply && !sidecar.cancels.empty();
        if (heldTooLong || hasCancels)
            answerPoll(sidecar, {});
    }
}

} // namespace oleanderport
