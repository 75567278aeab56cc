#pragma once

#include "oleanderport/Clock.h"
#include "oleanderport/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// The typed messages that processes exchange. Units: memory in megabytes, processor in thousandths of a core, time in
// milliseconds. src/wire/MessageCodec.h turns each into JSON and back.
namespace oleanderport {

// The two environments. Each has a document of its own and processes of its own.
inline constexpr const char* trialEnvironment = "trial";
inline constexpr const char* productionEnvironment = "production";

// Names one process over one of its lives. Control gives a higher incarnation each time an instance opens a session.
struct SessionId {
    std::string instance;
    std::uint64_t incarnation { 0 };

    auto operator<=>(const SessionId&) const = default;
};

// Names a job for ever: the caller that submitted it and the id that this caller gave it.
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

// What a task needs, as its caller declares it.
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
    // recognised as long as its claim is kept and refused afterwards.
    Milliseconds deadlineUnix {};
    // True for a single request that may be tried again after an unknown outcome.
    bool idempotent { false };
    std::vector<TaskSpec> tasks;
};

// One task on its way from an entry to a sidecar.
struct TaskAssignment {
    JobKey key;
    std::uint32_t task { 0 };
    std::uint32_t attempt { 0 };
    // Epoch of the claim under which the entry acts. A sidecar refuses an epoch lower than one it has seen.
    std::uint64_t epoch { 0 };
    std::string team;
    // True when a further attempt may follow one whose end is unknown.
    bool idempotent { false };
    // The task must not start after this wall-clock time.
    Milliseconds startByUnix {};
    TaskNeeds needs;
    std::string payload;
};

// How one task ended, or that it never started.
enum class TaskOutcome {
    // The minion answered; the answer is whole.
    Done,
    // The minion ran it and reported a failure.
    Failed,
    // It never started and never will at this sidecar.
    NotStarted,
    // It may have started; its end is not known.
    Unknown,
    // It is running. Only in answers to a collect call.
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
    // Time that the minion took.
    Milliseconds ranFor {};
    // Given back because the sidecar, its minion or its data centre goes out of service. Placing it elsewhere is no
    // retry of refused work.
    bool byPlan { false };
};

// The two kinds of exchange that a sidecar keeps with each entry. An entry may hold a Poll until it has work;
// it answers a Report at once.
enum class Channel {
    Poll,
    Report,
};

std::string_view channelName(Channel);
std::optional<Channel> channelFromName(std::string_view);

// Sidecar to entry. Each channel carries one exchange at a time; the same sequence number sent again gets the same
// response again, so a lost response loses nothing and doubles nothing.
struct ExchangeRequest {
    SessionId sidecar;
    SessionId entry;
    Channel channel { Channel::Poll };
    std::uint64_t sequence { 0 };
    // Tasks that the entry may have sent to this sidecar in all since both sessions met. Cumulative, so that crossing
    // messages cannot make an entry send too much.
    std::uint64_t grantedTotal { 0 };
    // Tasks that the sidecar has from this entry in all, and those of all entries that wait or run there now.
    std::uint64_t receivedTotal { 0 };
    std::uint64_t load { 0 };
    std::vector<TaskResult> results;
    // The sidecar is leaving: the entry sends nothing further, whatever was granted.
    bool leaving { false };
};

// Tells a sidecar to forget or stop the tasks of a job.
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
    // Tasks that wait at the entry and that this sidecar could run, by team.
    std::vector<TeamDemand> queued;
    // Tasks sent to this sidecar in all. A sidecar that leaves has received everything once it counts as many.
    std::uint64_t sentTotal { 0 };
};

// A new owner asks a sidecar what it knows of a job and raises the epoch there.
struct CollectRequest {
    // The sidecar session that is meant; another incarnation of the same sidecar refuses with StaleIncarnation.
    SessionId sidecar;
    JobKey key;
    std::uint64_t epoch { 0 };
    SessionId owner;
    // Deadline of the job; the raised epoch is remembered until its retention has passed.
    Milliseconds deadlineUnix {};
};

struct CollectResponse {
    std::vector<TaskResult> tasks;
};

// A process as it presents itself to control. The resource fields are set for sidecars and describe the minion.
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

