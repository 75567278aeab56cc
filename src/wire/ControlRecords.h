#pragma once

#include "oleanderport/Error.h"
#include "oleanderport/Messages.h"
#include "wire/ControlMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// What control instances replicate: the changes that only control itself proposes, and the plain records that make up
// the state.
namespace oleanderport {

struct CloseSession {
    SessionId session;
};

// A validated document and the change that submitted it.
struct AcceptDocument {
    ApplyDocument change;
    EnvironmentConfig config;
};

// One version of an environment's document.
struct VersionRecord {
    VersionSummary summary;
    std::string text;
};

// The answer to a document change: accepted or refused.
struct ChangeRecord {
    std::string changeId;
    // Digest of the whole change, so that its id cannot be reused for a different one.
    std::string digest;
    DocumentApplied applied;
    std::optional<Error> refusal;
};

// The change that took a data centre out or back in.
struct DataCentreRecord {
    DataCentreChange change;
    Milliseconds whenUnix {};
};

enum class ViewChangeKind {
    MemberJoined,
    MemberLeft,
    Config,
    DataCentres,
    Catalogue,
};

std::string_view viewChangeKindName(ViewChangeKind);
std::optional<ViewChangeKind> viewChangeKindFromName(std::string_view);

// The change that produced one version of a view.
struct ViewChange {
    std::uint64_t version { 0 };
    ViewChangeKind kind { ViewChangeKind::Config };
    // The member that joined or left.
    SessionId member;
};

// One environment: its document history and the view of its processes.
struct EnvironmentRecord {
    std::string name;
    ClusterView view;
    // Oldest first, both bounded in number.
    std::vector<VersionRecord> history;
    std::vector<ChangeRecord> changes;
    // The latest changes of the view, oldest first, without gaps.
    std::vector<ViewChange> viewChanges;
};

// The claim on one job.
struct ClaimRecord {
    std::string environment;
    JobKey key;
    std::string digest;
    std::string service;
    SessionId owner;
    std::uint64_t epoch { 0 };
    Milliseconds firstClaimedUnix {};
    Milliseconds deadlineUnix {};
    // The owner was about to report the job as failed to its callers.
    bool endedAsFailed { false };
};

// An ended sidecar session that a job takeover may still need.
struct EndedSidecar {
    Member member;
    Milliseconds endedUnix {};
};

// Everything that control instances replicate, in a fixed order.
struct ControlContent {
    Milliseconds nowUnix {};
    std::uint64_t lastIncarnation { 0 };
    std::vector<EnvironmentRecord> environments;
    std::vector<ClaimRecord> claims;
    std::vector<EndedSidecar> endedSidecars;
    std::vector<DataCentreRecord> dataCentreChanges;
    // Text of the active catalogue of queues, as its author sent it.
    std::optional<std::string> catalogueSource;
};

} // namespace oleanderport
