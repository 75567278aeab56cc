#include "Standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace standin {

namespace {

    const auto origin = std::chrono::steady_clock::now();

    sockaddr_in socketAddress(const Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(address.port));
        inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
        return result;
    }

    int listenAt(const Address& address)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in target = socketAddress(address);
        if (bind(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 || listen(socket, 256) != 0)
            throw std::runtime_error("cannot listen at " + address.text());
        return socket;
    }

    void noDelay(int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    bool sendAll(int socket, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    struct Message {
        std::string first;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    std::string lower(std::string value)
    {
        std::transform(value.begin(), value.end(), value.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return value;
    }

    // Reads one message. `left` holds what came after the last one.
    std::optional<Message> readMessage(int socket, std::string& left, std::int64_t until)
    {
        const auto more = [&] {
            const std::int64_t wait = until - now();
            pollfd event { .fd = socket, .events = POLLIN, .revents = 0 };
            if (wait <= 0 || poll(&event, 1, static_cast<int>(std::min<std::int64_t>(wait, 1'000'000))) <= 0)
                return false;
            char buffer[65'536];
            const ssize_t count = recv(socket, buffer, sizeof buffer, 0);
            if (count <= 0)
                return false;
            left.append(buffer, static_cast<std::size_t>(count));
            return true;
        };
        std::size_t end = 0;
        while ((end = left.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return std::nullopt;
        }
        Message message;
        std::istringstream lines(left.substr(0, end));
        std::string line;
        std::getline(lines, line);
        message.first = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of(" \r") + 1);
            message.headers[lower(line.substr(0, colon))] = value;
        }
        const auto length = message.headers.find("content-length");
        const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
        while (left.size() < end + 4 + size) {
            if (!more())
                return std::nullopt;
        }
        message.body = left.substr(end + 4, size);
        left.erase(0, end + 4 + size);
        return message;
    }

    std::string quoted(const std::vector<Address>& addresses)
    {
        std::string list;
        for (const auto& address : addresses)
            list += (list.empty() ? "\"" : ", \"") + address.text() + "\"";
        return list;
    }

    // The processes that were started and not waited for yet; for the handler of signals that end a case early.
    constexpr std::size_t maxProcesses = 64;
    std::atomic<pid_t> started[maxProcesses];

    void noteStarted(pid_t pid)
    {
        for (auto& slot : started) {
            pid_t none = 0;
            if (slot.compare_exchange_strong(none, pid))
                return;
        }
    }

    void noteEnded(pid_t pid)
    {
        for (auto& slot : started) {
            pid_t known = pid;
            slot.compare_exchange_strong(known, 0);
        }
    }

    void endEarly(int)
    {
        for (auto& slot : started) {
            if (const pid_t pid = slot.load())
                kill(pid, SIGKILL);
        }
        _exit(couldNotRun);
    }

    int numberOf(const std::string& name) { return std::stoi(name.substr(name.rfind('-') + 1)); }
    std::string roleOf(const std::string& name) { return name.substr(0, name.rfind('-')); }

} // namespace

std::int64_t now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - origin).count();
}

void sleepFor(std::int64_t time) { std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(time, 0))); }
void sleepUntil(std::int64_t time) { sleepFor(time - now()); }

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (!m_file)
        throw std::runtime_error("cannot write " + path);
}

void Record::add(const std::string& line)
{
    const std::lock_guard guard(m_mutex);
    std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(now()) / 1000, line.c_str());
    std::fflush(m_file);
}

// From a block of ports that is kept for this case by a socket at its first one. Below the ports that the system gives to outgoing
// connections, so that none of these takes a port before its process listens, or while it is down.
Address freeAddress()
{
    constexpr int first = 12'000;
    constexpr int blocks = 300;
    constexpr int portsPerBlock = 64;
    static int next = 0;
    static int last = 0;
    static std::mt19937 random { std::random_device {}() };
    while (true) {
        if (next > last || next == 0) {
            const int base = first + std::uniform_int_distribution<int>(0, blocks - 1)(random) * portsPerBlock;
            try {
                listenAt({ .port = base });
            } catch (const std::exception&) {
                // Another case has this block.
                continue;
            }
            next = base + 1;
            last = base + portsPerBlock - 1;
        }
        const Address address { .port = next++ };
        try {
            close(listenAt(address));
            return address;
        } catch (const std::exception&) {
            // Taken; the next one is tried.
        }
    }
}

