#include "base/SettingsReload.h"
#include "support/FileContent.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>

#include <unistd.h>

using namespace oleanderport;

namespace {

Settings entrySettings()
{
    Settings settings;
    settings.instance = "entry-1";
    settings.listen = "10.0.0.1:7000";
    settings.dataCentre = "dc-a";
    settings.controlPeers = { "10.0.0.2:7000" };
    return settings;
}

std::string listed(const std::vector<std::string_view>& keys) { return fmt::format("{}", fmt::join(keys, " ")); }

// A temporary file of this test process, removed at the end of the test.
struct ScratchFile {
    std::string path { (std::filesystem::temp_directory_path() / fmt::format("settings-reload-{}.toml", getpid())).string() };

    ~ScratchFile() { std::filesystem::remove(path); }
    void write(const std::string& text) const { std::ofstream(path) << text; }
};

} // namespace

Test(SettingsReload, changesNothingForEqualSettings)
{
    const auto reload = reloadSettings(entrySettings(), entrySettings());
    cr_assert(reload.applied.empty() && reload.pendingRestart.empty(), "applied [%s], pending restart [%s]", listed(reload.applied).c_str(),
        listed(reload.pendingRestart).c_str());
}

Test(SettingsReload, appliesChangeableKeysAndReportsThoseThatNeedARestart)
{
    Settings loaded = entrySettings();
    loaded.controlPeers = { "10.0.0.3:7000", "10.0.0.4:7000" };
    loaded.shutdownGrace = { 1'234 };
    loaded.listen = "10.0.0.1:7009";
    loaded.lease = { 4'000 };
    const auto reload = reloadSettings(entrySettings(), loaded);
    cr_assert(listed(reload.applied) == "control.peers shutdown.grace_ms", "applied [%s]", listed(reload.applied).c_str());
    cr_assert(listed(reload.pendingRestart) == "process.listen control.lease_ms", "pending restart [%s]", listed(reload.pendingRestart).c_str());
    cr_assert(reload.settings.controlPeers == loaded.controlPeers && reload.settings.shutdownGrace == loaded.shutdownGrace);
    cr_assert(reload.settings.listen == entrySettings().listen && reload.settings.lease == entrySettings().lease);
}

Test(SettingsReload, reportsAKeyUntilItTakesEffect)
{
    Settings loaded = entrySettings();
    loaded.listen = "10.0.0.1:7009";
    const auto first = reloadSettings(entrySettings(), loaded);
    const auto second = reloadSettings(first.settings, loaded);
    cr_assert(listed(second.pendingRestart) == "process.listen", "pending restart [%s]", listed(second.pendingRestart).c_str());
}

// A control instance takes its group from its data folder.
Test(SettingsReload, appliesChangedPeersOfAControlInstanceAfterARestart)
{
    Settings current = entrySettings();
    current.role = Role::Control;
    Settings loaded = current;
    loaded.controlPeers = { "10.0.0.3:7000" };
    const auto reload = reloadSettings(current, loaded);
    cr_assert(reload.applied.empty() && listed(reload.pendingRestart) == "control.peers");
    cr_assert(reload.settings.controlPeers == current.controlPeers);
}

// Each key that the page describes has a rule, so a reload either applies its change or reports it as pending.
Test(SettingsReload, knowsEveryKeyOfTheSettingsPage)
{
    const std::string page = contentOf(SOURCE_FOLDER "/docs/SETTINGS.md");
    const std::string source = contentOf(SOURCE_FOLDER "/src/base/SettingsReload.cpp");
    const std::regex row(R"(\n\| `([a-z]+\.[a-z_]+)` \|)");
    std::size_t rows = 0;
    for (auto match = std::sregex_iterator(page.begin(), page.end(), row); match != std::sregex_iterator(); ++match, ++rows)
        cr_assert(source.find("\"" + (*match)[1].str() + "\"") != std::string::npos, "expected a rule for %s", (*match)[1].str().c_str());
    cr_assert(rows > 20, "expected the rows of docs/SETTINGS.md, found %zu", rows);
}

Test(SettingsFile, reportsAChangeOnce)
{
    const ScratchFile scratch;
    scratch.write("a = 1\n");
    SettingsFile file(scratch.path);
    cr_assert(!file.hasChanged());
    scratch.write("a = 100\n");
    cr_assert(file.hasChanged());
    cr_assert(!file.hasChanged());
}

Test(SettingsFile, reportsNoChangeWhileTheFileIsMissing)
{
    const ScratchFile scratch;
    scratch.write("a = 1\n");
    SettingsFile file(scratch.path);
    std::filesystem::remove(scratch.path);
    cr_assert(!file.hasChanged());
    scratch.write("a = 20\n");
    cr_assert(file.hasChanged());
}
