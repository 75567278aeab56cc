#include "wire/DispatchCodec.h"

#include "oleanderport/NameTable.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <stdexcept>
#include <streambuf>

namespace oleanderport {

namespace {

    // Index of the ends without a job that carry times of a SidecarFrame.
    constexpr std::uint32_t unknownRunsIndex = 0;
    constexpr std::uint32_t lostEntryRunsIndex = 1;
    constexpr std::uint32_t registrarIndex = 2;
    constexpr std::uint32_t slowdownIndex = 3;
    // Step of the recalls that carry requests for grants. Sidecars of earlier versions ignore recalls of runs that they don't know.
    constexpr std::uint32_t grantStep = std::numeric_limits<std::uint32_t>::max();
    // Step of the recall that carries what an entry says of itself.
    constexpr std::uint32_t entryStep = grantStep - 1;
    // Step of the recalls that name the queues of the requests, by position.
    constexpr std::uint32_t queueStep = grantStep - 2;

    // Size of the frame being decoded.
    thread_local std::size_t frameBytes = 0;

    // Rejects a size that the frame cannot hold. Without this check the decoder would allocate that much memory.
    std::size_t checkedSize(cereal::size_type size, std::size_t minBytesPerElement)
    {
        if (size > frameBytes / minBytesPerElement)
            throw std::length_error("element count exceeds the frame size");
        return static_cast<std::size_t>(size);
    }

} // namespace

} // namespace oleanderport

// Replace cereal's own functions, which do not check sizes. cereal finds overloads in its namespace.
namespace cereal {

template <typename Archive>
void CEREAL_SAVE_FUNCTION_NAME(Archive& archive, const std::string& text)
{
    archive(make_size_tag(static_cast<size_type>(text.size())));
    archive(binary_data(text.data(), text.size()));
}

template <typename Archive>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive, std::string& text)
{
    size_type size = 0;
    archive(make_size_tag(size));
    text.resize(oleanderport::checkedSize(size, 1));
    archive(binary_data(text.data(), text.size()));
}

template <typename Archive, typename T>
void CEREAL_SAVE_FUNCTION_NAME(Archive& archive, const std::vector<T>& list)
{
    archive(make_size_tag(static_cast<size_type>(list.size())));
    for (const auto& item : list)
        archive(item);
}

template <typename Archive, typename T>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive, std::vector<T>& list)
{
    // Each element begins with a number of at least this width.
    constexpr std::size_t minBytesPerElement = sizeof(std::uint32_t);
    size_type size = 0;
    archive(make_size_tag(size));
    // An element takes more memory than its shortest encoding, so memory is taken only for elements that are there.
    const std::size_t count = oleanderport::checkedSize(size, minBytesPerElement);
    list.clear();
    while (list.size() < count)
        archive(list.emplace_back());
}

} // namespace cereal

namespace oleanderport {

namespace {

    constexpr NameTable<RunEndKind, 6> runEndKindNames { {
        { RunEndKind::Done, "done" },
        { RunEndKind::Failed, "failed" },
        { RunEndKind::NotStarted, "not_started" },
        { RunEndKind::NoRoom, "no_room" },
        { RunEndKind::Stopped, "stopped" },
        { RunEndKind::Stuck, "stuck" },
    } };

    constexpr NameTable<StartEvidence, 5> startEvidenceNames { {
        { StartEvidence::NotRequested, "not_ordered" },
        { StartEvidence::Declined, "declined" },
        { StartEvidence::Requested, "ordered" },
        { StartEvidence::Unanswered, "unanswered" },
        { StartEvidence::Started, "started" },
    } };

    constexpr NameTable<GrantRequestKind, 3> grantRequestKindNames { {
        { GrantRequestKind::Ask, "ask" },
        { GrantRequestKind::Renew, "renew" },
        { GrantRequestKind::Release, "release" },
    } };

    constexpr NameTable<GrantState, 3> grantStateNames { {
        { GrantState::Granted, "granted" },
        { GrantState::Held, "held" },
        { GrantState::Provisional, "provisional" },
    } };

