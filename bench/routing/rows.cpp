#include "rows.h"

#include "measures.h"

#include <functional>

namespace chervilfield::bench {

namespace {

using routing::WorkClass;

constexpr Policy kBaselines[] = { Policy::RoundRobin, Policy::FewestOutstanding, Policy::PrefixHash,
                                  Policy::BoundedLoadHash, Policy::CompleteKnowledge };
constexpr Cost kPlateauStart{ 10 };
constexpr Cost kPeakStart{ 24 };
constexpr Cost kPeakEnd{ 30 };
// The run ends before the popular dossiers change for the second time, which would hide the
// recovery.
constexpr Cost kPeakRunDuration{ 39 };
constexpr Cost kRestartInterval{ 2 };
constexpr double kMinDivisor = 1e-9;

/// Returns the quotient, with a lower bound on the divisor to avoid division by zero.
double ratio(double value, double divisor)
{
    return value / std::max(divisor, kMinDivisor);
}

/// The runs of one policy in all scenarios.
struct Runs
{
    RunResult steady;
    RunResult withoutLong;
    RunResult slowed;
    RunResult peak;
};

Runs runAll(RunSettings settings, Policy policy, std::size_t slowed)
{
    settings.policy = policy;
    Runs runs;
    runs.steady = simulate(settings);
    RunSettings changed = settings;
    changed.workload.includesLong = false;
    runs.withoutLong = simulate(changed);
    changed = settings;
    changed.slowed = slowed;
    runs.slowed = simulate(changed);
    changed = settings;
    changed.workload.duration = kPeakRunDuration;
    changed.workload.peakStart = kPeakStart;
    changed.workload.peakEnd = kPeakEnd;
    runs.peak = simulate(changed);
    return runs;
}

double shortP99(const RunResult &run, Cost from)
{
    return firstTokenQuantile(run, { .from = from, .workClass = WorkClass::Short }, 0.99).count();
}

double longP99(const RunResult &run, Cost from)
{
    return firstTokenQuantile(run, { .from = from, .workClass = WorkClass::Long }, 0.99).count();
}

double peakAnswerRatio(const RunResult &run)
{
    return ratio(answersPerSecond(run, kPeakStart, kPeakEnd),
                 answersPerSecond(run, kPlateauStart, kPeakStart));
}

using Measure = std::function<double(const Runs &)>;

/// The runs of the routing decision and of the baselines.
struct MeasuredRuns
{
    Runs chervilfieldRuns;
    std::map<Policy, Runs> baselines;

