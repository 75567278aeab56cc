#include "wire/DispatchCodec.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <limits>
#include <random>

#include <sys/resource.h>

using namespace oleanderport;

namespace {

EntryFrame entryFrame()
{
    return { .entry = "entry/1",
        .outstanding = { { .job = "a", .step = 1, .index = 2, .run = 3 } },
        .stateGap = { 11 },
        .echo = { 1'234 },
        .endsSeen = 5,
        .requests = { { .job = "b",
            .step = 2,
            .tasks = { { .index = 7, .run = 8 } },
            .payload = std::string("bytes \0 and more", 16),
            .needs = { .cpuMillis = 1, .memoryMb = 2, .accelerators = 3, .runTime = { 4 } },
            .rank = { -5 },
            .endBy = { 99 } } },
        .stops = { { .job = "c", .run = 1 } },
        .recalls = { { .job = "d", .run = 2 } } };
}

SidecarFrame sidecarFrame()
{
    return { .sidecar = "sidecar/1",
        .clock = { 77 },
        .framesSeen = 9,
        .state = MinionState { .service = "s",
            .dataCentre = "dc",
            .rack = "r",
            .labels = { "x", "y" },
            .capacity = { .cpuMillis = 10 },
            .used = { .cpuMillis = 4 },
            .accepting = true },
        .ends = { { .number = 3, .run = { .job = "a", .run = 1 }, .kind = RunEndKind::Stuck, .ranFor = { 12 } } } };
}

} // namespace

Test(DispatchCodec, decodesWhatWasEncoded)
{
    const auto entry = decodeEntryFrame(encodeFrame(entryFrame()));
    cr_assert(entry.has_value());
    cr_assert(encodeFrame(entry.assume_value()) == encodeFrame(entryFrame()));
    cr_assert(entry.assume_value().requests[0].payload.size() == 16);
    cr_assert(entry.assume_value().requests[0].rank == Milliseconds { -5 });
    const auto sidecar = decodeSidecarFrame(encodeFrame(sidecarFrame()));
    cr_assert(sidecar.has_value());
    cr_assert(encodeFrame(sidecar.assume_value()) == encodeFrame(sidecarFrame()));
    cr_assert(sidecar.assume_value().ends[0].kind == RunEndKind::Stuck);
}

Test(DispatchCodec, encodesAPartialStateInHalfTheSizeOfTheWhole)
{
    SidecarFrame frame = sidecarFrame();
    frame.sidecar.clear();
    frame.ends.clear();
    const std::size_t whole = encodeFrame(frame).size();
    frame.state->isWhole = false;
    const std::string bytes = encodeFrame(frame);
    cr_assert(bytes.size() * 2 <= whole, "expected half of %zu bytes at most, got %zu", whole, bytes.size());
    const auto read = decodeSidecarFrame(bytes);
    cr_assert(read.has_value());
    cr_assert(!read.assume_value().state->isWhole && read.assume_value().state->used.cpuMillis == 4 && read.assume_value().state->accepting);
}

Test(DispatchCodec, rejectsTruncatedFramesAndTrailingBytes)
{
    const std::string bytes = encodeFrame(entryFrame());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        cr_assert(!decodeEntryFrame(bytes.substr(0, size)).has_value(), "expected the first %zu bytes to be rejected", size);
    cr_assert(!decodeEntryFrame(bytes + "x").has_value());
}

Test(DispatchCodec, rejectsForeignBytesWithoutCrashing)
{
    std::string bytes = encodeFrame(sidecarFrame());
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string changed = bytes;
        changed[i] = static_cast<char>(0xff);
        (void)decodeSidecarFrame(changed);
    }
    cr_assert(!decodeSidecarFrame("GET / HTTP/1.1\r\n\r\n").has_value());
}

namespace {

std::int64_t peakKilobytes()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

} // namespace