    template <typename Enum, std::size_t size>
    bool containsValue(const NameTable<Enum, size>& names, Enum value)
    {
        return std::any_of(names.begin(), names.end(), [value](const auto& item) { return item.value == value; });
    }

} // namespace

// cereal finds these by argument-dependent lookup.
template <typename Archive>
void serialize(Archive& a, Milliseconds& m)
{
    a(m.count);
}

template <typename Archive>
void serialize(Archive& a, TaskNeeds& m)
{
    a(m.cpuMillis, m.memoryMb, m.accelerators, m.runTime);
}

template <typename Archive>
void serialize(Archive& a, RunName& m)
{
    a(m.job, m.step, m.index, m.run, m.submission);
}

template <typename Archive>
void serialize(Archive& a, RequestedTask& m)
{
    a(m.index, m.run);
}

template <typename Archive>
void serialize(Archive& a, RunRequest& m)
{
    a(m.job, m.submission, m.step, m.tasks, m.payload, m.needs, m.rank, m.endBy, m.mayWait);
}

template <typename Archive>
void serialize(Archive& a, EntryFrame& m)
{
    a(m.entry, m.outstanding, m.stateGap, m.echo, m.endsSeen, m.requests, m.stops, m.recalls, m.wantedCpuMillis);
}

template <typename Archive>
void serialize(Archive& a, RunEnd& m)
{
    a(m.number, m.run, m.kind, m.ranFor, m.evidence);
}

template <typename Archive>
void serialize(Archive& a, MinionState& m)
{
    a(m.isWhole, m.used, m.accepting);
    if (m.isWhole)
        a(m.service, m.dataCentre, m.rack, m.labels, m.capacity);
}

template <typename Archive>
void serialize(Archive& a, SidecarFrame& m)
{
    a(m.sidecar, m.clock, m.framesSeen, m.state, m.ends);
}

namespace {

    // Reads from memory that it does not own, without a copy.
    class ViewBuffer final : public std::streambuf {
    public:
        explicit ViewBuffer(std::string_view text)
        {
            char* begin = const_cast<char*>(text.data());
            setg(begin, begin, begin + text.size());
        }
    };

    template <typename Frame>
    std::string encode(const Frame& frame)
    {
        std::ostringstream out;
        {
            cereal::PortableBinaryOutputArchive archive(out);
            archive(frame);
        }
        return std::move(out).str();
    }

    Error invalidFrameError()
    {
        return Error { .code = ErrorCode::BadRequest, .ran = Ran::No, .step = "stream.decode", .peer = {}, .message = "not a valid dispatch frame" };
    }

