#pragma once

#include "support/statistics.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::bench {

enum class Goal { None, AtLeast, AtMost };

/// A fitted line with the points that it was fitted to.
struct Fit
{
    LinearFit line;
    std::vector<Point> points;
};

/// One figure of a bench.
struct Row
{
    std::string name;
    std::string unit;
    double value = 0;
    Goal goal = Goal::None;
    double target = 0;
    std::map<std::string, double> baselines{};
    std::optional<Fit> fit{};
};

/// Command line that every bench accepts.
struct BenchArguments
{
    std::uint64_t seed = 1;
    std::string out; ///< File for the JSON object; empty means standard output.
};

/// Reads `--seed N` and `--out FILE`. Ends the program with status 0 after `--help` and with
/// status 2 if an argument is not valid.
BenchArguments parseArguments(int argc, char **argv, const std::string &description);

/// Prints the rows as a table on standard error and writes the JSON object. Returns the exit
/// status: 0, or 1 if the file cannot be written.
int writeReport(const std::string &bench, const BenchArguments &arguments, double seconds,
                const std::vector<Row> &rows);

} // namespace chervilfield::bench