// A live session as control sees it.
struct Member {
    SessionId id;
    NodeInfo node;
};

struct TeamConfig {
    std::string name;
    // Share of the slots relative to other teams.
    std::int64_t weight { 1 };
    // Most tasks of the team that may wait over all entries.
    std::int64_t maxQueued { 0 };
    std::vector<std::string> callers;
};

struct ServiceConfig {
    std::string name;
    std::int64_t maxTasksPerJob { 0 };
};

// The checked content of one environment's document.
struct EnvironmentConfig {
    std::string environment;
    // What the document is for, in its author's words.
    std::string deployment;
    std::uint64_t version { 0 };
    std::string digest;
    std::vector<TeamConfig> teams;
    std::vector<ServiceConfig> services;
    std::vector<std::string> dataCentres;
};

// A queue takes best-effort jobs at one place of the HTTP name space and has their tasks run by one service.
struct QueueConfig {
    std::string name;
    // Host header and path prefix by which callers name the queue. The longest prefix that fits wins.
    std::string host;
    std::string pathPrefix;
    std::string service;
    // 0 comes first.
    std::int64_t priority { 0 };
    // Failed runs of one task after which its job has failed.
    std::int64_t maxAttempts { 1 };
    // Latency objective of a job: `stretchPercent` hundredths of its longest chain of work, and `latencyAllowance` more.
    std::int64_t stretchPercent { 100 };
    Milliseconds latencyAllowance {};
    // Longest time that a caller is kept waiting when it names no deadline of its own.
    Milliseconds timeLimit {};
    // Why jobs of this queue cannot be taken; absent when they can.
    std::optional<std::string> unsupported;
};

// The queues of a deployment. Its author numbers the versions; the highest one is in force.
struct QueueCatalogue {
    std::uint64_t version { 0 };
    std::vector<QueueConfig> queues;
};

// What entries and sidecars know of the system. Versions only go up.
struct ClusterView {
    std::uint64_t version { 0 };
    EnvironmentConfig config;
    std::vector<std::string> dataCentresOut;
    std::vector<Member> members;
    // Absent until a first one was published.
    std::optional<QueueCatalogue> catalogue;
};

// What leads from one version of a view to a later one.
struct ViewDelta {
    std::uint64_t fromVersion { 0 };
    std::uint64_t version { 0 };
    // Set only when the configuration differs from the one that the receiver named.
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
    // The view that the sender has; zero asks for the whole.
    std::uint64_t viewVersion { 0 };
    std::uint64_t configVersion { 0 };
    std::string configDigest;
};

struct SessionResponse {
    SessionId session;
    // Length of the lease, counted by the receiver from the moment it sent the request. Zero: no lease is granted,
    // nothing may start.
    Milliseconds lease {};
    // At most one of the three is set, and only when the receiver's view is not the current one: the whole view when the
    // steps from the receiver's to the current one are no longer kept. A view with members comes as JSON, which control encodes once for
    // all that open their sessions after the same change.
    std::optional<ViewDelta> delta;
    std::optional<ClusterView> view;
    std::optional<std::string> viewText;
    // The catalogue of queues that belongs to the delta or view, as JSON. It may be large, and is the same for all: control
    // encodes it once, and leaves it out of the others.
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

// An owner records that a job ended as failed before it says so, so that nobody takes the job over afterwards and
// brings it to another end.
struct EndJobRequest {
    SessionId entry;
    JobKey key;
    std::uint64_t epoch { 0 };
};

struct ClaimResponse {
    // Who owns the job now: the asking entry, or the live one that claimed it before.
    SessionId owner;
    std::string ownerAddress;
    std::uint64_t epoch { 0 };
    // True when this claim took the job over from an owner whose session has ended.
    bool takenOver { false };
    // Set on a take-over: every sidecar session of the service that lived at any time since the first claim.
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

// The one answer of a job: complete with every result, or failed with the reason of every task that did not end well.
struct JobAnswer {
    JobKey key;
    JobState state { JobState::Running };
    std::vector<std::string> results;
    std::vector<JobFailure> failures;
    std::optional<Error> error;
};

} // namespace oleanderport
