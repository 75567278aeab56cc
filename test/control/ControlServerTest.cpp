#include "control/ControlServer.h"

#include "support/FreeAddress.h"
#include "support/RawPeer.h"
#include "wire/MessageCodec.h"
#include "wire/Rpc.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>
#include <optional>
#include <utility>
#include <vector>

using namespace oleanderport;

namespace {

constexpr int entries = 20;
constexpr Milliseconds timeout { 5'000 };

Settings controlSettings()
{
    Settings settings;
    settings.role = Role::Control;
    settings.instance = "control-1";
    settings.listen = freeAddress();
    settings.advertise = settings.listen;
    settings.dataCentre = "dc";
    settings.controlPeers = { settings.listen };
    settings.declaredDataCentres = { "dc" };
    return settings;
}

} // namespace

// After a power failure all entries request a view with hundreds of members at once. It must be encoded once, not for
// each of them.
Test(ControlServer, encodesAViewOnceForAllThatAskForIt)
{
    EventLoop loop;
    const Settings settings = controlSettings();
    ControlServer server(loop, settings);
    cr_assert(server.start().has_value());
    RpcClient client(loop, settings.listen);
    std::vector<SessionResponse> answers;
    const auto take = [&answers](const Result<Json::Value>& answer) { answers.push_back(fromJson<SessionResponse>(answer.value()).value()); };
    for (int i = 0; i < entries; ++i)
        client.call("openSession", toJson(OpenSessionRequest { .node = { .role = Role::Entry, .instance = fmt::format("entry-{}", i), .dataCentre = "dc" } }), timeout, take);
    cr_assert(runUntil(loop, [&answers] { return answers.size() == entries; }));
    const auto encoded = [&server] { return server.process().metrics.counter("views_encoded_total"); };
    const std::uint64_t before = encoded();
    const std::vector<SessionResponse> opened = std::exchange(answers, {});
    for (const auto& session : opened)
        client.call("heartbeat", toJson(HeartbeatRequest { .session = session.session }), timeout, take);
    cr_assert(runUntil(loop, [&answers] { return answers.size() == entries; }));
    for (const auto& answer : answers) {
        cr_assert(answer.viewText && !answer.view, "expected the view as encoded text");
        const auto view = fromJson<ClusterView>(parseJson(*answer.viewText).value()).value();
        cr_assert(view.members.size() == entries, "expected %d members, got %zu", entries, view.members.size());
    }
    cr_assert(encoded() - before <= 1, "expected the view to be encoded once for %d entries, got %llu times", entries,
        static_cast<unsigned long long>(encoded() - before));
}

// A caller whose call is held learns from the same instance which others it may ask.
Test(ControlServer, reportsItsGroupAtOnceWhileItHoldsCallsWithoutALeader)
{
    EventLoop loop;
    Settings settings = controlSettings();
    std::string folder = (std::filesystem::temp_directory_path() / "control-server-XXXXXX").string();
    cr_assert(mkdtemp(folder.data()));
    settings.dataFolder = folder;
    const std::string absent = freeAddress();
    settings.controlPeers = { settings.listen, absent };
    {
        ControlServer server(loop, settings);
        cr_assert(server.start().has_value());
        RpcClient held(loop, settings.listen);
        bool isOpenAnswered = false;
        held.call("openSession", toJson(OpenSessionRequest { .node = { .role = Role::Entry, .instance = "entry", .dataCentre = "dc" } }), timeout,
            [&isOpenAnswered](const Result<Json::Value>&) { isOpenAnswered = true; });
        RpcClient client(loop, settings.listen);
        std::optional<Result<ControlGroupInfo>> group;
        client.callTyped<ControlGroupInfo>(controlGroupMethod, Nothing {}, timeout, [&](const Result<ControlGroupInfo>& answer) {
            cr_assert(!isOpenAnswered, "expected the answer while the other call is held");
            group = answer;
        });
        cr_assert(runUntil(loop, [&group] { return group.has_value(); }));
        cr_assert(group->has_value(), "%s", describe(group->assume_error()).c_str());
        cr_assert(!group->assume_value().leads && group->assume_value().leader.empty());
    }
    std::filesystem::remove_all(folder);
}
