#include "chaos/checkers.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace chervilfield;

constexpr int kUsageError = 2;

boost::json::object toJson(const chaos::CheckResult &result)
{
    boost::json::array violations;
    for (const std::string &violation : result.violations)
        violations.emplace_back(violation);
    return { { "property", result.property },
             { "exercised", result.exercised },
             { "violations", std::move(violations) } };
}

} // namespace

// Checks the history files that are given on the command line and prints one JSON object for each
// property. Exits with status 2 if no file is given, if a file cannot be read or if a line of it is
// not a valid record.
int main(int argc, char **argv)
{
    chaos::History history;
    bool isReadable = argc > 1;
    for (int i = 1; i < argc; ++i) {
        std::ifstream file(argv[i]);
        std::ostringstream text;
        text << file.rdbuf();
        if (!file) {
            std::cerr << "[chaos] cannot read " << argv[i] << '\n';
            isReadable = false;
        }
        for (const std::string &error : chaos::addLines(history, text.str())) {
            std::cerr << "[chaos] " << argv[i] << ", " << error << '\n';
            isReadable = false;
        }
    }
    if (!isReadable)
        return kUsageError;
    for (const chaos::CheckResult &result : chaos::checkAll(history))
        std::cout << boost::json::serialize(toJson(result)) << '\n';
    return 0;
}
