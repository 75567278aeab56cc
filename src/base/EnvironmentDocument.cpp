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

    template <typename T>
    void checkUnique(const std::vector<T>& items, std::string_view key, TomlFaults& faults)
    {
        std::set<std::string> seen;
        for (const auto& item : items) {
            if (!seen.insert(item).second)
                faults.add(nullptr, key, fmt::format("'{}' stands twice", item));
        }
    }

    void checkTogether(const EnvironmentConfig& config, TomlFaults& faults)
    {
        std::vector<std::string> teams;
        std::vector<std::string> callers;
        std::vector<std::string> services;
        for (const auto& team : config.teams) {
            teams.push_back(team.name);
            callers.insert(callers.end(), team.callers.begin(), team.callers.end());
        }
        for (const auto& service : config.services)
            services.push_back(service.name);
        checkUnique(teams, "team.name", faults);
        checkUnique(callers, "team.callers", faults);
        checkUnique(services, "service.name", faults);
        checkUnique(config.dataCentres, "data_centres", faults);
        if (config.dataCentres.empty())
            faults.add(nullptr, "data_centres", "expected at least one");
        if (config.deployment.empty())
            faults.add(nullptr, "deployment", "expected a name");
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
    // The former name of the key is still read.
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
    checkTogether(config, faults);
    if (!faults.empty())
        return bad(faults.text());
    config.digest = digestOf(text);
    return config;
}

} // namespace oleanderport
