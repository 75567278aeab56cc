#include "support/DispatchModel.h"

#include "policy/AnswerTimes.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr Milliseconds reconnectPause { 100 };
    constexpr Milliseconds reportPeriod { 1'500 };
    constexpr Milliseconds stopGrace { 30 };
    constexpr Milliseconds minRequestDelay { 2'000 };
    constexpr std::int64_t requestDelaySpread = 10'000;
    constexpr std::int64_t thousandths = 1'000;
    constexpr const char* service = "service";
    constexpr std::uint64_t wholePercent = 100;

    const char* startAnswerName(StartAnswer answer)
    {
        switch (answer) {
        case StartAnswer::Started:
            return "started";
        case StartAnswer::NoRoom:
            return "no room";
        case StartAnswer::Unhealthy:
            return "unhealthy";
        case StartAnswer::Superseded:
            return "superseded";
        case StartAnswer::Fenced:
            return "fenced";
        case StartAnswer::Refused:
            return "refused";
        case StartAnswer::Unknown:
            break;
        }
        return "no answer";
    }

    std::string sidecarName(int number) { return fmt::format("sidecar-{}", number); }

    int sidecarNumber(const std::string& name) { return std::stoi(name.substr(name.find('-') + 1)); }

} // namespace

struct DispatchModel::Entry {
    std::unique_ptr<JobDispatcher> dispatcher;
    std::string incarnationId;
    int generation { 0 };
    Milliseconds frozenUntil {};
    bool wakes { false };
    std::deque<std::function<void()>> inbox;
    std::map<std::uint64_t, std::size_t> outcomeOf;
    std::optional<Milliseconds> timerAt;
    int incarnation { 0 };
};

struct DispatchModel::Sidecar {
    std::unique_ptr<RunTable> runs;
    // As in the adapter.
    AnswerTimes requestTimes { {} };
    int generation { 0 };
    Milliseconds frozenUntil {};
    bool wakes { false };
    std::deque<std::function<void()>> inbox;
    std::optional<Milliseconds> timerAt;
    bool out { false };
    TaskNeeds used;
};

struct DispatchModel::Minion {
    struct Run {
        std::uint64_t serial { 0 };
        Milliseconds startedAt {};
        Milliseconds takes {};
        TaskNeeds needs;
        bool fails { false };
    };
    Milliseconds born {};
    std::uint64_t sequence { 0 };
    bool up { true };
    Milliseconds leaseEnd {};
    TaskNeeds used;
    std::map<RunName, Run> running;
    std::deque<ListedEnd> ends;
    std::uint64_t lastEnd { 0 };
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::uint64_t> highestEnded;
    // List requests that wait for a run to end.
    std::vector<WaitingList> waiting;
    Milliseconds pausedUntil {};
    int highestToken { 0 };
    std::int64_t slow { 1 };
    double failShare { 0 };
    bool hangs { false };
};

struct DispatchModel::Link {
    bool open { false };
    // Number of the current stream; messages in flight on an earlier one are dropped.
    int stream { 0 };
    bool handshakeDone { false };
    Milliseconds cutUntil {};
};

DispatchModel::DispatchModel(const DispatchModelOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int i = 0; i < options.entries; ++i) {
        m_entries.push_back(std::make_unique<Entry>());
        restartEntry(i);
    }
    for (int i = 0; i < options.sidecars; ++i) {
        m_minions.push_back(std::make_unique<Minion>());
        m_minions.back()->born = m_now;
        m_sidecars.push_back(std::make_unique<Sidecar>());
        restartSidecar(i);
    }
    for (int entry = 0; entry < options.entries; ++entry) {
        for (int sidecar = 0; sidecar < options.sidecars; ++sidecar)
            connect(entry, sidecar);
    }
}

DispatchModel::~DispatchModel() = default;

void DispatchModel::at(Milliseconds time, std::function<void()> call)
{
    m_events.push({ .at = std::max(time, m_now), .order = ++m_lastOrder, .call = std::move(call) });
}

void DispatchModel::runFor(Milliseconds duration)
{
    const Milliseconds until = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.call();
    }
    m_now = until;
}

DispatchModel::Link& DispatchModel::link(int entry, int sidecar) { return m_links[{ entry, sidecar }]; }

void DispatchModel::restartEntry(int number)
{
    Entry& entry = *m_entries[static_cast<std::size_t>(number)];
    JobDispatcherOptions options = m_options.dispatcher;
    options.incarnation = fmt::format("entry-{}/{}", number, ++m_lastIncarnation);
    options.entries = static_cast<std::size_t>(m_options.entries);
    options.sidecars = static_cast<std::size_t>(m_options.sidecars);
    options.startedAt = m_now;
    options.seed = m_random();
    entry.dispatcher = std::make_unique<JobDispatcher>(options);
    entry.incarnationId = options.incarnation;
    entry.timerAt.reset();
    entry.outcomeOf.clear();
    entry.inbox.clear();
    for (auto& outcome : m_outcomes) {
        if (outcome.entry == number && !outcome.kind && !outcome.left)
            outcome.left = true, outcome.endedAt = m_now;
    }
    const bool isFirst = entry.generation++ == 0;
    if (isFirst)
        return;
    for (int sidecar = 0; sidecar < m_options.sidecars; ++sidecar) {
        disconnect(number, sidecar);
        connect(number, sidecar);
    }
}

