#include "base/SettingsReload.h"

#include <sys/stat.h>

#include <tuple>
#include <utility>

namespace oleanderport {

namespace {

    // When a changed key takes effect.
    enum class TakesEffect {
        Immediately,
        // After a restart for a control instance, which takes its group from its data folder and reads this key only at
        // start.
        ImmediatelyUnlessControl,
        AfterRestart,
    };

    // A key of the settings file and the member that holds its value.
    template <typename Value>
    struct Key {
        constexpr Key(std::string_view keyName, Value Settings::*keyMember, TakesEffect keyTakesEffect)
            : name(keyName)
            , member(keyMember)
            , takesEffect(keyTakesEffect)
        {
        }

        std::string_view name;
        Value Settings::*member;
        TakesEffect takesEffect;
    };

    // Every key of docs/SETTINGS.md. Keys that identify the process, its addresses or its data, or that other processes
    // rely on while this one runs, take effect after a restart.
    constexpr auto keys = std::tuple {
        Key { "process.role", &Settings::role, TakesEffect::AfterRestart },
        Key { "process.instance", &Settings::instance, TakesEffect::AfterRestart },
        Key { "process.environment", &Settings::environment, TakesEffect::AfterRestart },
        Key { "process.listen", &Settings::listen, TakesEffect::AfterRestart },
        Key { "process.advertise", &Settings::advertise, TakesEffect::AfterRestart },
        Key { "process.data_centre", &Settings::dataCentre, TakesEffect::AfterRestart },
        Key { "process.metrics_listen", &Settings::metricsListen, TakesEffect::AfterRestart },
        Key { "process.log_level", &Settings::logLevel, TakesEffect::Immediately },
        Key { "control.peers", &Settings::controlPeers, TakesEffect::ImmediatelyUnlessControl },
        Key { "control.data_folder", &Settings::dataFolder, TakesEffect::AfterRestart },
        Key { "control.check_file_identity", &Settings::checkFileIdentity, TakesEffect::AfterRestart },
        Key { "control.bootstrap", &Settings::bootstrap, TakesEffect::AfterRestart },
        Key { "control.routes", &Settings::controlRoutes, TakesEffect::AfterRestart },
        Key { "control.lease_ms", &Settings::lease, TakesEffect::AfterRestart },
        Key { "control.session_timeout_ms", &Settings::sessionTimeout, TakesEffect::AfterRestart },
        Key { "control.heartbeat_ms", &Settings::heartbeat, TakesEffect::AfterRestart },
        Key { "control.timeout_ms", &Settings::controlTimeout, TakesEffect::Immediately },
        Key { "control.tolerated_losses", &Settings::toleratedLosses, TakesEffect::AfterRestart },
        Key { "control.catch_up_s", &Settings::catchUp, TakesEffect::AfterRestart },
        Key { "control.election_ms", &Settings::election, TakesEffect::AfterRestart },
        Key { "control.verify_wait_ms", &Settings::verifyWait, TakesEffect::AfterRestart },
        Key { "control.data_centres", &Settings::declaredDataCentres, TakesEffect::AfterRestart },
        Key { "limits.max_body_bytes", &Settings::maxBodyBytes, TakesEffect::AfterRestart },
        Key { "limits.max_buffered_bytes", &Settings::maxBufferedBytes, TakesEffect::AfterRestart },
        Key { "limits.max_json_values", &Settings::maxJsonValues, TakesEffect::AfterRestart },
        Key { "limits.max_connections", &Settings::maxConnections, TakesEffect::AfterRestart },
        Key { "limits.max_header_lines", &Settings::maxHeaderLines, TakesEffect::AfterRestart },
        Key { "limits.max_id_bytes", &Settings::maxIdBytes, TakesEffect::Immediately },
        Key { "limits.max_tasks_per_job", &Settings::maxTasksPerJob, TakesEffect::Immediately },
        Key { "limits.max_queued_tasks", &Settings::maxQueuedTasks, TakesEffect::Immediately },
        Key { "limits.max_wait_ms", &Settings::maxWait, TakesEffect::Immediately },
        Key { "limits.answer_retention_ms", &Settings::answerRetention, TakesEffect::AfterRestart },
        Key { "sidecar.prefetch", &Settings::prefetch, TakesEffect::Immediately },
        Key { "sidecar.max_run_time_ms", &Settings::maxRunTime, TakesEffect::AfterRestart },
        Key { "sidecar.minion_timeout_ms", &Settings::minionTimeout, TakesEffect::Immediately },
        Key { "sidecar.stream_listen", &Settings::streamListen, TakesEffect::AfterRestart },
        Key { "sidecar.stream_advertise", &Settings::streamAdvertise, TakesEffect::AfterRestart },
        Key { "sidecar.resubmit_after_ms", &Settings::resubmitAfter, TakesEffect::AfterRestart },
        Key { "placement.by_speed", &Settings::placeBySpeed, TakesEffect::AfterRestart },
        Key { "placement.separate_interference", &Settings::separateInterference, TakesEffect::AfterRestart },
        Key { "shutdown.accept_ms", &Settings::acceptWhileStopping, TakesEffect::Immediately },
        Key { "shutdown.grace_ms", &Settings::shutdownGrace, TakesEffect::Immediately },
    };

    template <typename Value>
    void compare(const Key<Value>& key, const Settings& loaded, SettingsReload& reload)
    {
        if (reload.settings.*key.member == loaded.*key.member)
            return;
        const bool isControl = reload.settings.role == Role::Control;
        if (key.takesEffect == TakesEffect::AfterRestart || (key.takesEffect == TakesEffect::ImmediatelyUnlessControl && isControl)) {
            reload.pendingRestart.push_back(key.name);
            return;
        }
        reload.settings.*key.member = loaded.*key.member;
        reload.applied.push_back(key.name);
    }

} // namespace

SettingsReload reloadSettings(const Settings& current, const Settings& loaded)
{
    SettingsReload reload { .settings = current };
    std::apply([&](const auto&... key) { (compare(key, loaded, reload), ...); }, keys);
    return reload;
}

SettingsFile::SettingsFile(std::string path)
    : m_path(std::move(path))
    , m_lastState(readState())
{
}

bool SettingsFile::hasChanged()
{
    const auto now = readState();
    if (!now || now == m_lastState)
        return false;
    m_lastState = now;
    return true;
}

std::optional<SettingsFile::FileState> SettingsFile::readState() const
{
    struct stat status { };
    if (stat(m_path.c_str(), &status) != 0)
        return std::nullopt;
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    return FileState { .inode = status.st_ino,
        .size = status.st_size,
        .modified = status.st_mtim.tv_sec * nanosecondsPerSecond + status.st_mtim.tv_nsec };
}

} // namespace oleanderport
