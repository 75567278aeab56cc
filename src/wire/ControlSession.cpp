#include "wire/ControlSession.h"

#include "policy/ViewDelta.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    template <typename Message>
    Result<Message> decodeText(const std::string& text)
    {
        const auto json = parseJson(text);
        if (!json.has_value())
            return json.assume_error();
        return fromJson<Message>(json.assume_value());
    }

    // Parses the view and catalogue when they were sent as text, and stores them in their fields.
    Result<void> decodeTextFields(SessionResponse& response)
    {
        if (response.viewText) {
            BOOST_OUTCOME_TRY(response.view, decodeText<ClusterView>(*response.viewText));
        }
        if (!response.catalogueText)
            return boost::outcome_v2::success();
        BOOST_OUTCOME_TRY(auto catalogue, decodeText<QueueCatalogue>(*response.catalogueText));
        if (response.delta)
            response.delta->catalogue = std::move(catalogue);
        else if (response.view)
            response.view->catalogue = std::move(catalogue);
        return boost::outcome_v2::success();
    }

    constexpr std::int64_t maxRefreshesPerHeartbeat = 10;
    // Longest that a stopping process waits for control to close the session. An unclosed session expires by itself.
    constexpr Milliseconds maxCloseTime { 500 };

} // namespace

ControlSession::ControlSession(Process& process, ControlClient& client, Callbacks callbacks)
    : m_process(process)
    , m_client(client)
    , m_callbacks(std::move(callbacks))
    , m_grantedLease(process.settings.lease)
    , m_alive(std::make_shared<bool>(true))
{
    m_process.rpc.add("knownView", [this](const Json::Value&, const RpcReply& reply) { reply(knownView()); });
    m_process.gaugeUpdaters.push_back([this] { setGauges(); });
}

Json::Value ControlSession::knownView() const
{
    Json::Value value(Json::objectValue);
    value["version"] = static_cast<Json::UInt64>(m_view.version);
    value["configurationVersion"] = static_cast<Json::UInt64>(m_view.config.version);
    value["hasLease"] = hasLease();
    return value;
}

void ControlSession::setGauges()
{
    m_process.metrics.set("view_version", static_cast<double>(m_view.version));
    m_process.metrics.set("catalogue_version", m_view.catalogue ? static_cast<double>(m_view.catalogue->version) : 0);
    m_process.metrics.set("control_contact_age_milliseconds", static_cast<double>(contactAge().count));
    m_process.metrics.set("lease_left_milliseconds", static_cast<double>((m_leaseEnd - Clock::now()).count));
}

void ControlSession::start(const NodeInfo& node)
{
    m_node = node;
    m_node.environment = m_process.settings.environment;
    m_timer = m_process.loop.every(m_process.settings.heartbeat, [this] { onHeartbeatTimer(); });
    onHeartbeatTimer();
}

void ControlSession::refresh()
{
    const Milliseconds now = Clock::now();
    const Milliseconds gap { m_process.settings.heartbeat.count / maxRefreshesPerHeartbeat };
    if (!m_id || m_requestInFlight || now < m_lastRefresh + gap)
        return;
    m_lastRefresh = now;
    renew();
}

void ControlSession::onHeartbeatTimer()
{
    if (m_requestInFlight)
        return;
    if (m_id)
        renew();
    else
        open();
}

void ControlSession::open()
{
    m_requestInFlight = true;
    const Milliseconds sentAt = Clock::now();
    const std::weak_ptr<bool> alive = m_alive;
    m_client.callTyped<SessionResponse>(ControlClient::Channel::Session, "openSession",
        OpenSessionRequest { .node = m_node }, m_process.settings.controlTimeout,
        [this, alive, sentAt, generation = m_generation](const Result<SessionResponse>& response) {
            if (alive.expired() || generation != m_generation)
                return;
            m_requestInFlight = false;
            if (!response.has_value())
                return logError(LogLevel::Warning, response.assume_error());
            m_id = response.assume_value().session;
            log(LogLevel::Info, { .step = "session.open" }, fmt::format("incarnation {}", m_id->incarnation));
            m_process.events.record(EventKind::SessionOpened, { .detail = fmt::format("{}", m_id->incarnation) });
            if (m_callbacks.opened)
                m_callbacks.opened(*m_id);
            applyResponse(response.assume_value(), sentAt);
        });
}

