#include "Standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

namespace standin {

namespace {

    const auto begin = std::chrono::steady_clock::now();

    sockaddr_in addressOf(const std::string& text)
    {
        const auto colon = text.rfind(':');
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
        inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
        return address;
    }

    bool sendAll(int descriptor, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) { return std::tolower(each); });
        return text;
    }

    std::map<std::string, std::string> headersOf(const std::string& head)
    {
        std::map<std::string, std::string> headers;
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string value = line.substr(colon + 1);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            value.erase(0, value.find_first_not_of(' '));
            headers[lower(line.substr(0, colon))] = value;
        }
        return headers;
    }

    enum class ReadEnd {
        Complete,
        Closed,
        Timeout,
    };

    // Reads one message with a Content-Length; what follows it stays in `buffer`.
    ReadEnd readMessage(int descriptor, std::string& buffer, std::string& head, std::string& body, std::int64_t until)
    {
        while (true) {
            const auto end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                head = buffer.substr(0, end + 2);
                const auto headers = headersOf(head);
                const auto length = headers.find("content-length");
                const std::size_t size = length == headers.end() ? 0 : static_cast<std::size_t>(std::atoll(length->second.c_str()));
                if (buffer.size() >= end + 4 + size) {
                    body = buffer.substr(end + 4, size);
                    buffer.erase(0, end + 4 + size);
                    return ReadEnd::Complete;
                }
            }
            const std::int64_t left = until - nowMs();
            if (left <= 0)
                return ReadEnd::Timeout;
            pollfd waiting { .fd = descriptor, .events = POLLIN, .revents = 0 };
            if (::poll(&waiting, 1, static_cast<int>(std::min<std::int64_t>(left, 1'000))) == 0)
                continue;
            char bytes[16'384];
            const ssize_t count = ::recv(descriptor, bytes, sizeof bytes, 0);
            if (count <= 0)
                return ReadEnd::Closed;
            buffer.append(bytes, static_cast<std::size_t>(count));
        }
    }

    std::string replaceAll(std::string text, const std::string& from, const std::string& to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
        return text;
    }

    std::string readText(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count();
}

void sleepMs(std::int64_t milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(milliseconds, 0))); }

void sleepUntil(std::int64_t timeMs) { sleepMs(timeMs - nowMs()); }

int freePort()
{
    // Below the range from which the system takes ports for outgoing channels, so that a process finds its port free when it starts again.
    constexpr int first = 20'000;
    constexpr int count = 12'000;
    static int next = static_cast<int>(std::random_device {}() % count);
    while (true) {
        const int port = first + next++ % count;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf("127.0.0.1:" + std::to_string(port));
        const bool isFree = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (isFree)
            return port;
    }
}

std::string toText(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::optional<Json::Value> toJson(const std::string& text)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string fault;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &fault))
        return std::nullopt;
    return value;
}

Record::Record(const std::string& path)
    : m_file(path)
{
}

void Record::line(const std::string& text)
{
    const std::lock_guard guard(m_mutex);
    m_file << nowMs() << " ms  " << text << std::endl;
}

Channel::Channel(const std::string& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = addressOf(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_descriptor = descriptor;
}

Channel::~Channel()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool Channel::send(const std::string& method, const std::string& path, const std::string& host, const std::string& body,
    const std::map<std::string, std::string>& headers)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return m_descriptor >= 0 && sendAll(m_descriptor, text + "\r\n" + body);
}

Reply Channel::receive(std::int64_t timeoutMs)
{
    Reply reply;
    std::string buffer;
    std::string head;
    const ReadEnd end = readMessage(m_descriptor, buffer, head, reply.body, nowMs() + timeoutMs);
    if (end != ReadEnd::Complete) {
        reply.error = end == ReadEnd::Closed ? "broken" : "timeout";
        reply.body.clear();
        return reply;
    }
    reply.status = std::atoi(head.c_str() + head.find(' ') + 1);
    const auto headers = headersOf(head);
    if (const auto location = headers.find("location"); location != headers.end())
        reply.location = location->second;
    return reply;
}

