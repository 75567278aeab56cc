#pragma once

#include "oleanderport/Messages.h"
#include "policy/Backoff.h"
#include "policy/LeaderSearch.h"
#include "policy/Raft.h"
#include "policy/ServingPace.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleanderport::test {

// Simulated time in microseconds.
using Micros = std::int64_t;

struct ControlRestartOptions {
    std::size_t controls { 9 };
    std::size_t voters { 9 };
    std::size_t entries { 51 };
    std::size_t sidecars { 240 };
    std::uint64_t seed { 1 };
    // CPU share of a control instance, in percent of a core.
    std::int64_t cpuPercent { 60 };
    // CPU time to receive a call or message, to send an answer, and per member in the view of an answer.
    Micros receiveCost { 200 };
    Micros answerCost { 100 };
    Micros memberCost { 13 };
    // One-way network latency.
    Micros delay { 900 };
    // Duration of a log sync to disk.
    Micros sync { 9'000 };
    // The policies under test. Without them calls are served in order of arrival, each answer carries all members, and a
    // process retries every 50 ms.
    bool paced { true };
    bool scopedViews { true };
    bool backsOff { true };
    // Queue calls while no leader is known.
    bool holds { true };
    // Query other instances while a call is unanswered.
    bool queries { true };
};

// Simulates a deployment whose processes all start at nearly the same time after a power loss: the control group elects a
// leader, and every entry and sidecar opens its session and keeps it. Raft and the policies are the production code; calls,
// messages and views cost CPU time, and each instance is single-threaded.
class ControlRestart {
public:
    explicit ControlRestart(const ControlRestartOptions&);

    void runFor(Milliseconds);

    // Time from the start until a majority of the voters was up.
    Milliseconds majorityUpAt() const { return m_majorityUpAt; }
    // Time at which the last session was opened; absent while some are not open.
    std::optional<Milliseconds> allOpenAt() const { return m_allOpenAt; }
    std::size_t openSessions() const { return m_openSessions; }
    // Number of terms since the start in which an instance became leader.
    std::size_t leaders() const { return m_leaderTerms.size(); }
    // Queries that instances answered.
    std::size_t queries() const { return m_queries; }

private:
    struct Client;
    // A session call: an open request, or a heartbeat once the session is open.
    struct Call {
        std::size_t client { 0 };
        std::uint64_t number { 0 };
        bool isOpen { false };
    };
    struct Answer {
        enum class Kind {
            Served,
            NotLeader,
            RetryLater,
        };
        Kind kind { Kind::Served };
        std::optional<std::size_t> leader;
        Milliseconds retryAfter {};
    };
    struct Held {
        Micros until { 0 };
        Call call;
    };
    struct Control {
        std::unique_ptr<Raft> raft;
        RaftStored disk;
        // Received messages and timer callbacks, in order; then the queued calls.
        std::deque<std::function<void()>> work;
        std::deque<std::function<void()>> opens;
        std::deque<std::function<void()>> heartbeats;
        std::size_t waiting() const { return opens.size() + heartbeats.size(); }
        // Number of items of `work` to handle before queued calls are served.
        std::size_t remainingInRound { 0 };
        std::deque<Held> held;
        ServingPace pace { {} };
        Micros busyUntil { 0 };
        bool wakeScheduled { false };
        std::vector<RaftWrite> unsynced;
        bool syncInProgress { false };
        // Open calls by the log index of their proposal.
        std::map<std::uint64_t, Call> proposed;
    };
    struct Client {
        bool isSidecar { false };
        bool hasSession { false };
        LeaderSearch search;
        std::uint64_t number { 0 };
        int failures { 0 };
        int followed { 0 };
        // Version of the view that the client has.
        std::size_t viewVersion { 0 };
        Micros giveUpAt { 0 };
    };
    struct Event {
        Micros at { 0 };
        std::uint64_t order { 0 };
        std::function<void()> call;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    Milliseconds now() const { return { m_now / microsPerMilli }; }
    void at(Micros, std::function<void()>);
    void startControl(std::size_t);
    void arrive(std::size_t control, std::function<void()> work);
    void wake(std::size_t control);
    void serve(std::size_t control);
    void spend(Control& control, Micros cost) const { control.busyUntil += cost * percent / m_options.cpuPercent; }
    void tick(std::size_t control);
    void perform(std::size_t control, RaftActions);
    void synced(std::size_t control);
    bool leads(const Control&) const;
    std::optional<std::size_t> leaderKnownTo(std::size_t control) const;
    void take(std::size_t control, const Call&);
    void serveCall(std::size_t control, const Call&);
    void answerOpen(std::size_t control, const Call&);
    void answer(std::size_t control, const Call&, Answer);
    void beginCall(std::size_t client);
    void attempt(std::size_t client);
    void scheduleQuery(std::size_t client, std::size_t asked);
    void query(std::size_t client, std::size_t queried);
    void answered(std::size_t client, std::size_t asked, const Answer&);
    void failed(std::size_t client, std::size_t asked, std::optional<std::size_t> named);
    std::size_t membersFor(const Client&) const;

    static constexpr Micros microsPerMilli = 1'000;
    static constexpr std::int64_t percent = 100;
    static constexpr std::size_t seeds = 3;

    ControlRestartOptions m_options;
    std::mt19937_64 m_random;
    Micros m_now { 0 };
    std::uint64_t m_lastOrder { 0 };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<Control> m_controls;
    std::vector<Client> m_clients;
    std::set<std::uint64_t> m_leaderTerms;
    Milliseconds m_majorityUpAt {};
    std::size_t m_votersUp { 0 };
    std::size_t m_openSessions { 0 };
    std::size_t m_queries { 0 };
    // Sessions opened since the start, which is also the version of the view.
    std::size_t m_joined { 0 };
    std::optional<Milliseconds> m_allOpenAt;
};

} // namespace oleanderport::test
