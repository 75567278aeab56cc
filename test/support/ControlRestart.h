#pragma once

#include "oleanderport/Messages.h"
#include "policy/Backoff.h"
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

// Times of this model, in microseconds.
using Micros = std::int64_t;

struct ControlRestartOptions {
    std::size_t controls { 9 };
    std::size_t voters { 5 };
    std::size_t entries { 51 };
    std::size_t sidecars { 240 };
    std::uint64_t seed { 1 };
    // Share of a core that a control instance has, in hundredths.
    std::int64_t cpuPercent { 60 };
    // Processor time of one call or message received, of one answer, and of each member in an answer's view.
    Micros receiveCost { 200 };
    Micros answerCost { 100 };
    Micros memberCost { 13 };
    Micros delay { 900 };
    Micros sync { 9'000 };
    // The rules under test. Without them calls are served as they come, each answer carries all members, and a process
    // tries again every 50 ms.
    bool paced { true };
    bool scopedViews { true };
    bool backsOff { true };
    // Calls are held while no leader is known.
    bool holds { true };
};

// All processes of a deployment start within moments of each other after a loss of power: the control group elects, and
// every entry and sidecar opens its session and keeps it. The agreement and the policies are the real ones; calls, messages
// and views cost processor time, and one instance does one thing at a time.
class ControlRestart {
public:
    explicit ControlRestart(const ControlRestartOptions&);

    void runFor(Milliseconds);

    // When a majority of the voters was up, since the start.
    Milliseconds majorityUpAt() const { return m_majorityUpAt; }
    // When the last session was opened; nothing while some are not.
    std::optional<Milliseconds> allOpenAt() const { return m_allOpenAt; }
    std::size_t openSessions() const { return m_openSessions; }
    // Terms in which an instance became leader since the start.
    std::size_t leaders() const { return m_leaderTerms.size(); }

private:
    struct Client;
    // A call of a session: an open, or a heartbeat once it is open.
    struct Call {
        std::size_t client { 0 };
        std::uint64_t number { 0 };
        bool isOpen { false };
    };
    struct Answer {
        enum class Kind {
            Served,
            NotLeader,
            ComeAgain,
        };
        Kind kind { Kind::Served };
        std::optional<std::size_t> leader;
        Milliseconds comeAgain {};
    };
    struct Held {
        Micros until { 0 };
        Call call;
    };
    struct Control {
        std::unique_ptr<Raft> raft;
        RaftStored disk;
        // What has arrived and what timers ask for, in order, and calls that wait for their turn.
        std::deque<std::function<void()>> work;
        std::deque<std::function<void()>> opens;
        std::deque<std::function<void()>> heartbeats;
        std::size_t waiting() const { return opens.size() + heartbeats.size(); }
        // Of `work`, what is still to be done before calls have their turn.
        std::size_t roundLeft { 0 };
        std::deque<Held> held;
        ServingPace pace { {} };
        Micros busyUntil { 0 };
        bool wakes { false };
        std::vector<RaftWrite> unsynced;
        bool syncs { false };
        // Calls whose session is proposed at this index, and what was applied.
        std::map<std::uint64_t, Call> proposed;
    };
    struct Client {
        bool isSidecar { false };
        bool hasSession { false };
        std::size_t asks { 0 };
        std::size_t lastSeed { 0 };
        std::uint64_t number { 0 };
        int failures { 0 };
        int followed { 0 };
        // Version of the view that it has.
        std::size_t knows { 0 };
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
    // Sessions opened since the start; the version of the view.
    std::size_t m_joined { 0 };
    std::optional<Milliseconds> m_allOpenAt;
};

} // namespace oleanderport::test