Reply request(const std::string& address, const std::string& method, const std::string& path, const std::string& host,
    const std::string& body, std::int64_t timeoutMs, const std::map<std::string, std::string>& headers)
{
    Channel channel(address);
    if (!channel.isOpen())
        return { .error = "refused" };
    if (!channel.send(method, path, host, body, headers))
        return { .error = "broken" };
    return channel.receive(timeoutMs);
}

HttpService::HttpService(int port, Handler handler)
    : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_handler(std::move(handler))
{
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf("127.0.0.1:" + std::to_string(port));
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(m_listener, 256) != 0) {
        std::cerr << "cannot listen on port " << port << std::endl;
        std::exit(exitNotRun);
    }
    m_acceptor = std::thread([this] {
        while (!m_stopped) {
            pollfd waiting { .fd = m_listener, .events = POLLIN, .revents = 0 };
            if (::poll(&waiting, 1, 50) <= 0)
                continue;
            const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const int flag = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &flag, sizeof flag);
            const std::lock_guard guard(m_mutex);
            m_open.push_back(descriptor);
            m_threads.emplace_back([this, descriptor] { serve(descriptor); });
        }
    });
}

HttpService::~HttpService() { stop(); }

void HttpService::stop()
{
    if (m_stopped.exchange(true))
        return;
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard guard(m_mutex);
        for (const int descriptor : m_open)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    for (auto& thread : m_threads)
        thread.join();
}

void HttpService::serve(int descriptor)
{
    std::string buffer;
    while (!m_stopped) {
        std::string head;
        Request message;
        if (readMessage(descriptor, buffer, head, message.body, nowMs() + 3'600'000) != ReadEnd::Complete)
            break;
        std::istringstream first(head);
        first >> message.method >> message.path;
        message.headers = headersOf(head);
        const auto reply = m_handler(message);
        if (!reply)
            continue;
        const std::string text = "HTTP/1.1 " + std::to_string(reply->status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
        if (!sendAll(descriptor, text))
            break;
    }
    const std::lock_guard guard(m_mutex);
    std::erase(m_open, descriptor);
    ::close(descriptor);
}

Minion::Minion(const MinionOptions& options, Record& record)
    : m_options(options)
    , m_record(record)
    , m_bornAt(nowMs())
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    const int port = freePort();
    m_address = "127.0.0.1:" + std::to_string(port);
    m_server = std::make_unique<HttpService>(port, [this](const Request& message) { return serve(message); });
    m_worker = std::thread([this] { work(); });
    m_heart = std::thread([this] { beat(); });
}

