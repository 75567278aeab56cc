#include "Plan.h"

#include "oleanderport/NameTable.h"
#include "support/RandomDraw.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>

namespace oleanderport::soak {

namespace {

    constexpr NameTable<FaultKind, 24> faultKindNames { {
        { FaultKind::Kill, "kill" },
        { FaultKind::Wipe, "wipe" },
        { FaultKind::Replace, "replace" },
        { FaultKind::KillAllControl, "kill-all-control" },
        { FaultKind::KillTogether, "kill-together" },
        { FaultKind::Pause, "freeze" },
        { FaultKind::Stop, "stop" },
        { FaultKind::Reload, "reload" },
        { FaultKind::Partition, "cut" },
        { FaultKind::PartitionInbound, "cut-towards" },
        { FaultKind::PartitionOutbound, "cut-from" },
        { FaultKind::Reset, "reset" },
        { FaultKind::LateReset, "late-reset" },
        { FaultKind::Slow, "slow" },
        { FaultKind::Delay, "delay" },
        { FaultKind::LateOrders, "late-orders" },
        { FaultKind::CrashBehindCut, "crash-behind-cut" },
        { FaultKind::PathCut, "path-cut" },
        { FaultKind::PathCutTowards, "path-cut-towards" },
        { FaultKind::PathCutFrom, "path-cut-from" },
        { FaultKind::PathHold, "path-hold" },
        { FaultKind::PathHoldTowards, "path-hold-towards" },
        { FaultKind::PathHoldFrom, "path-hold-from" },
        { FaultKind::EvacuateDataCentre, "data-centre-out" },
    } };

