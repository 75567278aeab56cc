#pragma once

#include "control/Replicator.h"
#include "control/SessionTimers.h"
#include "wire/OperatorMessages.h"
#include "wire/Process.h"

namespace oleanderport {

// The methods by which operators read and change documents and data centres. Every argument must outlive the process's
// method table.
class OperatorMethods {
public:
    OperatorMethods(Process&, Replicator&, const SessionTimers&);

    // Adds the methods to the process's table.
    void add();

private:
    template <typename Response>
    using Reply = std::function<void(Result<Response>)>;

    void addQueries();
    void addDocumentChanges();
    void addDataCentreChange();
    // The environment that is asked about, when this instance may answer.
    Result<const EnvironmentRecord*> environment(const std::string& name) const;
    Result<ControlStatus> status(const EnvironmentRequest&) const;
    Result<DocumentVersions> versions(const EnvironmentRequest&) const;
    Result<VersionRecord> version(const VersionRequest&) const;
    // Whether the change has been answered before, so that it is recorded as an event once.
    bool isResend(const std::string& environment, const std::string& changeId) const;
    void applyDocument(const ApplyDocument&, const Reply<DocumentApplied>&);
    void promoteDocument(const PromoteDocument&, const Reply<DocumentApplied>&);
    void changeDataCentre(const DataCentreChange&, const Reply<DataCentreChanged>&);

    Process& m_process;
    Replicator& m_replicator;
    const SessionTimers& m_timers;
};

} // namespace oleanderport
