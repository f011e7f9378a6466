"""Resident memory of an idle daemon and its growth with each open stream."""

import argparse
import pathlib
import subprocess
import sys
import time
import urllib.request

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from driver import report, scenario  # noqa: E402
from driver.processes import BINARIES, Deployment, new_directory, wait_until  # noqa: E402
from driver.usage import resident_mb  # noqa: E402

ENGINE_OPTIONS = ["--token-interval-us", 200000, "--slots", 4096,
                  "--prefill-tokens-per-second", 1e9]
STREAM_COUNTS = (0, 250, 500, 1000, 2000)
SETTLE_S = 4.0  # Minimum time for which the size is sampled; the timeouts are four times it.


def open_streams(daemon):
    with urllib.request.urlopen(f"http://{daemon.address}/metrics", timeout=5) as response:
        for line in response.read().decode().splitlines():
            if line.startswith("chervilfield_open_streams "):
                return float(line.split()[1])
    return 0


def start_daemon(name):
    deployment = Deployment(new_directory(name), ENGINE_OPTIONS)
    deployment.start_platform()
    deployment.start_engine("engine-0")
    deployment.start_daemon("entry-0", "leon")
    daemon = deployment.daemons["entry-0"]
    scenario.wait_in_force([daemon], scenario.apply(
        daemon.listeners[1], scenario.resources(deployment, ["leon"], 4096, 10**9), 0))
    return deployment, daemon


def measure(streams, seed):
    """Returns the resident size in MB of a new daemon with this number of open streams.

    With streams it is the peak: sampled for at least SETTLE_S, until a sample is no new maximum.
    """
    deployment, daemon = start_daemon(f"footprint-{streams}")
    client = None
    try:
        if streams:
            command = [BINARIES / "load_client", "--targets", daemon.address, "--streams", streams,
                       "--tokens", 60, "--seconds", 3, "--seed", seed,
                       "--api-key", scenario.api_key(scenario.CUSTOMERS[0])]
            client = subprocess.Popen([str(part) for part in command],
                                      stdout=subprocess.DEVNULL)
            wait_until(lambda: open_streams(daemon) >= streams, 4 * SETTLE_S,
                       f"{streams} open streams")
            peak = [0]

            def settled():
                size = resident_mb(daemon.child.pid)
                has_grown = size > peak[0]
                peak[0] = max(peak[0], size)
                return not has_grown and time.monotonic() > settle_end
            settle_end = time.monotonic() + SETTLE_S
            wait_until(settled, 4 * SETTLE_S, "the resident size to level off")
            return peak[0]
        return resident_mb(daemon.child.pid)
    finally:
        if client:
            client.kill()
            client.wait()
        deployment.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out")
    options = parser.parse_args()
    started = time.monotonic()
    points = [(streams, measure(streams, options.seed)) for streams in STREAM_COUNTS]
    per_stream, _, r2 = report.fit_line(points)
    rows = [
        report.at_most("idle_rss_mb", "MB", points[0][1], 32),
        report.at_most("rss_per_stream_kb", "KB", per_stream * 1024, 64),
        report.row("rss_per_stream_r2", "ratio", r2),
    ]
    rows += [report.row(f"rss_{streams}_streams_mb", "MB", size)
             for streams, size in points]
    report.write("footprint", options.seed, started, rows, options.out)


if __name__ == "__main__":
    main()