// A corrupt size field may hold any number. Decoding must not allocate that much.
Test(DispatchCodec, allocatesNoMemoryForSizesThatAFrameCannotHold)
{
    constexpr std::uint64_t seeds = 100'000;
    constexpr std::int64_t mostGrowth = 64 * 1'024;
    const std::string frames[] = { encodeFrame(entryFrame()), encodeFrame(sidecarFrame()) };
    const std::int64_t before = peakKilobytes();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        std::string bytes = frames[seed % 2];
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t i = 0; i < changes; ++i) {
            // Flips low and high bits, so that sizes become slightly or far too large.
            bytes[random() % bytes.size()] = static_cast<char>(random() % 4 == 0 ? random() : 1U << (random() % 8));
        }
        if (random() % 3 == 0)
            bytes.resize(random() % (bytes.size() + 1));
        static_cast<void>(decodeEntryFrame(bytes));
        static_cast<void>(decodeSidecarFrame(bytes));
    }
    const std::int64_t growth = peakKilobytes() - before;
    cr_assert(growth <= mostGrowth, "expected at most %ld kB more, got %ld", static_cast<long>(mostGrowth), static_cast<long>(growth));
}

Test(DispatchCodec, rejectsAnEndOfUnknownKind)
{
    SidecarFrame frame = sidecarFrame();
    frame.ends[0].kind = static_cast<RunEndKind>(17);
    cr_assert(!decodeSidecarFrame(encodeFrame(frame)).has_value());
}

