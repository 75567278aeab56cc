#include "control/LogStore.h"

#include "base/Log.h"
#include "control/LogFile.h"
#include "control/RaftCodec.h"
#include "policy/RaftLog.h"
#include "wire/MessageCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <random>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace oleanderport {

namespace {

    constexpr const char* logName = "log";
    constexpr const char* snapshotName = "snapshot";
    constexpr mode_t fileMode = 0644;
    // Header and state; both are written before the file is renamed to `log`.
    constexpr std::size_t initialFrames = 2;
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;

    // Distinguishes a file from a copy of it.
    struct FileIdentity {
        std::uint64_t inode { 0 };
        // Nanoseconds since 1970; zero if the file system records no birth time.
        std::int64_t birth { 0 };

        bool operator==(const FileIdentity&) const = default;
    };

    Result<FileIdentity> identityOf(int descriptor, const std::string& name)
    {
        struct statx status { };
        if (::statx(descriptor, "", AT_EMPTY_PATH, STATX_INO | STATX_BTIME, &status) != 0)
            return storageError(name, "inode and birth time cannot be read");
        FileIdentity identity { .inode = status.stx_ino };
        if ((status.stx_mask & STATX_BTIME) != 0)
            identity.birth = status.stx_btime.tv_sec * nanosecondsPerSecond + status.stx_btime.tv_nsec;
        return identity;
    }

    std::uint64_t randomNumber()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }

    std::string newIncarnation() { return fmt::format("{:016x}{:016x}", randomNumber(), randomNumber()); }

    Json::Value hardStateToJson(const RaftHardState& hard)
    {
        Json::Value value;
        value["term"] = static_cast<Json::UInt64>(hard.term);
        value["votedFor"] = hard.votedFor;
        return value;
    }

    // One write as an item of a batch. A snapshot is not included; it has its own file.
    Json::Value changeToJson(const RaftWrite& write)
    {
        Json::Value value(Json::objectValue);
        if (write.hard)
            value["hard"] = hardStateToJson(*write.hard);
        if (write.truncateAfter)
            value["truncateAfter"] = static_cast<Json::UInt64>(*write.truncateAfter);
        if (!write.entries.empty())
            value["entries"] = entriesToJson(write.entries);
        return value;
    }

    void applyChange(const RaftWrite& write, RaftHardState& hard, std::vector<RaftEntry>& entries)
    {
        if (write.hard)
            hard = *write.hard;
        if (write.truncateAfter)
            std::erase_if(entries, [&](const RaftEntry& entry) { return entry.index > *write.truncateAfter; });
        entries.insert(entries.end(), write.entries.begin(), write.entries.end());
    }

    Result<RaftWrite> changeFromJson(const Json::Value& value)
    {
        RaftWrite write;
        if (value.isMember("hard")) {
            write.hard = RaftHardState { .term = value["hard"]["term"].asUInt64(),
                .votedFor = value["hard"]["votedFor"].asString() };
        }
        if (value.isMember("truncateAfter"))
            write.truncateAfter = value["truncateAfter"].asUInt64();
        BOOST_OUTCOME_TRY(write.entries, entriesFromJson(value["entries"]));
        return write;
    }

    // Assigns a new incarnation and removes the state that belongs to the previous one.
    void resetIdentity(RaftStored& stored)
    {
        stored.self.incarnation = newIncarnation();
        stored.boot = 0;
        stored.hard.votedFor.clear();
    }

    struct LogHeader {
        std::string incarnation;
        std::uint64_t boot { 0 };
        FileIdentity identity;
    };

    Result<LogHeader> headerFrom(const std::string& payload)
    {
        BOOST_OUTCOME_TRY(const auto value, parseJson(payload));
        return LogHeader { .incarnation = value["incarnation"].asString(),
            .boot = value["boot"].asUInt64(),
            .identity = { .inode = value["inode"].asUInt64(), .birth = value["birth"].asInt64() } };
    }

    Result<void> applyBatch(const std::string& payload, RaftStored& stored)
    {
        BOOST_OUTCOME_TRY(const auto batch, parseJson(payload));
        for (const auto& item : batch) {
            BOOST_OUTCOME_TRY(const auto write, changeFromJson(item));
            applyChange(write, stored.hard, stored.entries);
        }
        return boost::outcome_v2::success();
    }

    Result<void> loadSnapshot(const std::string& folder, RaftStored& stored)
    {
        const std::string path = folder + "/" + snapshotName;
        const auto bytes = readFile(path);
        if (!bytes.has_value()) {
            if (bytes.assume_error().code == ErrorCode::NotFound)
                return boost::outcome_v2::success();
            return bytes.assume_error();
        }
        BOOST_OUTCOME_TRY(const auto frames, readFrames(bytes.assume_value(), 1, path));
        BOOST_OUTCOME_TRY(const auto value, parseJson(frames.payloads.front()));
        BOOST_OUTCOME_TRY(stored.snapshot, snapshotFromJson(value));
        return boost::outcome_v2::success();
    }

    Result<FileIdentity> identityAt(const std::string& path)
    {
        const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
        if (descriptor < 0)
            return storageError(path, "cannot be opened");
        auto identity = identityOf(descriptor, path);
        ::close(descriptor);
        return identity;
    }

    Result<void> checkContinuity(const RaftStored& stored, const std::string& path)
    {
        const std::uint64_t snapshotIndex = stored.snapshot ? stored.snapshot->index : 0;
        if (stored.entries.empty() || stored.entries.front().index <= snapshotIndex + 1)
            return boost::outcome_v2::success();
        return Error { .code = ErrorCode::Storage,
            .ran = Ran::No,
            .step = "control.log",
            .peer = path,
            .message = fmt::format("the log begins at entry {}, but the snapshot ends at entry {}: the files come from different "
                                   "folders. Move the data folder away and start with an empty one",
                stored.entries.front().index, snapshotIndex) };
    }

} // namespace

