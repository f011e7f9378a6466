"""Client side of the router API: follows the address list, resumes streams and retries orders."""

import http.client
import json
import threading
import time
import uuid

from driver.processes import request_json

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 8.0
MAX_ATTEMPTS = 12


class AddressList:
    """Addresses that a caller may use. GET /v1/entries returns them with their lifetime.

    The seeds are the fallback. Safe to use from several threads.
    """

    def __init__(self, seeds):
        self.seeds = list(seeds)
        self.entries = []
        self.expires = 0.0
        self.lock = threading.Lock()

    def pick(self, avoid=()):
        """Returns the most preferred address that is not in `avoid`, or the first if all are."""
        with self.lock:
            if time.monotonic() > self.expires:
                self._refresh(avoid)
            candidates = self.entries + [seed for seed in self.seeds if seed not in self.entries]
        for address in candidates:
            if address not in avoid:
                return address
        return candidates[0]

    def expiry(self, address):
        """Returns the monotonic time at which the address expires, or 0 if it is only a seed."""
        with self.lock:
            return self.expires if address in self.entries else 0.0

    def _refresh(self, avoid):
        """Gets a new list, first from addresses that are not in `avoid`. The lock must be held."""
        candidates = self.entries + self.seeds
        for address in sorted(candidates, key=lambda candidate: candidate in avoid):
            try:
                status, body = request_json(address, "GET", "/v1/entries",
                                            timeout_s=CONNECT_TIMEOUT_S)
            except OSError:
                continue
            if status == 200 and body["entries"]:
                self.entries = [entry["address"] for entry in body["entries"]]
                self.expires = time.monotonic() + body["ttlMs"] / 1000
                return


class Connection:
    """One connection of a caller to an instance; times are those of time.monotonic()."""

    def __init__(self, address, address_expires):
        self.address = address
        self.address_expires = address_expires
        self.start = time.monotonic()
        self.end = None
        self.connected = False
        self.first_token = None
        self.outcome = None

    def close(self, complete, refused):
        """Records the end of the connection and its outcome.

        The outcome is "whole" (complete response), "refused", "cut" (incomplete response) or
        "unreachable".
        """
        self.end = time.monotonic()
        if complete:
            self.outcome = "whole"
        elif refused:
            self.outcome = "refused"
        else:
            self.outcome = "cut" if self.connected else "unreachable"


class StreamResult:
    """What a caller received for one streamed completion, over all its attempts."""

    def __init__(self, prompt, max_tokens):
        self.request_id = uuid.uuid4().hex
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.text = ""
        self.last_event_id = ""
        self.complete = False
        self.refusal = None
        self.faults = []
        self.attempts = 0
        self.connections = []
        self.first_token_s = None
        self.max_gap_s = 0.0


def _server_sent_events(response):
    """Yields (id, type, data) for each server-sent event of a response."""
    fields = {"id": "", "event": "", "data": ""}
    for raw_line in response:
        line = raw_line.decode().rstrip("\r\n")
        if line:
            name, _, value = line.partition(": ")
            fields[name] = value
        elif fields["data"]:
            yield fields["id"], fields["event"], fields["data"]
            fields = {"id": "", "event": "", "data": ""}


def _accept_token(result, event_id, data, started):
    """Adds a token to the result and records a fault if its offset is not the next one."""
    offset = int(event_id.rsplit("/", 1)[1])
    expected = 0
    if result.last_event_id:
        expected = int(result.last_event_id.rsplit("/", 1)[1]) + 1
    if offset != expected:
        result.faults.append(f"offset {offset} instead of {expected}")
    result.text += json.loads(data)["choices"][0]["text"]
    result.last_event_id = event_id
    if result.connections[-1].first_token is None:
        result.connections[-1].first_token = time.monotonic()
    if result.first_token_s is None:
        result.first_token_s = time.monotonic() - started


def _send_attempt(result, address, api_key, model, started):
    """Sends the request once, from the last received event on, and reads the response."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
    try:
        connection.connect()
        result.connections[-1].connected = True
        connection.sock.settimeout(READ_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {api_key}", "X-Request-Id": result.request_id}
        if result.last_event_id:
            headers["Last-Event-ID"] = result.last_event_id
        body = {"model": model, "prompt": result.prompt, "max_tokens": result.max_tokens,
                "stream": True}
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        if response.status != 200:
            result.refusal = json.loads(response.read())["error"]
            return
        last_event_time = time.monotonic()
        for event_id, event_type, data in _server_sent_events(response):
            result.max_gap_s = max(result.max_gap_s, time.monotonic() - last_event_time)
            last_event_time = time.monotonic()
            if data == "[DONE]":
                result.complete = True
                return
            if event_type == "error":
                return
            if event_id:
                _accept_token(result, event_id, data, started)
    finally:
        connection.close()


def stream_completion(addresses, api_key, model, prompt, max_tokens):
    """Sends a streamed completion and resumes it at other instances until it is complete.

    Gives up after MAX_ATTEMPTS attempts, or when the request itself is refused (error codes below
    2000).
    """
    result = StreamResult(prompt, max_tokens)
    started = time.monotonic()
    avoid = []
    while not result.complete and result.attempts < MAX_ATTEMPTS:
        result.attempts += 1
        result.refusal = None
        address = addresses.pick(avoid)
        result.connections.append(Connection(address, addresses.expiry(address)))
        try:
            _send_attempt(result, address, api_key, model, started)
        except (OSError, http.client.HTTPException):
            pass
        result.connections[-1].close(result.complete, result.refusal is not None)
        if result.complete:
            break
        if result.refusal is None:
            avoid.append(address)
        elif result.refusal["code"] < 2000:
            break
        else:
            time.sleep(0.1)
    return result


class OrderResult:
    """What a caller was told about one order."""

    def __init__(self, order_id, idempotency_key):
        self.order_id = order_id
        self.idempotency_key = idempotency_key
        self.work = None
        self.status = None
        self.attempts = []


def place_order(addresses, api_key, path, order_id, max_attempts=6, ticket=None):
    """Places an order and retries it with the same key or ticket until its result is known."""
    result = OrderResult(order_id, uuid.uuid4().hex)
    avoid = []
    for _ in range(max_attempts):
        address = addresses.pick(avoid)
        headers = {"Authorization": f"Bearer {api_key}", "Content-Type": "application/json"}
        headers["Order-Ticket" if ticket else "Idempotency-Key"] = ticket or result.idempotency_key
        try:
            status, body = request_json(address, "POST", path, {"id": order_id}, headers,
                                        timeout_s=READ_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            result.attempts.append((address, "lost"))
            result.work = "unknown"
            avoid.append(address)
            continue
        error = (body or {}).get("error") if isinstance(body, dict) else None
        result.status = status
        # A response without an error object of the router comes from the service and is final; an
        # error status means that the service declined the order.
        outcome = "ran" if status < 300 else "declined"
        result.work = error["work"] if isinstance(error, dict) else outcome
        result.attempts.append((address, result.work))
        if result.work in ("ran", "declined"):
            break
        time.sleep(0.1)
    return result


def look_up(addresses, api_key, path):
    """Sends an idempotent call and returns its status, or None if every attempt failed."""
    avoid = []
    for _ in range(MAX_ATTEMPTS):
        address = addresses.pick(avoid)
        try:
            status, _ = request_json(address, "GET", path,
                                     headers={"Authorization": f"Bearer {api_key}"},
                                     timeout_s=READ_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            avoid.append(address)
            continue
        if status < 500:
            return status
        time.sleep(0.1)
    return None
