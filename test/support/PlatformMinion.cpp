#include "support/PlatformMinion.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace oleanderport {

namespace {

    constexpr Milliseconds reportTimeout { 1'000 };
    constexpr std::size_t maxBodyBytes = 100'000;
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr int statusWrongInstance = 421;
    // The minion's clock differs from the sidecar's by this offset.
    constexpr Milliseconds clockOrigin { 12'345 };
    constexpr std::int64_t wholePerMille = 1'000;

    PlatformMinion::Call callOf(const std::string& path)
    {
        if (path == "/run-start")
            return PlatformMinion::Call::Start;
        return path == "/run-stop" ? PlatformMinion::Call::Stop : PlatformMinion::Call::List;
    }

} // namespace

PlatformMinion::PlatformMinion(EventLoop& loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_clockOrigin(m_options.hasClockOfIncarnation ? Clock::now() : clockOrigin)
{
    listen(m_options.listen);
}

void PlatformMinion::listen(const std::string& address)
{
    auto listening = HttpServer::listen(m_loop,
        { .address = address, .maxBodyBytes = maxBodyBytes, .headers = { "Oleanderport-Expected-Instance" } },
        [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { serve(request, responder); });
    if (!listening.has_value())
        throw std::runtime_error(describe(listening.assume_error()));
    m_server = std::move(listening).assume_value();
}

void PlatformMinion::crash()
{
    m_options.listen = m_options.listen.substr(0, m_options.listen.rfind(':') + 1) + std::to_string(m_server->port());
    // Before the runs end, so that nobody learns of it.
    m_server.reset();
    m_reports.reset();
    expire();
    endAll("killed");
    m_waiting.clear();
    m_lastRun.clear();
    m_ended.clear();
    m_leaseTimer.reset();
    m_leaseEnd = {};
    m_fencingToken = 0;
    m_lastEnd = 0;
    m_sequence = 0;
}

void PlatformMinion::startAgain(Milliseconds born, const Kind& kind)
{
    m_options.kind = kind;
    m_options.born = born;
    ++m_incarnation;
    if (m_options.hasClockOfIncarnation)
        m_clockOrigin = Clock::now();
    listen(m_options.listen);
}

std::int64_t PlatformMinion::clockAt(Milliseconds time) const
{
    return (time - m_clockOrigin).count * (wholePerMille - m_options.slowPerMille) / wholePerMille;
}

Milliseconds PlatformMinion::timeOf(std::int64_t clock) const
{
    // Deadlines may be as far away as the type allows.
    const std::int64_t rate = wholePerMille - m_options.slowPerMille;
    return m_clockOrigin + Milliseconds { clock / rate * wholePerMille + clock % rate * wholePerMille / rate };
}

std::string PlatformMinion::address() const
{
    return m_options.advertise.empty() ? "127.0.0.1:" + std::to_string(m_server->port()) : m_options.advertise;
}

HttpConnection& PlatformMinion::reports(const std::string& sidecar)
{
    if (!m_reports)
        m_reports = std::make_unique<HttpConnection>(m_loop, sidecar);
    return *m_reports;
}

void PlatformMinion::report(const std::string& sidecar, const char* state)
{
    if (!m_server)
        return;
    reports(sidecar).call(makeReport(state),
        [this, isDraining = std::string(state) == "draining"](const Result<HttpAnswer>& answer) {
            if (!answer.has_value() || answer.assume_value().status != statusOk)
                return;
            ++acknowledged;
            if (isDraining)
                m_options.onDrainAcknowledged(Clock::now());
        });
}

HttpCall PlatformMinion::makeReport(const char* state)
{
    Json::Value body(Json::objectValue);
    body["service"] = m_options.kind.service;
    body["address"] = address();
    body["zone"] = m_options.zone;
    body["version"] = "v1";
    body["slots"] = 8;
    body["state"] = state;
    body["coldLeftMs"] = 0;
    body["capacity"]["cpu"] = static_cast<Json::Int64>(m_options.kind.cpuMillis);
    body["capacity"]["memMb"] = 1'000;
    body["labels"].append(m_options.kind.machineType);
    body["labels"].append(m_options.rack);
    body["clockMs"] = static_cast<Json::Int64>(clockAt(Clock::now()));
    body["seq"] = ++m_sequence;
    body["born"] = static_cast<Json::Int64>(m_options.born.count);
    return { .path = "/Instances.Heartbeat/" + m_options.kind.id, .body = writeJson(body), .timeout = reportTimeout };
}

void PlatformMinion::deregister(const std::string& sidecar, std::function<void()> done)
{
    reports(sidecar).call(makeDeregistration(), [done = std::move(done)](const Result<HttpAnswer>&) { done(); });
}

HttpCall PlatformMinion::makeDeregistration() const
{
    Json::Value body(Json::objectValue);
    body["born"] = static_cast<Json::Int64>(m_options.born.count);
    return { .path = "/Instances.Deregister/" + m_options.kind.id, .body = writeJson(body), .timeout = reportTimeout };
}

void PlatformMinion::serve(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    const CallDelay delay = m_options.delayOf(callOf(request.path));
    const Caller caller { .responder = responder, .answerDelay = delay.answer, .arrival = Clock::now() };
    later(delay.carryOut, [this, request, caller, incarnation = m_incarnation] { carryOut(request, caller, incarnation); });
}

void PlatformMinion::carryOut(const HttpRequest& request, const Caller& caller, int incarnation)
{
    if (!m_server)
        return;
    expire();
    if (request.headers.front() != m_options.kind.id)
        return answer(caller, statusWrongInstance, Json::Value(Json::objectValue));
    const int refusal = request.path == "/run-start" ? m_options.startRefusal() : 0;
    if (refusal != 0)
        return answer(caller, refusal, Json::Value(Json::objectValue));
    const Json::Value parameters = parseJson(request.body).value();
    const std::uint64_t fencingToken = parameters["fencingToken"].asUInt64();
    const char* reason = fencingToken < m_fencingToken ? "fence" : nullptr;
    if (fencingToken > m_fencingToken)
        m_options.onHigherToken(Clock::now(), fencingToken);
    m_fencingToken = std::max(m_fencingToken, fencingToken);
    if (!reason && request.path == "/hold")
        return list(parameters, caller);
    if (!reason && request.path == "/run-start")
        reason = start(parameters, caller.arrival, incarnation != m_incarnation);
    if (!reason && request.path == "/run-stop")
        stop(parameters);
    Json::Value body(Json::objectValue);
    if (reason)
        body["reason"] = reason;
    answer(caller, reason ? statusConflict : 200, std::move(body));
}

void PlatformMinion::answer(const Caller& caller, int status, Json::Value body)
{
    body["clockMs"] = static_cast<Json::Int64>(clockAt(Clock::now()));
    later(caller.answerDelay, [responder = caller.responder, status, text = writeJson(body)] { responder->reply({ .status = status, .body = text }); });
}

void PlatformMinion::later(Milliseconds delay, std::function<void()> callback)
{
    if (delay.count == 0)
        return callback();
    const auto position = m_delayed.emplace(m_delayed.end());
    *position = m_loop.once(delay, [this, position, callback = std::move(callback)] {
        const auto timer = std::move(*position);
        m_delayed.erase(position);
        callback();
    });
}

int PlatformMinion::Work::percent(Milliseconds now) const
{
    constexpr std::int64_t whole = 100;
    return static_cast<int>(std::min((now - start).count * whole / std::max<std::int64_t>(length.count, 1), whole - 1));
}

const char* PlatformMinion::start(const Json::Value& parameters, Milliseconds ordered, bool isOfFormer)
{
    Run run { .task = parameters["task"].asString(), .number = parameters["runId"].asUInt64(), .spec = parameters["spec"].asString(), .isOfFormer = isOfFormer, .ordered = ordered };
    if (parameters["deadlineMs"].asInt64() <= clockAt(Clock::now()))
        return "late";
    extendLease(parameters);
    const auto found = m_running.find(run.task);
    if (found != m_running.end() && found->second.run.number == run.number)
        return nullptr;
    if (found != m_running.end() || run.number <= m_lastRun[run.task])
        return "old";
    if (m_running.size() >= m_options.kind.room || m_options.isFull())
        return "room";
    started.push_back(run.task);
    m_options.onStart(Clock::now(), run);
    Work& work = m_running[run.task];
    work.start = Clock::now();
    work.length = m_options.runTime(run.spec);
    callAt(work.start + work.length, work.end, [this, task = run.task] {
        expire();
        if (m_running.contains(task))
            end(task, failing || m_options.isFailing(m_running.at(task).run.spec) ? "failed" : "done", Clock::now());
    });
    work.run = std::move(run);
    return nullptr;
}

void PlatformMinion::stop(const Json::Value& parameters)
{
    const std::string task = parameters["task"].asString();
    const std::uint64_t number = parameters["runId"].asUInt64();
    stopped.push_back(task);
    auto& last = m_lastRun[task];
    last = std::max(last, number);
    const auto found = m_running.find(task);
    if (found == m_running.end() || found->second.run.number > number || found->second.stop)
        return;
    const Milliseconds stopTime = m_options.stopTime();
    const Milliseconds now = Clock::now();
    if (stopTime.count == 0)
        return end(task, "stopped", now);
    callAt(now + stopTime, found->second.stop, [this, task] {
        expire();
        if (m_running.contains(task))
            end(task, "stopped", Clock::now());
    });
}

void PlatformMinion::extendLease(const Json::Value& parameters)
{
    if (!parameters.isMember("deadlineMs"))
        return;
    const Milliseconds now = Clock::now();
    const Milliseconds asked = timeOf(std::min(parameters["deadlineMs"].asInt64(), clockAt(now) + m_options.longestLease.count));
    m_leaseEnd = std::max(m_leaseEnd, asked);
    callAt(m_leaseEnd, m_leaseTimer, [this] { expire(); });
}

void PlatformMinion::callAt(Milliseconds time, std::unique_ptr<EventLoop::Timer>& timer, std::function<void()> callback)
{
    timer = m_loop.once(std::max(time - Clock::now(), Milliseconds {}), [this, time, &timer, callback = std::move(callback)] {
        if (Clock::now() < time)
            return callAt(time, timer, callback);
        callback();
    });
}

void PlatformMinion::expire()
{
    if (Clock::now() < m_leaseEnd)
        return;
    endAll("lapsed", m_leaseEnd);
}

void PlatformMinion::endAll(const char* how, Milliseconds at)
{
    while (!m_running.empty())
        end(m_running.begin()->first, how, at);
}

void PlatformMinion::list(const Json::Value& parameters, const Caller& caller)
{
    extendLease(parameters);
    const auto seen = parameters["ackCursor"].asUInt64();
    std::erase_if(m_ended, [seen](const Json::Value& row) { return row[0].asUInt64() <= seen; });
    const Milliseconds wait { parameters["waitMs"].asInt64() };
    if (!m_ended.empty() || wait.count == 0)
        return answer(caller, 200, lists());
    m_waiting.push_back({ .caller = caller, .timer = m_loop.once(wait, [this] { answerWaiting(); }) });
}

void PlatformMinion::answerWaiting()
{
    for (const auto& waiting : std::exchange(m_waiting, {}))
        answer(waiting.caller, 200, lists());
}

Json::Value PlatformMinion::lists() const
{
    Json::Value answer(Json::objectValue);
    answer["born"] = static_cast<Json::Int64>(m_options.born.count);
    answer["running"] = Json::Value(Json::arrayValue);
    for (const auto& [task, work] : m_running) {
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(static_cast<Json::UInt64>(work.run.number));
        row.append("");
        row.append(work.percent(Clock::now()));
        answer["running"].append(row);
    }
    answer["finished"] = Json::Value(Json::arrayValue);
    for (std::size_t i = 0; i < std::min(m_ended.size(), m_options.maxEndsPerList); ++i)
        answer["finished"].append(m_ended[i]);
    return answer;
}

void PlatformMinion::end(const std::string& task, const char* how, Milliseconds at)
{
    auto work = m_running.extract(task);
    Run& run = work.mapped().run;
    run.leaseEnd = m_leaseEnd;
    Json::Value row(Json::arrayValue);
    row.append(static_cast<Json::UInt64>(++m_lastEnd));
    row.append(task);
    row.append(static_cast<Json::UInt64>(run.number));
    row.append(how);
    row.append("");
    m_ended.push_back(row);
    mostEndsUnseen = std::max(mostEndsUnseen, m_ended.size());
    auto& last = m_lastRun[task];
    last = std::max(last, run.number);
    m_options.onEnd(at, run, how);
    answerWaiting();
}

} // namespace oleanderport
