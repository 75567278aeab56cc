#pragma once

#include "oleanderport/Error.h"
#include "oleanderport/Messages.h"
#include "wire/ControlMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// What control instances keep: the changes that only control itself proposes, and the plain records of which the
// replicated state consists.
namespace oleanderport {

struct CloseSession {
    SessionId session;
};

// A checked document together with the change that carries it.
struct AcceptDocument {
    ApplyDocument change;
    EnvironmentConfig config;
};

// One version of an environment's document.
struct VersionRecord {
    VersionSummary summary;
    std::string text;
};

// The answer that a change of a document got: accepted, or refused.
struct ChangeRecord {
    std::string changeId;
    // Digest of everything that the change says, so that its id cannot be used for another one.
    std::string digest;
    DocumentApplied applied;
    std::optional<Error> refusal;
};

// Who took a data centre out or in.
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

// The step that led to one version of a view.
struct ViewChange {
    std::uint64_t version { 0 };
    ViewChangeKind kind { ViewChangeKind::Config };
    // The member that joined or left.
    SessionId member;
};

// One environment: its document with history, and what its processes see.
struct EnvironmentRecord {
    std::string name;
    ClusterView view;
    // Oldest first, both bounded in number.
    std::vector<VersionRecord> history;
    std::vector<ChangeRecord> changes;
    // The last steps of the view, oldest first, without gaps.
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
    // The owner was about to tell callers that the job failed.
    bool endedAsFailed { false };
};

// A sidecar session that is no more but may still matter to a job that is taken over.
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
    // Text of the catalogue of queues in force, as its author sent it.
    std::optional<std::string> catalogueSource;
};

} // namespace oleanderport
