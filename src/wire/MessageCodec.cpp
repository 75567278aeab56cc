#include "wire/MessageCodec.h"

#include "base/EventRing.h"
#include "wire/ControlRecords.h"
#include "wire/EntryMessages.h"
#include "wire/OperatorMessages.h"

#include <fmt/format.h>

#include <memory>
#include <sstream>
#include <type_traits>

namespace oleanderport {

namespace {

    constexpr int maxNesting = 32;

    // Each overload of fields() lists the fields of one message, for both the writer and the reader.
    template <typename Archive, typename T>
    void fields(Archive&, T&);

    std::string_view nameOf(Role value) { return roleName(value); }
    std::string_view nameOf(TaskOutcome value) { return taskOutcomeName(value); }
    std::string_view nameOf(Channel value) { return channelName(value); }
    std::string_view nameOf(JobState value) { return jobStateName(value); }
    std::string_view nameOf(EventKind value) { return eventKindName(value); }
    std::string_view nameOf(ViewChangeKind value) { return viewChangeKindName(value); }

    std::optional<Role> valueOf(std::string_view name, Role) { return roleFromName(name); }
    std::optional<TaskOutcome> valueOf(std::string_view name, TaskOutcome) { return taskOutcomeFromName(name); }
    std::optional<Channel> valueOf(std::string_view name, Channel) { return channelFromName(name); }
    std::optional<JobState> valueOf(std::string_view name, JobState) { return jobStateFromName(name); }
    std::optional<EventKind> valueOf(std::string_view name, EventKind) { return eventKindFromName(name); }
    std::optional<ViewChangeKind> valueOf(std::string_view name, ViewChangeKind)
    {
        return viewChangeKindFromName(name);
    }

    class Writer {
    public:
        Json::Value take() { return std::move(m_value); }

        template <typename T>
        void operator()(const char* name, T& field)
        {
            m_value[Json::StaticString(name)] = write(field);
        }

        template <typename T>
        void operator()(const char* name, std::optional<T>& field)
        {
            if (field)
                m_value[Json::StaticString(name)] = write(*field);
        }

    private:
        static Json::Value write(const std::string& text) { return text; }
        static Json::Value write(bool flag) { return flag; }
        static Json::Value write(std::int64_t number) { return static_cast<Json::Int64>(number); }
        static Json::Value write(std::uint64_t number) { return static_cast<Json::UInt64>(number); }
        static Json::Value write(std::uint32_t number) { return number; }
        static Json::Value write(Milliseconds time) { return static_cast<Json::Int64>(time.count); }
        static Json::Value write(const Error& error) { return errorToJson(error); }

        template <typename T>
        static Json::Value write(const std::vector<T>& list)
        {
            Json::Value array(Json::arrayValue);
            for (const auto& item : list)
                array.append(write(item));
            return array;
        }

        template <typename T>
        static Json::Value write(const T& message)
        {
            if constexpr (std::is_enum_v<T>) {
                return std::string(nameOf(message));
            } else {
                Writer inner;
                fields(inner, const_cast<T&>(message));
                return inner.take();
            }
        }

        Json::Value m_value { Json::objectValue };
    };

    // Reads fields until the first error and keeps that error.
    class Reader {
    public:
        Reader(const Json::Value& value, std::string& fault)
            : m_value(value)
            , m_fault(fault)
        {
            if (!value.isObject())
                fail("", "an object");
        }

        template <typename T>
        void operator()(const char* name, T& field)
        {
            if (!m_fault.empty())
                return;
            const Json::Value* member = m_value.find(name, name + std::char_traits<char>::length(name));
            if (!member) {
                fail(name, "this field");
                return;
            }
            read(name, *member, field);
        }

        template <typename T>
        void operator()(const char* name, std::optional<T>& field)
        {
            if (!m_fault.empty())
                return;
            const Json::Value* member = m_value.find(name, name + std::char_traits<char>::length(name));
            if (!member)
                return;
            field.emplace();
            read(name, *member, *field);
        }

