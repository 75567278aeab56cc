#pragma once

#include <compare>
#include <cstdint>

namespace oleanderport {

// A point in time or a duration, in whole milliseconds. Points in time count from the boot of the machine, or from 1970 where
// the name contains "unix".
struct Milliseconds {
    std::int64_t count { 0 };

    auto operator<=>(const Milliseconds&) const = default;
};

constexpr Milliseconds operator+(Milliseconds a, Milliseconds b) { return { a.count + b.count }; }
constexpr Milliseconds operator-(Milliseconds a, Milliseconds b) { return { a.count - b.count }; }
constexpr Milliseconds operator*(Milliseconds a, std::int64_t factor) { return { a.count * factor }; }

// Source of time. The policies never read it; they receive the time as an argument.
class Clock {
public:
    // Time since boot. Monotonic, and it includes time spent suspended, so a lease measured with it also expires while the
    // process or the machine is paused.
    static Milliseconds now();

    // Microseconds on the same clock as now(), for measurements.
    static std::int64_t nowMicroseconds();

    // Wall-clock time since 1970. May jump; used only for callers' deadlines and for display.
    static Milliseconds unixNow();
};

} // namespace oleanderport
