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

// A file of this test alone, removed at its end.
struct ScratchFile {
    std::string path { (std::filesystem::temp_directory_path() / fmt::format("settings-reload-{}.toml", getpid())).string() };

    ~ScratchFile() { std::filesystem::remove(path); }
    void write(const std::string& text) const { std::ofstream(path) << text; }
};

} // namespace

Test(SettingsReload, changesNothingWhenTheFileSaysTheSame)
{
    const auto reload = reloadSettings(entrySettings(), entrySettings());
    cr_assert(reload.applied.empty() && reload.pendingRestart.empty(), "applied [%s], at the next start [%s]", listed(reload.applied).c_str(),
        listed(reload.pendingRestart).c_str());
}

Test(SettingsReload, appliesWhatCanChangeAndNamesWhatWaitsForTheNextStart)
{
    Settings read = entrySettings();
    read.controlPeers = { "10.0.0.3:7000", "10.0.0.4:7000" };
    read.shutdownGrace = { 1'234 };
    read.listen = "10.0.0.1:7009";
    read.lease = { 4'000 };
    const auto reload = reloadSettings(entrySettings(), read);
    cr_assert(listed(reload.applied) == "control.peers shutdown.grace_ms", "applied [%s]", listed(reload.applied).c_str());
    cr_assert(listed(reload.pendingRestart) == "process.listen control.lease_ms", "at the next start [%s]", listed(reload.pendingRestart).c_str());
    cr_assert(reload.settings.controlPeers == read.controlPeers && reload.settings.shutdownGrace == read.shutdownGrace);
    cr_assert(reload.settings.listen == entrySettings().listen && reload.settings.lease == entrySettings().lease);
}

Test(SettingsReload, namesAKeyAgainUntilItIsInForce)
{
    Settings read = entrySettings();
    read.listen = "10.0.0.1:7009";
    const auto first = reloadSettings(entrySettings(), read);
    const auto second = reloadSettings(first.settings, read);
    cr_assert(listed(second.pendingRestart) == "process.listen", "at the next start [%s]", listed(second.pendingRestart).c_str());
}

// A control instance knows its group from its data folder.
Test(SettingsReload, leavesThePeersOfAControlInstanceToItsNextStart)
{
    Settings inForce = entrySettings();
    inForce.role = Role::Control;
    Settings read = inForce;
    read.controlPeers = { "10.0.0.3:7000" };
    const auto reload = reloadSettings(inForce, read);
    cr_assert(reload.applied.empty() && listed(reload.pendingRestart) == "control.peers");
    cr_assert(reload.settings.controlPeers == inForce.controlPeers);
}

// Each key that the page describes is either in force after a reload or said to wait; none is passed over.
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

Test(SettingsFile, saysOnceThatItHasChanged)
{
    const ScratchFile scratch;
    scratch.write("a = 1\n");
    SettingsFile file(scratch.path);
    cr_assert(!file.hasChanged());
    scratch.write("a = 100\n");
    cr_assert(file.hasChanged());
    cr_assert(!file.hasChanged());
}

Test(SettingsFile, waitsWhileTheFileIsMissing)
{
    const ScratchFile scratch;
    scratch.write("a = 1\n");
    SettingsFile file(scratch.path);
    std::filesystem::remove(scratch.path);
    cr_assert(!file.hasChanged());
    scratch.write("a = 20\n");
    cr_assert(file.hasChanged());
}
