"""Stand-ins of the platform's store, of targets and of callers, and a runner of daemons.

Everything runs on loopback addresses of one process; only the daemons are separate processes. The
stand-ins follow PROTOCOL.md; a test adds the disruption that its claim names.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the small deployment sites/amabie-red.toml.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "lost-slack-ms": 200, "config-apply-ms": 2000,
    "downgrade-slack-ms": 250, "max-skew-ms": 5000, "strict-revoke": False, "revoke-ms": 5000,
    "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 54, "recover-s": 12,
    "transit-ms": 120, "reuse-window-s": 10, "require-fence": True, "lease-ms": 3000,
    "thaw-slack-ms": 300, "version-ms": 10000, "version-all-ms": 14000, "ttl_max_s": 5,
}
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def require(condition, text):
    if not condition:
        raise CannotRun(text)


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Message:
    """One HTTP message as received."""

    def __init__(self, first, headers, body=b"", ended=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.ended = ended  # False if the connection ended before the message.

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0], headers)


async def read_body(reader, message, is_response):
    """Reads the body by RFC 9112. Sets `ended` to False if it is incomplete."""
    try:
        if "chunked" in (message.get("Transfer-Encoding") or "").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                message.body += data[:-2]
        elif message.get("Content-Length") is not None:
            message.body = await reader.readexactly(int(message.get("Content-Length")))
        elif is_response:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        message.body += getattr(error, "partial", b"")
        message.ended = False
    return message


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """HTTP/1.1 server. `handle(request, writer)` writes the whole response; it returns False to
    close the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{self.host}:{self.port}"
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_body(reader, await read_head(reader), False)
                if not request.ended:
                    break
                if await self.handle(request, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends the server and its connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Platform:
    """The table store: rows-get, rows-feed and rows-tx."""

    def __init__(self, record):
        self.record = record
        self.rows = {}      # (table, key) -> (value, ver)
        self.changes = []   # (ver, table, key, value or None)
        self.ver = 100
        self.changed = asyncio.Condition()
        self.start_at = time.monotonic()
        self.broken = None  # Function of a request: True if the store turns it away with 503.

    async def start(self, host):
        self.server = await Server(self.handle).start(host)
        self.address = self.server.address
        return self

    def now_ms(self):
        return int((time.monotonic() - self.start_at) * 1000) + 50000

    async def put(self, table, key, value):
        self.ver += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            value = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.rows[(table, key)] = (value, self.ver)
        self.changes.append((self.ver, table, key, value))
        async with self.changed:
            self.changed.notify_all()
        return self.ver

    @staticmethod
    def row(table, key, value, ver):
        if value is None:
            return {"table": table, "part": "", "key": key, "deleted": True, "ver": ver}
        return {"table": table, "part": "", "key": key, "ver": ver,
                "value": base64.b64encode(value).decode()}

    def reply(self, writer, status, body):
        body.update({"ver": self.ver, "now-ms": self.now_ms()})
        writer.write(response(status, [("Content-Type", "application/json")],
                              json.dumps(body).encode()))

    async def handle(self, request, writer):
        if self.broken and self.broken(request):
            writer.write(response(503))
            return None
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(request.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, True).items()}
        if url.path == "/-/rows-get":
            rows = sorted((k, v) for (t, k), v in self.rows.items() if t == query["table"]
                          and k.encode() >= query.get("from", "").encode())
            page = [self.row(query["table"], k, v[0], v[1]) for k, v in rows[:500]]
            self.reply(writer, 200, {"rows": page, "has-more": len(rows) > 500})
        elif url.path == "/-/rows-feed":
            await self.feed(query, writer)
        elif url.path == "/-/rows-tx":
            await self.transact(json.loads(request.body), writer)
        else:
            writer.write(response(404))
        return None

    async def feed(self, query, writer):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000

        def found():
            latest = {}
            for ver, t, key, value in self.changes:
                if t == table and ver > after:
                    latest[key] = (ver, value)
            return sorted((ver, key, value) for key, (ver, value) in latest.items())

        while not found() and time.monotonic() < deadline:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except (asyncio.TimeoutError, TimeoutError):
                break
        self.reply(writer, 200, {"rows": [self.row(table, k, v, ver) for ver, k, v in found()]})

    async def transact(self, body, writer):
        for row in body.get("expected", []):
            current = self.rows.get((row["table"], row["key"]), (None, 0))[1]
            if current != row["ver"]:
                return self.reply(writer, 412, {"rows": []})
        for row in body.get("write", []):
            await self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("delete", []):
            await self.put(row["table"], row["key"], None)
        return self.reply(writer, 200, {})


