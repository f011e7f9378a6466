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
    """One child process that prints a "listening <address>" line for each of its listeners.

    The constructor waits until all of them are printed; `listeners` holds the addresses in that
    order.
    """

    def __init__(self, name, command, directory, listener_count=1):
        self.name = name
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.log = open(self.log_path, "wb")
        self.started = time.monotonic()
        self.child = subprocess.Popen(
            [str(part) for part in command], stdout=subprocess.PIPE, stderr=self.log
        )
        self.listeners = []
        self._ready = threading.Event()
        self._listener_count = listener_count
        threading.Thread(target=self._read, daemon=True).start()
        if not self._ready.wait(START_TIMEOUT_S):
            self.kill()
            raise RuntimeError(f"{name}: expected {listener_count} listening addresses within "
                               f"{START_TIMEOUT_S} s, got {len(self.listeners)}; "
                               f"see {self.log_path}")

    def _read(self):
        """Collects the listening addresses and keeps reading, so that the pipe never fills."""
        for line in self.child.stdout:
            words = line.decode().split()
            if words and words[0] == "listening":
                self.listeners.append(words[-1])
                if len(self.listeners) == self._listener_count:
                    self.ready_after_s = time.monotonic() - self.started
                    self._ready.set()

    @property
    def address(self):
        """Address of the first listener."""
        return self.listeners[0]

    def is_running(self):
        return self.child.poll() is None

    def send_signal(self, number):
        """Sends a signal to the process if it is still running."""
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        """Sends SIGKILL and waits for the exit."""
        self.send_signal(signal.SIGKILL)
        self.child.wait()

    def terminate(self, timeout_s=30.0):
        """Sends SIGTERM, waits for the exit and returns the exit status."""
        self.send_signal(signal.SIGTERM)
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
    """The processes of a deployment: a platform stand-in, engines, order services and daemons.

    Configuration files and logs are written to `directory`.
    """

    def __init__(self, directory, engine_options=None):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.engine_options = engine_options or []
        self.platform = None
        self.engines = {}
        self.services = {}
        self.daemons = {}
        self.start_count = 0

    def _start_process(self, name, command, listener_count=1):
        """Starts a process; a further start of the same name gets a log file of its own."""
        self.start_count += 1
        return Process(f"{name}-{self.start_count}" if name in self._log_names() else name, command,
                       self.directory, listener_count)

    def _log_names(self):
        """Returns the names of the processes that have a log file."""
        return {path.stem for path in self.directory.glob("*.log")}

    def start_platform(self):
        self.platform = self._start_process("platform",
                                            [BINARIES / "standin_platform", "--port", 0])

    def start_engine(self, name, port=0):
        command = [BINARIES / "standin_engine", "--name", name, "--port", port]
        self.engines[name] = self._start_process(name, command + self.engine_options)

    def start_service(self, name, port=0):
        command = [BINARIES / "standin_service", "--name", name, "--port", port]
        self.services[name] = self._start_process(name, command)

    def start_daemon(self, name, data_centre, ports=(0, 0, 0), extra_settings=""):
        """Starts a daemon that joins the running ones.

        Its listeners are, in this order, the addresses for callers, operators and peers.
        `extra_settings` is TOML text that is appended to its configuration file.
        """
        seeds = [process.listeners[2] for process in self.daemons.values() if process.is_running()]
        path = self.directory / f"{name}.toml"
        path.write_text(
            f'[instance]\nname = "{name}"\ndata_centre = "{data_centre}"\n'
            f'[listen]\ncallers = "127.0.0.1:{ports[0]}"\nadmin = "127.0.0.1:{ports[1]}"\n'
            f'peers = "127.0.0.1:{ports[2]}"\n'
            f'[platform]\naddress = "{self.platform.address}"\n'
            f"[peers]\nseeds = {json.dumps(seeds)}\n{extra_settings}"
        )
        command = [BINARIES / "chervilfieldd", "--config", path]
        self.daemons[name] = self._start_process(name, command, listener_count=3)

    def all_processes(self):
        groups = [self.engines.values(), self.services.values(), self.daemons.values()]
        processes = [process for group in groups for process in group]
        return processes + ([self.platform] if self.platform else [])

    def stop(self):
        """Kills all processes."""
        for process in self.all_processes():
            process.kill()


def port_of(address):
    return int(address.rsplit(":", 1)[1])


def wait_until(condition, timeout_s, what):
    """Waits until a condition holds. Raises an error that names it (`what`) after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out after {timeout_s} s waiting for {what}")
        time.sleep(0.02)


def new_directory(prefix):
    """Creates a directory for configuration files and logs under build/run and returns its path."""
    path = REPOSITORY / "build" / "run" / f"{prefix}-{os.getpid()}-{int(time.time())}"
    path.mkdir(parents=True)
    return path
