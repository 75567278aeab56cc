#include "base/LogLines.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace oleanderport;

namespace {

std::vector<LogLine> linesOf(const std::string& text)
{
    std::vector<LogLine> lines;
    std::istringstream in(text);
    addLogLines(lines, in);
    return lines;
}

const char* const logs = "supervisor: started\n"
                         "12.5 entry-1 time=30 level=info role=entry instance=entry-1 step=entry.job peer=q request=r1 job=j1 message=\"refused after 3 ms: job=j2 request=r9\"\n"
                         "time=10 level=info role=sidecar instance=sidecar-1 step=minion.start job=j1 task=0 message=\"run 1 refused\"\n"
                         "time=20 level=info role=entry instance=entry-1 step=entry.job request=r2 job=j2 message=\"completed\"\n"
                         "time=abc level=info message=\"not a time\"\n";

} // namespace

Test(LogLines, readsLogLinesAndSkipsOthers)
{
    const auto lines = linesOf(logs);
    cr_assert(lines.size() == 3, "expected 3 lines, got %zu", lines.size());
    cr_assert(lines[0].request == "r1" && lines[0].job == "j1" && lines[0].time == 30);
    cr_assert(lines[1].request.empty() && lines[1].job == "j1");
}

Test(LogLines, findsLinesOfOtherProcessesAboutTheJobOfARequest)
{
    const auto found = linesAbout(linesOf(logs), "r1", "");
    cr_assert(found.size() == 2, "expected 2 lines, got %zu", found.size());
    cr_assert(found[0].time == 10 && found[1].time == 30);
    cr_assert(linesAbout(linesOf(logs), "r9", "").empty(), "text within a message is not a field");
    cr_assert(linesAbout(linesOf(logs), "", "j2").size() == 1);
}
