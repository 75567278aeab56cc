#include "Judge.h"

#include "wire/MessageCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace oleanderport::soak {

namespace {

    // The memory of the smallest machine on which a process of the system runs.
    constexpr std::size_t maxResidentBytes = 128 * 1024 * 1024;
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;
    constexpr int firstServerError = 500;

    std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

    std::string taskName(const JobRecord& job, int index) { return fmt::format("{}.0.0.{}", job.id, index); }

    // A member of a JSON object; null when the body does not parse or has no such member.
    Json::Value memberOf(const std::string& body, const char* name)
    {
        const auto parsed = parseJson(body);
        if (!parsed.has_value() || !parsed.assume_value().isObject())
            return {};
        return parsed.assume_value()[name];
    }

    const char* orderOf(const RunRecord& run) { return run.isOfFormer ? ", ordered before its minion started again" : ""; }

    // The state in an answer; empty when there is none.
    std::string stateIn(const std::string& body)
    {
        const Json::Value state = memberOf(body, "state");
        return state.isString() ? state.asString() : std::string();
    }

    // The version in a configuration.
    std::optional<std::uint64_t> versionIn(const std::string& body)
    {
        const Json::Value version = memberOf(body, "version");
        return version.isUInt64() ? std::optional<std::uint64_t>(version.asUInt64()) : std::nullopt;
    }

    class Judge {
    public:
        Judge(const Record& record, const Bounds& bounds)
            : m_record(record)
            , m_bounds(bounds)
        {
            for (const auto& run : record.runs)
                m_runs[jobOf(run.task)].push_back(&run);
        }

        std::vector<Violation> verdict()
        {
            checkOneRunAtATime();
            checkRunsWereRequested();
            checkServices();
            checkDraining();
            for (const auto& job : m_record.jobs) {
                checkRefusals(job);
                checkAnswers(job);
                checkPlannedStops(job);
                checkQueues(job);
            }
            checkOperatorRequests();
            checkReads();
            checkEvacuations();
            checkRecovery();
            for (const auto& [process, bytes] : m_record.peakResidentBytes) {
                if (bytes > maxResidentBytes)
                    add("memory", fmt::format("{} held {} bytes", process, bytes));
            }
            for (const auto& process : m_record.unexpectedExits)
                add("ends", process);
            return std::move(m_violations);
        }

    private:
        void add(const char* guarantee, std::string detail) { m_violations.push_back({ guarantee, std::move(detail) }); }

        // Whether no fault was active from `from` less the settle time until `until`. Planned faults count only with
        // `includePlanned`.
        bool isFreeOfFaults(Milliseconds from, Milliseconds until, bool includePlanned) const
        {
            return std::none_of(m_record.faults.begin(), m_record.faults.end(), [&](const FaultRecord& fault) {
                return (includePlanned || !fault.planned) && fault.from <= until && from <= fault.until + m_bounds.settleTime;
            });
        }

        // Whether the sidecar that started the run was connected at that time: no process had an unplanned fault, and the
        // sidecar and the control instances had no fault at all.
        bool wasSidecarConnected(const RunRecord& run) const
        {
            const std::string sidecar = "sidecar" + run.minion.substr(run.minion.find('-'));
            return isFreeOfFaults(run.start, run.start, false) && std::none_of(m_record.faults.begin(), m_record.faults.end(), [&](const FaultRecord& fault) {
                const bool concerns = fault.process == sidecar || fault.process.rfind("control-", 0) == 0;
                return concerns && fault.from <= run.start && run.start <= fault.until + m_bounds.settleTime;
            });
        }

