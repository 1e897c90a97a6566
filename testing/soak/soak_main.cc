// Plays the fault soak with one seed; the exit status tells whether a promise was broken.

#include "testing/soak/soak_run.h"

#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    marlsill::testing::soak_options soak;
    int seconds = 0;
    options::options_description known("Options");
    known.add_options()("seed", options::value(&soak.seed)->default_value(1), "of the faults");
    known.add_options()("seconds", options::value(&seconds)->default_value(20), "of faults");
    known.add_options()(
        "entries", options::value(&soak.entries)->default_value(5), "entry daemons, 2 to 250");
    known.add_options()("callers", options::value(&soak.callers)->default_value(8), "callers at a time");
    known.add_options()("program", options::value(&soak.program)->required(), "marlsill-platform-entry");
    known.add_options()("earlier-program", options::value(&soak.earlierProgram),
        "of an earlier build, from which the fleet is upgraded during the run");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
    } catch (const options::error& wrong) {
        std::cerr << wrong.what() << '\n' << known;
        return 2;
    }
    soak.length = std::chrono::seconds(seconds);
    auto folder = std::filesystem::temp_directory_path()
        / ("marlsill-soak-" + std::to_string(::getpid()) + "-" + std::to_string(soak.seed));
    std::filesystem::create_directories(folder);
    soak.folder = folder.string();
    auto report = marlsill::testing::soak_run(soak).run();
    std::cout << "seed " << soak.seed << ": " << report.faults << " faults, " << report.sent << " requests, "
              << report.served << " served, " << report.refused << " refused, " << report.drainsChecked
              << " drains, " << report.limitsChecked << " limits, " << report.leavingsChecked
              << " notices of leaving and " << report.turnAwaysChecked << " times of turning away checked, "
              << report.upgrades << " changes of build, " << report.repeats << " repeats, "
              << report.broken.size() << " promises broken\n";
    for (const auto& each : report.broken) {
        std::cout << "  " << each << '\n';
    }
    if (!report.broken.empty()) {
        std::cout << "  logs: " << soak.folder << '\n';
        return 1;
    }
    std::filesystem::remove_all(folder);
    return 0;
}
