#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace oleanderport {

// One line of a process's log, with the fields by which lines are found.
struct LogLine {
    // Unix milliseconds, by the clock of the process that wrote it.
    std::int64_t time { 0 };
    std::string request;
    std::string job;
    std::string text;
};

// Reads the lines that have the log's format and passes over others, such as those of a supervisor.
void addLogLines(std::vector<LogLine>&, std::istream&);

// The lines about a request or a job, in order of time. A request is followed to its jobs, and a job to what every
// process wrote about it.
std::vector<LogLine> linesAbout(const std::vector<LogLine>&, const std::string& request, const std::string& job);

} // namespace oleanderport
