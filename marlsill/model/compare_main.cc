// Simulates the product's decision code and a first-come, first-served baseline at several loads, and prints
// the mean results over several seeds.

#include "marlsill/model/fleet_model.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

using namespace marlsill::model;
namespace po = boost::program_options;

struct summary {
    double utility = 0;
    double compliantServed = 0;
    double repeatingServed = 0;
    int duplicateExecutions = 0;
    int turnedAway = 0;
};

template <placement_policy Policy> summary summarize(const model_options& options, int seeds)
{
    summary total;
    for (int seed = 1; seed <= seeds; ++seed) {
        auto result = simulate<Policy>(options, static_cast<std::uint64_t>(seed));
        total.utility += result.utility() / seeds;
        total.compliantServed += result.compliant.servedFraction() / seeds;
        total.repeatingServed += result.repeating.servedFraction() / seeds;
        total.duplicateExecutions += result.duplicateExecutions;
        total.turnedAway += result.turnedAway / seeds;
    }
    return total;
}

void print(const char* policy, double load, const summary& total)
{
    char line[160];
    std::snprintf(line, sizeof line, "%5.1f  %-6s  %7.3f  %9.3f  %9.3f  %5d  %6d  ", load, policy,
        total.utility, total.compliantServed, total.repeatingServed, total.duplicateExecutions,
        total.turnedAway);
    constexpr double barLength = 40;
    std::cout << line << std::string(static_cast<std::size_t>(barLength * total.utility), '#') << '\n';
}

}

int main(int argc, char** argv)
{
    model_options options;
    int seeds = 0;
    int holdMs = 0;
    int turnAwayMs = 0;
    bool isRepeatable = false;
    po::options_description description("Options");
    description.add_options()("help", "print this help");
    description.add_options()("seeds", po::value(&seeds)->default_value(5), "simulation runs per line");
    description.add_options()("gone", po::value(&options.downFraction)->default_value(0.33),
        "fraction of the upstreams that are down");
    description.add_options()("gray", po::value(&options.grayTimeFraction)->default_value(0.0),
        "fraction of time that upstreams spend in gray failure");
    description.add_options()("turning-away", po::value(&options.turnAwayFraction)->default_value(0.0),
        "fraction of the upstreams that turn requests away and serve in turn");
    description.add_options()(
        "turn-away-ms", po::value(&turnAwayMs)->default_value(5'000), "how long they do either, in ms");
    description.add_options()("repeating", po::value(&options.repeatingFraction)->default_value(0.1),
        "fraction of requests from callers that ignore Retry-After");
    description.add_options()(
        "repeatable", po::bool_switch(&isRepeatable), "requests may be executed more than once");
    description.add_options()(
        "hold-ms", po::value(&holdMs)->default_value(3'500), "first exclusion of an upstream, in ms");
    po::variables_map arguments;
    try {
        po::store(po::parse_command_line(argc, argv, description), arguments);
        po::notify(arguments);
    } catch (const po::error& failure) {
        std::cerr << failure.what() << '\n' << description;
        return 2;
    }
    if (arguments.contains("help")) {
        std::cout << description;
        return 0;
    }
    options.isAtMostOnce = !isRepeatable;
    options.turnAwayTime = std::chrono::milliseconds(turnAwayMs);
    options.loadBalancer.exclusion.atMostOnce.initial = std::chrono::milliseconds(holdMs);
    std::cout << " load  policy  utility  compliant  repeating  twice  turned away\n";
    for (double offeredLoad : { 0.5, 1.0, 1.4, 2.0, 3.0 }) {
        options.load = offeredLoad;
        print("fleet", offeredLoad, summarize<fleet_policy>(options, seeds));
        if (options.turnAwayFraction > 0) {
            auto heedless = options;
            heedless.heedsTurnAways = false;
            print("heedl.", offeredLoad, summarize<fleet_policy>(heedless, seeds));
        }
        print("plain", offeredLoad, summarize<baseline_policy>(options, seeds));
    }
    return 0;
}
