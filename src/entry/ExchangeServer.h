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

// The entry's side of the exchanges with sidecars: keeps each sidecar's numbered channels and credit, holds polls
// until there is work, and hands tasks out.
class ExchangeServer {
public:
    using Reply = std::function<void(Result<ExchangeResponse>)>;

    struct Callbacks {
        // Results have changed the table.
        std::function<void()> changed;
        // A sidecar session called that the view does not hold: the view is older than the sidecar.
        std::function<void()> unknownSidecar;
    };

    // `jobs` must outlive this object.
    ExchangeServer(Process&, JobTable& jobs, Callbacks);

    // The session under which this entry acts, and what it knows of the sidecars.
    void setSession(const std::optional<SessionId>&);
    void viewChanged(const ClusterView&);

    void handle(const ExchangeRequest&, const Reply&);

    // Hands out queued tasks and cancellations to the sidecars whose polls are held.
    void dispatch();

    // Learned mean run time of a service in milliseconds; nothing while too few runs are known.
    std::optional<double> meanRunTime(const std::string& service) const;

    // Answers polls that have been held for long, so that no connection times out.
    void tick(Milliseconds now);

private:
    struct ChannelState {
        std::uint64_t sequence { 0 };
        std::optional<ExchangeResponse> lastResponse;
        Reply heldReply;
        Milliseconds heldSince {};
        bool hadResults { false };
    };
    struct Sidecar {
        Member member;
        std::uint64_t granted { 0 };
        std::uint64_t sent { 0 };
        // What the sidecar said last: tasks that it had from this entry, and its tasks of all entries.
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

        // What was sent since then is on its way or has arrived.
        std::int64_t estimatedLoad() const { return static_cast<std::int64_t>(load + sent - std::min(received, sent)); }
    };

    MinionHealth& healthOf(const Sidecar&);
    SidecarCandidate candidateFor(const SessionId&, const Sidecar&);
    std::optional<Error> refusalFor(const ExchangeRequest&) const;
    void takeResults(const ExchangeRequest&);
    ExchangeResponse respondTo(Sidecar&, ChannelState&, std::vector<TaskAssignment>);
    // An exchange that carries neither result nor task nor cancellation is counted as empty.
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
