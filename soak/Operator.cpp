#include "Operator.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport::soak {

namespace {

    // As the users' operators do: one second for an answer, then the next instance, with an increasing backoff.
    constexpr Milliseconds callTimeout { 1'000 };
    constexpr Milliseconds maxBackoff { 800 };
    constexpr int maxRedirects = 2;
    constexpr Milliseconds readPeriod { 400 };
    constexpr Milliseconds minConfigPause { 200 };
    constexpr Milliseconds maxConfigPause { 6'000 };
    constexpr int invalidOneIn = 5;
    constexpr int statusRedirect = 307;
    constexpr int firstClientError = 400;
    constexpr int firstServerError = 500;

} // namespace

Operator::Operator(EventLoop& loop, std::uint64_t seed, std::vector<ControlAddress> controls, bool hasOtherService)
    : m_loop(loop)
    , m_random(seed)
    , m_controls(std::move(controls))
    , m_hasOtherService(hasOtherService)
{
}

std::string Operator::configText(std::uint64_t version, int timeoutMs, bool hasOptionalQueue) const
{
    const auto route = [&](const char* name, const char* prefix) {
        return fmt::format(R"({{"name":"{}","host":"soak.example","pathPrefix":"{}","kind":"non_idempotent","timeoutMs":{},)"
                           R"("targetLatencyMs":60,"priority":1,"service":"{}","maxAttempts":3,"stretch":1.6}})",
            name, prefix, timeoutMs, steadyService);
    };
    const auto service = [](const char* name) { return fmt::format(R"({{"name":"{}","maxConns":64,"rejectsOverload":true}})", name); };
    return fmt::format(R"({{"version":{},"routes":[{}{}],"services":[{}{}],"limits":{{}}}})", version, route("a", steadyQueue),
        hasOptionalQueue ? "," + route("b", optionalQueue) : "", service(steadyService), m_hasOtherService ? "," + service(otherService) : "");
}

void Operator::putConfig(std::function<void()> acknowledged)
{
    m_version += 1 + static_cast<std::uint64_t>(m_random.below(9));
    const bool hasOptionalQueue = m_random.oneIn(2);
    sendRequest({ .kind = OperatorRequest::Kind::Config,
                    .version = m_version,
                    .body = configText(m_version, 4'000 + m_random.below(4) * 100, hasOptionalQueue),
                    .hasOptionalQueue = hasOptionalQueue },
        std::move(acknowledged));
}

void Operator::putInvalidConfig()
{
    const std::string valid = configText(m_version + 1, 1'500, true);
    const std::string cut = valid.substr(0, m_random.below(valid.size()));
    sendRequest({ .kind = OperatorRequest::Kind::InvalidConfig, .body = m_random.oneIn(2) ? cut : configText(m_version + 1, 0, false) }, [] {});
}

void Operator::changeDataCentre(const std::string& dataCentre, bool out)
{
    sendRequest({ .kind = out ? OperatorRequest::Kind::EvacuationStart : OperatorRequest::Kind::EvacuationFinish, .zone = dataCentre }, [] {});
}

void Operator::sendRequest(OperatorRequest request, std::function<void()> acknowledged)
{
    request.sent = Clock::now();
    m_requests.push_back(std::move(request));
    OperatorRequest& kept = m_requests.back();
    const std::string path = !kept.zone.empty()
        ? fmt::format("/Evacuations.{}/{}", kept.kind == OperatorRequest::Kind::EvacuationStart ? "Start" : "Finish", kept.zone)
        : "/Config.Put";
    Call& call = m_calls.emplace_back();
    call.message = { .path = path, .body = kept.body, .timeout = callTimeout };
    call.done = [this, &kept, acknowledged = std::move(acknowledged)](const std::string&, Milliseconds, const HttpAnswer& answer) {
        if (answer.status >= firstClientError) {
            kept.refused = answer.status;
            return;
        }
        kept.acknowledged = Clock::now();
        acknowledged();
        if (kept.kind == OperatorRequest::Kind::Config)
            readAtAllInstances();
    };
    call.instance = m_random.below(m_controls.size());
    send(call);
}

void Operator::readAtAllInstances()
{
    for (std::size_t instance = 0; instance < m_controls.size(); ++instance)
        readConfig(instance);
}

void Operator::readConfig(std::size_t instance)
{
    Call& call = m_calls.emplace_back();
    call.message = { .method = HttpMethod::Get, .path = "/Config.Get", .timeout = callTimeout };
    call.singleAttempt = true;
    call.done = [this](const std::string& name, Milliseconds sent, const HttpAnswer& answer) {
        m_reads.push_back({ .instance = name, .sent = sent, .status = answer.status, .body = answer.body });
    };
    call.instance = instance;
    send(call);
}

void Operator::send(Call& call)
{
    call.redirects = 0;
    sendTo(call, m_controls[call.instance].address);
}

void Operator::sendTo(Call& call, const std::string& address)
{
    call.connection = std::make_unique<HttpConnection>(m_loop, address);
    call.connection->call(call.message, [this, &call, sent = Clock::now()](const Result<HttpAnswer>& answer) { answered(call, answer, sent); });
}

void Operator::answered(Call& call, const Result<HttpAnswer>& answer, Milliseconds sent)
{
    const bool isClear = answer.has_value() && answer.assume_value().status < firstServerError;
    if (isClear && answer.assume_value().status == statusRedirect && call.redirects++ < maxRedirects) {
        const std::string& location = answer.assume_value().location;
        constexpr std::string_view scheme = "http://";
        return sendTo(call, location.substr(scheme.size(), location.find('/', scheme.size()) - scheme.size()));
    }
    if (isClear && answer.assume_value().status != statusRedirect) {
        call.done(m_controls[call.instance].name, sent, answer.assume_value());
        return finish(call);
    }
    if (call.singleAttempt)
        return finish(call);
    call.instance = (call.instance + 1) % m_controls.size();
    call.retryTimer = m_loop.once(call.backoff, [this, &call] { send(call); });
    call.backoff = std::min(call.backoff * 2, maxBackoff);
}

void Operator::finish(Call& call)
{
    m_calls.remove_if([&call](const Call& each) { return &each == &call; });
}

void Operator::start()
{
    m_nextRead = m_loop.every(readPeriod, [this] { readConfig(m_random.below(m_controls.size())); });
    scheduleNextConfig();
}

void Operator::scheduleNextConfig()
{
    const Milliseconds pause { minConfigPause.count + m_random.below((maxConfigPause - minConfigPause).count) };
    m_nextConfig = m_loop.once(pause, [this] {
        if (m_random.oneIn(invalidOneIn))
            putInvalidConfig();
        else
            putConfig();
        scheduleNextConfig();
    });
}

void Operator::stop()
{
    m_nextRead.reset();
    m_nextConfig.reset();
    m_calls.clear();
}

} // namespace oleanderport::soak
