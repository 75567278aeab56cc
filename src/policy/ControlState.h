#pragma once

#include "oleanderport/Messages.h"
#include "policy/DocumentHistory.h"
#include "wire/ControlMessages.h"
#include "wire/ControlRecords.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oleanderport {

// One command in the log of the control group, with the wall-clock time of the leader. The state uses the latest time of any
// command so far, which never decreases.
struct ControlCommand {
    Milliseconds stampUnix {};
    std::variant<OpenSessionRequest, CloseSession, ClaimRequest, EndJobRequest, DataCentreChange, AcceptDocument, PromoteDocument,
        PublishCatalogue>
        change;
};

// Result of applying a command, of the kind that belongs to it.
using ControlOutcome = std::variant<Nothing, SessionId, ClaimResponse, DataCentreChanged, DocumentApplied, CataloguePublished>;

struct ControlStateOptions {
    // How long a claim and an ended sidecar session are kept after the deadline of the jobs that refer to them.
    Milliseconds claimRetention { 180'000 };
    // Maximum time from a claim to its deadline.
    Milliseconds maxDeadline { 900'000 };
    // Versions of each document that are kept with their text.
    std::size_t keptVersions { 64 };
    // Changes of each document whose response is kept for resent requests.
    std::size_t keptChanges { 4'096 };
    // Changes of each view that are kept, so that a lagging process gets a delta.
    std::size_t keptViewChanges { 1'024 };
    // Changes of data centres that are kept.
    std::size_t keptDataCentreChanges { 64 };
};

// The state that control instances replicate: sessions, claims, each environment's document with its history, the data
// centres out of service and the catalogue of queues. It depends only on the commands and their order, so it is the same on
// every instance.
class ControlState {
public:
    explicit ControlState(const ControlStateOptions&);
    // Restores the state returned by content().
    ControlState(const ControlStateOptions&, const ControlContent&);

    Result<ControlOutcome> apply(const ControlCommand&);

    // View of the processes of an environment; empty for an unknown one.
    const ClusterView& view(const std::string& environment = productionEnvironment) const;
    // The environment's document, history and view changes; null for an unknown one.
    const EnvironmentRecord* environment(const std::string& name) const;
    // Members of all environments.
    std::vector<Member> members() const;
    const Member* member(const SessionId&) const;
    bool isOut(const std::string& dataCentre) const;
    // Oldest first.
    const std::vector<DataCentreRecord>& dataCentreChanges() const { return m_dataCentreChanges; }
    // Text of the catalogue of queues in force; nullopt before the first one is published.
    const std::optional<std::string>& catalogueSource() const { return m_catalogueSource; }
    FindJobResponse findJob(const FindJobRequest&) const;
    std::size_t claims() const { return m_claims.size(); }
    // The whole replicated state.
    ControlContent content() const;

private:
    using ClaimKey = std::pair<std::string, JobKey>;

    Result<ControlOutcome> applyChange(const OpenSessionRequest&);
    Result<ControlOutcome> applyChange(const CloseSession&);
    Result<ControlOutcome> applyChange(const ClaimRequest&);
    Result<ControlOutcome> applyChange(const EndJobRequest&);
    Result<ControlOutcome> applyChange(const DataCentreChange&);
    Result<ControlOutcome> applyChange(const AcceptDocument&);
    Result<ControlOutcome> applyChange(const PromoteDocument&);
    Result<ControlOutcome> applyChange(const PublishCatalogue&);

    // Repeats the response to a resent change, refuses with the given error, or puts the document in force.
    Result<ControlOutcome> changeDocument(
        EnvironmentRecord&, const DocumentChange&, const std::optional<Error>& refusal);
    const Member* memberOfInstance(const std::string& instance) const;
    EnvironmentRecord* findEnvironment(const std::string& name);
    ClaimResponse makeClaimResponse(const ClaimRecord&, bool takenOver) const;
    void endSession(const SessionId&);
    void removeExpired();

    ControlStateOptions m_options;
    Milliseconds m_nowUnix {};
    std::uint64_t m_lastIncarnation { 0 };
    std::vector<EnvironmentRecord> m_environments;
    std::map<ClaimKey, ClaimRecord> m_claims;
    std::set<std::pair<Milliseconds, ClaimKey>> m_claimsByDeadline;
    std::vector<EndedSidecar> m_endedSidecars;
    std::vector<DataCentreRecord> m_dataCentreChanges;
    std::optional<std::string> m_catalogueSource;
};

} // namespace oleanderport