        void checkOneRunAtATime()
        {
            std::map<std::string, std::vector<const RunRecord*>> byTask;
            for (const auto& run : m_record.runs)
                byTask[run.task].push_back(&run);
            for (auto& [task, runs] : byTask) {
                std::sort(runs.begin(), runs.end(), [](const auto* a, const auto* b) { return a->start < b->start; });
                for (std::size_t i = 1; i < runs.size(); ++i) {
                    const RunRecord& previous = *runs[i - 1];
                    if (runs[i]->start < previous.end)
                        add("one-run", fmt::format("{}: run {} at {} from {} to {} ({}{}), run {} at {} from {}{}", task, previous.number, previous.minion, previous.start.count, previous.end.count, previous.how, orderOf(previous), runs[i]->number, runs[i]->minion, runs[i]->start.count, orderOf(*runs[i])));
                }
            }
        }

        void checkRunsWereRequested()
        {
            std::map<std::string, const JobRecord*> jobs;
            for (const auto& job : m_record.jobs)
                jobs[job.id] = &job;
            for (const auto& run : m_record.runs) {
                const auto job = jobs.find(jobOf(run.task));
                const bool asked = job != jobs.end() && run.spec == job->second->spec && isTaskOf(*job->second, run.task)
                    && !job->second->attempts.empty() && job->second->attempts.front().sent <= run.start;
                if (!asked)
                    add("asked-for", fmt::format("{} started at {} with spec \"{}\" without a request for it", run.task, run.minion, run.spec));
            }
        }

        void checkServices()
        {
            for (const auto& run : m_record.runs) {
                if (run.service != steadyService)
                    add("service", fmt::format("{} started at {} while that worked for service {}", run.task, run.minion, run.service));
            }
        }

        void checkDraining()
        {
            for (const auto& run : m_record.runs) {
                if (run.draining && run.ordered > *run.draining + m_bounds.drain && wasSidecarConnected(run))
                    add("draining", fmt::format("{} was ordered at {} {} ms after its word that it drains was acknowledged", run.task, run.minion, (run.ordered - *run.draining).count));
            }
        }

        static bool isTaskOf(const JobRecord& job, const std::string& task)
        {
            for (int index = 0; index < job.tasks; ++index) {
                if (task == taskName(job, index))
                    return true;
            }
            return false;
        }

        void checkRefusals(const JobRecord& job)
        {
            const bool refused = !job.attempts.empty()
                && std::all_of(job.attempts.begin(), job.attempts.end(), [](const AttemptRecord& attempt) {
                       return attempt.status == statusTooMany || attempt.status == statusUnavailable || attempt.status == statusNotFound;
                   });
            if (refused && m_runs.contains(job.id))
                add("true-refusal", fmt::format("job {} was refused but task {} started", job.id, m_runs.at(job.id).front()->task));
        }

        void checkAnswers(const JobRecord& job)
        {
            for (const auto& attempt : job.attempts) {
                if (attempt.status != statusOk)
                    continue;
                const std::string state = stateIn(attempt.body);
                if (state == "completed")
                    checkCompleted(job, attempt);
                else if (state == "failed")
                    checkFailed(job, attempt);
                else
                    add("whole-answer", fmt::format("job {} was answered \"{}\"", job.id, attempt.body));
            }
        }

        bool hasRunEnded(const std::string& task, const char* how, Milliseconds by) const
        {
            const auto runs = m_runs.find(jobOf(task));
            return runs != m_runs.end() && std::any_of(runs->second.begin(), runs->second.end(), [&](const RunRecord* run) {
                return run->task == task && run->how == how && run->end <= by;
            });
        }

        void checkCompleted(const JobRecord& job, const AttemptRecord& attempt)
        {
            for (int index = 0; index < job.tasks; ++index) {
                const std::string task = taskName(job, index);
                if (!hasRunEnded(task, "done", *attempt.ended))
                    add("whole-answer", fmt::format("job {} was answered as completed but task {} was not done by then", job.id, task));
            }
        }

        void checkFailed(const JobRecord& job, const AttemptRecord& attempt)
        {
            for (int index = 0; index < job.tasks; ++index) {
                if (hasRunEnded(taskName(job, index), "failed", *attempt.ended))
                    return;
            }
            add("whole-answer", fmt::format("job {} was answered as failed but no task had failed", job.id));
        }

