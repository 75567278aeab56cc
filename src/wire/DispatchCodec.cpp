#include "wire/DispatchCodec.h"

#include "oleanderport/NameTable.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <streambuf>

namespace oleanderport {

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
void serialize(Archive& a, OrderedTask& m)
{
    a(m.index, m.run);
}

template <typename Archive>
void serialize(Archive& a, RunOrder& m)
{
    a(m.job, m.submission, m.step, m.tasks, m.payload, m.needs, m.rank, m.endBy, m.mayWait);
}

template <typename Archive>
void serialize(Archive& a, EntryFrame& m)
{
    a(m.entry, m.outstanding, m.stateGap, m.echo, m.endsSeen, m.orders, m.stops, m.recalls, m.wantedCpuMillis);
}

template <typename Archive>
void serialize(Archive& a, RunEnd& m)
{
    a(m.number, m.run, m.kind, m.ranFor, m.evidence);
}

template <typename Archive>
void serialize(Archive& a, MinionState& m)
{
    a(m.service, m.dataCentre, m.rack, m.labels, m.capacity, m.used, m.accepting);
}

template <typename Archive>
void serialize(Archive& a, SidecarFrame& m)
{
    a(m.sidecar, m.clock, m.framesSeen, m.state, m.ends);
}

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
        { StartEvidence::NotOrdered, "not_ordered" },
        { StartEvidence::Declined, "declined" },
        { StartEvidence::Ordered, "ordered" },
        { StartEvidence::Unanswered, "unanswered" },
        { StartEvidence::Started, "started" },
    } };

    // Reads from memory that someone else owns, without a copy.
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

    template <typename Frame>
    Result<Frame> decode(std::string_view bytes)
    {
        try {
            ViewBuffer buffer(bytes);
            std::istream in(&buffer);
            cereal::PortableBinaryInputArchive archive(in);
            Frame frame;
            archive(frame);
            if (in.peek() == std::char_traits<char>::eof())
                return frame;
        } catch (const std::exception&) {
            // Told below like any other frame that cannot be read.
        }
        return Error { .code = ErrorCode::BadRequest,
            .ran = Ran::No,
            .step = "stream.decode",
            .peer = {},
            .message = "not a frame" };
    }

} // namespace

std::string_view runEndKindName(RunEndKind kind) { return nameIn(runEndKindNames, kind); }

std::string_view startEvidenceName(StartEvidence evidence) { return nameIn(startEvidenceNames, evidence); }

bool provesNotStarted(StartEvidence evidence)
{
    return evidence == StartEvidence::NotOrdered || evidence == StartEvidence::Declined;
}

std::string encodeFrame(const EntryFrame& frame) { return encode(frame); }

std::string encodeFrame(const SidecarFrame& frame) { return encode(frame); }

Result<EntryFrame> decodeEntryFrame(std::string_view bytes) { return decode<EntryFrame>(bytes); }

Result<SidecarFrame> decodeSidecarFrame(std::string_view bytes) { return decode<SidecarFrame>(bytes); }

} // namespace oleanderport
