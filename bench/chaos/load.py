"""Callers and operators of a run. They record the responses that they received."""

import http.client
import time
import uuid

from driver import callers, scenario
from driver.processes import request_json
from faults import is_ready
from recorder import now_ms

PARK_DURATION_S = 6.0
STATUS_INTERVAL_S = 0.1
TICKET_ATTEMPTS = 3
ROW_COUNT = 3
ROW_TIMEOUT_S = 0.8
NO_RESPONSE = (OSError, http.client.HTTPException)


class Load:
    """State that the threads of the load share."""

    def __init__(self, cluster, stop):
        self.cluster = cluster
        self.recorder = cluster.recorder
        self.stop = stop
        daemons = cluster.deployment.daemons.values()
        self.addresses = callers.AddressList([daemon.address for daemon in daemons])
        self.streams = []  # (customer, StreamResult, start, end)
        self.orders = []  # Result of the last attempt of each order.
        self.prefixes = [f"dossier {i} " + "pattern " * 12_000 for i in range(3)]


def run_streams(load, rng):
    while not load.stop.is_set():
        customer = rng.choice(scenario.CUSTOMERS)
        prompt = f"question {rng.randrange(10**9)}"
        if rng.random() < 0.5:
            prompt = rng.choice(load.prefixes) + prompt
        # Each stream has its own address list, because instances may return different lists.
        addresses = callers.AddressList(rng.sample(load.addresses.seeds,
                                                   len(load.addresses.seeds)))
        start = now_ms()
        result = callers.stream_completion(addresses, scenario.api_key(customer), scenario.MODEL,
                                           prompt, rng.randrange(20, 400))
        load.streams.append((customer, result, start, now_ms()))


def _record_order(load, order, attempts, start):
    for work in attempts:
        load.recorder.add("order-attempt", start=start, end=now_ms(), order=order, work=work)
    load.orders.append(attempts[-1])


def run_orders(load, rng):
    while not load.stop.is_set():
        order = "order-" + uuid.uuid4().hex
        customer = rng.choice(scenario.CUSTOMERS)
        addresses = callers.AddressList(rng.sample(load.addresses.seeds,
                                                   len(load.addresses.seeds)))
        start = now_ms()
        result = callers.place_order(addresses, scenario.api_key(customer), "/orders", order)
        _record_order(load, order, [work for _, work in result.attempts], start)


def run_ticket_orders(load, rng):
    """Places orders with single-use tickets. Retries at a random instance after a lost response."""
    while not load.stop.is_set():
        address = rng.choice(load.addresses.seeds)
        headers = {"Authorization": "Bearer " + scenario.api_key(rng.choice(scenario.CUSTOMERS))}
        try:
            status, body = request_json(address, "POST", "/v1/tickets", {}, headers)
        except NO_RESPONSE:
            continue
        if status != 200:
            continue
        order = "ticket-order-" + uuid.uuid4().hex
        # The router must identify the order by the ticket. By the key, a retry at an instance that
        # does not know the ticket would run the order again.
        headers.update({"Order-Ticket": body["ticket"], "Idempotency-Key": order})
        start = now_ms()
        attempts = []
        while len(attempts) < TICKET_ATTEMPTS and attempts[-1:] not in (["ran"], ["declined"]):
            attempts.append(_try_order(address, order, headers))
            if attempts[-1] == "lost":
                address = rng.choice(load.addresses.seeds)
        _record_order(load, order, attempts, start)


def _try_order(address, order, headers):
    """Sends one order. Returns its `work` result, or "lost" if there was no response."""
    try:
        status, body = request_json(address, "POST", "/orders", {"id": order}, headers,
                                    timeout_s=callers.READ_TIMEOUT_S)
    except NO_RESPONSE:
        return "lost"
    error = body.get("error") if isinstance(body, dict) else None
    if isinstance(error, dict) and "work" in error:
        return error["work"]
    return "ran" if status < 300 else "declined"


