#include "Record.h"

#include <fmt/format.h>

namespace oleanderport::review {

Record::Record(const std::string& path)
    : m_startedAt(Clock::now())
    , m_file(path)
{
}

void Record::add(const std::string& line)
{
    m_file << fmt::format("{:>7} {}\n", sinceStart(Clock::now()).count, line) << std::flush;
}

void Record::started(const std::string& minion, const std::string& task, std::uint64_t number)
{
    m_runs.push_back({ .minion = minion, .task = task, .number = number, .startedAt = Clock::now(), .endedAt = {}, .how = {} });
    add(fmt::format("minion {}: {} run {} starts", minion, task, number));
}

void Record::ended(const std::string& minion, const std::string& task, std::uint64_t number, const std::string& how)
{
    for (auto& run : m_runs) {
        if (run.endedAt.count > 0 || run.minion != minion || run.task != task || run.number != number)
            continue;
        run.endedAt = Clock::now();
        run.how = how;
    }
    add(fmt::format("minion {}: {} run {} ends: {}", minion, task, number, how));
}

std::vector<std::pair<RecordedRun, RecordedRun>> Record::overlaps() const
{
    std::vector<std::pair<RecordedRun, RecordedRun>> found;
    const Milliseconds now = Clock::now();
    const auto endOf = [now](const RecordedRun& run) { return run.endedAt.count > 0 ? run.endedAt : now; };
    for (std::size_t i = 0; i < m_runs.size(); ++i) {
        for (std::size_t j = i + 1; j < m_runs.size(); ++j) {
            const RecordedRun& first = m_runs[i];
            const RecordedRun& second = m_runs[j];
            if (first.task == second.task && first.startedAt < endOf(second) && second.startedAt < endOf(first))
                found.emplace_back(first, second);
        }
    }
    return found;
}

} // namespace oleanderport::review
