#pragma once

#include "support/statistics.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::bench {

/// How the target of a row bounds its value.
enum class Goal { None, AtLeast, AtMost };

/// A fitted line and the measured points.
struct Fit
{
    LinearFit line;
    std::vector<Point> points;
};

/// One result of a bench: a measured value, its target and the same value for the baselines.
struct Row
{
    std::string name;
    std::string unit;
    double value = 0;
    Goal goal = Goal::None;
    double target = 0;                         ///< Ignored without a goal.
    std::map<std::string, double> baselines{}; ///< Values by the name of the baseline.
    std::optional<Fit> fit{};
};

/// Command-line arguments that the benches have in common.
struct BenchArguments
{
    std::uint64_t seed = 1;
    std::string out; ///< File for the JSON object; empty means standard output.
};

/// Parses `--seed N` and `--out FILE`. Exits with status 0 after `--help`, which prints
/// `description`, and with status 2 if an argument is invalid.
BenchArguments parseArguments(int argc, char **argv, const std::string &description);

/// Prints the rows as a table on standard error and writes them as a JSON object to the output file
/// or standard output. `seconds` is the duration of the bench. Returns the exit status: 0, or 1 if
/// the file cannot be written.
int writeReport(const std::string &bench, const BenchArguments &arguments, double seconds,
                const std::vector<Row> &rows);

} // namespace chervilfield::bench