    private:
        void fail(const char* name, std::string_view expected)
        {
            if (m_fault.empty())
                m_fault = fmt::format("field '{}': expected {}", name, expected);
        }

        void read(const char* name, const Json::Value& value, std::string& text)
        {
            if (!value.isString())
                return fail(name, "a string");
            text = value.asString();
        }

        void read(const char* name, const Json::Value& value, bool& flag)
        {
            if (!value.isBool())
                return fail(name, "true or false");
            flag = value.asBool();
        }

        void read(const char* name, const Json::Value& value, std::int64_t& number)
        {
            if (!value.isInt64() || value.asInt64() < 0)
                return fail(name, "a whole number from 0");
            number = value.asInt64();
        }

        void read(const char* name, const Json::Value& value, std::uint64_t& number)
        {
            if (!value.isUInt64())
                return fail(name, "a whole number from 0");
            number = value.asUInt64();
        }

        void read(const char* name, const Json::Value& value, std::uint32_t& number)
        {
            if (!value.isUInt())
                return fail(name, "a whole number from 0");
            number = value.asUInt();
        }

        void read(const char* name, const Json::Value& value, Milliseconds& time) { read(name, value, time.count); }

        void read(const char*, const Json::Value& value, Error& error) { error = errorFromJson(value, {}); }

        template <typename T>
        void read(const char* name, const Json::Value& value, std::vector<T>& list)
        {
            if (!value.isArray())
                return fail(name, "an array");
            list.resize(value.size());
            for (Json::ArrayIndex i = 0; i < value.size() && m_fault.empty(); ++i)
                read(name, value[i], list[i]);
        }

        template <typename T>
        void read(const char* name, const Json::Value& value, T& message)
        {
            if constexpr (std::is_enum_v<T>) {
                const auto known = value.isString() ? valueOf(value.asString(), T {}) : std::nullopt;
                if (!known)
                    return fail(name, "one of the known names");
                message = *known;
            } else {
                Reader inner(value, m_fault);
                fields(inner, message);
            }
        }

        const Json::Value& m_value;
        std::string& m_fault;
    };

    template <typename Archive>
    void fields(Archive& a, SessionId& m)
    {
        a("instance", m.instance);
        a("incarnation", m.incarnation);
    }

    template <typename Archive>
    void fields(Archive& a, JobKey& m)
    {
        a("caller", m.caller);
        a("job", m.job);
    }

    template <typename Archive>
    void fields(Archive& a, TaskNeeds& m)
    {
        a("cpuMillis", m.cpuMillis);
        a("memoryMb", m.memoryMb);
        a("accelerators", m.accelerators);
        a("runTime", m.runTime);
    }

    template <typename Archive>
    void fields(Archive& a, TaskSpec& m)
    {
        a("needs", m.needs);
        a("payload", m.payload);
    }

    template <typename Archive>
    void fields(Archive& a, JobSpec& m)
    {
        a("key", m.key);
        a("team", m.team);
        a("service", m.service);
        a("deadlineUnix", m.deadlineUnix);
        a("idempotent", m.idempotent);
        a("tasks", m.tasks);
    }

    template <typename Archive>
    void fields(Archive& a, TaskAssignment& m)
    {
        a("key", m.key);
        a("task", m.task);
        a("attempt", m.attempt);
        a("epoch", m.epoch);
        a("team", m.team);
        a("idempotent", m.idempotent);
        a("startByUnix", m.startByUnix);
        a("needs", m.needs);
        a("payload", m.payload);
    }

    template <typename Archive>
    void fields(Archive& a, TaskResult& m)
    {
        a("key", m.key);
        a("task", m.task);
        a("attempt", m.attempt);
        a("epoch", m.epoch);
        a("outcome", m.outcome);
        a("body", m.body);
        a("ranFor", m.ranFor);
        a("byPlan", m.byPlan);
    }

    template <typename Archive>
    void fields(Archive& a, ExchangeRequest& m)
    {
        a("sidecar", m.sidecar);
        a("entry", m.entry);
        a("channel", m.channel);
        a("sequence", m.sequence);
        a("grantedTotal", m.grantedTotal);
        a("receivedTotal", m.receivedTotal);
        a("load", m.load);
        a("results", m.results);
        a("leaving", m.leaving);
    }

