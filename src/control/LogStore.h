#pragma once

#include "oleanderport/Error.h"
#include "policy/RaftMessages.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace oleanderport {

struct LogStoreOptions {
    std::string folder;
    // Address of this instance; identifies it as a member of the group together with the incarnation.
    std::string address;
    // Data centre of this instance.
    std::string dataCentre {};
    // Assign a new incarnation even if the folder is not a copy.
    bool renewIncarnation { false };
    // Treat the folder as a copy if the inode or birth time of its log file has changed. Must be off on file systems that assign
    // new ones at each start of the machine.
    bool checkFileIdentity { true };
};

// Keeps the log and the latest snapshot of one control instance in its data folder.
//
// The file `log` has one frame per synced batch, `snapshot` has a single frame. The log is rewritten at each start and with each
// snapshot. Its first frame records the inode and birth time of the file, so a folder that was restored from a copy is detected
// and gets a new incarnation, like an empty folder.
class LogStore {
public:
    // Called on the store's thread with the number of the last synced write, or with an error if the disk failed. After an error
    // no further write is performed.
    using Done = std::function<void(Result<std::uint64_t>)>;

    // Reads the folder, which is created if it doesn't exist, and starts the thread. A torn tail of the log is truncated and a
    // warning logged. Fails with Storage if content is damaged, another process uses the folder or it cannot be written.
    static Result<std::unique_ptr<LogStore>> open(const LogStoreOptions&, Done);

    // Performs the queued writes, then stops the thread.
    ~LogStore();
    LogStore(const LogStore&) = delete;
    LogStore& operator=(const LogStore&) = delete;

    // Content of the folder at the start.
    const RaftStored& stored() const { return m_stored; }

    // Queues a write. Writes that are queued during a sync share the next one.
    void write(RaftWrite);

private:
    // Content of the log file, kept for rewriting it.
    struct Content {
        RaftHardState hard;
        std::vector<RaftEntry> entries;
    };

    LogStore(const LogStoreOptions&, Done);
    Result<void> lock();
    Result<void> load();
    Result<void> loadLog(const std::string& bytes, const std::string& path);
    Result<void> rewriteLog();
    void writeLoop();
    Result<void> writeBatch(const std::vector<RaftWrite>&);
    Result<void> appendBatch(const std::string& payload);

    LogStoreOptions m_options;
    Done m_done;
    RaftStored m_stored;
    int m_lockDescriptor { -1 };

    // Accessed only by the thread once it runs.
    Content m_content;
    int m_logDescriptor { -1 };
    std::uint64_t m_nextFrame { 0 };

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<RaftWrite> m_queue;
    bool m_stopping { false };
    std::thread m_thread;
};

} // namespace oleanderport
