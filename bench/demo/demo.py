"""Routes streams, orders and lookups through six daemons while processes are killed.

scripts/demo builds the binaries and runs it.
"""

import argparse
import concurrent.futures
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from driver import callers, scenario  # noqa: E402
from driver.processes import Deployment, new_directory, port_of, request_json  # noqa: E402

DATA_CENTRES = ["leon", "silao", "irapuato"]
DAEMONS = 6
ENGINES = 4
SERVICES = 3
DOSSIER_BYTES = 5 * 16384
STREAMS = 48
ORDERS = 40
LOOKUPS = 60


def make_prompts(rng):
    """Returns one prompt for each stream.

    Two of three have a shared dossier, a shared school and a badge of their own, so that their
    prefixes match at several lengths; the third is a short question.
    """
    dossiers = [f"dossier {i} " + rng.randbytes(DOSSIER_BYTES // 2).hex() for i in range(3)]
    prompts = []
    for i in range(STREAMS):
        if i % 3 == 2:
            prompts.append(f"Which thread colour fits number {rng.randrange(10**6)}?")
        else:
            school = f" school {rng.randrange(4)} " * 2000
            prompts.append(rng.choice(dossiers) + school + f" badge {rng.randrange(10**6)}")
    return prompts


def start_processes(deployment):
    deployment.start_platform()
    for i in range(ENGINES):
        deployment.start_engine(f"engine-{i}")
    for i in range(SERVICES):
        deployment.start_service(f"desk-{i}")
    for i in range(DAEMONS):
        deployment.start_daemon(f"entry-{i}", DATA_CENTRES[i % len(DATA_CENTRES)])


def run_traffic(deployment, pool, addresses, rng):
    """Starts all requests and kills an entry instance and an engine while streams are open."""
    key = scenario.api_key(scenario.CUSTOMERS[0])
    streams = [pool.submit(callers.stream_completion, addresses, key, scenario.MODEL, prompt,
                           rng.randrange(300, 900)) for prompt in make_prompts(rng)]
    orders = [pool.submit(callers.place_order, addresses, key, "/orders", f"order-{i}")
              for i in range(ORDERS)]
    lookups = [pool.submit(callers.look_up, addresses, key, f"/status/order-{i % ORDERS}")
               for i in range(LOOKUPS)]
    time.sleep(0.7)
    deployment.daemons["entry-0"].kill()
    time.sleep(0.3)
    port = port_of(deployment.engines["engine-1"].address)
    deployment.engines["engine-1"].kill()
    deployment.start_engine("engine-1", port)
    return ([stream.result() for stream in streams], [order.result() for order in orders],
            [lookup.result() for lookup in lookups])


def expected_answer(deployment, result):
    """Returns the text that an engine gives for the prompt, computed without the router."""
    _, body = request_json(deployment.engines["engine-0"].address, "POST", "/control/answer",
                           {"prompt": result.prompt, "max_tokens": result.max_tokens})
    return body["text"]


def execution_counts(deployment):
    """Returns how often the services executed each order."""
    counts = {}
    for service in deployment.services.values():
        _, history = request_json(service.address, "GET", "/control/executions")
        for entry in history:
            counts[entry["id"]] = counts.get(entry["id"], 0) + 1
    return counts


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def report(deployment, streams, orders, lookups, in_force_s):
    """Prints the table and returns the number of violations.

    Violations are incomplete or wrong streams, orders that ran twice, orders whose reported result
    contradicts the history of the services, and lookups without an answer.
    """
    whole = [stream for stream in streams if stream.complete and not stream.faults
             and stream.text == expected_answer(deployment, stream)]
    counts = execution_counts(deployment)
    twice = [order for order, count in counts.items() if count > 1]
    false_not_run = [order for order in orders
                     if order.work == "not-run" and counts.get(order.order_id)]
    lost = [order for order in orders
            if order.work == "ran" and not counts.get(order.order_id)]
    first_token_s = [stream.first_token_s for stream in streams
                     if stream.first_token_s is not None]
    rows = [
        ("daemons, one killed", DAEMONS), ("engines, one killed and restarted", ENGINES),
        ("streams", len(streams)), ("streams whole and right", len(whole)),
        ("streams continued elsewhere", sum(stream.attempts > 1 for stream in streams)),
        ("first token p50 / p99, ms",
         f"{percentile(first_token_s, 0.5) * 1000:.0f} / "
         f"{percentile(first_token_s, 0.99) * 1000:.0f}"),
        ("orders", len(orders)), ("orders ran", sum(order.work == "ran" for order in orders)),
        ("orders unknown", sum(order.work == "unknown" for order in orders)),
        ("orders that ran twice", len(twice)), ("false not-run", len(false_not_run)),
        ("lookups answered", f"{sum(status is not None for status in lookups)} of {len(lookups)}"),
        ("change in force at all daemons, s", f"{in_force_s:.2f}"),
    ]
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"{name:<{width}}  {value}")
    return (len(streams) - len(whole) + len(twice) + len(false_not_run) + len(lost)
            + sum(status is None for status in lookups))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    rng = random.Random(seed)
    deployment = Deployment(new_directory("demo"))
    try:
        start_processes(deployment)
        daemons = list(deployment.daemons.values())
        revision = scenario.apply(daemons[0].listeners[1],
                                  scenario.resources(deployment, DATA_CENTRES), 0)
        in_force_s = scenario.wait_in_force(daemons, revision)
        addresses = callers.AddressList([daemon.address for daemon in daemons])
        with concurrent.futures.ThreadPoolExecutor(STREAMS + ORDERS + LOOKUPS) as pool:
            results = run_traffic(deployment, pool, addresses, rng)
        violations = report(deployment, *results, in_force_s)
    finally:
        deployment.stop()
    print(f"logs: {deployment.directory}")
    if violations:
        print(f"{violations} violations; seed {seed}, repeat with scripts/demo --seed {seed}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
