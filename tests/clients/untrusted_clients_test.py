"""Crowds of clients that nobody controls, each against a gateway process of its
own with small limits. Guards against gateways that run out of memory or of
descriptors, or that serve nobody else while such clients stay connected.

Checks only that the process lives, that its memory and its open descriptors
stay under a bound, and that an ordinary request and an address look-up are
answered while the crowd is connected and after it has left. Arguments: names of
crowds; none means all.
"""

import asyncio
import pathlib
import sys
import tempfile

from single_gateway import MAX_BODY_BYTES, MEMORY_MB, SingleGateway, request_head

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "process"))
from fleet import BINARY  # noqa: E402, after the path is set

BASE_PORT = 26000
# Open descriptors that a gateway may have, and those that its clients must
# leave to endpoints, peers, the store and metrics.
DESCRIPTORS = 256
SPARE_DESCRIPTORS = 32
# Time for a crowd to send what it sends. It ends early when all have sent.
CROWD_TIMEOUT_S = 10
PIECE_BYTES = 64 * 1024


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def announced_never_sent():
    return [request_head("order", MAX_BODY_BYTES)]


def whole_at_once():
    return [request_head("order", MAX_BODY_BYTES) + b"order=1 ".ljust(MAX_BODY_BYTES, b"x")]


def short_of_the_end():
    size = MAX_BODY_BYTES - 1
    return [request_head("order", MAX_BODY_BYTES),
            *[b"x" * min(PIECE_BYTES, size - at) for at in range(0, size, PIECE_BYTES)]]


def large_chunks_short_of_the_end():
    count = MAX_BODY_BYTES // PIECE_BYTES - 1
    return [request_head("order"), *[chunk(b"x" * PIECE_BYTES)] * count]


def one_byte_chunks_short_of_the_end():
    return [request_head("order"), *[chunk(b"x") * 4096] * 16]


def one_byte_writes():
    return [request_head("order"), *[b"1", b"\r", b"\n", b"x", b"\r", b"\n"] * 500]


def announced_over_the_limit():
    return [request_head("order", 100 * MAX_BODY_BYTES), *[b"x" * PIECE_BYTES] * 64]


def sent_over_the_limit():
    return [request_head("order"), *[chunk(b"x" * PIECE_BYTES)] * 64]


def nothing():
    return []


def long_stream_not_read():
    body = b"order=1 events=9"
    return [request_head("chat", len(body)) + body]


# By name: number of clients and what each of them sends.
CROWDS = {
    "announced-never-sent": (48, announced_never_sent),
    "whole-at-once": (64, whole_at_once),
    "short-of-the-end": (48, short_of_the_end),
    "large-chunks-short-of-the-end": (48, large_chunks_short_of_the_end),
    "one-byte-chunks-short-of-the-end": (64, one_byte_chunks_short_of_the_end),
    "one-byte-writes": (64, one_byte_writes),
    "announced-over-the-limit": (64, announced_over_the_limit),
    "sent-over-the-limit": (64, sent_over_the_limit),
    "silent-connections": (400, nothing),
    "streams-not-read": (48, long_stream_not_read),
    "silent-at-the-directory": (400, nothing),
}


class Client:
    """Sends its pieces and then stays connected without reading."""

    def __init__(self):
        self._writer = None

    async def run(self, address, pieces):
        host, port = address.split(":")
        try:
            # A small limit stops reading from the socket soon.
            _, self._writer = await asyncio.open_connection(host, int(port), limit=1)
            for piece in pieces:
                self._writer.write(piece)
                await self._writer.drain()
                await asyncio.sleep(0)
        except OSError:
            pass  # the gateway may close the connection at any time

    def leave(self):
        if self._writer:
            self._writer.transport.abort()


async def run_crowd(name, folder):
    """Returns what is wrong, as a list of sentences."""
    count, pieces = CROWDS[name]
    gateway = SingleGateway(BINARY, folder, BASE_PORT, DESCRIPTORS)
    problems = []
    clients = [Client() for _ in range(count)]
    sending = []

    async def check(when):
        if problem := await gateway.order_problem():
            problems.append(f"{when}: ordinary request: {problem}")
        if problem := await gateway.directory_problem():
            problems.append(f"{when}: address look-up: {problem}")
        if gateway.process.returncode is not None:
            problems.append(f"{when}: exit status {gateway.process.returncode}")
            return
        if gateway.peak_memory_kb() > MEMORY_MB * 1024:
            problems.append(f"{when}: memory {gateway.peak_memory_kb()} kB")
        if gateway.descriptors() > DESCRIPTORS - SPARE_DESCRIPTORS:
            problems.append(f"{when}: {gateway.descriptors()} descriptors")

    try:
        await gateway.start()
        idle_kb = gateway.peak_memory_kb()
        address = (gateway.directory if name == "silent-at-the-directory"
                   else gateway.front)
        sending = [asyncio.create_task(client.run(address, pieces()))
                   for client in clients]
        await asyncio.wait(sending, timeout=CROWD_TIMEOUT_S)
        await check("with the crowd")
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        for client in clients:
            client.leave()
        await check("after the crowd")
        if gateway.process.returncode is None:
            print(f"  {name}: peak {gateway.peak_memory_kb()} kB (idle {idle_kb} kB); "
                  + "; ".join(await gateway.metrics()))
    finally:
        for client in clients:
            client.leave()
        await gateway.stop()
    return problems


def main():
    failed = False
    for name in sys.argv[1:] or CROWDS:
        with tempfile.TemporaryDirectory() as folder:
            problems = asyncio.run(run_crowd(name, pathlib.Path(folder)))
        print(f"{name}: {'; '.join(problems) or 'passed'}", flush=True)
        failed = failed or bool(problems)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
