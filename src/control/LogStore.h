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
    // Address of this instance, which names it as a member.
    std::string address;
    // Data centre of this instance.
    std::string dataCentre {};
    // Take a new incarnation although the folder looks like the own one.
    bool renewIncarnation { false };
    // Take a folder whose log has another inode or time of birth for a copy. Off where the file system gives files new
    // ones at each start of the machine.
    bool checkFileIdentity { true };
};

// Keeps the log and the latest snapshot of one control instance in its data folder.
//
// `log` holds one frame a synced batch; `snapshot` holds one frame. The log is written anew at each start and with each
// snapshot. Its first frame names the file's own inode and time of birth, so a folder that was put back from a copy is
// noticed and gets a new incarnation, as an empty one does.
class LogStore {
public:
    // Called on the store's own thread: all writes up to the number are synced, or the disk failed and no later write
    // is carried out.
    using Done = std::function<void(Result<std::uint64_t>)>;

    // Reads the folder, makes it if need be, and starts the thread. A torn tail is cut with a log line. Fails with
    // Storage when content is damaged, when another process uses the folder, or when it cannot be written.
    static Result<std::unique_ptr<LogStore>> open(const LogStoreOptions&, Done);

    // Carries out what is queued, then stops the thread.
    ~LogStore();
    LogStore(const LogStore&) = delete;
    LogStore& operator=(const LogStore&) = delete;

    // What the folder held at the start.
    const RaftStored& stored() const { return m_stored; }

    // Queues the change. All that is queued while one sync is under way shares the next one.
    void write(RaftWrite);

private:
    // What the log file holds, for writing it anew.
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

    // Of the thread alone once it runs.
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
