#include "Minion.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace oleanderport::review {

namespace {

    constexpr std::int64_t thousandths = 1'000;
    constexpr std::int64_t maxLeaseMs = 1'000;
    constexpr std::int64_t memoryMb = 131'072;
    constexpr std::int64_t wholePercent = 100;
    constexpr Milliseconds reportTimeout { 1'000 };
    constexpr Milliseconds leaseCheckPeriod { 2 };
    constexpr std::size_t maxBodyBytes = 100'000;
    constexpr std::size_t maxEndsPerList = 500;

    std::unique_ptr<HttpServer> listen(EventLoop& loop, const std::string& address, HttpHandler handler)
    {
        auto server = HttpServer::listen(loop,
            { .address = address, .maxBodyBytes = maxBodyBytes, .headers = { "Oleanderport-Expected-Instance" } }, std::move(handler));
        if (!server.has_value())
            throw std::runtime_error(describe(server.assume_error()));
        return std::move(server).assume_value();
    }

} // namespace

Minion::Minion(EventLoop& loop, Record& record, MinionOptions options)
    : m_loop(loop)
    , m_record(record)
    , m_options(std::move(options))
    , m_startedAt(Clock::now())
    , m_server(listen(loop, m_options.listen, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { serve(request, responder); }))
    , m_reports(std::make_unique<HttpConnection>(loop, m_options.sidecar))
{
    if (m_options.advertise.empty())
        m_options.advertise = m_options.listen;
    m_record.add(fmt::format("minion {} started, born {}", m_options.id, m_options.born.count));
    m_reportTimer = m_loop.every(m_options.reportPeriod, [this] { report(); });
    m_leaseTimer = m_loop.every(leaseCheckPeriod, [this] { checkLease(); });
    report();
}

std::int64_t Minion::clock() const { return (Clock::now() - m_startedAt).count * m_options.clockSpeed / thousandths; }

void Minion::drain()
{
    m_isDraining = true;
    report();
}

void Minion::crash()
{
    while (!m_running.empty())
        end(m_running.begin()->first, "lost with the minion");
    m_record.add(fmt::format("minion {} crashed", m_options.id));
}

void Minion::report()
{
    if (m_isCutOff)
        return;
    Json::Value body(Json::objectValue);
    body["service"] = m_options.service;
    body["address"] = m_options.advertise;
    body["zone"] = m_options.zone;
    body["version"] = "v1";
    body["slots"] = 8;
    body["state"] = m_isDraining ? "draining" : "ready";
    body["coldLeftMs"] = 0;
    body["capacity"]["cpu"] = static_cast<Json::Int64>(m_options.cpuMillis);
    body["capacity"]["memMb"] = static_cast<Json::Int64>(memoryMb);
    body["capacity"]["gpu"] = 0;
    body["labels"].append(m_options.kind);
    body["labels"].append(m_options.rack);
    body["clockMs"] = static_cast<Json::Int64>(clock());
    body["seq"] = static_cast<Json::Int64>(++m_sequence);
    body["born"] = static_cast<Json::Int64>(m_options.born.count);
    m_reports->call({ .path = "/Instances.Heartbeat/" + m_options.id, .body = writeJson(body), .timeout = reportTimeout },
        [this, isDraining = m_isDraining](const Result<HttpAnswer>& answer) {
            const bool acknowledged = answer.has_value() && answer.assume_value().status / 100 == 2;
            if (!isDraining || !acknowledged || m_drainAcknowledgedAt.count > 0)
                return;
            m_drainAcknowledgedAt = Clock::now();
            m_record.add(fmt::format("minion {}: report that it is draining answered with {}", m_options.id, answer.assume_value().status));
        });
}

void Minion::serve(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    checkLease();
    const auto parsed = parseJson(request.body);
    if (!parsed.has_value())
        return responder->reply({ .status = 400, .body = "{}" });
    if (!request.headers.front().empty() && request.headers.front() != m_options.id)
        return responder->reply({ .status = 421, .body = "{}" });
    const Json::Value& parameters = parsed.assume_value();
    const std::uint64_t token = parameters["fencingToken"].asUInt64();
    const char* reason = token < m_fencingToken ? "fence" : nullptr;
    m_fencingToken = std::max(m_fencingToken, token);
    if (!reason && request.path == "/hold")
        return list(parameters, responder);
    if (!reason && request.path == "/run-start")
        reason = start(parameters);
    if (!reason && request.path == "/run-stop")
        stop(parameters);
    Json::Value body(Json::objectValue);
    if (reason) {
        body["reason"] = reason;
        m_record.add(fmt::format("minion {}: {} {} run {} refused: {}", m_options.id, request.path, parameters["task"].asString(),
            parameters["runId"].asUInt64(), reason));
    }
    answer(*responder, reason ? 409 : 200, std::move(body));
}

void Minion::answer(HttpResponder& responder, int status, Json::Value body) const
{
    body["clockMs"] = static_cast<Json::Int64>(clock());
    responder.reply({ .status = status, .body = writeJson(body) });
}

const char* Minion::start(const Json::Value& parameters)
{
    const std::string task = parameters["task"].asString();
    const std::uint64_t number = parameters["runId"].asUInt64();
    if (parameters["deadlineMs"].asInt64() <= clock())
        return "late";
    extendLease(parameters);
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.number == number)
        return nullptr;
    if (found != m_running.end() || number <= m_lastRuns[task])
        return "old";
    Run run { .number = number, .startedAt = Clock::now(), .length = { std::stoll(parameters["spec"].asString()) }, .end = nullptr };
    run.end = m_loop.once(run.length, [this, task] {
        checkLease();
        if (m_running.contains(task))
            end(task, "done");
    });
    m_running[task] = std::move(run);
    m_record.started(m_options.id, task, number);
    return nullptr;
}

