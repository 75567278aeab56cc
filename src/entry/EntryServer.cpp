#include "entry/EntryServer.h"

#include "entry/CallerApi.h"
#include "entry/PlacementMethods.h"
#include "wire/EntryMessages.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace oleanderport {

namespace {

    constexpr Milliseconds tickPeriod { 50 };
    constexpr const char* jobsPath = "/v1/jobs";
    constexpr const char* requestsPath = "/v1/requests";
    constexpr int httpAccepted = 202;
    constexpr int httpOk = 200;

    std::string queryValue(const std::string& query, const char* name)
    {
        evkeyvalq values {};
        if (evhttp_parse_query_str(query.c_str(), &values) != 0)
            return {};
        const char* found = evhttp_find_header(&values, name);
        std::string value = found ? found : "";
        evhttp_clear_headers(&values);
        return value;
    }

    std::string decodeUri(const std::string& text)
    {
        std::size_t size = 0;
        char* decoded = evhttp_uridecode(text.c_str(), 0, &size);
        std::string value = decoded ? std::string(decoded, size) : std::string();
        free(decoded);
        return value;
    }

    // Parses "/v1/jobs/CALLER/JOB".
    Result<JobKey> parseJobPath(const std::string& path)
    {
        const std::string prefix = std::string(jobsPath) + "/";
        const auto slash = path.find('/', prefix.size());
        if (path.rfind(prefix, 0) != 0 || slash == std::string::npos || path.find('/', slash + 1) != std::string::npos) {
            return Error { .code = ErrorCode::NotFound,
                .ran = Ran::No,
                .step = "entry.http",
                .peer = {},
                .message = "expected /v1/jobs/CALLER/JOB" };
        }
        return JobKey { .caller = decodeUri(path.substr(prefix.size(), slash - prefix.size())),
            .job = decodeUri(path.substr(slash + 1)) };
    }

    void replyJobAnswer(HttpResponder& responder, const Result<JobAnswer>& answer)
    {
        if (!answer.has_value())
            return replyError(responder, answer.assume_error());
        const auto& error = answer.assume_value().error;
        // The outcome of the job is no longer known, so it is reported neither as complete nor as failed.
        if (error && error->code == ErrorCode::AnswerGone)
            return replyError(responder, *error);
        const bool running = answer.assume_value().state == JobState::Running;
        responder.reply({ .status = running ? httpAccepted : httpOk,
            .body = writeJson(answerToJson(answer.assume_value())) });
    }

} // namespace

EntryServer::EntryServer(EventLoop& loop, const Settings& settings)
    : m_process(loop, settings)
    , m_control(loop, settings.controlPeers)
    , m_session(m_process, m_control,
          { .viewChanged =
                  [this](const ClusterView& view) {
                      m_jobs.viewChanged(view);
                      m_dispatch.viewChanged(view);
                  },
              .opened = [this](const SessionId& id) { m_jobs.sessionOpened(id); },
              .ended = [this] { m_jobs.sessionEnded(); },
              .leaseRenewed = {} })
    , m_jobs(m_process, m_control, m_session)
    , m_dispatch(m_process)
    , m_random(std::random_device {}())
{
    addRpcMethods();
    m_process.gaugeUpdaters.push_back([this] {
        m_process.metrics.set("sidecars_connected", static_cast<double>(m_dispatch.sidecars()));
        m_process.metrics.set("jobs_held", static_cast<double>(m_dispatch.jobs()));
        m_process.metrics.set("minions_slow", static_cast<double>(m_dispatch.dispatcher().slowMinions(Clock::now())));
        m_process.metrics.set("queue_pairs_apart", static_cast<double>(m_dispatch.dispatcher().queuePairsKeptApart()));
    });
}

void EntryServer::addRpcMethods()
{
    m_process.rpc.addTyped<ExchangeRequest, ExchangeResponse>(
        "exchange", [this](const ExchangeRequest& request, const ExchangeServer::Reply& reply) {
            m_jobs.exchange(request, reply);
        });
    m_process.rpc.addTyped<FindJobAtOwner, JobAnswer>("findJobHere", [this](const FindJobAtOwner& request, JobReply reply) {
        m_jobs.findHere(request.key, request.digest, request.wait, reply);
    });
    m_process.rpc.addTyped<SubmitAtOwner, JobAnswer>("submitHere", [this](const SubmitAtOwner& request, const JobReply& reply) {
        m_jobs.submit(request.spec, request.wait, reply);
    });
    m_process.rpc.add("explainPlacement", [this](const Json::Value& params, const RpcReply& reply) {
        const auto& catalogue = view().catalogue;
        if (!catalogue) {
            return reply(Error { .code = ErrorCode::Unavailable, .ran = Ran::No, .step = "entry.explainPlacement", .message = "the queues are not known yet" });
        }
        const auto job = readExplainedJob(params, *catalogue, Clock::now());
        if (!job.has_value())
            return reply(job.assume_error());
        reply(toJson(m_dispatch.explain(job.assume_value())));
    });
    m_process.rpc.addTyped<FindJobAtOwner, JobAnswer>("cancelHere",
        [this](const FindJobAtOwner& request, const JobReply& reply) { m_jobs.cancelHere(request.key, reply); });
}

