#include "report.h"

#include <sys/utsname.h>

#include <cstdlib>
#include <thread>

namespace chervilfield::bench {

namespace {

/// Returns the commit that `scripts/bench` passes in the environment.
std::string commit()
{
    const char *value = std::getenv("CHERVILFIELD_COMMIT");
    return value ? value : "unknown";
}

std::string machine()
{
    utsname name{};
    uname(&name);
    return std::string(name.sysname) + " " + name.machine + ", "
           + std::to_string(std::thread::hardware_concurrency()) + " cores";
}

boost::json::object toJson(const Row &row)
{
    boost::json::object object{ { "name", row.name },
                                { "unit", row.unit },
                                { "value", row.value } };
    object["target"] =
            row.goal == Goal::None ? boost::json::value(nullptr) : boost::json::value(row.target);
    object["met"] =
            row.goal == Goal::None ? boost::json::value(nullptr) : boost::json::value(row.met());
    boost::json::object baselines;
    for (const auto &[name, value] : row.baselines)
        baselines[name] = value;
    object["baselines"] = std::move(baselines);
    return object;
}

} // namespace

boost::json::object toJson(const std::string &bench, std::uint64_t seed, double seconds,
                           const std::vector<Row> &rows)
{
    boost::json::array items;
    for (const Row &row : rows)
        items.push_back(toJson(row));
    return { { "bench", bench },       { "seed", seed },       { "commit", commit() },
             { "machine", machine() }, { "seconds", seconds }, { "rows", std::move(items) } };
}

} // namespace chervilfield::bench
