#include "load_exchange.h"
#include "member_traffic.h"

#include "support/report.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilfield::bench {

namespace {

using namespace std::chrono_literals;

// The budget of a daemon's control work.
constexpr double kBytesTarget = 18'000;
constexpr double kCpuTarget = 0.031;

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
        const std::string at = "@" + std::to_string(members);
        add(rows, "members_steady_bytes" + at, "B/s", result.steadyBytes, kBytesTarget);
        add(rows, "members_churn_bytes" + at, "B/s", result.churnBytes, kBytesTarget);
        add(rows, "members_herd_bytes" + at, "B/s", result.herdBytes);
        add(rows, "members_herd_converged" + at, "s", result.herdSeconds);
        add(rows, "members_cpu" + at, "core", result.cpuShare, kCpuTarget);
    }
}

void measureExchange(Rows &rows, std::uint64_t seed)
{
    struct Method
    {
        const char *name;
        ExchangeMethod method;
        std::chrono::milliseconds spacing;
    };
    const Method methods[] = {
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
    for (const auto &[name, method, spacing] : methods) {
        const ExchangeResult result = simulateExchange(method, spacing, seed);
        const std::string prefix = std::string("load_") + name;
        add(rows, prefix + "_short_ttft_p99", "ms", result.shortP99Ms);
        add(rows, prefix + "_ttft_p99", "ms", result.allP99Ms);
        add(rows, prefix + "_sent_mean", "B/s", result.sentMean);
        add(rows, prefix + "_sent_and_received_max", "B/s", result.bothMax, kBytesTarget);
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
