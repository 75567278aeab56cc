#pragma once

#include "Ingress.h"
#include "MinionAdapter.h"
#include "OperatorAdapter.h"

#include "support/FreeAddress.h"
#include "support/PlatformMinion.h"
#include "support/RawPeer.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace oleanderport::platform {

inline Settings testSettings(Role role, const std::string& instance, const std::string& control)
{
    Settings settings;
    settings.role = role;
    settings.instance = instance;
    settings.listen = role == Role::Control ? control : freeAddress();
    settings.advertise = settings.listen;
    settings.dataCentre = "dc-a";
    settings.controlPeers = { control };
    settings.heartbeat = { 50 };
    settings.declaredDataCentres = { "dc-a", "dc-b" };
    settings.shutdownGrace = { 2'000 };
    settings.acceptWhileStopping = { 200 };
    return settings;
}

inline const char* const testConfig
    = R"({"version":7,"routes":[{"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":60,"priority":0,"service":"s1","maxAttempts":2,"stretch":1.6}],"services":[{"name":"s1"}],"limits":{}})";

inline const char* const testJob = R"({"spec":"text","bestEffort":true,"steps":[{"count":3,"cpu":1000,"memMb":1,"estimatedMs":400}]})";

// One instance of each role with its platform adapter, and a minion, in one event loop.
struct PlatformDeployment {
    EventLoop loop;
    std::string control { freeAddress() };
    // Where the entry reaches control.
    std::string entryControl;
    std::string front { freeAddress() };
    std::string ready { freeAddress() };
    std::string reportAddress { freeAddress() };
    std::string sidecarStream { freeAddress() };
    // Where the entry reaches the sidecar.
    std::string sidecarRelay;
    ControlServer controlServer { loop, testSettings(Role::Control, "control-1", control) };
    OperatorAdapter operators { controlServer };
    EntryServer entry { loop, testSettings(Role::Entry, "entry-1", entryControl) };
    Ingress ingress { entry, { .clientAddress = front, .readinessAddress = ready, .drainPeriod = { 200 } } };
    RunServer sidecar { loop, sidecarSettings() };
    MinionAdapter minionAdapter { sidecar, reportAddress };
    PlatformMinion minion;
    // Request-Id of the next request.
    std::string requestId { "q1" };
    std::vector<std::unique_ptr<RawConnection>> clients;

    // `controlRelay`: address of a relay in front of control, for the entry alone; without a relay when empty.
    // `streamRelay`: address of a relay in front of the sidecar.
    explicit PlatformDeployment(PlatformMinion::Options options = {}, const std::string& controlRelay = {}, const std::string& streamRelay = {})
        : entryControl(controlRelay.empty() ? control : controlRelay)
        , sidecarRelay(streamRelay.empty() ? sidecarStream : streamRelay)
        , minion(loop, std::move(options))
    {
        cr_assert(controlServer.start().has_value());
        cr_assert(entry.start().has_value() && ingress.start().has_value());
        cr_assert(sidecar.start().has_value() && minionAdapter.start().has_value());
    }

    Settings sidecarSettings() const
    {
        Settings settings = testSettings(Role::Sidecar, "sidecar-1", control);
        settings.streamListen = sidecarStream;
        settings.streamAdvertise = sidecarRelay;
        return settings;
    }

    // Sends a request and returns its answer. The connection stays open.
    std::string sendAndWait(const std::string& address, const std::string& head, const std::string& body = "")
    {
        RawConnection& client = send(address, head, body);
        cr_assert(runUntil(loop, [&client] { return isComplete(client.received()); }), "no answer to %s", head.c_str());
        return client.received();
    }

    RawConnection& send(const std::string& address, const std::string& head, const std::string& body = "")
    {
        RawConnection& client = connect(address);
        client.send(requestText(head, body));
        return client;
    }

    RawConnection& connect(const std::string& address)
    {
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        clients.push_back(rawConnect(loop, port));
        return *clients.back();
    }

    std::string requestText(const std::string& head, const std::string& body) const
    {
        return fmt::format("{} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nOleanderport-Deadline: 4000\r\nContent-Length: {}\r\n\r\n{}",
            head, requestId, body.size(), body);
    }

    void runFor(Milliseconds time)
    {
        const Milliseconds until = Clock::now() + time;
        cr_assert(runUntil(loop, [until] { return Clock::now() >= until; }));
    }

    static bool isComplete(const std::string& text)
    {
        const auto length = text.find("Content-Length: ");
        const auto end = text.find("\r\n\r\n");
        if (length == std::string::npos || end == std::string::npos)
            return false;
        return text.size() >= end + 4 + static_cast<std::size_t>(std::stoi(text.substr(length + 16)));
    }

    // Publishes the queues and waits until the minion accepts jobs.
    void becomeReady()
    {
        cr_assert(sendAndWait(control, "POST /Config.Put", testConfig).find("200") == 9);
        minion.report(reportAddress);
        cr_assert(runUntil(loop, [this] {
            return entry.view().catalogue && entry.dispatch().sidecars() == 1 && sidecar.fencingToken().has_value();
        }));
        // The first job waits until the sidecar has seen that its minion runs nothing.
        cr_assert(sendAndWait(front, "POST /a/first", testJob).find("\"completed\"") != std::string::npos);
        minion.started.clear();
    }
};

} // namespace oleanderport::platform