    template <typename Archive>
    void fields(Archive& a, CancelRequest& m)
    {
        a("key", m.key);
        a("epoch", m.epoch);
    }

    template <typename Archive>
    void fields(Archive& a, TeamDemand& m)
    {
        a("team", m.team);
        a("queued", m.queued);
    }

    template <typename Archive>
    void fields(Archive& a, ExchangeResponse& m)
    {
        a("sequence", m.sequence);
        a("tasks", m.tasks);
        a("cancels", m.cancels);
        a("queued", m.queued);
        a("sentTotal", m.sentTotal);
    }

    template <typename Archive>
    void fields(Archive& a, CollectRequest& m)
    {
        a("sidecar", m.sidecar);
        a("key", m.key);
        a("epoch", m.epoch);
        a("owner", m.owner);
        a("deadlineUnix", m.deadlineUnix);
    }

    template <typename Archive>
    void fields(Archive& a, CollectResponse& m)
    {
        a("tasks", m.tasks);
    }

    template <typename Archive>
    void fields(Archive& a, NodeInfo& m)
    {
        a("role", m.role);
        a("instance", m.instance);
        a("environment", m.environment);
        a("address", m.address);
        a("dataCentre", m.dataCentre);
        a("rack", m.rack);
        a("service", m.service);
        a("slots", m.slots);
        a("connections", m.connections);
        a("cpuMillis", m.cpuMillis);
        a("memoryMb", m.memoryMb);
        a("accelerators", m.accelerators);
        a("streamAddress", m.streamAddress);
    }

    template <typename Archive>
    void fields(Archive& a, Member& m)
    {
        a("id", m.id);
        a("node", m.node);
    }

    template <typename Archive>
    void fields(Archive& a, TeamConfig& m)
    {
        a("name", m.name);
        a("weight", m.weight);
        a("maxQueued", m.maxQueued);
        a("callers", m.callers);
    }

    template <typename Archive>
    void fields(Archive& a, ServiceConfig& m)
    {
        a("name", m.name);
        a("maxTasksPerJob", m.maxTasksPerJob);
    }

    template <typename Archive>
    void fields(Archive& a, EnvironmentConfig& m)
    {
        a("environment", m.environment);
        a("deployment", m.deployment);
        a("version", m.version);
        a("digest", m.digest);
        a("teams", m.teams);
        a("services", m.services);
        a("dataCentres", m.dataCentres);
    }

    template <typename Archive>
    void fields(Archive& a, QueueConfig& m)
    {
        a("name", m.name);
        a("host", m.host);
        a("pathPrefix", m.pathPrefix);
        a("service", m.service);
        a("priority", m.priority);
        a("maxAttempts", m.maxAttempts);
        a("stretchPercent", m.stretchPercent);
        a("latencyAllowance", m.latencyAllowance);
        a("timeLimit", m.timeLimit);
        a("unsupported", m.unsupported);
    }

    template <typename Archive>
    void fields(Archive& a, QueueCatalogue& m)
    {
        a("version", m.version);
        a("queues", m.queues);
    }

    template <typename Archive>
    void fields(Archive& a, PublishCatalogue& m)
    {
        a("catalogue", m.catalogue);
        a("source", m.source);
    }

    template <typename Archive>
    void fields(Archive& a, CataloguePublished& m)
    {
        a("version", m.version);
        a("changed", m.changed);
        a("viewVersion", m.viewVersion);
    }

    template <typename Archive>
    void fields(Archive& a, ClusterView& m)
    {
        a("version", m.version);
        a("config", m.config);
        a("dataCentresOut", m.dataCentresOut);
        a("members", m.members);
        a("catalogue", m.catalogue);
    }

    template <typename Archive>
    void fields(Archive& a, ViewDelta& m)
    {
        a("fromVersion", m.fromVersion);
        a("version", m.version);
        a("config", m.config);
        a("dataCentresOut", m.dataCentresOut);
        a("left", m.left);
        a("joined", m.joined);
        a("catalogue", m.catalogue);
    }