Test(DispatchCodec, entriesOfEarlierVersionsIgnoreUnsettledTasks)
{
    SidecarFrame frame = sidecarFrame();
    frame.unsettledTasks = { { .job = "b", .step = 1, .index = 2, .remaining = { 12'000 } } };
    const auto read = decodeSidecarFrame(encodeFrame(frame));
    cr_assert(read.has_value());
    const auto& starts = read.assume_value().unsettledTasks;
    cr_assert(starts.size() == 1 && starts[0].job == "b" && starts[0].step == 1 && starts[0].index == 2 && starts[0].remaining == Milliseconds { 12'000 });
    cr_assert(read.assume_value().ends.size() == 1 && read.assume_value().ends[0].number == 3);
    // Those versions read the frame as one with another end, and ignore an end whose number they have seen.
    SidecarFrame former = sidecarFrame();
    former.ends.push_back({ .number = 0, .run = { .job = "b", .step = 1, .index = 2 }, .ranFor = { 12'000 }, .evidence = StartEvidence::Unanswered });
    cr_assert(encodeFrame(former) == encodeFrame(frame));
}

Test(DispatchCodec, carriesTheTimesOfUnknownRunsAndOfALostEntry)
{
    SidecarFrame frame = sidecarFrame();
    frame.unknownRunsFor = { 700 };
    frame.lostEntryRunsFor = { 1'250 };
    const auto read = decodeSidecarFrame(encodeFrame(frame));
    cr_assert(read.has_value());
    cr_assert(read.assume_value().unknownRunsFor == Milliseconds { 700 } && read.assume_value().lostEntryRunsFor == Milliseconds { 1'250 });
    cr_assert(read.assume_value().unsettledTasks.empty() && read.assume_value().ends.size() == 1);
}

Test(DispatchCodec, carriesRequestsForGrants)
{
    EntryFrame frame = entryFrame();
    frame.grants = { { .job = "e", .number = 1, .kind = GrantRequestKind::Ask }, { .job = "f", .number = std::uint64_t { 1 } << 40, .kind = GrantRequestKind::Renew },
        { .job = "g", .number = 3, .kind = GrantRequestKind::Release } };
    const auto read = decodeEntryFrame(encodeFrame(frame));
    cr_assert(read.has_value());
    const auto& grants = read.assume_value().grants;
    cr_assert(grants.size() == frame.grants.size());
    for (std::size_t i = 0; i < grants.size(); ++i)
        cr_assert(grants[i].job == frame.grants[i].job && grants[i].number == frame.grants[i].number && grants[i].kind == frame.grants[i].kind);
    cr_assert(read.assume_value().recalls == entryFrame().recalls);
}

Test(DispatchCodec, carriesAnswersToRequestsForGrants)
{
    SidecarFrame frame = sidecarFrame();
    frame.isRegistrar = true;
    frame.lostEntryRunsFor = { 1'250 };
    frame.unsettledTasks = { { .job = "b", .step = 1, .index = 2, .remaining = { 12'000 } } };
    frame.grants = { { .job = "e", .number = 1, .state = GrantState::Granted }, { .job = "f", .number = std::uint64_t { 1 } << 40, .state = GrantState::Held },
        { .job = "g", .number = 3, .state = GrantState::Provisional } };
    const auto read = decodeSidecarFrame(encodeFrame(frame));
    cr_assert(read.has_value());
    const SidecarFrame& decoded = read.assume_value();
    cr_assert(decoded.isRegistrar && decoded.lostEntryRunsFor == Milliseconds { 1'250 } && decoded.unknownRunsFor.count == 0);
    cr_assert(decoded.unsettledTasks.size() == 1 && decoded.ends.size() == 1 && decoded.grants.size() == frame.grants.size());
    for (std::size_t i = 0; i < decoded.grants.size(); ++i)
        cr_assert(decoded.grants[i].job == frame.grants[i].job && decoded.grants[i].number == frame.grants[i].number && decoded.grants[i].state == frame.grants[i].state);
}

Test(DispatchCodec, framesOfEarlierVersionsCarryNoGrants)
{
    const auto read = decodeSidecarFrame(encodeFrame(sidecarFrame()));
    cr_assert(read.has_value() && !read.assume_value().isRegistrar && read.assume_value().grants.empty());
    const auto entry = decodeEntryFrame(encodeFrame(entryFrame()));
    cr_assert(entry.has_value() && entry.assume_value().grants.empty());
}

Test(DispatchCodec, sidecarsOfEarlierVersionsIgnoreRequestsForGrants)
{
    EntryFrame frame = entryFrame();
    frame.grants = { { .job = "e", .number = 4, .kind = GrantRequestKind::Release } };
    // Those versions read the request as the recall of a run that no entry has: steps have no such number.
    EntryFrame former = entryFrame();
    former.recalls.push_back({ .job = "e", .step = std::numeric_limits<std::uint32_t>::max(), .index = 2, .submission = 4 });
    cr_assert(encodeFrame(former) == encodeFrame(frame));
}

Test(DispatchCodec, entriesOfEarlierVersionsIgnoreAnswersToRequestsForGrants)
{
    SidecarFrame frame = sidecarFrame();
    frame.isRegistrar = true;
    frame.grants = { { .job = "e", .number = 4, .state = GrantState::Held } };
    // Those versions read the frame as one with other ends, and ignore an end whose number they have seen.
    SidecarFrame former = sidecarFrame();
    former.ends.push_back({ .number = 0, .run = { .index = 2 }, .evidence = StartEvidence::Unanswered });
    former.ends.push_back({ .number = 0, .run = { .job = "e", .index = 1, .submission = 4 }, .kind = RunEndKind::Done });
    const auto read = decodeSidecarFrame(encodeFrame(frame));
    cr_assert(read.has_value());
    cr_assert(std::all_of(read.assume_value().ends.begin(), read.assume_value().ends.end(), [](const RunEnd& end) { return end.number > 0; }));
    cr_assert(encodeFrame(former) == encodeFrame(frame));
}

Test(DispatchCodec, rejectsRequestsForGrantsAndAnswersOfUnknownKinds)
{
    EntryFrame entry = entryFrame();
    entry.grants = { { .job = "e", .number = 4, .kind = static_cast<GrantRequestKind>(3) } };
    cr_assert(!decodeEntryFrame(encodeFrame(entry)).has_value());
    SidecarFrame sidecar = sidecarFrame();
    sidecar.grants = { { .job = "e", .number = 4, .state = static_cast<GrantState>(3) } };
    cr_assert(!decodeSidecarFrame(encodeFrame(sidecar)).has_value());
}
