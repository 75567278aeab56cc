#pragma once

#include "wire/DispatchMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace oleanderport {

// The registrars of a job: those of the sidecars, given with their data centres, that rank highest for its name, in different data centres
// where there are enough. Every entry that knows the same sidecars finds the same ones.
std::vector<std::string> registrarsOf(const std::string& job, const std::map<std::string, std::string>& dataCentres);

// Whether an entry holds a job.
struct GrantStatus {
    bool isHeld { false };
    // Another entry has held it since it was acquired here.
    bool isContested { false };
    // A registrar that has just started can't tell whether another entry holds it.
    bool isProvisional { false };
    // A registrar that had granted it has given it to another entry since.
    bool isTaken { false };
    // Since when the job, held before, is not held any more.
    std::optional<Milliseconds> lostSince;
};

struct JobGrantsOptions {
    std::string dataCentre;
    // A grant counts for this long after the entry sent the last frame that its registrar has seen. Less than GrantTableOptions lets an
    // entry hold a job after it was heard last.
    Milliseconds validFor { 900 };
    // Another registrar is asked as well when one has not answered for this long.
    Milliseconds answerTimeout { 20 };
    // Another registrar is asked as well when one that granted a job has seen nothing for this long.
    Milliseconds lateAfter { 450 };
    // Two entries that each have some of a job's grants return them after this time, and ask again after a random part of the backoff.
    Milliseconds maxSplitTime { 30 };
    Milliseconds splitBackoff { 40 };
    // How long the registrars of a former set of sidecars are asked as well: entries learn of a change at different times. An entry that
    // has just started knows no former set, so it acquires jobs by the grants of all registrars that it is connected to for as long.
    Milliseconds formerMembersFor { 5'000 };
    std::uint64_t seed { 0 };
};

enum class GrantOutcome {
    // Granted after some registrar had refused at first.
    Granted,
    // Some registrar had refused, and the job ended before most had granted it.
    NotGranted,
    // Given up, since grants that it had were not heard any more.
    Lost,
};

// A job whose grants were not there at once, or not to the end.
struct GrantReport {
    std::string job;
    GrantOutcome outcome { GrantOutcome::Granted };
    // Since it was asked for, or since its grants were missing.
    Milliseconds after {};
    // What each registrar said.
    std::string registrars;
};

// One line for the log; the job is a field of it.
std::string describe(const GrantReport&);

// The jobs that one entry holds or asks for. It holds a job while it has valid grants of most of the job's registrars, so that no other
// entry holds the same job; see GrantTable.
class JobGrants {
public:
    explicit JobGrants(JobGrantsOptions);

    // Sidecars of the deployment and their data centres. While there are none, every job is held.
    void setMembers(const std::map<std::string, std::string>& dataCentres, Milliseconds now);

    // A new stream to the sidecar. Returns the requests for its first frame.
    std::vector<GrantRequest> connected(const std::string& sidecar, Milliseconds now);
    void disconnected(const std::string& sidecar);
    // The sidecar has answered the first frame.
    void handshakeDone(const std::string& sidecar, bool isRegistrar);
    // The sidecar has seen a frame that was sent at this time.
    void seen(const std::string& sidecar, Milliseconds sentAt, Milliseconds now);
    void answered(const std::string& sidecar, const GrantAnswer&);

    // The result is valid until the job is released.
    const GrantStatus* acquire(const std::string& job);
    // Returns the grants. Their release is urgent if the caller may submit the job again.
    void release(const std::string& job, bool isUrgent);

    // No task of a job that was held and is not any more runs: it is asked for like a new one.
    void startOver(const std::string& job);
    // Asks where grants are missing. `hasStartedWithSidecars`: this entry has started together with most sidecars. It takes all processes to have
    // done so, and provisional grants for enough: former runs end soon, and waiting for that would add to the outage.
    void act(Milliseconds now, bool hasStartedWithSidecars = false);
    std::optional<Milliseconds> nextDue() const;

    // Of a job that was not acquired: not held.
    GrantStatus status(const std::string& job) const;
    // Whether every sidecar that was ever heard grants jobs. Those of earlier versions don't.
    bool doAllSidecarsGrant() const;
    // Names the registrars that have not granted the job.
    std::string describeMissing(const std::string& job, Milliseconds now) const;
    // The job is given up, as its grants are missing.
    void givenUp(const std::string& job, Milliseconds now);
    // Returns what is to be logged since the last call.
    std::vector<GrantReport> takeReports(Milliseconds now);

