#include "base/Settings.h"

#include "base/TomlReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace oleanderport {

namespace {

    constexpr std::int64_t maxTimeMilliseconds = 3'600'000;
    constexpr std::int64_t minBodyBytes = 1024;
    constexpr std::int64_t maxBodyBytes = 256 * 1024 * 1024;
    constexpr std::int64_t minBufferedBodies = 3;
    constexpr std::int64_t maxBufferedBytes = 4 * maxBodyBytes;
    constexpr std::int64_t minDefaultBufferedBytes = 16 * 1024 * 1024;
    constexpr std::int64_t bufferedBodies = 4;
    constexpr std::int64_t maxToleratedLosses = 7;
    constexpr std::int64_t maxQueuedTasks = 1'000'000'000;
    constexpr NumberRange timeRange { 1, maxTimeMilliseconds };

    Error badSettings(std::string message, const std::string& file)
    {
        return Error { .code = ErrorCode::BadSettings,
            .ran = Ran::No,
            .step = "settings",
            .peer = file,
            .message = std::move(message) };
    }

    void readProcess(TomlSection section, Settings& settings)
    {
        std::string role;
        std::string level = std::string(logLevelName(settings.logLevel));
        section.require("role");
        section.require("instance");
        section.require("listen");
        section.text("role", role);
        section.text("instance", settings.instance);
        section.text("listen", settings.listen);
        settings.advertise = settings.listen;
        section.text("advertise", settings.advertise);
        section.text("data_centre", settings.dataCentre);
        section.text("metrics_listen", settings.metricsListen);
        section.text("environment", settings.environment);
        if (settings.environment != trialEnvironment && settings.environment != productionEnvironment)
            section.addError("environment", "expected trial or production");
        section.text("log_level", level);
        if (const auto known = roleFromName(role))
            settings.role = *known;
        else if (!role.empty())
            section.addError("role", "expected entry, sidecar or control");
        if (const auto known = logLevelFromName(level))
            settings.logLevel = *known;
        else
            section.addError("log_level", "expected debug, info, warning or error");
        section.reportUnknownKeys();
    }

    // Adds routes of the form PEER=ADDRESS.
    void addRoutes(const std::vector<std::string>& routes, TomlSection& section, Settings& settings)
    {
        for (const auto& route : routes) {
            const auto separator = route.find('=');
            if (separator == std::string::npos)
                section.addError("routes", "expected PEER=ADDRESS");
            else
                settings.controlRoutes[route.substr(0, separator)] = route.substr(separator + 1);
        }
    }

    void readControl(TomlSection section, Settings& settings)
    {
        section.require("peers");
        section.texts("peers", settings.controlPeers);
        section.text("data_folder", settings.dataFolder);
        section.flag("bootstrap", settings.bootstrap);
        section.flag("check_file_identity", settings.checkFileIdentity);
        std::vector<std::string> routes;
        section.texts("routes", routes);
        addRoutes(routes, section, settings);
        section.time("lease_ms", settings.lease, timeRange);
        section.time("session_timeout_ms", settings.sessionTimeout, timeRange);
        section.time("heartbeat_ms", settings.heartbeat, timeRange);
        section.time("timeout_ms", settings.controlTimeout, timeRange);
        std::int64_t losses = 0;
        section.number("tolerated_losses", losses, { 0, maxToleratedLosses });
        if (section.find("tolerated_losses"))
            settings.toleratedLosses = losses;
        section.seconds("catch_up_s", settings.catchUp, timeRange);
        section.time("election_ms", settings.election, timeRange);
        section.time("verify_wait_ms", settings.verifyWait, timeRange);
        section.texts("data_centres", settings.declaredDataCentres);
        if (settings.heartbeat * 2 > settings.lease)
            section.addError("heartbeat_ms", "expected at most half of lease_ms");
        if (settings.sessionTimeout < settings.lease)
            section.addError("session_timeout_ms", "expected at least lease_ms");
        section.reportUnknownKeys();
    }

