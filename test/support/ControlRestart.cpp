#include "support/ControlRestart.h"

#include "policy/ViewScope.h"

#include <algorithm>

namespace oleanderport::test {

namespace {

    constexpr std::int64_t electionMs = 400;
    constexpr Micros tickPeriod = 20'000;
    constexpr Micros tickCost = 50;
    constexpr Micros startSpread = 300'000;
    // As in the settings of the users' platform and in ControlClient, ControlServer.
    constexpr Micros callTimeout = 1'500'000;
    constexpr Micros heartbeatPeriod = 500'000;
    constexpr Micros longestHold = 300'000;
    constexpr int maxFollowedRedirects = 2;
    constexpr Milliseconds fixedRetryDelay { 50 };

    std::string nameOf(std::size_t control) { return "control-" + std::to_string(control); }
    std::size_t indexOf(const std::string& name) { return std::stoul(name.substr(name.find('-') + 1)); }

} // namespace

ControlRestart::ControlRestart(const ControlRestartOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_controls(options.controls)
{
    std::vector<RaftMember> voters;
    for (std::size_t i = 0; i < options.voters; ++i)
        voters.push_back({ .address = nameOf(i), .incarnation = "i" + std::to_string(i), .dataCentre = "dc-" + std::to_string(i) });
    const RaftEntry group { .index = 1, .term = 1, .kind = RaftEntryKind::Configuration, .data = {}, .voters = voters };
    const auto drawStart = [this] { return static_cast<Micros>(m_random() % static_cast<std::uint64_t>(startSpread)); };
    for (std::size_t i = 0; i < options.controls; ++i) {
        Control& control = m_controls[i];
        control.disk.self = { .address = nameOf(i), .incarnation = "i" + std::to_string(i), .dataCentre = "dc-" + std::to_string(i % options.voters) };
        // The group was created in an earlier boot.
        control.disk.boot = 2;
        control.disk.startNonce = m_random();
        control.disk.hard.term = 1;
        control.disk.entries.push_back(group);
        at(drawStart(), [this, i] { startControl(i); });
    }
    for (std::size_t i = 0; i < options.entries + options.sidecars; ++i) {
        std::vector<std::string> peers;
        for (std::size_t seed = 0; seed < seeds; ++seed)
            peers.push_back(nameOf((i + seed) % seeds));
        m_clients.push_back({ .isSidecar = i >= options.entries, .search = LeaderSearch(std::move(peers)) });
        at(drawStart(), [this, i] { beginCall(i); });
    }
}

void ControlRestart::at(Micros time, std::function<void()> call)
{
    m_events.push({ .at = std::max(time, m_now), .order = ++m_lastOrder, .call = std::move(call) });
}

void ControlRestart::runFor(Milliseconds duration)
{
    const Micros until = m_now + duration.count * microsPerMilli;
    while (!m_events.empty() && m_events.top().at <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.call();
    }
    m_now = until;
}

void ControlRestart::startControl(std::size_t index)
{
    Control& control = m_controls[index];
    RaftOptions options { .targetVoters = m_options.voters,
        .heartbeat = { electionMs * 15 / percent },
        .minElectionTimeout = { electionMs },
        .maxElectionTimeout = { electionMs * 2 },
        .leaderLease = { electionMs * 80 / percent },
        .verifyWait = { 1'500 },
        .seed = m_random() };
    for (std::size_t i = 0; i < seeds; ++i)
        options.peers.push_back(nameOf(i));
    control.raft = std::make_unique<Raft>(options, control.disk, now());
    control.busyUntil = m_now;
    if (index < m_options.voters && ++m_votersUp == m_options.voters / 2 + 1)
        m_majorityUpAt = now();
    tick(index);
}

void ControlRestart::tick(std::size_t index)
{
    arrive(index, [this, index] {
        Control& control = m_controls[index];
        spend(control, tickCost);
        perform(index, control.raft->tick(now()));
        while (!control.held.empty() && (leaderKnownTo(index) || control.held.front().until <= m_now)) {
            const Held held = control.held.front();
            control.held.pop_front();
            if (leaderKnownTo(index))
                take(index, held.call);
            else
                answer(index, held.call, { .kind = Answer::Kind::NotLeader });
        }
        at(std::max(m_now, control.busyUntil) + tickPeriod, [this, index] { tick(index); });
    });
}

void ControlRestart::arrive(std::size_t index, std::function<void()> work)
{
    m_controls[index].work.push_back(std::move(work));
    wake(index);
}

void ControlRestart::wake(std::size_t index)
{
    Control& control = m_controls[index];
    if (control.wakeScheduled)
        return;
    control.wakeScheduled = true;
    at(control.busyUntil, [this, index] { serve(index); });
}

// One round: the work that has arrived by now, one item per event, then one slice of the queued calls.
void ControlRestart::serve(std::size_t index)
{
    Control& control = m_controls[index];
    control.wakeScheduled = false;
    control.busyUntil = std::max(control.busyUntil, m_now);
    if (control.remainingInRound == 0)
        control.remainingInRound = control.work.size();
    if (control.remainingInRound > 0) {
        const auto work = std::move(control.work.front());
        control.work.pop_front();
        work();
        if (--control.remainingInRound > 0)
            return wake(index);
    }
    const Micros begin = control.busyUntil;
    std::size_t served = 0;
    const auto passed = [&] { return Milliseconds { (control.busyUntil - begin) / microsPerMilli }; };
    while (control.waiting() > 0 && (served == 0 || !control.pace.isSliceOver({}, passed()))) {
        auto& queue = control.opens.empty() ? control.heartbeats : control.opens;
        const auto call = std::move(queue.front());
        queue.pop_front();
        call();
        ++served;
    }
    control.pace.recordSlice(served, control.waiting(), { control.busyUntil / microsPerMilli });
    if (control.waiting() > 0 || !control.work.empty())
        wake(index);
}

void ControlRestart::perform(std::size_t index, RaftActions actions)
{
    Control& control = m_controls[index];
    control.unsynced.insert(control.unsynced.end(), actions.writes.begin(), actions.writes.end());
    synced(index);
    for (const auto& message : actions.send) {
        at(std::max(m_now, control.busyUntil) + m_options.delay, [this, message] {
            const std::size_t to = indexOf(message.to);
            if (!m_controls[to].raft)
                return;
            arrive(to, [this, to, message] {
                spend(m_controls[to], m_options.receiveCost);
                perform(to, m_controls[to].raft->receive(message, now()));
            });
        });
    }
    if (control.raft->leads())
        m_leaderTerms.insert(control.raft->term());
    for (const auto& entry : actions.committed) {
        const auto proposed = control.proposed.find(entry.index);
        if (proposed == control.proposed.end())
            continue;
        const Call call = proposed->second;
        control.proposed.erase(proposed);
        if (m_options.paced)
            control.opens.push_back([this, index, call] { answerOpen(index, call); });
        else
            answerOpen(index, call);
    }
    if (control.waiting() > 0)
        wake(index);
}

// Runs one sync at a time; it covers everything written before it began.
void ControlRestart::synced(std::size_t index)
{
    Control& control = m_controls[index];
    if (control.syncInProgress || control.unsynced.empty())
        return;
    control.syncInProgress = true;
    const std::uint64_t number = control.unsynced.back().number;
    at(m_now + m_options.sync, [this, index, number] {
        arrive(index, [this, index, number] {
            Control& again = m_controls[index];
            again.syncInProgress = false;
            std::erase_if(again.unsynced, [number](const RaftWrite& write) { return write.number <= number; });
            perform(index, again.raft->written(number, now()));
        });
    });
}

bool ControlRestart::leads(const Control& control) const { return control.raft->isConfirmedLeader(now()); }

std::optional<std::size_t> ControlRestart::leaderKnownTo(std::size_t index) const
{
    const Control& control = m_controls[index];
    if (leads(control))
        return index;
    if (control.raft->leads() || control.raft->leaderAddress().empty())
        return std::nullopt;
    return indexOf(control.raft->leaderAddress());
}

void ControlRestart::take(std::size_t index, const Call& call)
{
    Control& control = m_controls[index];
    const auto leader = leaderKnownTo(index);
    if (!leader && m_options.holds) {
        control.held.push_back({ .until = m_now + longestHold, .call = call });
        return;
    }
    if (!leader || *leader != index)
        return answer(index, call, { .kind = Answer::Kind::NotLeader, .leader = leader });
    if (!m_options.paced)
        return serveCall(index, call);
    if (const auto retryAfter = control.pace.retryAfter(call.isOpen ? control.opens.size() : control.waiting()))
        return answer(index, call, { .kind = Answer::Kind::RetryLater, .retryAfter = *retryAfter });
    (call.isOpen ? control.opens : control.heartbeats).push_back([this, index, call] { serveCall(index, call); });
    wake(index);
}

void ControlRestart::serveCall(std::size_t index, const Call& call)
{
    Control& control = m_controls[index];
    if (!leads(control))
        return answer(index, call, { .kind = Answer::Kind::NotLeader });
    if (call.isOpen) {
        spend(control, m_options.answerCost);
        auto actions = control.raft->propose({ "open" }, now());
        control.proposed[control.raft->lastIndex()] = call;
        return perform(index, std::move(actions));
    }
    Client& client = m_clients[call.client];
    const std::size_t news = m_joined - std::min(client.viewVersion, m_joined);
    client.viewVersion = m_joined;
    spend(control, membersFor(client) > 0 ? static_cast<Micros>(news) * m_options.memberCost : 0);
    answer(index, call, {});
}

void ControlRestart::answerOpen(std::size_t index, const Call& call)
{
    Client& client = m_clients[call.client];
    ++m_joined;
    client.viewVersion = m_joined;
    spend(m_controls[index], static_cast<Micros>(membersFor(client)) * m_options.memberCost);
    answer(index, call, {});
}

std::size_t ControlRestart::membersFor(const Client& client) const
{
    const NodeInfo node { .role = client.isSidecar ? Role::Sidecar : Role::Entry,
        .streamAddress = client.isSidecar ? std::optional<std::string>("address") : std::nullopt };
    // Members from before the power loss stay in the view until their instances open new sessions.
    return viewPartFor(node) == ViewPart::Whole || !m_options.scopedViews ? m_clients.size() : 0;
}

void ControlRestart::answer(std::size_t index, const Call& call, Answer answer)
{
    Control& control = m_controls[index];
    spend(control, m_options.answerCost);
    at(control.busyUntil + m_options.delay, [this, index, call, answer] {
        if (m_clients[call.client].number == call.number)
            answered(call.client, index, answer);
    });
}

void ControlRestart::beginCall(std::size_t index)
{
    Client& client = m_clients[index];
    client.giveUpAt = m_now + callTimeout;
    client.failures = 0;
    client.followed = 0;
    attempt(index);
}

void ControlRestart::attempt(std::size_t index)
{
    Client& client = m_clients[index];
    const Call call { .client = index, .number = ++client.number, .isOpen = !client.hasSession };
    const std::size_t asked = indexOf(client.search.target());
    scheduleQuery(index, asked);
    const Micros timeout = std::max<Micros>((client.giveUpAt - m_now) / 2, microsPerMilli);
    at(m_now + timeout, [this, index, asked, number = call.number] {
        if (m_clients[index].number == number)
            failed(index, asked, std::nullopt);
    });
    at(m_now + m_options.delay, [this, index, asked, call] {
        if (m_controls[asked].raft) {
            return arrive(asked, [this, asked, call] {
                spend(m_controls[asked], m_options.receiveCost);
                take(asked, call);
            });
        }
        // The instance is not listening yet: the connection is refused after one round trip.
        at(m_now + m_options.delay, [this, index, asked, number = call.number] {
            if (m_clients[index].number == number)
                failed(index, asked, std::nullopt);
        });
    });
}

void ControlRestart::scheduleQuery(std::size_t index, std::size_t asked)
{
    if (!m_options.queries)
        return;
    const Micros delay = m_clients[index].search.queryDelay(m_random()).count * microsPerMilli;
    at(m_now + delay, [this, index, asked, number = m_clients[index].number] {
        if (m_clients[index].number != number)
            return;
        const std::string next = m_clients[index].search.nextQuery(nameOf(asked), now());
        if (!next.empty())
            query(index, indexOf(next));
        scheduleQuery(index, asked);
    });
}

void ControlRestart::query(std::size_t index, std::size_t queried)
{
    at(m_now + m_options.delay, [this, index, queried, number = m_clients[index].number] {
        if (!m_controls[queried].raft)
            return;
        arrive(queried, [this, index, queried, number] {
            Control& control = m_controls[queried];
            ++m_queries;
            spend(control, m_options.receiveCost + m_options.answerCost);
            std::vector<std::string> group;
            for (const auto& voter : control.raft->voters())
                group.push_back(voter.address);
            const auto leader = leaderKnownTo(queried);
            at(control.busyUntil + m_options.delay, [this, index, queried, number, group, leader] {
                Client& client = m_clients[index];
                client.search.learn(group, m_random());
                if (client.number != number || !leader || nameOf(*leader) == client.search.target())
                    return;
                if (*leader != queried)
                    return query(index, *leader);
                client.search.confirmed(nameOf(queried));
                attempt(index);
            });
        });
    });
}

void ControlRestart::answered(std::size_t index, std::size_t asked, const Answer& answer)
{
    Client& client = m_clients[index];
    if (answer.kind == Answer::Kind::NotLeader)
        return failed(index, asked, answer.leader);
    if (answer.kind == Answer::Kind::RetryLater) {
        ++client.number;
        at(m_now + jitteredRetryAfter(answer.retryAfter, m_random()).count * microsPerMilli, [this, index] { attempt(index); });
        return;
    }
    ++client.number;
    if (!client.hasSession) {
        client.hasSession = true;
        if (++m_openSessions == m_clients.size())
            m_allOpenAt = now();
    }
    at(m_now + heartbeatPeriod, [this, index] { beginCall(index); });
}

void ControlRestart::failed(std::size_t index, std::size_t asked, std::optional<std::size_t> named)
{
    Client& client = m_clients[index];
    ++client.number;
    const std::string before = client.search.target();
    client.search.failed(nameOf(asked), named ? nameOf(*named) : std::string {});
    const bool follows = named && client.search.target() == nameOf(*named) && client.search.target() != before;
    Milliseconds pause = fixedRetryDelay;
    if (m_options.backsOff) {
        const bool atOnce = follows && client.followed++ < maxFollowedRedirects;
        if (!atOnce)
            client.followed = 0;
        pause = atOnce ? Milliseconds {} : jitteredBackoff({}, client.failures++, m_random());
    }
    const Micros next = m_now + pause.count * microsPerMilli;
    // A call past its deadline is repeated with the next heartbeat.
    if (next >= client.giveUpAt) {
        at(m_now + heartbeatPeriod, [this, index] { beginCall(index); });
        return;
    }
    at(next, [this, index, number = client.number] {
        if (m_clients[index].number == number)
            attempt(index);
    });
}

} // namespace oleanderport::test
