#include "base/EnvironmentDocument.h"

#include "base/Digest.h"
#include "base/TomlReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <set>

namespace oleanderport {

namespace {

    constexpr NumberRange weightRange { 1, 1'000 };
    constexpr NumberRange queuedRange { 1, 10'000'000 };
    constexpr NumberRange tasksRange { 1, 100'000 };
    constexpr std::int64_t defaultMaxQueued = 20'000;
    constexpr std::int64_t defaultMaxTasksPerJob = 1'000;

    // Reads an array of tables, each through `readOne`.
    void readTables(TomlSection& root, const char* key, TomlFaults& faults,
        const std::function<void(TomlSection&)>& readOne)
    {
        const toml::node* node = root.find(key);
        if (!node)
            return;
        const auto* list = node->as_array();
        if (!list)
            return root.fault(key, "expected an array of tables");
        for (const auto& item : *list) {
            if (!item.is_table())
                return root.fault(key, "expected an array of tables");
            TomlSection section(item.as_table(), key, faults);
            section.require("name");
            readOne(section);
            section.finish();
        }
    }

    // A name together with the place at which it stands.
    struct PlacedName {
        std::string name;
        const toml::node* node { nullptr };
    };

    // The strings of one list, with their places.
    std::vector<PlacedName> namesIn(const toml::table& table, const char* key)
    {
        std::vector<PlacedName> names;
        const auto* list = table.get_as<toml::array>(key);
        if (!list)
            return names;
        for (const auto& item : *list) {
            if (item.is_string())
                names.push_back({ .name = item.as_string()->get(), .node = &item });
        }
        return names;
    }

    // The names of the tables of one array, with their places.
    std::vector<PlacedName> namesOfTables(const toml::table& document, const char* key)
    {
        std::vector<PlacedName> names;
        const auto* list = document.get_as<toml::array>(key);
        if (!list)
            return names;
        for (const auto& item : *list) {
            const auto* name = item.is_table() ? item.as_table()->get_as<std::string>("name") : nullptr;
            if (name)
                names.push_back({ .name = name->get(), .node = name });
        }
        return names;
    }

    std::vector<PlacedName> callersIn(const toml::table& document)
    {
        std::vector<PlacedName> callers;
        const auto* teams = document.get_as<toml::array>("team");
        if (!teams)
            return callers;
        for (const auto& team : *teams) {
            if (!team.is_table())
                continue;
            const auto names = namesIn(*team.as_table(), "callers");
            callers.insert(callers.end(), names.begin(), names.end());
        }
        return callers;
    }

    void checkNames(const std::vector<PlacedName>& names, std::string_view key, TomlFaults& faults)
    {
        std::set<std::string> seen;
        for (const auto& [name, node] : names) {
            if (name.empty())
                faults.add(node, key, "expected a name that is not empty");
            else if (!seen.insert(name).second)
                faults.add(node, key, fmt::format("'{}' stands twice", name));
        }
    }

    void checkTogether(const toml::table& document, const EnvironmentConfig& config, TomlFaults& faults)
    {
        checkNames(namesOfTables(document, "team"), "team.name", faults);
        checkNames(callersIn(document), "team.callers", faults);
        checkNames(namesOfTables(document, "service"), "service.name", faults);
        checkNames(namesIn(document, "data_centres"), "data_centres", faults);
        if (config.dataCentres.empty())
            faults.add(document.get("data_centres"), "data_centres", "expected at least one");
        if (config.deployment.empty())
            faults.add(document.get("deployment"), "deployment", "expected a name");
    }

} // namespace

Result<EnvironmentConfig> parseEnvironment(const std::string& text, const std::string& name)
{
    const auto bad = [&name](std::string message) {
        return Error { .code = ErrorCode::BadSettings,
            .ran = Ran::No,
            .step = "environment",
            .peer = name,
            .message = std::move(message) };
    };
    TomlFaults faults(name);
    toml::table document;
    try {
        document = toml::parse(text, name);
    } catch (const toml::parse_error& error) {
        return bad(fmt::format("{}:{}: {}", name, error.source().begin.line, std::string(error.description())));
    }
    EnvironmentConfig config;
    TomlSection root(&document, "", faults);
    // Former name of the key.
    root.text("environment", config.deployment);
    root.text("deployment", config.deployment);
    root.texts("data_centres", config.dataCentres);
    readTables(root, "team", faults, [&config](TomlSection& section) {
        TeamConfig team { .name = {}, .weight = 1, .maxQueued = defaultMaxQueued, .callers = {} };
        section.text("name", team.name);
        section.number("weight", team.weight, weightRange);
        section.number("max_queued", team.maxQueued, queuedRange);
        section.texts("callers", team.callers);
        config.teams.push_back(team);
    });
    readTables(root, "service", faults, [&config](TomlSection& section) {
        ServiceConfig service { .name = {}, .maxTasksPerJob = defaultMaxTasksPerJob };
        section.text("name", service.name);
        section.number("max_tasks_per_job", service.maxTasksPerJob, tasksRange);
        config.services.push_back(service);
    });
    root.finish();
    checkTogether(document, config, faults);
    if (!faults.empty())
        return bad(faults.text());
    config.digest = digestOf(text);
    return config;
}

} // namespace oleanderport
