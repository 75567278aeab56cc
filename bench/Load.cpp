#include "Load.h"

#include "wire/EventLoop.h"
#include "wire/HttpClient.h"
#include "wire/MessageCodec.h"

#include <fmt/format.h>

#include <memory>
#include <sstream>

namespace oleanderport::bench {

namespace {

    constexpr Milliseconds jobTime { 60'000 };
    constexpr Milliseconds metricsTimeout { 2'000 };
    constexpr int httpOk = 200;
    constexpr int httpTooMany = 429;
    constexpr double microsecondsPerMillisecond = 1'000;

    std::string jobBody(const WorkJob& job, const std::string& id)
    {
        std::string body = fmt::format(
            R"({{"caller":"{}","job":"{}","team":"{}","service":"work","deadlineUnixMs":{},"tasks":[)", job.caller, id,
            job.team, (Clock::unixNow() + jobTime).count);
        for (std::size_t i = 0; i < job.runMs.size(); ++i)
            body += fmt::format(R"({}{{"payload":"{{\"sleepMs\":{},\"echo\":\"ok\"}}"}})", i == 0 ? "" : ",", job.runMs[i]);
        return body + "]}";
    }

    std::string reasonOf(const Result<HttpAnswer>& answer)
    {
        if (!answer.has_value())
            return answer.assume_error().message;
        const auto body = parseJson(answer.assume_value().body);
        if (!body.has_value() || !body.assume_value()["error"].isObject())
            return "not complete in time";
        const Json::Value& error = body.assume_value()["error"];
        return fmt::format("{} at {}: {}", error["code"].asString(), error["step"].asString(),
            error["message"].asString());
    }

    class Load {
    public:
        Load(const std::vector<WorkJob>& jobs, const std::vector<std::string>& entries, std::string prefix)
            : m_jobs(jobs)
            , m_entries(entries)
            , m_prefix(std::move(prefix))
            , m_idle(entries.size())
            , m_open(jobs.size())
        {
            m_result.responseTimesMs.assign(jobs.size(), -1);
        }

        LoadResult run(Milliseconds limit)
        {
            if (m_jobs.empty())
                return m_result;
            m_start = Clock::nowMicroseconds();
            next();
            const auto end = m_loop.once(limit, [this] { m_loop.stop(); });
            m_loop.run();
            m_result.failed += m_open;
            return m_result;
        }

    private:
        double elapsedMs() const
        {
            return static_cast<double>(Clock::nowMicroseconds() - m_start) / microsecondsPerMillisecond;
        }

        void next()
        {
            while (m_next < m_jobs.size() && static_cast<double>(m_jobs[m_next].dueMs) <= elapsedMs())
                send(m_next++);
            if (m_next >= m_jobs.size())
                return;
            const auto due = static_cast<std::int64_t>(static_cast<double>(m_jobs[m_next].dueMs) - elapsedMs());
            m_timer = m_loop.once({ std::max<std::int64_t>(due, 1) }, [this] { next(); });
        }

        std::shared_ptr<HttpConnection> connectionTo(std::size_t entry)
        {
            auto& idle = m_idle[entry];
            if (idle.empty())
                return std::make_shared<HttpConnection>(m_loop, m_entries[entry]);
            auto connection = idle.back();
            idle.pop_back();
            return connection;
        }

        void send(std::size_t index)
        {
            const auto entry = static_cast<std::size_t>(m_jobs[index].entry);
            const auto connection = connectionTo(entry);
            const HttpCall call { .method = HttpMethod::Post,
                .path = "/v1/jobs?waitMs=60000",
                .body = jobBody(m_jobs[index], fmt::format("{}-{}", m_prefix, index)),
                .timeout = jobTime };
            connection->call(call, [this, index, entry, connection](const Result<HttpAnswer>& answer) {
                m_idle[entry].push_back(connection);
                answered(index, answer);
            });
        }

        void answered(std::size_t index, const Result<HttpAnswer>& answer)
        {
            const int status = answer.has_value() ? answer.assume_value().status : 0;
            const bool complete
                = status == httpOk && answer.assume_value().body.find(R"("state":"complete")") != std::string::npos;
            if (!complete)
                ++m_result.reasons[reasonOf(answer)];
            if (complete)
                m_result.responseTimesMs[index] = elapsedMs() - static_cast<double>(m_jobs[index].dueMs);
            else if (status == httpTooMany)
                ++m_result.refused;
            else
                ++m_result.failed;
            if (--m_open == 0)
                m_loop.stop();
        }

        const std::vector<WorkJob>& m_jobs;
        const std::vector<std::string>& m_entries;
        std::string m_prefix;
        EventLoop m_loop;
        std::vector<std::vector<std::shared_ptr<HttpConnection>>> m_idle;
        std::unique_ptr<EventLoop::Timer> m_timer;
        std::int64_t m_start { 0 };
        std::size_t m_next { 0 };
        std::size_t m_open;
        LoadResult m_result;
    };

    void addCounters(const std::string& text, std::map<std::string, double>& sums)
    {
        const std::string leading = "oleanderport_";
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            const auto space = line.find(' ');
            if (line.starts_with(leading) && space != std::string::npos)
                sums[line.substr(leading.size(), space - leading.size())] += std::stod(line.substr(space + 1));
        }
    }

} // namespace

LoadResult offerLoad(const std::vector<WorkJob>& jobs, const std::vector<std::string>& entries, const std::string& prefix,
    Milliseconds limit)
{
    return Load(jobs, entries, prefix).run(limit);
}

std::map<std::string, double> readCounters(const std::vector<std::string>& addresses)
{
    std::map<std::string, double> sums;
    EventLoop loop;
    for (const auto& address : addresses) {
        HttpConnection connection(loop, address);
        connection.call({ .method = HttpMethod::Get, .path = "/metrics", .body = {}, .timeout = metricsTimeout },
            [&](const Result<HttpAnswer>& answer) {
                if (answer.has_value())
                    addCounters(answer.assume_value().body, sums);
                loop.stop();
            });
        loop.run();
    }
    return sums;
}

} // namespace oleanderport::bench
