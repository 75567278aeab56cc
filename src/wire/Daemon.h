#pragma once

#include "base/Settings.h"
#include "wire/Process.h"

#include <functional>
#include <memory>
#include <string>

namespace oleanderport {

// Creates the role that a daemon runs.
using MakeRole = std::function<std::unique_ptr<RoleProcess>(EventLoop&, const Settings&)>;

// Runs one role until a graceful shutdown by SIGTERM or SIGINT is complete. Reloads the settings on SIGHUP and when the
// file changes; an invalid file is logged and ignored. Returns the exit code.
int runDaemon(const std::string& settingsPath, const Settings&, const MakeRole&);

} // namespace oleanderport
