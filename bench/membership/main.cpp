#include "load_exchange.h"
#include "member_traffic.h"

#include <boost/json.hpp>
#include <getopt.h>
#include <sys/utsname.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

namespace chervilfield::bench {

namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

// The budget of a daemon's control work.
constexpr double kBytesTarget = 18'000;
constexpr double kCpuTarget = 0.031;

class Report
{
public:
    void add(const std::string &name, const char *unit, double value)
    {
        std::cout << name << " " << value << " " << unit << std::endl;
        rows_.push_back(json::object{ { "name", name },
                                      { "unit", unit },
                                      { "value", value },
                                      { "target", nullptr },
                                      { "met", nullptr },
                                      { "baselines", json::object() } });
    }

    void add(const std::string &name, const char *unit, double value, double target)
    {
        add(name, unit, value);
        rows_.back().as_object()["target"] = target;
        rows_.back().as_object()["met"] = value <= target;
    }

    json::array rows() const { return rows_; }

private:
    json::array rows_;
};

void measureMembers(Report &report, std::uint64_t seed)
{
    for (const std::size_t members : { 10U, 60U, 180U, 360U }) {
        const TrafficResult result = measureTraffic(members, seed);
        const std::string at = "@" + std::to_string(members);
        report.add("members_steady_bytes" + at, "B/s", result.steadyBytes, kBytesTarget);
        report.add("members_churn_bytes" + at, "B/s", result.churnBytes, kBytesTarget);
        report.add("members_herd_bytes" + at, "B/s", result.herdBytes);
        report.add("members_herd_converged" + at, "s", result.herdSeconds);
        report.add("members_cpu" + at, "core", result.cpuShare, kCpuTarget);
    }
}

void measureExchange(Report &report, std::uint64_t seed)
{
    struct Row
    {
        const char *name;
        ExchangeMethod method;
        std::chrono::milliseconds spacing;
    };
    const Row rows[] = {
        { "own_only", ExchangeMethod::OwnOnly, 1000ms },
        { "all_to_all_250ms", ExchangeMethod::AllToAll, 250ms },
        { "all_to_all_1000ms", ExchangeMethod::AllToAll, 1000ms },
        { "meeting_points_50ms", ExchangeMethod::MeetingPoints, 50ms },
        { "meeting_points_100ms", ExchangeMethod::MeetingPoints, 100ms },
        { "meeting_points_250ms", ExchangeMethod::MeetingPoints, 250ms },
        { "meeting_points_1000ms", ExchangeMethod::MeetingPoints, 1000ms },
        { "grants_250ms", ExchangeMethod::Grants, 250ms },
        { "grants_500ms", ExchangeMethod::Grants, 500ms },
        { "grants_1000ms", ExchangeMethod::Grants, 1000ms },
        { "perfect", ExchangeMethod::Perfect, 1000ms },
    };
    for (const Row &row : rows) {
        const ExchangeResult result = simulateExchange(row.method, row.spacing, seed);
        const std::string prefix = std::string("load_") + row.name;
        report.add(prefix + "_short_ttft_p99", "ms", result.shortP99Ms);
        report.add(prefix + "_ttft_p99", "ms", result.allP99Ms);
        report.add(prefix + "_sent_mean", "B/s", result.sentMean);
        report.add(prefix + "_sent_and_received_max", "B/s", result.bothMax, kBytesTarget);
        report.add(prefix + "_bytes_per_entry", "B", result.bytesPerEntry);
    }
}

int run(std::uint64_t seed, const std::string &out)
{
    const auto begin = std::chrono::steady_clock::now();
    Report report;
    measureMembers(report, seed);
    measureExchange(report, seed);
    const auto seconds =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    utsname system{};
    uname(&system);
    const char *commit = std::getenv("CHERVILFIELD_COMMIT");
    const json::object document{ { "bench", "membership" },
                                 { "seed", seed },
                                 { "commit", commit == nullptr ? "" : commit },
                                 { "machine", std::string(system.machine) },
                                 { "seconds", seconds },
                                 { "rows", report.rows() } };
    if (!out.empty())
        std::ofstream(out) << json::serialize(document) << "\n";
    return 0;
}

} // namespace

} // namespace chervilfield::bench

int main(int argc, char **argv)
{
    const option options[] = { { "seed", required_argument, nullptr, 's' },
                               { "out", required_argument, nullptr, 'o' },
                               { nullptr, 0, nullptr, 0 } };
    std::uint64_t seed = 1;
    std::string out;
    for (int code = 0; (code = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (code == 's') {
            seed = std::strtoull(optarg, nullptr, 10);
        } else if (code == 'o') {
            out = optarg;
        } else {
            std::cerr << "usage: bench_membership [--seed N] [--out FILE]\n";
            return 2;
        }
    }
    return chervilfield::bench::run(seed, out);
}