    template <typename Archive>
    void fields(Archive& a, OpenSessionRequest& m)
    {
        a("node", m.node);
    }

    template <typename Archive>
    void fields(Archive& a, HeartbeatRequest& m)
    {
        a("session", m.session);
        a("viewVersion", m.viewVersion);
        a("configVersion", m.configVersion);
        a("configDigest", m.configDigest);
    }

    template <typename Archive>
    void fields(Archive& a, SessionResponse& m)
    {
        a("session", m.session);
        a("lease", m.lease);
        a("delta", m.delta);
        a("view", m.view);
        a("viewText", m.viewText);
        a("catalogueText", m.catalogueText);
    }

    template <typename Archive>
    void fields(Archive& a, ClaimRequest& m)
    {
        a("entry", m.entry);
        a("key", m.key);
        a("digest", m.digest);
        a("service", m.service);
        a("deadlineUnix", m.deadlineUnix);
    }

    template <typename Archive>
    void fields(Archive& a, EndJobRequest& m)
    {
        a("entry", m.entry);
        a("key", m.key);
        a("epoch", m.epoch);
    }

    template <typename Archive>
    void fields(Archive& a, ClaimResponse& m)
    {
        a("owner", m.owner);
        a("ownerAddress", m.ownerAddress);
        a("epoch", m.epoch);
        a("takenOver", m.takenOver);
        a("sidecars", m.sidecars);
    }

    template <typename Archive>
    void fields(Archive& a, JobFailure& m)
    {
        a("task", m.task);
        a("outcome", m.outcome);
        a("reason", m.reason);
    }

    template <typename Archive>
    void fields(Archive& a, JobAnswer& m)
    {
        a("key", m.key);
        a("state", m.state);
        a("results", m.results);
        a("failures", m.failures);
        a("error", m.error);
    }

    template <typename Archive>
    void fields(Archive& a, SubmitAtOwner& m)
    {
        a("spec", m.spec);
        a("wait", m.wait);
    }

    template <typename Archive>
    void fields(Archive& a, FindJobAtOwner& m)
    {
        a("key", m.key);
        a("digest", m.digest);
        a("wait", m.wait);
    }

    template <typename Archive>
    void fields(Archive& a, DataCentreChange& m)
    {
        a("dataCentre", m.dataCentre);
        a("out", m.out);
        a("author", m.author);
        a("reason", m.reason);
        a("declared", m.declared);
    }

    template <typename Archive>
    void fields(Archive& a, DataCentreChanged& m)
    {
        a("changed", m.changed);
        a("viewVersion", m.viewVersion);
        a("trialViewVersion", m.trialViewVersion);
        a("inForceWithin", m.effectiveWithin);
    }

    template <typename Archive>
    void fields(Archive& a, ApplyDocument& m)
    {
        a("environment", m.environment);
        a("text", m.text);
        a("baseVersion", m.baseVersion);
        a("changeId", m.changeId);
        a("author", m.author);
        a("reason", m.reason);
    }

    template <typename Archive>
    void fields(Archive& a, DocumentApplied& m)
    {
        a("version", m.version);
        a("digest", m.digest);
        a("viewVersion", m.viewVersion);
    }

    template <typename Archive>
    void fields(Archive& a, PromoteDocument& m)
    {
        a("digest", m.digest);
        a("baseVersion", m.baseVersion);
        a("changeId", m.changeId);
        a("author", m.author);
        a("reason", m.reason);
    }

    template <typename Archive>
    void fields(Archive& a, VersionSummary& m)
    {
        a("version", m.version);
        a("digest", m.digest);
        a("changeId", m.changeId);
        a("author", m.author);
        a("reason", m.reason);
        a("whenUnix", m.whenUnix);
        a("promotedFrom", m.promotedFrom);
    }

    template <typename Archive>
    void fields(Archive& a, FindJobRequest& m)
    {
        a("environment", m.environment);
        a("key", m.key);
    }

    template <typename Archive>
    void fields(Archive& a, CloseSession& m)
    {
        a("session", m.session);
    }

