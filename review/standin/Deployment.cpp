#include "Deployment.h"

#include "Ports.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace oleanderport::review {

namespace {

    constexpr Milliseconds checkPeriod { 5 };
    constexpr Milliseconds startTimeout { 20'000 };
    constexpr Milliseconds operatorTimeout { 1'000 };
    constexpr Milliseconds operatorPause { 200 };
    // Beyond its time budget a client waits this much longer, so that an answer at the last moment counts.
    constexpr Milliseconds clientSlack { 500 };
    constexpr std::size_t maxSeeds = 3;
    constexpr std::size_t maxRecordedText = 160;
    constexpr int maxRedirects = 2;
    // Delay after which the platform starts an ended process again.
    constexpr Milliseconds restartDelay { 500 };
    constexpr int statusOk = 200;
    constexpr int statusRedirect = 307;

    std::filesystem::path makeTemporaryFolder()
    {
        std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!mkdtemp(path.data()))
            throw CannotRun("no temporary folder");
        return path;
    }

    // `bootstrap` is true only when the whole system starts for the first time.
    void withoutBootstrap(const std::string& settingsPath)
    {
        std::ifstream file(settingsPath);
        std::string text { std::istreambuf_iterator<char>(file), {} };
        const std::string setting = "bootstrap = true";
        if (const auto found = text.find(setting); found != std::string::npos)
            std::ofstream(settingsPath) << text.replace(found, setting.size(), "bootstrap = false");
    }

    bool troubleFromEnvironment()
    {
        const char* value = std::getenv("TROUBLE");
        return !value || std::string(value) != "0";
    }

} // namespace

Deployment::Deployment(const std::filesystem::path& folder, DeploymentOptions options)
    : record((folder / "record.txt").string())
    , hasTrouble(troubleFromEnvironment())
    , m_folder(makeTemporaryFolder())
    , m_program(std::filesystem::absolute("target/oleanderport-platformd").string())
    , m_options(options)
    , m_processes(std::make_unique<ScenarioProcesses>(m_folder))
{
    if (!std::filesystem::exists(m_program))
        throw CannotRun("target/oleanderport-platformd does not exist: run the build of deploy/system.toml first");
    for (int i = 0; i < m_options.controls; ++i)
        m_controls.push_back({ .listen = freeLoopbackAddress(), .command = {} });
    for (int i = 0; i < m_options.entries; ++i)
        m_entries.push_back({ .front = freeLoopbackAddress(), .ready = freeLoopbackAddress(), .listen = freeLoopbackAddress() });
    for (int i = 0; i < m_options.sidecars; ++i)
        m_sidecars.push_back({ .reports = freeLoopbackAddress(), .listen = freeLoopbackAddress(), .streams = freeLoopbackAddress() });
    record.add(fmt::format("the disruption {}", hasTrouble ? "takes place" : "is left out"));
}

Deployment::~Deployment()
{
    // Ends the processes before their folder is removed.
    m_processes.reset();
    if (std::getenv("KEEP")) {
        record.add("logs in " + m_folder.string());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string Deployment::write(const std::string& name, const std::string& text) const
{
    std::string path = m_folder / (name + ".toml");
    std::ofstream(path) << text;
    return path;
}

// As deploy/*.template renders them.
std::string Deployment::settings(const std::string& role, const std::string& name, const std::string& zone, const std::string& listen) const
{
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min(m_controls.size(), maxSeeds); ++i)
        seeds.push_back(fmt::format("\"{}\"", m_controls[i].listen));
    std::string text = fmt::format("[process]\nrole = \"{}\"\ninstance = \"{}\"\nlisten = \"{}\"\ndata_centre = \"{}\"\n", role, name, listen, zone);
    if (role == "control")
        return text + fmt::format("metrics_listen = \"{}\"\n[control]\npeers = [{}]\n", freeLoopbackAddress(), fmt::join(seeds, ", "));
    return text + fmt::format("[control]\npeers = [{}]\ntimeout_ms = 1500\n[shutdown]\ngrace_ms = 5000\n", fmt::join(seeds, ", "));
}

void Deployment::start(const std::string& config)
{
    for (std::size_t i = 0; i < m_controls.size(); ++i) {
        const int number = static_cast<int>(i) + 1;
        const std::string name = fmt::format("control-{}", number);
        const std::string text = settings("control", name, zone(number), m_controls[i].listen)
            + fmt::format("data_folder = \"{}\"\nbootstrap = true\ncheck_file_identity = false\n"
                          "data_centres = [\"zone-1\", \"zone-2\", \"zone-3\"]\nlease_ms = 15000\nsession_timeout_ms = 16000\n"
                          "timeout_ms = 1500\ntolerated_losses = 1\ncatch_up_s = 4\nelection_ms = 400\nverify_wait_ms = 1500\n",
                (m_folder / (name + "-data")).string());
        m_controls[i].command = { m_program, "--settings", write(name, text) };
        m_processes->start(name, m_controls[i].command);
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const int number = static_cast<int>(i) + 1;
        const std::string name = fmt::format("entry-{}", number);
        const std::string path = write(name, settings("entry", name, zone(number), m_entries[i].listen));
        m_commands[name] = { m_program, "--settings", path, "--front", m_entries[i].front, "--ready", m_entries[i].ready };
        m_processes->start(name, m_commands[name]);
    }
    for (std::size_t i = 0; i < m_sidecars.size(); ++i) {
        const int number = static_cast<int>(i) + 1;
        const std::string name = fmt::format("sidecar-{}", number);
        const std::string text = settings("sidecar", name, zone(number), m_sidecars[i].listen)
            + fmt::format("[sidecar]\nstream_listen = \"{}\"\n", m_sidecars[i].streams);
        m_commands[name] = { m_program, "--settings", write(name, text), "--minion", m_sidecars[i].reports };
        m_processes->start(name, m_commands[name]);
    }
    publish(config);
    waitUntilReady();
}

std::shared_ptr<Request> Deployment::callControl(int control, const std::string& name, HttpCall message)
{
    std::string address = m_controls.at(static_cast<std::size_t>(control - 1)).listen;
    std::shared_ptr<Request> request;
    for (int redirects = 0; redirects <= maxRedirects; ++redirects) {
        request = call(fmt::format("{} at control-{}{}", name, control, redirects > 0 ? ", redirected" : ""), address, message);
        runUntil([&request] { return request->hasEnded(); }, startTimeout);
        const auto path = request->text.find(message.path);
        if (request->status != statusRedirect || path == std::string::npos)
            break;
        address = request->text.substr(0, path);
    }
    return request;
}

std::shared_ptr<Request> Deployment::putConfig(int control, const std::string& config)
{
    return callControl(control, "Config.Put", { .path = "/Config.Put", .body = config, .timeout = operatorTimeout });
}

std::shared_ptr<Request> Deployment::readConfig(int control)
{
    return callControl(control, "Config.Get", { .method = HttpMethod::Get, .path = "/Config.Get", .body = {}, .timeout = operatorTimeout });
}

void Deployment::publish(const std::string& config)
{
    const Milliseconds until = Clock::now() + startTimeout;
    for (int next = 0; Clock::now() < until; ++next) {
        if (putConfig(1 + next % controls(), config)->status == statusOk)
            return;
        runFor(operatorPause);
    }
    throw CannotRun("the config was not acknowledged");
}

void Deployment::kill(const std::vector<std::string>& processes)
{
    for (const auto& name : processes) {
        signal(name, SIGKILL, "SIGKILL");
        m_restarts.push_back(loop.once(restartDelay, [this, name] {
            m_processes->reap();
            record.add(name + " is started again");
            m_processes->start(name, m_commands.at(name));
        }));
    }
}

void Deployment::restartEndedControls()
{
    m_processes->reap();
    for (std::size_t i = 0; i < m_controls.size(); ++i) {
        ControlProcess& control = m_controls[i];
        const std::string name = fmt::format("control-{}", i + 1);
        if (control.command.empty() || m_processes->isRunning(name))
            continue;
        if (control.restartAt.count == 0) {
            ++m_controlEnds;
            control.restartAt = Clock::now() + restartDelay;
            record.add(fmt::format("{} ended by itself with {}", name, m_processes->exitCode(name).value_or(0)));
        } else if (Clock::now() >= control.restartAt) {
            control.restartAt = {};
            withoutBootstrap(control.command.back());
            record.add(name + " is started again");
            m_processes->start(name, control.command);
        }
    }
}

void Deployment::waitUntilReady()
{
    for (const auto& entry : m_entries) {
        const Milliseconds until = Clock::now() + startTimeout;
        while (true) {
            const auto request = call("", entry.ready, { .method = HttpMethod::Get, .path = "/readyz", .body = {}, .timeout = operatorTimeout });
            runUntil([&request] { return request->hasEnded(); }, startTimeout);
            if (request->status == statusOk)
                break;
            if (Clock::now() > until)
                throw CannotRun("an entry did not become ready");
            runFor(operatorPause);
        }
    }
}

std::shared_ptr<Request> Deployment::call(const std::string& name, const std::string& address, const HttpCall& message)
{
    auto request = std::make_shared<Request>();
    request->name = name;
    request->sentAt = Clock::now();
    request->connection = std::make_unique<HttpConnection>(loop, address);
    m_requests.push_back(request);
    if (!name.empty())
        record.add(name + " sent");
    request->connection->call(message, [this, request = request.get()](const Result<HttpAnswer>& answer) {
        request->endedAt = Clock::now();
        if (answer.has_value()) {
            request->status = answer.assume_value().status;
            const std::string& location = answer.assume_value().location;
            constexpr std::string_view scheme = "http://";
            request->text = location.empty() ? answer.assume_value().body : location.substr(scheme.size());
        } else {
            request->text = answer.assume_error().message;
        }
        if (!request->name.empty())
            record.add(fmt::format("{}: {} {}", request->name, request->isAnswered() ? std::to_string(request->status) : "no answer:",
                request->text.substr(0, maxRecordedText)));
    });
    return request;
}

std::shared_ptr<Request> Deployment::send(int entry, HttpMethod method, const std::string& path, const std::string& body, Milliseconds timeBudget)
{
    return sendThrough(clientAddress(entry), entry, method, path, body, timeBudget);
}

std::shared_ptr<Request> Deployment::sendThrough(
    const std::string& relay, int entry, HttpMethod method, const std::string& path, const std::string& body, Milliseconds timeBudget)
{
    const char* const verb = method == HttpMethod::Post ? "POST" : method == HttpMethod::Delete ? "DELETE"
                                                                                                : "GET";
    return call(fmt::format("{} {} at entry-{}", verb, path, entry), relay,
        { .method = method,
            .path = path,
            .body = body,
            .timeout = timeBudget + clientSlack,
            .headers = { { .name = "Oleanderport-Deadline", .value = std::to_string(timeBudget.count) } },
            .host = "shop.example" });
}

void Deployment::signal(const std::string& process, int number, const std::string& why)
{
    record.add(fmt::format("{}: {}", process, why));
    m_processes->signal(process, number);
}

std::optional<int> Deployment::exitCode(const std::string& process)
{
    m_processes->reap();
    return m_processes->exitCode(process);
}

void Deployment::runFor(Milliseconds time)
{
    const auto timer = loop.once(time, [this] { loop.stop(); });
    loop.run();
}

bool Deployment::runUntil(const std::function<bool()>& condition, Milliseconds timeout)
{
    const Milliseconds until = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() > until)
            return false;
        runFor(checkPeriod);
    }
    return true;
}

int runCase(const std::function<int()>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const int result = body();
        std::puts(result == ruleHeld ? "the rule held" : "the rule was broken");
        return result;
    } catch (const std::exception& exception) {
        std::printf("the case could not run: %s\n", exception.what());
        return couldNotRun;
    }
}

} // namespace oleanderport::review
