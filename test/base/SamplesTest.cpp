#include "base/EnvironmentDocument.h"
#include "base/Settings.h"
#include "support/FileContent.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <set>

using namespace oleanderport;

namespace {

namespace fs = std::filesystem;

const fs::path samples = fs::path(SOURCE_FOLDER) / "samples";

EnvironmentConfig documentOf(const fs::path& folder)
{
    const auto path = folder / "environment.toml";
    const auto config = parseEnvironment(contentOf(path), path.string());
    cr_assert(config.has_value(), "%s", config.has_value() ? "" : config.assume_error().message.c_str());
    return config.assume_value();
}

std::vector<Settings> settingsIn(const fs::path& folder)
{
    std::vector<Settings> all;
    for (const auto& file : fs::directory_iterator(folder)) {
        if (file.path().extension() != ".toml" || file.path().filename() == "environment.toml")
            continue;
        const auto settings = loadSettings(file.path().string());
        cr_assert(settings.has_value(), "%s", settings.has_value() ? "" : settings.assume_error().message.c_str());
        all.push_back(settings.assume_value());
    }
    return all;
}

void expectConsistent(const fs::path& folder)
{
    const auto document = documentOf(folder);
    std::set<std::string> instances;
    std::set<std::string> addresses;
    const auto all = settingsIn(folder);
    for (const auto& settings : all) {
        const char* name = settings.instance.c_str();
        const auto& known = document.dataCentres;
        cr_assert(instances.insert(settings.instance).second, "duplicate instance %s", name);
        cr_assert(addresses.insert(settings.listen).second, "%s: duplicate address", name);
        cr_assert(std::find(known.begin(), known.end(), settings.dataCentre) != known.end(),
            "%s: data centre %s is not in the document", name, settings.dataCentre.c_str());
        cr_assert(settings.controlPeers == all.front().controlPeers, "%s: control peers differ from those of the other instances", name);
        const auto& peers = settings.controlPeers;
        const bool isPeer = std::find(peers.begin(), peers.end(), settings.advertise) != peers.end();
        cr_assert(isPeer == (settings.role == Role::Control), "%s: expected exactly the control instances among the control peers", name);
    }
}

std::size_t countOf(const std::vector<Settings>& all, Role role)
{
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [role](const Settings& settings) { return settings.role == role; }));
}

void expectDeployment(const fs::path& folder, const std::string& service, const std::vector<std::string>& dataCentres)
{
    const auto document = documentOf(folder);
    const auto all = settingsIn(folder);
    cr_assert(document.dataCentres == dataCentres);
    cr_assert(document.services.size() == 1);
    cr_assert(document.services[0].name == service);
    cr_assert(countOf(all, Role::Control) == 3);
    cr_assert(countOf(all, Role::Entry) == 3);
    cr_assert(countOf(all, Role::Sidecar) == 11, "expected 11 sidecars, got %zu", countOf(all, Role::Sidecar));
}

} // namespace

Test(Samples, everyFolderIsConsistent)
{
    std::size_t folders = 0;
    for (const auto& folder : fs::directory_iterator(samples)) {
        if (!folder.is_directory())
            continue;
        ++folders;
        if (folder.path().filename() == "demo")
            documentOf(folder.path());
        else
            expectConsistent(folder.path());
    }
    cr_assert(folders >= 4, "expected at least 4 folders, got %zu", folders);
}

Test(Samples, blueMahoeIsComplete)
{
    expectDeployment(samples / "blue-mahoe", "dispatch", { "ocho-rios", "linstead", "falmouth" });
}

Test(Samples, dhobiGhatIsComplete)
{
    expectDeployment(samples / "dhobi-ghat", "token-counter", { "lhr-a", "lhr-b", "fsd-a" });
}