void Minion::stop(const Json::Value& parameters)
{
    const std::string task = parameters["task"].asString();
    const std::uint64_t number = parameters["runId"].asUInt64();
    std::uint64_t& last = m_lastRuns[task];
    last = std::max(last, number);
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.number <= number)
        end(task, "stopped");
}

void Minion::extendLease(const Json::Value& parameters)
{
    if (!parameters.isMember("deadlineMs"))
        return;
    m_leaseEnd = std::max(m_leaseEnd, std::min(parameters["deadlineMs"].asInt64(), clock() + maxLeaseMs));
}

void Minion::checkLease()
{
    if (clock() < m_leaseEnd)
        return;
    while (!m_running.empty())
        end(m_running.begin()->first, "lapsed");
}

void Minion::end(const std::string& task, const char* how)
{
    const auto ended = m_running.extract(task);
    const std::uint64_t number = ended.mapped().number;
    m_record.ended(m_options.id, task, number, how);
    std::uint64_t& last = m_lastRuns[task];
    last = std::max(last, number);
    Json::Value row(Json::arrayValue);
    row.append(static_cast<Json::UInt64>(++m_lastEnd));
    row.append(task);
    row.append(static_cast<Json::UInt64>(number));
    row.append(how);
    row.append("");
    m_ended.push_back(row);
    answerHeldLists();
}

void Minion::list(const Json::Value& parameters, const std::shared_ptr<HttpResponder>& responder)
{
    extendLease(parameters);
    const std::uint64_t seen = parameters["ackCursor"].asUInt64();
    std::erase_if(m_ended, [seen](const Json::Value& row) { return row[0].asUInt64() <= seen; });
    const Milliseconds wait { parameters["waitMs"].asInt64() };
    if (!m_ended.empty() || wait.count == 0)
        return answer(*responder, 200, lists());
    m_held.push_back({ .responder = responder, .timer = m_loop.once(wait, [this] { answerHeldLists(); }) });
}

void Minion::answerHeldLists()
{
    const auto held = std::exchange(m_held, {});
    for (const auto& item : held)
        answer(*item.responder, 200, lists());
}

Json::Value Minion::lists() const
{
    Json::Value body(Json::objectValue);
    body["born"] = static_cast<Json::Int64>(m_options.born.count);
    body["running"] = Json::Value(Json::arrayValue);
    body["finished"] = Json::Value(Json::arrayValue);
    for (const auto& [task, run] : m_running) {
        const std::int64_t done = (Clock::now() - run.startedAt).count * wholePercent / std::max<std::int64_t>(run.length.count, 1);
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(static_cast<Json::UInt64>(run.number));
        row.append("");
        row.append(static_cast<Json::Int64>(std::min(done, wholePercent - 1)));
        body["running"].append(row);
    }
    for (std::size_t i = 0; i < std::min(m_ended.size(), maxEndsPerList); ++i)
        body["finished"].append(m_ended[i]);
    return body;
}

} // namespace oleanderport::review