def run_lookups(load, rng):
    while not load.stop.wait(0.05):
        number = rng.randrange(100)
        callers.look_up(load.addresses, scenario.api_key(scenario.CUSTOMERS[0]),
                        f"/status/order-{number}")


def run_row_writers(load, rng):
    """Writes rows of the table service directly and records its responses.

    It does not read rows: the stand-in returns older states for some reads on purpose.
    """
    known_versions = {}
    while not load.stop.wait(0.02):
        key = f"chaos/{rng.randrange(ROW_COUNT)}"
        version = known_versions.get(key, 0)
        write_id = uuid.uuid4().hex
        for _ in range(2):  # A write without a response is sent again with the same id.
            invoked = now_ms()
            fields = {"invoked": invoked, "key": key, "operation": "write", "ifVersion": version,
                      "writeId": write_id}
            try:
                status, row = request_json(
                    load.cluster.deployment.platform.address, "PUT", f"/table/{key}",
                    {"value": "", "ifVersion": version, "writeId": write_id},
                    timeout_s=ROW_TIMEOUT_S)
            except NO_RESPONSE:
                load.recorder.add("row-operation", returned=0, result="lost", rowVersion=0,
                                  rowWriteId="", **fields)
                continue
            if status not in (200, 409):
                break  # The service was down and did nothing.
            known_versions[key] = row.get("version", 0)
            load.recorder.add("row-operation", returned=now_ms(),
                              result="ok" if status == 200 else "conflict",
                              rowVersion=known_versions[key],
                              rowWriteId=row.get("writeId", ""), **fields)
            break


def watch_configuration(load, name):
    """Records the revision that a daemon reports while it is ready."""
    while not load.stop.wait(STATUS_INTERVAL_S):
        process = load.cluster.deployment.daemons[name]
        if not is_ready(process):
            continue
        try:
            status, body = request_json(process.listeners[1], "GET", "/admin/v1/status",
                                        timeout_s=1.0)
        except NO_RESPONSE:
            continue
        if status == 200:
            load.recorder.add("config-in-force", time=now_ms(), instance=name,
                              revision=body["revision"])


def _apply(load, rng, upserts):
    """Tries to apply a change at a random daemon. Returns whether it was accepted."""
    process = load.cluster.deployment.daemons[rng.choice(sorted(load.cluster.deployment.daemons))]
    try:
        revision = scenario.apply(process.listeners[1], upserts,
                                  scenario.revision_of(process.listeners[1]))
    except (RuntimeError, TypeError, KeyError, *NO_RESPONSE):
        load.cluster.count("change not accepted")
        return False
    load.recorder.add("config-accepted", time=now_ms(), revision=revision)
    return True


def run_operator(load, rng, resources):
    """Changes weights of customers. Several operators run at once, so that changes conflict."""
    customers = [resource for resource in resources if resource["resource"] == "customer"]
    while not load.stop.wait(rng.uniform(0.2, 1.5)):
        _apply(load, rng, [dict(rng.choice(customers), weight=rng.randrange(1, 9))])


def run_parking(load, rng, resources):
    """Moves engines out of their pool by a label for PARK_DURATION_S and back."""
    targets = [resource for resource in resources
               if resource["resource"] == "target" and resource["kind"] == "engine"]
    while not load.stop.wait(rng.uniform(1.0, 3.0)):
        target = rng.choice(targets)
        parked = dict(target, labels={"tier": "parked"})
        if not _apply(load, rng, [parked]):
            # The change may have taken effect without a response: return the target in any case.
            _return_target(load, rng, target)
            continue
        load.recorder.add("target-state", time=now_ms(), target=target["name"], leaving=True)
        load.stop.wait(PARK_DURATION_S)
        load.recorder.add("target-state", time=now_ms(), target=target["name"], leaving=False)
        _return_target(load, rng, target)


def _return_target(load, rng, target):
    """Retries until the target is back in its pool or the load stops."""
    while not _apply(load, rng, [target]) and not load.stop.is_set():
        time.sleep(0.1)
