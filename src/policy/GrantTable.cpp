#include "policy/GrantTable.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace oleanderport {

std::string_view instanceOf(std::string_view incarnation) { return incarnation.substr(0, incarnation.rfind('/')); }

std::string describe(const FreedGrants& freed)
{
    const auto loss = freed.closedFor ? fmt::format("closed its stream {} ms before", freed.closedFor->count) : std::string("has an open stream");
    return fmt::format("{} jobs granted to entry {} are free, {} of them waited for; it {}, last heard {} ms before", freed.jobs, freed.entry,
        freed.waitedFor, loss, freed.silentFor.count);
}

GrantTable::GrantTable(GrantTableOptions options, Milliseconds now)
    : m_options(options)
    , m_startedAt(now)
{
}

Milliseconds GrantTable::holdsUntil(const Entry& entry) const
{
    return entry.lostAt.value_or(entry.heardAt + m_options.entryLateAfter) + m_options.holdAfterLoss;
}

void GrantTable::answer(const std::string& entry, const std::string& job, std::uint64_t number, GrantState state)
{
    m_answers[entry].push_back({ .job = job, .number = number, .state = state });
}

void GrantTable::give(Grant& grant, const std::string& entry)
{
    if (grant.holder == entry)
        return;
    grant.holder = entry;
    ++m_entries[entry].grants;
}

void GrantTable::eraseWaiter(Grant& grant, const std::string& entry)
{
    m_waiters -= std::erase_if(grant.waiters, [&entry](const Waiter& waiter) { return waiter.entry == entry; });
}

void GrantTable::giveToNext(const std::string& job, Grant& grant)
{
    if (grant.waiters.empty())
        return;
    const Waiter next = grant.waiters.front();
    grant.waiters.pop_front();
    --m_waiters;
    give(grant, next.entry);
    grant.number = next.number;
    answer(next.entry, job, next.number, stateOf(grant));
}

void GrantTable::release(const std::string& job, Grant& grant)
{
    --m_entries[grant.holder].grants;
    grant.holder.clear();
    giveToNext(job, grant);
}

void GrantTable::displace(const std::string& job, Grant& grant)
{
    --m_entries[grant.holder].grants;
    grant.waiters.push_front({ .entry = std::exchange(grant.holder, {}), .number = grant.number });
    ++m_waiters;
    answer(grant.waiters.front().entry, job, grant.number, GrantState::Held);
}

// After a start nothing is known of the jobs of entries that have not opened a stream, and of the former incarnations of those that have just
// started: their runs may go on for holdAfterLoss.
Milliseconds GrantTable::authoritativeAt() const
{
    const Milliseconds latest = m_startedAt + m_options.holdAfterLoss;
    Milliseconds known = m_startedAt;
    std::uint64_t expected = 0;
    std::uint64_t connected = 0;
    for (const auto& [name, entry] : m_entries) {
        if (entry.lostAt)
            continue;
        ++connected;
        expected = std::max(expected, entry.introduction.entries);
        known = std::max(known, entry.startedAt + m_options.holdAfterLoss);
    }
    return expected > 0 && connected >= expected ? std::min(known, latest) : latest;
}

void GrantTable::opened(const std::string& name, const std::vector<GrantRequest>& requests, Milliseconds now, const EntryIntroduction& introduction)
{
    for (auto& [other, entry] : m_entries) {
        if (other != name && instanceOf(other) == instanceOf(name) && !entry.lostAt)
            entry.lostAt = now;
    }
    Entry& entry = m_entries[name];
    entry.lostAt.reset();
    entry.introduction = introduction;
    entry.startedAt = now - introduction.startedFor;
    entry.heardAt = now;
    m_answers.erase(name);
    std::set<std::string_view> named;
    for (const auto& request : requests)
        named.insert(request.job);
    for (auto& [job, grant] : m_grants) {
        eraseWaiter(grant, name);
        if (grant.holder == name && !named.contains(job))
            release(job, grant);
    }
    std::erase_if(m_grants, [](const auto& item) { return item.second.holder.empty() && item.second.waiters.empty(); });
    for (const auto& request : requests)
        take(name, request, now);
}

