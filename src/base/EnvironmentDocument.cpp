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
    constexpr NumberRange maxQueuedRange { 1, 10'000'000 };
    constexpr NumberRange maxTasksPerJobRange { 1, 100'000 };
    constexpr std::int64_t defaultMaxQueued = 20'000;
    constexpr std::int64_t defaultMaxTasksPerJob = 1'000;

    // Reads each table of an array of tables through `readTable`.
    void readTables(TomlSection& root, const char* key, TomlErrors& errors,
        const std::function<void(TomlSection&)>& readTable)
    {
        const toml::node* node = root.find(key);
        if (!node)
            return;
        const auto* list = node->as_array();
        if (!list)
            return root.addError(key, "expected an array of tables");
        for (const auto& item : *list) {
            if (!item.is_table())
                return root.addError(key, "expected an array of tables");
            TomlSection section(item.as_table(), key, errors);
            section.require("name");
            readTable(section);
            section.reportUnknownKeys();
        }
    }

    // A name with its node, which has the line number.
    struct LocatedName {
        std::string name;
        const toml::node* node { nullptr };
    };

    // Returns the strings of a list.
    std::vector<LocatedName> namesIn(const toml::table& table, const char* key)
    {
        std::vector<LocatedName> names;
        const auto* list = table.get_as<toml::array>(key);
        if (!list)
            return names;
        for (const auto& item : *list) {
            if (item.is_string())
                names.push_back({ .name = item.as_string()->get(), .node = &item });
        }
        return names;
    }

    // Returns the value of `name` of each table of an array.
    std::vector<LocatedName> namesOfTables(const toml::table& document, const char* key)
    {
        std::vector<LocatedName> names;
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

    std::vector<LocatedName> callersIn(const toml::table& document)
    {
        std::vector<LocatedName> callers;
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

    void checkNames(const std::vector<LocatedName>& names, std::string_view key, TomlErrors& errors)
    {
        std::set<std::string> seen;
        for (const auto& [name, node] : names) {
            if (name.empty())
                errors.add(node, key, "expected a non-empty name");
            else if (!seen.insert(name).second)
                errors.add(node, key, fmt::format("duplicate name '{}'", name));
        }
    }

    void checkConsistency(const toml::table& document, const EnvironmentConfig& config, TomlErrors& errors)
    {
        checkNames(namesOfTables(document, "team"), "team.name", errors);
        checkNames(callersIn(document), "team.callers", errors);
        checkNames(namesOfTables(document, "service"), "service.name", errors);
        checkNames(namesIn(document, "data_centres"), "data_centres", errors);
        if (config.dataCentres.empty())
            errors.add(document.get("data_centres"), "data_centres", "expected at least one data centre");
        if (config.deployment.empty())
            errors.add(document.get("deployment"), "deployment", "expected a name");
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
    TomlErrors errors(name);
    toml::table document;
    try {
        document = toml::parse(text, name);
    } catch (const toml::parse_error& error) {
        return bad(fmt::format("{}:{}: {}", name, error.source().begin.line, std::string(error.description())));
    }
    EnvironmentConfig config;
    TomlSection root(&document, "", errors);
    // Former name of `deployment`, still accepted.
    root.text("environment", config.deployment);
    root.text("deployment", config.deployment);
    root.texts("data_centres", config.dataCentres);
    readTables(root, "team", errors, [&config](TomlSection& section) {
        TeamConfig team { .name = {}, .weight = 1, .maxQueued = defaultMaxQueued, .callers = {} };
        section.text("name", team.name);
        section.number("weight", team.weight, weightRange);
        section.number("max_queued", team.maxQueued, maxQueuedRange);
        section.texts("callers", team.callers);
        config.teams.push_back(team);
    });
    readTables(root, "service", errors, [&config](TomlSection& section) {
        ServiceConfig service { .name = {}, .maxTasksPerJob = defaultMaxTasksPerJob };
        section.text("name", service.name);
        section.number("max_tasks_per_job", service.maxTasksPerJob, maxTasksPerJobRange);
        config.services.push_back(service);
    });
    root.reportUnknownKeys();
    checkConsistency(document, config, errors);
    if (!errors.empty())
        return bad(errors.text());
    config.digest = digestOf(text);
    return config;
}

} // namespace oleanderport
