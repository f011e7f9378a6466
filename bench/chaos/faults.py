"""Seeded faults of a run, in two sequences: one for daemons, one for everything that they use."""

import signal
import threading
import time

from driver.processes import port_of, request_json
from recorder import now_ms

RESTART_DELAY_RANGE_S = (0.2, 1.5)
PAUSE_RANGE_S = (3.5, 5.0)  # Longer than a lease, which lasts 3 s.
FAULT_DURATION_RANGE_S = (0.5, 3.0)
FAULT_INTERVAL_RANGE_S = (0.3, 1.2)
READY_TIMEOUT_S = 10.0
DRAIN_TIMEOUT_S = 70.0


class Cluster:
    """A deployment with the history of its processes, which the checkers and the report need."""

    def __init__(self, deployment, recorder, data_centres):
        self.deployment = deployment
        self.recorder = recorder
        self.data_centres = data_centres
        self.lives = {}  # Caller address -> name of the daemon life that listens there.
        self.daemon_starts = []  # (time, caller address, name of the life)
        self.counts = {}
        self.daemon_kills = []  # (time, caller address)
        self.ready_ms = []
        self.ready_store_down_ms = []
        self.store_down = threading.Event()
        self.store_impaired = threading.Event()  # Set while the store is slow.
        self.lock = threading.Lock()

    def count(self, fault):
        """Counts one occurrence of an event by its name."""
        with self.lock:
            self.counts[fault] = self.counts.get(fault, 0) + 1

    def start_daemon(self, name, ports=(0, 0, 0)):
        """Starts a daemon, waits until it is ready and records the time that it took.

        The time goes into `ready_store_down_ms` if the store was down at the start and at the end,
        and into `ready_ms` if it worked normally at both; otherwise it is not recorded.
        """
        index = int(name.rsplit("-", 1)[1])
        store_was_down = self.store_down.is_set()
        store_was_impaired = self.store_impaired.is_set()
        started = time.monotonic()
        self.deployment.start_daemon(name, self.data_centres[index % len(self.data_centres)], ports)
        process = self.deployment.daemons[name]
        with self.lock:
            life = self.counts.get("start " + name, 0) + 1
            self.counts["start " + name] = life
            self.lives[process.address] = f"{name}#{life}"
            self.daemon_starts.append((started, process.address, f"{name}#{life}"))
        self.wait_ready(process)
        elapsed_ms = (time.monotonic() - started) * 1000
        self.recorder.add("instance-up", time=now_ms(), instance=name)
        if store_was_down and self.store_down.is_set():
            self.ready_store_down_ms.append(elapsed_ms)
        elif not (store_was_down or store_was_impaired or self.store_down.is_set()
                  or self.store_impaired.is_set()):
            self.ready_ms.append(elapsed_ms)

    def wait_ready(self, process):
        """Waits until the daemon is ready or READY_TIMEOUT_S have passed."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if is_ready(process):
                return
            time.sleep(0.005)

    def set_platform_faults(self, **faults):
        """Sets faults of the platform stand-in, which are listed at its `POST /control`."""
        request_json(self.deployment.platform.address, "POST", "/control", faults)


def is_ready(process):
    """Returns whether the daemon reports that it is ready."""
    try:
        return request_json(process.address, "GET", "/readyz", timeout_s=1.0)[0] == 200
    except OSError:
        return False


def listener_ports(process):
    return tuple(port_of(address) for address in process.listeners)


def kill_daemon(cluster, rng, stop):
    name = rng.choice(sorted(cluster.deployment.daemons))
    delay = rng.uniform(*RESTART_DELAY_RANGE_S)
    process = cluster.deployment.daemons[name]
    cluster.daemon_kills.append((time.monotonic(), process.address))
    process.kill()
    stop.wait(delay)
    cluster.start_daemon(name, listener_ports(process))


def pause_daemon(cluster, rng, stop):
    """Stops a daemon for longer than its lease and continues it."""
    name = rng.choice(sorted(cluster.deployment.daemons))
    duration = rng.uniform(*PAUSE_RANGE_S)
    process = cluster.deployment.daemons[name]
    process.send_signal(signal.SIGSTOP)
    stop.wait(duration)
    process.send_signal(signal.SIGCONT)
    cluster.recorder.add("instance-up", time=now_ms(), instance=name)


def drain_daemon(cluster, rng, stop):
    """Stops a daemon gracefully and starts it again."""
    name = rng.choice(sorted(cluster.deployment.daemons))
    process = cluster.deployment.daemons[name]
    cluster.recorder.add("graceful-stop", time=now_ms(), instance=cluster.lives[process.address])
    process.terminate(DRAIN_TIMEOUT_S)
    cluster.start_daemon(name, listener_ports(process))


def store_down(cluster, rng, stop):
    duration = rng.uniform(*FAULT_DURATION_RANGE_S)
    objects = rng.random() < 0.5
    cluster.store_down.set()
    cluster.set_platform_faults(tableDown=True, objectsDown=objects)
    stop.wait(duration)
    cluster.set_platform_faults(tableDown=False, objectsDown=False)
    cluster.store_down.clear()


def store_slow(cluster, rng, stop):
    duration = rng.uniform(*FAULT_DURATION_RANGE_S)
    cluster.store_impaired.set()
    cluster.set_platform_faults(delayMs=rng.randrange(50, 600))
    stop.wait(duration)
    cluster.set_platform_faults(delayMs=0)
    cluster.store_impaired.clear()


def store_loses_answers(cluster, rng, stop):
    """Lets the next table writes take effect without an answer."""
    cluster.set_platform_faults(loseAnswers=rng.randrange(1, 12))
    stop.wait(rng.uniform(*FAULT_DURATION_RANGE_S))
    cluster.set_platform_faults(loseAnswers=0)


def store_reads_stale(cluster, rng, stop):
    """Lets the next table reads miss the latest writes."""
    cluster.set_platform_faults(staleReads=rng.randrange(1, 12), staleWrites=rng.randrange(1, 4))
    stop.wait(rng.uniform(*FAULT_DURATION_RANGE_S))
    cluster.set_platform_faults(staleReads=0)


def kill_engine(cluster, rng, stop):
    name = rng.choice(sorted(cluster.deployment.engines))
    delay = rng.uniform(*RESTART_DELAY_RANGE_S)
    process = cluster.deployment.engines[name]
    cluster.collect_engine(name)
    process.kill()
    stop.wait(delay)
    cluster.deployment.start_engine(name, port_of(process.address))


def _inject_engine_fault(cluster, rng, stop, begin, end):
    process = cluster.deployment.engines[rng.choice(sorted(cluster.deployment.engines))]
    duration = rng.uniform(*FAULT_DURATION_RANGE_S)
    request_json(process.address, "POST", "/control", begin)
    stop.wait(duration)
    request_json(process.address, "POST", "/control", end)


def engine_crash(cluster, rng, stop):
    """Ends all streams of an engine, which goes on with an empty cache."""
    _inject_engine_fault(cluster, rng, stop, {"crash": True}, {})


def engine_silent(cluster, rng, stop):
    """Lets the streams that an engine is sending fall silent without closing them."""
    _inject_engine_fault(cluster, rng, stop, {"silence": True}, {})


def engine_slow(cluster, rng, stop):
    _inject_engine_fault(cluster, rng, stop, {"slowFactor": 5.0}, {"slowFactor": 1.0})


def engine_events_lost(cluster, rng, stop):
    """Lets an engine leave out half of its cache events."""
    _inject_engine_fault(cluster, rng, stop, {"eventLoss": 0.5}, {"eventLoss": 0.0})


def _inject_service_fault(cluster, rng, stop, begin, end):
    process = cluster.deployment.services[rng.choice(sorted(cluster.deployment.services))]
    duration = rng.uniform(*FAULT_DURATION_RANGE_S)
    request_json(process.address, "POST", "/control", begin)
    stop.wait(duration)
    request_json(process.address, "POST", "/control", end)


def service_drops_answers(cluster, rng, stop):
    """Lets the next orders run and closes their connections without an answer."""
    _inject_service_fault(cluster, rng, stop, {"dropAnswers": rng.randrange(1, 6)},
                          {"dropAnswers": 0})


def service_holds_answers(cluster, rng, stop):
    """Lets the next orders run and never answers them."""
    _inject_service_fault(cluster, rng, stop, {"holdAnswers": rng.randrange(1, 4)},
                          {"holdAnswers": 0})


def service_slow(cluster, rng, stop):
    _inject_service_fault(cluster, rng, stop, {"slowMs": rng.randrange(100, 7000)}, {"slowMs": 0})


def service_paused(cluster, rng, stop):
    _inject_service_fault(cluster, rng, stop, {"pause": True}, {"pause": False})


def service_refuses(cluster, rng, stop):
    """Refuses the next orders with 503 without running them."""
    _inject_service_fault(cluster, rng, stop, {"refuse": rng.randrange(1, 10)}, {"refuse": 0})


DAEMON_FAULTS = [kill_daemon, kill_daemon, pause_daemon, drain_daemon, drain_daemon]
OTHER_FAULTS = [store_down, store_slow, store_loses_answers, store_reads_stale, kill_engine,
                engine_crash, engine_silent, engine_slow, engine_events_lost,
                service_drops_answers, service_holds_answers, service_slow, service_paused,
                service_refuses]


def run_faults(cluster, rng, stop, faults):
    """Injects random faults until `stop` is set; each one ends before the next begins."""
    while not stop.wait(rng.uniform(*FAULT_INTERVAL_RANGE_S)):
        fault = rng.choice(faults)
        cluster.count(fault.__name__)
        fault(cluster, rng, stop)
