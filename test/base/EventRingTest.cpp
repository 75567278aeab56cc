#include "base/EventRing.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace oleanderport;

namespace {

constexpr std::size_t processCount = 5;
constexpr int steps = 400;

// A process with its own clock and the events that causally precede its next one.
struct Node {
    explicit Node(const std::string& name)
        : ring(name, 10'000, clock)
    {
    }

    LogicalClock clock;
    EventRing ring;
    // May jump in either direction.
    Milliseconds wallClock {};
    std::set<std::string> known;
};

struct Message {
    std::uint64_t time { 0 };
    std::set<std::string> known;
};

std::string nameOf(const Event& event) { return fmt::format("{}#{}", event.instance, event.sequence); }

// Random events and messages of several processes. A message is delivered at any later time, several times or never.
class Exchange {
public:
    explicit Exchange(unsigned seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < processCount; ++i)
            m_nodes.push_back(std::make_unique<Node>(fmt::format("node-{}", i)));
    }

    void run()
    {
        for (int i = 0; i < steps; ++i) {
            Node& node = *m_nodes[below(processCount)];
            switch (below(3)) {
            case 0:
                record(node);
                break;
            case 1:
                m_messages.push_back({ .time = node.clock.time(), .known = node.known });
                break;
            default:
                receive(node);
            }
        }
    }

    // Returns every event in random order. The wall clocks of the processes jump and are unrelated to one another.
    std::vector<Event> events()
    {
        std::vector<Event> all;
        for (const auto& node : m_nodes) {
            const auto events = node->ring.since(0);
            all.insert(all.end(), events.begin(), events.end());
        }
        std::shuffle(all.begin(), all.end(), m_random);
        return all;
    }

    // By name of an event, the names of the events that causally precede it.
    const std::map<std::string, std::set<std::string>>& causes() const { return m_causes; }

private:
    std::size_t below(std::size_t bound) { return m_random() % bound; }

    void record(Node& node)
    {
        node.wallClock = { static_cast<std::int64_t>(below(1'000'000)) };
        node.ring.record(EventKind::TaskQueued, {}, node.wallClock);
        const auto name = nameOf(node.ring.since(0).back());
        m_causes[name] = node.known;
        node.known.insert(name);
    }

    void receive(Node& node)
    {
        if (m_messages.empty())
            return;
        const Message& message = m_messages[below(m_messages.size())];
        node.clock.advanceTo(message.time);
        node.known.insert(message.known.begin(), message.known.end());
    }

    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Message> m_messages;
    std::map<std::string, std::set<std::string>> m_causes;
};

} // namespace

Test(EventRing, ordersEveryEventAfterItsCausesWhateverTheWallClocksShow)
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        Exchange exchange(seed);
        exchange.run();
        std::set<std::string> seen;
        for (const auto& event : mergeEvents(exchange.events())) {
            for (const auto& cause : exchange.causes().at(nameOf(event)))
                cr_assert(seen.contains(cause), "seed %u: %s precedes its cause %s", seed,
                    nameOf(event).c_str(), cause.c_str());
            seen.insert(nameOf(event));
        }
        cr_assert(seen.size() == exchange.causes().size());
    }
}

Test(EventRing, ordersConcurrentEventsByWallClock)
{
    const Event late { .instance = "a", .sequence = 1, .logical = 4, .unixTime = { 20 } };
    const Event early { .instance = "b", .sequence = 1, .logical = 4, .unixTime = { 10 } };
    const auto merged = mergeEvents({ late, early });
    cr_assert(merged[0].instance == "b", "expected b first, got %s", merged[0].instance.c_str());
}

Test(EventRing, ordersIndependentEventsAsTheyHappenedWhenTheWallClocksAgree)
{
    LogicalClock busyClock;
    LogicalClock idleClock;
    EventRing busy("busy", 10'000, busyClock);
    EventRing idle("idle", 10'000, idleClock);
    for (int i = 0; i < 500; ++i)
        busy.record(EventKind::TaskQueued, {}, { 1'000 });
    idle.record(EventKind::ProcessStarted, {}, { 1'001 });
    busy.record(EventKind::TaskQueued, {}, { 1'002 });
    auto all = busy.since(0);
    all.push_back(idle.since(0).front());
    const auto merged = mergeEvents(all);
    cr_assert(merged[500].instance == "idle", "expected the idle process at 500, got %s",
        merged[500].instance.c_str());
}

Test(EventRing, countsOverwrittenEvents)
{
    LogicalClock clock;
    EventRing ring("node", 3, clock);
    for (int i = 0; i < 5; ++i)
        ring.record(EventKind::TaskQueued);
    cr_assert(ring.overwritten() == 2, "expected 2, got %zu", static_cast<std::size_t>(ring.overwritten()));
    cr_assert(ring.since(0).size() == 3);
    cr_assert(ring.since(0).front().sequence == 3);
}
