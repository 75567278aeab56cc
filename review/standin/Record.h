#pragma once

#include "oleanderport/Clock.h"

#include <fstream>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oleanderport::review {

// One run of a task at a minion.
struct RecordedRun {
    std::string minion;
    std::string task;
    std::uint64_t number { 0 };
    Milliseconds startedAt {};
    // Zero while it runs.
    Milliseconds endedAt {};
    std::string how;
};

// What was sent, answered and run, with the time since the start of the case in milliseconds. Written to record.txt.
class Record {
public:
    explicit Record(const std::string& path);

    void add(const std::string& line);
    void started(const std::string& minion, const std::string& task, std::uint64_t number);
    void ended(const std::string& minion, const std::string& task, std::uint64_t number, const std::string& how);

    const std::vector<RecordedRun>& runs() const { return m_runs; }
    // Time since the start of the case.
    Milliseconds sinceStart(Milliseconds time) const { return time - m_startedAt; }

    // Pairs of runs of one task that were at work at the same time on two minions.
    std::vector<std::pair<RecordedRun, RecordedRun>> overlaps() const;

private:
    Milliseconds m_startedAt;
    std::ofstream m_file;
    std::vector<RecordedRun> m_runs;
};

} // namespace oleanderport::review