    template <typename Archive>
    void fields(Archive& a, AcceptDocument& m)
    {
        a("change", m.change);
        a("config", m.config);
    }

    template <typename Archive>
    void fields(Archive& a, VersionRecord& m)
    {
        a("summary", m.summary);
        a("text", m.text);
    }

    template <typename Archive>
    void fields(Archive& a, ChangeRecord& m)
    {
        a("changeId", m.changeId);
        a("digest", m.digest);
        a("applied", m.applied);
        a("refusal", m.refusal);
    }

    template <typename Archive>
    void fields(Archive& a, DataCentreRecord& m)
    {
        a("change", m.change);
        a("whenUnix", m.whenUnix);
    }

    template <typename Archive>
    void fields(Archive& a, ViewChange& m)
    {
        a("version", m.version);
        a("kind", m.kind);
        a("member", m.member);
    }

    template <typename Archive>
    void fields(Archive& a, EnvironmentRecord& m)
    {
        a("name", m.name);
        a("view", m.view);
        a("history", m.history);
        a("changes", m.changes);
        a("viewChanges", m.viewChanges);
    }

    template <typename Archive>
    void fields(Archive& a, Event& m)
    {
        a("kind", m.kind);
        a("instance", m.instance);
        a("sequence", m.sequence);
        a("logical", m.logical);
        a("unixTime", m.unixTime);
        a("job", m.job);
        // Absent for an event that is not about a task.
        std::optional<std::int64_t> task;
        if (m.task >= 0)
            task = m.task;
        a("task", task);
        m.task = task.value_or(-1);
        a("detail", m.detail);
    }

    template <typename Archive>
    void fields(Archive& a, EnvironmentRequest& m)
    {
        a("environment", m.environment);
    }

    template <typename Archive>
    void fields(Archive& a, DocumentVersions& m)
    {
        a("environment", m.environment);
        a("versions", m.versions);
    }

    template <typename Archive>
    void fields(Archive& a, VersionRequest& m)
    {
        a("environment", m.environment);
        a("version", m.version);
    }

    template <typename Archive>
    void fields(Archive& a, ValidateDocument& m)
    {
        a("environment", m.environment);
        a("text", m.text);
    }

    template <typename Archive>
    void fields(Archive& a, DocumentChecked& m)
    {
        a("deployment", m.deployment);
        a("digest", m.digest);
    }

    template <typename Archive>
    void fields(Archive& a, MemberConfirmation& m)
    {
        a("member", m.member);
        a("viewVersion", m.viewVersion);
    }

    template <typename Archive>
    void fields(Archive& a, ControlStatus& m)
    {
        a("leader", m.leader);
        a("view", m.view);
        a("confirmations", m.confirmations);
        a("dataCentreChanges", m.dataCentreChanges);
    }

    template <typename Archive>
    void fields(Archive& a, ClaimRecord& m)
    {
        a("environment", m.environment);
        a("key", m.key);
        a("digest", m.digest);
        a("service", m.service);
        a("owner", m.owner);
        a("epoch", m.epoch);
        a("firstClaimedUnix", m.firstClaimedUnix);
        a("deadlineUnix", m.deadlineUnix);
        a("endedAsFailed", m.endedAsFailed);
    }

    template <typename Archive>
    void fields(Archive& a, EndedSidecar& m)
    {
        a("member", m.member);
        a("endedUnix", m.endedUnix);
    }

    template <typename Archive>
    void fields(Archive& a, ControlContent& m)
    {
        a("nowUnix", m.nowUnix);
        a("lastIncarnation", m.lastIncarnation);
        a("environments", m.environments);
        a("claims", m.claims);
        a("endedSidecars", m.endedSidecars);
        a("dataCentreChanges", m.dataCentreChanges);
        a("catalogueSource", m.catalogueSource);
    }

    template <typename Archive>
    void fields(Archive& a, FindJobResponse& m)
    {
        a("owner", m.owner);
        a("ownerAddress", m.ownerAddress);
    }

