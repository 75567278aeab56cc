#include "base/Settings.h"
#include "support/FileContent.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <regex>
#include <set>
#include <sstream>

using namespace oleanderport;

namespace {

struct Row {
    std::string key;
    std::string defaultValue;
};

// Returns the rows of docs/SETTINGS.md that describe a key of a settings file.
std::vector<Row> rowsOfPage()
{
    const std::string page = contentOf(SOURCE_FOLDER "/docs/SETTINGS.md");
    const std::regex row(R"(\| `([a-z]+\.[a-z_]+)` \| ([^|]*) \|)");
    std::vector<Row> rows;
    for (std::sregex_iterator match(page.begin(), page.end(), row), end; match != end; ++match)
        rows.push_back({ .key = (*match)[1], .defaultValue = (*match)[2] });
    return rows;
}

// Returns the keys that src/base/Settings.cpp reads, each with its section.
std::set<std::string> keysOfProgram()
{
    std::istringstream lines(contentOf(SOURCE_FOLDER "/src/base/Settings.cpp"));
    const std::regex function(R"(void read([A-Z][a-z]+)\()");
    const std::regex read(R"(section\.(text|texts|number|time|seconds|flag)\("([a-z_]+)\")");
    std::string section;
    std::set<std::string> keys;
    for (std::string line; std::getline(lines, line);) {
        std::smatch match;
        if (std::regex_search(line, match, function)) {
            section = match[1];
            section[0] = static_cast<char>(std::tolower(section[0]));
        }
        if (std::regex_search(line, match, read))
            keys.insert(section + "." + match[2].str());
    }
    return keys;
}

// Returns a minimal settings file with the key added to its section.
std::string fileWith(const std::string& key, const std::string& value)
{
    const auto dot = key.find('.');
    const std::string section = key.substr(0, dot);
    const std::string line = key.substr(dot + 1) + " = " + value + "\n";
    std::string text = "[process]\nrole = \"entry\"\ninstance = \"i\"\nlisten = \"127.0.0.1:1\"\ndata_centre = \"d\"\n";
    if (section == "process")
        text += line;
    text += "[control]\npeers = [\"127.0.0.1:2\"]\n";
    if (section == "control")
        text += line;
    if (section != "process" && section != "control")
        text += "[" + section + "]\n" + line;
    return text;
}

} // namespace

Test(SettingsPage, describesEveryKeyAndNoOther)
{
    std::set<std::string> described;
    for (const auto& row : rowsOfPage())
        described.insert(row.key);
    for (const auto& key : keysOfProgram())
        cr_assert(described.contains(key), "docs/SETTINGS.md does not describe %s", key.c_str());
    for (const auto& key : described)
        cr_assert(keysOfProgram().contains(key), "docs/SETTINGS.md describes %s, which no program reads", key.c_str());
}

Test(SettingsPage, givesDefaultsThatTheProgramAccepts)
{
    const std::regex number("`([0-9]+)`");
    std::size_t checked = 0;
    for (const auto& row : rowsOfPage()) {
        std::smatch match;
        if (!std::regex_match(row.defaultValue, match, number))
            continue;
        const auto settings = parseSettings(fileWith(row.key, match[1]), "page.toml");
        cr_assert(settings.has_value(), "%s = %s: %s", row.key.c_str(), match[1].str().c_str(),
            settings.has_value() ? "" : settings.assume_error().message.c_str());
        ++checked;
    }
    cr_assert(checked >= 10, "expected at least 10 numbers, got %zu", checked);
}

Test(SettingsPage, givesTheDefaultsOfTheProgram)
{
    const Settings settings;
    struct Default {
        std::string key;
        std::int64_t value { 0 };
    };
    const std::vector<Default> defaults {
        { "control.lease_ms", settings.lease.count },
        { "control.session_timeout_ms", settings.sessionTimeout.count },
        { "control.heartbeat_ms", settings.heartbeat.count },
        { "limits.max_body_bytes", settings.maxBodyBytes },
        { "limits.max_id_bytes", settings.maxIdBytes },
        { "limits.max_tasks_per_job", settings.maxTasksPerJob },
        { "limits.max_queued_tasks", settings.maxQueuedTasks },
        { "limits.max_wait_ms", settings.maxWait.count },
        { "limits.answer_retention_ms", settings.answerRetention.count },
        { "sidecar.prefetch", settings.prefetch },
        { "sidecar.max_run_time_ms", settings.maxRunTime.count },
        { "sidecar.minion_timeout_ms", settings.minionTimeout.count },
        { "shutdown.grace_ms", settings.shutdownGrace.count },
    };
    const auto rows = rowsOfPage();
    for (const auto& each : defaults) {
        const auto row
            = std::find_if(rows.begin(), rows.end(), [&each](const Row& candidate) { return candidate.key == each.key; });
        cr_assert(row != rows.end(), "no row for %s", each.key.c_str());
        const std::string expected = fmt::format("`{}`", each.value);
        cr_assert(row->defaultValue == expected, "%s: expected %s, got %s", each.key.c_str(), expected.c_str(),
            row->defaultValue.c_str());
    }
}
