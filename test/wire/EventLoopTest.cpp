#include "wire/EventLoop.h"

#include "oleanderport/Clock.h"

#include <criterion/criterion.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace oleanderport;

namespace {

constexpr Milliseconds lookPeriod { 20 };

void sleepFor(Milliseconds span) { std::this_thread::sleep_for(std::chrono::milliseconds(span.count)); }

// Descriptors that become readable together. Each counts once.
class ManySockets {
public:
    ManySockets(EventLoop& loop, int count)
        : m_source(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
        for (int i = 0; i < count; ++i) {
            const int descriptor = dup(m_source);
            cr_assert(descriptor >= 0, "expected %d descriptors, got %d", count, i);
            m_descriptors.push_back(descriptor);
            m_isRead.push_back(false);
            m_readers.push_back(loop.onReadable(descriptor, [this, i] {
                m_read += m_isRead[static_cast<std::size_t>(i)] ? 0 : 1;
                m_isRead[static_cast<std::size_t>(i)] = true;
            }));
        }
    }
    ~ManySockets()
    {
        m_readers.clear();
        for (const int descriptor : m_descriptors)
            close(descriptor);
        close(m_source);
    }
    ManySockets(const ManySockets&) = delete;
    ManySockets& operator=(const ManySockets&) = delete;

    void makeReadable() const { cr_assert(eventfd_write(m_source, 1) == 0); }
    int read() const { return m_read; }

private:
    int m_source;
    int m_read { 0 };
    std::vector<int> m_descriptors;
    std::vector<bool> m_isRead;
    std::vector<std::unique_ptr<EventLoop::Timer>> m_readers;
};

} // namespace

Test(EventLoop, tellsATimerThatSocketsWereReadOnlyOnceAllOfThemWere)
{
    for (const int count : { 1, 31, 33, 300, 700 }) {
        EventLoop loop;
        ManySockets sockets(loop, count);
        sleepFor({ 5 });
        const Milliseconds readyAt = Clock::now();
        sockets.makeReadable();
        sleepFor({ 5 });
        std::optional<int> readThen;
        const auto look = [&] {
            if (!readThen && loop.readUntil() > readyAt)
                readThen = sockets.read();
        };
        std::unique_ptr<EventLoop::Timer> timer;
        for (int round = 0; round < 5; ++round) {
            timer = loop.once({}, look);
            loop.runOnce();
            look();
        }
        cr_assert(!readThen || *readThen == count, "%d sockets were ready, and %d read when all were said to be", count, *readThen);
        cr_assert(readThen || count > 500, "expected %d sockets to be read within 5 rounds", count);
    }
}

Test(EventLoop, tellsNoReaderThatTheOthersOfItsRoundWereRead)
{
    EventLoop loop;
    const auto timer = loop.every(lookPeriod, [] {});
    loop.runOnce();
    const Milliseconds before = loop.readUntil();
    sleepFor({ 5 });
    Milliseconds seen {};
    const int descriptor = eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK);
    const auto reader = loop.onReadable(descriptor, [&] { seen = loop.readUntil(); });
    loop.runOnce();
    close(descriptor);
    cr_assert(seen == before, "expected a reader to be told of the round before, at %lld, got %lld", static_cast<long long>(before.count), static_cast<long long>(seen.count));
}