LogStore::LogStore(const LogStoreOptions& options, Done done)
    : m_options(options)
    , m_done(std::move(done))
{
}

Result<std::unique_ptr<LogStore>> LogStore::open(const LogStoreOptions& options, Done done)
{
    std::unique_ptr<LogStore> store(new LogStore(options, std::move(done)));
    std::error_code failed;
    std::filesystem::create_directories(options.folder, failed);
    if (failed) {
        errno = failed.value();
        return storageError(options.folder, "cannot be created");
    }
    const auto parent = std::filesystem::absolute(options.folder).parent_path();
    BOOST_OUTCOME_TRYV(syncFolder(parent.string()));
    BOOST_OUTCOME_TRYV(store->lock());
    BOOST_OUTCOME_TRYV(store->load());
    BOOST_OUTCOME_TRYV(store->rewriteLog());
    store->m_thread = std::thread([self = store.get()] { self->writeLoop(); });
    return store;
}

LogStore::~LogStore()
{
    {
        const std::lock_guard guard(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable())
        m_thread.join();
    if (m_logDescriptor >= 0)
        ::close(m_logDescriptor);
    if (m_lockDescriptor >= 0)
        ::close(m_lockDescriptor);
}

Result<void> LogStore::lock()
{
    const std::string path = m_options.folder + "/lock";
    m_lockDescriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (m_lockDescriptor < 0)
        return storageError(path, "cannot be opened");
    if (::flock(m_lockDescriptor, LOCK_EX | LOCK_NB) != 0)
        return storageError(path, "another process uses this data folder");
    return boost::outcome_v2::success();
}

Result<void> LogStore::load()
{
    const std::string path = m_options.folder + "/" + logName;
    m_stored.self.address = m_options.address;
    m_stored.self.dataCentre = m_options.dataCentre;
    m_stored.startNonce = randomNumber();
    BOOST_OUTCOME_TRYV(loadSnapshot(m_options.folder, m_stored));
    const auto bytes = readFile(path);
    if (bytes.has_value()) {
        BOOST_OUTCOME_TRYV(loadLog(bytes.assume_value(), path));
    } else if (bytes.assume_error().code == ErrorCode::NotFound) {
        // The snapshot doesn't record the votes and entries that followed it.
        resetIdentity(m_stored);
    } else {
        return bytes.assume_error();
    }
    BOOST_OUTCOME_TRYV(checkContinuity(m_stored, path));
    dropDisconnectedEntries(m_stored);
    ++m_stored.boot;
    m_content = { .hard = m_stored.hard, .entries = m_stored.entries };
    return boost::outcome_v2::success();
}

Result<void> LogStore::loadLog(const std::string& bytes, const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto frames, readFrames(bytes, initialFrames, path));
    if (frames.tornBytes > 0) {
        log(LogLevel::Warning, { .step = "control.log", .peer = path },
            fmt::format("truncated {} bytes of a torn batch that was never acknowledged", frames.tornBytes));
    }
    BOOST_OUTCOME_TRY(const auto header, headerFrom(frames.payloads.front()));
    for (std::size_t i = 1; i < frames.payloads.size(); ++i) {
        BOOST_OUTCOME_TRYV(applyBatch(frames.payloads[i], m_stored));
    }
    m_stored.self.incarnation = header.incarnation;
    m_stored.boot = header.boot;
    BOOST_OUTCOME_TRY(const auto identity, identityAt(path));
    const bool isCopy = m_options.checkFileIdentity && identity != header.identity;
    if (isCopy) {
        log(LogLevel::Warning, { .step = "control.log", .peer = path },
            "the folder was restored from a copy: rejoining as a new member");
    }
    if (isCopy || m_options.renewIncarnation)
        resetIdentity(m_stored);
    return boost::outcome_v2::success();
}

