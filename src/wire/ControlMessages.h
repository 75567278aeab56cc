#pragma once

#include "oleanderport/Messages.h"

#include <optional>

// Messages of operators towards control, and between a minion and the sidecar beside it.
namespace oleanderport {

struct DataCentreChange {
    std::string dataCentre;
    bool out { false };
    std::string author;
    std::string reason;
    // Set when the instance that took the change knows the data centre from its settings, so that no document has to
    // name it.
    std::optional<bool> declared;
};

struct DataCentreChanged {
    // False when the data centre was so already.
    bool changed { false };
    // View versions from which on the change is known, in production and in trial.
    std::uint64_t viewVersion { 0 };
    std::uint64_t trialViewVersion { 0 };
    // From this long after the answer on, nothing starts in a data centre that was taken out.
    Milliseconds effectiveWithin {};
};

// Puts a checked catalogue of queues in force unless one of the same or a higher version is.
struct PublishCatalogue {
    QueueCatalogue catalogue;
    // The text as its author sent it; given back unchanged.
    std::string source;
};

struct CataloguePublished {
    // Version in force.
    std::uint64_t version { 0 };
    bool changed { false };
    // View version of production from which on the catalogue is known.
    std::uint64_t viewVersion { 0 };
};

// A change of an environment's document. Its text is checked in full before it is accepted.
struct ApplyDocument {
    std::string environment { productionEnvironment };
    std::string text;
    // Version in force on which the author based the change.
    std::uint64_t baseVersion { 0 };
    // Chosen by the author's tool; the same id sent again gets the first answer again.
    std::string changeId;
    std::string author;
    std::string reason;
};

struct DocumentApplied {
    std::uint64_t version { 0 };
    std::string digest;
    // View version of the environment from which on the document is known.
    std::uint64_t viewVersion { 0 };
};

// Puts the document that is in force in trial in force in production.
struct PromoteDocument {
    // Digest of the trial document that is meant.
    std::string digest;
    // Version in force in production on which the author based the change.
    std::uint64_t baseVersion { 0 };
    std::string changeId;
    std::string author;
    std::string reason;
};

// How one version of a document came to be.
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

// A job, in the environment of the process that asks.
struct FindJobRequest {
    std::string environment { productionEnvironment };
    JobKey key;
};

struct FindJobResponse {
    // Empty when no claim on the job is known.
    SessionId owner;
    std::string ownerAddress;
};

// Request or response without content.
struct Nothing {
};

// A minion presents itself to its sidecar. `minion` is chosen anew at each start of the minion.
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

// Sidecar to minion: run one task now. `run` names this one start.
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

// What one run uses, as its minion reports it with a lag.
struct MinionRunUsage {
    std::string run;
    std::int64_t cpuMillis { 0 };
    std::int64_t memoryMb { 0 };
};

// Minion to sidecar: the usage of every run that is under way.
struct MinionUsage {
    std::string minion;
    std::vector<MinionRunUsage> runs;
};

// Sidecar to minion: throttle, checkpoint or stop one run.
struct MinionStop {
    std::string run;
};

} // namespace oleanderport