void DispatchModel::restartSidecar(int number)
{
    Sidecar& sidecar = *m_sidecars[static_cast<std::size_t>(number)];
    RunTableOptions options = m_options.runs;
    options.incarnation = fmt::format("{}/{}", sidecarName(number), ++m_lastIncarnation);
    options.dataCentre = "dc";
    sidecar.runs = std::make_unique<RunTable>(options, m_now);
    sidecar.requestTimes = AnswerTimes({ .maxTimeout = m_options.orderTimeout });
    sidecar.inbox.clear();
    sidecar.timerAt.reset();
    const bool isFirst = sidecar.generation++ == 0;
    m_minions[static_cast<std::size_t>(number)]->waiting.clear();
    const int generation = sidecar.generation;
    // The minion reports when it notices the restart, at the latest with its next heartbeat.
    const Milliseconds reportAt = isFirst ? m_now : m_now + Milliseconds { static_cast<std::int64_t>(m_random() % reportPeriod.count) };
    at(reportAt, [this, number, generation] {
        if (m_sidecars[static_cast<std::size_t>(number)]->generation == generation)
            report(number);
    });
    if (isFirst)
        return;
    for (int entry = 0; entry < m_options.entries; ++entry) {
        disconnect(entry, number);
        at(m_now + reconnectPause, [this, entry, number] { connect(entry, number); });
    }
}

TaskNeeds DispatchModel::capacityOf(int minion) const
{
    TaskNeeds capacity = m_options.capacity;
    if (m_options.largerEvery > 0 && minion % m_options.largerEvery == m_options.largerEvery - 1)
        capacity.cpuMillis += capacity.cpuMillis / 2;
    return capacity;
}

void DispatchModel::report(int number)
{
    Sidecar& sidecar = *m_sidecars[static_cast<std::size_t>(number)];
    Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    const int generation = sidecar.generation;
    if (minion.up) {
        const MinionReport report { .born = minion.born,
            .sequence = ++minion.sequence,
            .service = service,
            .capacity = capacityOf(number) };
        const auto take = [this, number, report] {
            Sidecar& again = *m_sidecars[static_cast<std::size_t>(number)];
            again.runs->permit(m_now + Milliseconds { 3'600'000 }, !again.out);
            again.runs->reported(report, m_now);
        };
        if (m_busy) {
            at(std::max(m_now, minion.pausedUntil) + drawDelay(), [this, number, generation, take] { atSidecar(number, generation, take); });
        } else {
            take();
            actSidecar(number);
        }
    }
    at(m_now + reportPeriod, [this, number, generation] {
        if (m_sidecars[static_cast<std::size_t>(number)]->generation == generation)
            report(number);
    });
}

void DispatchModel::connect(int entry, int sidecar)
{
    Link& link = this->link(entry, sidecar);
    if (link.open)
        return;
    ++link.stream;
    link.open = true;
    link.handshakeDone = false;
    m_entries[static_cast<std::size_t>(entry)]->dispatcher->connected(sidecarName(sidecar), m_now);
    actEntry(entry);
}

void DispatchModel::disconnect(int entry, int sidecar)
{
    Link& link = this->link(entry, sidecar);
    if (!link.open)
        return;
    link.open = false;
    ++link.stream;
    m_entries[static_cast<std::size_t>(entry)]->dispatcher->disconnected(sidecarName(sidecar));
}

void DispatchModel::reset(int entry, int sidecar)
{
    disconnect(entry, sidecar);
    m_sidecars[static_cast<std::size_t>(sidecar)]->runs->closed(m_entries[static_cast<std::size_t>(entry)]->incarnationId);
    at(m_now + reconnectPause, [this, entry, sidecar] { connect(entry, sidecar); });
    actEntry(entry);
    actSidecar(sidecar);
}

void DispatchModel::cut(int entry, int sidecar, Milliseconds duration)
{
    // A shorter cut does not end a longer one, or later messages would overtake those in flight.
    Milliseconds& until = link(entry, sidecar).cutUntil;
    until = std::max(until, m_now + duration);
}

void DispatchModel::freezeEntry(int number, Milliseconds duration)
{
    m_entries[static_cast<std::size_t>(number)]->frozenUntil = m_now + duration;
    at(m_now + duration, [this, number] { actEntry(number); });
}

void DispatchModel::freezeSidecar(int number, Milliseconds duration)
{
    m_sidecars[static_cast<std::size_t>(number)]->frozenUntil = m_now + duration;
    at(m_now + duration, [this, number] { actSidecar(number); });
}