Answer call(const Request& request)
{
    const std::int64_t until = now() + request.timeout;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(request.to);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        close(socket);
        return {};
    }
    noDelay(socket);
    std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + (request.host.empty() ? request.to.text() : request.host) + "\r\n";
    for (const auto& header : request.headers)
        bytes += header + "\r\n";
    if (!request.body.empty())
        bytes += "Content-Type: application/json\r\n";
    if (!request.body.empty() || request.method == "POST")
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    bytes += "\r\n" + request.body;
    Answer answer;
    std::string left;
    if (sendAll(socket, bytes)) {
        if (const auto message = readMessage(socket, left, until)) {
            answer.status = std::atoi(message->first.c_str() + message->first.find(' ') + 1);
            answer.body = message->body;
            if (answer.status == 307)
                answer.body = message->headers.at("location");
        }
    }
    close(socket);
    return answer;
}

std::string text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::optional<Json::Value> parse(const std::string& source)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    if (!reader->parse(source.data(), source.data() + source.size(), &value, nullptr))
        return std::nullopt;
    return value;
}

Minion::Minion(Options options)
    : m_options(std::move(options))
{
}

Minion::~Minion()
{
    crash();
    {
        const std::lock_guard guard(m_mutex);
        m_isEnding = true;
    }
    // A thread may have begun others.
    for (std::vector<std::thread> threads; !(threads = takeThreads()).empty();) {
        for (auto& thread : threads)
            thread.join();
    }
}

std::vector<std::thread> Minion::takeThreads()
{
    const std::lock_guard guard(m_mutex);
    return std::exchange(m_threads, {});
}

void Minion::start(std::int64_t reportAfter)
{
    const std::lock_guard guard(m_mutex);
    m_life = ++m_lives;
    m_listener = listenAt(m_options.address);
    m_clockOrigin = now();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_leaseEnd = m_fence = m_lastEnd = m_sequence = 0;
    m_lastRun.clear();
    m_ended.clear();
    m_options.record->add(m_options.name + " begins life " + std::to_string(m_life) + " of kind " + m_options.kind);
    m_threads.emplace_back([this, listener = m_listener, life = m_life] { acceptLoop(listener, life); });
    m_threads.emplace_back([this, life = m_life] { timerLoop(life); });
    m_threads.emplace_back([this, life = m_life, reportAfter] { reportLoop(life, reportAfter); });
}

void Minion::crash()
{
    const std::lock_guard guard(m_mutex);
    if (m_life == 0)
        return;
    m_life = 0;
    shutdown(m_listener, SHUT_RDWR);
    close(m_listener);
    for (const int socket : m_sockets)
        shutdown(socket, SHUT_RDWR);
    while (!m_running.empty())
        end(std::string(m_running.begin()->first), "crash");
    m_options.record->add(m_options.name + " is down");
    m_changed.notify_all();
}

std::vector<Run> Minion::runs() const
{
    const std::lock_guard guard(m_mutex);
    std::vector<Run> all = m_all;
    for (const auto& [task, work] : m_running)
        all.push_back(work.run);
    return all;
}

std::size_t Minion::running() const
{
    const std::lock_guard guard(m_mutex);
    return m_running.size();
}

std::int64_t Minion::clock() const { return now() - m_clockOrigin; }

void Minion::acceptLoop(int listener, std::int64_t life)
{
    while (true) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard guard(m_mutex);
        if (m_life != life) {
            if (socket >= 0)
                close(socket);
            return;
        }
        if (socket < 0)
            continue;
        noDelay(socket);
        m_sockets.insert(socket);
        m_threads.emplace_back([this, socket, life] { serve(socket, life); });
    }
}

