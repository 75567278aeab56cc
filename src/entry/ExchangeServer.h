#pragma once

#include "policy/JobTable.h"
#include "policy/MinionHealth.h"
#include "policy/Placement.h"
#include "policy/RunTimes.h"
#include "wire/Process.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace oleanderport {

// The entry's side of the exchanges with sidecars. Keeps each sidecar's numbered channels and credit, holds polls until there
// is work, and assigns tasks.
class ExchangeServer {
public:
    using Reply = std::function<void(Result<ExchangeResponse>)>;

    struct Callbacks {
        // Results have changed the job table.
        std::function<void()> changed;
        // A sidecar session that is not in the view called: the view is older than the session.
        std::function<void()> unknownSidecar;
    };

    // `jobs` must outlive this object.
    ExchangeServer(Process&, JobTable& jobs, Callbacks);

    // Sets the session under which this entry acts, and discards the state of all sidecars.
    void setSession(const std::optional<SessionId>&);
    void viewChanged(const ClusterView&);

    void handle(const ExchangeRequest&, const Reply&);

    // Sends queued tasks and cancellations to the sidecars whose polls are held.
    void dispatch();

    // Mean run time of a service in milliseconds, estimated from recent runs; nullopt while there are too few.
    std::optional<double> meanRunTime(const std::string& service) const;

    // Answers polls before they have been held for so long that their connections time out.
    void tick(Milliseconds now);

private:
    struct ChannelState {
        std::uint64_t sequence { 0 };
        // Response to `sequence`, sent again when the request is repeated; empty until it is answered.
        std::optional<ExchangeResponse> lastResponse;
        Reply heldReply;
        Milliseconds heldSince {};
        bool hadResults { false };
    };
    struct Sidecar {
        Member member;
        std::uint64_t granted { 0 };
        std::uint64_t sent { 0 };
        // As last reported by the sidecar: tasks received from this entry in all, and its present tasks of all entries.
        std::uint64_t received { 0 };
        std::uint64_t load { 0 };
        bool leaving { false };
        bool queueAnnounced { false };
        std::vector<CancelRequest> cancels;
        ChannelState poll;
        ChannelState report;

        std::int64_t credit() const
        {
            return leaving ? 0 : static_cast<std::int64_t>(granted) - static_cast<std::int64_t>(sent);
        }

        // Tasks sent since the last report are in flight or have arrived.
        std::int64_t estimatedLoad() const { return static_cast<std::int64_t>(load + sent - std::min(received, sent)); }
    };

    MinionHealth& healthOf(const Sidecar&);
    SidecarCandidate candidateFor(const SessionId&, const Sidecar&);
    std::optional<Error> refusalFor(const ExchangeRequest&) const;
    void takeResults(const ExchangeRequest&);
    ExchangeResponse respondTo(Sidecar&, ChannelState&, std::vector<TaskAssignment>);
    // Counts an exchange without results, tasks and cancellations as empty.
    void countExchange(ChannelState&, const ExchangeResponse&);
    void answerPoll(Sidecar&, std::vector<TaskAssignment>);
    void assign();
    void collectCancellations();
    void announceDemand();

    Process& m_process;
    JobTable& m_jobs;
    Callbacks m_callbacks;
    std::optional<SessionId> m_self;
    std::map<SessionId, Sidecar> m_sidecars;
    // By service.
    std::map<std::string, MinionHealth> m_health;
    std::map<std::string, RunTimes> m_runTimes;
};

} // namespace oleanderport