void DispatchModel::crashMinion(int number, Milliseconds duration)
{
    Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    minion.up = false;
    for (const auto& [name, run] : minion.running)
        m_wastedCoreMs += static_cast<double>((m_now - run.startedAt).count * run.needs.cpuMillis) / thousandths;
    minion.running.clear();
    minion.ends.clear();
    minion.waiting.clear();
    at(m_now + duration, [this, number] {
        Minion& again = *m_minions[static_cast<std::size_t>(number)];
        again = Minion {};
        again.born = m_now;
        report(number);
    });
}

void DispatchModel::pauseMinion(int number, Milliseconds duration)
{
    Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    minion.pausedUntil = std::max(minion.pausedUntil, m_now + duration);
}

void DispatchModel::restartMinion(int number) { crashMinion(number, {}); }
void DispatchModel::busyMinions(const BusyMinions& busy) { m_busy = busy; }

void DispatchModel::slowMinion(int number, std::int64_t times) { m_minions[static_cast<std::size_t>(number)]->slow = times; }
void DispatchModel::failMinion(int number, double share) { m_minions[static_cast<std::size_t>(number)]->failShare = share; }
void DispatchModel::hangMinion(int number, bool hangs) { m_minions[static_cast<std::size_t>(number)]->hangs = hangs; }
void DispatchModel::delayOrders(double share) { m_delayedRequestShare = share; }

void DispatchModel::takeOut(int number, bool out)
{
    Sidecar& sidecar = *m_sidecars[static_cast<std::size_t>(number)];
    sidecar.out = out;
    sidecar.runs->permit(m_now + Milliseconds { 3'600'000 }, !out);
    actSidecar(number);
}

PlacementExplanation DispatchModel::explain(int entry, const ModelQueue& queue, Milliseconds patience)
{
    QueueConfig config = queue.config;
    config.service = service;
    return m_entries[static_cast<std::size_t>(entry)]->dispatcher->explain(
        { .name = "explained", .queue = config, .deadline = m_now + patience, .steps = { { .count = queue.tasks, .needs = queue.needs } } }, m_now);
}

std::size_t DispatchModel::submit(int entry, const ModelQueue& queue, const std::string& job, Milliseconds patience)
{
    const std::size_t index = m_outcomes.size();
    const Milliseconds real { queue.needs.runTime.count * queue.realRunThousandths / thousandths };
    m_outcomes.push_back({ .job = job,
        .queue = queue.config.name,
        .arrived = m_now,
        .entry = entry,
        .ideal = real,
        .objective = Milliseconds { real.count * queue.config.stretchPercent / 100 } + queue.config.latencyAllowance });
    m_queueOfJob[job] = queue;
    const auto submitNow = [this, entry, queue, job, patience, index] {
        Entry& at = *m_entries[static_cast<std::size_t>(entry)];
        QueueConfig config = queue.config;
        config.service = service;
        DispatchStep step { .count = queue.tasks, .needs = queue.needs };
        const auto submission = at.dispatcher->submit(
            { .name = job, .payload = job, .queue = config, .deadline = m_now + patience, .steps = { step } }, m_now);
        at.outcomeOf[submission] = index;
        trace(job, "submitted at entry {}", entry);
    };
    Entry& target = *m_entries[static_cast<std::size_t>(entry)];
    if (m_now < target.frozenUntil)
        target.inbox.emplace_back(submitNow);
    else
        submitNow();
    actEntry(entry);
    return index;
}

void DispatchModel::cancel(int number, const ModelQueue& queue, const std::string& job)
{
    const auto cancelNow = [this, number, queue = queue.config.name, job] {
        m_entries[static_cast<std::size_t>(number)]->dispatcher->cancel(queue, job);
    };
    Entry& target = *m_entries[static_cast<std::size_t>(number)];
    if (m_now < target.frozenUntil)
        target.inbox.emplace_back(cancelNow);
    else
        cancelNow();
    actEntry(number);
}

void DispatchModel::abandon(std::size_t index)
{
    ModelOutcome& outcome = m_outcomes.at(index);
    if (outcome.left)
        return;
    outcome.left = true;
    outcome.endedAt = m_now;
    const auto abandonNow = [this, number = outcome.entry, index] {
        Entry& at = *m_entries[static_cast<std::size_t>(number)];
        const auto found = std::find_if(
            at.outcomeOf.begin(), at.outcomeOf.end(), [index](const auto& item) { return item.second == index; });
        if (found == at.outcomeOf.end())
            return;
        at.dispatcher->abandon(found->first);
        at.outcomeOf.erase(found);
    };
    Entry& target = *m_entries[static_cast<std::size_t>(outcome.entry)];
    if (m_now < target.frozenUntil)
        target.inbox.emplace_back(abandonNow);
    else
        abandonNow();
    actEntry(outcome.entry);
}

