#pragma once

#include "wire/DispatchMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleanderport {

// Why a run was stopped.
enum class StopCause {
    None,
    EntryAsked,
    // The entry opened a new stream and no longer knows the run.
    EntryForgot,
    EntrySilent,
    Deadline,
    Stuck,
    OtherSubmission,
    FormerIncarnation,
    MinionLeaves,
    // The minion declined a start request of the run while earlier ones may still be carried out.
    StartDeclined,
    // Its start request went unanswered and may no longer be resent.
    NoPermission,
};

std::string_view stopCauseName(StopCause);

// What proved that a run had ended or would never start.
enum class EndProof {
    ListedEnd,
    // Not in a list that was requested after its stop had been answered.
    NotListedAfterStop,
    // Not in a whole list although it had been started and not been stopped.
    MissingFromList,
    // All leases granted to the minion were over.
    LeasesOver,
    StartDeclined,
    MinionGone,
};

std::string_view endProofName(EndProof);

// A run at the minion that was concluded late or without the minion's word for its end.
struct ConcludedRun {
    RunName run;
    std::string entry;
    EndProof proof { EndProof::ListedEnd };
    StopCause cause { StopCause::None };
    // Empty for a run that was not being stopped.
    std::optional<Milliseconds> stoppingFor;
    // How long before the conclusion its stop was answered.
    std::optional<Milliseconds> stopAnsweredFor;
    // How long before the conclusion the entry was known to be alive.
    Milliseconds entrySilentFor {};
    // Until the end of the latest lease granted to the minion, if any was; negative when it was over.
    std::optional<Milliseconds> leaseLeft;
    // The minion was replaced by another incarnation after the last start request for the run.
    bool isMinionReplaced { false };
};

// A run that the minion lists and that belongs to no entry.
struct RunWithoutEntry {
    RunName run;
    // Empty when it is listed first.
    std::optional<Milliseconds> goneAfter;
    // How long after it was first listed its stop was answered.
    std::optional<Milliseconds> stopAnsweredAfter;
    // The run was concluded here this long before, on this proof.
    std::optional<std::pair<Milliseconds, EndProof>> concluded;
};

// A lease that ends early so that a run may end.
struct ShortenedLease {
    RunName run;
    std::string entry;
    Milliseconds shortenedBy {};
    // Left of the lease; nothing was granted unless positive.
    Milliseconds left {};
    Milliseconds entrySilentFor {};
    StopCause cause { StopCause::None };
    // Empty unless the run is being stopped.
    std::optional<Milliseconds> abandonedFor;
};

// The minion listed its runs with another start time than that of the report taken.
struct OtherIncarnationListed {
    Milliseconds listed {};
    Milliseconds taken {};
    std::size_t runs { 0 };
};

// For the log and the counters.
struct RunDiagnostics {
    std::vector<ConcludedRun> concluded;
    std::vector<RunWithoutEntry> withoutEntry;
    std::vector<ShortenedLease> shortened;
    std::vector<OtherIncarnationListed> otherIncarnations;
    std::uint64_t newWithoutEntry { 0 };
    std::uint64_t leasesShortened { 0 };
    std::uint64_t leasesBesideRunsWithoutEntry { 0 };
};

// One line each for the log; the run's job and task are fields of it.
std::string describe(const ConcludedRun&);
std::string describe(const RunWithoutEntry&);
std::string describe(const ShortenedLease&);
std::string describe(const OtherIncarnationListed&);

// Collects what tells afterwards why two runs of a task may have overlapped. Decides nothing.
class RunDiagnosticsCollector {
public:
    // The run that limits a lease; see ShortenedLease.
    struct Bound {
        RunName run;
        std::string entry;
        Milliseconds entryHeardAt {};
        StopCause cause { StopCause::None };
        // Empty unless the run is being stopped.
        std::optional<Milliseconds> abandonedAt;
    };

    void concluded(ConcludedRun, Milliseconds now);
    // A lease was granted until `end`, or not granted since that has passed. `bound` is set if it ends before `wholeEnd`.
    void leaseGranted(Milliseconds end, Milliseconds wholeEnd, const std::optional<Bound>&, Milliseconds now);
    // The runs without an entry that the minion listed. Those missing from an incomplete list are not taken as gone.
    void listedWithoutEntry(const std::set<RunName>&, bool isWhole, Milliseconds now);
    void stopAnswered(const RunName&, Milliseconds now);
    void otherIncarnationListed(const OtherIncarnationListed&);

    // The run of the latest shortened lease.
    const std::optional<RunName>& boundBy() const { return m_boundBy; }
    std::optional<Milliseconds> leaseLeft(Milliseconds now) const;
    std::size_t runsWithoutEntry() const { return m_withoutEntry.size(); }
    // What the run was concluded on, if it is among the latest.
    std::optional<EndProof> proofOf(const RunName&) const;
    RunDiagnostics take() { return std::exchange(m_collected, {}); }

private:
    struct Listed {
        Milliseconds since {};
        std::optional<Milliseconds> stopAnsweredAt;
    };
    struct Conclusion {
        RunName run;
        Milliseconds at {};
        EndProof proof { EndProof::ListedEnd };
    };

    const Conclusion* latestConclusion(const RunName&) const;

    RunDiagnostics m_collected;
    std::map<RunName, Listed> m_withoutEntry;
    std::deque<Conclusion> m_conclusions;
    std::optional<RunName> m_boundBy;
    std::optional<Milliseconds> m_latestLeaseEnd;
    std::optional<Milliseconds> m_otherBorn;
};

} // namespace oleanderport
