#pragma once

#include "oleanderport/Messages.h"
#include "wire/ControlMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oleanderport {

struct CloseSession {
    SessionId session;
};

// A checked document together with the change that carries it.
struct AcceptDocument {
    ApplyDocument change;
    EnvironmentConfig config;
};

// One entry of control's log. The leader stamps it; a stamp never goes back.
struct ControlCommand {
    Milliseconds stampUnix {};
    std::variant<OpenSessionRequest, CloseSession, ClaimRequest, DataCentreChange, AcceptDocument> change;
};

// Result of applying a command, of the kind that belongs to it.
using ControlOutcome = std::variant<Nothing, SessionId, ClaimResponse, DataCentreChanged, DocumentApplied>;

struct ControlStateOptions {
    // How long a claim and an ended sidecar session are kept after the deadline of the jobs they matter to.
    Milliseconds claimRetention { 180'000 };
    // Furthest deadline that a claim may have.
    Milliseconds maxDeadline { 900'000 };
};

// The state that control instances replicate: sessions, claims, the document in force, data centres out. The same
// commands in the same order give the same state on every instance; nothing else does.
class ControlState {
public:
    explicit ControlState(const ControlStateOptions&);

    Result<ControlOutcome> apply(const ControlCommand&);

    const ClusterView& view() const { return m_view; }
    const Member* member(const SessionId&) const;
    bool isOut(const std::string& dataCentre) const;
    FindJobResponse findJob(const JobKey&) const;
    std::size_t claims() const { return m_claims.size(); }

private:
    struct Claim {
        std::string digest;
        std::string service;
        SessionId owner;
        std::uint64_t epoch { 0 };
        Milliseconds firstClaimedUnix {};
        Milliseconds deadlineUnix {};
    };
    struct EndedSidecar {
        Member member;
        Milliseconds endedUnix {};
    };

    Result<ControlOutcome> applyChange(const OpenSessionRequest&);
    Result<ControlOutcome> applyChange(const CloseSession&);
    Result<ControlOutcome> applyChange(const ClaimRequest&);
    Result<ControlOutcome> applyChange(const DataCentreChange&);
    Result<ControlOutcome> applyChange(const AcceptDocument&);

    ClaimResponse respond(const Claim&, bool takenOver) const;
    void endSession(const SessionId&);
    void forget();

    ControlStateOptions m_options;
    Milliseconds m_nowUnix {};
    std::uint64_t m_lastIncarnation { 0 };
    ClusterView m_view;
    std::map<JobKey, Claim> m_claims;
    std::set<std::pair<Milliseconds, JobKey>> m_claimsByDeadline;
    std::vector<EndedSidecar> m_endedSidecars;
    std::map<std::string, DocumentApplied> m_appliedChanges;
};

} // namespace oleanderport