void DispatchModel::actEntry(int number)
{
    Entry& entry = *m_entries[static_cast<std::size_t>(number)];
    if (m_now < entry.frozenUntil)
        return;
    while (!entry.inbox.empty()) {
        const auto call = std::move(entry.inbox.front());
        entry.inbox.pop_front();
        call();
    }
    perform(number, entry.dispatcher->act(m_now));
    const auto due = entry.dispatcher->nextDue();
    if (!due || (entry.timerAt && *entry.timerAt <= *due && *entry.timerAt > m_now))
        return;
    const Milliseconds when = std::max(*due, m_now + Milliseconds { 1 });
    entry.timerAt = when;
    at(when, [this, number, generation = entry.generation] {
        if (m_entries[static_cast<std::size_t>(number)]->generation == generation)
            actEntry(number);
    });
}

void DispatchModel::actSidecar(int number)
{
    Sidecar& sidecar = *m_sidecars[static_cast<std::size_t>(number)];
    if (m_now < sidecar.frozenUntil)
        return;
    while (!sidecar.inbox.empty()) {
        const auto call = std::move(sidecar.inbox.front());
        sidecar.inbox.pop_front();
        call();
    }
    perform(number, sidecar.runs->act(m_now));
    const auto due = sidecar.runs->nextDue(m_now);
    if (!due || (sidecar.timerAt && *sidecar.timerAt <= *due && *sidecar.timerAt > m_now))
        return;
    const Milliseconds when = std::max(*due, m_now + Milliseconds { 1 });
    sidecar.timerAt = when;
    at(when, [this, number, generation = sidecar.generation] {
        if (m_sidecars[static_cast<std::size_t>(number)]->generation == generation)
            actSidecar(number);
    });
}

void DispatchModel::perform(int entry, const DispatchActions& actions)
{
    for (const auto& item : actions.frames)
        toSidecar(entry, sidecarNumber(item.sidecar), item.frame);
    Entry& own = *m_entries[static_cast<std::size_t>(entry)];
    for (const auto& end : actions.ends) {
        const auto found = own.outcomeOf.find(end.submission);
        if (found == own.outcomeOf.end())
            continue;
        ModelOutcome& outcome = m_outcomes[found->second];
        if (outcome.left) {
            own.outcomeOf.erase(found);
            continue;
        }
        outcome.kind = end.kind;
        outcome.reason = end.reason;
        outcome.retryAfter = end.retryAfter;
        outcome.endedAt = m_now;
        trace(outcome.job, "entry {} answers {} ({})", entry, dispatchEndKindName(end.kind), end.reason);
        own.outcomeOf.erase(found);
    }
    for (const auto& name : actions.reconnect) {
        const int sidecar = sidecarNumber(name);
        disconnect(entry, sidecar);
        at(m_now + reconnectPause, [this, entry, sidecar] { connect(entry, sidecar); });
    }
}

void DispatchModel::toSidecar(int entry, int sidecar, const EntryFrame& frame)
{
    const Link& link = this->link(entry, sidecar);
    if (!link.open)
        return;
    for (const auto& request : frame.requests)
        for (const auto& task : request.tasks)
            trace(request.job, "entry {} sends task {} run {} to sidecar {}", entry, task.index, task.run, sidecar);
    for (const auto& run : frame.stops)
        trace(run.job, "entry {} stops task {} run {} at sidecar {}", entry, run.index, run.run, sidecar);
    // TCP delivers messages delayed by a cut, unless the stream is closed meanwhile.
    at(std::max(m_now, link.cutUntil) + m_options.delay, [this, entry, sidecar, frame, stream = link.stream] {
        Link& now = this->link(entry, sidecar);
        if (now.stream != stream)
            return;
        Sidecar& target = *m_sidecars[static_cast<std::size_t>(sidecar)];
        const auto take = [this, entry, sidecar, frame, stream, generation = target.generation] {
            Sidecar& again = *m_sidecars[static_cast<std::size_t>(sidecar)];
            Link& current = this->link(entry, sidecar);
            if (current.stream != stream || again.generation != generation)
                return;
            if (!frame.entry.empty()) {
                current.handshakeDone = true;
                again.runs->opened(frame, m_now);
            } else if (current.handshakeDone) {
                again.runs->received(m_entries[static_cast<std::size_t>(entry)]->incarnationId, frame, m_now);
            }
        };
        if (m_now < target.frozenUntil || !target.inbox.empty())
            target.inbox.emplace_back(take);
        else
            take();
        actSidecar(sidecar);
    });
}

void DispatchModel::toEntry(int sidecar, int entry, const SidecarFrame& frame)
{
    const Link& link = this->link(entry, sidecar);
    if (frame.state)
        m_sidecars[static_cast<std::size_t>(sidecar)]->used = frame.state->used;
    // Until the first frame of a new stream has arrived, the sidecar writes to the previous one.
    if (!link.open || (m_busy && !link.handshakeDone))
        return;
    for (const auto& end : frame.ends)
        trace(end.run.job, "sidecar {} reports to entry {} the end of task {} run {}: {}", sidecar, entry, end.run.index, end.run.run, runEndKindName(end.kind));
    // TCP delivers messages delayed by a cut, unless the stream is closed meanwhile.
    at(std::max(m_now, link.cutUntil) + m_options.delay, [this, entry, sidecar, frame, stream = link.stream] {
        if (this->link(entry, sidecar).stream != stream)
            return;
        Entry& target = *m_entries[static_cast<std::size_t>(entry)];
        const auto take = [this, entry, sidecar, frame, stream] {
            if (this->link(entry, sidecar).stream == stream)
                m_entries[static_cast<std::size_t>(entry)]->dispatcher->received(sidecarName(sidecar), frame, m_now);
        };
        if (m_now < target.frozenUntil || !target.inbox.empty())
            target.inbox.emplace_back(take);
        else
            take();
        actEntry(entry);
    });
}

