#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace oleanderport {

// Events of a model under a virtual clock, ordered by time, then by insertion.
class Agenda {
public:
    void at(Milliseconds time, std::function<void()> event) { m_events.emplace(std::pair(time, ++m_last), std::move(event)); }

    void runUntil(Milliseconds now)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= now) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
    }

private:
    std::map<std::pair<Milliseconds, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_last { 0 };
};

} // namespace oleanderport
