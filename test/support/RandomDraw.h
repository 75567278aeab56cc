#pragma once

#include "oleanderport/Clock.h"

#include <concepts>
#include <cstdint>
#include <random>

namespace oleanderport {

// Random numbers from a seed that are the same with every standard library: the results of standard distributions differ
// between implementations, the remainder of a division does not.
class RandomDraw {
public:
    explicit RandomDraw(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::uint64_t number() { return m_random(); }
    // Zero or more and less than the limit.
    template <std::integral Number>
    Number below(Number limit) { return static_cast<Number>(m_random() % static_cast<std::uint64_t>(limit)); }
    Milliseconds between(Milliseconds from, Milliseconds until) { return { from.count + below(until.count - from.count) }; }
    bool oneIn(std::int64_t count) { return below(count) == 0; }

private:
    std::mt19937_64 m_random;
};

} // namespace oleanderport