Milliseconds DispatchModel::drawDelay()
{
    const auto below = [this](std::int64_t limit) { return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(limit)); };
    if (drawPercent(m_busy->verySlowPercent))
        return minRequestDelay + Milliseconds { below(requestDelaySpread) };
    if (drawPercent(m_busy->slowPercent))
        return { 10 + below(290) };
    return { below(5) };
}

bool DispatchModel::drawPercent(int percent) { return m_random() % wholePercent < static_cast<std::uint64_t>(percent); }

// A paused sidecar handles the call when it resumes.
void DispatchModel::atSidecar(int number, int generation, const std::function<void()>& take)
{
    Sidecar& sidecar = *m_sidecars[static_cast<std::size_t>(number)];
    if (sidecar.generation != generation)
        return;
    if (m_now < sidecar.frozenUntil || !sidecar.inbox.empty())
        sidecar.inbox.emplace_back(take);
    else
        take();
    actSidecar(number);
}

// A call is dropped when the minion incarnation it was sent to has ended, unless `callsOutliveMinions` is set. By fencing
// token, a minion that has had a call of a later sidecar incarnation ignores calls of an earlier one.
void DispatchModel::callMinion(int sidecar, const std::function<void()>& carryOut)
{
    if (drawPercent(m_busy->lostCallPercent))
        return;
    const int token = m_sidecars[static_cast<std::size_t>(sidecar)]->generation;
    const Milliseconds born = m_minions[static_cast<std::size_t>(sidecar)]->born;
    const auto take = [this, sidecar, token, born, carryOut] {
        Minion& minion = *m_minions[static_cast<std::size_t>(sidecar)];
        const bool isDeliverable = minion.born == born || m_busy->callsOutliveMinions;
        if (!minion.up || !isDeliverable || token < minion.highestToken)
            return;
        minion.highestToken = token;
        carryOut();
    };
    at(m_now + drawDelay(), [this, sidecar, take] {
        at(std::max(m_now, m_minions[static_cast<std::size_t>(sidecar)]->pausedUntil), take);
    });
}

void DispatchModel::answerFrom(int sidecar, int generation, const std::function<void()>& take)
{
    const Minion& minion = *m_minions[static_cast<std::size_t>(sidecar)];
    if (drawPercent(m_busy->lostAnswerPercent))
        return;
    at(std::max(m_now, minion.pausedUntil) + drawDelay(), [this, sidecar, generation, take] { atSidecar(sidecar, generation, take); });
}

std::string DispatchModel::story(const std::string& job) const
{
    const auto found = m_traces.find(job);
    return found == m_traces.end() ? std::string() : found->second;
}

std::vector<std::string> DispatchModel::refusedButStarted() const
{
    std::map<std::string, bool> refused;
    for (const auto& outcome : m_outcomes) {
        const bool isRefused = outcome.kind == DispatchEndKind::Refused;
        const auto [item, isFirst] = refused.emplace(outcome.job, isRefused);
        item->second = item->second && isRefused;
    }
    std::vector<std::string> broken;
    for (const auto& job : m_started) {
        const auto found = refused.find(job);
        if (found != refused.end() && found->second)
            broken.push_back(job);
    }
    return broken;
}

// Carries out a request at the minion; a share of requests is carried out seconds later without an answer.
void DispatchModel::sendRequest(int sidecar, const std::function<void(bool answer)>& carryOut)
{
    if (m_busy)
        return callMinion(sidecar, [carryOut] { carryOut(true); });
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    const bool delayed = draw < m_delayedRequestShare;
    const Milliseconds born = m_minions[static_cast<std::size_t>(sidecar)]->born;
    const Milliseconds wait = delayed
        ? minRequestDelay + Milliseconds { static_cast<std::int64_t>(m_random() % requestDelaySpread) }
        : m_options.localDelay;
    at(m_now + wait, [this, sidecar, delayed, born, carryOut] {
        const Minion& minion = *m_minions[static_cast<std::size_t>(sidecar)];
        if (minion.up && minion.born == born)
            carryOut(!delayed);
    });
}

