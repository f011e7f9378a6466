#pragma once

#include <boost/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::bench {

enum class Goal { None, AtLeast, AtMost };

/// One figure with the same figure of the baselines on the same arrivals.
struct Row
{
    std::string name;
    std::string unit;
    double value = 0;
    Goal goal = Goal::None;
    double target = 0;
    std::map<std::string, double> baselines{};

    /// Returns whether the target is met; a row without a target always meets it.
    bool met() const
    {
        return goal == Goal::None || (goal == Goal::AtLeast ? value >= target : value <= target);
    }
};

/// Returns the JSON object of a bench run.
boost::json::object toJson(const std::string &bench, std::uint64_t seed, double seconds,
                           const std::vector<Row> &rows);

} // namespace chervilfield::bench
