#include "policy/FormerSubmissions.h"

namespace oleanderport {

namespace {

    // Longer than a caller waits for a job, and longer than a late start request may still take effect.
    constexpr Milliseconds retention { 30'000 };

} // namespace

void FormerSubmissions::begin(const std::string& job) { ++m_former[job].inFlight; }

void FormerSubmissions::end(const std::string& job, bool mayHaveRun, Milliseconds now)
{
    removeExpired(now);
    const auto found = m_former.find(job);
    Former& former = found->second;
    --former.inFlight;
    former.mayHaveRun = former.mayHaveRun || mayHaveRun;
    if (former.inFlight > 0)
        return;
    if (!former.mayHaveRun) {
        m_former.erase(found);
        return;
    }
    former.endedAt = now;
    m_ended.emplace_back(now, job);
}

void FormerSubmissions::removeExpired(Milliseconds now)
{
    for (; !m_ended.empty() && now > m_ended.front().first + retention; m_ended.pop_front()) {
        const auto found = m_former.find(m_ended.front().second);
        if (found != m_former.end() && found->second.inFlight == 0 && found->second.endedAt == m_ended.front().first)
            m_former.erase(found);
    }
}

bool FormerSubmissions::isInFlight(const std::string& job) const
{
    const auto found = m_former.find(job);
    return found != m_former.end() && found->second.inFlight > 0;
}

bool FormerSubmissions::mayHaveRun(const std::string& job) const
{
    const auto found = m_former.find(job);
    return found != m_former.end() && found->second.mayHaveRun;
}

} // namespace oleanderport