Result<void> LogStore::rewriteLog()
{
    const std::string path = m_options.folder + "/" + logName;
    const std::string temporary = path + ".new";
    // The previous log is kept until the rename, so the two files have different inodes.
    ::unlink(temporary.c_str());
    const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return storageError(temporary, "cannot be created");
    if (m_logDescriptor >= 0)
        ::close(m_logDescriptor);
    m_logDescriptor = descriptor;
    m_nextFrame = 0;
    BOOST_OUTCOME_TRY(const auto identity, identityOf(m_logDescriptor, temporary));
    Json::Value header;
    header["incarnation"] = m_stored.self.incarnation;
    header["boot"] = static_cast<Json::UInt64>(m_stored.boot);
    header["inode"] = static_cast<Json::UInt64>(identity.inode);
    header["birth"] = static_cast<Json::Int64>(identity.birth);
    Json::Value state(Json::arrayValue);
    state.append(changeToJson({ .hard = m_content.hard, .entries = m_content.entries }));
    BOOST_OUTCOME_TRYV(writeAll(m_logDescriptor, makeFrame(m_nextFrame++, writeJson(header)), temporary));
    BOOST_OUTCOME_TRYV(appendBatch(writeJson(state)));
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return storageError(path, "cannot be replaced");
    return syncFolder(m_options.folder);
}

void LogStore::write(RaftWrite write)
{
    {
        const std::lock_guard guard(m_mutex);
        m_queue.push_back(std::move(write));
    }
    m_wake.notify_one();
}

void LogStore::writeLoop()
{
    while (true) {
        std::vector<RaftWrite> batch;
        {
            std::unique_lock guard(m_mutex);
            m_wake.wait(guard, [this] { return m_stopping || !m_queue.empty(); });
            if (m_queue.empty())
                return;
            batch.swap(m_queue);
        }
        const auto written = writeBatch(batch);
        if (!written.has_value()) {
            m_done(written.assume_error());
            return;
        }
        m_done(batch.back().number);
    }
}

Result<void> LogStore::writeBatch(const std::vector<RaftWrite>& batch)
{
    const RaftWrite* snapshot = nullptr;
    Json::Value changes(Json::arrayValue);
    for (const auto& write : batch) {
        applyChange(write, m_content.hard, m_content.entries);
        if (write.snapshot) {
            snapshot = &write;
            std::erase_if(
                m_content.entries, [&](const RaftEntry& entry) { return entry.index < write.firstKept; });
        }
        changes.append(changeToJson(write));
    }
    if (!snapshot)
        return appendBatch(writeJson(changes));
    // The snapshot must be synced before the entries that it replaces are dropped.
    const std::string frame = makeFrame(0, writeJson(snapshotToJson(*snapshot->snapshot)));
    BOOST_OUTCOME_TRYV(replaceFile(m_options.folder, snapshotName, frame));
    return rewriteLog();
}

Result<void> LogStore::appendBatch(const std::string& payload)
{
    BOOST_OUTCOME_TRYV(writeAll(m_logDescriptor, makeFrame(m_nextFrame++, payload), m_options.folder));
    return syncFile(m_logDescriptor, m_options.folder);
}

} // namespace oleanderport