void DispatchModel::perform(int number, RunActions actions)
{
    Sidecar& sidecar = *m_sidecars[static_cast<std::size_t>(number)];
    const int generation = sidecar.generation;
    // An answer that has not arrived before the timeout is reported as lost, once.
    const auto answerOnce = [this, number, generation](auto answered, auto lost) {
        auto open = std::make_shared<bool>(true);
        const Milliseconds sentAt = m_now;
        at(m_now + m_sidecars[static_cast<std::size_t>(number)]->requestTimes.answerTimeout(m_now), [this, number, generation, open, lost] {
            const auto giveUp = [open, lost] {
                if (std::exchange(*open, false))
                    lost();
            };
            if (m_busy)
                return atSidecar(number, generation, giveUp);
            if (std::exchange(*open, false) && m_sidecars[static_cast<std::size_t>(number)]->generation == generation) {
                lost();
                actSidecar(number);
            }
        });
        return [this, number, generation, open, answered, sentAt](auto answer) {
            const auto take = [this, number, open, answered, answer, sentAt] {
                if (!std::exchange(*open, false))
                    return;
                m_sidecars[static_cast<std::size_t>(number)]->requestTimes.record(m_now - sentAt, m_now);
                answered(answer);
            };
            if (m_busy)
                return answerFrom(number, generation, take);
            if (*open && m_sidecars[static_cast<std::size_t>(number)]->generation == generation) {
                take();
                actSidecar(number);
            }
        };
    };
    for (const auto& item : actions.starts) {
        const auto reply = answerOnce(
            [this, number, name = item.run](StartAnswer answer) {
                trace(name.job, "minion {} answers the start of task {} run {}: {}", number, name.index, name.run, startAnswerName(answer));
                m_sidecars[static_cast<std::size_t>(number)]->runs->startAnswered(name, answer, m_now);
            },
            [this, number, name = item.run] {
                trace(name.job, "sidecar {} timed out on the start of task {} run {}", number, name.index, name.run);
                m_sidecars[static_cast<std::size_t>(number)]->runs->startAnswered(name, StartAnswer::Unknown, m_now);
            });
        sendRequest(number, [this, number, item, reply](bool answer) {
            if (m_busy && drawPercent(m_busy->unhealthyPercent))
                return reply(StartAnswer::Unhealthy);
            const StartAnswer taken = m_now >= item.leaseEnd ? StartAnswer::Refused : start(number, item, item.leaseEnd);
            if (answer)
                reply(taken);
        });
    }
    for (const auto& item : actions.stops) {
        const auto reply = answerOnce(
            [this, number, name = item.run](bool answered) {
                trace(name.job, "minion {} answers the stop of task {} run {}", number, name.index, name.run);
                m_sidecars[static_cast<std::size_t>(number)]->runs->stopAnswered(name, answered, m_now);
            },
            [this, number, name = item.run] {
                m_sidecars[static_cast<std::size_t>(number)]->runs->stopAnswered(name, false, m_now);
            });
        sendRequest(number, [this, number, item, reply](bool answer) {
            stop(number, item);
            if (answer)
                reply(true);
        });
    }
    if (actions.list)
        list(number, *actions.list, m_now);
    for (const auto& item : actions.frames) {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (m_entries[entry]->incarnationId == item.entry)
                toEntry(number, static_cast<int>(entry), item.frame);
        }
    }
}

void DispatchModel::recordDoubleRuns(int sidecar, const RunName& started)
{
    for (std::size_t i = 0; i < m_minions.size(); ++i) {
        expireLease(static_cast<int>(i));
        const Minion& minion = *m_minions[i];
        for (const auto& [name, run] : minion.running) {
            const bool sameTask = name.job == started.job && name.step == started.step && name.index == started.index;
            const bool sameRun = static_cast<int>(i) == sidecar && name.run == started.run;
            if (minion.up && sameTask && !sameRun) {
                m_violations.push_back(fmt::format("{} ms: {} task {} starts as run {} on minion {} while running as run {} on minion {}",
                    m_now.count, started.job, started.index, started.run, sidecar, name.run, i));
            }
        }
    }
}

