#include "control/RaftReplicator.h"

#include "control/ControlCodec.h"
#include "control/RaftCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include <sys/eventfd.h>
#include <unistd.h>

namespace oleanderport {

namespace {

    constexpr Milliseconds tickPeriod { 20 };
    constexpr Milliseconds callTimeout { 1'000 };
    // Much longer than a running peer takes to accept a connection.
    constexpr Milliseconds connectTimeout { 150 };
    constexpr std::size_t maxOutboxMessages = 64;
    // Percentages of the minimum election timeout; see RaftOptions.
    constexpr std::int64_t heartbeatPercent = 15;
    constexpr std::int64_t leaderLeasePercent = 80;
    constexpr std::int64_t wholePercent = 100;
    constexpr std::uint64_t snapshotEveryEntries = 1'000;
    // Entries since the snapshot are reapplied after a start, which delays the leader's first heartbeats.
    constexpr std::size_t snapshotEveryBytes = 2 * 1'048'576;
    // Raft messages are limited to the largest HTTP body divided by this: JSON encoding may enlarge them, and a call holds more
    // than entries.
    constexpr std::int64_t maxBodyDivisor = 8;
    constexpr std::size_t maxMessageBytes = 1'048'576;
    // Encoding a message of this size takes milliseconds.
    constexpr std::size_t largeMessageBytes = 65'536;
    constexpr const char* methodName = "raft";
    // While no leader is known, the voters that are heard are logged once per period.
    constexpr Milliseconds leaderlessLogPeriod { 2'000 };

    [[noreturn]] void stopProcess(const Error& error)
    {
        logError(LogLevel::Error, error);
        std::_Exit(EXIT_FAILURE);
    }

    std::size_t sizeOf(const RaftMessage& message)
    {
        std::size_t bytes = message.data.size();
        for (const auto& entry : message.entries)
            bytes += entry.data.size();
        return bytes;
    }

    std::string describe(const RaftMember& member)
    {
        constexpr std::size_t shownIncarnation = 8;
        return fmt::format("{}/{}", member.address, member.incarnation.substr(0, shownIncarnation));
    }

    std::string describe(const std::vector<RaftMember>& members)
    {
        std::string text;
        for (const auto& member : members)
            text += (text.empty() ? "" : " ") + describe(member);
        return text.empty() ? "none" : text;
    }

    std::size_t messageLimit(const Settings& settings)
    {
        return std::min(maxMessageBytes, static_cast<std::size_t>(settings.maxBodyBytes / maxBodyDivisor));
    }

} // namespace

class RaftReplicator::CompletionQueue {
public:
    CompletionQueue()
        : m_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    ~CompletionQueue() { ::close(m_descriptor); }
    CompletionQueue(const CompletionQueue&) = delete;
    CompletionQueue& operator=(const CompletionQueue&) = delete;

    int descriptor() const { return m_descriptor; }

    void add(const Result<std::uint64_t>& result)
    {
        {
            const std::lock_guard guard(m_mutex);
            m_results.push_back(result);
        }
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(m_descriptor, &one, sizeof one);
    }

    std::vector<Result<std::uint64_t>> take()
    {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto read = ::read(m_descriptor, &count, sizeof count);
        const std::lock_guard guard(m_mutex);
        return std::move(m_results);
    }

private:
    int m_descriptor;
    std::mutex m_mutex;
    std::vector<Result<std::uint64_t>> m_results;
};

RaftReplicator::RaftReplicator(Process& process, const ControlStateOptions& options)
    : m_process(process)
    , m_stateOptions(options)
    , m_state(options)
    , m_alive(std::make_shared<bool>(true))
{
    m_process.rpc.add(methodName, [this](const Json::Value& params, const RpcReply& reply) {
        receive(params);
        reply(Json::Value(Json::objectValue));
    });
    m_process.gaugeUpdaters.push_back([this] { setGauges(); });
}

void RaftReplicator::setGauges()
{
    if (!m_raft)
        return;
    m_process.metrics.set("control_leads", m_raft->leads() ? 1 : 0);
    m_process.metrics.set("control_term", static_cast<double>(m_raft->term()));
    m_process.metrics.set("control_commit_index", static_cast<double>(m_raft->commitIndex()));
    const RaftQuorum quorum = m_raft->quorum(Clock::now());
    m_process.metrics.set("control_voters", static_cast<double>(quorum.voters));
    m_process.metrics.set("control_voters_heard", static_cast<double>(quorum.heard.size()));
    m_process.metrics.set("control_bearable_losses", static_cast<double>(bearableLosses(quorum)));
    m_process.metrics.set("control_ready_learners", static_cast<double>(quorum.readyLearners));
}

RaftReplicator::~RaftReplicator()
{
    // The store's thread must end before the members that it reports to are destroyed.
    m_store.reset();
}

Result<void> RaftReplicator::start()
{
    const auto& peers = m_process.settings.controlPeers;
    const std::string& own = m_process.settings.advertise;
    // The voters of a group of fixed size are exactly its listed peers.
    const bool isListed = std::find(peers.begin(), peers.end(), own) != peers.end();
    if (!m_process.settings.toleratedLosses && !isListed) {
        return Error { .code = ErrorCode::BadSettings,
            .ran = Ran::No,
            .step = "control.start",
            .peer = own,
            .message = "control.peers does not contain this instance's own address" };
    }
    BOOST_OUTCOME_TRYV(open(false));
    m_tickTimer = m_process.loop.every(tickPeriod, [this] {
        perform(m_raft->tick(Clock::now()));
        reportQuorum(Clock::now());
    });
    return boost::outcome_v2::success();
}

Result<void> RaftReplicator::open(bool renewIncarnation)
{
    m_pendingWrites.clear();
    m_raft.reset();
    m_store.reset();
    m_completions = std::make_shared<CompletionQueue>();
    m_completionWatch = m_process.loop.onReadable(m_completions->descriptor(), [this] { processCompletions(); });
    BOOST_OUTCOME_TRY(m_store,
        LogStore::open({ .folder = m_process.settings.dataFolder,
                           .address = m_process.settings.advertise,
                           .dataCentre = m_process.settings.dataCentre,
                           .renewIncarnation = renewIncarnation,
                           .checkFileIdentity = m_process.settings.checkFileIdentity },
            [completions = m_completions](const Result<std::uint64_t>& result) { completions->add(result); }));
    const RaftStored& stored = m_store->stored();
    m_state = ControlState(m_stateOptions);
    m_applied = 0;
    m_snapshotIndex = 0;
    if (stored.snapshot)
        installSnapshot(*stored.snapshot);
    const Milliseconds election = m_process.settings.election;
    const RaftOptions options { .peers = m_process.settings.controlPeers,
        .targetVoters = targetVoters(m_process.settings.toleratedLosses),
        .replaceAfter = std::max(Milliseconds { m_process.settings.catchUp.count / 2 }, election * 2),
        .bootstrap = m_process.settings.bootstrap,
        .heartbeat = { election.count * heartbeatPercent / wholePercent },
        .minElectionTimeout = election,
        .maxElectionTimeout = election * 2,
        .leaderLease = { election.count * leaderLeasePercent / wholePercent },
        .verifyWait = m_process.settings.verifyWait,
        .maxBytesPerMessage = messageLimit(m_process.settings),
        .seed = makeRandomSeed() };
    m_raft = std::make_unique<Raft>(options, stored, Clock::now());
    const std::uint64_t last = m_raft->lastIndex();
    log(LogLevel::Info, { .step = "control.start", .peer = stored.self.incarnation },
        fmt::format("start {} with this data folder, last log entry {}", stored.boot, last));
    if (last == 0 && !options.bootstrap) {
        log(LogLevel::Warning, { .step = "control.start" },
            "the data folder is empty: waiting for the group to admit this instance. A new group is bootstrapped only by "
            "an instance with control.bootstrap = true");
    }
    return boost::outcome_v2::success();
}

void RaftReplicator::propose(decltype(ControlCommand::change) change, Done done)
{
    if (!isLeader()) {
        return done(Error { .code = ErrorCode::NotLeader,
            .ran = Ran::No,
            .step = "control.propose",
            .peer = leaderAddress(),
            .message = "this instance is not the leader" });
    }
    auto text = encodeForLog({ .stampUnix = Clock::unixNow(), .change = std::move(change) });
    if (!text.has_value())
        return done(text.assume_error());
    RaftActions actions = m_raft->propose({ std::move(text).assume_value() }, Clock::now());
    m_proposals[m_raft->lastIndex()] = { .term = m_raft->term(), .done = std::move(done) };
    perform(std::move(actions));
}

bool RaftReplicator::isLeader() const { return m_raft && m_raft->isConfirmedLeader(Clock::now()); }

std::string RaftReplicator::leaderAddress() const
{
    // A leader that is not confirmed knows no other leader.
    if (!m_raft || m_raft->leads())
        return {};
    return m_raft->leaderAddress();
}

std::vector<std::string> RaftReplicator::instances() const
{
    std::vector<std::string> addresses;
    if (!m_raft)
        return addresses;
    for (const auto& voter : m_raft->voters())
        addresses.push_back(voter.address);
    return addresses;
}

void RaftReplicator::receive(const Json::Value& params)
{
    if (!params.isObject() || !params["messages"].isArray()) {
        return logError(LogLevel::Error,
            { .code = ErrorCode::BadRequest, .ran = Ran::No, .step = "control.raft", .peer = {}, .message = "expected an object with an array \"messages\"" });
    }
    for (const auto& item : params["messages"]) {
        const auto message = raftMessageFromJson(item);
        const bool isForThisInstance = message.has_value() && message.assume_value().to == m_process.settings.advertise;
        if (!m_raft || !isForThisInstance)
            continue;
        reconnectIfHanging(message.assume_value().from.address);
        perform(m_raft->receive(message.assume_value(), Clock::now()));
    }
}

void RaftReplicator::processCompletions()
{
    const auto completions = m_completions;
    for (const auto& result : completions->take()) {
        // perform() may have rejoined with a new store; the remaining results belong to the old one.
        if (completions != m_completions)
            return;
        if (!result.has_value())
            stopProcess(result.assume_error());
        recordSyncTimes(result.assume_value());
        perform(m_raft->written(result.assume_value(), Clock::now()));
    }
}

void RaftReplicator::recordSyncTimes(std::uint64_t number)
{
    while (!m_pendingWrites.empty() && m_pendingWrites.front().first <= number) {
        m_process.metrics.observe("control_sync_milliseconds", static_cast<double>((Clock::now() - m_pendingWrites.front().second).count));
        m_pendingWrites.pop_front();
    }
}

void RaftReplicator::perform(RaftActions actions)
{
    if (actions.stale)
        return rejoin();
    for (auto& write : actions.writes) {
        m_pendingWrites.emplace_back(write.number, Clock::now());
        m_store->write(std::move(write));
    }
    for (auto& message : actions.send)
        send(std::move(message));
    if (actions.voterChange) {
        log(LogLevel::Info, { .step = "control.membership", .peer = actions.voterChange->member.address },
            fmt::format("{} voter {}: {}", actions.voterChange->adds ? "adding" : "removing", describe(actions.voterChange->member),
                voterChangeReasonName(actions.voterChange->reason)));
    }
    if (actions.install)
        installSnapshot(*actions.install);
    for (const auto& entry : actions.committed)
        apply(entry);
    compactIfDue();
    failLostProposals();
    reportLeaderChange();
}

void RaftReplicator::send(RaftMessage message)
{
    const bool isLarge = sizeOf(message) >= largeMessageBytes;
    PeerLink& link = m_links[{ message.to, isLarge ? MessageClass::Large : MessageClass::Small }];
    if (!link.client)
        connect(link, message.to);
    const std::string peer = message.to;
    link.outbox.push_back(std::move(message));
    // Dropped messages are resent by the Raft core where necessary.
    while (link.outbox.size() > maxOutboxMessages)
        link.outbox.pop_front();
    if (isLarge)
        return scheduleLargeFlush(peer);
    flush(link);
}

void RaftReplicator::scheduleLargeFlush(const std::string& peer)
{
    if (std::find(m_largeMessagePeers.begin(), m_largeMessagePeers.end(), peer) == m_largeMessagePeers.end())
        m_largeMessagePeers.push_back(peer);
    if (!m_largeFlushTimer)
        m_largeFlushTimer = m_process.loop.once({}, [this] { flushNextLarge(); });
}

void RaftReplicator::flushNextLarge()
{
    m_largeFlushTimer.reset();
    if (m_largeMessagePeers.empty())
        return;
    const std::string peer = m_largeMessagePeers.front();
    m_largeMessagePeers.pop_front();
    flush(m_links.at({ peer, MessageClass::Large }));
    if (!m_largeMessagePeers.empty())
        m_largeFlushTimer = m_process.loop.once({}, [this] { flushNextLarge(); });
}

void RaftReplicator::connect(PeerLink& link, const std::string& peer)
{
    const auto& routes = m_process.settings.controlRoutes;
    const auto route = routes.find(peer);
    link.client = std::make_unique<RpcClient>(m_process.loop, route == routes.end() ? peer : route->second);
}

void RaftReplicator::reconnectIfHanging(const std::string& peer)
{
    for (const MessageClass messageClass : { MessageClass::Small, MessageClass::Large }) {
        const auto found = m_links.find({ peer, messageClass });
        if (found == m_links.end())
            continue;
        PeerLink& link = found->second;
        const bool hangs = link.callInFlight && link.client->isConnecting() && Clock::now() >= link.callStartedAt + connectTimeout;
        if (!hangs)
            continue;
        ++link.abandonedCalls;
        link.callInFlight = false;
        connect(link, peer);
        flush(link);
    }
}

void RaftReplicator::flush(PeerLink& link)
{
    if (link.callInFlight || link.outbox.empty())
        return;
    Json::Value params;
    std::size_t bytes = 0;
    while (!link.outbox.empty()) {
        const RaftMessage& message = link.outbox.front();
        bytes += sizeOf(message);
        if (!params["messages"].empty() && bytes > messageLimit(m_process.settings))
            break;
        params["messages"].append(raftMessageToJson(message));
        link.outbox.pop_front();
    }
    link.callInFlight = true;
    link.callStartedAt = Clock::now();
    const std::weak_ptr<bool> alive = m_alive;
    link.client->call(methodName, params, callTimeout, [this, alive, &link, abandoned = link.abandonedCalls](const Result<Json::Value>&) {
        if (alive.expired() || abandoned != link.abandonedCalls)
            return;
        link.callInFlight = false;
        flush(link);
    });
}

void RaftReplicator::installSnapshot(const RaftSnapshot& snapshot)
{
    auto state = decodeState(snapshot.data, m_stateOptions);
    if (!state.has_value())
        stopProcess(state.assume_error());
    m_state = std::move(state).assume_value();
    m_applied = snapshot.index;
    m_snapshotIndex = snapshot.index;
    m_bytesSinceSnapshot = 0;
}

void RaftReplicator::apply(const RaftEntry& entry)
{
    m_applied = entry.index;
    m_bytesSinceSnapshot += entry.data.size();
    if (entry.kind == RaftEntryKind::Configuration) {
        const RaftMember& self = m_store->stored().self;
        if (std::find(entry.voters.begin(), entry.voters.end(), self) != entry.voters.end())
            m_process.events.record(EventKind::VoterAdmitted, { .detail = self.incarnation });
        log(LogLevel::Info, { .step = "control.membership" }, "voters: " + describe(entry.voters));
    }
    if (entry.kind != RaftEntryKind::Command)
        return;
    const auto outcome = applyCommand(entry);
    const auto proposal = m_proposals.find(entry.index);
    if (proposal == m_proposals.end())
        return;
    const Proposal own = std::move(proposal->second);
    m_proposals.erase(proposal);
    if (own.term == entry.term)
        return own.done(outcome);
    own.done(Error { .code = ErrorCode::Unavailable,
        .ran = Ran::Unknown,
        .step = "control.propose",
        .peer = leaderAddress(),
        .message = "another leader replaced the log entry of this change" });
}

Result<ControlOutcome> RaftReplicator::applyCommand(const RaftEntry& entry)
{
    const auto command = decodeCommand(entry.data);
    if (command.has_value())
        return m_state.apply(command.assume_value());
    // Going on without a change that other instances apply would give this one another state.
    if (isFromNewerProgram(entry.data))
        stopProcess(command.assume_error());
    m_process.metrics.add("control_unreadable_entries_total");
    Error skipped = command.assume_error();
    skipped.ran = Ran::No;
    skipped.message = fmt::format("skipped log entry {} of term {}, {} bytes: {}", entry.index, entry.term, entry.data.size(), skipped.message);
    logError(LogLevel::Error, skipped);
    return skipped;
}

void RaftReplicator::compactIfDue()
{
    if (m_applied < m_snapshotIndex + snapshotEveryEntries && m_bytesSinceSnapshot < snapshotEveryBytes)
        return;
    m_snapshotIndex = m_applied;
    m_bytesSinceSnapshot = 0;
    perform(m_raft->compact(m_applied, encodeState(m_state)));
}

void RaftReplicator::rejoin()
{
    log(LogLevel::Error, { .step = "control.start", .peer = m_process.settings.dataFolder },
        "the data folder is older than what this instance acknowledged: rejoining as a new member");
    const auto opened = open(true);
    if (!opened.has_value())
        stopProcess(opened.assume_error());
    failLostProposals();
}

void RaftReplicator::failLostProposals()
{
    if (m_raft->leads() || m_proposals.empty())
        return;
    auto lost = std::move(m_proposals);
    m_proposals.clear();
    for (const auto& [index, proposal] : lost) {
        proposal.done(Error { .code = ErrorCode::Unavailable,
            .ran = Ran::Unknown,
            .step = "control.propose",
            .peer = leaderAddress(),
            .message = "leadership was lost before the change was committed" });
    }
}

void RaftReplicator::reportQuorum(Milliseconds now)
{
    const bool hasLeader = m_raft->leads() || !m_raft->leaderAddress().empty();
    if (hasLeader || !m_leaderlessSince) {
        m_leaderlessSince = hasLeader ? std::nullopt : std::optional(now);
        m_leaderlessLogAt = now + leaderlessLogPeriod;
    } else if (now >= m_leaderlessLogAt) {
        m_leaderlessLogAt = now + leaderlessLogPeriod;
        const RaftQuorum quorum = m_raft->quorum(now);
        log(LogLevel::Warning, { .step = "control.quorum" },
            fmt::format("no leader for {} ms: {} of {} voters heard, {} needed; not heard: {}; this instance is {} voter",
                (now - *m_leaderlessSince).count, quorum.heard.size(), quorum.voters, quorum.needed, describe(quorum.silent),
                m_raft->isVoter() ? "a" : "no"));
    }
    if (!m_raft->leads()) {
        m_reportedLosses.reset();
        return;
    }
    const RaftQuorum quorum = m_raft->quorum(now);
    const std::int64_t losses = bearableLosses(quorum);
    if (std::exchange(m_reportedLosses, losses) == losses)
        return;
    log(losses > 0 ? LogLevel::Info : LogLevel::Warning, { .step = "control.quorum" },
        fmt::format("{} of {} voters heard, further losses borne: {}; not heard: {}; learners ready: {}", quorum.heard.size(), quorum.voters,
            losses, describe(quorum.silent), quorum.readyLearners));
}

void RaftReplicator::reportLeaderChange()
{
    const bool isConfirmed = isLeader();
    const bool changed = m_knownLeader != m_raft->leaderAddress();
    if (std::exchange(m_wasConfirmed, isConfirmed) != isConfirmed || changed)
        notifyLeaderChange();
    if (!changed)
        return;
    m_knownLeader = m_raft->leaderAddress();
    if (m_raft->leads())
        m_process.events.record(EventKind::LeaderElected, { .detail = fmt::format("term {}", m_raft->term()) });
    log(LogLevel::Info, { .step = "control.leader", .peer = m_knownLeader },
        m_knownLeader.empty() ? "no leader is known" : fmt::format("leader of term {}", m_raft->term()));
}

} // namespace oleanderport
