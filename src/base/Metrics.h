#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderport {

// Counters, gauges and histograms of this process.
class Metrics {
public:
    void add(const std::string& counter, std::uint64_t amount = 1);
    void set(const std::string& gauge, double value);

    // Records a duration in a histogram with logarithmic bins.
    void observe(const std::string& histogram, double milliseconds);

    std::uint64_t counter(const std::string& name) const;
    // Returns all series in the Prometheus text exposition format.
    std::string text() const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<LogAxis>()));

    struct Timing {
        Histogram histogram;
        double sum { 0 };
    };

    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, Timing> m_timings;
};

} // namespace oleanderport
