#pragma once

#include "control/Replicator.h"
#include "control/SessionTimers.h"
#include "wire/OperatorMessages.h"
#include "wire/Process.h"

#include <map>
#include <vector>

namespace oleanderport {

// The methods by which operators read and change documents and data centres. Every argument must outlive the process's
// method table.
class OperatorMethods {
public:
    OperatorMethods(Process&, Replicator&, const SessionTimers&);

    template <typename Response>
    using Reply = std::function<void(Result<Response>)>;

    // Adds the methods to the process's table.
    void registerMethods();

    // Puts a catalogue of queues in force. One whose version is not above the one in force changes nothing.
    void publishCatalogue(const PublishCatalogue&, const Reply<CataloguePublished>&);
    // The catalogue in force as its author sent it; NotFound before a first one, NotLeader where this instance may not
    // answer.
    Result<std::string> catalogueSource() const;
    void changeDataCentre(DataCentreChange, const Reply<DataCentreChanged>&);

private:
    void registerQueries();
    void registerDocumentChanges();
    void registerDataCentreChange();
    // The environment that is asked about, when this instance may answer.
    Result<const EnvironmentRecord*> environment(const std::string& name) const;
    Result<ControlStatus> status(const EnvironmentRequest&) const;
    Result<DocumentVersions> versions(const EnvironmentRequest&) const;
    Result<VersionRecord> version(const VersionRequest&) const;
    // Whether the change has been answered before, so that it is recorded as an event once.
    bool isResend(const std::string& environment, const std::string& changeId) const;
    void applyDocument(const ApplyDocument&, const Reply<DocumentApplied>&);
    void promoteDocument(const PromoteDocument&, const Reply<DocumentApplied>&);

    Process& m_process;
    Replicator& m_replicator;
    const SessionTimers& m_timers;
    // Who waits for the catalogue of this version to be committed.
    std::map<std::uint64_t, std::vector<Reply<CataloguePublished>>> m_pendingCatalogues;
};

} // namespace oleanderport
