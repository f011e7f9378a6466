"""The configuration of a small deployment: engines for one model and order services."""

import hashlib
import time
import uuid

from driver.processes import request_json

MODEL = "crest-1"
CUSTOMERS = ["bordados-leon", "bordados-silao", "counter-irapuato"]


def api_key(customer):
    return f"key-of-{customer}"


def resources(deployment, data_centres, batch_slots=64, prefill_rate=200000):
    """Returns the resources that route completions, orders and lookups."""
    result = [
        {"resource": "customer", "name": name,
         "apiKeyHash": hashlib.sha256(api_key(name).encode()).hexdigest()}
        for name in CUSTOMERS
    ]
    result += [
        {"resource": "pool", "name": "crest", "kind": "engine", "model": MODEL, "weights": "v1",
         "selector": "tier=chat", "labels": {"use": "chat"}, "batchSlots": batch_slots,
         "prefillRate": prefill_rate},
        {"resource": "pool", "name": "orders", "kind": "service", "selector": "tier=orders",
         "labels": {"use": "orders"}},
        {"resource": "intent", "name": "chat", "model": MODEL, "pools": "use=chat"},
        {"resource": "intent", "name": "place-order", "pathPrefix": "/orders",
         "pools": "use=orders", "idempotent": False},
        {"resource": "intent", "name": "order-status", "pathPrefix": "/status",
         "pools": "use=orders", "idempotent": True},
    ]
    groups = [("engine", "chat", deployment.engines), ("service", "orders", deployment.services)]
    for kind, tier, processes in groups:
        for index, (name, process) in enumerate(processes.items()):
            result.append({"resource": "target", "name": name, "kind": kind,
                           "address": process.address, "labels": {"tier": tier},
                           "dataCentre": data_centres[index % len(data_centres)]})
    return result


def revision_of(admin_address):
    """Returns the revision in force at one daemon."""
    _, body = request_json(admin_address, "GET", "/admin/v1/status")
    return body["revision"]


def apply(admin_address, upserts, base_revision):
    """Applies a change to the configuration `base_revision` and returns the new revision."""
    change = {"ifRevision": base_revision, "writeId": uuid.uuid4().hex, "upserts": upserts}
    status, body = request_json(admin_address, "POST", "/admin/v1/apply", change)
    if status != 200:
        raise RuntimeError(f"change of revision {base_revision}: expected status 200, "
                           f"got {status}: {body}")
    return body["revision"]


def wait_in_force(daemons, revision, timeout_s=5.0):
    """Waits until all daemons have the revision in force and returns the seconds that it took."""
    start = time.monotonic()
    pending = list(daemons)
    while pending:
        pending = [daemon for daemon in pending if revision_of(daemon.listeners[1]) < revision]
        if time.monotonic() - start > timeout_s:
            raise RuntimeError(f"{len(pending)} daemons do not have revision {revision} in force "
                               f"after {timeout_s} s")
        time.sleep(0.02)
    return time.monotonic() - start
