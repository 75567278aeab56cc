#pragma once

#include "wire/ControlRecords.h"

// What operators ask control for, besides the changes in ControlMessages.h.
namespace oleanderport {

// Asks about one environment; production unless one is named.
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

// The versions that are kept, oldest first.
struct DocumentVersions {
    std::string environment;
    std::vector<VersionSummary> versions;
};

// Asks for one version with its text; zero is the one in force.
struct VersionRequest {
    std::string environment { productionEnvironment };
    std::uint64_t version { 0 };
};

// The view that a member has confirmed to the leader by its last heartbeat; zero when the leader has not heard of it.
struct MemberConfirmation {
    SessionId member;
    std::uint64_t viewVersion { 0 };
};

struct ControlStatus {
    // Instance that answers, the leader.
    std::string leader;
    ClusterView view;
    // One for each member of the view, in its order.
    std::vector<MemberConfirmation> confirmations;
    // Oldest first.
    std::vector<DataCentreRecord> dataCentreChanges;
};

} // namespace oleanderport