        // An entry that is stopping or reloading its settings must answer every request it has read.
        void checkPlannedStops(const JobRecord& job)
        {
            for (const auto& attempt : job.attempts) {
                if (!attempt.ended || attempt.status != 0 || attempt.timedOut || !isDuringPlannedOperation(attempt))
                    continue;
                const auto runs = m_runs.find(job.id);
                const bool passedOn = runs != m_runs.end() && std::any_of(runs->second.begin(), runs->second.end(), [&](const RunRecord* run) {
                    return attempt.sent <= run->start && run->start <= *attempt.ended;
                });
                const bool wasRead = passedOn || *attempt.ended - attempt.sent > m_bounds.lossTolerance;
                if (wasRead && isFreeOfFaults(attempt.sent, *attempt.ended, false))
                    add("planned-stop", fmt::format("job {} at {}: connection closed {} ms after the request was sent", job.id, attempt.entry, (*attempt.ended - attempt.sent).count));
            }
        }

        bool isDuringPlannedOperation(const AttemptRecord& attempt) const
        {
            return std::any_of(m_record.faults.begin(), m_record.faults.end(), [&](const FaultRecord& fault) {
                return fault.planned && fault.process == attempt.entry && fault.from <= *attempt.ended
                    && attempt.sent <= fault.exited.value_or(fault.until);
            });
        }

        // The newest configuration sent until `ended`; null unless all of them were acknowledged more than configApply before
        // `sent`.
        const OperatorRequest* configInForce(Milliseconds sent, Milliseconds ended) const
        {
            const OperatorRequest* inForce = nullptr;
            for (const auto& request : m_record.operatorRequests) {
                if (request.kind != OperatorRequest::Kind::Config || request.sent > ended)
                    continue;
                const bool settled = request.acknowledged && *request.acknowledged + m_bounds.configApply < sent;
                if (!settled)
                    return nullptr;
                if (!inForce || request.version > inForce->version)
                    inForce = &request;
            }
            return inForce;
        }

        void checkQueues(const JobRecord& job)
        {
            for (const auto& attempt : job.attempts) {
                if (!attempt.ended)
                    continue;
                const bool unknown = attempt.status == statusNotFound;
                if (unknown && job.queue == steadyQueue)
                    add("configuration", fmt::format("job {}: status 404 for a queue that every version contains", job.id));
                const OperatorRequest* config = configInForce(attempt.sent, *attempt.ended);
                if (job.queue != optionalQueue || attempt.status == 0 || !config || !isFreeOfFaults(attempt.sent, *attempt.ended, true))
                    continue;
                if (unknown == config->hasOptionalQueue)
                    add("configuration", fmt::format("job {}: status {} under version {}", job.id, attempt.status, config->version));
            }
        }

        void checkOperatorRequests()
        {
            for (const auto& request : m_record.operatorRequests) {
                const bool mustFail = request.kind == OperatorRequest::Kind::InvalidConfig;
                if (mustFail && request.acknowledged)
                    add("configuration", fmt::format("an invalid configuration was acknowledged: {}", request.body));
                if (!mustFail && request.refused)
                    add("configuration", fmt::format("operator request (version {}, data centre \"{}\") was refused with status {}", request.version, request.zone, *request.refused));
            }
        }

