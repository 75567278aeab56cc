#pragma once

#include <compare>
#include <cstdint>

namespace oleanderport {

// A point in time or a span of time, in whole milliseconds. Points are counted from the start of the machine unless
// a name says otherwise ("unix" in a name means since 1970).
struct Milliseconds {
    std::int64_t count { 0 };

    auto operator<=>(const Milliseconds&) const = default;
};

constexpr Milliseconds operator+(Milliseconds a, Milliseconds b) { return { a.count + b.count }; }
constexpr Milliseconds operator-(Milliseconds a, Milliseconds b) { return { a.count - b.count }; }
constexpr Milliseconds operator*(Milliseconds a, std::int64_t factor) { return { a.count * factor }; }

// Source of time. Decisions never read it; they receive the time as an argument.
class Clock {
public:
    // Time since the machine started. Monotonic, and it counts time spent suspended, so a lease measured with it
    // cannot outlive a freeze of the process or of the machine.
    static Milliseconds now();

    // Microseconds on the same clock as now(), for measurements.
    static std::int64_t nowMicroseconds();

    // Wall-clock time since 1970. May jump; used only for deadlines that callers give and for display.
    static Milliseconds unixNow();
};

} // namespace oleanderport
