#include "base/Settings.h"
#include "control/ControlServer.h"
#include "entry/EntryServer.h"
#include "sidecar/SidecarServer.h"
#include "wire/Daemon.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <memory>

namespace {

using namespace oleanderport;

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

int runMain(int argc, char** argv)
{
    cxxopts::Options options("oleanderportd", "One process of oleanderport; its settings define its role.");
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
    return runDaemon(arguments["settings"].as<std::string>(), settings.assume_value(), makeRole);
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
