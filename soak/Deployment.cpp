#include "Deployment.h"

#include "support/RandomDraw.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace oleanderport::soak {

namespace {

    // Delay before an exited process is restarted, as the platform restarts it.
    constexpr Milliseconds restartDelay { 300 };
    // Grace period of a planned stop, as in deploy/*.template, and the value that a reload alternates it with.
    constexpr int graceMs = 5'000;
    constexpr int reloadedGraceMs = 4'900;

    // A slow process runs for a tenth of the time.
    constexpr Milliseconds slowStopped { 90 };
    constexpr Milliseconds slowRunning { 10 };

    // After this time a process has taken over its signals.
    constexpr Milliseconds signalsAfter { 1'000 };
    // See soak/Minion.cpp.
    constexpr int beginLateOrders = SIGUSR1;
    constexpr int endLateOrders = SIGUSR2;
    constexpr int crashOrStartAgain = SIGHUP;
    // Minions' clocks are up to this many thousandths slow.
    constexpr int maxSlowPerMille = 20;

    // Outgoing connections have 127.0.0.1, so none of them can have a port of the run.
    constexpr const char* host = "127.0.0.2";

    std::string numberOf(const std::string& name) { return name.substr(name.rfind('-') + 1); }

} // namespace

Deployment::Deployment(EventLoop& loop, DeploymentOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_processes(m_options.folder)
{
    for (const char* role : { "control", "entry", "sidecar", "minion" }) {
        for (const auto& name : names(role))
            m_states[name] = {};
    }
}

std::vector<std::string> Deployment::names(const std::string& role) const
{
    const Shape& shape = m_options.shape;
    const int count = role == "control" ? shape.controls : role == "entry" ? shape.entries
                                                                           : shape.sidecars;
    std::vector<std::string> list;
    for (int number = 1; number <= count; ++number)
        list.push_back(fmt::format("{}-{}", role, number));
    return list;
}

std::string Deployment::dataCentre(const std::string& name) const
{
    return fmt::format("dc-{}", 1 + (std::stoi(numberOf(name)) - 1) % m_options.shape.dataCentres);
}

std::string Deployment::listenerKey(const std::string& name) const
{
    const int replacements = m_states.at(name).replacements;
    return replacements == 0 ? name : fmt::format("{}/successor-{}", name, replacements);
}

std::uint16_t Deployment::port(const std::string& key)
{
    const auto next = static_cast<std::uint16_t>(m_options.basePort + m_ports.size());
    return m_ports.emplace(key, next).first->second;
}

std::string Deployment::localAddress(const std::string& key) { return fmt::format("{}:{}", host, port(key)); }

std::string Deployment::relayAddress(const std::string& key)
{
    auto& relay = m_relays[key];
    if (!relay) {
        relay = std::make_unique<FaultRelay>(m_loop, port("relay of " + key), port(key), host);
        if (const auto started = relay->start(); !started.has_value())
            throw std::runtime_error(describe(started.assume_error()));
    }
    return localAddress("relay of " + key);
}

std::string Deployment::address(const std::string& name)
{
    return relayAddress(roleOf(name) == "entry" ? name + "/front" : listenerKey(name));
}

std::vector<std::string> Deployment::listenAddresses()
{
    std::vector<std::string> addresses;
    for (const auto& [name, state] : m_states) {
        const std::string role = roleOf(name);
        if (role != "minion")
            addresses.push_back(localAddress(listenerKey(name)));
        if (role == "entry")
            addresses.insert(addresses.end(), { localAddress(name + "/front"), localAddress(name + "/ready") });
        if (role == "sidecar")
            addresses.insert(addresses.end(), { localAddress(name + "/stream"), localAddress(name + "/reports") });
    }
    return addresses;
}

std::map<std::string, std::size_t> Deployment::peakResidentBytes() const
{
    constexpr std::size_t kilobyte = 1024;
    std::map<std::string, std::size_t> peaks;
    for (const auto& [name, state] : m_states) {
        std::ifstream status(fmt::format("/proc/{}/status", m_processes.pid(name)));
        for (std::string line; roleOf(name) != "minion" && std::getline(status, line);) {
            if (line.rfind("VmHWM:", 0) == 0)
                peaks[name] = std::stoul(line.substr(6)) * kilobyte;
        }
    }
    return peaks;
}

std::string Deployment::settingsText(const std::string& name)
{
    std::vector<std::string> controls;
    for (const auto& control : names("control")) {
        if (controls.size() < 3)
            controls.push_back(fmt::format("\"{}\"", relayAddress(listenerKey(control))));
    }
    const std::string role = roleOf(name);
    std::string text = fmt::format("[process]\nrole = \"{}\"\ninstance = \"{}\"\nlisten = \"{}\"\nadvertise = \"{}\"\ndata_centre = \"{}\"\n",
        role, name, localAddress(listenerKey(name)), relayAddress(listenerKey(name)), dataCentre(name));
    const std::string accept = m_options.shape.hardLoad ? fmt::format("accept_ms = {}\n", graceMs) : "";
    text += fmt::format("[shutdown]\ngrace_ms = {}\n{}[control]\npeers = [{}]\ntimeout_ms = 1500\n",
        m_reloads % 2 == 0 ? graceMs : reloadedGraceMs, accept, fmt::join(controls, ", "));
    if (role == "entry" && m_options.shape.hardLoad)
        text += "[placement]\nby_speed = true\nseparate_interference = true\n";
    if (role == "sidecar")
        text += fmt::format("[sidecar]\nstream_listen = \"{}\"\nstream_advertise = \"{}\"\n", localAddress(name + "/stream"), relayAddress(name + "/stream"));
    if (role != "control")
        return text;
    std::vector<std::string> dataCentres;
    for (int number = 1; number <= m_options.shape.dataCentres; ++number)
        dataCentres.push_back(fmt::format("\"dc-{}\"", number));
    // The times are those of deploy/control.toml.template.
    return text
        + fmt::format("data_folder = \"{}\"\nbootstrap = {}\ndata_centres = [{}]\nlease_ms = 15000\nsession_timeout_ms = 16000\n"
                      "tolerated_losses = 1\nelection_ms = 400\nverify_wait_ms = 1500\ncheck_file_identity = false\n",
            dataFolder(name).string(), m_states.at(name).incarnation <= 1, fmt::join(dataCentres, ", "));
}

void Deployment::writeSettings(const std::string& name)
{
    std::ofstream(m_options.folder / (name + ".toml")) << settingsText(name);
}

void Deployment::startAll()
{
    for (auto& [name, state] : m_states) {
        state.shouldRun = true;
        start(name);
    }
}

void Deployment::start(const std::string& name)
{
    ProcessState& state = m_states.at(name);
    ++state.incarnation;
    state.restartAt.reset();
    state.startedAt = Clock::now();
    const std::string role = roleOf(name);
    const std::string number = numberOf(name);
    if (role == "minion") {
        std::vector<std::string> command { m_options.build / "soak-minion", "--listen", localAddress(name), "--advertise", relayAddress(name), "--sidecar",
            reportsAddress(number), "--id", "i-" + number, "--zone", dataCentre(name), "--rack", "r-" + number,
            "--record", recordFile(name), "--life", std::to_string(state.incarnation) };
        if (m_options.shape.lateMinions)
            command.insert(command.end(), { "--late", std::to_string((m_options.seed << 32) + (std::stoull(number) << 16) + static_cast<std::uint64_t>(state.incarnation)) });
        if (m_options.shape.minionFaults) {
            RandomDraw random((m_options.seed << 16) + std::stoull(number));
            // Every other clock keeps the time.
            const int slow = random.oneIn(2) ? 1 + random.below(maxSlowPerMille) : 0;
            command.insert(command.end(), { "--late-orders", std::to_string(random.number() + static_cast<std::uint64_t>(state.incarnation)), "--slow", std::to_string(slow) });
        }
        if (m_options.shape.impatientCallers)
            command.insert(command.end(), { "--irregular", std::to_string((m_options.seed << 24) + (std::stoull(number) << 8) + static_cast<std::uint64_t>(state.incarnation)) });
        if (m_options.shape.oddReports) {
            RandomDraw random(~((m_options.seed << 16) + (std::stoull(number) << 8) + static_cast<std::uint64_t>(state.incarnation)));
            command.insert(command.end(), { "--odd-reports", std::to_string(random.number()) });
        }
        if (m_options.shape.successors) {
            RandomDraw random(~((m_options.seed << 24) + (std::stoull(number) << 8) + static_cast<std::uint64_t>(state.incarnation)));
            command.insert(command.end(), { "--successors", std::to_string(random.number()) });
            // The others go on serving the queues.
            if (std::stoi(number) % 2 == 0)
                command.insert(command.end(), { "--other-service", otherService });
        }
        m_processes.start(name, command);
        return;
    }
    std::filesystem::create_directories(dataFolder(name));
    writeSettings(name);
    std::vector<std::string> command { m_options.build / "oleanderport-platformd", "--settings", m_options.folder / (name + ".toml") };
    if (role == "entry") {
        relayAddress(name + "/front");
        command.insert(command.end(), { "--front", localAddress(name + "/front"), "--ready", localAddress(name + "/ready") });
    }
    if (role == "sidecar")
        command.insert(command.end(), { "--minion", localAddress(name + "/reports") });
    m_processes.start(name, command);
}

void Deployment::injectFault(const PlannedFault& fault)
{
    switch (fault.kind) {
    case FaultKind::Kill:
        return kill(fault.target, fault.duration);
    case FaultKind::Wipe:
        kill(fault.target, fault.duration);
        std::filesystem::remove_all(dataFolder(fault.target));
        return;
    case FaultKind::Replace:
        return replace(fault.target, fault.duration);
    case FaultKind::KillAllControl:
        for (const auto& name : names("control"))
            kill(name, fault.duration);
        return;
    case FaultKind::KillTogether: {
        std::istringstream names(fault.target);
        for (std::string name; std::getline(names, name, '+');)
            kill(name, fault.duration);
        return;
    }
    case FaultKind::Pause:
        m_processes.signal(fault.target, SIGSTOP);
        m_faults.push_back({ .process = fault.target, .kind = "freeze", .from = Clock::now(), .until = Clock::now() + fault.duration });
        m_timers.push_back(m_loop.once(fault.duration, [this, name = fault.target] { m_processes.signal(name, SIGCONT); }));
        return;
    case FaultKind::Stop:
        return stop(fault.target);
    case FaultKind::Reload:
        return reload(fault.target);
    case FaultKind::Partition:
        return disturbConnections(fault, { .dropRequests = true, .dropAnswers = true });
    case FaultKind::PartitionInbound:
        return disturbConnections(fault, { .dropRequests = true });
    case FaultKind::PartitionOutbound:
        return disturbConnections(fault, { .dropAnswers = true });
    case FaultKind::Reset:
        return disturbConnections(fault, { .refuse = true });
    case FaultKind::LateReset:
        return disturbConnections(fault, { .refuse = true, .newsDelay = fault.delay });
    case FaultKind::Slow:
        recordFault(fault);
        return slowDown(fault.target, Clock::now() + fault.duration);
    case FaultKind::Delay:
        return disturbConnections(fault, { .delay = fault.delay });
    case FaultKind::LateOrders:
        return delayOrders(fault);
    case FaultKind::CrashBehindCut:
        return crashBehindCut(fault);
    case FaultKind::PathCut:
        return disturbPath(fault, { .dropRequests = true, .dropAnswers = true });
    case FaultKind::PathCutTowards:
        return disturbPath(fault, { .dropRequests = true });
    case FaultKind::PathCutFrom:
        return disturbPath(fault, { .dropAnswers = true });
    case FaultKind::PathHold:
        return disturbPath(fault, { .holdRequestsUntil = Clock::now() + fault.duration, .holdAnswersUntil = Clock::now() + fault.duration });
    case FaultKind::PathHoldTowards:
        return disturbPath(fault, { .holdRequestsUntil = Clock::now() + fault.duration });
    case FaultKind::PathHoldFrom:
        return disturbPath(fault, { .holdAnswersUntil = Clock::now() + fault.duration });
    case FaultKind::EvacuateDataCentre:
        throw std::runtime_error("a deployment can't evacuate a data centre; the operator does");
    }
}

void Deployment::kill(const std::string& name, Milliseconds restartAfter)
{
    ProcessState& state = m_states.at(name);
    const Milliseconds now = Clock::now();
    m_processes.signal(name, SIGKILL);
    m_incarnationEnds.try_emplace({ name, state.incarnation }, now);
    state.restartAt = now + restartAfter;
    // A kill ends a planned stop that was in progress.
    state.stopFault.reset();
    m_faults.push_back({ .process = name, .kind = "kill", .from = now, .until = now + restartAfter });
}

void Deployment::replace(const std::string& name, Milliseconds successorAfter)
{
    kill(name, successorAfter);
    std::filesystem::remove_all(dataFolder(name));
    m_relays.at(listenerKey(name))->setFault({ .dropRequests = true, .dropAnswers = true });
    ++m_states.at(name).replacements;
    // Running processes read the new addresses when their files change.
    for (const auto& [other, state] : m_states) {
        if (roleOf(other) != "minion" && other != name)
            writeSettings(other);
    }
}

void Deployment::stop(const std::string& name)
{
    ProcessState& state = m_states.at(name);
    if (state.isDown() || hasJustStarted(name))
        return;
    m_processes.signal(name, SIGTERM);
    state.stopFault = m_faults.size();
    m_faults.push_back({ .process = name, .kind = "stop", .from = Clock::now(), .until = Clock::now(), .planned = true });
}

void Deployment::reload(const std::string& name)
{
    ++m_reloads;
    // A stand-in minion has no settings file.
    if (roleOf(name) == "minion" || m_states.at(name).isDown() || hasJustStarted(name))
        return;
    writeSettings(name);
    m_processes.signal(name, SIGHUP);
    m_faults.push_back({ .process = name, .kind = "reload", .from = Clock::now(), .until = Clock::now(), .planned = true });
}

void Deployment::disturbConnections(const PlannedFault& fault, const RelayFault& how)
{
    setRelayFault(fault.target, how);
    recordFault(fault);
    m_timers.push_back(m_loop.once(fault.duration, [this, name = fault.target] { setRelayFault(name, {}); }));
}

void Deployment::recordFault(const PlannedFault& fault)
{
    m_faults.push_back(
        { .process = fault.target, .kind = faultKindName(fault.kind), .from = Clock::now(), .until = Clock::now() + fault.duration });
}

void Deployment::disturbPath(const PlannedFault& fault, const RelayFault& how)
{
    const auto between = fault.target.find('>');
    const std::string entry = fault.target.substr(0, between);
    // An entry names itself in the first bytes of a stream.
    FaultRelay& relay = *m_relays.at(fault.target.substr(between + 1) + "/stream");
    relay.setClientFault(entry, how);
    recordFault(fault);
    m_timers.push_back(m_loop.once(fault.duration, [&relay, entry] { relay.setClientFault(entry, {}); }));
}

std::string Deployment::reportsAddress(const std::string& number)
{
    const std::string key = "sidecar-" + number + "/reports";
    return m_options.shape.minionFaults ? relayAddress(key) : localAddress(key);
}

bool Deployment::hasJustStarted(const std::string& name) const
{
    return m_options.shape.impatientCallers && Clock::now() <= m_states.at(name).startedAt + signalsAfter;
}

bool Deployment::takesSignals(const std::string& minion) const
{
    const ProcessState& state = m_states.at(minion);
    return !state.isDown() && Clock::now() > state.startedAt + signalsAfter;
}

void Deployment::signalLater(const std::string& name, Milliseconds delay, int signalNumber)
{
    m_timers.push_back(m_loop.once(delay, [this, name, signalNumber, incarnation = m_states.at(name).incarnation] {
        if (m_states.at(name).incarnation == incarnation)
            m_processes.signal(name, signalNumber);
    }));
}

void Deployment::slowDown(const std::string& name, Milliseconds until)
{
    m_processes.signal(name, SIGSTOP);
    m_timers.push_back(m_loop.once(slowStopped, [this, name, until] {
        m_processes.signal(name, SIGCONT);
        if (Clock::now() < until)
            m_timers.push_back(m_loop.once(slowRunning, [this, name, until] { slowDown(name, until); }));
    }));
}

void Deployment::delayOrders(const PlannedFault& fault)
{
    if (!takesSignals(fault.target))
        return;
    m_processes.signal(fault.target, beginLateOrders);
    signalLater(fault.target, fault.duration, endLateOrders);
    recordFault(fault);
}

void Deployment::setMinionCut(const std::string& minion, bool isCut)
{
    const RelayFault fault { .dropRequests = isCut, .dropAnswers = isCut };
    setRelayFault(minion, fault);
    setRelayFault("sidecar-" + numberOf(minion) + "/reports", fault);
}

void Deployment::crashBehindCut(const PlannedFault& fault)
{
    if (!takesSignals(fault.target))
        return;
    setMinionCut(fault.target, true);
    signalLater(fault.target, fault.delay, crashOrStartAgain);
    signalLater(fault.target, { (fault.delay + fault.duration).count / 2 }, crashOrStartAgain);
    m_timers.push_back(m_loop.once(fault.duration, [this, name = fault.target] { setMinionCut(name, false); }));
    recordFault(fault);
}

void Deployment::setRelayFault(const std::string& name, const RelayFault& fault)
{
    for (const auto& [key, relay] : m_relays) {
        // The address of an instance that was replaced stays silent.
        const bool isFormer = roleOf(name) == "control" && key != listenerKey(name);
        if (!isFormer && (key == name || key.rfind(name + "/", 0) == 0))
            relay->setFault(fault);
    }
}

void Deployment::supervise()
{
    m_processes.reap();
    for (auto& [name, state] : m_states) {
        if (!state.shouldRun || m_processes.isRunning(name))
            continue;
        if (!state.restartAt)
            handleExit(name, state);
        if (Clock::now() >= *state.restartAt)
            start(name);
    }
}

void Deployment::handleExit(const std::string& name, ProcessState& state)
{
    const Milliseconds now = Clock::now();
    m_incarnationEnds.try_emplace({ name, state.incarnation }, now);
    state.restartAt = now + restartDelay;
    const int code = m_processes.exitCode(name).value_or(0);
    if (!state.stopFault || code != 0)
        m_unexpectedExits.push_back(fmt::format("{} exited with code {}{}", name, code, state.stopFault ? " during a planned stop" : ""));
    if (state.stopFault) {
        m_faults[*state.stopFault].exited = now;
        m_faults[*state.stopFault].until = now + restartDelay;
        state.stopFault.reset();
    }
}

void Deployment::stopAll()
{
    m_timers.clear();
    for (auto& [name, state] : m_states) {
        state.shouldRun = false;
        m_incarnationEnds.try_emplace({ name, state.incarnation }, Clock::now());
        m_processes.signal(name, SIGCONT);
        m_processes.signal(name, SIGKILL);
    }
}

std::vector<RunRecord> Deployment::runs() const
{
    std::vector<RunRecord> list;
    for (const auto& minion : names("minion")) {
        // The line format is described in soak/Minion.cpp.
        std::ifstream file(recordFile(minion));
        std::map<std::string, std::size_t> open;
        std::string event;
        RunRecord run { .minion = minion, .zone = dataCentre(minion) };
        std::map<int, Milliseconds> draining;
        for (std::int64_t at = 0; file >> event >> run.incarnation >> at;) {
            if (event == "draining") {
                draining.try_emplace(run.incarnation, Milliseconds { at });
                continue;
            }
            file >> run.task >> run.number;
            (event == "start" ? run.start : run.end) = { at };
            const std::string key = fmt::format("{} {} {}", run.incarnation, run.task, run.number);
            if (event == "start") {
                std::string order;
                file >> run.spec >> order >> run.ordered.count >> run.service;
                const auto drain = draining.find(run.incarnation);
                run.draining = drain == draining.end() || drain->second > run.ordered ? std::nullopt : std::optional(drain->second);
                run.isOfFormer = order == "former";
                const auto incarnation = m_incarnationEnds.find({ minion, run.incarnation });
                run.end = incarnation == m_incarnationEnds.end() ? Clock::now() : incarnation->second;
                run.how = "killed";
                open[key] = list.size();
                list.push_back(run);
                continue;
            }
            RunRecord& ended = list[open.at(key)];
            file >> ended.how >> ended.leaseEnd.count;
            ended.end = run.end;
            if (ended.how != "stopped")
                ended.leaseEnd = {};
        }
    }
    return list;
}

} // namespace oleanderport::soak