    template <typename Archive>
    void fields(Archive& a, ControlGroupInfo& m)
    {
        a("leads", m.leads);
        a("leader", m.leader);
        a("instances", m.instances);
    }

    template <typename Archive>
    void fields(Archive& a, Nothing&)
    {
        (void)a;
    }

    template <typename Archive>
    void fields(Archive& a, MinionAnnouncement& m)
    {
        a("minion", m.minion);
        a("address", m.address);
        a("service", m.service);
        a("rack", m.rack);
        a("slots", m.slots);
        a("connections", m.connections);
        a("cpuMillis", m.cpuMillis);
        a("memoryMb", m.memoryMb);
        a("accelerators", m.accelerators);
    }

    template <typename Archive>
    void fields(Archive& a, MinionHeartbeat& m)
    {
        a("minion", m.minion);
    }

    template <typename Archive>
    void fields(Archive& a, MinionRun& m)
    {
        a("run", m.run);
        a("caller", m.caller);
        a("job", m.job);
        a("task", m.task);
        a("attempt", m.attempt);
        a("needs", m.needs);
        a("payload", m.payload);
    }

    template <typename Archive>
    void fields(Archive& a, MinionRunAnswer& m)
    {
        a("run", m.run);
        a("ok", m.ok);
        a("body", m.body);
    }

    template <typename Archive>
    void fields(Archive& a, MinionRunUsage& m)
    {
        a("run", m.run);
        a("cpuMillis", m.cpuMillis);
        a("memoryMb", m.memoryMb);
    }

    template <typename Archive>
    void fields(Archive& a, MinionUsage& m)
    {
        a("minion", m.minion);
        a("runs", m.runs);
    }

    template <typename Archive>
    void fields(Archive& a, MinionStop& m)
    {
        a("run", m.run);
    }

} // namespace

template <typename T>
Json::Value toJson(const T& message)
{
    Writer writer;
    fields(writer, const_cast<T&>(message));
    return writer.take();
}

template <typename T>
Result<T> fromJson(const Json::Value& value)
{
    std::string fault;
    T message {};
    Reader reader(value, fault);
    fields(reader, message);
    if (!fault.empty())
        return Error { .code = ErrorCode::BadRequest, .ran = Ran::No, .step = "wire.decode", .peer = {}, .message = fault };
    return message;
}

#define OLEANDERPORT_MESSAGE(Type)            \
    template Json::Value toJson(const Type&); \
    template Result<Type> fromJson(const Json::Value&);

OLEANDERPORT_MESSAGE(JobSpec)
OLEANDERPORT_MESSAGE(TaskAssignment)
OLEANDERPORT_MESSAGE(TaskResult)
OLEANDERPORT_MESSAGE(ExchangeRequest)
OLEANDERPORT_MESSAGE(ExchangeResponse)
OLEANDERPORT_MESSAGE(CollectRequest)
OLEANDERPORT_MESSAGE(CollectResponse)
OLEANDERPORT_MESSAGE(OpenSessionRequest)
OLEANDERPORT_MESSAGE(HeartbeatRequest)
OLEANDERPORT_MESSAGE(QueueCatalogue)
OLEANDERPORT_MESSAGE(SessionResponse)
OLEANDERPORT_MESSAGE(ClusterView)
OLEANDERPORT_MESSAGE(EnvironmentConfig)
OLEANDERPORT_MESSAGE(ClaimRequest)
OLEANDERPORT_MESSAGE(EndJobRequest)
OLEANDERPORT_MESSAGE(ClaimResponse)
OLEANDERPORT_MESSAGE(JobKey)
OLEANDERPORT_MESSAGE(JobAnswer)
OLEANDERPORT_MESSAGE(FindJobAtOwner)
OLEANDERPORT_MESSAGE(SubmitAtOwner)
OLEANDERPORT_MESSAGE(NodeInfo)
OLEANDERPORT_MESSAGE(SessionId)
OLEANDERPORT_MESSAGE(Member)
OLEANDERPORT_MESSAGE(DataCentreChange)
OLEANDERPORT_MESSAGE(DataCentreChanged)
OLEANDERPORT_MESSAGE(PublishCatalogue)
OLEANDERPORT_MESSAGE(CataloguePublished)
OLEANDERPORT_MESSAGE(ApplyDocument)
OLEANDERPORT_MESSAGE(DocumentApplied)
OLEANDERPORT_MESSAGE(PromoteDocument)
OLEANDERPORT_MESSAGE(VersionSummary)
OLEANDERPORT_MESSAGE(FindJobRequest)
OLEANDERPORT_MESSAGE(FindJobResponse)
OLEANDERPORT_MESSAGE(CloseSession)
OLEANDERPORT_MESSAGE(ViewDelta)
OLEANDERPORT_MESSAGE(Event)
OLEANDERPORT_MESSAGE(VersionRecord)
OLEANDERPORT_MESSAGE(EnvironmentRequest)
OLEANDERPORT_MESSAGE(DocumentVersions)
OLEANDERPORT_MESSAGE(VersionRequest)
OLEANDERPORT_MESSAGE(ValidateDocument)
OLEANDERPORT_MESSAGE(DocumentChecked)
OLEANDERPORT_MESSAGE(ControlStatus)
OLEANDERPORT_MESSAGE(AcceptDocument)
OLEANDERPORT_MESSAGE(ControlContent)
OLEANDERPORT_MESSAGE(ControlGroupInfo)
OLEANDERPORT_MESSAGE(Nothing)
OLEANDERPORT_MESSAGE(MinionAnnouncement)
OLEANDERPORT_MESSAGE(MinionHeartbeat)
OLEANDERPORT_MESSAGE(MinionRun)
OLEANDERPORT_MESSAGE(MinionRunAnswer)
OLEANDERPORT_MESSAGE(MinionStop)
OLEANDERPORT_MESSAGE(MinionUsage)

#undef OLEANDERPORT_MESSAGE

namespace {