void GrantTable::closed(const std::string& name, Milliseconds now)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end())
        return;
    if (!found->second.lostAt)
        found->second.lostAt = now;
    m_answers.erase(name);
    for (auto& [job, grant] : m_grants)
        eraseWaiter(grant, name);
}

void GrantTable::heard(const std::string& name, Milliseconds now) { m_entries[name].heardAt = now; }

void GrantTable::take(const std::string& name, const GrantRequest& request, Milliseconds now)
{
    Grant& grant = m_grants[request.job];
    eraseWaiter(grant, name);
    if (request.kind == GrantRequestKind::Release) {
        if (grant.holder == name)
            release(request.job, grant);
        if (grant.holder.empty() && grant.waiters.empty())
            m_grants.erase(request.job);
        return;
    }
    const bool isRenewal = request.kind == GrantRequestKind::Renew;
    if (isRenewal && grant.isProvisional && !grant.holder.empty() && grant.holder != name)
        displace(request.job, grant);
    if (grant.holder.empty()) {
        give(grant, name);
        grant.isProvisional = !m_isAuthoritative;
    }
    if (grant.holder == name) {
        grant.isProvisional = grant.isProvisional && !isRenewal;
        grant.number = request.number;
        return answer(name, request.job, request.number, stateOf(grant));
    }
    grant.waiters.push_back({ .entry = name, .number = request.number });
    ++m_waiters;
    answer(name, request.job, request.number, GrantState::Held);
}

void GrantTable::act(Milliseconds now)
{
    if (!m_isAuthoritative && now >= authoritativeAt()) {
        m_isAuthoritative = true;
        for (auto& [job, grant] : m_grants) {
            if (std::exchange(grant.isProvisional, false) && !grant.holder.empty())
                answer(grant.holder, job, grant.number, GrantState::Granted);
        }
    }
    for (auto& [name, entry] : m_entries) {
        if (entry.grants == 0 || now < holdsUntil(entry))
            continue;
        FreedGrants freed { .entry = name,
            .jobs = entry.grants,
            .closedFor = entry.lostAt ? std::optional(now - *entry.lostAt) : std::nullopt,
            .silentFor = now - entry.heardAt };
        for (auto& [job, grant] : m_grants) {
            if (grant.holder != name)
                continue;
            freed.waitedFor += grant.waiters.empty() ? 0 : 1;
            release(job, grant);
        }
        m_freed.push_back(std::move(freed));
    }
    std::erase_if(m_grants, [](const auto& item) { return item.second.holder.empty() && item.second.waiters.empty(); });
    std::erase_if(m_entries, [this, now](const auto& item) { return item.second.grants == 0 && item.second.lostAt && now >= holdsUntil(item.second); });
}

std::optional<Milliseconds> GrantTable::nextDue(Milliseconds now) const
{
    std::optional<Milliseconds> due;
    const auto at = [&due](Milliseconds time) { due = due ? std::min(*due, time) : time; };
    if (!m_isAuthoritative)
        at(std::max(authoritativeAt(), now + Milliseconds { 1 }));
    for (const auto& [name, entry] : m_entries) {
        if (m_waiters > 0 && entry.grants > 0)
            at(std::max(holdsUntil(entry), now + Milliseconds { 1 }));
    }
    return due;
}

bool GrantTable::holdsAny(const std::string& entry) const
{
    const auto found = m_entries.find(entry);
    return found != m_entries.end() && found->second.grants > 0;
}

std::vector<GrantAnswer> GrantTable::takeAnswers(const std::string& entry)
{
    const auto found = m_answers.find(entry);
    if (found == m_answers.end())
        return {};
    auto answers = std::move(found->second);
    m_answers.erase(found);
    return answers;
}

} // namespace oleanderport