StartAnswer DispatchModel::start(int number, const StartRun& request, Milliseconds leaseEnd)
{
    Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    expireLease(number);
    minion.leaseEnd = std::max(minion.leaseEnd, leaseEnd);
    if (minion.running.contains(request.run))
        return StartAnswer::Started;
    const auto highest = minion.highestEnded.find({ request.run.job, request.run.step, request.run.index });
    if (highest != minion.highestEnded.end() && request.run.run <= highest->second)
        return StartAnswer::Superseded;
    const ModelQueue& queue = m_queueOfJob.at(request.run.job);
    TaskNeeds free = capacityOf(number);
    addNeeds(free, minion.used, -1);
    if (!fitsInto(free, queue.needs))
        return StartAnswer::NoRoom;
    ++m_starts;
    m_started.insert(request.run.job);
    trace(request.run.job, "task {} run {} starts at minion {}", request.run.index, request.run.run, number);
    recordDoubleRuns(number, request.run);
    addNeeds(minion.used, queue.needs, 1);
    const double spread = std::lognormal_distribution<double>(0, 0.15)(m_random);
    const double real = static_cast<double>(queue.needs.runTime.count * queue.realRunThousandths) / thousandths;
    const auto& percents = m_options.runTimePercents;
    const double speed = percents.empty() ? 1 : static_cast<double>(percents[static_cast<std::size_t>(number) % percents.size()]) / wholePercent;
    double slowdown = 1;
    for (const auto& each : m_options.interference) {
        const bool isBeside = std::any_of(minion.running.begin(), minion.running.end(),
            [this, &each](const auto& other) { return m_queueOfJob.at(other.first.job).config.name == each.beside; });
        if (each.queue == queue.config.name && isBeside)
            slowdown *= static_cast<double>(each.runTimePercent) / wholePercent;
    }
    const Milliseconds takes { std::max<std::int64_t>(static_cast<std::int64_t>(real * spread * speed * slowdown) * minion.slow, 1) };
    const bool fails = queue.failing || std::uniform_real_distribution<double>(0, 1)(m_random) < minion.failShare;
    const std::uint64_t serial = ++m_lastOrder;
    minion.running[request.run]
        = { .serial = serial, .startedAt = m_now, .takes = takes, .needs = queue.needs, .fails = fails };
    if (!minion.hangs) {
        at(m_now + takes, [this, number, name = request.run, serial, fails] {
            expireLease(number);
            const auto& running = m_minions[static_cast<std::size_t>(number)]->running;
            const auto found = running.find(name);
            if (found != running.end() && found->second.serial == serial)
                endRun(number, name, fails ? ListedEndKind::Failed : ListedEndKind::Done);
        });
    }
    return StartAnswer::Started;
}

bool DispatchModel::stop(int number, const StopRun& request)
{
    Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    auto& highest = minion.highestEnded[{ request.run.job, request.run.step, request.run.index }];
    highest = std::max(highest, request.run.run);
    const auto found = minion.running.find(request.run);
    if (found == minion.running.end())
        return true;
    const Milliseconds grace = m_busy
        ? Milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(m_busy->stopGrace.count + 1)) }
        : stopGrace;
    at(m_now + grace, [this, number, name = request.run, serial = found->second.serial] {
        const auto& running = m_minions[static_cast<std::size_t>(number)]->running;
        const auto again = running.find(name);
        if (again != running.end() && again->second.serial == serial)
            endRun(number, name, ListedEndKind::Stopped);
    });
    return true;
}

// Ends all runs when the lease has expired.
void DispatchModel::expireLease(int number)
{
    Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    if (m_now < minion.leaseEnd)
        return;
    while (!minion.running.empty())
        endRun(number, RunName(minion.running.begin()->first), ListedEndKind::Stopped);
}

void DispatchModel::endRun(int number, const RunName& name, ListedEndKind kind)
{
    Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    const auto found = minion.running.find(name);
    addNeeds(minion.used, found->second.needs, -1);
    if (kind != ListedEndKind::Done) {
        m_wastedCoreMs
            += static_cast<double>((m_now - found->second.startedAt).count * found->second.needs.cpuMillis) / thousandths;
    }
    minion.running.erase(found);
    auto& highest = minion.highestEnded[{ name.job, name.step, name.index }];
    highest = std::max(highest, name.run);
    minion.ends.push_back({ .number = ++minion.lastEnd, .run = name, .kind = kind });
    trace(name.job, "task {} run {} ends at minion {}", name.index, name.run, number);
    for (const auto& each : std::exchange(minion.waiting, {}))
        answerList(number, each);
}

void DispatchModel::listBusy(int number, const ListRuns& request)
{
    const Milliseconds askedAt = m_now;
    const int generation = m_sidecars[static_cast<std::size_t>(number)]->generation;
    const WaitingList list { .asked = request, .askedAt = askedAt, .open = std::make_shared<bool>(true) };
    at(m_now + request.wait + m_options.orderTimeout, [this, number, generation, open = list.open] {
        atSidecar(number, generation, [this, number, open] {
            if (std::exchange(*open, false))
                m_sidecars[static_cast<std::size_t>(number)]->runs->listFailed(m_now);
        });
    });
    callMinion(number, [this, number, list] {
        expireLease(number);
        Minion& minion = *m_minions[static_cast<std::size_t>(number)];
        if (list.asked.leaseEnd)
            minion.leaseEnd = std::max(minion.leaseEnd, *list.asked.leaseEnd);
        std::erase_if(minion.ends, [&list](const ListedEnd& end) { return end.number <= list.asked.endsSeen; });
        if (list.asked.wait.count == 0 || !minion.ends.empty())
            return answerList(number, list);
        minion.waiting.push_back(list);
        at(m_now + list.asked.wait, [this, number, list] {
            Minion& again = *m_minions[static_cast<std::size_t>(number)];
            if (std::erase_if(again.waiting, [&list](const auto& each) { return each.open == list.open; }) > 0)
                answerList(number, list);
        });
    });
}