    void readLimits(TomlSection section, Settings& settings)
    {
        section.number("max_body_bytes", settings.maxBodyBytes, { minBodyBytes, maxBodyBytes });
        std::int64_t buffered = 0;
        section.number("max_buffered_bytes", buffered, { minBodyBytes, maxBufferedBytes });
        if (section.find("max_buffered_bytes"))
            settings.maxBufferedBytes = buffered;
        // A request of the largest size has to fit into the half that requests in service may take.
        if (settings.maxBufferedBytes && *settings.maxBufferedBytes < minBufferedBodies * settings.maxBodyBytes)
            section.addError("max_buffered_bytes", "expected at least three times max_body_bytes");
        std::int64_t jsonValues = 0;
        section.number("max_json_values", jsonValues, { 1, maxBodyBytes });
        if (section.find("max_json_values"))
            settings.maxJsonValues = jsonValues;
        section.number("max_connections", settings.maxConnections, { 1, 1'000'000 });
        section.number("max_header_lines", settings.maxHeaderLines, { 1, 10'000 });
        section.number("max_id_bytes", settings.maxIdBytes, { 1, 1024 });
        section.number("max_tasks_per_job", settings.maxTasksPerJob, { 1, 100'000 });
        section.number("max_queued_tasks", settings.maxQueuedTasks, { 1, maxQueuedTasks });
        section.time("max_wait_ms", settings.maxWait, timeRange);
        section.time("answer_retention_ms", settings.answerRetention, timeRange);
        section.reportUnknownKeys();
    }

    void readSidecar(TomlSection section, Settings& settings)
    {
        section.number("prefetch", settings.prefetch, { 0, 1'000 });
        section.time("max_run_time_ms", settings.maxRunTime, timeRange);
        section.time("minion_timeout_ms", settings.minionTimeout, timeRange);
        section.text("stream_listen", settings.streamListen);
        settings.streamAdvertise = settings.streamListen;
        section.text("stream_advertise", settings.streamAdvertise);
        section.time("resubmit_after_ms", settings.resubmitAfter, timeRange);
        section.reportUnknownKeys();
    }

    void readPlacement(TomlSection section, Settings& settings)
    {
        section.flag("by_speed", settings.placeBySpeed);
        section.flag("separate_interference", settings.separateInterference);
        section.reportUnknownKeys();
    }

    void readShutdown(TomlSection section, Settings& settings)
    {
        section.time("grace_ms", settings.shutdownGrace, timeRange);
        section.time("accept_ms", settings.acceptWhileStopping, { 0, maxTimeMilliseconds });
        section.reportUnknownKeys();
    }

    void checkConsistency(const Settings& settings, TomlErrors& errors)
    {
        if (settings.role != Role::Control && settings.dataCentre.empty())
            errors.add(nullptr, "process.data_centre", "missing, but required for this role");
        if (settings.controlPeers.empty())
            errors.add(nullptr, "control.peers", "expected at least one address");
    }

} // namespace

std::size_t bufferedBytesLimit(const Settings& settings)
{
    return static_cast<std::size_t>(settings.maxBufferedBytes.value_or(std::max(settings.maxBodyBytes * bufferedBodies, minDefaultBufferedBytes)));
}

Result<Settings> parseSettings(const std::string& text, const std::string& name)
{
    TomlErrors errors(name);
    toml::table document;
    try {
        document = toml::parse(text, name);
    } catch (const toml::parse_error& error) {
        return badSettings(
            fmt::format("{}:{}: {}", name, error.source().begin.line, std::string(error.description())), name);
    }
    Settings settings;
    TomlSection root(&document, "", errors);
    const auto section = [&](const char* key) {
        const toml::node* node = root.find(key);
        if (node && !node->is_table())
            root.addError(key, "expected a table");
        return TomlSection(node ? node->as_table() : nullptr, key, errors);
    };
    readProcess(section("process"), settings);
    readControl(section("control"), settings);
    readLimits(section("limits"), settings);
    readSidecar(section("sidecar"), settings);
    readPlacement(section("placement"), settings);
    readShutdown(section("shutdown"), settings);
    root.reportUnknownKeys();
    checkConsistency(settings, errors);
    if (!errors.empty())
        return badSettings(errors.text(), name);
    return settings;
}

Result<Settings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return badSettings(path + ": cannot be read", path);
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace oleanderport
