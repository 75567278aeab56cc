#include "base/Metrics.h"

#include <fmt/format.h>

namespace oleanderport {

namespace {

    constexpr unsigned binCount = 48;
    constexpr double minMilliseconds = 0.01;
    constexpr double maxMilliseconds = 100'000;

} // namespace

void Metrics::add(const std::string& counter, std::uint64_t amount) { m_counters[counter] += amount; }

void Metrics::set(const std::string& gauge, double value) { m_gauges[gauge] = value; }

void Metrics::observe(const std::string& name, double milliseconds)
{
    auto found = m_timings.find(name);
    if (found == m_timings.end()) {
        const LogAxis axis(binCount, minMilliseconds, maxMilliseconds);
        found = m_timings.emplace(name, Timing { .histogram = boost::histogram::make_histogram(axis) }).first;
    }
    found->second.histogram(milliseconds);
    found->second.sum += milliseconds;
}

std::uint64_t Metrics::counter(const std::string& name) const
{
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    std::string out;
    for (const auto& [name, value] : m_counters)
        out += fmt::format("# TYPE oleanderport_{0} counter\noleanderport_{0} {1}\n", name, value);
    for (const auto& [name, value] : m_gauges)
        out += fmt::format("# TYPE oleanderport_{0} gauge\noleanderport_{0} {1}\n", name, value);
    for (const auto& [name, timing] : m_timings) {
        out += fmt::format("# TYPE oleanderport_{} histogram\n", name);
        double total = timing.histogram.at(-1);
        const auto& axis = timing.histogram.axis();
        for (int bin = 0; bin < axis.size(); ++bin) {
            total += timing.histogram.at(bin);
            out += fmt::format("oleanderport_{}_bucket{{le=\"{:.6g}\"}} {}\n", name, axis.bin(bin).upper(), total);
        }
        total += timing.histogram.at(axis.size());
        out += fmt::format("oleanderport_{0}_bucket{{le=\"+Inf\"}} {1}\noleanderport_{0}_sum {2}\noleanderport_{0}_count {1}\n",
            name, total, timing.sum);
    }
    return out;
}

} // namespace oleanderport