Minion::~Minion()
{
    {
        const std::lock_guard guard(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_server->stop();
    m_worker.join();
    m_heart.join();
}

std::vector<RunRecord> Minion::runs() const
{
    const std::lock_guard guard(m_mutex);
    return m_runs;
}

void Minion::setState(const std::string& state)
{
    const std::lock_guard guard(m_mutex);
    m_state = state;
}

Reply Minion::answer(int status, Json::Value body) const
{
    body["clockMs"] = static_cast<Json::Int64>(clockMs());
    body["born"] = static_cast<Json::Int64>(m_born);
    return { .status = status, .body = toText(body) };
}

std::optional<Reply> Minion::serve(const Request& message)
{
    const auto body = toJson(message.body);
    std::unique_lock guard(m_mutex);
    if (m_stopped)
        return std::nullopt;
    const auto expected = message.headers.find("oleanderport-expected-instance");
    if (expected != message.headers.end() && expected->second != m_options.id)
        return answer(421, Json::Value(Json::objectValue));
    if (!body)
        return answer(400, Json::Value(Json::objectValue));
    const std::uint64_t token = (*body)["fencingToken"].asUInt64();
    Json::Value refused(Json::objectValue);
    refused["reason"] = "fence";
    if (token < m_fence)
        return answer(409, refused);
    m_fence = token;
    if (message.path == "/run-start")
        return start(*body);
    if (message.path == "/run-stop")
        return stop(*body);
    if (message.path == "/hold")
        return hold(*body, guard);
    return answer(404, Json::Value(Json::objectValue));
}

Reply Minion::start(const Json::Value& body)
{
    const std::string task = body["task"].asString();
    const std::uint64_t run = body["runId"].asUInt64();
    const std::int64_t deadline = std::min<std::int64_t>(body["deadlineMs"].asInt64(), clockMs() + m_options.holdMaxMs);
    Json::Value refused(Json::objectValue);
    const bool isLate = body["deadlineMs"].asInt64() <= clockMs();
    if (!isLate)
        m_leaseEnd = std::max(m_leaseEnd, deadline);
    for (const auto& each : m_running) {
        if (each.task == task && each.run == run)
            return answer(200, Json::Value(Json::objectValue));
    }
    refused["reason"] = "late";
    if (isLate)
        return answer(409, refused);
    refused["reason"] = "old";
    if (m_highest.contains(task) && run <= m_highest[task])
        return answer(409, refused);
    const std::string spec = body["spec"].asString();
    std::int64_t work = 100;
    if (const auto at = spec.find("work="); at != std::string::npos)
        work = std::atoll(spec.c_str() + at + 5);
    m_runs.push_back({ .task = task, .run = run, .minion = m_options.id, .startedAt = nowMs(), .endedAt = -1, .how = {}, .spec = spec });
    m_running.push_back({ .task = task, .run = run, .startedAt = nowMs(), .endsAt = nowMs() + work, .cpu = 0, .isStopping = false, .record = m_runs.size() - 1 });
    m_record.line("minion " + m_options.id + " starts task " + task + " run " + std::to_string(run));
    m_changed.notify_all();
    return answer(200, Json::Value(Json::objectValue));
}

Reply Minion::stop(const Json::Value& body)
{
    const std::string task = body["task"].asString();
    const std::uint64_t run = body["runId"].asUInt64();
    m_highest[task] = std::max(m_highest[task], run);
    for (auto& each : m_running) {
        if (each.task != task || each.run != run || each.isStopping)
            continue;
        each.isStopping = true;
        each.endsAt = std::min(each.endsAt, nowMs() + m_options.stopMs);
        m_record.line("minion " + m_options.id + " is told to stop task " + task + " run " + std::to_string(run));
    }
    m_changed.notify_all();
    return answer(200, Json::Value(Json::objectValue));
}

Reply Minion::hold(const Json::Value& body, std::unique_lock<std::mutex>& guard)
{
    if (body.isMember("deadlineMs"))
        m_leaseEnd = std::max(m_leaseEnd, std::min<std::int64_t>(body["deadlineMs"].asInt64(), clockMs() + m_options.holdMaxMs));
    const std::uint64_t cursor = body["ackCursor"].asUInt64();
    std::erase_if(m_ended, [cursor](const Ended& each) { return each.number <= cursor; });
    m_changed.notify_all();
    const std::int64_t wait = std::min<std::int64_t>(body.get("waitMs", 0).asInt64(), 2'000);
    m_changed.wait_for(guard, std::chrono::milliseconds(wait), [this] { return m_stopped || !m_ended.empty(); });
    Json::Value reply(Json::objectValue);
    reply["running"] = Json::Value(Json::arrayValue);
    reply["finished"] = Json::Value(Json::arrayValue);
    for (const auto& each : m_running) {
        const std::int64_t whole = std::max<std::int64_t>(each.endsAt - each.startedAt, 1);
        Json::Value row(Json::arrayValue);
        row.append(each.task);
        row.append(static_cast<Json::UInt64>(each.run));
        row.append("");
        row.append(static_cast<Json::Int64>(std::clamp<std::int64_t>((nowMs() - each.startedAt) * 100 / whole, 0, 99)));
        row.append(static_cast<Json::Int64>(each.cpu));
        reply["running"].append(row);
    }
    for (const auto& each : m_ended) {
        Json::Value row(Json::arrayValue);
        row.append(static_cast<Json::UInt64>(each.number));
        row.append(each.task);
        row.append(static_cast<Json::UInt64>(each.run));
        row.append(each.how);
        row.append("");
        reply["finished"].append(row);
    }
    return answer(200, reply);
}

void Minion::end(std::size_t index, const std::string& how, std::int64_t at)
{
    const Running run = m_running[index];
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    m_highest[run.task] = std::max(m_highest[run.task], run.run);
    m_ended.push_back({ .number = ++m_lastEnd, .task = run.task, .run = run.run, .how = how });
    m_runs[run.record].endedAt = at;
    m_runs[run.record].how = how;
    m_record.line("minion " + m_options.id + " ends task " + run.task + " run " + std::to_string(run.run) + ": " + how);
    m_changed.notify_all();
}

void Minion::work()
{
    std::unique_lock guard(m_mutex);
    while (!m_stopped) {
        const std::int64_t now = nowMs();
        const bool isOver = clockMs() >= m_leaseEnd;
        for (std::size_t i = m_running.size(); i-- > 0;) {
            if (m_running[i].endsAt <= now)
                end(i, m_running[i].isStopping ? "stopped" : "done", now);
            else if (isOver)
                end(i, "lapsed", now);
        }
        m_changed.wait_for(guard, std::chrono::milliseconds(2));
    }
}

void Minion::beat()
{
    std::unique_lock guard(m_mutex);
    m_changed.wait_for(guard, std::chrono::milliseconds(m_options.firstReportAfterMs), [this] { return m_stopped; });
    while (!m_stopped) {
        Json::Value body(Json::objectValue);
        body["service"] = m_options.service;
        body["address"] = m_address;
        body["zone"] = m_options.zone;
        body["version"] = "v1";
        body["slots"] = 8;
        body["state"] = m_state;
        body["coldLeftMs"] = 0;
        body["capacity"]["cpu"] = static_cast<Json::Int64>(m_options.cpu);
        body["capacity"]["memMb"] = static_cast<Json::Int64>(m_options.memMb);
        body["capacity"]["gpu"] = 0;
        body["labels"].append(m_options.kind);
        body["labels"].append(m_options.rack);
        body["clockMs"] = static_cast<Json::Int64>(clockMs());
        body["born"] = static_cast<Json::Int64>(m_born);
        body["seq"] = static_cast<Json::UInt64>(++m_sequence);
        guard.unlock();
        const Reply reply = request(m_options.sidecar, "POST", "/Instances.Heartbeat/" + m_options.id, m_options.sidecar, toText(body), 1'000);
        guard.lock();
        const std::int64_t pause = reply.status == 200 ? m_options.heartbeatMs : 200;
        m_changed.wait_for(guard, std::chrono::milliseconds(pause), [this] { return m_stopped; });
        const std::int64_t until = nowMs() + 1;
        while (!m_stopped && nowMs() < until)
            m_changed.wait_for(guard, std::chrono::milliseconds(1));
    }
}

Deployment::Deployment(Record& record, int control, const std::vector<std::string>& entryZones, const std::vector<std::string>& sideZones)
    : m_record(record)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    for (const auto& zone : zones)
        m_zoneList += (m_zoneList.empty() ? "\"" : ", \"") + zone + "\"";
    const auto local = [] { return "127.0.0.1:" + std::to_string(freePort()); };
    for (int i = 0; i < control; ++i)
        controls.push_back({ .name = "core-" + std::to_string(i + 1), .role = "control", .zone = zones[static_cast<std::size_t>(i) % zones.size()], .control = local() });
    for (std::size_t i = 0; i < std::min<std::size_t>(controls.size(), 3); ++i)
        m_seedList += (m_seedList.empty() ? "\"" : ", \"") + controls[i].control + "\"";
    for (std::size_t i = 0; i < entryZones.size(); ++i)
        entries.push_back({ .name = "edge-" + std::to_string(i + 1), .role = "entry", .zone = entryZones[i], .front = local(), .ready = local() });
    for (std::size_t i = 0; i < sideZones.size(); ++i)
        sidecars.push_back({ .name = "side-" + std::to_string(i + 1), .role = "sidecar", .zone = sideZones[i], .control = local() });
    for (auto* nodes : { &controls, &entries, &sidecars }) {
        for (auto& node : *nodes) {
            const std::string data = m_folder + "/data-" + node.name;
            node.settings = m_folder + "/" + node.name + ".toml";
            const std::map<std::string, std::string> values { { "{{node}}", node.name }, { "{{listen.control}}", node.control }, { "{{zone}}", node.zone },
                { "{{dataDir}}", data }, { "{{bootstrap}}", "true" }, { "{{faultTolerance.machines}}", "1" }, { "{{bounds.catchUpS}}", "4" },
                { "{{ip}}:{{portRange.0}}", local() }, { "{{ip}}:{{portRange.1}}", local() } };
            std::ofstream(node.settings) << render("deploy/" + node.role + ".toml.template", values);
            node.command = { "target/oleanderport-platformd", "--settings", node.settings };
            if (node.role == "entry")
                node.command.insert(node.command.end(), { "--front", node.front, "--ready", node.ready });
            if (node.role == "sidecar")
                node.command.insert(node.command.end(), { "--minion", node.control });
        }
    }
}

std::string Deployment::render(const std::string& path, const std::map<std::string, std::string>& values) const
{
    std::string text = readText(path);
    if (text.empty()) {
        std::cerr << path << " is missing" << std::endl;
        std::exit(exitNotRun);
    }
    text = replaceAll(text, R"([{{#seeds}}"{{.}}"{{,}}{{/seeds}}])", "[" + m_seedList + "]");
    text = replaceAll(text, R"([{{#zones}}"{{@}}"{{,}}{{/zones}}])", "[" + m_zoneList + "]");
    text = replaceAll(text, "{{#bounds.resendMs}}", "");
    text = replaceAll(text, "{{/bounds.resendMs}}", "");
    text = replaceAll(text, "{{bounds.resendMs}}", "1300");
    for (const auto& [name, value] : values)
        text = replaceAll(text, name, value);
    if (text.find("{{") != std::string::npos) {
        std::cerr << path << " has a placeholder that the stand-in does not know" << std::endl;
        std::exit(exitNotRun);
    }
    return text;
}

Deployment::~Deployment()
{
    for (auto* nodes : { &entries, &sidecars, &controls }) {
        for (auto& node : *nodes) {
            if (node.pid > 0 && !node.exitStatus) {
                ::kill(node.pid, SIGKILL);
                ::waitpid(node.pid, nullptr, 0);
            }
        }
    }
    minions.clear();
    if (!std::getenv("KEEP_FOLDER"))
        std::filesystem::remove_all(m_folder);
    else
        std::cerr << m_folder << std::endl;
}

void Deployment::launch(Node& node)
{
    node.exitStatus.reset();
    const std::string output = m_folder + "/" + node.name + ".log";
    std::vector<char*> words;
    for (auto& word : node.command)
        words.push_back(word.data());
    words.push_back(nullptr);
    node.pid = ::fork();
    if (node.pid == 0) {
        // No process outlives the case, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execv(words[0], words.data());
        ::_exit(127);
    }
    m_record.line("platform starts " + node.name);
}

void Deployment::signal(Node& node, int number)
{
    m_record.line("platform sends signal " + std::to_string(number) + " to " + node.name);
    ::kill(node.pid, number);
}

bool Deployment::waitForEnd(Node& node, std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        int status = 0;
        if (::waitpid(node.pid, &status, WNOHANG) == node.pid) {
            node.exitStatus = status;
            m_record.line(node.name + " has ended with status " + std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status)));
            return true;
        }
        sleepMs(2);
    }
    return false;
}

