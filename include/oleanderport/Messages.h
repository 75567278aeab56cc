#pragma once

#include "oleanderport/Clock.h"
#include "oleanderport/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// The messages that processes exchange. Units: memory in megabytes, processor in thousandths of a core, time in
// milliseconds. src/wire/MessageCodec.h turns each into JSON and back.
namespace oleanderport {

// The two environments. Each has its own document and its own processes.
inline constexpr const char* trialEnvironment = "trial";
inline constexpr const char* productionEnvironment = "production";

// Identifies one session of an instance. Control assigns a higher incarnation each time the instance opens a session.
struct SessionId {
    std::string instance;
    std::uint64_t incarnation { 0 };

    auto operator<=>(const SessionId&) const = default;
};

// Identifies a job permanently: the caller that submitted it and the id that this caller gave it.
struct JobKey {
    std::string caller;
    std::string job;

    auto operator<=>(const JobKey&) const = default;
};

enum class Role {
    Entry,
    Sidecar,
    Control,
};

std::string_view roleName(Role);
std::optional<Role> roleFromName(std::string_view);

// Resources and run time that a task needs, as declared by its caller.
struct TaskNeeds {
    std::int64_t cpuMillis { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };
    Milliseconds runTime {};
};

struct TaskSpec {
    TaskNeeds needs;
    std::string payload;
};

// A job as a caller submits it.
struct JobSpec {
    JobKey key;
    std::string team;
    std::string service;
    // Wall-clock time after which no task of the job may start. Part of the content digest, so a resubmission is
    // recognised as long as the claim is kept and refused afterwards.
    Milliseconds deadlineUnix {};
    // True for a single request that may be retried after an unknown outcome.
    bool idempotent { false };
    std::vector<TaskSpec> tasks;
};

// A task that an entry sends to a sidecar.
struct TaskAssignment {
    JobKey key;
    std::uint32_t task { 0 };
    std::uint32_t attempt { 0 };
    // Epoch of the entry's claim, used as a fencing token: a sidecar refuses an epoch below the highest it has seen.
    std::uint64_t epoch { 0 };
    std::string team;
    // True when a retry may follow an attempt with an unknown outcome.
    bool idempotent { false };
    // The task must not start after this wall-clock time.
    Milliseconds startByUnix {};
    TaskNeeds needs;
    std::string payload;
};

// Outcome of one task.
enum class TaskOutcome {
    // The minion answered, and the answer is complete.
    Done,
    // The minion ran it and reported a failure.
    Failed,
    // It did not start, and this sidecar will not start it.
    NotStarted,
    // It may have started; its outcome is not known.
    Unknown,
    // It is running. Only used in a CollectResponse.
    Running,
};

std::string_view taskOutcomeName(TaskOutcome);
std::optional<TaskOutcome> taskOutcomeFromName(std::string_view);

struct TaskResult {
    JobKey key;
    std::uint32_t task { 0 };
    std::uint32_t attempt { 0 };
    std::uint64_t epoch { 0 };
    TaskOutcome outcome { TaskOutcome::Unknown };
    // The minion's answer when done; the reason otherwise.
    std::string body;
    // Run time at the minion.
    Milliseconds ranFor {};
    // Returned because the sidecar, its minion or its data centre goes out of service. Placing the task elsewhere doesn't
    // count against the retry budget.
    bool byPlan { false };
};

// The two kinds of exchange between a sidecar and an entry. An entry may hold a Poll until it has work (long polling);
// it answers a Report at once.
enum class Channel {
    Poll,
    Report,
};

std::string_view channelName(Channel);
std::optional<Channel> channelFromName(std::string_view);

// Sidecar to entry. Each channel carries one exchange at a time. A resend with the same sequence number gets the same
// response, so a lost response neither loses nor duplicates tasks or results.
struct ExchangeRequest {
    SessionId sidecar;
    SessionId entry;
    Channel channel { Channel::Poll };
    std::uint64_t sequence { 0 };
    // Total number of tasks that the entry may send to this sidecar, counted since the first exchange of the two sessions.
    // Cumulative, so that messages that cross on the network can't make an entry send too many.
    std::uint64_t grantedTotal { 0 };
    // Total number of tasks received from this entry; and tasks of all entries queued or running there now.
    std::uint64_t receivedTotal { 0 };
    std::uint64_t load { 0 };
    std::vector<TaskResult> results;
    // The sidecar is leaving: the entry must send no further tasks, whatever was granted.
    bool leaving { false };
};

// Asks a sidecar to drop the queued tasks of a job and stop its running ones.
struct CancelRequest {
    JobKey key;
    std::uint64_t epoch { 0 };
};

struct TeamDemand {
    std::string team;
    std::uint64_t queued { 0 };
};

// Entry to sidecar.
struct ExchangeResponse {
    std::uint64_t sequence { 0 };
    std::vector<TaskAssignment> tasks;
    std::vector<CancelRequest> cancels;
    // Tasks queued at the entry that this sidecar could run, by team.
    std::vector<TeamDemand> queued;
    // Total number of tasks sent to this sidecar. A leaving sidecar has received everything once its own count is equal.
    std::uint64_t sentTotal { 0 };
};

// Sent by the new owner of a job: asks a sidecar for the state of the job's tasks and raises the epoch there.
struct CollectRequest {
    // The addressed sidecar session; another incarnation of the same sidecar refuses with StaleIncarnation.
    SessionId sidecar;
    JobKey key;
    std::uint64_t epoch { 0 };
    SessionId owner;
    // Deadline of the job; the raised epoch is kept until the retention after it has passed.
    Milliseconds deadlineUnix {};
};

struct CollectResponse {
    std::vector<TaskResult> tasks;
};

// Description that a process sends to control. The resource fields are set for sidecars and describe the minion.
struct NodeInfo {
    Role role { Role::Entry };
    std::string instance;
    // Environment that the process belongs to.
    std::string environment { productionEnvironment };
    // "IP:port" of the process.
    std::string address;
    std::string dataCentre;
    std::string rack;
    std::string service;
    std::int64_t slots { 0 };
    std::int64_t connections { 0 };
    std::int64_t cpuMillis { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };
    // "IP:port" at which a sidecar accepts streams from entries for best-effort jobs; absent where it serves none.
    std::optional<std::string> streamAddress;
};

// A session that control counts as open.
struct Member {
    SessionId id;
    NodeInfo node;
};

struct TeamConfig {
    std::string name;
    // Share of the slots relative to other teams.
    std::int64_t weight { 1 };
    // Most queued tasks of the team over all entries.
    std::int64_t maxQueued { 0 };
    std::vector<std::string> callers;
};

struct ServiceConfig {
    std::string name;
    std::int64_t maxTasksPerJob { 0 };
};

// Validated content of one environment's document.
struct EnvironmentConfig {
    std::string environment;
    // Purpose of the document, as its author describes it.
    std::string deployment;
    std::uint64_t version { 0 };
    std::string digest;
    std::vector<TeamConfig> teams;
    std::vector<ServiceConfig> services;
    std::vector<std::string> dataCentres;
};

// A queue accepts best-effort jobs under one host and path prefix and has their tasks run by one service.
struct QueueConfig {
    std::string name;
    // Host header and path prefix that select the queue. The longest matching prefix wins.
    std::string host;
    std::string pathPrefix;
    std::string service;
    // 0 is the highest priority.
    std::int64_t priority { 0 };
    // Failed runs of one task after which its job fails.
    std::int64_t maxAttempts { 1 };
    // Latency objective of a job: `stretchPercent` percent of its longest chain of work plus `latencyAllowance`.
    std::int64_t stretchPercent { 100 };
    Milliseconds latencyAllowance {};
    // Longest time that a caller waits when it sets no deadline.
    Milliseconds timeLimit {};
    // Reason why jobs of this queue can't be accepted; absent when they can.
    std::optional<std::string> unsupported;
};

// The queues of a deployment. The author numbers the versions; the highest one applies.
struct QueueCatalogue {
    std::uint64_t version { 0 };
    std::vector<QueueConfig> queues;
};

// State of the cluster that control distributes to entries and sidecars. Versions only increase.
struct ClusterView {
    std::uint64_t version { 0 };
    EnvironmentConfig config;
    std::vector<std::string> dataCentresOut;
    std::vector<Member> members;
    // Absent until the first one is published.
    std::optional<QueueCatalogue> catalogue;
};

// Difference between one version of a view and a later one.
struct ViewDelta {
    std::uint64_t fromVersion { 0 };
    std::uint64_t version { 0 };
    // Set only when the configuration differs from the one in the receiver's request.
    std::optional<EnvironmentConfig> config;
    std::optional<std::vector<std::string>> dataCentresOut;
    std::vector<SessionId> left;
    std::vector<Member> joined;
    std::optional<QueueCatalogue> catalogue;
};

struct OpenSessionRequest {
    NodeInfo node;
};

struct HeartbeatRequest {
    SessionId session;
    // Version of the sender's view; zero asks for the whole view.
    std::uint64_t viewVersion { 0 };
    std::uint64_t configVersion { 0 };
    std::string configDigest;
};

struct SessionResponse {
    SessionId session;
    // Length of the lease, counted by the receiver from the time at which it sent the request. Zero: no lease is granted and
    // nothing may start.
    Milliseconds lease {};
    // At most one of the three is set, and only when the receiver's view is outdated. The whole view is sent when the changes since
    // the receiver's version are no longer kept. A view with members is sent as JSON, which control encodes once for all
    // processes that open their sessions after the same change.
    std::optional<ViewDelta> delta;
    std::optional<ClusterView> view;
    std::optional<std::string> viewText;
    // The queue catalogue that belongs to the delta or view, as JSON. It may be large and is the same for all receivers, so control
    // encodes it once and omits it from the other fields.
    std::optional<std::string> catalogueText;
};

// An entry claims a job before any of its tasks may start.
struct ClaimRequest {
    SessionId entry;
    JobKey key;
    std::string digest;
    std::string service;
    Milliseconds deadlineUnix {};
};

// An owner records that a job has failed before it reports so to the caller. Otherwise another entry could take the job over
// and end it with a different result.
struct EndJobRequest {
    SessionId entry;
    JobKey key;
    std::uint64_t epoch { 0 };
};

struct ClaimResponse {
    // Current owner of the job: the requesting entry, or the live entry that claimed it before.
    SessionId owner;
    std::string ownerAddress;
    std::uint64_t epoch { 0 };
    // True when this claim takes the job over from an owner whose session has ended.
    bool takenOver { false };
    // Set on a takeover: every sidecar session of the service that was open at any time since the first claim.
    std::vector<Member> sidecars;
};

struct JobFailure {
    std::uint32_t task { 0 };
    TaskOutcome outcome { TaskOutcome::Unknown };
    std::string reason;
};

enum class JobState {
    Running,
    Complete,
    Failed,
};

std::string_view jobStateName(JobState);
std::optional<JobState> jobStateFromName(std::string_view);

// Final answer of a job: complete with all results, or failed with the reason for each task that did not succeed.
struct JobAnswer {
    JobKey key;
    JobState state { JobState::Running };
    std::vector<std::string> results;
    std::vector<JobFailure> failures;
    std::optional<Error> error;
};

} // namespace oleanderport
