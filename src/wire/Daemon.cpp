#include "wire/Daemon.h"

#include "base/Log.h"
#include "base/SettingsReload.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <csignal>
#include <utility>

namespace oleanderport {

namespace {

    constexpr int exitFailed = 1;
    // Polling interval of the settings file. SIGHUP reloads it at once.
    constexpr Milliseconds fileCheckPeriod { 5'000 };

    class Daemon {
    public:
        Daemon(const std::string& settingsPath, Settings settings, const MakeRole& makeRole)
            : m_file(settingsPath)
            , m_settings(std::move(settings))
            , m_role(makeRole(m_loop, m_settings))
        {
        }

        int run()
        {
            const auto started = m_role->start();
            if (!started.has_value()) {
                logError(LogLevel::Error, started.assume_error());
                return exitFailed;
            }
            const auto onTerm = m_loop.onSignal(SIGTERM, [this] { stop(); });
            const auto onInterrupt = m_loop.onSignal(SIGINT, [this] { stop(); });
            const auto onHangup = m_loop.onSignal(SIGHUP, [this] {
                m_file.hasChanged();
                reload("SIGHUP");
            });
            const auto onFile = m_loop.every(fileCheckPeriod, [this] {
                if (m_file.hasChanged())
                    reload("file changed");
            });
            log(LogLevel::Info, { .step = "daemon.start" }, "listening on " + m_settings.listen);
            m_loop.run();
            log(LogLevel::Info, { .step = "daemon.stop" }, "stopped");
            return 0;
        }

    private:
        void stop()
        {
            if (std::exchange(m_stopping, true))
                return;
            log(LogLevel::Info, { .step = "daemon.stop" }, "shutting down");
            m_role->shutDown([this] { m_loop.stop(); });
        }

        void reload(std::string_view cause)
        {
            const auto read = loadSettings(m_file.path());
            if (!read.has_value())
                return logError(LogLevel::Error, read.assume_error());
            const SettingsReload reload = reloadSettings(m_settings, read.assume_value());
            m_settings = reload.settings;
            configureLog(m_settings.logLevel, roleName(m_settings.role), m_settings.instance);
            m_role->reconfigure(m_settings);
            log(LogLevel::Info, { .step = "daemon.reload" },
                fmt::format("settings reloaded ({}): applied now: [{}], applied at the next start: [{}]", cause, fmt::join(reload.applied, ", "),
                    fmt::join(reload.pendingRestart, ", ")));
        }

        EventLoop m_loop;
        SettingsFile m_file;
        Settings m_settings;
        std::unique_ptr<RoleProcess> m_role;
        bool m_stopping { false };
    };

} // namespace

int runDaemon(const std::string& settingsPath, const Settings& settings, const MakeRole& makeRole)
{
    configureLog(settings.logLevel, roleName(settings.role), settings.instance);
    std::signal(SIGPIPE, SIG_IGN);
    return Daemon(settingsPath, settings, makeRole).run();
}

} // namespace oleanderport
