"""Control-plane cost of each daemon by fleet size: CPU time, memory, peer bytes, store requests."""

import argparse
import pathlib
import sys
import time
import urllib.request

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from driver import report, scenario  # noqa: E402
from driver.processes import (  # noqa: E402
    Deployment, new_directory, request_json, wait_until)
from driver.usage import cpu_time_s, resident_mb  # noqa: E402

FLEET_SIZES = (10, 20, 40, 60)
DATA_CENTRES = ["leon", "silao", "irapuato"]
ENGINE_COUNT = 6
CHANGE_COUNT = 10
JOIN_TIMEOUT_S = 60.0


def metrics(address):
    """Returns the values of a daemon's metrics by name and labels."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    return {name: float(value) for name, value in
            (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))}


def total_usage(daemons):
    """Returns the totals of the counters over all daemons since their start."""
    total = {"cpu": 0.0, "sent": 0.0, "received": 0.0, "platform": 0.0}
    for daemon in daemons:
        values = metrics(daemon.address)
        total["cpu"] += cpu_time_s(daemon.child.pid)
        total["sent"] += values['chervilfield_peer_udp_bytes_total{direction="sent"}']
        total["received"] += values['chervilfield_peer_udp_bytes_total{direction="received"}']
        total["platform"] += values["chervilfield_platform_requests_total"]
    return total


def start_fleet(size):
    deployment = Deployment(new_directory(f"fleet-{size}"))
    deployment.start_platform()
    for i in range(ENGINE_COUNT):
        deployment.start_engine(f"engine-{i}")
    extra_settings = "[traffic]\nthreads = 1\n"
    for i in range(size):
        deployment.start_daemon(f"entry-{i}", DATA_CENTRES[i % 3], extra_settings=extra_settings)
    return deployment


def all_joined(daemons):
    return all(metrics(daemon.address)["chervilfield_members"] == len(daemons)
               for daemon in daemons)


def measure(size, seconds):
    """Returns the measurements of a fleet of this size; the rates are per daemon and second."""
    deployment = start_fleet(size)
    try:
        daemons = list(deployment.daemons.values())
        started = time.monotonic()
        wait_until(lambda: all_joined(daemons), JOIN_TIMEOUT_S, "all daemons to know each other")
        joined_s = time.monotonic() - started
        admin = daemons[0].listeners[1]
        revision = scenario.apply(admin, scenario.resources(deployment, DATA_CENTRES), 0)
        in_force = [scenario.wait_in_force(daemons, revision)]
        time.sleep(2)
        before, window_start = total_usage(daemons), time.monotonic()
        time.sleep(seconds)
        after, elapsed = total_usage(daemons), time.monotonic() - window_start
        for i in range(CHANGE_COUNT):
            customer = {"resource": "customer", "name": f"new-{i}", "apiKeyHash": f"{i + 1:064x}"}
            revision = scenario.apply(admin, [customer], revision)
            in_force.append(scenario.wait_in_force(daemons, revision))
        memory = [resident_mb(daemon.child.pid) for daemon in daemons]
        rates = {key: (after[key] - before[key]) / elapsed / size for key in before}
        _, counters = request_json(deployment.platform.address, "GET", "/control/counters")
    finally:
        deployment.stop()
    return {"size": size, "cpu_percent": rates["cpu"] * 100, "sent_bytes_s": rates["sent"],
            "received_bytes_s": rates["received"], "platform_requests_s": rates["platform"],
            "rss_mb": max(memory), "in_force_max_s": max(in_force), "joined_s": joined_s,
            "platform": counters}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0, help="length of each measurement")
    parser.add_argument("--out")
    options = parser.parse_args()
    started = time.monotonic()
    results = [measure(size, options.seconds) for size in FLEET_SIZES]
    rows = []
    for key, unit in (("cpu_percent", "% of a core"), ("sent_bytes_s", "B/s"),
                      ("received_bytes_s", "B/s"), ("platform_requests_s", "1/s"),
                      ("rss_mb", "MB")):
        slope, intercept, r2 = report.fit_line([(result["size"], result[key])
                                                for result in results])
        row = report.row(f"{key}_per_daemon_slope", f"{unit} per daemon", slope)
        row.update({"intercept": intercept, "r2": r2,
                    "sizes": {str(result["size"]): result[key] for result in results}})
        rows.append(row)
    largest = results[-1]
    rows.append(report.at_most("cpu_percent_60", "% of a core", largest["cpu_percent"], 3.1))
    rows.append(report.at_most("rss_mb_60", "MB", largest["rss_mb"], 32))
    rows.append(report.at_most("bytes_s_60", "B/s",
                               largest["sent_bytes_s"] + largest["received_bytes_s"], 18000))
    rows.append(report.at_most("in_force_max_s_60", "s", largest["in_force_max_s"], 5))
    rows.append(report.row("joined_s_60", "s", largest["joined_s"]))
    report.write("fleet", options.seed, started, rows, options.out)


if __name__ == "__main__":
    main()
