#include "policy/RunDiagnostics.h"

#include "oleanderport/NameTable.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    // A stop that takes less is not reported: a minion ends a run within 50 ms, and the answers take two round trips.
    constexpr Milliseconds usualStopTime { 200 };
    constexpr std::size_t maxConclusions = 128;

    constexpr NameTable<StopCause, 11> stopCauseNames { {
        { StopCause::None, "none" },
        { StopCause::EntryAsked, "entry_asked" },
        { StopCause::EntryForgot, "entry_forgot" },
        { StopCause::EntrySilent, "entry_silent" },
        { StopCause::Deadline, "deadline" },
        { StopCause::Stuck, "stuck" },
        { StopCause::OtherSubmission, "other_submission" },
        { StopCause::FormerIncarnation, "former_incarnation" },
        { StopCause::MinionLeaves, "minion_leaves" },
        { StopCause::StartDeclined, "start_declined" },
        { StopCause::NoPermission, "no_permission" },
    } };

    constexpr NameTable<EndProof, 6> endProofNames { {
        { EndProof::ListedEnd, "listed_end" },
        { EndProof::NotListedAfterStop, "not_listed_after_stop" },
        { EndProof::MissingFromList, "missing_from_list" },
        { EndProof::LeasesOver, "leases_over" },
        { EndProof::StartDeclined, "start_declined" },
        { EndProof::MinionGone, "minion_gone" },
    } };

    std::string leaseText(const std::optional<Milliseconds>& left)
    {
        if (!left)
            return "no lease granted";
        return left->count > 0 ? fmt::format("latest lease ends in {} ms", left->count) : fmt::format("latest lease ended {} ms before", -left->count);
    }

} // namespace

std::string_view stopCauseName(StopCause cause) { return nameIn(stopCauseNames, cause); }

std::string_view endProofName(EndProof proof) { return nameIn(endProofNames, proof); }

std::string describe(const ConcludedRun& item)
{
    std::string text = fmt::format("run {} of step {} of entry {} concluded: {}; ", item.run.run, item.run.step, item.entry, endProofName(item.proof));
    if (item.stoppingFor)
        text += fmt::format("stopped {} ms before: {}, stop {}", item.stoppingFor->count, stopCauseName(item.cause),
            item.stopAnsweredFor ? fmt::format("answered {} ms before", item.stopAnsweredFor->count) : "not answered");
    else
        text += "not being stopped";
    text += fmt::format("; entry last heard {} ms before; {}", item.entrySilentFor.count, leaseText(item.leaseLeft));
    if (item.isMinionReplaced)
        text += "; the minion was replaced meanwhile";
    return text;
}

std::string describe(const RunWithoutEntry& item)
{
    if (item.goneAfter)
        return fmt::format("run {} of step {} without entry gone after {} ms, stop {}", item.run.run, item.run.step, item.goneAfter->count,
            item.stopAnsweredAfter ? fmt::format("answered after {} ms", item.stopAnsweredAfter->count) : "not answered");
    return fmt::format("minion lists a run without entry: run {} of step {}, {}", item.run.run, item.run.step,
        item.concluded ? fmt::format("concluded {} ms before: {}", item.concluded->first.count, endProofName(item.concluded->second))
                       : "not among the latest runs concluded here");
}

std::string describe(const ShortenedLease& item)
{
    const std::string stop
        = item.abandonedFor ? fmt::format(", abandoned {} ms before: {}", item.abandonedFor->count, stopCauseName(item.cause)) : std::string {};
    return fmt::format("lease shortened by {} ms to {} ms by run {} of step {} of entry {}: entry last heard {} ms before{}",
        item.shortenedBy.count, std::max<std::int64_t>(item.left.count, 0), item.run.run, item.run.step, item.entry, item.entrySilentFor.count, stop);
}

std::string describe(const OtherIncarnationListed& item)
{
    return fmt::format("the minion lists {} runs with start time {}, the report taken has {}", item.runs, item.listed.count, item.taken.count);
}

