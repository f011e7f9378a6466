#include "support/report.h"

#include <boost/json.hpp>

#include <getopt.h>
#include <sys/utsname.h>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace chervilfield::bench {

namespace {

bool isMet(const Row &row)
{
    return row.goal == Goal::AtLeast ? row.value >= row.target : row.value <= row.target;
}

/// Returns the commit that `scripts/bench` passes in `CHERVILFIELD_COMMIT`, or "unknown".
std::string commit()
{
    const char *value = std::getenv("CHERVILFIELD_COMMIT");
    return value ? value : "unknown";
}

/// Returns the operating system, architecture and number of cores of this machine.
std::string machine()
{
    utsname name{};
    uname(&name);
    return std::string(name.sysname) + " " + name.machine + ", "
           + std::to_string(std::thread::hardware_concurrency()) + " cores";
}

/// Returns the target with its comparison operator, such as ">=0.95".
std::string targetText(const Row &row)
{
    std::ostringstream text;
    text << (row.goal == Goal::AtLeast ? ">=" : "<=") << row.target;
    return text.str();
}

boost::json::object toJson(const Fit &fit)
{
    boost::json::array points;
    for (const Point &point : fit.points)
        points.push_back(boost::json::object{ { "size", point.x }, { "value", point.y } });
    return { { "slope", fit.line.slope },
             { "intercept", fit.line.intercept },
             { "r2", fit.line.r2 },
             { "points", std::move(points) } };
}

boost::json::object toJson(const Row &row)
{
    boost::json::object object{ { "name", row.name },
                                { "unit", row.unit },
                                { "value", row.value } };
    const bool hasGoal = row.goal != Goal::None;
    object["target"] = hasGoal ? boost::json::value(targetText(row)) : boost::json::value(nullptr);
    object["met"] = hasGoal ? boost::json::value(isMet(row)) : boost::json::value(nullptr);
    boost::json::object baselines;
    for (const auto &[name, value] : row.baselines)
        baselines[name] = value;
    object["baselines"] = std::move(baselines);
    if (row.fit)
        object["fit"] = toJson(*row.fit);
    return object;
}

void printTable(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        std::ostringstream line;
        line << std::left << std::setw(36) << row.name << std::setw(12) << row.value << ' '
             << row.unit;
        if (row.goal != Goal::None)
            line << (isMet(row) ? ", met, target " : ", NOT MET, target ") << row.target;
        for (const auto &[name, value] : row.baselines)
            line << ", " << name << '=' << value;
        if (row.fit) {
            line << ", intercept " << row.fit->line.intercept << ", r2 " << row.fit->line.r2
                 << ", sizes";
            for (const Point &point : row.fit->points)
                line << ' ' << point.x;
        }
        std::cerr << line.str() << '\n';
    }
}

std::uint64_t parseSeed(const char *program, const char *text)
{
    char *end = nullptr;
    const std::uint64_t seed = std::strtoull(text, &end, 10);
    if (end == text || *end != '\0') {
        std::cerr << program << ": --seed: expected a whole number, got '" << text << "'\n";
        std::exit(2);
    }
    return seed;
}

} // namespace

BenchArguments parseArguments(int argc, char **argv, const std::string &description)
{
    const option options[] = {
        { "seed", required_argument, nullptr, 's' },
        { "out", required_argument, nullptr, 'o' },
        { "help", no_argument, nullptr, 'h' },
        { nullptr, 0, nullptr, 0 },
    };
    BenchArguments arguments;
    for (int flag; (flag = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        switch (flag) {
        case 's':
            arguments.seed = parseSeed(argv[0], optarg);
            break;
        case 'o':
            arguments.out = optarg;
            break;
        case 'h':
            std::cout << "Usage: " << argv[0] << " [--seed N] [--out FILE]\n"
                      << description << '\n';
            std::exit(0);
        default:
            std::exit(2);
        }
    }
    return arguments;
}

int writeReport(const std::string &bench, const BenchArguments &arguments, double seconds,
                const std::vector<Row> &rows)
{
    printTable(rows);
    boost::json::array items;
    for (const Row &row : rows)
        items.push_back(toJson(row));
    const boost::json::object json{
        { "bench", bench },       { "seed", arguments.seed }, { "commit", commit() },
        { "machine", machine() }, { "seconds", seconds },     { "rows", std::move(items) },
    };
    if (arguments.out.empty()) {
        std::cout << boost::json::serialize(json) << '\n';
        return 0;
    }
    std::ofstream file(arguments.out);
    file << boost::json::serialize(json) << '\n';
    if (!file.flush()) {
        std::cerr << bench << ": cannot write " << arguments.out << '\n';
        return 1;
    }
    return 0;
}

} // namespace chervilfield::bench
