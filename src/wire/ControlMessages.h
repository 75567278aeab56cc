#pragma once

#include "oleanderport/Messages.h"

#include <optional>
#include <string>
#include <vector>

// Messages from operators to control, and between a minion and its sidecar.
namespace oleanderport {

struct DataCentreChange {
    std::string dataCentre;
    bool out { false };
    std::string author;
    std::string reason;
    // Set when the settings of the instance that accepted the change declare the data centre, so that no document has
    // to name it.
    std::optional<bool> declared;
};

struct DataCentreChanged {
    // False when the data centre was already in the requested state.
    bool changed { false };
    // First view versions that contain the change, in production and in trial.
    std::uint64_t viewVersion { 0 };
    std::uint64_t trialViewVersion { 0 };
    // Once this time has passed after the answer, no task starts in a data centre that was taken out.
    Milliseconds effectiveWithin {};
};

// Activates a validated catalogue of queues unless the active one has the same or a higher version.
struct PublishCatalogue {
    QueueCatalogue catalogue;
    // The text as its author sent it; returned unchanged.
    std::string source;
};

struct CataloguePublished {
    // Active version.
    std::uint64_t version { 0 };
    bool changed { false };
    // First view version of production that contains the catalogue.
    std::uint64_t viewVersion { 0 };
};

// Changes an environment's document. The text is fully validated before it is accepted.
struct ApplyDocument {
    std::string environment { productionEnvironment };
    std::string text;
    // Active version on which the author based the change.
    std::uint64_t baseVersion { 0 };
    // Idempotency key chosen by the author's tool; a resend with the same id gets the first answer.
    std::string changeId;
    std::string author;
    std::string reason;
};

struct DocumentApplied {
    std::uint64_t version { 0 };
    std::string digest;
    // First view version of the environment that contains the document.
    std::uint64_t viewVersion { 0 };
};

// Promotes the active trial document to production.
struct PromoteDocument {
    // Digest of the trial document to promote.
    std::string digest;
    // Active production version on which the author based the change.
    std::uint64_t baseVersion { 0 };
    std::string changeId;
    std::string author;
    std::string reason;
};

// Origin of one version of a document.
struct VersionSummary {
    std::uint64_t version { 0 };
    std::string digest;
    std::string changeId;
    std::string author;
    std::string reason;
    Milliseconds whenUnix {};
    // Version of the trial document that was promoted; zero for a document that was applied.
    std::uint64_t promotedFrom { 0 };
};

// Looks up a job in the environment of the calling process.
struct FindJobRequest {
    std::string environment { productionEnvironment };
    JobKey key;
};

struct FindJobResponse {
    // Empty when no claim on the job is known.
    SessionId owner;
    std::string ownerAddress;
};

// RPC method that answers with ControlGroupInfo.
inline constexpr const char* controlGroupMethod = "controlGroup";

// What a control instance knows of its group. Answered at once, by every instance.
struct ControlGroupInfo {
    // Whether the answering instance is the leader and was recently confirmed by a majority.
    bool leads { false };
    // Address of the leader that a follower knows; empty if unknown.
    std::string leader;
    // Addresses of the voters, by the newest configuration known there.
    std::vector<std::string> instances;
};

// Request or response without content.
struct Nothing {
};

// Registers a minion with its sidecar. `minion` is a new name at each start of the minion.
struct MinionAnnouncement {
    std::string minion;
    std::string address;
    std::string service;
    std::string rack;
    std::int64_t slots { 0 };
    std::int64_t connections { 0 };
    std::int64_t cpuMillis { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };
};

struct MinionHeartbeat {
    std::string minion;
};

// Start request from sidecar to minion for one task. `run` identifies this start.
struct MinionRun {
    std::string run;
    std::string caller;
    std::string job;
    std::uint32_t task { 0 };
    std::uint32_t attempt { 0 };
    TaskNeeds needs;
    std::string payload;
};

struct MinionRunAnswer {
    std::string run;
    bool ok { false };
    std::string body;
};

// Resource usage of one run. The minion reports it with a lag.
struct MinionRunUsage {
    std::string run;
    std::int64_t cpuMillis { 0 };
    std::int64_t memoryMb { 0 };
};

// Minion to sidecar: the usage of every run in progress.
struct MinionUsage {
    std::string minion;
    std::vector<MinionRunUsage> runs;
};

// Sidecar to minion: throttle, checkpoint or stop one run.
struct MinionStop {
    std::string run;
};

} // namespace oleanderport