void Minion::serve(int socket, std::int64_t life)
{
    std::string left;
    while (true) {
        const auto message = readMessage(socket, left, now() + 600'000);
        if (!message)
            break;
        const auto begin = message->first.find(' ');
        const std::string path = message->first.substr(begin + 1, message->first.rfind(' ') - begin - 1);
        const auto order = path == "/run-start" && m_options.startDelay ? parse(message->body) : std::nullopt;
        if (const std::int64_t delay = order ? m_options.startDelay((*order)["task"].asString()) : 0) {
            carryOutLater(path, message->headers, message->body, delay);
            // The caller gives up waiting and closes the channel.
            readMessage(socket, left, now() + 600'000);
            break;
        }
        const Answer reply = handle(path, message->headers, message->body, life);
        if (reply.status == 0
            || !sendAll(socket, "HTTP/1.1 " + std::to_string(reply.status) + " OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body))
            break;
    }
    const std::lock_guard guard(m_mutex);
    m_sockets.erase(socket);
    close(socket);
}

Answer Minion::answer(int status, Json::Value body) const
{
    body["clockMs"] = static_cast<Json::Int64>(clock());
    return { .status = status, .body = text(body) };
}

Answer Minion::handle(const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t life)
{
    std::unique_lock lock(m_mutex);
    if (m_life != life)
        return {};
    if (path == "/healthz")
        return answer(200, Json::Value(Json::objectValue));
    const auto expected = headers.find("oleanderport-expected-instance");
    if (expected != headers.end() && expected->second != m_options.name)
        return answer(421, Json::Value(Json::objectValue));
    const auto order = parse(body);
    if (!order || !order->isObject())
        return answer(400, Json::Value(Json::objectValue));
    const std::int64_t token = (*order)["fencingToken"].asInt64();
    if (token < m_fence) {
        Json::Value refusal;
        refusal["reason"] = "fence";
        return answer(409, refusal);
    }
    m_fence = token;
    if (path == "/run-start")
        return startRun(*order);
    if (path == "/run-stop")
        return stopRun(*order);
    if (path == "/hold")
        return hold(*order, lock, life);
    return answer(404, Json::Value(Json::objectValue));
}

void Minion::carryOutLater(const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t delay)
{
    const std::lock_guard guard(m_mutex);
    m_threads.emplace_back([this, path, headers, body, due = now() + delay] {
        while (now() < due) {
            sleepFor(std::min<std::int64_t>(due - now(), 20));
            const std::lock_guard ending(m_mutex);
            if (m_isEnding)
                return;
        }
        std::int64_t life = 0;
        {
            const std::lock_guard present(m_mutex);
            life = m_life;
        }
        const Answer answer = handle(path, headers, body, life);
        m_options.record->add(m_options.name + " carries out a late order: " + std::to_string(answer.status) + " " + answer.body);
    });
}

void Minion::extendLease(const Json::Value& order)
{
    const std::int64_t deadline = order["deadlineMs"].asInt64();
    m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clock() + m_options.holdMaxMs));
}

Answer Minion::startRun(const Json::Value& order)
{
    const std::string task = order["task"].asString();
    const std::int64_t run = order["runId"].asInt64();
    Json::Value refusal;
    if (order["deadlineMs"].asInt64() <= clock()) {
        refusal["reason"] = "late";
        return answer(409, refusal);
    }
    extendLease(order);
    const auto there = m_running.find(task);
    if (there != m_running.end() && there->second.run.run == run)
        return answer(200, Json::Value(Json::objectValue));
    const auto last = m_lastRun.find(task);
    if ((last != m_lastRun.end() && run <= last->second) || there != m_running.end()) {
        refusal["reason"] = "old";
        return answer(409, refusal);
    }
    const std::string spec = order["spec"].asString();
    Work work { .run = { .task = task, .run = run, .spec = spec, .began = now(), .minion = m_options.name, .kind = m_options.kind }, .needsUntil = now() + m_options.workMs(spec) };
    m_options.record->add(m_options.name + " (kind " + m_options.kind + ") starts " + task + " run " + std::to_string(run) + " spec " + spec);
    m_running[task] = work;
    m_changed.notify_all();
    return answer(200, Json::Value(Json::objectValue));
}

Answer Minion::stopRun(const Json::Value& order)
{
    const std::string task = order["task"].asString();
    const std::int64_t run = order["runId"].asInt64();
    m_lastRun[task] = std::max(m_lastRun[task], run);
    const auto there = m_running.find(task);
    if (there != m_running.end() && there->second.run.run <= run)
        end(task, "stopped");
    return answer(200, Json::Value(Json::objectValue));
}

void Minion::end(const std::string& task, const char* how)
{
    const auto found = m_running.find(task);
    Run run = found->second.run;
    run.ended = now();
    run.how = how;
    m_lastRun[task] = std::max(m_lastRun[task], run.run);
    m_running.erase(found);
    m_all.push_back(run);
    m_ended.push_back({ .number = ++m_lastEnd, .run = run });
    m_options.record->add(m_options.name + " ends " + task + " run " + std::to_string(run.run) + ": " + how);
    m_changed.notify_all();
}

Json::Value Minion::lists() const
{
    Json::Value body(Json::objectValue);
    body["born"] = static_cast<Json::Int64>(m_born);
    body["running"] = Json::Value(Json::arrayValue);
    body["finished"] = Json::Value(Json::arrayValue);
    for (const auto& [task, work] : m_running) {
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(static_cast<Json::Int64>(work.run.run));
        row.append("");
        const std::int64_t whole = std::max<std::int64_t>(work.needsUntil - work.run.began, 1);
        row.append(static_cast<Json::Int64>(std::min<std::int64_t>((now() - work.run.began) * 100 / whole, 99)));
        row.append(1000);
        body["running"].append(row);
    }
    for (const auto& item : m_ended) {
        Json::Value row(Json::arrayValue);
        row.append(static_cast<Json::Int64>(item.number));
        row.append(item.run.task);
        row.append(static_cast<Json::Int64>(item.run.run));
        row.append(item.run.how);
        row.append("");
        if (body["finished"].size() < 500)
            body["finished"].append(row);
    }
    return body;
}

Answer Minion::hold(const Json::Value& order, std::unique_lock<std::mutex>& lock, std::int64_t life)
{
    if (order.isMember("deadlineMs"))
        extendLease(order);
    const std::int64_t cursor = order["ackCursor"].asInt64();
    std::erase_if(m_ended, [cursor](const End& each) { return each.number <= cursor; });
    const std::int64_t until = now() + std::min<std::int64_t>(order["waitMs"].asInt64(), 2'000);
    while (m_ended.empty() && m_life == life && now() < until)
        m_changed.wait_for(lock, std::chrono::milliseconds(until - now()));
    if (m_life != life)
        return {};
    return answer(200, lists());
}

void Minion::timerLoop(std::int64_t life)
{
    while (true) {
        sleepFor(1);
        const std::lock_guard guard(m_mutex);
        if (m_life != life)
            return;
        std::vector<std::pair<std::string, const char*>> over;
        for (const auto& [task, work] : m_running) {
            if (clock() >= m_leaseEnd)
                over.emplace_back(task, "lapsed");
            else if (now() >= work.needsUntil)
                over.emplace_back(task, "done");
        }
        for (const auto& [task, how] : over)
            end(task, how);
    }
}

void Minion::reportLoop(std::int64_t life, std::int64_t after)
{
    std::int64_t next = now() + after;
    while (true) {
        while (now() < next) {
            sleepFor(std::min<std::int64_t>(next - now(), 20));
            const std::lock_guard guard(m_mutex);
            if (m_life != life)
                return;
        }
        next += m_options.heartbeatMs;
        Request request { .method = "POST", .to = m_options.sidecar, .path = "/Instances.Heartbeat/" + m_options.name };
        {
            const std::lock_guard guard(m_mutex);
            if (m_life != life)
                return;
            Json::Value body;
            body["service"] = m_options.service;
            body["address"] = m_options.address.text();
            body["zone"] = m_options.zone;
            body["version"] = "v1";
            body["slots"] = 8;
            body["state"] = "ready";
            body["coldLeftMs"] = 0;
            body["capacity"]["cpu"] = static_cast<Json::Int64>(m_options.cpu);
            body["capacity"]["memMb"] = static_cast<Json::Int64>(m_options.memMb);
            body["capacity"]["gpu"] = 0;
            body["labels"].append(m_options.kind);
            body["labels"].append(m_options.rack);
            body["clockMs"] = static_cast<Json::Int64>(clock());
            body["born"] = static_cast<Json::Int64>(m_born);
            body["seq"] = static_cast<Json::Int64>(++m_sequence);
            request.body = text(body);
        }
        call(request);
    }
}

Deployment::Deployment(Options options)
    : m_options(std::move(options))
{
    for (int i = 0; i < m_options.controls; ++i) {
        m_controls.push_back(freeAddress());
        m_controlMetrics.push_back(freeAddress());
    }
    for (int i = 0; i < m_options.entries; ++i) {
        m_fronts.push_back(freeAddress());
        m_readies.push_back(freeAddress());
        m_entryListens.push_back(freeAddress());
    }
    for (int i = 0; i < m_options.sidecars; ++i) {
        m_reports.push_back(freeAddress());
        m_sidecarListens.push_back(freeAddress());
        m_streams.push_back(freeAddress());
    }
}

Deployment::~Deployment()
{
    for (const auto& [name, pid] : m_pids) {
        if (pid <= 0)
            continue;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        noteEnded(pid);
    }
}

// The settings that the templates beside the deploy file give.
std::string Deployment::settings(const std::string& name) const
{
    const std::string role = roleOf(name);
    const auto number = static_cast<std::size_t>(numberOf(name));
    const Address listen = role == "control" ? m_controls[number] : role == "entry" ? m_entryListens[number]
                                                                                    : m_sidecarListens[number];
    std::string text = "[process]\nrole = \"" + role + "\"\ninstance = \"" + name + "\"\nlisten = \"" + listen.text() + "\"\n";
    if (role == "control")
        text += "metrics_listen = \"" + m_controlMetrics[number].text() + "\"\n";
    text += "data_centre = \"" + zone(static_cast<int>(number)) + "\"\n\n[control]\npeers = [" + quoted(m_controls) + "]\n";
    if (role == "control") {
        return text + "data_folder = \"" + m_options.folder + "/" + name + "-data\"\nbootstrap = true\ncheck_file_identity = false\n"
            + "data_centres = [\"zone-1\", \"zone-2\", \"zone-3\"]\nlease_ms = 15000\nsession_timeout_ms = 16000\ntimeout_ms = 1500\n"
            + "tolerated_losses = 1\ncatch_up_s = 4\nelection_ms = 400\nverify_wait_ms = 1500\n";
    }
    text += "timeout_ms = 1500\n";
    if (role == "sidecar")
        text += "\n[sidecar]\nstream_listen = \"" + m_streams[number].text() + "\"\nresubmit_after_ms = 1300\n";
    return text + "\n[shutdown]\ngrace_ms = 5000\n";
}

pid_t Deployment::start(const std::string& name)
{
    const std::string file = m_options.folder + "/" + name + ".toml";
    std::ofstream(file) << settings(name);
    std::vector<std::string> words { m_options.program, "--settings", file };
    const auto number = static_cast<std::size_t>(numberOf(name));
    if (roleOf(name) == "entry")
        words.insert(words.end(), { "--front", m_fronts[number].text(), "--ready", m_readies[number].text() });
    if (roleOf(name) == "sidecar")
        words.insert(words.end(), { "--minion", m_reports[number].text() });
    std::vector<char*> arguments;
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string log = m_options.folder + "/" + name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("OLEANDERPORT_CONFIG", file.c_str(), 1);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    m_pids[name] = pid;
    noteStarted(pid);
    m_options.record->add("process " + name + " started");
    return pid;
}

void Deployment::startAll()
{
    for (int i = 0; i < m_options.controls; ++i)
        start("control-" + std::to_string(i));
    for (int i = 0; i < m_options.entries; ++i)
        start("entry-" + std::to_string(i));
    for (int i = 0; i < m_options.sidecars; ++i)
        start("sidecar-" + std::to_string(i));
}

void Deployment::signal(const std::string& name, int number)
{
    m_options.record->add("process " + name + " gets signal " + std::to_string(number));
    kill(m_pids.at(name), number);
}

void Deployment::reap(const std::string& name)
{
    waitpid(m_pids.at(name), nullptr, 0);
    noteEnded(m_pids.at(name));
    m_pids.at(name) = 0;
    m_options.record->add("process " + name + " has ended");
}

bool Deployment::isRunning(const std::string& name)
{
    pid_t& pid = m_pids.at(name);
    if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) {
        noteEnded(pid);
        pid = 0;
    }
    return pid > 0;
}

bool Deployment::order(const std::string& path, const std::string& body, std::int64_t timeout)
{
    const std::int64_t until = now() + timeout;
    for (std::size_t i = 0; now() < until; ++i) {
        Address to = m_controls[i % m_controls.size()];
        Answer answer = call({ .method = "POST", .to = to, .path = path, .body = body });
        for (int redirects = 0; answer.status == 307 && redirects < 2; ++redirects) {
            const std::string rest = answer.body.substr(answer.body.find("//") + 2);
            to = { .ip = rest.substr(0, rest.find(':')), .port = std::atoi(rest.c_str() + rest.find(':') + 1) };
            answer = call({ .method = "POST", .to = to, .path = path, .body = body });
        }
        if (answer.status == 200) {
            m_options.record->add("operator: " + path + " is acknowledged");
            return true;
        }
        sleepFor(100);
    }
    return false;
}

bool Deployment::waitUntilReady(std::int64_t timeout)
{
    const std::int64_t until = now() + timeout;
    for (const auto& address : m_readies) {
        while (call({ .method = "GET", .to = address, .path = "/readyz" }).status != 200) {
            if (now() >= until)
                return false;
            sleepFor(50);
        }
    }
    return true;
}

std::string config(std::int64_t version, const std::vector<Route>& routes, const std::vector<std::string>& services)
{
    Json::Value body;
    body["version"] = static_cast<Json::Int64>(version);
    body["routes"] = Json::Value(Json::arrayValue);
    for (const auto& each : routes) {
        Json::Value route;
        route["name"] = each.name;
        route["host"] = each.host;
        route["pathPrefix"] = each.prefix;
        route["kind"] = "non_idempotent";
        route["timeoutMs"] = static_cast<Json::Int64>(each.timeoutMs);
        route["targetLatencyMs"] = 60;
        route["priority"] = 0;
        route["service"] = each.service;
        route["maxAttempts"] = 4;
        route["stretch"] = 1.6;
        body["routes"].append(route);
    }
    for (const auto& each : services) {
        Json::Value service;
        service["name"] = each;
        service["healthPath"] = "/healthz";
        service["maxConns"] = 64;
        service["protocol"] = "h1";
        service["tls"] = false;
        service["coldStartS"] = 0.0;
        service["coldPerS"] = 0.0;
        service["rejectsOverload"] = true;
        service["standby"] = false;
        body["services"].append(service);
    }
    body["limits"]["maxHeaderBytes"] = 16'384;
    body["limits"]["maxBodyBytes"] = 262'144;
    body["limits"]["headerTimeoutMs"] = 3'000;
    body["limits"]["idleTimeoutMs"] = 15'000;
    return text(body);
}

Json::Value step(int count, std::int64_t estimatedMs, const std::vector<int>& after)
{
    Json::Value value;
    value["count"] = count;
    value["cpu"] = 6'200;
    value["memMb"] = 64;
    value["estimatedMs"] = static_cast<Json::Int64>(estimatedMs);
    for (const int each : after)
        value["after"].append(each);
    return value;
}

std::string job(const std::string& spec, const std::vector<Json::Value>& steps)
{
    Json::Value body;
    body["spec"] = spec;
    body["bestEffort"] = true;
    for (const auto& each : steps)
        body["steps"].append(each);
    return text(body);
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Scene::Scene(const std::string& folder, Record& target, const std::function<void(int number, Minion::Options&)>& adjust)
    : record(target)
    , deployment({ .sidecars = minionsInScene, .folder = folder, .record = &target })
{
    for (int i = 0; i < minionsInScene; ++i) {
        Minion::Options options { .name = "i-7f3a91c" + std::to_string(i),
            .address = freeAddress(),
            .sidecar = deployment.reports(i),
            .service = serviceName,
            .zone = Deployment::zone(i),
            .rack = "r1-" + std::to_string(i),
            .workMs = [](const std::string& spec) { return std::atoll(spec.c_str()); },
            .record = &target };
        if (adjust)
            adjust(i, options);
        minions.push_back(std::make_unique<Minion>(options));
    }
}

bool Scene::start(std::int64_t warmUp)
{
    deployment.startAll();
    for (const auto& minion : minions)
        minion->start();
    const Route route { .name = "r-3hwrr6x", .host = hostName, .prefix = prefix, .service = serviceName };
    if (!deployment.order("/Config.Put", config(1, { route }, { serviceName })) || !deployment.waitUntilReady())
        return false;
    sleepFor(warmUp);
    // A job at each entry shows that all serve.
    const std::int64_t until = now() + 10'000;
    for (int entry = 0, sent = 0; entry < 3; ++sent) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(sent));
        if (post(entry, id, job("20", { step(2, 20) }), 1'500).status == 200)
            ++entry;
        else if (now() >= until)
            return false;
        else
            sleepFor(200);
    }
    return true;
}

Answer Scene::post(int entry, const std::string& id, const std::string& body, std::int64_t timeBudget)
{
    record.add("client: POST " + id + " to entry-" + std::to_string(entry));
    const Answer answer = call({ .method = "POST",
        .to = deployment.front(entry),
        .path = prefix + id,
        .host = hostName,
        .body = body,
        .headers = { "Oleanderport-Deadline: " + std::to_string(timeBudget) },
        .timeout = timeBudget });
    record.add("client: POST " + id + " to entry-" + std::to_string(entry) + " is answered " + std::to_string(answer.status) + " " + answer.body);
    return answer;
}

Answer Scene::cancel(const Address& front, const std::string& who, const std::string& id)
{
    record.add("client: DELETE " + id + " to " + who);
    const Answer answer = call({ .method = "DELETE", .to = front, .path = prefix + id, .host = hostName });
    record.add("client: DELETE " + id + " to " + who + (answer.status == 0 ? " gets no answer" : " is answered " + std::to_string(answer.status) + " " + answer.body));
    return answer;
}

std::vector<Run> Scene::runsOf(const std::string& id) const
{
    std::vector<Run> found;
    for (const auto& minion : minions) {
        for (const auto& run : minion->runs()) {
            if (run.task.rfind(id + ".", 0) == 0)
                found.push_back(run);
        }
    }
    std::sort(found.begin(), found.end(), [](const Run& a, const Run& b) { return a.began < b.began; });
    return found;
}

int countUnasked(const Scene& scene, const std::string& id, std::int64_t acknowledgedAt)
{
    int found = 0;
    for (const auto& run : scene.runsOf(id)) {
        const std::int64_t startedAfter = run.began - acknowledgedAt;
        const std::int64_t ranUntil = (run.ended < 0 ? now() : run.ended) - acknowledgedAt;
        const bool startsLate = startedAfter > cancelMs;
        if (!startsLate && ranUntil <= cancelMs + stopGraceMs)
            continue;
        ++found;
        scene.record.add("BROKEN: " + run.task + (startsLate ? " starts " : " begun ") + std::to_string(startedAfter) + " ms and runs until "
            + std::to_string(ranUntil) + " ms after the cancel of its job was acknowledged");
    }
    return found;
}

int runCase(char** arguments, const std::function<int(const std::string& folder, Record&)>& play)
{
    for (const int number : { SIGTERM, SIGINT, SIGHUP })
        std::signal(number, endEarly);
    int result = couldNotRun;
    std::string folder;
    try {
        if (!arguments[1])
            throw std::runtime_error("expected the file of the record");
        Record record(arguments[1]);
        folder = std::filesystem::temp_directory_path().string() + "/oleanderport-review-XXXXXX";
        if (!mkdtemp(folder.data()))
            throw std::runtime_error("no temporary folder");
        result = play(folder, record);
        record.add("result " + std::to_string(result));
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "%s\n", exception.what());
    }
    std::error_code ignored;
    if (!folder.empty())
        std::filesystem::remove_all(folder, ignored);
    return result;
}

} // namespace standin
