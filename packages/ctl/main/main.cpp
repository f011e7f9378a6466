#include "ctl/commands.h"

#include <iostream>

int main(int argc, char **argv)
{
    using namespace chervilfield::ctl;
    std::string error;
    const auto options = parseOptions(argc, argv, error);
    if (!options) {
        std::cerr << "chervilfieldctl: " << error << "; see --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(run(*options, std::cout, std::cerr));
}
