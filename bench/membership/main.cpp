#include "load_exchange.h"
#include "member_traffic.h"

#include "support/report.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilfield::bench {

namespace {

using namespace std::chrono_literals;

// Limits on the control traffic and the CPU time of a daemon.
constexpr double kMaxControlBytesPerSecond = 18'000;
constexpr double kMaxControlCpuCores = 0.031;

using Rows = std::vector<Row>;

void add(Rows &rows, const std::string &name, const char *unit, double value)
{
    rows.push_back({ .name = name, .unit = unit, .value = value });
}

void add(Rows &rows, const std::string &name, const char *unit, double value, double target)
{
    rows.push_back(
            { .name = name, .unit = unit, .value = value, .goal = Goal::AtMost, .target = target });
}

void measureMembers(Rows &rows, std::uint64_t seed)
{
    for (const std::size_t members : { 10U, 60U, 180U, 360U }) {
        const TrafficResult result = measureTraffic(members, seed);
        const std::string suffix = "@" + std::to_string(members);
        add(rows, "members_steady_bytes" + suffix, "B/s", result.steadyBytesPerSecond,
            kMaxControlBytesPerSecond);
        add(rows, "members_churn_bytes" + suffix, "B/s", result.churnBytesPerSecond,
            kMaxControlBytesPerSecond);
        add(rows, "members_herd_bytes" + suffix, "B/s", result.massStartBytesPerSecond);
        add(rows, "members_herd_converged" + suffix, "s", result.massStartSeconds);
        add(rows, "members_cpu" + suffix, "core", result.cpuCores, kMaxControlCpuCores);
    }
}

void measureExchange(Rows &rows, std::uint64_t seed)
{
    struct Method
    {
        const char *name;
        ExchangeMethod method;
        std::chrono::milliseconds sendInterval;
    };
    const Method methods[] = {
        { "own_only", ExchangeMethod::OwnOnly, 1000ms },
        { "all_to_all_250ms", ExchangeMethod::AllToAll, 250ms },
        { "all_to_all_1000ms", ExchangeMethod::AllToAll, 1000ms },
        { "meeting_points_50ms", ExchangeMethod::AggregationPoints, 50ms },
        { "meeting_points_100ms", ExchangeMethod::AggregationPoints, 100ms },
        { "meeting_points_250ms", ExchangeMethod::AggregationPoints, 250ms },
        { "meeting_points_1000ms", ExchangeMethod::AggregationPoints, 1000ms },
        { "grants_250ms", ExchangeMethod::Grants, 250ms },
        { "grants_500ms", ExchangeMethod::Grants, 500ms },
        { "grants_1000ms", ExchangeMethod::Grants, 1000ms },
        { "perfect", ExchangeMethod::Perfect, 1000ms },
    };
    for (const auto &[name, method, sendInterval] : methods) {
        const ExchangeResult result = simulateExchange(method, sendInterval, seed);
        const std::string prefix = std::string("load_") + name;
        add(rows, prefix + "_short_ttft_p99", "ms", result.shortP99Ms);
        add(rows, prefix + "_ttft_p99", "ms", result.allP99Ms);
        add(rows, prefix + "_sent_mean", "B/s", result.meanSentBytesPerSecond);
        add(rows, prefix + "_sent_and_received_max", "B/s", result.maxTotalBytesPerSecond,
            kMaxControlBytesPerSecond);
        add(rows, prefix + "_bytes_per_entry", "B", result.bytesPerEntry);
    }
}

} // namespace

} // namespace chervilfield::bench

int main(int argc, char **argv)
{
    using namespace chervilfield::bench;
    const BenchArguments arguments = parseArguments(
            argc, argv, "Measures membership traffic and compares methods of load exchange.");
    const auto start = std::chrono::steady_clock::now();
    Rows rows;
    measureMembers(rows, arguments.seed);
    measureExchange(rows, arguments.seed);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    return writeReport("membership", arguments, elapsed.count(), rows);
}
