#include "policy/JobGrants.h"

#include <fmt/format.h>

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace oleanderport {

namespace {

    constexpr std::size_t registrarsPerJob = 3;
    // Sets of sidecars beyond the present one that are kept while a deployment starts.
    constexpr std::size_t maxFormerMembers = 8;

    struct Candidate {
        std::uint64_t rank { 0 };
        const std::string* sidecar { nullptr };
        const std::string* dataCentre { nullptr };
    };

    constexpr std::string_view heldText = "held by another entry";
    constexpr std::string_view provisionalText = "unknown, it has just started";

} // namespace

std::string describe(const GrantReport& report)
{
    switch (report.outcome) {
    case GrantOutcome::Granted:
        return fmt::format("granted after {} ms; at first {}", report.after.count, report.registrars);
    case GrantOutcome::NotGranted:
        return fmt::format("not granted within {} ms; at first {}", report.after.count, report.registrars);
    case GrantOutcome::Lost:
        break;
    }
    return fmt::format("given up, without its grants for {} ms; {}", report.after.count, report.registrars);
}

std::vector<std::string> registrarsOf(const std::string& job, const std::map<std::string, std::string>& dataCentres)
{
    std::vector<Candidate> candidates;
    candidates.reserve(dataCentres.size());
    for (const auto& [sidecar, dataCentre] : dataCentres)
        candidates.push_back({ .rank = XXH3_64bits_withSeed(job.data(), job.size(), XXH3_64bits(sidecar.data(), sidecar.size())), .sidecar = &sidecar, .dataCentre = &dataCentre });
    std::vector<std::string> chosen;
    std::set<std::string_view> used;
    while (chosen.size() < std::min(registrarsPerJob, dataCentres.size())) {
        const auto best = std::max_element(candidates.begin(), candidates.end(), [&used](const Candidate& a, const Candidate& b) {
            return std::pair(!used.contains(*a.dataCentre), a.rank) < std::pair(!used.contains(*b.dataCentre), b.rank);
        });
        chosen.push_back(*best->sidecar);
        used.insert(*best->dataCentre);
        candidates.erase(best);
    }
    return chosen;
}

JobGrants::JobGrants(JobGrantsOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

void JobGrants::setMembers(const std::map<std::string, std::string>& dataCentres, Milliseconds now)
{
    if (dataCentres == m_members)
        return;
    if (m_members.empty())
        m_firstMembersAt = now;
    else
        m_formerMembers.push_back({ .dataCentres = std::move(m_members), .until = now + m_options.formerMembersFor });
    if (m_formerMembers.size() > maxFormerMembers)
        m_formerMembers.erase(m_formerMembers.begin());
    m_members = dataCentres;
    ++m_membersVersion;
    checkAll();
}

std::vector<GrantRequest> JobGrants::connected(const std::string& name, Milliseconds now)
{
    Sidecar& sidecar = m_sidecars[name];
    sidecar.isConnected = true;
    sidecar.isReady = false;
    sidecar.requests.clear();
    sidecar.isUrgent = false;
    std::vector<GrantRequest> requests;
    for (auto& [job, state] : m_jobs) {
        const auto vote = state.votes.find(name);
        if (vote == state.votes.end())
            continue;
        // The registrar has not let the job go before the runs of a lost entry are over, also where the grant counts no more.
        const bool isKept = vote->second.state == VoteState::Granted && vote->second.lapses == sidecar.lapses && now <= sidecar.seenAt + maxLostEntryRunTime;
        if (!isGranted(state, name, now))
            vote->second.state = VoteState::Asked;
        vote->second.number = ++m_lastNumber;
        requests.push_back({ .job = job, .number = m_lastNumber, .kind = isKept ? GrantRequestKind::Renew : GrantRequestKind::Ask });
    }
    return requests;
}

void JobGrants::disconnected(const std::string& name)
{
    Sidecar& sidecar = m_sidecars[name];
    if (sidecar.isReady)
        checkJobsOf(name);
    // One that has left the deployment counts until its stream closes.
    if (sidecar.isReady && !m_members.contains(name))
        ++m_membersVersion;
    sidecar.isConnected = false;
    sidecar.isReady = false;
    sidecar.requests.clear();
    sidecar.isUrgent = false;
}

void JobGrants::handshakeDone(const std::string& name, bool isRegistrar)
{
    m_sidecars[name].isReady = m_sidecars[name].wasReady = true;
    m_sidecars[name].isRegistrar = isRegistrar;
    checkJobsOf(name);
}

void JobGrants::seen(const std::string& name, Milliseconds sentAt, Milliseconds now)
{
    Sidecar& sidecar = m_sidecars[name];
    if (now > sidecar.seenAt + m_options.validFor) {
        ++sidecar.lapses;
        checkJobsOf(name);
    }
    sidecar.seenAt = std::max(sidecar.seenAt, sentAt);
}

void JobGrants::answered(const std::string& sidecar, const GrantAnswer& answer)
{
    const auto job = m_jobs.find(answer.job);
    if (job == m_jobs.end())
        return;
    const auto vote = job->second.votes.find(sidecar);
    if (vote == job->second.votes.end() || vote->second.number != answer.number)
        return;
    Job& state = job->second;
    state.checkAt = Milliseconds {};
    switch (answer.state) {
    case GrantState::Granted:
        vote->second.state = VoteState::Granted;
        vote->second.lapses = m_sidecars[sidecar].lapses;
        return;
    case GrantState::Held:
        state.status.isTaken = state.status.isTaken || (state.wasHeld && vote->second.state != VoteState::Held);
        vote->second.state = VoteState::Held;
        state.status.isContested = true;
        break;
    case GrantState::Provisional:
        vote->second.state = VoteState::Provisional;
        vote->second.lapses = m_sidecars[sidecar].lapses;
        state.status.isProvisional = true;
    }
    if (!state.wasHeld)
        state.refusals.try_emplace(sidecar, vote->second.state);
}

const GrantStatus* JobGrants::acquire(const std::string& job) { return &m_jobs.try_emplace(job).first->second.status; }

void JobGrants::request(const std::string& name, const std::string& job, std::uint64_t number, GrantRequestKind kind, bool isUrgent)
{
    Sidecar& sidecar = m_sidecars[name];
    // What is not sent on this stream is left out of the first frame of the next one.
    if (!sidecar.isConnected)
        return;
    sidecar.requests.push_back({ .job = job, .number = number, .kind = kind });
    sidecar.isUrgent = sidecar.isUrgent || isUrgent;
}

void JobGrants::release(const std::string& name, bool isUrgent)
{
    const auto found = m_jobs.find(name);
    if (found == m_jobs.end())
        return;
    if (!found->second.wasHeld)
        endWait(name, found->second, false);
    for (const auto& [sidecar, vote] : found->second.votes) {
        --m_sidecars[sidecar].votes;
        request(sidecar, name, ++m_lastNumber, GrantRequestKind::Release, isUrgent);
    }
    m_jobs.erase(found);
}

void JobGrants::endWait(const std::string& name, const Job& job, bool isGranted)
{
    if (job.askedSince && !job.refusals.empty())
        m_endedWaits.push_back({ .job = name, .since = *job.askedSince, .isGranted = isGranted, .refusals = job.refusals });
}

JobGrants::Quorum JobGrants::quorumOf(const std::string& job, const std::map<std::string, std::string>& dataCentres) const
{
    Quorum quorum { .registrars = registrarsOf(job, dataCentres) };
    // Those that have left the deployment grant nothing any more.
    const auto present = std::count_if(quorum.registrars.begin(), quorum.registrars.end(), [this](const auto& name) {
        const auto sidecar = m_sidecars.find(name);
        return m_members.contains(name) || (sidecar != m_sidecars.end() && sidecar->second.isReady);
    });
    quorum.required = std::min(quorum.registrars.size() / 2 + 1, static_cast<std::size_t>(present));
    return quorum;
}

void JobGrants::findQuorums(const std::string& name, Job& job) const
{
    if (job.membersVersion == m_membersVersion)
        return;
    job.membersVersion = m_membersVersion;
    job.quorums = { quorumOf(name, m_members) };
    for (const auto& former : m_formerMembers) {
        auto quorum = quorumOf(name, former.dataCentres);
        if (std::find(job.quorums.begin(), job.quorums.end(), quorum) == job.quorums.end())
            job.quorums.push_back(std::move(quorum));
    }
}

bool JobGrants::isGranted(const Job& job, const std::string& name, Milliseconds now) const
{
    const auto sidecar = m_sidecars.find(name);
    if (sidecar == m_sidecars.end())
        return false;
    // Sidecars of earlier versions grant everything.
    if (sidecar->second.isReady && !sidecar->second.isRegistrar)
        return true;
    const auto vote = job.votes.find(name);
    return vote != job.votes.end() && isFavourable(vote->second.state) && vote->second.lapses == sidecar->second.lapses
        && now <= sidecar->second.seenAt + m_options.validFor;
}

bool JobGrants::isLikelyToLast(const Job& job, const std::string& name, Milliseconds now) const
{
    const auto sidecar = m_sidecars.find(name);
    return isGranted(job, name, now) && sidecar->second.isReady && (!sidecar->second.isRegistrar || now <= sidecar->second.seenAt + m_options.lateAfter);
}

bool JobGrants::hasQuorums(const Job& job, Milliseconds now) const
{
    return std::all_of(job.quorums.begin(), job.quorums.end(), [this, &job, now](const Quorum& quorum) {
        const auto granted = std::count_if(quorum.registrars.begin(), quorum.registrars.end(), [&](const auto& name) { return isGranted(job, name, now); });
        return static_cast<std::size_t>(granted) >= requiredOf(job, quorum, now);
    });
}

std::size_t JobGrants::requiredOf(const Job& job, const Quorum& quorum, Milliseconds now) const
{
    if (job.status.isHeld || m_hasStartedWithSidecars || now >= m_firstMembersAt + m_options.formerMembersFor)
        return quorum.required;
    const auto able = std::count_if(quorum.registrars.begin(), quorum.registrars.end(), [this, &job](const auto& name) {
        const auto sidecar = m_sidecars.find(name);
        const auto vote = job.votes.find(name);
        return sidecar != m_sidecars.end() && sidecar->second.isReady && (vote == job.votes.end() || vote->second.state != VoteState::Provisional);
    });
    return std::max(quorum.required, static_cast<std::size_t>(able));
}

void JobGrants::ask(const std::string& name, Job& job, const std::string& sidecar, Milliseconds now)
{
    const auto [vote, isNew] = job.votes.insert_or_assign(sidecar, Vote { .number = ++m_lastNumber, .askedAt = now });
    if (isNew)
        ++m_sidecars[sidecar].votes;
    request(sidecar, name, m_lastNumber, GrantRequestKind::Ask, true);
}

bool JobGrants::isOutvoted(const Job& job, const Quorum& quorum) const
{
    // Another entry holds the job, or several entries split it and return their grants. The answers of these registrars change.
    const auto held = std::count_if(quorum.registrars.begin(), quorum.registrars.end(), [this, &job](const auto& name) {
        const auto vote = job.votes.find(name);
        return vote != job.votes.end() && vote->second.state == VoteState::Held && m_sidecars.at(name).isReady;
    });
    return static_cast<std::size_t>(held) + quorum.required > quorum.registrars.size();
}

void JobGrants::askMissing(const std::string& name, Job& job, Milliseconds now)
{
    if (now < job.retryAt)
        return;
    for (const auto& quorum : job.quorums) {
        if (isOutvoted(job, quorum))
            continue;
        const std::size_t required = requiredOf(job, quorum, now);
        // Those in the own data centre first.
        std::vector<std::string> unasked;
        std::size_t expected = 0;
        for (const auto& sidecar : quorum.registrars) {
            const auto known = m_sidecars.find(sidecar);
            const bool isReady = known != m_sidecars.end() && known->second.isReady;
            const auto vote = job.votes.find(sidecar);
            const bool isAnswerDue = vote != job.votes.end() && vote->second.state == VoteState::Asked && isReady
                && now < vote->second.askedAt + m_options.answerTimeout;
            const bool hasLapsed = vote != job.votes.end() && isFavourable(vote->second.state) && isReady && vote->second.lapses != known->second.lapses;
            if (isAnswerDue || isLikelyToLast(job, sidecar, now))
                ++expected;
            else if (isReady && (vote == job.votes.end() || hasLapsed))
                unasked.push_back(sidecar);
        }
        const auto dataCentreOf = [this](const std::string& sidecar) {
            const auto member = m_members.find(sidecar);
            return member == m_members.end() ? std::string() : member->second;
        };
        std::stable_partition(unasked.begin(), unasked.end(), [&](const auto& sidecar) { return dataCentreOf(sidecar) == m_options.dataCentre; });
        for (const auto& sidecar : unasked) {
            if (expected >= required)
                break;
            ask(name, job, sidecar, now);
            ++expected;
        }
    }
}

void JobGrants::resolveSplit(const std::string& name, Job& job, Milliseconds now)
{
    const bool hasFavourable = std::any_of(job.votes.begin(), job.votes.end(), [this](const auto& item) { return isFavourable(item.second.state); });
    const bool hasHeld = std::any_of(job.votes.begin(), job.votes.end(), [](const auto& item) { return item.second.state == VoteState::Held; });
    // The grants of a job that was held keep others from placing it while its runs are stopped.
    if (job.wasHeld || !hasFavourable || !hasHeld) {
        job.splitSince.reset();
        return;
    }
    job.splitSince = job.splitSince.value_or(now);
    if (now < *job.splitSince + m_options.maxSplitTime)
        return;
    for (const auto& [sidecar, vote] : job.votes) {
        if (!isFavourable(vote.state))
            continue;
        --m_sidecars[sidecar].votes;
        request(sidecar, name, ++m_lastNumber, GrantRequestKind::Release, true);
    }
    std::erase_if(job.votes, [this](const auto& item) { return isFavourable(item.second.state); });
    job.splitSince.reset();
    job.retryAt = now + Milliseconds { 1 + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(m_options.splitBackoff.count)) };
}

void JobGrants::startOver(const std::string& name)
{
    Job& job = m_jobs.at(name);
    job.wasHeld = false;
    job.status.lostSince.reset();
    job.status.isTaken = false;
    job.checkAt = Milliseconds {};
}

void JobGrants::checkAll()
{
    for (auto& [name, job] : m_jobs)
        job.checkAt = Milliseconds {};
}

void JobGrants::checkJobsOf(const std::string& sidecar)
{
    for (auto& [name, job] : m_jobs) {
        if (!job.status.isHeld || job.votes.contains(sidecar))
            job.checkAt = Milliseconds {};
    }
}

void JobGrants::check(const std::string& name, Job& job, Milliseconds now)
{
    findQuorums(name, job);
    const bool isHeld = hasQuorums(job, now);
    if (isHeld) {
        job.status.lostSince.reset();
        job.status.isTaken = false;
    } else if (job.status.isHeld)
        job.status.lostSince = now;
    job.status.isHeld = isHeld;
    job.askedSince = job.askedSince.value_or(now);
    if (isHeld && !job.wasHeld)
        endWait(name, job, true);
    job.wasHeld = job.wasHeld || isHeld;
    if (!isHeld)
        resolveSplit(name, job, now);
    askMissing(name, job, now);
    job.checkAt = nextCheckOf(job, now);
}

std::optional<Milliseconds> JobGrants::nextCheckOf(const Job& job, Milliseconds now) const
{
    std::optional<Milliseconds> due;
    const auto at = [&due, now](Milliseconds time) {
        if (time > now)
            due = due ? std::min(*due, time) : time;
    };
    if (!job.status.isHeld) {
        at(job.retryAt);
        at(m_firstMembersAt + m_options.formerMembersFor);
    }
    if (job.splitSince)
        at(*job.splitSince + m_options.maxSplitTime);
    for (const auto& [sidecar, vote] : job.votes) {
        if (job.status.isHeld && isFavourable(vote.state)) {
            at(m_sidecars.at(sidecar).seenAt + m_options.lateAfter + Milliseconds { 1 });
            at(m_sidecars.at(sidecar).seenAt + m_options.validFor + Milliseconds { 1 });
        } else if (!job.status.isHeld && vote.state == VoteState::Asked)
            at(vote.askedAt + m_options.answerTimeout);
    }
    return due;
}

void JobGrants::act(Milliseconds now, bool hasStartedWithSidecars)
{
    if (std::exchange(m_hasStartedWithSidecars, hasStartedWithSidecars) != hasStartedWithSidecars)
        checkAll();
    if (std::erase_if(m_formerMembers, [now](const FormerMembers& each) { return now >= each.until; }) > 0) {
        ++m_membersVersion;
        checkAll();
    }
    for (auto& [name, job] : m_jobs) {
        if (job.checkAt && now >= *job.checkAt)
            check(name, job, now);
    }
}

std::optional<Milliseconds> JobGrants::nextDue() const
{
    std::optional<Milliseconds> due;
    const auto at = [&due](Milliseconds time) { due = due ? std::min(*due, time) : time; };
    for (const auto& [name, job] : m_jobs) {
        if (job.checkAt)
            at(*job.checkAt);
    }
    for (const auto& former : m_formerMembers)
        at(former.until);
    return due;
}

GrantStatus JobGrants::status(const std::string& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? GrantStatus {} : found->second.status;
}

bool JobGrants::doAllSidecarsGrant() const
{
    return !m_members.empty()
        && std::all_of(m_sidecars.begin(), m_sidecars.end(), [](const auto& item) { return item.second.isRegistrar || !item.second.wasReady; });
}

std::string JobGrants::describeMissing(const std::string& job, Milliseconds now) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return {};
    std::set<std::string> registrars;
    for (const auto& quorum : found->second.quorums)
        registrars.insert(quorum.registrars.begin(), quorum.registrars.end());
    const auto stateAt = [this, &votes = found->second.votes, now](const std::string& sidecar) -> std::string {
        const auto link = m_sidecars.find(sidecar);
        const auto vote = votes.find(sidecar);
        if (link == m_sidecars.end() || !link->second.isReady)
            return "not connected";
        if (vote == votes.end())
            return "not asked";
        switch (vote->second.state) {
        case VoteState::Asked:
            return fmt::format("not answered within {} ms", (now - vote->second.askedAt).count);
        case VoteState::Held:
            return std::string(heldText);
        case VoteState::Provisional:
            return std::string(provisionalText);
        case VoteState::Granted:
            break;
        }
        return fmt::format("granted, not heard for {} ms", (now - link->second.seenAt).count);
    };
    std::vector<std::string> missing;
    for (const auto& sidecar : registrars) {
        if (!isGranted(found->second, sidecar, now))
            missing.push_back(fmt::format("{}: {}", sidecar, stateAt(sidecar)));
    }
    return fmt::format("{}", fmt::join(missing, ", "));
}