Reply Deployment::putConfig(std::int64_t version, const std::vector<Route>& routes, const std::string& service)
{
    Json::Value config(Json::objectValue);
    config["version"] = static_cast<Json::Int64>(version);
    config["routes"] = Json::Value(Json::arrayValue);
    for (const auto& route : routes) {
        Json::Value row(Json::objectValue);
        row["name"] = route.name;
        row["host"] = route.host;
        row["pathPrefix"] = route.prefix;
        row["kind"] = "non_idempotent";
        row["timeoutMs"] = static_cast<Json::Int64>(route.timeoutMs);
        row["targetLatencyMs"] = static_cast<Json::Int64>(route.targetLatencyMs);
        row["priority"] = route.priority;
        row["service"] = route.service;
        row["maxAttempts"] = route.maxAttempts;
        row["stretch"] = route.stretch;
        config["routes"].append(row);
    }
    Json::Value row(Json::objectValue);
    row["name"] = service;
    row["healthPath"] = "/healthz";
    row["maxConns"] = 64;
    row["protocol"] = "h1";
    row["tls"] = false;
    row["coldStartS"] = 0.0;
    row["coldPerS"] = 0.0;
    row["rejectsOverload"] = true;
    row["standby"] = false;
    config["services"].append(row);
    config["limits"]["maxHeaderBytes"] = 16'384;
    config["limits"]["maxBodyBytes"] = 262'144;
    config["limits"]["headerTimeoutMs"] = 3'000;
    config["limits"]["idleTimeoutMs"] = 15'000;
    const std::string body = toText(config);
    Reply reply;
    for (int attempt = 0; attempt < 100; ++attempt) {
        const Node& node = controls[static_cast<std::size_t>(attempt) % controls.size()];
        reply = request(node.control, "POST", "/Config.Put", node.control, body, 1'000);
        if (reply.status == 307) {
            const std::string address = reply.location.substr(7, reply.location.find('/', 7) - 7);
            reply = request(address, "POST", "/Config.Put", address, body, 1'000);
        }
        if (reply.status == 200 || reply.status == 400)
            break;
        sleepMs(100);
    }
    m_record.line("operator puts configuration " + std::to_string(version) + ": " + std::to_string(reply.status));
    return reply;
}

Node* Deployment::leader()
{
    for (auto& node : controls) {
        if (node.pid > 0 && !node.exitStatus && request(node.control, "GET", "/Config.Get", node.control, "", 500).status == 200)
            return &node;
    }
    return nullptr;
}

Minion& Deployment::addMinion(std::size_t sidecar, const std::string& service, const std::function<void(MinionOptions&)>& change)
{
    const std::string number = std::to_string(sidecar + 1);
    MinionOptions options { .id = "i-" + number, .service = service, .zone = sidecars[sidecar].zone, .rack = "r" + number + "-1", .sidecar = sidecars[sidecar].control };
    if (change)
        change(options);
    minions.push_back(std::make_unique<Minion>(options, m_record));
    return *minions.back();
}

bool Deployment::start(const std::vector<Route>& routes, const std::string& service)
{
    for (auto* nodes : { &controls, &entries, &sidecars }) {
        for (auto& node : *nodes)
            launch(node);
    }
    for (std::size_t i = 0; i + emptySidecars < sidecars.size(); ++i)
        addMinion(i, service);
    if (putConfig(1, routes, service).status != 200)
        return false;
    const std::int64_t until = nowMs() + 20'000;
    for (const auto& node : entries) {
        while (request(node.ready, "GET", "/readyz", node.ready, "", 1'000).status != 200) {
            if (nowMs() > until)
                return false;
            sleepMs(50);
        }
    }
    // Sidecars have connected to their minions and to all entries by then.
    sleepMs(3'000);
    m_record.line("the deployment is ready");
    return true;
}

bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

} // namespace standin
