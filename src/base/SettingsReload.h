#pragma once

#include "base/Settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderport {

// Result of reloading a settings file.
struct SettingsReload {
    // Settings to use from now on: the current ones, with new values of the keys that can change while a process runs.
    Settings settings;
    // Changed keys, such as "shutdown.grace_ms", that take effect now.
    std::vector<std::string_view> applied;
    // Changed keys that take effect after a restart.
    std::vector<std::string_view> pendingRestart;
};

// Compares the current settings with those just loaded.
SettingsReload reloadSettings(const Settings& current, const Settings& loaded);

// Detects changes of a settings file by its metadata, without a signal.
class SettingsFile {
public:
    explicit SettingsFile(std::string path);

    // Returns true once after each change of the file. A file that is missing counts as unchanged.
    bool hasChanged();

    const std::string& path() const { return m_path; }

private:
    struct FileState {
        std::uint64_t inode { 0 };
        std::int64_t size { 0 };
        // Time of the last modification in nanoseconds since the Unix epoch.
        std::int64_t modified { 0 };
        friend bool operator==(const FileState&, const FileState&) = default;
    };

    std::optional<FileState> readState() const;

    std::string m_path;
    std::optional<FileState> m_lastState;
};

} // namespace oleanderport
