#include "base/Log.h"
#include "base/Settings.h"
#include "control/ControlServer.h"
#include "entry/EntryServer.h"
#include "sidecar/SidecarServer.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <memory>

namespace {

using namespace oleanderport;

constexpr int exitFailed = 1;
constexpr int exitBadUsage = 2;

std::unique_ptr<RoleProcess> makeRole(EventLoop& loop, const Settings& settings)
{
    switch (settings.role) {
    case Role::Entry:
        return std::make_unique<EntryServer>(loop, settings);
    case Role::Sidecar:
        return std::make_unique<SidecarServer>(loop, settings);
    case Role::Control:
        return std::make_unique<ControlServer>(loop, settings);
    }
    return nullptr;
}

int runDaemon(const Settings& settings)
{
    configureLog(settings.logLevel, roleName(settings.role), settings.instance);
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    const auto role = makeRole(loop, settings);
    const auto started = role->start();
    if (!started.has_value()) {
        logError(LogLevel::Error, started.assume_error());
        return exitFailed;
    }
    bool stopping = false;
    const auto stop = [&] {
        if (stopping)
            return;
        stopping = true;
        log(LogLevel::Info, { .step = "daemon.stop" }, "shutting down");
        role->shutDown([&loop] { loop.stop(); });
    };
    const auto onTerm = loop.onSignal(SIGTERM, stop);
    const auto onInterrupt = loop.onSignal(SIGINT, stop);
    log(LogLevel::Info, { .step = "daemon.start" }, "listening on " + settings.listen);
    loop.run();
    log(LogLevel::Info, { .step = "daemon.stop" }, "stopped");
    return 0;
}

int runMain(int argc, char** argv)
{
    cxxopts::Options options("oleanderportd", "One process of oleanderport; its role stands in its settings.");
    options.add_options()("settings", "TOML settings file", cxxopts::value<std::string>())(
        "check", "Check this settings file and exit", cxxopts::value<std::string>())("help", "Show this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        fmt::print("{}", options.help());
        return 0;
    }
    const bool checkOnly = arguments.count("check") > 0;
    if (!checkOnly && arguments.count("settings") == 0) {
        fmt::print(stderr, "oleanderportd: expected --settings FILE or --check FILE\n");
        return exitBadUsage;
    }
    const auto settings = loadSettings(arguments[checkOnly ? "check" : "settings"].as<std::string>());
    if (!settings.has_value()) {
        fmt::print(stderr, "{}\n", settings.assume_error().message);
        return exitBadUsage;
    }
    if (checkOnly) {
        fmt::print("settings are valid\n");
        return 0;
    }
    return runDaemon(settings.assume_value());
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runMain(argc, argv);
    } catch (const std::exception& exception) {
        fmt::print(stderr, "oleanderportd: {}\n", exception.what());
        return exitBadUsage;
    }
}
