"""Starts and ends the processes of a local deployment: stand-ins and daemons on loopback addresses.

Only processes started here are ended here, by their process ids.
"""

import json
import os
import pathlib
import signal
import subprocess
import threading
import time
import urllib.error
import urllib.request

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
BINARIES = REPOSITORY / "build" / "bin"
START_TIMEOUT_S = 10.0


class Process:
    """One child process that prints "listening <address>" lines when it is ready."""

    def __init__(self, name, command, directory, listeners=1):
        self.name = name
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.log = open(self.log_path, "wb")
        self.started = time.monotonic()
        self.child = subprocess.Popen(
            [str(part) for part in command], stdout=subprocess.PIPE, stderr=self.log
        )
        self.listeners = []
        self._ready = threading.Event()
        self._expected = listeners
        threading.Thread(target=self._read, daemon=True).start()
        if not self._ready.wait(START_TIMEOUT_S):
            self.kill()
            raise RuntimeError(f"{name} did not start; see {self.log_path}")

    def _read(self):
        for line in self.child.stdout:
            words = line.decode().split()
            if words and words[0] == "listening":
                self.listeners.append(words[-1])
                if len(self.listeners) == self._expected:
                    self.ready_after_s = time.monotonic() - self.started
                    self._ready.set()

    @property
    def address(self):
        """Address of the first listener."""
        return self.listeners[0]

    def running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        """Ends the process without warning."""
        self.signal(signal.SIGKILL)
        self.child.wait()

    def terminate(self, timeout_s=30.0):
        """Asks the process to shut down and returns its exit status."""
        self.signal(signal.SIGTERM)
        return self.child.wait(timeout=timeout_s)


def request_json(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Sends one request and returns (status, parsed body). The body is None if it is not JSON."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, _parse(response.read())
    except urllib.error.HTTPError as error:
        return error.code, _parse(error.read())


def _parse(data):
    try:
        return json.loads(data)
    except ValueError:
        return None


class Deployment:
    """A platform stand-in, engines, order services and daemons."""

    def __init__(self, directory, engine_options=None):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.engine_options = engine_options or []
        self.platform = None
        self.engines = {}
        self.services = {}
        self.daemons = {}
        self.starts = 0

    def _process(self, name, command, listeners=1):
        self.starts += 1
        return Process(f"{name}-{self.starts}" if name in self._names() else name, command,
                       self.directory, listeners)

    def _names(self):
        return {path.stem for path in self.directory.glob("*.log")}

    def start_platform(self):
        self.platform = self._process("platform", [BINARIES / "standin_platform", "--port", 0])

    def start_engine(self, name, port=0):
        command = [BINARIES / "standin_engine", "--name", name, "--port", port]
        self.engines[name] = self._process(name, command + self.engine_options)

    def start_service(self, name, port=0):
        command = [BINARIES / "standin_service", "--name", name, "--port", port]
        self.services[name] = self._process(name, command)

    def start_daemon(self, name, data_centre, ports=(0, 0, 0), extra=""):
        """Starts a daemon; its listeners are the callers', admin and peer addresses."""
        seeds = [process.listeners[2] for process in self.daemons.values() if process.running()]
        path = self.directory / f"{name}.toml"
        path.write_text(
            f'[instance]\nname = "{name}"\ndata_centre = "{data_centre}"\n'
            f'[listen]\ncallers = "127.0.0.1:{ports[0]}"\nadmin = "127.0.0.1:{ports[1]}"\n'
            f'peers = "127.0.0.1:{ports[2]}"\n'
            f'[platform]\naddress = "{self.platform.address}"\n'
            f"[peers]\nseeds = {json.dumps(seeds)}\n{extra}"
        )
        command = [BINARIES / "chervilfieldd", "--config", path]
        self.daemons[name] = self._process(name, command, listeners=3)

    def all(self):
        groups = [self.engines.values(), self.services.values(), self.daemons.values()]
        processes = [process for group in groups for process in group]
        return processes + ([self.platform] if self.platform else [])

    def stop(self):
        for process in self.all():
            process.kill()


def port_of(address):
    return int(address.rsplit(":", 1)[1])


def wait_until(condition, timeout_s, what):
    """Waits for a condition and raises an error that names it if it does not come about."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out after {timeout_s} s waiting for {what}")
        time.sleep(0.02)


def new_directory(prefix):
    """Returns a new directory for settings and logs under build/run."""
    path = REPOSITORY / "build" / "run" / f"{prefix}-{os.getpid()}-{int(time.time())}"
    path.mkdir(parents=True)
    return path
