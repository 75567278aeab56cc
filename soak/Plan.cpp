#include "Plan.h"

#include "oleanderport/NameTable.h"
#include "support/RandomDraw.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport::soak {

namespace {

    constexpr NameTable<FaultKind, 12> faultKindNames { {
        { FaultKind::Kill, "kill" },
        { FaultKind::Wipe, "wipe" },
        { FaultKind::KillAllControl, "kill-all-control" },
        { FaultKind::Freeze, "freeze" },
        { FaultKind::Stop, "stop" },
        { FaultKind::Reload, "reload" },
        { FaultKind::Cut, "cut" },
        { FaultKind::CutTowards, "cut-towards" },
        { FaultKind::CutFrom, "cut-from" },
        { FaultKind::Reset, "reset" },
        { FaultKind::Delay, "delay" },
        { FaultKind::DataCentreOut, "data-centre-out" },
    } };

    // A run has a span of faults, a span of planned work alone, a further span of both and a calm end that is longer
    // than the recovery time. Planned work is judged only while nothing else was done for the contact time.
    constexpr Milliseconds firstFaults { 9'000 };
    constexpr Milliseconds plannedFrom { 15'000 };
    constexpr Milliseconds plannedUntil { 22'000 };
    constexpr Milliseconds lastFaults { 32'000 };
    constexpr Milliseconds length { 56'000 };
    constexpr Milliseconds longestFault { 4'000 };
    constexpr Milliseconds outLasts { 8'000 };
    // Time between two losses of control instances: the former has caught up by then.
    constexpr Milliseconds controlCatchUp { 5'000 };
    // Of so many seeds one after the other, so many have minions that serve their calls at once.
    constexpr std::uint64_t lateMinionsPeriod = 5;
    constexpr std::uint64_t promptSeedsOfPeriod = 3;

    class Draw {
    public:
        Draw(std::uint64_t seed, const Shape& shape)
            : m_random(seed)
            , m_shape(shape)
        {
        }

        Plan plan()
        {
            drawFaults({ 500 }, firstFaults, 7);
            takeDataCentreOut(plannedFrom);
            drawPlanned(plannedFrom, plannedUntil, 4);
            drawFaults(plannedUntil + Milliseconds { 500 }, lastFaults, 8);
            drawPlanned(plannedUntil, lastFaults - Milliseconds { 5'000 }, 3);
            takeDataCentreOut(lastFaults + longestFault + Milliseconds { 500 });
            std::sort(m_faults.begin(), m_faults.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
            return { .shape = m_shape, .faults = std::move(m_faults), .length = length };
        }

    private:
        std::string process()
        {
            switch (m_random.below(4)) {
            case 0:
                return fmt::format("entry-{}", 1 + m_random.below(m_shape.entries));
            case 1:
                return fmt::format("control-{}", 1 + m_random.below(m_shape.controls));
            case 2:
                return fmt::format("minion-{}", 1 + m_random.below(m_shape.sidecars));
            default:
                return fmt::format("sidecar-{}", 1 + m_random.below(m_shape.sidecars));
            }
        }

        void drawFaults(Milliseconds from, Milliseconds until, int count)
        {
            constexpr FaultKind kinds[] { FaultKind::Kill, FaultKind::Kill, FaultKind::Wipe, FaultKind::KillAllControl, FaultKind::Freeze,
                FaultKind::Freeze, FaultKind::Cut, FaultKind::CutTowards, FaultKind::CutFrom, FaultKind::Reset, FaultKind::Delay };
            for (int i = 0; i < count; ++i) {
                PlannedFault fault { .at = m_random.between(from, until),
                    .kind = kinds[m_random.below(std::size(kinds))],
                    .target = process(),
                    .lasts = m_random.between({ 50 }, longestFault),
                    .delay = m_random.between({ 5 }, { 400 }) };
                fault.lasts = std::min(fault.lasts, until + longestFault - fault.at);
                if (fault.kind == FaultKind::Wipe || fault.kind == FaultKind::KillAllControl)
                    fault.target = fmt::format("control-{}", 1 + m_random.below(m_shape.controls));
                add(fault);
            }
        }

        void drawPlanned(Milliseconds from, Milliseconds until, int count)
        {
            constexpr FaultKind kinds[] { FaultKind::Stop, FaultKind::Stop, FaultKind::Reload, FaultKind::DataCentreOut };
            for (int i = 0; i < count; ++i) {
                PlannedFault fault { .at = m_random.between(from, until),
                    .kind = kinds[m_random.below(std::size(kinds))],
                    .target = process(),
                    .lasts = m_random.between({ 500 }, { 9'000 }) };
                if (fault.kind == FaultKind::DataCentreOut)
                    fault.target = fmt::format("dc-{}", 1 + m_random.below(m_shape.dataCentres));
                add(fault);
            }
        }

        // Out for longer than the time within which that is in force everywhere.
        void takeDataCentreOut(Milliseconds at)
        {
            add({ .at = at, .kind = FaultKind::DataCentreOut, .target = fmt::format("dc-{}", 1 + m_random.below(m_shape.dataCentres)), .lasts = outLasts });
        }

        // A fault is left out when it would lose a second control instance, or strike a target that is already struck.
        void add(const PlannedFault& fault)
        {
            const bool isControl = fault.target.rfind("control-", 0) == 0;
            for (const auto& other : m_faults) {
                const bool otherControl = other.target.rfind("control-", 0) == 0;
                const Milliseconds gap = isControl && otherControl ? controlCatchUp : Milliseconds { 300 };
                const bool together = fault.at <= other.at + other.lasts + gap && other.at <= fault.at + fault.lasts + gap;
                if (together && (fault.target == other.target || (isControl && otherControl)))
                    return;
            }
            m_faults.push_back(fault);
        }

        RandomDraw m_random;
        Shape m_shape;
        std::vector<PlannedFault> m_faults;
    };

} // namespace

Plan makePlan(std::uint64_t seed, const Shape& shape) { return Draw(seed, shape).plan(); }

Shape makeShape(std::uint64_t seed)
{
    RandomDraw random(~seed);
    return { .controls = random.oneIn(3) ? 5 : 3,
        .entries = 2 + random.below(2),
        .sidecars = 3 + random.below(4),
        .dataCentres = 2 + random.below(2),
        .callers = 4 + random.below(6),
        .lateMinions = seed % lateMinionsPeriod >= promptSeedsOfPeriod };
}

const char* faultKindName(FaultKind kind) { return nameIn(faultKindNames, kind).data(); }

} // namespace oleanderport::soak
