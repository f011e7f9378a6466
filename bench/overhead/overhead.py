"""Added latency of the first token, throughput of short requests and CPU cost of a daemon."""

import argparse
import json
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from driver import report, scenario  # noqa: E402
from driver.processes import BINARIES, Deployment, new_directory  # noqa: E402
from driver.usage import cpu_time_s  # noqa: E402

STREAMS = 200
TOKENS = 20
# Mean pause before a request, an eighth of the 400 ms that a stream takes: it spreads the arrivals
# and leaves nearly all of the 200 streams open.
PAUSE_MS = 50
# Tokens every 20 ms and a prefill that takes almost no time, so that the time to the first token
# is that of the path to the engine.
LATENCY_ENGINE_OPTIONS = ["--token-interval-us", 20000, "--slots", 4096,
                          "--prefill-tokens-per-second", 1e9]
RATE_ENGINE_OPTIONS = ["--token-interval-us", 1, "--slots", 4096,
                       "--prefill-tokens-per-second", 1e9]
RATE_ENGINE_COUNT = 4
RATE_STREAMS = 128
TOKEN_COUNTS = (1, 20, 60, 120)
COST_STREAMS = 32


def run_load_client(targets, seconds, seed, direct=False, streams=STREAMS, tokens=TOKENS, threads=1,
                    pause_ms=PAUSE_MS):
    """Runs the load client and returns its JSON result. Raises if a request failed."""
    command = [BINARIES / "load_client", "--targets", ",".join(targets), "--seconds", seconds,
               "--streams", streams, "--tokens", tokens, "--seed", seed, "--threads", threads,
               "--pause-ms", pause_ms, "--api-key", scenario.api_key(scenario.CUSTOMERS[0])]
    if direct:
        command.append("--direct")
    run = subprocess.run([str(part) for part in command], capture_output=True, text=True,
                         check=False)
    if not run.stdout:
        raise RuntimeError(f"load client printed no result, exit status {run.returncode}: "
                           f"{run.stderr}")
    result = json.loads(run.stdout)
    if result["failed"]:
        raise RuntimeError(f"{result['failed']} requests failed, {result['finished']} finished: "
                           + run.stderr[:200])
    return result


def deploy(engine_options, engines, threads, name):
    """Starts engines and one daemon with this number of traffic threads."""
    deployment = Deployment(new_directory(name), engine_options)
    deployment.start_platform()
    for i in range(engines):
        deployment.start_engine(f"engine-{i}")
    deployment.start_daemon("entry-0", "leon", extra_settings=f"[traffic]\nthreads = {threads}\n")
    daemon = deployment.daemons["entry-0"]
    scenario.wait_in_force([daemon], scenario.apply(
        daemon.listeners[1], scenario.resources(deployment, ["leon"], 4096, 10**9), 0))
    return deployment


def measure_latency(seed, seconds):
    """Returns the times to the first token in ms, directly from the engine and through the daemon.

    Alternates between the two, so that changes of the machine's load affect both.
    """
    deployment = deploy(LATENCY_ENGINE_OPTIONS, 1, 2, "overhead")
    try:
        engine = deployment.engines["engine-0"].address
        daemon = deployment.daemons["entry-0"].address
        direct, via_daemon = [], []
        for i in range(4):
            direct += run_load_client([engine], seconds, seed + i, direct=True)["first_token_ms"]
            result = run_load_client([daemon], seconds, seed + i + 100)
            via_daemon += result["first_token_ms"]
    finally:
        deployment.stop()
    return direct, via_daemon


def measure_rate(threads, seed, seconds):
    """Returns the one-token requests per second that a daemon with these threads finishes."""
    deployment = deploy(RATE_ENGINE_OPTIONS, RATE_ENGINE_COUNT, threads, f"rate-{threads}")
    try:
        result = run_load_client([deployment.daemons["entry-0"].address], seconds, seed,
                                 streams=RATE_STREAMS, tokens=1, threads=2, pause_ms=0)
    finally:
        deployment.stop()
    return result["finished"] / result["seconds"]


def measure_cost(seed, seconds):
    """Returns the CPU time of a daemon per request and per token in us, and r2 of the fit."""
    points = []
    for tokens in TOKEN_COUNTS:
        deployment = deploy(RATE_ENGINE_OPTIONS, RATE_ENGINE_COUNT, 2, f"cost-{tokens}")
        try:
            daemon = deployment.daemons["entry-0"]
            before = cpu_time_s(daemon.child.pid)
            result = run_load_client([daemon.address], seconds, seed, streams=COST_STREAMS,
                                     tokens=tokens, pause_ms=0)
            used = cpu_time_s(daemon.child.pid) - before
        finally:
            deployment.stop()
        points.append((tokens, used / result["finished"] * 1e6))
    per_token, per_request, r2 = report.fit_line(points)
    return per_request, per_token, r2


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0, help="length of one phase")
    parser.add_argument("--out")
    options = parser.parse_args()
    started = time.monotonic()
    direct, via_daemon = measure_latency(options.seed, options.seconds)
    rates = {threads: measure_rate(threads, options.seed, options.seconds)
             for threads in (1, 2, 4)}
    rows = []
    for share, limit, label in ((0.5, 0.5, "p50"), (0.99, 2, "p99")):
        direct_latency = report.percentile(direct, share)
        rows.append(report.at_most(f"added_ttft_{label}_ms", "ms",
                                   report.percentile(via_daemon, share) - direct_latency, limit,
                                   {"direct": direct_latency}))
    rows.append(report.row("requests_per_second_1_thread", "1/s", rates[1]))
    rows.append(report.row("speedup_2_threads", "ratio", rates[2] / rates[1]))
    rows.append(report.row("speedup_4_threads", "ratio", rates[4] / rates[1]))
    per_request, per_token, r2 = measure_cost(options.seed, options.seconds)
    rows.append(report.row("cpu_us_per_request", "us", per_request))
    rows.append(report.row("cpu_us_per_token", "us", per_token))
    rows.append(report.row("cpu_per_token_r2", "ratio", r2))
    rows.append(report.row("samples", "1", len(direct) + len(via_daemon)))
    report.write("overhead", options.seed, started, rows, options.out)


if __name__ == "__main__":
    main()
