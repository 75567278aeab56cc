#include "control/ControlCodec.h"
#include "control/LogFile.h"
#include "control/RaftCodec.h"
#include "policy/Raft.h"
#include "support/ChangedInput.h"
#include "wire/MessageCodec.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds tickPeriod { 50 };

// Three Raft instances with instant message delivery. For each message, one of them also receives a modified copy.
class FuzzedGroup {
public:
    explicit FuzzedGroup(std::uint64_t seed)
        : m_random(seed)
    {
        for (const char* address : { "a", "b", "c" }) {
            const RaftStored stored { .self = { .address = address, .incarnation = fmt::format("i{}", address) }, .boot = 1, .startNonce = m_random() };
            m_group.push_back({ address, std::make_unique<Raft>(RaftOptions { .peers = { "a", "b", "c" }, .bootstrap = *address == 'a', .seed = m_random() }, stored, m_now) });
        }
    }

    void run(std::uint64_t messages)
    {
        while (m_received < messages) {
            m_now = m_now + tickPeriod;
            for (auto& instance : m_group) {
                process(instance, instance.raft->tick(m_now));
                if (instance.raft->leads() && m_random() % 4 == 0)
                    process(instance, instance.raft->propose({ fmt::format("command {}", m_received) }, m_now));
            }
            deliver(messages);
        }
    }

    std::uint64_t accepted() const { return m_accepted; }
    std::uint64_t refused() const { return m_refused; }

private:
    struct Instance {
        std::string address;
        std::unique_ptr<Raft> raft;
    };

    void process(Instance& instance, const RaftActions& actions)
    {
        for (const auto& message : actions.send)
            m_inFlight.push_back(message);
        for (const auto& write : actions.writes)
            process(instance, instance.raft->written(write.number, m_now));
    }

    void deliver(std::uint64_t messages)
    {
        for (int round = 0; round < 400 && !m_inFlight.empty() && m_received < messages; ++round) {
            const RaftMessage message = m_inFlight.front();
            m_inFlight.pop_front();
            for (auto& instance : m_group) {
                if (instance.address == message.to)
                    process(instance, instance.raft->receive(message, m_now));
            }
            deliverModified(message);
        }
    }

    void deliverModified(const RaftMessage& message)
    {
        ++m_received;
        const auto changed = raftMessageFromJson(changedJson(m_random, raftMessageToJson(message)));
        if (!changed.has_value()) {
            ++m_refused;
            return;
        }
        ++m_accepted;
        Instance& instance = m_group[m_random() % m_group.size()];
        process(instance, instance.raft->receive(changed.assume_value(), m_now));
    }

    std::mt19937_64 m_random;
    Milliseconds m_now { 10'000 };
    std::vector<Instance> m_group;
    std::deque<RaftMessage> m_inFlight;
    std::uint64_t m_received { 0 };
    std::uint64_t m_accepted { 0 };
    std::uint64_t m_refused { 0 };
};

ControlState someState()
{
    ControlState state({});
    const Milliseconds stamp { 1'000'000 };
    static_cast<void>(state.apply({ .stampUnix = stamp,
        .change = AcceptDocument { .change = { .environment = productionEnvironment, .text = "text", .changeId = "c1", .author = "ann", .reason = "why" },
            .config = { .digest = "digest", .teams = { { .name = "team", .weight = 2, .maxQueued = 9, .callers = { "a" } } }, .dataCentres = { "dc" } } } }));
    static_cast<void>(state.apply({ .stampUnix = stamp, .change = OpenSessionRequest { .node = { .role = Role::Entry, .instance = "entry", .dataCentre = "dc" } } }));
    static_cast<void>(state.apply({ .stampUnix = stamp, .change = DataCentreChange { .dataCentre = "dc", .out = true, .author = "ann", .reason = "flood" } }));
    return state;
}

} // namespace

// A message that the codec accepts may contain any number. The instances must not crash on it.
Test(MalformedRecords, aGroupOutlivesChangedMessages)
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FuzzedGroup group(seed);
        group.run(changedInputs(20'000) / 10);
        accepted += group.accepted();
        refused += group.refused();
    }
    cr_assert(accepted > 1'000 && refused > 1'000, "expected accepted and refused messages, got %llu accepted and %llu refused", static_cast<unsigned long long>(accepted),
        static_cast<unsigned long long>(refused));
}

Test(MalformedRecords, aChangedStateIsReadOrRefused)
{
    std::mt19937_64 random(1);
    const std::string text = encodeState(someState());
    const Json::Value whole = parseJson(text).assume_value();
    for (std::uint64_t i = 0; i < changedInputs(4'000); ++i) {
        const std::string changed = i % 2 == 0 ? changedText(random, text) : writeJson(changedJson(random, whole));
        auto state = decodeState(changed, {});
        if (!state.has_value())
            continue;
        // A decoded state must be encodable and accept commands.
        static_cast<void>(encodeState(state.assume_value()));
        static_cast<void>(state.assume_value().apply(
            { .stampUnix = { 2'000'000 }, .change = OpenSessionRequest { .node = { .role = Role::Entry, .instance = "entry", .dataCentre = "dc" } } }));
    }
}

Test(MalformedRecords, aChangedCommandIsAppliedOrRefused)
{
    std::mt19937_64 random(2);
    ControlState state = someState();
    const std::string texts[] {
        encodeCommand({ .stampUnix = { 1'000'001 }, .change = OpenSessionRequest { .node = { .role = Role::Sidecar, .instance = "sidecar", .dataCentre = "dc" } } }),
        encodeCommand({ .stampUnix = { 1'000'002 }, .change = ClaimRequest { .entry = { .instance = "entry", .incarnation = 1 }, .key = { .caller = "a", .job = "j" }, .digest = "d", .deadlineUnix = { 1'000'900 } } }),
        encodeCommand({ .stampUnix = { 1'000'003 }, .change = DataCentreChange { .dataCentre = "dc", .out = false, .author = "ann", .reason = "dry" } }),
        encodeCommand({ .stampUnix = { 1'000'004 }, .change = PublishCatalogue {} }),
        encodeCommand({ .stampUnix = { 1'000'005 }, .change = CloseSession { .session = { .instance = "entry", .incarnation = 1 } } }),
    };
    for (std::uint64_t i = 0; i < changedInputs(10'000); ++i) {
        const std::string& text = texts[i % std::size(texts)];
        const auto command = decodeCommand(i % 2 == 0 ? changedText(random, text) : writeJson(changedJson(random, parseJson(text).assume_value())));
        if (command.has_value())
            static_cast<void>(state.apply(command.assume_value()));
    }
    cr_assert(decodeState(encodeState(state), {}).has_value(), "expected the state to be decodable after all commands");
}

Test(MalformedRecords, aChangedLogFileIsReadOrRefused)
{
    std::mt19937_64 random(3);
    std::string file;
    for (std::uint64_t sequence = 0; sequence < 5; ++sequence)
        file += makeFrame(sequence, fmt::format("payload {}", sequence));
    for (std::uint64_t i = 0; i < changedInputs(20'000); ++i) {
        const auto frames = readFrames(changedText(random, file), i % 3, "log");
        if (frames.has_value()) {
            for (const auto& payload : frames.assume_value().payloads)
                cr_assert(payload.rfind("payload ", 0) == 0 && payload.size() == 9, "got a payload that was never written: %zu bytes", payload.size());
        }
    }
}
