#include "base/Log.h"

#include "base/LogBudget.h"
#include "support/RawPeer.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>

using namespace oleanderport;

namespace {

// Redirects the standard output of this test process to a pipe that is only read by read().
struct Pipe {
    Pipe()
    {
        std::array<int, 2> ends {};
        cr_assert(::pipe(ends.data()) == 0);
        reader = ends[0];
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[1]);
        ::fcntl(reader, F_SETFL, O_NONBLOCK);
    }

    std::string read() const
    {
        std::string text;
        std::array<char, 65'536> part {};
        for (ssize_t size = 0; (size = ::read(reader, part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(size));
        return text;
    }

    int reader { -1 };
};

constexpr Milliseconds start { 1'000'000 };

} // namespace

Test(LogBudget, keepsToItsRateUnderTenTimesTheLoad)
{
    LogBudget budget({ .linesPerSecond = 300, .burst = 600 });
    int written = 0;
    constexpr int seconds = 20;
    for (int i = 0; i < seconds * 3'000; ++i)
        written += budget.allow(start + Milliseconds { i / 3 }) ? 1 : 0;
    cr_assert(written <= 600 + seconds * 300, "expected at most %d lines, got %d", 600 + seconds * 300, written);
    cr_assert(written >= seconds * 300, "expected at least %d lines, got %d", seconds * 300, written);
    cr_assert(budget.takeDropped() == static_cast<std::uint64_t>(seconds * 3'000 - written));
    cr_assert(budget.takeDropped() == 0);
}

Test(LogBudget, allowsABurstAfterAPause)
{
    LogBudget budget({ .linesPerSecond = 10, .burst = 50 });
    for (int i = 0; i < 50; ++i)
        cr_assert(budget.allow(start));
    cr_assert(!budget.allow(start));
    cr_assert(budget.allow(start + Milliseconds { 100'000'000 }));
}

Test(Log, neverBlocksOnTheReaderAndReportsDroppedLines)
{
    const Pipe pipe;
    configureLog(LogLevel::Info, "entry", "entry-1");
    // More than a pipe holds; a blocking write would never return.
    const std::string large(2'000, 'x');
    for (int i = 0; i < 200; ++i)
        log(LogLevel::Info, { .step = "test" }, large);
    const std::string first = pipe.read();
    cr_assert(first.find("dropped") == std::string::npos);
    log(LogLevel::Info, { .step = "test" }, "after");
    const std::string next = pipe.read();
    cr_assert(next.find("message=\"after\"") != std::string::npos, "got %s", next.c_str());
    cr_assert(next.find("log lines were dropped") != std::string::npos, "got %s", next.c_str());
    cr_assert(droppedLogLines() > 0);
}

// Guards against refusals that go unlogged under load: 5000 jobs at once, as an entry gets in ten seconds at ten times
// its normal load, use up the limit of informational lines.
Test(Log, keepsLinesOfRefusalsWhenLinesOfCompletedJobsAreDropped)
{
    const Pipe pipe;
    configureLog(LogLevel::Info, "entry", "entry-1");
    std::size_t completed = 0;
    std::size_t refused = 0;
    for (int i = 0; i < 5'000; ++i) {
        log(LogLevel::Info, { .step = "entry.job", .request = "r" }, "completed");
        if (i % 10 == 9)
            log(LogLevel::Info, { .step = "entry.job", .request = "r", .unserved = true }, "refused");
        const std::string lines = pipe.read();
        completed += countOf(lines, "\"completed\"");
        refused += countOf(lines, "\"refused\"");
    }
    cr_assert(refused == 500, "expected the lines of all 500 refused jobs, got %zu", refused);
    cr_assert(completed < 5'000, "expected fewer than 5000 lines of completed jobs, got %zu", completed);
}

Test(Log, writesOneLineWithItsFieldsWhateverTheValues)
{
    const Pipe pipe;
    configureLog(LogLevel::Info, "entry", "entry-1");
    log(LogLevel::Info, { .step = "entry.job", .peer = "q", .task = 3, .request = "r1", .jobName = "j1" },
        "a \"quoted\"\nvalue");
    const std::string line = pipe.read();
    cr_assert(line.find(" level=info role=entry instance=entry-1 step=entry.job peer=q request=r1 job=j1 task=3 "
                        "message=\"a \\\"quoted\\\" value\"\n")
            != std::string::npos,
        "got %s", line.c_str());
    cr_assert(std::count(line.begin(), line.end(), '\n') == 1);
    log(LogLevel::Debug, {}, "not written");
    cr_assert(pipe.read().empty());
}