void RunDiagnosticsCollector::concluded(ConcludedRun item, Milliseconds now)
{
    m_conclusions.push_back({ .run = item.run, .at = now, .proof = item.proof });
    if (m_conclusions.size() > maxConclusions)
        m_conclusions.pop_front();
    const bool isUnproven = item.proof == EndProof::LeasesOver || item.proof == EndProof::MissingFromList;
    if (!isUnproven && item.stoppingFor.value_or(Milliseconds {}) <= usualStopTime)
        return;
    item.leaseLeft = leaseLeft(now);
    m_collected.concluded.push_back(std::move(item));
}

void RunDiagnosticsCollector::leaseGranted(Milliseconds end, Milliseconds wholeEnd, const std::optional<Bound>& bound, Milliseconds now)
{
    if (end > now) {
        m_latestLeaseEnd = std::max(m_latestLeaseEnd.value_or(end), end);
        const bool isBeside = std::any_of(
            m_withoutEntry.begin(), m_withoutEntry.end(), [](const auto& item) { return !item.second.stopAnsweredAt; });
        m_collected.leasesBesideRunsWithoutEntry += isBeside ? 1 : 0;
    }
    if (!bound) {
        m_boundBy.reset();
        return;
    }
    ++m_collected.leasesShortened;
    if (m_boundBy == bound->run)
        return;
    m_boundBy = bound->run;
    m_collected.shortened.push_back({ .run = bound->run,
        .entry = bound->entry,
        .shortenedBy = wholeEnd - end,
        .left = end - now,
        .entrySilentFor = now - bound->entryHeardAt,
        .cause = bound->cause,
        .abandonedFor = bound->abandonedAt ? std::optional(now - *bound->abandonedAt) : std::nullopt });
}

void RunDiagnosticsCollector::listedWithoutEntry(const std::set<RunName>& runs, bool isWhole, Milliseconds now)
{
    std::erase_if(m_withoutEntry, [&](const auto& item) {
        const auto& [name, listed] = item;
        if (!isWhole || runs.contains(name))
            return false;
        m_collected.withoutEntry.push_back({ .run = name,
            .goneAfter = now - listed.since,
            .stopAnsweredAfter = listed.stopAnsweredAt ? std::optional(*listed.stopAnsweredAt - listed.since) : std::nullopt });
        return true;
    });
    for (const auto& name : runs) {
        if (!m_withoutEntry.emplace(name, Listed { .since = now }).second)
            continue;
        ++m_collected.newWithoutEntry;
        RunWithoutEntry item { .run = name };
        if (const Conclusion* last = latestConclusion(name))
            item.concluded = { now - last->at, last->proof };
        m_collected.withoutEntry.push_back(std::move(item));
    }
}

void RunDiagnosticsCollector::stopAnswered(const RunName& run, Milliseconds now)
{
    const auto found = m_withoutEntry.find(run);
    if (found != m_withoutEntry.end() && !found->second.stopAnsweredAt)
        found->second.stopAnsweredAt = now;
}

void RunDiagnosticsCollector::otherIncarnationListed(const OtherIncarnationListed& item)
{
    if (std::exchange(m_otherBorn, item.listed) != item.listed)
        m_collected.otherIncarnations.push_back(item);
}

const RunDiagnosticsCollector::Conclusion* RunDiagnosticsCollector::latestConclusion(const RunName& run) const
{
    const auto last = std::find_if(m_conclusions.rbegin(), m_conclusions.rend(), [&run](const Conclusion& each) { return each.run == run; });
    return last == m_conclusions.rend() ? nullptr : &*last;
}

std::optional<EndProof> RunDiagnosticsCollector::proofOf(const RunName& run) const
{
    const Conclusion* last = latestConclusion(run);
    return last ? std::optional(last->proof) : std::nullopt;
}

std::optional<Milliseconds> RunDiagnosticsCollector::leaseLeft(Milliseconds now) const
{
    return m_latestLeaseEnd ? std::optional(*m_latestLeaseEnd - now) : std::nullopt;
}

} // namespace oleanderport