    std::unique_ptr<Json::StreamWriter> makeWriter()
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
    }

    std::unique_ptr<Json::CharReader> makeReader()
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["stackLimit"] = maxNesting;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }

} // namespace

std::string writeJson(const Json::Value& value)
{
    // Creating a writer looks up a dozen settings by name, so each thread reuses one for all messages.
    thread_local const auto writer = makeWriter();
    std::ostringstream out;
    writer->write(value, &out);
    return std::move(out).str();
}

Result<Json::Value> parseJson(const std::string& text)
{
    thread_local const auto reader = makeReader();
    Json::Value value;
    std::string fault;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &fault))
            return value;
    } catch (const Json::Exception& exception) {
        fault = exception.what();
    }
    return Error { .code = ErrorCode::BadRequest, .ran = Ran::No, .step = "wire.parse", .peer = {}, .message = fault };
}

Json::Value errorToJson(const Error& error)
{
    Json::Value value(Json::objectValue);
    value["code"] = std::string(errorCodeName(error.code));
    value["ran"] = std::string(ranName(error.ran));
    value["step"] = error.step;
    value["peer"] = error.peer;
    value["message"] = error.message;
    value["retryAfter"] = static_cast<Json::Int64>(error.retryAfter.count);
    return value;
}

Error errorFromJson(const Json::Value& value, const std::string& peer)
{
    Error error { .code = ErrorCode::Internal, .ran = Ran::Unknown, .step = "wire.error", .peer = peer, .message = {} };
    if (!value.isObject() || !value["code"].isString() || !value["ran"].isString()) {
        error.message = "the peer answered with something that is not an error";
        return error;
    }
    error.code = errorCodeFromName(value["code"].asString()).value_or(ErrorCode::Internal);
    error.ran = ranFromName(value["ran"].asString()).value_or(Ran::Unknown);
    if (value["step"].isString())
        error.step = value["step"].asString();
    if (value["message"].isString())
        error.message = value["message"].asString();
    if (value["peer"].isString() && !value["peer"].asString().empty())
        error.peer = value["peer"].asString();
    if (value["retryAfter"].isInt64())
        error.retryAfter = { value["retryAfter"].asInt64() };
    return error;
}

} // namespace oleanderport
