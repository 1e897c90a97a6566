// Compares the product's decisions with plain first come, first served over loads and seeds, in virtual time.

#include "marlsill/model/fleet_model.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

using namespace marlsill::model;
namespace options = boost::program_options;

struct summary {
    double worth = 0;
    double patientServed = 0;
    double repeatingServed = 0;
    int ranTwice = 0;
};

template <placement_policy Policy> summary summarize(const model_options& load, int seeds)
{
    summary sum;
    for (int seed = 1; seed <= seeds; ++seed) {
        auto outcome = play<Policy>(load, static_cast<std::uint64_t>(seed));
        sum.worth += outcome.worth() / seeds;
        sum.patientServed += outcome.patient.servedShare() / seeds;
        sum.repeatingServed += outcome.repeating.servedShare() / seeds;
        sum.ranTwice += outcome.ranTwice;
    }
    return sum;
}

void print(const char* policy, double load, const summary& sum)
{
    char line[160];
    std::snprintf(line, sizeof line, "%5.1f  %-6s %6.3f  %6.3f  %6.3f  %6d  ", load, policy, sum.worth,
        sum.patientServed, sum.repeatingServed, sum.ranTwice);
    constexpr double barLength = 40;
    std::cout << line << std::string(static_cast<std::size_t>(barLength * sum.worth), '#') << '\n';
}

}

int main(int argc, char** argv)
{
    model_options load;
    int seeds = 0;
    int holdMs = 0;
    bool isRepeatable = false;
    options::options_description known("Options");
    known.add_options()("help", "print this");
    known.add_options()("seeds", options::value(&seeds)->default_value(5), "runs per line");
    known.add_options()("gone", options::value(&load.goneShare)->default_value(0.33), "share of upstreams");
    known.add_options()("gray", options::value(&load.grayShare)->default_value(0.0), "share of their time");
    known.add_options()("repeating", options::value(&load.repeatingShare)->default_value(0.1),
        "share of requests from callers that repeat at once");
    known.add_options()("repeatable", options::bool_switch(&isRepeatable), "requests may run twice");
    known.add_options()("hold-ms", options::value(&holdMs)->default_value(3'500), "first exclusion, ms");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
    } catch (const options::error& wrong) {
        std::cerr << wrong.what() << '\n' << known;
        return 2;
    }
    if (given.contains("help")) {
        std::cout << known;
        return 0;
    }
    load.isAtMostOnce = !isRepeatable;
    load.board.exclusionAtMostOnce = std::chrono::milliseconds(holdMs);
    std::cout << " load  policy  worth  patient  repeat  twice\n";
    for (double each : { 0.5, 1.0, 1.4, 2.0, 3.0 }) {
        load.load = each;
        print("fleet", each, summarize<fleet_policy>(load, seeds));
        print("plain", each, summarize<plain_policy>(load, seeds));
    }
    return 0;
}