void ControlSession::renew()
{
    m_requestInFlight = true;
    const Milliseconds sentAt = Clock::now();
    const std::weak_ptr<bool> alive = m_alive;
    m_client.callTyped<SessionResponse>(ControlClient::Channel::Session, "heartbeat", heartbeatRequest(), m_process.settings.controlTimeout,
        [this, alive, sentAt, generation = m_generation](const Result<SessionResponse>& response) {
            if (alive.expired() || generation != m_generation)
                return;
            m_requestInFlight = false;
            if (response.has_value())
                return applyResponse(response.assume_value(), sentAt);
            if (response.assume_error().code == ErrorCode::StaleIncarnation)
                return onSessionEnded();
            m_process.metrics.add("heartbeats_failed_total");
            logError(LogLevel::Warning, response.assume_error());
        });
}

void ControlSession::applyResponse(const SessionResponse& response, Milliseconds sentAt)
{
    const bool hadLease = hasLease();
    m_lastContact = std::max(m_lastContact, sentAt);
    if (response.lease.count > 0)
        m_grantedLease = response.lease;
    m_leaseEnd = response.lease.count > 0 ? sentAt + response.lease : Milliseconds {};
    if (hadLease != hasLease()) {
        m_process.events.record(hadLease ? EventKind::LeaseLost : EventKind::LeaseGranted,
            { .detail = fmt::format("view {}", m_view.version) });
    }
    updateView(response);
    if (m_callbacks.leaseRenewed)
        m_callbacks.leaseRenewed();
}

HeartbeatRequest ControlSession::heartbeatRequest() const
{
    return { .session = *m_id,
        .viewVersion = m_needsFullView ? 0 : m_view.version,
        .configVersion = m_view.config.version,
        .configDigest = m_view.config.digest };
}

void ControlSession::updateView(SessionResponse response)
{
    const auto read = decodeTextFields(response);
    if (!read.has_value()) {
        m_needsFullView = true;
        return logError(LogLevel::Error, read.assume_error());
    }
    const std::uint64_t before = m_view.version;
    const std::uint64_t configBefore = m_view.config.version;
    if (response.view && response.view->version > before)
        m_view = *response.view;
    if (response.view)
        m_needsFullView = false;
    if (response.delta && response.delta->version > before)
        m_needsFullView = !applyDelta(m_view, *response.delta);
    if (m_view.version == before)
        return;
    if (m_view.config.version > configBefore) {
        m_process.events.record(
            EventKind::ConfigurationApplied, { .detail = fmt::format("version {}", m_view.config.version) });
    }
    if (m_callbacks.viewChanged)
        m_callbacks.viewChanged(m_view);
}

void ControlSession::onSessionEnded()
{
    log(LogLevel::Warning, { .step = "session.ended" }, "control ended this session; opening a new one");
    m_process.events.record(EventKind::SessionEnded);
    m_process.metrics.add("sessions_ended_total");
    m_id.reset();
    m_leaseEnd = {};
    if (m_callbacks.ended)
        m_callbacks.ended();
    onHeartbeatTimer();
}

void ControlSession::stop(std::function<void()> done)
{
    m_timer.reset();
    ++m_generation;
    m_requestInFlight = false;
    m_leaseEnd = {};
    if (!m_id)
        return done();
    const HeartbeatRequest request = heartbeatRequest();
    m_id.reset();
    m_client.callTyped<Nothing>(ControlClient::Channel::Session, "closeSession", request, std::min(m_process.settings.controlTimeout, maxCloseTime),
        [done = std::move(done)](const Result<Nothing>&) { done(); });
}

} // namespace oleanderport