        void checkReads()
        {
            std::map<std::uint64_t, std::string> sent;
            for (const auto& request : m_record.operatorRequests) {
                if (request.kind == OperatorRequest::Kind::Config)
                    sent[request.version] = request.body;
            }
            bool readAtEnd = false;
            for (const auto& read : m_record.reads) {
                if (read.status >= firstServerError || read.status == 0)
                    continue;
                const auto version = versionIn(read.body);
                if (read.status != statusOk || !version || !sent.contains(*version) || sent.at(*version) != read.body) {
                    add("configuration", fmt::format("{} answered a read with status {} and an unexpected body \"{}\"", read.instance, read.status, read.body));
                    continue;
                }
                if (const auto newest = acknowledgedBy(read.sent); newest && *version < *newest)
                    add("configuration", fmt::format("{} returned version {} after version {} was acknowledged", read.instance, *version, *newest));
                readAtEnd = readAtEnd || read.sent > m_record.lastFaultEnd;
            }
            if (acknowledgedBy(m_record.finished) && !readAtEnd)
                add("configuration", "no instance returned the configuration after the last fault");
        }

        std::optional<std::uint64_t> acknowledgedBy(Milliseconds time) const
        {
            std::optional<std::uint64_t> newest;
            for (const auto& request : m_record.operatorRequests) {
                if (request.kind == OperatorRequest::Kind::Config && request.acknowledged && *request.acknowledged < time)
                    newest = std::max(newest.value_or(0), request.version);
            }
            return newest;
        }

        void checkEvacuations()
        {
            for (const auto& out : m_record.operatorRequests) {
                if (out.kind != OperatorRequest::Kind::EvacuationStart || !out.acknowledged)
                    continue;
                Milliseconds back = m_record.finished;
                for (const auto& in : m_record.operatorRequests) {
                    if (in.kind == OperatorRequest::Kind::EvacuationFinish && in.zone == out.zone && in.sent >= out.sent)
                        back = std::min(back, in.sent);
                }
                for (const auto& run : m_record.runs) {
                    const bool late = run.zone == out.zone && *out.acknowledged + m_bounds.evacuation < run.start && run.start < back;
                    if (late && wasSidecarConnected(run))
                        add("data-centre-out", fmt::format("{} started in {} {} ms after its evacuation was acknowledged", run.task, out.zone, (run.start - *out.acknowledged).count));
                }
            }
        }

        void checkRecovery()
        {
            const std::vector<const JobRecord*> jobs = jobsAfterRecovery(m_record, m_bounds);
            const auto served = std::count_if(jobs.begin(), jobs.end(), [](const JobRecord* job) { return isServed(*job); });
            // The users' platform requires a quarter.
            if (!jobs.empty() && served * 4 >= static_cast<std::ptrdiff_t>(jobs.size()))
                return;
            std::string detail = fmt::format("{} of {} jobs served after the recovery time, from {} ms to {} ms", served, jobs.size(),
                (m_record.lastFaultEnd + m_bounds.recovery).count, m_record.finished.count);
            for (const JobRecord* job : jobs) {
                for (const auto& attempt : job->attempts)
                    detail += fmt::format("; {} at {} from {} ms to {}: status {}", job->id, attempt.entry, attempt.sent.count,
                        attempt.ended ? fmt::format("{} ms", attempt.ended->count) : "the end", attempt.status);
            }
            add("recovery", detail);
        }

        const Record& m_record;
        const Bounds& m_bounds;
        std::map<std::string, std::vector<const RunRecord*>> m_runs;
        std::vector<Violation> m_violations;
    };

} // namespace

std::vector<const JobRecord*> jobsAfterRecovery(const Record& record, const Bounds& bounds)
{
    std::vector<const JobRecord*> jobs;
    for (const auto& job : record.jobs) {
        if (!job.attempts.empty() && job.attempts.front().sent > record.lastFaultEnd + bounds.recovery && job.queue == steadyQueue)
            jobs.push_back(&job);
    }
    return jobs;
}

bool isServed(const JobRecord& job)
{
    return std::any_of(job.attempts.begin(), job.attempts.end(), [](const AttemptRecord& attempt) { return attempt.status == statusOk; });
}

std::vector<Violation> judge(const Record& record, const Bounds& bounds) { return Judge(record, bounds).verdict(); }

} // namespace oleanderport::soak
