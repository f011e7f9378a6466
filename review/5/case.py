"""A request inside the body of another request is run as a request of its own."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import TROUBLE, call, main, require, route, service

ROUNDS = 20


async def play(world):
    await world.start_platform()
    desk = await world.start_target("desk")
    await world.configure(7, [route("orders", "desk.example", "/orders/", "desk",
                                    kind="non_idempotent", **{"max-attempts": 1})],
                          [service("desk")])
    await world.start_daemons(1)
    daemon = world.daemons[0]
    _, _, answer = await world.send(daemon, "POST", "desk.example", "/orders/first", b"order")
    require(answer and answer.status == 200, "a plain request failed")
    breaches = []
    for number in range(ROUNDS):
        outer, inner = world.request_id(), world.request_id()
        body = (f"POST /orders/inner-{number} HTTP/1.1\r\nHost: desk.example\r\n"
                f"Request-Id: {inner}\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n")
        if TROUBLE:
            # RFC 9112, 6.3: the length cannot be determined, so the server must answer 400 and
            # close the connection.
            framing, content = "Transfer-Encoding: gzip", body
        else:
            framing = "Transfer-Encoding: chunked"
            content = f"{len(body):x}\r\n{body}\r\n0\r\n\r\n"
        answer = await call(daemon.front, "", "", timeout=2, raw=(
            f"POST /orders/outer-{number} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {outer}\r\n"
            f"Deadline-Ms: 2000\r\n{framing}\r\n\r\n{content}").encode())
        await asyncio.sleep(0.1)
        ran = {name: request for _, name, request in desk.runs}
        world.record.write(f"caller: id={outer} with {framing} answered "
                           f"{answer.status if answer else 'nothing'}")
        if inner in ran:
            breaches.append(f"UNASKED: target ran {ran[inner].target}, id {inner}, which was in the "
                            f"body of request {outer}")
        if outer in ran and ran[outer].body != body.encode():
            breaches.append(f"UNASKED: target ran request {outer} with {len(ran[outer].body)} of "
                            f"{len(body)} bytes of its body")
    return breaches


main(os.path.dirname(os.path.abspath(__file__)), play)
