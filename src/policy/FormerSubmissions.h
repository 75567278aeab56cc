#pragma once

#include "oleanderport/Clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace oleanderport {

// Which jobs a former submission may have started here. Of these an entry must not say that they never run.
class FormerSubmissions {
public:
    void begin(const std::string& job);
    void end(const std::string& job, bool mayHaveRun, Milliseconds now);

    bool isInFlight(const std::string& job) const;
    // Of a submission that has ended.
    bool mayHaveRun(const std::string& job) const;

private:
    struct Former {
        std::size_t inFlight { 0 };
        bool mayHaveRun { false };
        Milliseconds endedAt {};
    };

    void removeExpired(Milliseconds now);

    std::map<std::string, Former> m_former;
    // In order of time.
    std::deque<std::pair<Milliseconds, std::string>> m_ended;
};

} // namespace oleanderport
