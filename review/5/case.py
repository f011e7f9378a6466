"""Requests within a raised limit of the operator are refused as too large."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import BOUNDS, LIMITS, TROUBLE, main, require, route, service

REQUESTS = 100
HEAD_BYTES = 20000


async def play(world):
    await world.start_platform()
    await world.start_target("desk")
    routes, services = [route("looks", "desk.example", "/looks/", "desk")], [service("desk")]
    await world.configure(7, routes, services)
    await world.start_daemons(3)
    await asyncio.sleep(BOUNDS["stable-window-ms"] / 1000 + 0.5)
    limits = dict(LIMITS)
    limits["max-header-bytes"] = 32768
    await world.configure(9, routes, services, limits)
    await asyncio.sleep(BOUNDS["config-apply-ms"] / 1000 + 0.5)
    refused = 0
    parts = ",".join("%08x:16" % i for i in range((HEAD_BYTES if TROUBLE else 2000) // 12))
    for number in range(REQUESTS):
        name, _, answer = await world.send(world.daemons[number % 3], "GET", "desk.example",
                                           f"/looks/{number}", headers=[("Prompt-Prefix", parts)])
        require(answer is not None, f"request {name} got no answer")
        if 300 <= answer.status < 500 and answer.status not in (408, 421, 429) \
                and answer.get("Response-Seal") is None:
            refused += 1
    world.record.say(f"{refused} of {REQUESTS} proper requests ended with a 4xx of the daemon")
    if refused > 5 + REQUESTS / 500:
        return [f"DENIED: {refused} of {REQUESTS} proper requests"]
    return []


main(os.path.dirname(os.path.abspath(__file__)), play)
