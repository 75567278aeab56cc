#include "base/EventRing.h"
#include "base/UtcText.h"
#include "cli/ControlCalls.h"

#include <fmt/format.h>

#include <set>

namespace oleanderport {

namespace {

    constexpr Milliseconds requestTimeout { 5'000 };

    // Selects the events to print.
    struct EventFilter {
        std::optional<JobKey> job;
        Milliseconds sinceUnix {};
    };

    struct CollectedEvents {
        std::vector<Event> events;
        // Reasons why events may be missing from the timeline.
        std::vector<std::string> gaps;
    };

    bool matches(const Event& event, const EventFilter& filter)
    {
        if (event.unixTime < filter.sinceUnix)
            return false;
        return !filter.job || event.job == *filter.job;
    }

    // Addresses of the control instances and of every member of both environments.
    std::set<std::string> processAddresses(const std::vector<std::string>& peers, CollectedEvents& collected)
    {
        std::set<std::string> addresses(peers.begin(), peers.end());
        for (const char* environment : { productionEnvironment, trialEnvironment }) {
            const auto status = fetchStatus(peers, environment);
            if (!status.has_value()) {
                // Control instances that can be reached are still asked for their events.
                collected.gaps.push_back("the list of members is not available: " + describe(status.assume_error()));
                break;
            }
            for (const auto& member : status.assume_value().view.members)
                addresses.insert(member.node.address);
        }
        return addresses;
    }

    void collect(const std::string& address, const EventFilter& filter, CollectedEvents& collected)
    {
        const auto answer = rpcAndWait(address, "events", Json::Value(Json::objectValue), requestTimeout);
        if (!answer.has_value()) {
            collected.gaps.push_back(fmt::format("{}: {}", address, describe(answer.assume_error())));
            return;
        }
        const Json::Value& value = answer.assume_value();
        if (!value.isObject() || !value["events"].isArray()) {
            collected.gaps.push_back(fmt::format("{}: the answer has no list of events", address));
            return;
        }
        if (value["forgotten"].isUInt64() && value["forgotten"].asUInt64() > 0)
            collected.gaps.push_back(
                fmt::format("{}: the oldest {} events have been overwritten", address, value["forgotten"].asUInt64()));
        for (const auto& item : value["events"]) {
            const auto event = fromJson<Event>(item);
            if (event.has_value() && matches(event.assume_value(), filter))
                collected.events.push_back(event.assume_value());
            else if (!event.has_value())
                collected.gaps.push_back(fmt::format("{}: {}", address, describe(event.assume_error())));
        }
    }

    EventFilter eventFilter(const cxxopts::ParseResult& arguments)
    {
        EventFilter filter { .job = std::nullopt, .sinceUnix = { arguments["since"].as<std::int64_t>() } };
        if (arguments.count("last") > 0)
            filter.sinceUnix = Clock::unixNow() - Milliseconds { arguments["last"].as<std::int64_t>() };
        if (arguments.count("job") == 0)
            return filter;
        const auto name = arguments["job"].as<std::string>();
        const auto slash = name.find('/');
        if (slash == std::string::npos || slash == 0 || slash + 1 == name.size())
            throw std::runtime_error("--job: expected CALLER/JOB");
        filter.job = JobKey { .caller = name.substr(0, slash), .job = name.substr(slash + 1) };
        return filter;
    }

    void printEvent(const Event& event)
    {
        fmt::print("{} {} {:<16} {:<21}", event.logical, utcText(event.unixTime), event.instance,
            eventKindName(event.kind));
        if (!event.job.job.empty())
            fmt::print(" job={}/{}", event.job.caller, event.job.job);
        if (event.task >= 0)
            fmt::print(" task={}", event.task);
        if (!event.detail.empty())
            fmt::print(" {}", event.detail);
        fmt::print("\n");
    }

    void printJson(const CollectedEvents& collected)
    {
        Json::Value value(Json::objectValue);
        value["events"] = Json::Value(Json::arrayValue);
        for (const auto& event : collected.events)
            value["events"].append(toJson(event));
        value["gaps"] = Json::Value(Json::arrayValue);
        for (const auto& gap : collected.gaps)
            value["gaps"].append(gap);
        fmt::print("{}\n", prettyJson(value));
    }

} // namespace

ExitCode runTimeline(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport timeline",
        "Collects the events of control, entries and sidecars and prints them in causal order, one per line: logical "
        "time, wall-clock time of the process, process, event.");
    addControlOption(options);
    addOutputOption(options);
    options.add_options()("job", "Only events of this job, as CALLER/JOB", cxxopts::value<std::string>())("since",
        "Only events from this Unix time in milliseconds on, by the clock of the process that recorded the event",
        cxxopts::value<std::int64_t>()->default_value("0"))(
        "last", "Only events of this many milliseconds up to now", cxxopts::value<std::int64_t>());
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const EventFilter filter = eventFilter(*parsed);
    const auto peers = controlPeers(*parsed);
    CollectedEvents collected;
    const auto addresses = processAddresses(peers, collected);
    for (const auto& address : addresses)
        collect(address, filter, collected);
    collected.events = mergeEvents(std::move(collected.events));
    if (wantsJson(*parsed)) {
        printJson(collected);
    } else {
        for (const auto& event : collected.events)
            printEvent(event);
    }
    for (const auto& gap : collected.gaps)
        fmt::print(stderr, "oleanderport: the timeline may be missing events: {}\n", gap);
    return collected.events.empty() && !collected.gaps.empty() ? ExitCode::Unreachable : ExitCode::Success;
}

} // namespace oleanderport
