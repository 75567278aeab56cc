#pragma once

#include "wire/EventLoop.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"
#include "wire/MessageCodec.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleanderport {

// Stands in for a minion of the users' platform, as its pages describe it: reports itself to the sidecar beside it, runs
// what it is told to under a lease, lists what runs and what has ended.
class PlatformMinion {
public:
    struct Options {
        std::string id { "i-1" };
        std::string service { "s1" };
        std::string zone { "dc-a" };
        Milliseconds born { 1'700 };
        Milliseconds runTime { 50 };
    };

    PlatformMinion(EventLoop& loop, Options options)
        : m_loop(loop)
        , m_options(std::move(options))
    {
        m_server = HttpServer::listen(loop, { .address = "127.0.0.1:0", .maxBodyBytes = 100'000, .headers = { "Oleanderport-Expected-Instance" } },
            [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { serve(request, responder); })
                       .assume_value();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }

    // Sends one report to the sidecar's address.
    void report(const std::string& sidecar, const char* state = "ready")
    {
        Json::Value body(Json::objectValue);
        body["service"] = m_options.service;
        body["address"] = address();
        body["zone"] = m_options.zone;
        body["version"] = "v1";
        body["slots"] = 8;
        body["state"] = state;
        body["coldLeftMs"] = 0;
        body["capacity"]["cpu"] = 16'000;
        body["capacity"]["memMb"] = 1'000;
        body["labels"].append("a");
        body["labels"].append("r1");
        body["clockMs"] = static_cast<Json::Int64>(clock());
        body["seq"] = ++m_sequence;
        body["born"] = static_cast<Json::Int64>(m_options.born.count);
        if (!m_reports)
            m_reports = std::make_unique<HttpConnection>(m_loop, sidecar);
        m_reports->call({ .path = "/Instances.Heartbeat/" + m_options.id, .body = writeJson(body), .timeout = { 2'000 } },
            [this](const Result<HttpAnswer>& answer) { acknowledged += answer.has_value() && answer.assume_value().status == 200 ? 1 : 0; });
    }

    // Names of the tasks that were started and stopped, in order.
    std::vector<std::string> started;
    std::vector<std::string> stopped;
    int acknowledged { 0 };
    // Runs end as failed while set.
    bool failing { false };

    std::size_t running() const { return m_running.size(); }

private:
    struct Run {
        std::uint64_t number { 0 };
        std::unique_ptr<EventLoop::Timer> end;
    };

    // A minion's clock has an origin of its own.
    static std::int64_t clock() { return Clock::now().count - 12'345; }

    void serve(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
    {
        if (request.headers.front() != m_options.id)
            return responder->reply({ .status = 421, .body = "{}" });
        const Json::Value body = parseJson(request.body).assume_value();
        Json::Value answer(Json::objectValue);
        answer["clockMs"] = static_cast<Json::Int64>(clock());
        if (request.path == "/run-start")
            start(body, answer, *responder);
        else if (request.path == "/run-stop")
            stop(body, answer, *responder);
        else
            list(body, answer, *responder);
    }

    void start(const Json::Value& body, Json::Value& answer, HttpResponder& responder)
    {
        const std::string task = body["task"].asString();
        if (body["deadlineMs"].asInt64() <= clock()) {
            answer["reason"] = "late";
            return responder.reply({ .status = 409, .body = writeJson(answer) });
        }
        started.push_back(task);
        Run& run = m_running[task];
        run.number = body["runId"].asUInt64();
        run.end = m_loop.once(m_options.runTime, [this, task] { end(task, failing ? "failed" : "done"); });
        responder.reply({ .body = writeJson(answer) });
    }

    void stop(const Json::Value& body, const Json::Value& answer, HttpResponder& responder)
    {
        const std::string task = body["task"].asString();
        stopped.push_back(task);
        if (m_running.contains(task))
            end(task, "stopped");
        responder.reply({ .body = writeJson(answer) });
    }

    void list(const Json::Value& body, Json::Value& answer, HttpResponder& responder)
    {
        const auto seen = body["ackCursor"].asUInt64();
        std::erase_if(m_ended, [seen](const Json::Value& row) { return row[0].asUInt64() <= seen; });
        answer["born"] = static_cast<Json::Int64>(m_options.born.count);
        answer["running"] = Json::Value(Json::arrayValue);
        for (const auto& [task, run] : m_running) {
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(static_cast<Json::UInt64>(run.number));
            row.append("");
            row.append(50);
            answer["running"].append(row);
        }
        answer["finished"] = Json::Value(Json::arrayValue);
        for (const auto& row : m_ended)
            answer["finished"].append(row);
        responder.reply({ .body = writeJson(answer) });
    }

    void end(const std::string& task, const char* how)
    {
        Json::Value row(Json::arrayValue);
        row.append(static_cast<Json::UInt64>(++m_lastEnd));
        row.append(task);
        row.append(static_cast<Json::UInt64>(m_running.at(task).number));
        row.append(how);
        row.append("");
        m_ended.push_back(row);
        m_running.erase(task);
    }

    EventLoop& m_loop;
    Options m_options;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpConnection> m_reports;
    std::map<std::string, Run> m_running;
    std::vector<Json::Value> m_ended;
    std::uint64_t m_lastEnd { 0 };
    int m_sequence { 0 };
};

} // namespace oleanderport