    // A run has a span of faults, a span of planned operations alone, a span of both and an end without faults that is
    // longer than the recovery time. Planned operations are judged only when no unplanned fault came within the settle time.
    constexpr Milliseconds firstFaultsFrom { 500 };
    constexpr Milliseconds firstFaultsUntil { 9'000 };
    constexpr Milliseconds plannedFrom { 15'000 };
    constexpr Milliseconds plannedUntil { 22'000 };
    constexpr Milliseconds lastFaultsFrom { 22'500 };
    constexpr Milliseconds lastFaultsUntil { 32'000 };
    constexpr Milliseconds loadLength { 56'000 };
    constexpr Milliseconds maxFaultDuration { 4'000 };
    constexpr Milliseconds maxReplacementDelay { 2'000 };
    constexpr Milliseconds evacuationDuration { 8'000 };
    // Time between two faults of control instances, in which the first one catches up.
    constexpr Milliseconds controlCatchUpTime { 5'000 };
    // Of each lateMinionsPeriod consecutive seeds, promptSeedsPerPeriod have minions without added delays.
    constexpr std::uint64_t lateMinionsPeriod = 5;
    constexpr std::uint64_t promptSeedsPerPeriod = 3;
    // Odd, so that each seed has draws of its own.
    constexpr std::uint64_t minionFaultsFactor = 0x9e3779b97f4a7c15;
    constexpr std::uint64_t entryFaultsFactor = 0xbf58476d1ce4e5b9;
    constexpr std::uint64_t impatientCallersFactor = 0x94d049bb133111eb;
    constexpr std::uint64_t successorsFactor = 0xd6e8feb86659fd93;
    // In each span of faults.
    constexpr int lateOrdersPerSpan = 3;
    constexpr int crashesPerSpan = 4;
    constexpr int pathFaultsPerSpan = 5;
    // While a minion is late, so that stops of the jobs that their callers left are late too.
    constexpr int callerResetsPerLateOrders = 2;
    // A minion that is late crashes in two of three cases, while late calls wait there.
    constexpr int steadyMinionOneIn = 3;
    constexpr Milliseconds minLateOrders { 1'500 };
    constexpr Milliseconds minCrashAfterLateOrders { 500 };
    constexpr Milliseconds maxCrashAfterLateOrders { 6'000 };
    constexpr Milliseconds minCut { 100 };
    constexpr Milliseconds maxCut { 2'500 };
    constexpr Milliseconds minCallerReset { 20 };
    constexpr Milliseconds maxCallerReset { 200 };
    constexpr int lateResetsPerLateOrders = 3;
    constexpr Milliseconds minSlow { 1'000 };
    // As long as TCP takes to send a lost packet again.
    constexpr Milliseconds minNewsDelay { 200 };
    constexpr Milliseconds maxNewsDelay { 400 };
    // All entries are back about 0.6 s after they were killed.
    constexpr Milliseconds minEntriesAway { 450 };
    constexpr Milliseconds maxEntriesAway { 650 };
    constexpr Milliseconds minTogetherAway { 100 };
    constexpr Milliseconds maxTogetherAway { 1'500 };
    constexpr int sidecarLostWithEntryOneIn = 2;

    class PlanBuilder {
    public:
        PlanBuilder(std::uint64_t seed, const Shape& shape)
            : m_seed(seed)
            , m_random(seed)
            , m_shape(shape)
        {
        }

        Plan plan()
        {
            // Before all others, so that these give way. They have draws of their own, so that a plan without them stays the same.
            RandomDraw replacements(~m_seed);
            for (int i = 0; i < m_shape.replacements; ++i)
                add(drawReplacement(replacements));
            if (m_shape.minionFaults) {
                RandomDraw minions(m_seed * minionFaultsFactor);
                drawMinionFaults(minions, firstFaultsFrom, firstFaultsUntil);
                drawMinionFaults(minions, lastFaultsFrom, lastFaultsUntil);
            }
            if (m_shape.entryFaults) {
                RandomDraw entries(m_seed * entryFaultsFactor);
                drawEntryFaults(entries);
            }
            drawFaults(firstFaultsFrom, firstFaultsUntil, 7);
            evacuateDataCentre(plannedFrom);
            drawPlannedOperations(plannedFrom, plannedUntil, 4);
            drawFaults(lastFaultsFrom, lastFaultsUntil, 8);
            drawPlannedOperations(plannedUntil, lastFaultsUntil - Milliseconds { 5'000 }, 3);
            evacuateDataCentre(lastFaultsUntil + maxFaultDuration + Milliseconds { 500 });
            if (m_shape.impatientCallers) {
                RandomDraw losses(m_seed * impatientCallersFactor);
                drawLossesTogether(losses, firstFaultsFrom, firstFaultsUntil);
                drawLossesTogether(losses, lastFaultsFrom, lastFaultsUntil);
            }
            if (m_shape.successors) {
                RandomDraw crashes(m_seed * successorsFactor);
                drawCrashes(crashes, firstFaultsFrom, firstFaultsUntil);
                drawCrashes(crashes, lastFaultsFrom, lastFaultsUntil);
            }
            std::sort(m_faults.begin(), m_faults.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
            return { .shape = m_shape, .faults = std::move(m_faults), .length = loadLength };
        }

    private:
        PlannedFault drawReplacement(RandomDraw& random) const
        {
            return { .at = random.between({ 500 }, lastFaultsUntil),
                .kind = FaultKind::Replace,
                .target = fmt::format("control-{}", 1 + random.below(m_shape.controls)),
                .duration = random.between({ 500 }, maxReplacementDelay) };
        }

        void drawMinionFaults(RandomDraw& random, Milliseconds from, Milliseconds until)
        {
            for (int i = 0; i < lateOrdersPerSpan; ++i) {
                const PlannedFault late { .at = random.between(from, until),
                    .kind = FaultKind::LateOrders,
                    .target = fmt::format("minion-{}", 1 + random.below(m_shape.sidecars)),
                    .duration = random.between(minLateOrders, maxFaultDuration) };
                PlannedFault crash { .at = late.at + random.between(minCrashAfterLateOrders, maxCrashAfterLateOrders),
                    .kind = FaultKind::CrashBehindCut,
                    .target = late.target,
                    .duration = random.between(minCut, maxCut) };
                crash.at = std::min(crash.at, until + maxFaultDuration - crash.duration);
                crash.delay = random.between({ 0 }, crash.duration);
                const bool crashes = !random.oneIn(steadyMinionOneIn);
                if (add(late) && crashes)
                    addCrash(crash);
                for (int reset = 0; reset < callerResetsPerLateOrders; ++reset) {
                    add({ .at = late.at + random.between({ 0 }, late.duration),
                        .kind = FaultKind::Reset,
                        .target = fmt::format("entry-{}/front", 1 + random.below(m_shape.entries)),
                        .duration = random.between(minCallerReset, maxCallerReset) });
                }
            }
            constexpr FaultKind paths[] { FaultKind::PathCut, FaultKind::PathCutTowards, FaultKind::PathCutFrom, FaultKind::PathHold, FaultKind::PathHoldTowards, FaultKind::PathHoldFrom };
            for (int i = 0; i < pathFaultsPerSpan; ++i) {
                add({ .at = random.between(from, until),
                    .kind = paths[random.below(std::size(paths))],
                    .target = fmt::format("entry-{}>sidecar-{}", 1 + random.below(m_shape.entries), 1 + random.below(m_shape.sidecars)),
                    .duration = random.between(minCut, maxFaultDuration) });
            }
        }

        // While a minion is late, so that what was to stop the runs there is late twice.
        void drawEntryFaults(RandomDraw& random)
        {
            std::vector<PlannedFault> lateOrders;
            std::copy_if(m_faults.begin(), m_faults.end(), std::back_inserter(lateOrders), [](const PlannedFault& fault) { return fault.kind == FaultKind::LateOrders; });
            for (const auto& late : lateOrders) {
                PlannedFault slow { .at = late.at + random.between({ 0 }, late.duration),
                    .kind = FaultKind::Slow,
                    .target = fmt::format("entry-{}", 1 + random.below(m_shape.entries)),
                    .duration = random.between(minSlow, maxFaultDuration) };
                // No longer than other faults.
                slow.duration = std::min(slow.duration, late.at + maxFaultDuration - slow.at);
                add(slow);
                for (int reset = 0; reset < lateResetsPerLateOrders; ++reset) {
                    add({ .at = late.at + random.between({ 0 }, late.duration),
                        .kind = FaultKind::LateReset,
                        .target = fmt::format("entry-{}/front", 1 + random.below(m_shape.entries)),
                        .duration = random.between(minCallerReset, maxCallerReset),
                        .delay = random.between(minNewsDelay, maxNewsDelay) });
                }
            }
        }

        // Beside whatever else was drawn, so that all of that stays.
        void drawLossesTogether(RandomDraw& random, Milliseconds from, Milliseconds until)
        {
            std::vector<std::string> entries;
            for (int entry = 1; entry <= m_shape.entries; ++entry)
                entries.push_back(fmt::format("entry-{}", entry));
            m_faults.push_back({ .at = random.between(from, until),
                .kind = FaultKind::KillTogether,
                .target = fmt::format("{}", fmt::join(entries, "+")),
                .duration = random.between(minEntriesAway, maxEntriesAway) });

            PlannedFault withSidecars { .at = random.between(from, until),
                .kind = FaultKind::KillTogether,
                .target = entries[random.below(entries.size())],
                .duration = random.between(minTogetherAway, maxTogetherAway) };
            const int always = 1 + random.below(m_shape.sidecars);
            for (int sidecar = 1; sidecar <= m_shape.sidecars; ++sidecar) {
                const bool isDrawn = random.oneIn(sidecarLostWithEntryOneIn);
                if (isDrawn || sidecar == always)
                    withSidecars.target += fmt::format("+sidecar-{}", sidecar);
            }
            m_faults.push_back(withSidecars);
        }

        // After all others, so that these give way.
        void drawCrashes(RandomDraw& random, Milliseconds from, Milliseconds until)
        {
            for (int i = 0; i < crashesPerSpan; ++i) {
                PlannedFault crash { .at = random.between(from, until),
                    .kind = FaultKind::CrashBehindCut,
                    .target = fmt::format("minion-{}", 1 + random.below(m_shape.sidecars)),
                    .duration = random.between(minCut, maxCut) };
                crash.delay = random.between({ 0 }, crash.duration);
                add(crash);
            }
        }

        std::string drawProcess()
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
            constexpr FaultKind kinds[] { FaultKind::Kill, FaultKind::Kill, FaultKind::Wipe, FaultKind::KillAllControl, FaultKind::Pause,
                FaultKind::Pause, FaultKind::Partition, FaultKind::PartitionInbound, FaultKind::PartitionOutbound, FaultKind::Reset, FaultKind::Delay };
            for (int i = 0; i < count; ++i) {
                PlannedFault fault { .at = m_random.between(from, until),
                    .kind = kinds[m_random.below(std::size(kinds))],
                    .target = drawProcess(),
                    .duration = m_random.between({ 50 }, maxFaultDuration),
                    .delay = m_random.between({ 5 }, { 400 }) };
                fault.duration = std::min(fault.duration, until + maxFaultDuration - fault.at);
                if (fault.kind == FaultKind::Wipe || fault.kind == FaultKind::KillAllControl)
                    fault.target = fmt::format("control-{}", 1 + m_random.below(m_shape.controls));
                add(fault);
            }
        }

        void drawPlannedOperations(Milliseconds from, Milliseconds until, int count)
        {
            constexpr FaultKind kinds[] { FaultKind::Stop, FaultKind::Stop, FaultKind::Reload, FaultKind::EvacuateDataCentre };
            for (int i = 0; i < count; ++i) {
                PlannedFault fault { .at = m_random.between(from, until),
                    .kind = kinds[m_random.below(std::size(kinds))],
                    .target = drawProcess(),
                    .duration = m_random.between({ 500 }, { 9'000 }) };
                if (fault.kind == FaultKind::EvacuateDataCentre)
                    fault.target = fmt::format("dc-{}", 1 + m_random.below(m_shape.dataCentres));
                add(fault);
            }
        }

        // The evacuation lasts longer than the time within which it takes effect everywhere.
        void evacuateDataCentre(Milliseconds at)
        {
            add({ .at = at, .kind = FaultKind::EvacuateDataCentre, .target = fmt::format("dc-{}", 1 + m_random.below(m_shape.dataCentres)), .duration = evacuationDuration });
        }

        // A crash may overlap late orders of its minion, but no other crash.
        void addCrash(const PlannedFault& crash)
        {
            const bool together = std::any_of(m_faults.begin(), m_faults.end(), [&crash](const PlannedFault& other) {
                return other.kind == FaultKind::CrashBehindCut && other.target == crash.target && crash.at <= other.at + other.duration
                    && other.at <= crash.at + crash.duration;
            });
            if (!together)
                m_faults.push_back(crash);
        }

        // Skips a fault that would take down a second control instance, or that overlaps another one of the same target. Returns
        // whether it was added.
        bool add(const PlannedFault& fault)
        {
            const bool isControl = fault.target.rfind("control-", 0) == 0;
            for (const auto& other : m_faults) {
                const bool otherControl = other.target.rfind("control-", 0) == 0;
                const Milliseconds gap = isControl && otherControl ? controlCatchUpTime : Milliseconds { 300 };
                const bool together = fault.at <= other.at + other.duration + gap && other.at <= fault.at + fault.duration + gap;
                if (together && (fault.target == other.target || (isControl && otherControl)))
                    return false;
            }
            m_faults.push_back(fault);
            return true;
        }

        std::uint64_t m_seed;
        RandomDraw m_random;
        Shape m_shape;
        std::vector<PlannedFault> m_faults;
    };

} // namespace

Plan makePlan(std::uint64_t seed, const Shape& shape) { return PlanBuilder(seed, shape).plan(); }

Shape makeShape(std::uint64_t seed)
{
    RandomDraw random(~seed);
    return { .controls = random.oneIn(3) ? 5 : 3,
        .entries = 2 + random.below(2),
        .sidecars = 3 + random.below(4),
        .dataCentres = 2 + random.below(2),
        .callers = 4 + random.below(6),
        .lateMinions = seed % lateMinionsPeriod >= promptSeedsPerPeriod };
}

const char* faultKindName(FaultKind kind) { return nameIn(faultKindNames, kind).data(); }

} // namespace oleanderport::soak
