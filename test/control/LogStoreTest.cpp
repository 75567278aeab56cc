#include "control/LogStore.h"
#include "control/LogFile.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>

using namespace oleanderport;

namespace {

class Folder {
public:
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "logstore-XXXXXX").string();
        path = mkdtemp(name.data());
    }

    ~Folder() { std::filesystem::remove_all(path); }

    std::string log() const { return path + "/node/log"; }
    std::string node() const { return path + "/node"; }

    std::string path;
};

// A store whose write() returns once the write is synced or has failed.
class Store {
public:
    explicit Store(const std::string& folder, bool renew = false)
        : opened(LogStore::open({ .folder = folder, .address = "a", .renewIncarnation = renew },
            [this](const Result<std::uint64_t>& result) { finished(result); }))
    {
    }

    void write(RaftWrite write)
    {
        const std::uint64_t number = ++m_last;
        write.number = number;
        opened.assume_value()->write(std::move(write));
        std::unique_lock guard(m_mutex);
        m_wake.wait(guard, [&] { return m_synced >= number; });
    }

    const RaftStored& stored() const { return opened.assume_value()->stored(); }

    std::atomic<int> syncs { 0 };
    Result<std::unique_ptr<LogStore>> opened;

private:
    void finished(const Result<std::uint64_t>& result)
    {
        const std::lock_guard guard(m_mutex);
        ++syncs;
        m_synced = result.has_value() ? result.assume_value() : UINT64_MAX;
        m_wake.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::uint64_t m_last { 0 };
    std::uint64_t m_synced { 0 };
};

RaftEntry entry(std::uint64_t index, std::uint64_t term = 1)
{
    return { .index = index, .term = term, .kind = RaftEntryKind::Command, .data = fmt::format("data \"{}\"", index) };
}

std::string bytesOf(const std::string& path) { return readFile(path).assume_value(); }

// Overwrites the file in place, so that its inode and birth time stay.
void overwrite(const std::string& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

std::uint64_t lastIndex(const RaftStored& stored) { return stored.entries.empty() ? 0 : stored.entries.back().index; }

} // namespace

Test(LogStore, keepsEntriesAndHardStateAcrossAStart)
{
    const Folder folder;
    std::string incarnation;
    {
        Store store(folder.node());
        incarnation = store.stored().self.incarnation;
        store.write({ .hard = RaftHardState { .term = 3, .votedFor = "x" }, .entries = { entry(1), entry(2), entry(3) } });
        store.write({ .truncateAfter = 1, .entries = { entry(2, 3) } });
    }
    const Store store(folder.node());
    cr_assert(store.stored().self.incarnation == incarnation, "expected the same incarnation");
    cr_assert(store.stored().boot == 2, "expected boot 2, got %lu", store.stored().boot);
    cr_assert(store.stored().hard.term == 3 && store.stored().hard.votedFor == "x");
    cr_assert(lastIndex(store.stored()) == 2, "expected 2 entries, got %lu", lastIndex(store.stored()));
    cr_assert(store.stored().entries[1].term == 3 && store.stored().entries[1].data == entry(2).data);
}

Test(LogStore, aSnapshotReplacesTheEntriesBeforeIt)
{
    const Folder folder;
    {
        Store store(folder.node());
        store.write({ .entries = { entry(1), entry(2), entry(3) } });
        store.write({ .snapshot = RaftSnapshot { .index = 2, .term = 1, .voters = { { "a", "i" } }, .data = "state" },
            .firstKept = 2 });
        store.write({ .entries = { entry(4) } });
    }
    const Store store(folder.node());
    cr_assert(store.stored().snapshot && store.stored().snapshot->data == "state");
    cr_assert(store.stored().snapshot->voters.front().incarnation == "i");
    cr_assert(store.stored().entries.size() == 3, "expected entries 2 to 4, got %zu", store.stored().entries.size());
    cr_assert(store.stored().entries.front().index == 2);
}

Test(LogStore, aCrashAtAnyByteOfTheLastBatchKeepsAllBatchesBefore)
{
    const Folder folder;
    std::size_t before = 0;
    std::string bytes;
    {
        Store store(folder.node());
        store.write({ .entries = { entry(1) } });
        before = bytesOf(folder.log()).size();
        store.write({ .hard = RaftHardState { .term = 2 }, .entries = { entry(2), entry(3) } });
        bytes = bytesOf(folder.log());
    }
    for (std::size_t size = before; size < bytes.size(); ++size) {
        const auto frames = readFrames(std::string_view(bytes).substr(0, size), 2, "log");
        cr_assert(frames.has_value(), "cut at %zu: expected a torn tail", size);
        cr_assert(frames.assume_value().payloads.size() == 3, "cut at %zu: expected 3 frames, got %zu", size,
            frames.assume_value().payloads.size());
        cr_assert(frames.assume_value().tornBytes == size - before);
    }
}

Test(LogStore, opensWithATornTailCutAndWritesOn)
{
    const Folder folder;
    {
        Store store(folder.node());
        store.write({ .entries = { entry(1) } });
        store.write({ .entries = { entry(2) } });
    }
    std::filesystem::resize_file(folder.log(), std::filesystem::file_size(folder.log()) - 5);
    {
        Store store(folder.node());
        cr_assert(lastIndex(store.stored()) == 1, "expected entry 1, got %lu", lastIndex(store.stored()));
        store.write({ .entries = { entry(2, 7) } });
    }
    const Store store(folder.node());
    cr_assert(lastIndex(store.stored()) == 2 && store.stored().entries[1].term == 7);
}

Test(LogStore, refusesDamageInTheMiddleAndSaysWhatToDo)
{
    const Folder folder;
    std::vector<std::size_t> ends;
    {
        Store store(folder.node());
        ends.push_back(bytesOf(folder.log()).size());
        store.write({ .entries = { entry(1) } });
        ends.push_back(bytesOf(folder.log()).size());
        store.write({ .entries = { entry(2) } });
    }
    const std::string whole = bytesOf(folder.log());
    for (std::size_t position = 0; position < ends.back(); ++position) {
        std::string bytes = whole;
        bytes[position] = static_cast<char>(bytes[position] ^ 1);
        const auto frames = readFrames(bytes, 2, "log");
        cr_assert(!frames.has_value(), "byte %zu: expected an error", position);
        cr_assert(frames.assume_error().code == ErrorCode::Storage);
    }
    std::string bytes = whole;
    bytes[ends.front() + 30] ^= 1;
    overwrite(folder.log(), bytes);
    const Store store(folder.node());
    cr_assert(!store.opened.has_value(), "expected an error");
    const std::string message = store.opened.assume_error().message;
    cr_assert(message.find("Move the data folder away") != std::string::npos, "got '%s'", message.c_str());
}

Test(LogStore, refusesALogTruncatedWithinItsInitialFrames)
{
    const Folder folder;
    {
        const Store store(folder.node());
    }
    const std::string whole = bytesOf(folder.log());
    for (std::size_t size = 0; size < whole.size(); ++size)
        cr_assert(!readFrames(std::string_view(whole).substr(0, size), 2, "log").has_value(), "cut at %zu", size);
}

Test(LogStore, refusesADamagedSnapshot)
{
    const Folder folder;
    {
        Store store(folder.node());
        store.write({ .entries = { entry(1) } });
        store.write({ .snapshot = RaftSnapshot { .index = 1, .term = 1, .data = "state" }, .firstKept = 2 });
    }
    std::string bytes = bytesOf(folder.node() + "/snapshot");
    bytes.back() ^= 1;
    overwrite(folder.node() + "/snapshot", bytes);
    const Store store(folder.node());
    cr_assert(!store.opened.has_value(), "expected an error");
}

Test(LogStore, aCopiedFolderGetsANewIncarnation)
{
    const Folder folder;
    std::string incarnation;
    {
        Store store(folder.node());
        incarnation = store.stored().self.incarnation;
        store.write({ .hard = RaftHardState { .term = 2, .votedFor = "x" }, .entries = { entry(1) } });
        std::filesystem::copy(folder.node(), folder.path + "/copy", std::filesystem::copy_options::recursive);
    }
    // The folder is restored from the copy, file by file, after another start.
    {
        const Store store(folder.node());
    }
    std::filesystem::remove_all(folder.node());
    std::filesystem::copy(folder.path + "/copy", folder.node(), std::filesystem::copy_options::recursive);
    const Store store(folder.node());
    cr_assert(store.stored().self.incarnation != incarnation, "expected a new incarnation");
    cr_assert(store.stored().hard.votedFor.empty() && lastIndex(store.stored()) == 1);
}

Test(LogStore, aCopyWrittenOverTheFilesInPlaceGetsANewIncarnationToo)
{
    const Folder folder;
    std::string incarnation;
    std::string copy;
    {
        Store store(folder.node());
        incarnation = store.stored().self.incarnation;
        store.write({ .entries = { entry(1) } });
        copy = bytesOf(folder.log());
    }
    {
        Store store(folder.node());
        store.write({ .entries = { entry(2) } });
    }
    overwrite(folder.log(), copy);
    const Store store(folder.node());
    cr_assert(store.stored().self.incarnation != incarnation, "expected a new incarnation");
}

Test(LogStore, anEmptiedFolderGetsANewIncarnation)
{
    const Folder folder;
    std::string incarnation;
    {
        const Store store(folder.node());
        incarnation = store.stored().self.incarnation;
    }
    std::filesystem::remove_all(folder.node());
    const Store store(folder.node());
    cr_assert(store.stored().self.incarnation != incarnation, "expected a new incarnation");
    cr_assert(store.stored().boot == 1);
}

Test(LogStore, aFolderServesOneProcessAtATime)
{
    const Folder folder;
    const Store first(folder.node());
    const Store second(folder.node());
    cr_assert(!second.opened.has_value(), "expected the second store to be refused");
}

Test(LogStore, writesThatWaitShareOneSync)
{
    constexpr std::uint64_t count = 500;
    const Folder folder;
    {
        Store store(folder.node());
        for (std::uint64_t index = 1; index < count; ++index)
            store.opened.assume_value()->write({ .number = index, .entries = { entry(index) } });
        store.opened.assume_value()->write({ .number = count, .entries = { entry(count) } });
        store.opened.assume_value().reset();
        cr_assert(store.syncs < static_cast<int>(count), "expected fewer than %lu syncs, got %d", count, store.syncs.load());
    }
    const Store store(folder.node());
    cr_assert(lastIndex(store.stored()) == count, "expected %lu entries, got %lu", count, lastIndex(store.stored()));
}
