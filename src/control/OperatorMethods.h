#pragma once

#include "control/Replicator.h"
#include "control/SessionTimers.h"
#include "wire/OperatorMessages.h"
#include "wire/Process.h"

#include <map>
#include <vector>

namespace oleanderport {

// RPC methods for operators to read and change environment documents, queue catalogues and data centres. Every argument of the
// constructor must outlive the process's method table.
class OperatorMethods {
public:
    OperatorMethods(Process&, Replicator&, const SessionTimers&);

    template <typename Response>
    using Reply = std::function<void(Result<Response>)>;

    // Adds the methods to the process's method table.
    void registerMethods();

    // Replaces the queue catalogue in force. Has no effect unless its version is higher than that of the catalogue in force.
    void publishCatalogue(const PublishCatalogue&, const Reply<CataloguePublished>&);
    // Source text of the catalogue in force, as published. Fails with NotFound before the first publication, with NotLeader if
    // this instance may not answer from its state.
    Result<std::string> catalogueSource() const;
    void changeDataCentre(DataCentreChange, const Reply<DataCentreChanged>&);

private:
    void registerQueries();
    void registerDocumentChanges();
    void registerDataCentreChange();
    // Fails with NotLeader if this instance may not answer from its state, with NotFound if there is no such environment.
    Result<const EnvironmentRecord*> environment(const std::string& name) const;
    Result<ControlStatus> status(const EnvironmentRequest&) const;
    Result<DocumentVersions> versions(const EnvironmentRequest&) const;
    Result<VersionRecord> version(const VersionRequest&) const;
    // True if the change was applied before; its event is then not recorded a second time.
    bool isResend(const std::string& environment, const std::string& changeId) const;
    void applyDocument(const ApplyDocument&, const Reply<DocumentApplied>&);
    void promoteDocument(const PromoteDocument&, const Reply<DocumentApplied>&);

    Process& m_process;
    Replicator& m_replicator;
    const SessionTimers& m_timers;
    // Key: version. Replies that wait for the catalogue of that version to be committed.
    std::map<std::uint64_t, std::vector<Reply<CataloguePublished>>> m_pendingCatalogues;
};

} // namespace oleanderport
