#pragma once

// Collects what callers saw and prints it.
//
//     load_report report(10'000);
//     report.add(route::entry, "ran", latency);
//     std::puts(report.toText().c_str());

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace marlsill::load {

// Latencies in milliseconds with exact quantiles of the upper half.
using latency_accumulator = boost::accumulators::accumulator_set<double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
        boost::accumulators::tag::max, boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

// Thread safe.
class load_report {
public:
    // `capacity` is the most latencies that will be added for each way.
    explicit load_report(std::size_t capacity);

    // Adds one request that went through an entry VM. `outcome` is what the caller was told.
    void addThroughEntry(const std::string& outcome, std::chrono::steady_clock::duration latency);

    // Adds one request that went to an upstream directly.
    void addDirect(std::chrono::steady_clock::duration latency);

    // Returns a latency quantile in milliseconds of the requests that ran, from 0.5 up.
    double entryQuantile(double quantile) const;
    double directQuantile(double quantile) const;

    // Returns the outcome counts and the latency table, with the added latency where requests went both ways.
    std::string toText() const;

    // Returns the same as JSON.
    std::string toJson() const;

private:
    mutable std::mutex m_mutex; // Guards everything below.
    std::map<std::string, std::uint64_t> m_outcomes;
    latency_accumulator m_entry;
    latency_accumulator m_direct;
};

}
