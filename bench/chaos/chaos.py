#!/usr/bin/env python3
"""Runs six daemons and the stand-ins under seeded faults and checks the history of the run."""

import argparse
import json
import os
import pathlib
import platform
import random
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import faults  # noqa: E402
import load as workload  # noqa: E402
from driver import scenario  # noqa: E402
from driver.processes import BINARIES, Deployment, new_directory, request_json  # noqa: E402
from recorder import Recorder, now_ms  # noqa: E402

DATA_CENTRES = ["leon", "silao", "irapuato"]
DAEMONS = 6
ENGINES = 4
SERVICES = 3
STREAM_CALLERS = 8
ORDER_CALLERS = 4
ROW_WRITERS = 3
JOIN_TIMEOUT_S = 150.0
ENGINE_OPTIONS = ["--token-interval-us", "4000"]
OUTAGE_LIMIT_S = 1.0
IN_FORCE_LIMIT_S = 5.0
READY_LIMIT_MS = 300.0
READY_STORE_DOWN_LIMIT_MS = 1000.0


class RecordingCluster(faults.Cluster):
    """Cluster that also collects the histories that the stand-ins keep in memory.

    A killed engine loses its history, so it is collected before each kill.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.engine_entries = []  # (engine, name of its life, history entry)
        self.collected = {}
        # Engines stamp requests with the wall clock, records use the monotonic clock.
        self.wall_offset_ms = time.time() * 1000 - now_ms()

    def collect_engine(self, name):
        """Fetches the history of an engine."""
        process = self.deployment.engines[name]
        _, entries = request_json(process.address, "GET", "/control/history", timeout_s=20.0)
        for entry in entries:
            self.engine_entries.append((name, f"{process.child.pid}.{entry['life']}", entry))

    def record_engines(self, customers_by_request):
        """Records what the engines ran; the argument maps request ids to customers."""
        for name in self.deployment.engines:
            self.collect_engine(name)
        for engine, life, entry in self.engine_entries:
            # The router appends a hash of customer and body to the request id of the caller.
            request = entry["request_id"].rsplit(":", 1)[0]
            started = entry["at_ms"] - self.wall_offset_ms
            self.recorder.add("engine-run", time=started, engine=engine, request=request)
            self.recorder.add("target-work", time=started, target=engine, request=request)
            if "looked_up_ms" in entry and request in customers_by_request:
                self.recorder.add("cache-use", time=entry["looked_up_ms"], engine=engine, life=life,
                                  request=request, customer=customers_by_request[request],
                                  weights=entry["weights"], salt=entry["salt"],
                                  cachedTokens=entry["cached_tokens"])

    def record_services(self):
        """Records the orders that the services executed."""
        for name, process in self.deployment.services.items():
            _, entries = request_json(process.address, "GET", "/control/executions",
                                      timeout_s=20.0)
            for entry in entries:
                self.recorder.add("execution", time=entry["at_ms"] - self.wall_offset_ms,
                                  service=name, order=entry["id"])


def start_cluster(directory, recorder):
    """Starts all processes and waits until the first configuration is in force."""
    deployment = Deployment(directory, ENGINE_OPTIONS)
    cluster = RecordingCluster(deployment, recorder, DATA_CENTRES)
    try:
        deployment.start_platform()
        for i in range(ENGINES):
            deployment.start_engine(f"engine-{i}")
        for i in range(SERVICES):
            deployment.start_service(f"desk-{i}")
        for i in range(DAEMONS):
            cluster.start_daemon(f"entry-{i}")
        resources = scenario.resources(deployment, DATA_CENTRES)
        daemons = list(deployment.daemons.values())
        revision = scenario.apply(daemons[0].listeners[1], resources, 0)
        recorder.add("config-accepted", time=now_ms(), revision=revision)
        scenario.wait_in_force(daemons, revision)
    except BaseException:
        deployment.stop()
        raise
    return cluster, resources


class ThreadGroup:
    """Threads of a run. Each that raises an exception or does not end adds to `errors`.

    Any error makes the run fail as incomplete.
    """

    def __init__(self):
        self.threads = []
        self.errors = []

    def start(self, function, *arguments):
        def body():
            try:
                function(*arguments)
            except Exception as error:  # pylint: disable=broad-except
                self.errors.append(f"{function.__name__}: {error!r}")

        thread = threading.Thread(target=body, name=function.__name__, daemon=True)
        thread.start()
        self.threads.append(thread)

    def join(self):
        """Waits for all threads, JOIN_TIMEOUT_S at most in total."""
        deadline = time.monotonic() + JOIN_TIMEOUT_S
        for thread in self.threads:
            thread.join(max(0.0, deadline - time.monotonic()))
            if thread.is_alive():
                self.errors.append(f"{thread.name} did not end within {JOIN_TIMEOUT_S} s")


def run(cluster, resources, seed, minutes):
    """Runs load and faults for the given time. Returns the load and the errors of the threads."""
    stop_load = threading.Event()
    stop_faults = threading.Event()
    load = workload.Load(cluster, stop_load)
    threads = ThreadGroup()
    fault_threads = ThreadGroup()
    for i in range(STREAM_CALLERS):
        threads.start(workload.run_streams, load, random.Random(f"{seed}/stream/{i}"))
    for i in range(ORDER_CALLERS):
        threads.start(workload.run_orders, load, random.Random(f"{seed}/order/{i}"))
    threads.start(workload.run_ticket_orders, load, random.Random(f"{seed}/ticket"))
    threads.start(workload.run_lookups, load, random.Random(f"{seed}/lookup"))
    threads.start(workload.run_parking, load, random.Random(f"{seed}/parking"), resources)
    for i in range(ROW_WRITERS):
        threads.start(workload.run_row_writers, load, random.Random(f"{seed}/row/{i}"))
    for i in range(2):
        threads.start(workload.run_operator, load, random.Random(f"{seed}/operator/{i}"), resources)
    for name in cluster.deployment.daemons:
        threads.start(workload.watch_configuration, load, name)
    for group in (faults.DAEMON_FAULTS, faults.OTHER_FAULTS):
        fault_threads.start(faults.run_faults, cluster, random.Random(f"{seed}/{len(group)}"),
                            stop_faults, group)
    time.sleep(minutes * 60)
    stop_faults.set()
    fault_threads.join()
    restart_with_store_down(cluster)
    stop_load.set()
    threads.join()
    return load, threads.errors + fault_threads.errors


def restart_with_store_down(cluster):
    """Restarts a daemon while the store is down: it must get its configuration from a peer."""
    process = cluster.deployment.daemons["entry-5"]
    cluster.store_down.set()
    cluster.set_platform_faults(tableDown=True, objectsDown=True)
    cluster.daemon_kills.append((time.monotonic(), process.address))
    process.kill()
    cluster.start_daemon("entry-5", faults.listener_ports(process))
    cluster.set_platform_faults(tableDown=False, objectsDown=False)
    cluster.store_down.clear()


def record_streams(cluster, load):
    """Records each stream with its true answer, which an engine computes, and its connections."""
    engine_address = next(iter(cluster.deployment.engines.values())).address
    for _, result, start, end in load.streams:
        _, body = request_json(engine_address, "POST", "/control/answer",
                               {"prompt": result.prompt, "max_tokens": result.max_tokens})
        refused = result.refusal is not None and not result.complete
        cluster.recorder.add("stream", start=start, end=end, request=result.request_id,
                             expected=body["text"], received=result.text,
                             terminated=result.complete,
                             work=result.refusal["work"] if refused else "",
                             faults=result.faults)
        for connection in result.connections:
            cluster.recorder.add("connection", start=connection.start * 1000,
                                 end=connection.end * 1000,
                                 instance=life_at(cluster, connection), request=result.request_id,
                                 outcome=connection.outcome,
                                 addressExpires=connection.address_expires * 1000)


def life_at(cluster, connection):
    """Returns the daemon life that listened at the address when the connection began."""
    starts = [entry for entry in cluster.daemon_starts if entry[1] == connection.address
              and entry[0] <= connection.start]
    return starts[-1][2] if starts else connection.address


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None


def outages_s(cluster, load):
    """Returns the seconds from each kill of a daemon to the next token of each stream that it cut.

    Streams that received no further token at a later connection are left out.
    """
    times = []
    for killed, address in cluster.daemon_kills:
        for _, result, _, _ in load.streams:
            for index, connection in enumerate(result.connections):
                if connection.address != address or not connection.start < killed < connection.end:
                    continue
                later_first_tokens = [later_connection.first_token
                                      for later_connection in result.connections[index + 1:]
                                      if later_connection.first_token is not None]
                if later_first_tokens:
                    times.append(later_first_tokens[0] - killed)
    return times


def in_force_times_s(recorder):
    """Returns the seconds from each accepted change until each instance reported its revision.

    Left out are instances that came up again (restart, end of a pause) before they reported it, or
    that never did.
    """
    instance_ups = recorder.of("instance-up")
    times = []
    by_instance = {}
    for report in recorder.of("config-in-force"):
        by_instance.setdefault(report["instance"], []).append(report)
    for change in recorder.of("config-accepted"):
        for instance, reports in by_instance.items():
            first_report = next((report for report in reports if report["time"] >= change["time"]
                                 and report["revision"] >= change["revision"]), None)
            restarted = first_report and any(
                up["instance"] == instance and change["time"] <= up["time"] <= first_report["time"]
                for up in instance_ups)
            if first_report and not restarted:
                times.append((first_report["time"] - change["time"]) / 1000)
    return times


def run_checkers(recorder):
    """Runs chaos_check on the history and returns one result for each property."""
    output = subprocess.run([BINARIES / "chaos_check", recorder.path], capture_output=True,
                            text=True, check=False)
    if output.returncode != 0:
        raise RuntimeError(f"chaos_check failed with status {output.returncode}: "
                           + output.stderr[:2000])
    return [json.loads(line) for line in output.stdout.splitlines()]


def row(name, unit, value, target=None):
    met = None if target is None or value is None else value <= target
    return {"name": name, "unit": unit, "value": value, "target": target, "met": met,
            "baselines": {}}


def make_rows(cluster, load, results):
    """Returns a row for each checked property and for each measurement."""
    rows = []
    for result in results:
        entry = row(result["property"], "violations", len(result["violations"]), 0)
        entry["exercised"] = result["exercised"]
        rows.append(entry)
    undecided = sum(work in ("unknown", "lost") for work in load.orders)
    measures = [
        ("unknown_rate", "ratio", undecided / len(load.orders) if load.orders else None, None,
         len(load.orders)),
        ("outage_p99_s", "s", percentile(outages_s(cluster, load), 0.99), OUTAGE_LIMIT_S,
         len(outages_s(cluster, load))),
        ("config_in_force_max_s", "s", max(in_force_times_s(cluster.recorder), default=None),
         IN_FORCE_LIMIT_S, len(in_force_times_s(cluster.recorder))),
        ("ready_ms", "ms", max(cluster.ready_ms, default=None), READY_LIMIT_MS,
         len(cluster.ready_ms)),
        ("ready_store_down_ms", "ms", max(cluster.ready_store_down_ms, default=None),
         READY_STORE_DOWN_LIMIT_MS, len(cluster.ready_store_down_ms)),
    ]
    for name, unit, value, target, exercised in measures:
        entry = row(name, unit, value, target)
        entry["exercised"] = exercised
        rows.append(entry)
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--out", type=pathlib.Path)
    arguments = parser.parse_args()
    started = time.monotonic()
    directory = new_directory("chaos")
    recorder = Recorder(directory / "history.jsonl")
    cluster, resources = start_cluster(directory, recorder)
    try:
        load, errors = run(cluster, resources, arguments.seed, arguments.minutes)
        record_streams(cluster, load)
        cluster.record_services()
        cluster.record_engines({result.request_id: customer
                                for customer, result, _, _ in load.streams})
    finally:
        cluster.deployment.stop()
        recorder.close()
    results = run_checkers(recorder)
    report = {"bench": "chaos", "seed": arguments.seed,
              "commit": os.environ.get("CHERVILFIELD_COMMIT", "unknown"),
              "machine": f"{os.cpu_count()} cores, {platform.machine()}",
              "seconds": round(time.monotonic() - started, 1),
              "rows": make_rows(cluster, load, results),
              "faults": {name: count for name, count in sorted(cluster.counts.items())
                         if not name.startswith("start ")}}
    text = json.dumps(report, indent=1)
    if arguments.out:
        arguments.out.write_text(text + "\n", encoding="utf-8")
    print(text)
    for result in results:
        for violation in result["violations"][:10]:
            print(f"[chaos] {result['property']}: {violation}", file=sys.stderr)
    for error in errors:
        print(f"[chaos] the run is not complete: {error}", file=sys.stderr)
    print(f"[chaos] histories and logs: {directory}; repeat with scripts/bench chaos "
          f"--seed {arguments.seed} --minutes {arguments.minutes}", file=sys.stderr)
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
