#pragma once

#include "base/Settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderport {

// What a settings file that was read again changes.
struct SettingsReload {
    // The settings in force from now on: the former ones with every key that can change while a process runs.
    Settings settings;
    // Keys of the file, as in "shutdown.grace_ms", that have changed and are in force now.
    std::vector<std::string_view> applied;
    // Keys that have changed and take effect at the next start.
    std::vector<std::string_view> pendingRestart;
};

// Compares the settings in force with those just read.
SettingsReload reloadSettings(const Settings& current, const Settings& loaded);

// Tells when a settings file has been written anew, without a signal. Reads only the file's metadata.
class SettingsFile {
public:
    explicit SettingsFile(std::string path);

    // True once after each change of the file. A file that is missing for a moment has not changed.
    bool hasChanged();

    const std::string& path() const { return m_path; }

private:
    struct FileState {
        std::uint64_t inode { 0 };
        std::int64_t size { 0 };
        // Time of the last modification, nanoseconds since 1970.
        std::int64_t modified { 0 };
        friend bool operator==(const FileState&, const FileState&) = default;
    };

    std::optional<FileState> readState() const;

    std::string m_path;
    std::optional<FileState> m_lastState;
};

} // namespace oleanderport