    bool holdsAnyAt(const std::string& sidecar) const;
    bool hasRequests(const std::string& sidecar, bool isUrgent) const;
    std::vector<GrantRequest> takeRequests(const std::string& sidecar);

private:
    enum class VoteState {
        Asked,
        Granted,
        Held,
        Provisional,
    };
    struct Vote {
        VoteState state { VoteState::Asked };
        std::uint64_t number { 0 };
        Milliseconds askedAt {};
        // That of the sidecar when it granted the job.
        std::uint64_t lapses { 0 };
    };
    // The registrars of a job in one set of sidecars, and how many of them have to grant it.
    struct Quorum {
        std::vector<std::string> registrars;
        std::size_t required { 0 };
        bool operator==(const Quorum&) const = default;
    };
    struct Job {
        // One for each set of sidecars in force.
        std::vector<Quorum> quorums;
        std::uint64_t membersVersion { 0 };
        std::map<std::string, Vote> votes;
        GrantStatus status;
        bool wasHeld { false };
        // When its grants were first asked for.
        std::optional<Milliseconds> askedSince;
        // The first refusal of each registrar.
        std::map<std::string, VoteState> refusals;
        // Since when some grants are there and others are held elsewhere.
        std::optional<Milliseconds> splitSince;
        Milliseconds retryAt {};
        // When its grants are looked at again; empty while that rests on news of registrars.
        std::optional<Milliseconds> checkAt { Milliseconds {} };
    };
    struct Sidecar {
        bool isConnected { false };
        bool isReady { false };
        // Whether it ever was.
        bool wasReady { false };
        bool isRegistrar { false };
        Milliseconds seenAt {};
        // Rises when its grants have lapsed: it may have given them to others.
        std::uint64_t lapses { 0 };
        // Jobs with a vote here.
        std::size_t votes { 0 };
        std::vector<GrantRequest> requests;
        bool isUrgent { false };
    };
    struct EndedWait {
        std::string job;
        Milliseconds since {};
        bool isGranted { false };
        std::map<std::string, VoteState> refusals;
    };
    struct FormerMembers {
        std::map<std::string, std::string> dataCentres;
        Milliseconds until {};
    };

    // The job's wait is over, if it has waited because of a refusal.
    void endWait(const std::string& name, const Job&, bool isGranted);
    Quorum quorumOf(const std::string& job, const std::map<std::string, std::string>& dataCentres) const;
    // Whether a vote in this state lets the entry place the job.
    bool isFavourable(VoteState state) const { return state == VoteState::Granted || (state == VoteState::Provisional && m_hasStartedWithSidecars); }
    bool isGranted(const Job&, const std::string& sidecar, Milliseconds now) const;
    // Whether the grant is likely to last.
    bool isLikelyToLast(const Job&, const std::string& sidecar, Milliseconds now) const;
    bool hasQuorums(const Job&, Milliseconds now) const;
    // How many of the quorum's registrars have to grant the job now.
    std::size_t requiredOf(const Job&, const Quorum&, Milliseconds now) const;
    void findQuorums(const std::string& name, Job&) const;
    void ask(const std::string& name, Job&, const std::string& sidecar, Milliseconds now);
    void askMissing(const std::string& name, Job&, Milliseconds now);
    void resolveSplit(const std::string& name, Job&, Milliseconds now);
    void check(const std::string& name, Job&, Milliseconds now);
    std::optional<Milliseconds> nextCheckOf(const Job&, Milliseconds now) const;
    // Have all jobs, or those that rest on this sidecar, looked at by the next act().
    void checkAll();
    void checkJobsOf(const std::string& sidecar);
    // Whether so many registrars have granted the job to others that no quorum is left.
    bool isOutvoted(const Job&, const Quorum&) const;
    void request(const std::string& sidecar, const std::string& job, std::uint64_t number, GrantRequestKind, bool isUrgent);

    JobGrantsOptions m_options;
    std::mt19937_64 m_random;
    bool m_hasStartedWithSidecars { false };
    std::uint64_t m_lastNumber { 0 };
    std::uint64_t m_membersVersion { 0 };
    std::map<std::string, std::string> m_members;
    // When this entry learned of its first set of sidecars.
    Milliseconds m_firstMembersAt {};
    std::vector<FormerMembers> m_formerMembers;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Sidecar> m_sidecars;
    std::vector<EndedWait> m_endedWaits;
    std::vector<GrantReport> m_reports;
};

} // namespace oleanderport
