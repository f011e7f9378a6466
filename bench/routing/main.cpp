#include "rows.h"

#include <getopt.h>

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace {

using namespace chervilfield::bench;

constexpr std::size_t kAssociationEngines = 9;
constexpr std::size_t kMvuliEngines = 12;

struct Flags
{
    RunSettings settings{};
    std::size_t slowed = 2;
    std::string deployment = "association";
    std::size_t engines = 0; ///< 0 selects the default of the deployment.
    std::string out;
};

void printHelp()
{
    const Flags flags;
    const Workload &workload = flags.settings.workload;
    std::cout
            << "Usage: bench_routing [OPTION]...\n"
               "Measures the routing decision and baselines on engine fakes and a virtual clock.\n"
               "  --seed N           seed of the workload (default "
            << workload.seed
            << ")\n"
               "  --skew X           Zipf exponent of prefix popularity (default "
            << workload.skew
            << ")\n"
               "  --deployment NAME  association or mvuli (default "
            << flags.deployment
            << ")\n"
               "  --engines N        engines (default 9 for association, 12 for mvuli)\n"
               "  --daemons N        daemons (default "
            << workload.daemons
            << ")\n"
               "  --cache-ratio X    cache of all engines over all prompt blocks (default "
            << workload.cacheRatio
            << ")\n"
               "  --slowed N         engines slowed five times in the slowed rows (default "
            << flags.slowed
            << ")\n"
               "  --long-share X     share of long requests (default "
            << workload.longShare
            << ")\n"
               "  --out FILE         write the JSON object to FILE (default: standard output)\n"
               "  --help             print this text\n";
}

/// Parses the value of a numeric flag. Exits with status 2 if it is not a number >= 0.
double number(const char *flag, const char *text)
{
    char *end = nullptr;
    const double value = std::strtod(text, &end);
    if (end == text || *end != '\0' || value < 0) {
        std::cerr << "bench_routing: --" << flag << ": expected a number >= 0, got '" << text
                  << "'\n";
        std::exit(2);
    }
    return value;
}

void applyFlag(const std::string &name, const char *value, Flags &flags)
{
    Workload &workload = flags.settings.workload;
    if (name == "out") {
        flags.out = value;
    } else if (name == "deployment") {
        flags.deployment = value;
    } else if (name == "seed") {
        workload.seed = static_cast<std::uint64_t>(number("seed", value));
    } else if (name == "skew") {
        workload.skew = number("skew", value);
    } else if (name == "engines") {
        flags.engines = static_cast<std::size_t>(number("engines", value));
    } else if (name == "daemons") {
        workload.daemons =
                std::max<std::size_t>(1, static_cast<std::size_t>(number("daemons", value)));
    } else if (name == "cache-ratio") {
        workload.cacheRatio = number("cache-ratio", value);
    } else if (name == "slowed") {
        flags.slowed = static_cast<std::size_t>(number("slowed", value));
    } else {
        workload.longShare = number("long-share", value);
    }
}

Flags parseFlags(int argc, char **argv)
{
    const option options[] = {
        { "seed", required_argument, nullptr, 0 },
        { "skew", required_argument, nullptr, 0 },
        { "engines", required_argument, nullptr, 0 },
        { "daemons", required_argument, nullptr, 0 },
        { "cache-ratio", required_argument, nullptr, 0 },
        { "slowed", required_argument, nullptr, 0 },
        { "long-share", required_argument, nullptr, 0 },
        { "deployment", required_argument, nullptr, 0 },
        { "out", required_argument, nullptr, 0 },
        { "help", no_argument, nullptr, 'h' },
        { nullptr, 0, nullptr, 0 },
    };
    Flags flags;
    int index = 0;
    for (int flag; (flag = getopt_long(argc, argv, "", options, &index)) != -1;) {
        if (flag == 'h') {
            printHelp();
            std::exit(0);
        }
        if (flag != 0)
            std::exit(2);
        applyFlag(options[index].name, optarg, flags);
    }
    if (flags.deployment != "association" && flags.deployment != "mvuli") {
        std::cerr << "bench_routing: --deployment: expected association or mvuli, got '"
                  << flags.deployment << "'\n";
        std::exit(2);
    }
    flags.settings.workload.engines = flags.engines > 0             ? flags.engines
                                      : flags.deployment == "mvuli" ? kMvuliEngines
                                                                    : kAssociationEngines;
    return flags;
}

} // namespace

int main(int argc, char **argv)
{
    const Flags flags = parseFlags(argc, argv);
    const auto start = std::chrono::steady_clock::now();
    const std::vector<Row> rows = measureRows(flags.settings, flags.slowed);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    return writeReport("routing", { .seed = flags.settings.workload.seed, .out = flags.out },
                       elapsed.count(), rows);
}
