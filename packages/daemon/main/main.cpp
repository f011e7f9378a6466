#include "daemon/app.h"
#include "daemon/entry_options.h"
#include "daemon/settings.h"
#include "entry/entry_app.h"
#include "net/descriptors.h"
#include "platform/adapter.h"

#include <getopt.h>
#include <glog/logging.h>
#include <malloc.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace chervilfield::daemon;

constexpr int kUsageStatus = 2;

constexpr std::string_view kUsage = "usage: chervilfieldd --config FILE [--check]\n"
                                    "  --config FILE  settings in TOML; see docs/operators.md\n"
                                    "  --check        check the settings and exit\n"
                                    "  --version      print the version and exit\n"
                                    "  --help         print this text and exit\n";

struct CommandLine
{
    std::string config;
    bool checkOnly = false;
    bool showHelp = false;
    bool showVersion = false;
    bool isValid = true;
};

CommandLine parseCommandLine(int argc, char **argv)
{
    constexpr option kOptions[] = { { "config", required_argument, nullptr, 'c' },
                                    { "check", no_argument, nullptr, 'k' },
                                    { "help", no_argument, nullptr, 'h' },
                                    { "version", no_argument, nullptr, 'v' },
                                    { nullptr, 0, nullptr, 0 } };
    CommandLine line;
    for (int key = 0; (key = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
        switch (key) {
        case 'c':
            line.config = optarg;
            break;
        case 'k':
            line.checkOnly = true;
            break;
        case 'h':
            line.showHelp = true;
            break;
        case 'v':
            line.showVersion = true;
            break;
        default:
            line.isValid = false;
        }
    }
    line.isValid = line.isValid && optind == argc
                   && (line.showHelp || line.showVersion || !line.config.empty());
    return line;
}

int runEntry(const Settings &settings, const std::string &file)
{
    // Without a fixed threshold the allocator keeps the memory of large bodies after their first
    // release, which fragments it.
    constexpr int kMmapThresholdBytes = 256 << 10;
    mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
    chervilfield::net::lowerDescriptorLimit(
            static_cast<std::size_t>(settings.entry->maxDescriptors));
    const auto reload = [&file]() -> std::optional<chervilfield::entry::EntryOptions> {
        std::vector<SettingsError> errors;
        const Settings changed = readSettings(file, errors);
        if (!errors.empty() || !changed.entry)
            return std::nullopt;
        return entryOptions(changed);
    };
    chervilfield::entry::EntryApp app(entryOptions(settings),
                                      chervilfield::platform_adapter::makePlatform(), reload);
    // Requests may still be in progress when the drain limit has passed. Unwinding their coroutines
    // would use objects of the daemon that are destroyed before them, so no destructors run.
    std::quick_exit(app.run());
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const CommandLine line = parseCommandLine(argc, argv);
    if (!line.isValid) {
        std::cerr << kUsage;
        return kUsageStatus;
    }
    if (line.showHelp) {
        std::cout << kUsage;
        return 0;
    }
    if (line.showVersion) {
        std::cout << "chervilfieldd " << CHERVILFIELD_VERSION << '\n';
        return 0;
    }
    std::vector<SettingsError> errors;
    const Settings settings = readSettings(line.config, errors);
    for (const SettingsError &error : errors)
        std::cerr << toString(error) << '\n';
    if (!errors.empty())
        return kUsageStatus;
    if (line.checkOnly) {
        std::cout << "settings are valid\n";
        return 0;
    }
    if (settings.entry)
        return runEntry(settings, line.config);
    return App(settings).run();
}
