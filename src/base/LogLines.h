#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace oleanderport {

// A line of a process's log with the fields that searches use.
struct LogLine {
    // Unix milliseconds, by the clock of the process that wrote it.
    std::int64_t time { 0 };
    std::string request;
    std::string job;
    std::string text;
};

// Appends the lines that have the log's format. Other lines, such as those of a supervisor, are skipped.
void addLogLines(std::vector<LogLine>&, std::istream&);

// Returns the lines of all processes about a request or a job, ordered by time. Lines about the jobs of the request are
// included.
std::vector<LogLine> linesAbout(const std::vector<LogLine>&, const std::string& request, const std::string& job);

} // namespace oleanderport
