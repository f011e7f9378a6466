"""A target that has left stays in the view of instances that copied the rows from a restarted one.

Instances are stopped and started in turn, as planned work, while targets leave.
"""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import BOUNDS, TROUBLE, main, require, route, service

ROUNDS = 7
DRAIN_S = BOUNDS["drain-ms"] / 1000
# Time for which a target serves after the removal of its row: the drain time and a little longer.
LINGER_S = DRAIN_S + 1.5


def followers(world):
    """Returns the daemons that follow the store for the others, by their logs."""
    found = []
    for daemon in world.daemons:
        lines = open(os.path.join(world.folder, daemon.name + ".log"), encoding="utf-8").readlines()
        last = [line for line in lines if '"source-changed"' in line and '"servers"' in line]
        if not last or '"followers"' not in last[-1]:
            found.append(daemon)
    return found


async def restart(daemon):
    """Stops an instance as the platform does, and waits for its exit."""
    daemon.signal(signal.SIGTERM)
    require(await daemon.ended(BOUNDS["grace-s"]) is not None, "no exit within grace-s")


async def play(world):
    await world.start_platform()
    for _ in range(3):
        await world.start_target("desk")
    await world.configure(7, [route("looks", "desk.example", "/looks/", "desk")],
                          [service("desk")])
    await world.start_daemons(7)
    await asyncio.sleep(4)
    breaches = []
    first = followers(world)
    require(len(first) == 2, f"{len(first)} followers")
    for number in range(ROUNDS):
        restarted = first[number % 2]
        others = [daemon for daemon in world.daemons if daemon not in first]
        leaving = [await world.start_target("desk") for _ in range(3)]
        await asyncio.sleep(1.5)
        if TROUBLE:
            await restart(restarted)
        # The targets leave without a report that they drain: their rows are removed, and they
        # continue to serve.
        for target in leaving:
            target.is_leaving = True
            await target.deregister()
            target.removed_at = world.record.now()
            await asyncio.sleep(0.08)
        if TROUBLE:
            restarted.start()
            await restarted.wait_ready()
        removed_at = leaving[-1].removed_at
        await asyncio.sleep(removed_at + DRAIN_S + 0.5 - world.record.now())
        await asyncio.gather(*(world.send(daemon, "GET", "desk.example", f"/looks/{i}")
                               for daemon in others for i in range(12)))
        late = [(target, at, name) for target in leaving for at, name, _ in target.runs
                if at > target.removed_at + DRAIN_S]
        for target, at, name in late:
            breaches.append(f"DRAIN: request {name} reached target {target.id} "
                            f"{at - target.removed_at:.3f} s after the store confirmed its removal")
        await asyncio.sleep(removed_at + LINGER_S - world.record.now())
        for target in leaving:
            target.stop()
        world.record.say(f"round {number}: {len(late)} requests after the drain time")
    return breaches


main(os.path.dirname(os.path.abspath(__file__)), play)
