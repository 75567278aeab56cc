#include "base/LogLines.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace oleanderport {

namespace {

    // Returns the value of a field; empty when the line doesn't have it. Fields precede the message, and their values have
    // no spaces.
    std::string fieldOf(const std::string& line, const std::string& name)
    {
        const std::string key = name + "=";
        const std::string head = line.substr(0, line.find(" message="));
        auto begin = head.compare(0, key.size(), key) == 0 ? 0 : head.find(" " + key);
        if (begin == std::string::npos)
            return {};
        begin = head.find('=', begin) + 1;
        return head.substr(begin, head.find(' ', begin) - begin);
    }

} // namespace

void addLogLines(std::vector<LogLine>& lines, std::istream& in)
{
    for (std::string text; std::getline(in, text);) {
        // A supervisor may have prefixed the line.
        const auto begin = text.find("time=");
        if (begin == std::string::npos)
            continue;
        LogLine line { .text = text.substr(begin) };
        const std::string time = fieldOf(line.text, "time");
        const auto parsed = std::from_chars(time.data(), time.data() + time.size(), line.time);
        if (time.empty() || parsed.ptr != time.data() + time.size())
            continue;
        line.request = fieldOf(line.text, "request");
        line.job = fieldOf(line.text, "job");
        lines.push_back(std::move(line));
    }
}

std::vector<LogLine> linesAbout(const std::vector<LogLine>& lines, const std::string& request, const std::string& job)
{
    std::set<std::string> jobs;
    if (!job.empty())
        jobs.insert(job);
    for (const auto& line : lines) {
        if (!request.empty() && line.request == request && !line.job.empty())
            jobs.insert(line.job);
    }
    std::vector<LogLine> found;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(found), [&](const LogLine& line) {
        return (!request.empty() && line.request == request) || (!line.job.empty() && jobs.contains(line.job));
    });
    std::stable_sort(found.begin(), found.end(), [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
    return found;
}

} // namespace oleanderport