    template <typename Frame>
    Result<Frame> decode(std::string_view bytes)
    {
        frameBytes = bytes.size();
        try {
            ViewBuffer buffer(bytes);
            std::istream in(&buffer);
            cereal::PortableBinaryInputArchive archive(in);
            Frame frame;
            archive(frame);
            if (in.peek() == std::char_traits<char>::eof())
                return frame;
        } catch (const std::exception&) {
            // Reported below like any other invalid frame.
        }
        return invalidFrameError();
    }

} // namespace

std::string_view runEndKindName(RunEndKind kind) { return nameIn(runEndKindNames, kind); }

std::string_view startEvidenceName(StartEvidence evidence) { return nameIn(startEvidenceNames, evidence); }

bool provesNotStarted(StartEvidence evidence)
{
    return evidence == StartEvidence::NotRequested || evidence == StartEvidence::Declined;
}

std::uint64_t nameDigest(const std::string& queue)
{
    // 0 stands for no queue.
    return std::max<std::uint64_t>(XXH3_64bits(queue.data(), queue.size()), 1);
}

// Requests for grants, the queues of requests, and what an entry says of itself, are sent as recalls, which sidecars of earlier versions ignore.
std::string encodeFrame(const EntryFrame& frame)
{
    const bool hasQueues = std::any_of(frame.requests.begin(), frame.requests.end(), [](const RunRequest& request) { return request.queue != 0; });
    if (frame.grants.empty() && frame.entries == 0 && !hasQueues)
        return encode(frame);
    EntryFrame encoded = frame;
    for (std::uint32_t i = 0; i < frame.requests.size(); ++i) {
        if (frame.requests[i].queue != 0)
            encoded.recalls.push_back({ .step = queueStep, .index = i, .submission = frame.requests[i].queue });
    }
    if (frame.entries > 0)
        encoded.recalls.push_back({ .step = entryStep, .run = frame.entries, .submission = static_cast<std::uint64_t>(frame.startedFor.count) });
    for (const auto& grant : frame.grants)
        encoded.recalls.push_back({ .job = grant.job, .step = grantStep, .index = static_cast<std::uint32_t>(grant.kind), .submission = grant.number });
    return encode(encoded);
}

// Unsettled tasks are sent as ends with number 0, which entries of earlier versions ignore. Those without a job carry the other times. An
// end with number 0 and kind Done is the answer to a request for a grant.
std::string encodeFrame(const SidecarFrame& frame)
{
    const bool hasTimes = frame.unknownRunsFor.count > 0 || frame.lostEntryRunsFor.count > 0;
    if (frame.unsettledTasks.empty() && frame.grants.empty() && frame.slowdowns.empty() && !hasTimes && !frame.isRegistrar)
        return encode(frame);
    SidecarFrame encoded = frame;
    const auto add = [&encoded](const std::string& job, std::uint32_t step, std::uint32_t index, Milliseconds remaining) {
        encoded.ends.push_back({ .run = { .job = job, .step = step, .index = index }, .ranFor = remaining, .evidence = StartEvidence::Unanswered });
    };
    for (const auto& task : frame.unsettledTasks)
        add(task.job, task.step, task.index, task.remaining);
    if (frame.unknownRunsFor.count > 0)
        add({}, 0, unknownRunsIndex, frame.unknownRunsFor);
    if (frame.lostEntryRunsFor.count > 0)
        add({}, 0, lostEntryRunsIndex, frame.lostEntryRunsFor);
    if (frame.isRegistrar)
        add({}, 0, registrarIndex, {});
    for (const auto& each : frame.slowdowns) {
        encoded.ends.push_back({ .run = { .index = slowdownIndex, .run = each.queue, .submission = each.neighbour },
            .ranFor = { each.percent },
            .evidence = StartEvidence::Unanswered });
    }
    for (const auto& grant : frame.grants)
        encoded.ends.push_back({ .run = { .job = grant.job, .index = static_cast<std::uint32_t>(grant.state), .submission = grant.number }, .kind = RunEndKind::Done });
    return encode(encoded);
}

Result<EntryFrame> decodeEntryFrame(std::string_view bytes)
{
    auto frame = decode<EntryFrame>(bytes);
    if (!frame.has_value())
        return frame;
    auto& recalls = frame.assume_value().recalls;
    for (auto& recall : recalls) {
        if (recall.step == entryStep) {
            frame.assume_value().entries = recall.run;
            frame.assume_value().startedFor = Milliseconds { static_cast<std::int64_t>(recall.submission) };
        }
        if (recall.step == queueStep) {
            auto& requests = frame.assume_value().requests;
            if (recall.index >= requests.size())
                return invalidFrameError();
            requests[recall.index].queue = recall.submission;
        }
        if (recall.step != grantStep)
            continue;
        const auto kind = static_cast<GrantRequestKind>(recall.index);
        if (!containsValue(grantRequestKindNames, kind))
            return invalidFrameError();
        frame.assume_value().grants.push_back({ .job = std::move(recall.job), .number = recall.submission, .kind = kind });
    }
    std::erase_if(recalls, [](const RunName& recall) { return recall.step >= queueStep; });
    return frame;
}

Result<SidecarFrame> decodeSidecarFrame(std::string_view bytes)
{
    auto frame = decode<SidecarFrame>(bytes);
    if (!frame.has_value())
        return frame;
    SidecarFrame& decoded = frame.assume_value();
    auto& ends = decoded.ends;
    const bool areKnown = std::all_of(ends.begin(), ends.end(),
        [](const RunEnd& end) { return containsValue(runEndKindNames, end.kind) && containsValue(startEvidenceNames, end.evidence); });
    if (!areKnown)
        return invalidFrameError();
    for (auto& end : ends) {
        if (end.number != 0)
            continue;
        if (end.kind == RunEndKind::Done) {
            const auto state = static_cast<GrantState>(end.run.index);
            if (!containsValue(grantStateNames, state))
                return invalidFrameError();
            decoded.grants.push_back({ .job = std::move(end.run.job), .number = end.run.submission, .state = state });
        } else if (!end.run.job.empty()) {
            decoded.unsettledTasks.push_back({ .job = std::move(end.run.job), .step = end.run.step, .index = end.run.index, .remaining = end.ranFor });
        } else if (end.run.index == unknownRunsIndex) {
            decoded.unknownRunsFor = end.ranFor;
        } else if (end.run.index == lostEntryRunsIndex) {
            decoded.lostEntryRunsFor = end.ranFor;
        } else if (end.run.index == registrarIndex) {
            decoded.isRegistrar = true;
        } else if (end.run.index == slowdownIndex) {
            decoded.slowdowns.push_back({ .queue = end.run.run, .neighbour = end.run.submission, .percent = end.ranFor.count });
        }
    }
    std::erase_if(ends, [](const RunEnd& end) { return end.number == 0; });
    return frame;
}

} // namespace oleanderport