    Row row(const char *name, const char *unit, Goal goal, double target,
            const Measure &measure) const
    {
        Row row{ .name = name,
                 .unit = unit,
                 .value = measure(chervilfieldRuns),
                 .goal = goal,
                 .target = target };
        for (const auto &[policy, runs] : baselines)
            row.baselines[std::string(toString(policy))] = measure(runs);
        return row;
    }
};

/// Restarts one daemon after another and compares the hit rate of requests in the first second
/// after a restart with that of the run without restarts. The baseline is the hit rate of all other
/// requests of the run with restarts.
Row restartRow(RunSettings settings, const RunResult &steady)
{
    settings.restartInterval = kRestartInterval;
    const RunResult run = simulate(settings);
    const Window window{ .from = settings.warmUp };
    return { .name = "restart_hit_rate_ratio",
             .unit = "ratio",
             .value = ratio(hitRate(run, window, true), hitRate(steady, window)),
             .goal = Goal::AtLeast,
             .target = 0.9,
             .baselines = { { "other_daemons_same_run",
                              ratio(hitRate(run, window, false), hitRate(steady, window)) } } };
}

/// A mechanism of the routing decision that can be disabled.
struct Ablation
{
    const char *mechanism;
    std::function<void(RunSettings &)> disable;
};

const std::vector<Ablation> &ablations()
{
    static const std::vector<Ablation> list{
        { "widening", [](RunSettings &s) { s.options.maxWorkPerHome = 1e9; } },
        { "spares", [](RunSettings &s) { s.options.spareCandidates = 0; } },
        { "pressure", [](RunSettings &s) { s.options.pressureFactor = 0; } },
        { "home_preference", [](RunSettings &s) { s.options.nonHomeFactor = 0; } },
        { "long_slot_share", [](RunSettings &s) { s.options.maxLongSlotShare = 1; } },
        { "placement_exchange", [](RunSettings &s) { s.exchange.hints = false; } },
        { "displacement", [](RunSettings &s) { s.options.displacementFactor = 0; } },
        { "near_equal_draw", [](RunSettings &s) { s.options.nearEqualMargin = Cost(0); } },
        { "placements", [](RunSettings &s) { s.dropPlacements = true; } },
        { "digests", [](RunSettings &s) { s.exchange.digests = false; } },
        { "health", [](RunSettings &s) { s.exchange.health = false; } },
        { "demand_exchange", [](RunSettings &s) { s.exchange.demand = false; } },
    };
    return list;
}

/// Adds rows for the decision with one mechanism disabled at a time. The baseline `with` is the
/// complete decision.
void addAblations(const RunSettings &settings, std::size_t slowed, const Runs &chervilfieldRuns,
                  std::vector<Row> &rows)
{
    const Window window{ .from = settings.warmUp };
    const std::pair<const char *, Measure> measures[] = {
        { "hit_rate", [&](const Runs &r) { return hitRate(r.steady, window); } },
        { "short_ttft_p99_ms",
          [&](const Runs &r) { return 1e3 * shortP99(r.steady, settings.warmUp); } },
        { "long_ttft_p99_ms",
          [&](const Runs &r) { return 1e3 * longP99(r.steady, settings.warmUp); } },
        { "short_slowed_p99_ms",
          [&](const Runs &r) { return 1e3 * shortP99(r.slowed, settings.warmUp); } },
        { "crest_answer_ratio", [](const Runs &r) { return peakAnswerRatio(r.peak); } },
        { "herding", [&](const Runs &r) { return herding(r.steady, settings.workload.engines); } },
    };
    for (const Ablation &ablation : ablations()) {
        RunSettings changed = settings;
        ablation.disable(changed);
        const Runs runs = runAll(changed, Policy::Chervilfield, slowed);
        for (const auto &[name, measure] : measures)
            rows.push_back({ .name = std::string("ablation_") + ablation.mechanism + "_" + name,
                             .unit = "see suffix",
                             .value = measure(runs),
                             .baselines = { { "with", measure(chervilfieldRuns) } } });
    }
}

} // namespace

std::vector<Row> measureRows(const RunSettings &settings, std::size_t slowed)
{
    MeasuredRuns measured{ .chervilfieldRuns = runAll(settings, Policy::Chervilfield, slowed),
                           .baselines = {} };
    for (const Policy policy : kBaselines)
        measured.baselines[policy] = runAll(settings, policy, slowed);
    const Runs &bound = measured.baselines[Policy::CompleteKnowledge];
    const Cost from = settings.warmUp;
    const Window window{ .from = from };
    std::vector<Row> rows;
    rows.push_back(
            measured.row("hit_rate_of_bound", "ratio", Goal::AtLeast, 0.95, [&](const Runs &r) {
                return ratio(hitRate(r.steady, window), hitRate(bound.steady, window));
            }));
    rows.push_back(
            measured.row("wasted_recompute_of_bound", "ratio", Goal::None, 0, [&](const Runs &r) {
                return ratio(double(r.steady.wastedTokens), double(bound.steady.wastedTokens));
            }));
    rows.push_back(measured.row(
            "short_ttft_p99_with_long_ratio", "ratio", Goal::AtMost, 1.25, [&](const Runs &r) {
                return ratio(shortP99(r.steady, from), shortP99(r.withoutLong, from));
            }));
    rows.push_back(measured.row(
            "short_ttft_p99_slowed_ratio", "ratio", Goal::AtMost, 1.5, [&](const Runs &r) {
                return ratio(shortP99(r.slowed, from), shortP99(r.steady, from));
            }));
    rows.push_back(measured.row("crest_answer_ratio", "ratio", Goal::AtLeast, 1.0,
                                [](const Runs &r) { return peakAnswerRatio(r.peak); }));
    rows.push_back(measured.row("crest_recovery_s", "s", Goal::AtMost, 3, [](const Runs &r) {
        return recoveryTime(r.peak, kPlateauStart, kPeakStart, kPeakEnd).count();
    }));
    rows.push_back(restartRow(settings, measured.chervilfieldRuns.steady));
    rows.push_back(measured.row("hit_rate", "ratio", Goal::None, 0,
                                [&](const Runs &r) { return hitRate(r.steady, window); }));
    rows.push_back(measured.row("short_ttft_p99_ms", "ms", Goal::None, 0,
                                [&](const Runs &r) { return 1e3 * shortP99(r.steady, from); }));
    rows.push_back(measured.row("long_ttft_p99_ms", "ms", Goal::None, 0,
                                [&](const Runs &r) { return 1e3 * longP99(r.steady, from); }));
    rows.push_back(measured.row("answered_share", "ratio", Goal::None, 0,
                                [&](const Runs &r) { return answeredShare(r.steady, window); }));
    rows.push_back(
            measured.row("herding", "variance over random", Goal::None, 0, [&](const Runs &r) {
                return herding(r.steady, settings.workload.engines);
            }));
    addAblations(settings, slowed, measured.chervilfieldRuns, rows);
    return rows;
}

} // namespace chervilfield::bench
