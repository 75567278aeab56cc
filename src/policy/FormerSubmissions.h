#pragma once

#include "oleanderport/Clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace oleanderport {

// Remembers the jobs that an earlier submission may have started here. An entry must not report them as never run.
class FormerSubmissions {
public:
    void begin(const std::string& job);
    void end(const std::string& job, bool mayHaveRun, Milliseconds now);

    bool isInFlight(const std::string& job) const;
    // Whether a submission that has ended may have run the job.
    bool mayHaveRun(const std::string& job) const;

private:
    struct Former {
        std::size_t inFlight { 0 };
        bool mayHaveRun { false };
        Milliseconds endedAt {};
    };

    void removeExpired(Milliseconds now);

    std::map<std::string, Former> m_former;
    // Ends of submissions in order of time.
    std::deque<std::pair<Milliseconds, std::string>> m_ended;
};

} // namespace oleanderport
