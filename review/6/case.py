"""The answer to a HEAD request is followed by bytes that the caller takes for the next answer."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import TROUBLE, main, read_body, read_head, require, route, service

ROUNDS = 5


async def answer(target, request, writer):
    """Answers as RFC 9110 asks: HEAD gets the fields of the answer to GET and no content."""
    if request.method != "HEAD":
        return await target.reply(request, writer)
    lines = ["HTTP/1.1 200 OK", "Response-Seal: s." + target.id, "Content-Length: 800"]
    lines += [f"{name}: {value}" for name, value in target.base_headers(request)]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    return True


async def play(world):
    await world.start_platform()
    for _ in range(2):
        (await world.start_target("desk")).answer = answer
    await world.configure(7, [route("looks", "desk.example", "/looks/", "desk")],
                          [service("desk")])
    await world.start_daemons(1)
    host, port = world.daemons[0].front.split(":")
    breaches = []
    for number in range(ROUNDS):
        reader, writer = await asyncio.open_connection(host, int(port))
        for method in ("GET", "HEAD" if TROUBLE else "GET", "GET"):
            name = world.request_id()
            writer.write(f"{method} /looks/{number} HTTP/1.1\r\nHost: desk.example\r\n"
                         f"Request-Id: {name}\r\nDeadline-Ms: 1000\r\n\r\n".encode())
            async with asyncio.timeout(5):
                reply = await read_head(reader)
                if method != "HEAD":
                    await read_body(reader, reply, True)
            world.record.write(f"caller: {method} id={name} answered {reply.first[:70]!r}")
            if not reply.first.startswith("HTTP/1.1 "):
                breaches.append(f"MIXED: the answer to {method} {name} begins with "
                                f"{reply.first[:50]!r}")
                break
        writer.close()
    return breaches


main(os.path.dirname(os.path.abspath(__file__)), play)