Result<void> EntryServer::start()
{
    BOOST_OUTCOME_TRYV(m_process.listen([this](HttpRequest&& request, std::shared_ptr<HttpResponder> responder) {
        serveHttp(request, responder);
    }));
    m_session.start({ .role = Role::Entry,
        .instance = m_process.settings.instance,
        .address = m_process.settings.advertise,
        .dataCentre = m_process.settings.dataCentre });
    m_timer = m_process.loop.every(tickPeriod, [this] {
        m_jobs.tick();
        finishShutDown();
    });
    return boost::outcome_v2::success();
}

Milliseconds EntryServer::waitTime(const HttpRequest& request) const
{
    const std::string text = queryValue(request.query, "waitMs");
    std::int64_t wait = 0;
    std::from_chars(text.data(), text.data() + text.size(), wait);
    return { std::clamp<std::int64_t>(wait, 0, m_process.settings.maxWait.count) };
}

std::string EntryServer::makeRequestId()
{
    return fmt::format("request-{:016x}{:016x}", m_random(), m_random());
}

void EntryServer::serveHttp(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    const JobReply reply = [responder](const Result<JobAnswer>& answer) { replyJobAnswer(*responder, answer); };
    if (request.path == requestsPath && request.method == HttpMethod::Post)
        return serveRequests(request, reply);
    serveJobs(request, reply);
}

void EntryServer::serveJobs(const HttpRequest& request, const JobReply& reply)
{
    if (request.path == jobsPath && request.method == HttpMethod::Post) {
        const auto spec = parseJob(request.body);
        if (!spec.has_value())
            return reply(spec.assume_error());
        return m_jobs.submit(spec.assume_value(), waitTime(request), reply);
    }
    const auto key = parseJobPath(request.path);
    if (!key.has_value())
        return reply(key.assume_error());
    if (request.method == HttpMethod::Get)
        return m_jobs.find(key.assume_value(), waitTime(request), reply);
    if (request.method == HttpMethod::Delete)
        return m_jobs.cancel(key.assume_value(), reply);
    reply(Error { .code = ErrorCode::BadRequest,
        .ran = Ran::No,
        .step = "entry.http",
        .peer = request.peer,
        .message = "method: expected GET or DELETE" });
}

void EntryServer::serveRequests(const HttpRequest& request, const JobReply& reply)
{
    const std::string generatedId = makeRequestId();
    const auto spec = parseRequest(request.body, generatedId);
    if (!spec.has_value())
        return reply(spec.assume_error());
    // A request waits until it has ended: without an id of its own, its caller could not ask for the result later.
    const Milliseconds untilDeadline = spec.assume_value().deadlineUnix - Clock::unixNow();
    const Milliseconds wait { std::clamp<std::int64_t>(untilDeadline.count, 0, m_process.settings.maxWait.count) };
    if (spec.assume_value().key.job == generatedId)
        return m_jobs.submitUnclaimed(spec.assume_value(), wait, reply);
    m_jobs.submit(spec.assume_value(), wait, reply);
}

void EntryServer::shutDown(std::function<void()> done)
{
    shutDownBy(Clock::now() + m_process.settings.shutdownGrace, std::move(done));
}

void EntryServer::shutDownBy(Milliseconds by, std::function<void()> done)
{
    m_process.events.record(EventKind::ProcessStopping);
    // Connections are accepted until the end: sidecars report the last results and other entries call for joined jobs.
    m_jobs.beginShutDown();
    m_shutDownDone = std::move(done);
    m_shutDownBy = by;
}

void EntryServer::reconfigure(const Settings& settings)
{
    m_process.settings = settings;
    m_control.setPeers(settings.controlPeers);
}

void EntryServer::finishShutDown()
{
    if (!m_shutDownDone)
        return;
    const bool settled = m_jobs.isIdle() && m_dispatch.jobs() == 0 && m_process.server->unsentReplies() == 0;
    if (!settled && Clock::now() < m_shutDownBy)
        return;
    m_process.server->stopAccepting();
    m_timer.reset();
    m_session.stop(std::exchange(m_shutDownDone, nullptr));
}

} // namespace oleanderport
