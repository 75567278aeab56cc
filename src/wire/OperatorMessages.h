#pragma once

#include "wire/ControlRecords.h"

// Queries from operators to control; the changes are in ControlMessages.h.
namespace oleanderport {

// Query about one environment; production by default.
struct EnvironmentRequest {
    std::optional<std::string> environment;
};

struct ValidateDocument {
    std::string environment { productionEnvironment };
    std::string text;
};

struct DocumentChecked {
    std::string deployment;
    std::string digest;
};

// The retained versions, oldest first.
struct DocumentVersions {
    std::string environment;
    std::vector<VersionSummary> versions;
};

// Requests one version with its text; zero means the active version.
struct VersionRequest {
    std::string environment { productionEnvironment };
    std::uint64_t version { 0 };
};

// View version that a member acknowledged in its last heartbeat to the leader; zero when the leader has received none.
struct MemberConfirmation {
    SessionId member;
    std::uint64_t viewVersion { 0 };
};

struct ControlStatus {
    // The answering instance, which is the leader.
    std::string leader;
    ClusterView view;
    // One for each member of the view, in the order of the view.
    std::vector<MemberConfirmation> confirmations;
    // Oldest first.
    std::vector<DataCentreRecord> dataCentreChanges;
};

} // namespace oleanderport
