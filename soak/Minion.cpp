// A stand-in minion of the users' platform as a process. Appends one line to its record file at the start and at the end
// of each run: "start INCARNATION TIME TASK RUN SPEC ORDER ARRIVAL SERVICE" and "end INCARNATION TIME TASK RUN HOW LEASE-END"; and one "draining INCARNATION TIME" when that was acknowledged. SIGUSR1 and SIGUSR2 begin and end a
// time in which most calls are late; SIGHUP makes it crash within the process, and the next one starts it again.

#include "support/PlatformMinion.h"
#include "support/RandomDraw.h"
#include "wire/MessageCodec.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <unistd.h>

namespace {

using namespace oleanderport;

constexpr Milliseconds reportPeriod { 500 };
// Time between the report that the minion is draining and its deregistration.
constexpr Milliseconds drainTime { 2'000 };
constexpr std::size_t room = 16;
constexpr std::int64_t cpuMillisPerTask = 1'000;

// Of the calls to a late minion, one in this many is executed late, is executed long after its caller has timed out, or is
// answered late.
constexpr int delayedExecutionOneIn = 12;
constexpr int veryLateExecutionOneIn = 80;
constexpr int delayedAnswerOneIn = 10;
constexpr Milliseconds minDelay { 20 };
constexpr Milliseconds maxDelay { 500 };
constexpr Milliseconds minVeryLateDelay { 2'000 };
constexpr Milliseconds maxVeryLateDelay { 12'000 };
// A late minion pauses repeatedly.
constexpr Milliseconds minPause { 20 };
constexpr Milliseconds maxPause { 300 };
constexpr Milliseconds minPauseInterval { 200 };
constexpr Milliseconds maxPauseInterval { 2'000 };

// Each time of late calls concerns all kinds of call in every other case, else all but the renewals of leases, or stops alone.
constexpr int allCallsOneIn = 2;
constexpr int stopsAloneOneIn = 2;
// While calls of all kinds are late, all but one in promptOrderOneIn are carried out long after their caller has timed out. Some of the others
// are carried out at once and answered late. Stops are repeated, so few of them would do.
constexpr int promptOrderOneIn = 10;
constexpr int unansweredPromptOrderOneIn = 2;

// An irregular minion takes a part of its grace for a stop, and refuses starts at times as an unhealthy or a full one. Of its
// deregistrations, one in unansweredOneIn gets no answer, half of them since the call is lost; it ends some seconds later.
constexpr Milliseconds stopGrace { 50 };
constexpr int unhealthyOneIn = 40;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
constexpr int fullOneIn = 40;
constexpr int unansweredOneIn = 2;
constexpr int lostDeregistrationOneIn = 2;
constexpr Milliseconds minUnansweredEnd { 1'000 };
constexpr Milliseconds maxUnansweredEnd { 4'000 };

// After a crash, one minion in otherKindOneIn has another id, and less room or another service. The machine's clock was set back in every other
// case, and what the former minion sent to deregister, if it did, is late.
constexpr int otherKindOneIn = 2;
constexpr int otherServiceOneIn = 2;
constexpr std::size_t lessRoom = 10;
constexpr int setBackOneIn = 2;
constexpr Milliseconds maxSetBack { 20'000 };
constexpr int lateDeregistrationOneIn = 2;
constexpr Milliseconds minLateReport { 50 };
constexpr Milliseconds maxLateReport { 4'000 };

// One report in lateReportOneIn is sent later than those after it, and before one in oddReportOneIn another writer sends one, under the minion's
// id or another.
constexpr int lateReportOneIn = 4;
constexpr int oddReportOneIn = 2;
constexpr int otherIdOneIn = 2;

// Specs are "run=MS,..." or "fail=MS,...".
bool isFailing(const std::string& spec) { return spec.rfind("fail=", 0) == 0; }
Milliseconds runTimeOf(const std::string& spec) { return { std::stoll(spec.substr(spec.find('=') + 1)) }; }

// Draws the delays of a late minion. Each kind of call has its own random sequence.
class CallDelays {
public:
    CallDelays(EventLoop& loop, std::uint64_t seed)
        : m_loop(loop)
        , m_pauses(seed)
    {
        for (const auto call : { PlatformMinion::Call::Start, PlatformMinion::Call::Stop, PlatformMinion::Call::List })
            m_calls.emplace(call, RandomDraw(m_pauses.number()));
        schedulePause();
    }

    PlatformMinion::CallDelay delayOf(PlatformMinion::Call call)
    {
        RandomDraw& random = m_calls.at(call);
        const auto drawn = [&random](int oneIn, Milliseconds from, Milliseconds until) {
            const Milliseconds delay = random.between(from, until);
            return random.oneIn(oneIn) ? delay : Milliseconds {};
        };
        const Milliseconds veryLate = drawn(veryLateExecutionOneIn, minVeryLateDelay, maxVeryLateDelay);
        return { .carryOut = veryLate + drawn(delayedExecutionOneIn, minDelay, maxDelay), .answer = drawn(delayedAnswerOneIn, minDelay, maxDelay) };
    }

private:
    // Blocks the event loop, so that calls that arrive meanwhile wait between accept and read.
    void schedulePause()
    {
        m_pause = m_loop.once(m_pauses.between(minPauseInterval, maxPauseInterval), [this] {
            std::this_thread::sleep_for(std::chrono::milliseconds(m_pauses.between(minPause, maxPause).count));
            schedulePause();
        });
    }

    EventLoop& m_loop;
    RandomDraw m_pauses;
    std::map<PlatformMinion::Call, RandomDraw> m_calls;
    std::unique_ptr<EventLoop::Timer> m_pause;
};

// Draws the delays of the times in which most calls are late.
class LateOrders {
public:
    explicit LateOrders(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void begin()
    {
        const bool all = m_random.oneIn(allCallsOneIn);
        m_hasPromptCalls = all;
        const bool stopsAlone = m_random.oneIn(stopsAloneOneIn);
        m_late = { PlatformMinion::Call::Stop };
        if (all || !stopsAlone)
            m_late.insert(PlatformMinion::Call::Start);
        if (all)
            m_late.insert(PlatformMinion::Call::List);
    }

    void end() { m_late.clear(); }

    bool concern(PlatformMinion::Call call) const { return m_late.contains(call); }

    PlatformMinion::CallDelay delay()
    {
        const Milliseconds drawn = m_random.between(minVeryLateDelay, maxVeryLateDelay);
        if (!m_hasPromptCalls || !m_random.oneIn(promptOrderOneIn))
            return { .carryOut = drawn };
        return { .answer = m_random.oneIn(unansweredPromptOrderOneIn) ? drawn : Milliseconds {} };
    }

private:
    RandomDraw m_random;
    std::set<PlatformMinion::Call> m_late;
    bool m_hasPromptCalls { false };
};

// Sends calls to the sidecar late, on connections of their own.
class LateCalls {
public:
    LateCalls(EventLoop& loop, std::string sidecar)
        : m_loop(loop)
        , m_sidecar(std::move(sidecar))
    {
    }

    void send(const HttpCall& call, Milliseconds delay)
    {
        const auto late = m_calls.emplace(m_calls.end());
        late->timer = m_loop.once(delay, [this, late, call] {
            late->connection = std::make_unique<HttpConnection>(m_loop, m_sidecar);
            late->connection->call(call, [this, late](const Result<HttpAnswer>&) { m_calls.erase(late); });
        });
    }

private:
    struct LateCall {
        std::unique_ptr<EventLoop::Timer> timer;
        std::unique_ptr<HttpConnection> connection;
    };

    EventLoop& m_loop;
    std::string m_sidecar;
    std::list<LateCall> m_calls;
};

// A report of another writer, made from a whole one: a field that every report has is missing, of another type or names nothing known, or the bytes
// can't be read.
HttpCall makeOddReport(HttpCall report, RandomDraw& random)
{
    constexpr const char* fields[] { "service", "address", "state", "capacity", "clockMs", "seq", "born" };
    const char* field = fields[random.below(std::size(fields))];
    Json::Value body = parseJson(report.body).value();
    switch (random.below(5)) {
    case 0:
        body.removeMember(field);
        break;
    case 1:
        body[field] = "odd";
        break;
    case 2:
        body[field] = Json::Value(Json::arrayValue);
        break;
    case 3:
        report.body.resize(random.below(report.body.size()));
        return report;
    default:
        for (auto& byte : report.body)
            byte = static_cast<char>(random.below(0x100));
        return report;
    }
    report.body = writeJson(body);
    return report;
}

// Draws the next minion at an address.
class Successors {
public:
    Successors(std::uint64_t seed, std::string idPrefix, std::string otherService)
        : m_random(seed)
        , m_idPrefix(std::move(idPrefix))
        , m_otherService(std::move(otherService))
    {
    }

    PlatformMinion::Kind kindAfter(const PlatformMinion::Kind& former)
    {
        if (!m_random.oneIn(otherKindOneIn))
            return former;
        PlatformMinion::Kind kind { .id = fmt::format("{}-{}", m_idPrefix, ++m_count), .room = room };
        if (!m_otherService.empty() && m_random.oneIn(otherServiceOneIn)) {
            kind.service = m_otherService;
        } else {
            kind.machineType = "b";
            kind.room = lessRoom;
        }
        kind.cpuMillis = static_cast<std::int64_t>(kind.room) * cpuMillisPerTask;
        return kind;
    }

    Milliseconds startTimeAfter(Milliseconds former)
    {
        return m_random.oneIn(setBackOneIn) ? former - m_random.between({ 1 }, maxSetBack) : Clock::unixNow();
    }

    std::optional<Milliseconds> drawDeregistrationDelay()
    {
        return m_random.oneIn(lateDeregistrationOneIn) ? std::optional(m_random.between(minLateReport, maxLateReport)) : std::nullopt;
    }

private:
    RandomDraw m_random;
    std::string m_idPrefix;
    std::string m_otherService;
    int m_count { 0 };
};

// Each line is written with one unbuffered write, so that none is lost when the process is killed.
class RunRecordFile {
public:
    RunRecordFile(const std::string& path, int incarnation)
        : m_descriptor(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
        , m_incarnation(incarnation)
    {
    }

    void add(const char* event, Milliseconds at, const PlatformMinion::Run& run, const std::string& last) const
    {
        add(event, at, fmt::format(" {} {} {}", run.task, run.number, last));
    }

    void add(const char* event, Milliseconds at, const std::string& rest = {}) const
    {
        const std::string line = fmt::format("{} {} {}{}\n", event, m_incarnation, at.count, rest);
        if (write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
            fmt::print(stderr, "soak-minion: failed to write to the record file: {}", line);
    }

private:
    int m_descriptor;
    int m_incarnation;
};

int run(const cxxopts::ParseResult& arguments)
{
    const auto text = [&](const char* name) { return arguments[name].as<std::string>(); };
    EventLoop loop;
    std::signal(SIGPIPE, SIG_IGN);
    const RunRecordFile record(text("record"), arguments["life"].as<int>());
    std::optional<CallDelays> callDelays;
    if (arguments.count("late") > 0)
        callDelays.emplace(loop, arguments["late"].as<std::uint64_t>());
    std::optional<RandomDraw> irregular;
    if (arguments.count("irregular") > 0)
        irregular.emplace(arguments["irregular"].as<std::uint64_t>());
    const bool hasLateOrders = arguments.count("late-orders") > 0;
    LateOrders lateOrders(hasLateOrders ? arguments["late-orders"].as<std::uint64_t>() : 0);
    std::optional<Successors> successors;
    if (arguments.count("successors") > 0)
        successors.emplace(arguments["successors"].as<std::uint64_t>(), fmt::format("{}-{}", text("id"), arguments["life"].as<int>()), text("other-service"));
    LateCalls lateCalls(loop, text("sidecar"));
    std::optional<RandomDraw> oddReports;
    if (arguments.count("odd-reports") > 0)
        oddReports.emplace(arguments["odd-reports"].as<std::uint64_t>());
    bool isUp = true;
    PlatformMinion::Kind kind { .id = text("id"), .room = room };
    PlatformMinion minion(loop,
        { .kind = kind,
            .zone = text("zone"),
            .rack = text("rack"),
            .listen = text("listen"),
            .advertise = text("advertise"),
            .born = Clock::unixNow(),
            .runTime = runTimeOf,
            .isFailing = isFailing,
            .isFull = [&irregular] { return irregular && irregular->oneIn(fullOneIn); },
            .slowPerMille = arguments["slow"].as<std::int64_t>(),
            .hasClockOfIncarnation = hasLateOrders,
            .stopTime = [&irregular] { return irregular ? irregular->between({ 0 }, stopGrace + Milliseconds { 1 }) : Milliseconds {}; },
            .startRefusal = [&irregular] { return !irregular || !irregular->oneIn(unhealthyOneIn) ? 0 : irregular->oneIn(2) ? statusTooMany
                                                                                                                            : statusUnavailable; },
            .delayOf = [&](PlatformMinion::Call call) { return lateOrders.concern(call) ? lateOrders.delay() : callDelays ? callDelays->delayOf(call)
                                                                                                                          : PlatformMinion::CallDelay {}; },
            .onStart = [&](Milliseconds at, const PlatformMinion::Run& started) { record.add("start", at, started, fmt::format("{} {} {} {}", started.spec, started.isOfFormer ? "former" : "own", started.ordered.count, kind.service)); },
            .onEnd = [&](Milliseconds at, const PlatformMinion::Run& ended, const char* how) { record.add("end", at, ended, fmt::format("{} {}", how, ended.leaseEnd.count)); },
            .onDrainAcknowledged = [&record](Milliseconds at) { record.add("draining", at); } });
    const char* state = "ready";
    const auto report = [&] {
        if (!oddReports || !isUp)
            return minion.report(text("sidecar"), state);
        if (oddReports->oneIn(oddReportOneIn)) {
            HttpCall odd = makeOddReport(minion.makeReport(state), *oddReports);
            odd.path += oddReports->oneIn(otherIdOneIn) ? "-odd" : "";
            lateCalls.send(odd, {});
        }
        if (oddReports->oneIn(lateReportOneIn))
            return lateCalls.send(minion.makeReport(state), oddReports->between(minLateReport, maxLateReport));
        minion.report(text("sidecar"), state);
    };
    auto reports = loop.every(reportPeriod, report);
    std::unique_ptr<EventLoop::Timer> leaving;
    const auto onTerm = loop.onSignal(SIGTERM, [&] {
        state = "draining";
        report();
        leaving = loop.once(drainTime, [&] {
            if (!irregular || !irregular->oneIn(unansweredOneIn))
                return minion.deregister(text("sidecar"), [&loop] { loop.stop(); });
            reports.reset();
            const auto end = irregular->between(minUnansweredEnd, maxUnansweredEnd);
            if (!irregular->oneIn(lostDeregistrationOneIn))
                minion.deregister(text("sidecar"), [] {});
            leaving = loop.once(end, [&loop] { loop.stop(); });
        });
    });
    const auto onLate = loop.onSignal(SIGUSR1, [&lateOrders] { lateOrders.begin(); });
    const auto onPrompt = loop.onSignal(SIGUSR2, [&lateOrders] { lateOrders.end(); });
    const auto onCrash = loop.onSignal(SIGHUP, [&] {
        isUp = !isUp;
        if (!isUp)
            return minion.crash();
        if (!successors) {
            minion.startAgain(Clock::unixNow());
            return report();
        }
        if (const auto delay = successors->drawDeregistrationDelay())
            lateCalls.send(minion.makeDeregistration(), *delay);
        kind = successors->kindAfter(kind);
        minion.startAgain(successors->startTimeAfter(minion.born()), kind);
        report();
    });
    report();
    loop.run();
    // Runs end with the process.
    minion.endAll("left");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("soak-minion", "A stand-in minion of the soak.");
        auto add = options.add_options();
        for (const char* name : { "listen", "advertise", "sidecar", "id", "zone", "rack", "record" })
            add(name, "see soak/Deployment.cpp", cxxopts::value<std::string>());
        add("life", "Incarnation of the minion, from 1", cxxopts::value<int>());
        add("late", "Delay calls at random, with this seed", cxxopts::value<std::uint64_t>());
        add("late-orders", "Seed of the delays while most calls are late; the clock then starts with each incarnation", cxxopts::value<std::uint64_t>());
        add("irregular", "Seed of how long stops take, of refusals and of deregistrations without an answer", cxxopts::value<std::uint64_t>());
        add("odd-reports", "Seed of late reports and of those of other writers", cxxopts::value<std::uint64_t>());
        add("successors", "Seed of the minions that follow at the address after a crash", cxxopts::value<std::uint64_t>());
        add("other-service", "A service that some of them work for", cxxopts::value<std::string>()->default_value(""));
        add("slow", "The clock is slow by this many thousandths", cxxopts::value<std::int64_t>()->default_value("0"));
        return run(options.parse(argc, argv));
    } catch (const std::exception& exception) {
        fmt::print(stderr, "soak-minion: {}\n", exception.what());
        return 2;
    }
}