void DispatchModel::list(int number, const ListRuns& request, Milliseconds askedAt)
{
    if (m_busy)
        return listBusy(number, request);
    Sidecar& sidecar = *m_sidecars[static_cast<std::size_t>(number)];
    const int generation = sidecar.generation;
    const Milliseconds giveUpAt = m_now + request.wait + m_options.orderTimeout;
    auto answered = std::make_shared<bool>(false);
    at(giveUpAt, [this, number, generation, answered, askedAt] {
        Minion& minion = *m_minions[static_cast<std::size_t>(number)];
        const bool wasOpen = std::erase_if(minion.waiting, [askedAt](const auto& each) { return each.askedAt == askedAt; }) > 0;
        if (m_sidecars[static_cast<std::size_t>(number)]->generation != generation || (*answered && !wasOpen))
            return;
        m_sidecars[static_cast<std::size_t>(number)]->runs->listFailed(m_now);
        actSidecar(number);
    });
    sendRequest(number, [this, number, request, askedAt, answered](bool answer) {
        expireLease(number);
        Minion& minion = *m_minions[static_cast<std::size_t>(number)];
        if (!answer)
            return;
        if (request.leaseEnd)
            minion.leaseEnd = std::max(minion.leaseEnd, *request.leaseEnd);
        std::erase_if(minion.ends, [&request](const ListedEnd& end) { return end.number <= request.endsSeen; });
        *answered = true;
        const WaitingList list { .asked = request, .askedAt = askedAt, .open = {} };
        if (request.wait.count == 0 || !minion.ends.empty())
            return answerList(number, list);
        minion.waiting.push_back(list);
        at(m_now + request.wait, [this, number, list] {
            Minion& again = *m_minions[static_cast<std::size_t>(number)];
            if (std::erase_if(again.waiting, [&list](const auto& each) { return each.askedAt == list.askedAt; }) > 0)
                answerList(number, list);
        });
    });
}

RunList DispatchModel::runList(int number)
{
    expireLease(number);
    const Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    RunList list { .born = minion.born };
    for (const auto& [name, run] : minion.running) {
        const auto elapsed = (m_now - run.startedAt).count;
        const auto percent = minion.hangs ? 0 : elapsed * 100 / std::max<std::int64_t>(run.takes.count, 1);
        list.running.push_back({ .run = name, .percent = static_cast<int>(percent) });
    }
    list.ended.assign(minion.ends.begin(), minion.ends.end());
    return list;
}

void DispatchModel::dropRows(RunList& list)
{
    const auto drop = [this](auto& rows) { return std::erase_if(rows, [this](const auto&) { return m_random() % 2 == 0; }) == 0; };
    list.isRunningWhole = drop(list.running);
    list.isEndedWhole = drop(list.ended);
}

void DispatchModel::answerList(int number, const WaitingList& request)
{
    const int generation = m_sidecars[static_cast<std::size_t>(number)]->generation;
    const Minion& minion = *m_minions[static_cast<std::size_t>(number)];
    if (m_busy && m_now < minion.pausedUntil) {
        return at(minion.pausedUntil, [this, number, request, born = minion.born] {
            if (m_minions[static_cast<std::size_t>(number)]->born == born)
                answerList(number, request);
        });
    }
    RunList list = runList(number);
    if (m_busy && drawPercent(m_busy->partialListPercent))
        dropRows(list);
    const auto take = [this, number, generation, list, request] {
        Sidecar& again = *m_sidecars[static_cast<std::size_t>(number)];
        if (again.generation != generation || (request.open && !std::exchange(*request.open, false)))
            return;
        again.runs->listed(list, request.asked, request.askedAt, m_now);
    };
    if (m_busy)
        return answerFrom(number, generation, take);
    at(m_now + m_options.localDelay, [this, number, generation, take] {
        if (m_sidecars[static_cast<std::size_t>(number)]->generation == generation)
            atSidecar(number, generation, take);
    });
}

std::size_t DispatchModel::queuedRunsAt(int sidecar) const { return m_sidecars[static_cast<std::size_t>(sidecar)]->runs->queuedRuns(); }

std::size_t DispatchModel::waitingCallersAt(int entry) const { return m_entries[static_cast<std::size_t>(entry)]->outcomeOf.size(); }

TaskNeeds DispatchModel::usedAt(int sidecar) const { return m_sidecars[static_cast<std::size_t>(sidecar)]->used; }

std::size_t DispatchModel::running(int sidecar) const { return m_minions[static_cast<std::size_t>(sidecar)]->running.size(); }

std::size_t DispatchModel::runsAt(int entry, int sidecar) const
{
    return m_entries[static_cast<std::size_t>(entry)]->dispatcher->runsAt(sidecarName(sidecar));
}

std::size_t DispatchModel::pairsKeptApart(int entry) const { return m_entries[static_cast<std::size_t>(entry)]->dispatcher->queuePairsKeptApart(); }

std::size_t DispatchModel::jobsAt(int entry) const { return m_entries[static_cast<std::size_t>(entry)]->dispatcher->jobs(); }

std::size_t DispatchModel::liveRunsAt(int sidecar) const { return m_sidecars[static_cast<std::size_t>(sidecar)]->runs->liveRuns(); }

} // namespace oleanderport