void JobGrants::givenUp(const std::string& job, Milliseconds now)
{
    if (const auto since = status(job).lostSince)
        m_reports.push_back({ .job = job, .outcome = GrantOutcome::Lost, .after = now - *since, .registrars = describeMissing(job, now) });
}

std::vector<GrantReport> JobGrants::takeReports(Milliseconds now)
{
    for (const auto& wait : std::exchange(m_endedWaits, {})) {
        std::vector<std::string> refusals;
        for (const auto& [sidecar, state] : wait.refusals)
            refusals.push_back(fmt::format("{}: {}", sidecar, state == VoteState::Held ? heldText : provisionalText));
        m_reports.push_back({ .job = wait.job,
            .outcome = wait.isGranted ? GrantOutcome::Granted : GrantOutcome::NotGranted,
            .after = now - wait.since,
            .registrars = fmt::format("{}", fmt::join(refusals, ", ")) });
    }
    return std::exchange(m_reports, {});
}

bool JobGrants::holdsAnyAt(const std::string& sidecar) const
{
    const auto found = m_sidecars.find(sidecar);
    return found != m_sidecars.end() && found->second.votes > 0;
}

bool JobGrants::hasRequests(const std::string& sidecar, bool isUrgent) const
{
    const auto found = m_sidecars.find(sidecar);
    return found != m_sidecars.end() && (isUrgent ? found->second.isUrgent : !found->second.requests.empty());
}

std::vector<GrantRequest> JobGrants::takeRequests(const std::string& sidecar)
{
    const auto found = m_sidecars.find(sidecar);
    if (found == m_sidecars.end())
        return {};
    found->second.isUrgent = false;
    return std::exchange(found->second.requests, {});
}

} // namespace oleanderport