class Target:
    """A runner of a plain service. `runs` holds (time, request) of each request that it ran."""

    def __init__(self, record, platform, service, zone="zone-a", work_ms=5):
        self.record, self.platform = record, platform
        self.service, self.zone, self.work_ms = service, zone, work_ms
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.is_registered = True
        self.is_leaving = False
        self.runs = []
        self.rejected = []
        self.answer = None  # Coroutine that replaces `reply`.

    async def start(self, host):
        self.server = await Server(self.handle).start(host)
        self.task = asyncio.ensure_future(self.beat())
        await self.register()
        return self

    async def register(self):
        self.seq += 1
        await self.platform.put("servers", self.id, {
            "service": self.service, "address": self.server.address, "zone": self.zone,
            "version": "v1", "slots": 64, "state": self.state, "cold-left-ms": 0,
            "seq": self.seq, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            if self.is_registered:
                await self.register()

    async def deregister(self):
        self.is_registered = False
        ver = await self.platform.put("servers", self.id, None)
        self.record.write(f"store: row of target {self.id} removed, version {ver}")

    def stop(self):
        self.task.cancel()
        self.server.stop()

    def base_headers(self, request):
        headers = [("Instance-Id", self.id), ("Server-Load", "1,0,64")]
        if request.get("Request-Id"):
            headers.append(("Request-Id", request.get("Request-Id")))
        if self.is_leaving:
            headers += [("Server-Leaving", "1"), ("Connection", "close")]
        return headers

    async def handle(self, request, writer):
        name = request.get("Request-Id")
        if request.get("Expect-Instance") not in (None, self.id):
            self.rejected.append((self.record.now(), name))
            self.record.write(f"target {self.id}: {request.first} id={name} answered 421")
            writer.write(response(421, self.base_headers(request) + [("Not-Executed", "1")]))
            return None
        if not name:
            writer.write(response(400, self.base_headers(request) + [("Not-Executed", "1")]))
            return None
        self.runs.append((self.record.now(), name, request))
        self.record.write(f"target {self.id}: RUNS {request.first} id={name} "
                          f"body={len(request.body)} bytes")
        if self.answer:
            return await self.answer(self, request, writer)
        return await self.reply(request, writer)

    async def reply(self, request, writer):
        await asyncio.sleep(self.work_ms / 1000)
        writer.write(response(200, self.base_headers(request) + [("Response-Seal", "s." + self.id)],
                              f"answer to {request.get('Request-Id')}".encode()))
        return not self.is_leaving


def render(template, fields):
    """Renders the template language of DEPLOY.md, as far as the project's template uses it."""

    def find(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for name in path.split("."):
                value = value.get(name) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def text(value, as_json):
        if as_json:
            return json.dumps(value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    def run(part, scopes, is_last=True):
        out = ""
        while True:
            found = re.search(r"\{\{([#^]?)([^}]*)\}\}", part)
            if not found:
                return out + part
            out += part[:found.start()]
            kind, name = found.groups()
            rest = part[found.end():]
            if not kind:
                if name == ",":
                    out += "" if is_last else ","
                else:
                    path, _, style = name.partition("|")
                    out += text(find(path, scopes), style == "json")
                part = rest
                continue
            close = "{{/" + name + "}}"
            inner, part = rest.split(close, 1)
            value = find(name, scopes)
            if kind == "^":
                out += run(inner, scopes) if not value else ""
            elif isinstance(value, list):
                for i, item in enumerate(value):
                    out += run(inner, scopes + [item], i + 1 == len(value))
            elif value:
                out += run(inner, scopes + [value])

    return run(template, [fields])


def free_addresses(ip, count):
    """Returns addresses with ports that nothing uses. The template fixes the port of the metrics."""
    sockets = []
    try:
        for port in [9464] + [0] * count:
            sockets.append(socket.socket())
            sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sockets[-1].bind((ip, port))
        return [f"{ip}:{entry.getsockname()[1]}" for entry in sockets[1:]]
    finally:
        for entry in sockets:
            entry.close()


def deploy_command():
    text = open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8").read()
    command = re.search(r'^run = "(.*)"', text, re.M).group(1).split(" ")
    template = re.search(r'^template = "(.*)"', text, re.M).group(1)
    return command, open(os.path.join(ROOT, template), encoding="utf-8").read()


class Daemon:
    """One daemon process with the command and the settings of the deploy file."""

    def __init__(self, world, index):
        self.world = world
        self.name = f"edge-zone-a-{index + 1}"
        self.ip = world.ip(10 + index)
        self.front, self.ready, self.control, self.directory = free_addresses(self.ip, 4)
        self.config = os.path.join(world.folder, f"{self.name}.toml")
        self.process = None
        self.exits = []

    def configure(self, seeds):
        fields = {
            "node": self.name, "zone": "zone-a", "region": "r", "ip": self.ip,
            "listen": {"front": self.front, "ready": self.ready, "control": self.control,
                       "directory": self.directory},
            "seeds": seeds, "bounds": BOUNDS, "limits": {"link-mbps": 1000.0},
            "platform": {"address": self.world.platform.address},
        }
        with open(self.config, "w", encoding="utf-8") as file:
            file.write(render(deploy_command()[1], fields))

    def start(self, log=None):
        """Starts the process; its output goes to `log`, or to a file if that is None."""
        command = [word if word != "/etc/chervilfield/boot.json" else self.config
                   for word in deploy_command()[0]]
        command[0] = os.path.join(ROOT, command[0])
        require(os.path.exists(command[0]), "the deploy file's build has not been made")
        log = log or open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["CHERVILFIELD_CONFIG"] = self.config
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                        env=environment)
        self.world.record.write(f"{self.name} at {self.front}: started")

    def signal(self, number):
        self.world.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout=10):
        deadline = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def wait_ready(self, timeout=10):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            require(self.process.poll() is None, f"{self.name} ended by itself")
            try:
                answer = await call(self.ready, "GET", "/-/readiness", timeout=0.5)
                if answer and answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")


async def call(address, method, target, headers=(), body=b"", timeout=5, raw=None):
    """Sends one request on a new connection and returns the response, or None."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            if raw is None:
                lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
                if body or method != "GET":
                    lines.append(f"Content-Length: {len(body)}")
                raw = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
            writer.write(raw)
            return await read_body(reader, await read_head(reader), True)
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


class World:
    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.daemons = []
        self.targets = []
        self.next_id = 0

    def ip(self, index):
        return f"{self.net}.{index}"

    async def start_platform(self):
        self.platform = await Platform(self.record).start(self.ip(2))

    async def start_target(self, service, **options):
        target = Target(self.record, self.platform, service, **options)
        await target.start(self.ip(100 + len(self.targets)))
        self.targets.append(target)
        self.record.write(f"target {target.id} of {service} at {target.server.address}: started")
        return target

    async def start_daemons(self, count):
        self.daemons = [Daemon(self, i) for i in range(count)]
        seeds = [daemon.control for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.configure(seeds)
            daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def configure(self, version, routes, services, limits=None, tenants=None):
        document = {"version": version, "routes": routes, "services": services,
                    "limits": limits or LIMITS}
        if tenants:
            document["tenants"] = tenants
        ver = await self.platform.put("op", "config", document)
        self.record.write(f"store: configuration {version} confirmed, version {ver}")

    def request_id(self):
        self.next_id += 1
        return "%08x%08x" % (random.getrandbits(32), self.next_id)

    async def send(self, daemon, method, host, target, body=b"", headers=(), timeout_ms=3000,
                   name=None):
        name = name or self.request_id()
        sent_at = self.record.now()
        answer = await call(daemon.front, method, target,
                            [("Host", host), ("Request-Id", name),
                             ("Deadline-Ms", timeout_ms), *headers], body,
                            timeout=timeout_ms / 1000 + 1)
        status = answer.status if answer else "no answer"
        self.record.write(f"caller: {method} {target} id={name} to {daemon.name}, sent at "
                          f"{sent_at:.3f}, answered {status}")
        return name, sent_at, answer

    def close(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        for target in self.targets:
            target.stop()
        if os.environ.get("KEEP"):
            print("logs of the daemons:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, kind="idempotent", **more):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout-ms": 3000,
            "target-latency-ms": 300, "priority": 2, "service": service, "max-attempts": 2,
            "allow-anonymous": True, "sticky": False, "resumable": False, **more}


def service(name, **more):
    return {"name": name, "health-path": "/health", "max-connections": 360, "protocol": "h1",
            "tls": False, **more}


def main(folder, play):
    """Plays a case. `play(world)` returns a list of breaches of the rule."""

    async def run():
        world = World(folder)
        try:
            async with asyncio.timeout(110):
                breaches = await play(world)
            for breach in breaches:
                world.record.say("BROKEN: " + breach)
            world.record.say("result: " + ("broken" if breaches else "held")
                             + ("" if TROUBLE else " (without the disruption)"))
            return 1 if breaches else 0
        except Exception as error:  # pylint: disable=broad-except
            # Exit status 1 is only for a broken rule.
            world.record.say(f"result: could not run: {error!r}")
            return 2
        finally:
            world.close()

    sys.exit(asyncio.run(run()))
