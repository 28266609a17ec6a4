"""A planned stop of one gateway while callers go on to use it until its process
is gone. Guards against requests that are passed on late in the grace period and
cut off, without a response, at its end.

Every request that an endpoint has run gets its whole response. Allowed are those
whose deadline has passed, and those that were sent soon after the signal and
that the endpoint still runs at the end. What is refused has not run.
"""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(TESTS / "clients"))
import single_gateway  # noqa: E402, after the path is set

sys.path.insert(0, str(TESTS / "process"))
from fleet import BINARY  # noqa: E402

http_wire, wire = single_gateway.http_wire, single_gateway.wire

SEED = 1
BASE_PORT = 26100
GRACE_S = 8  # leaving_grace_s
SENT_SOON_S, ENDS_LATE_S = 3, GRACE_S * 5 / 6  # after the signal
CALLERS = 5  # of each kind
CALM_S = 0.8
TICK_S = 0.1
TAIL_S = 3  # for responses that are on their way as the process ends
RESPONSE_BYTES = 80_000
RECEIVE_BUFFER_BYTES, READ_BYTES, READ_PAUSE_S = 4096, 2048, 0.01
# 0 leaves the deadline to the route.
WORK_S = {"order": (0.01, 0.01, 0.2, 0.8, 2.0, 3.5), "chat": (0.4, 2.0, 4.0, 4.5, 5.0, 6.0)}
DEADLINES_S = {"order": (0, 0.5, 1.0, 2.5, 4.0), "chat": (0, 0, 1.5, 9.0)}
# Whether callers keep their connections, read slowly, and send their next request
# while a response arrives.
KINDS_OF_USE = [(False, False, False), (False, True, False),
                (True, False, False), (True, True, False),
                *[(True, False, True), (True, True, True)] * 2]
LIMITS_S = {"order": 5, "chat": 60}
SENDS_NEXT_AT = 0.95  # of the response before
REFUSALS = (429, 503)

RUNS = collections.defaultdict(list)  # [start, end] of each, by request id


@contextlib.contextmanager
def recorded_run(head, body):
    """Gives the time that the request is to take."""
    run = [time.monotonic(), None]
    RUNS[head.fields[wire.REQUEST_ID]].append(run)
    work_s = re.search(r"work=(\S+)", body)
    try:
        yield float(work_s[1]) if work_s else 0
    finally:
        run[1] = time.monotonic()


class Desk(single_gateway.Endpoint):
    """Runs each order for the time that its body names."""

    async def _respond(self, head, body, writer):
        with recorded_run(head, body) as work_s:
            await asyncio.sleep(work_s)
        await self._send(200, head.fields[wire.REQUEST_ID], b"x" * RESPONSE_BYTES, writer)


class Engine(single_gateway.FloodEndpoint):
    """Streams for the time that the request's body names."""

    EVENT_BYTES, EVENT_PAUSE_S = 4096, 0.04

    async def _respond(self, head, body, writer):
        with recorded_run(head, body) as work_s:
            self.EVENTS = 1 + int(work_s / self.EVENT_PAUSE_S)
            await self._stream(head, None, None, writer)


class Request:
    def __init__(self, route, numbers, work_s, deadline_s):
        self.route, self.id = route, f"r-{next(numbers)}"
        self.work_s, self.deadline_s = work_s, deadline_s
        body = f"order=o work={work_s}".ljust(50)
        deadline = f"{wire.DEADLINE_MS}: {deadline_s * 1000:.0f}\r\n" if deadline_s else ""
        self.message = (
            f"POST /{route}/ HTTP/1.1\r\nHost: {single_gateway.HOST}\r\n{deadline}"
            f"{wire.KEY}: {single_gateway.KEY}\r\n{wire.REQUEST_ID}: {self.id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        self.sent_at = self.ended_at = self.status = None
        self.is_whole = False


class Connection:
    """Sends requests one by one, or each while the response before arrives."""

    def __init__(self, address, is_slow):
        host, port = address.split(":")
        self._address, self._is_slow = (host, int(port)), is_slow

    async def __aenter__(self):
        sock = socket.socket()
        sock.setblocking(False)
        if self._is_slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, self._address)
        limit = READ_BYTES if self._is_slow else 65536
        self._reader, self.writer = await asyncio.open_connection(sock=sock, limit=limit)
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    def send(self, request):
        request.sent_at = time.monotonic()
        self.writer.write(request.message)

    async def read(self, request):
        """Returns whether the connection can be used for the next request."""
        try:
            head = await http_wire.read_head(self._reader)
            if not head:
                return False
            request.status = head.status
            assert head.fields.get(wire.REQUEST_ID, request.id) == request.id
            async for _ in http_wire.read_chunks(self._reader, head):
                if self._is_slow:
                    await asyncio.sleep(READ_PAUSE_S)
            request.is_whole = True
            return head.keeps_connection()
        except (http_wire.HttpError, ConnectionError):
            return False
        finally:
            request.ended_at = time.monotonic()


class Callers:
    def __init__(self, gateway):
        self._gateway = gateway
        self._numbers = itertools.count()
        self._random = random.Random(SEED)
        self.requests = []

    def _next(self, route=None):
        route = route or self._random.choice(("order", "chat"))
        request = Request(route, self._numbers, self._random.choice(WORK_S[route]),
                          self._random.choice(DEADLINES_S[route]))
        self.requests.append(request)
        return request

    async def run(self, route, is_kept, is_slow, sends_early):
        """Sends requests until the process is gone."""
        while self._gateway.process.returncode is None:
            await asyncio.sleep(TICK_S * self._random.random() * 2)
            try:
                async with Connection(self._gateway.front, is_slow) as connection:
                    await self._use(connection, self._next(route), is_kept, sends_early)
            except OSError:
                pass  # the gateway doesn't accept connections any longer

    async def _use(self, connection, request, is_kept, sends_early):
        connection.send(request)
        while True:
            reading = asyncio.create_task(connection.read(request))
            following = None
            if sends_early:
                await asyncio.wait([reading], timeout=request.work_s * SENDS_NEXT_AT)
                following = self._next()
                connection.send(following)
            if not await reading or not is_kept:
                if following:
                    following.ended_at = time.monotonic()
                return
            if not following:
                await asyncio.sleep(TICK_S)
                following = self._next()
                connection.send(following)
            request = following


def problem_of(request, signalled_at):
    """What is wrong with a request, or None."""
    runs = RUNS[request.id]
    if request.route == "order" and len(runs) > 1:
        return f"ran {len(runs)} times"
    if not runs or request.is_whole:
        return "refused and run" if runs and request.status in REFUSALS else None
    if time_left_s(request) <= 0:
        return None
    is_late = runs[-1][1] is None or runs[-1][1] > signalled_at + ENDS_LATE_S
    if is_late and request.sent_at <= signalled_at + SENT_SOON_S:
        return None
    return "run and cut off"


def time_left_s(request):
    ended_at = request.ended_at or time.monotonic()
    return request.sent_at + (request.deadline_s or LIMITS_S[request.route]) - ended_at


async def run_stop(folder):
    gateway = single_gateway.SingleGateway(BINARY, folder, BASE_PORT, 1024,
                                           endpoint_types=(Desk, Engine))
    callers = Callers(gateway)
    try:
        await gateway.start()
        tasks = [asyncio.create_task(callers.run(route, *use)) for route, use in
                 itertools.product(("order", "chat"), KINDS_OF_USE) for _ in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        signalled_at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        status = await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        took_s = time.monotonic() - signalled_at
        await asyncio.wait_for(asyncio.gather(*tasks), TAIL_S)
    finally:
        await gateway.stop()
    return callers.requests, signalled_at, status, took_s


def main():
    with tempfile.TemporaryDirectory() as folder:
        requests, signalled_at, status, took_s = asyncio.run(
            run_stop(pathlib.Path(folder)))
    passed_on_late = [run for r in requests for run in RUNS[r.id]
                      if r.sent_at > signalled_at + SENT_SOON_S]
    counts = collections.Counter((r.status, r.is_whole, bool(RUNS[r.id])) for r in requests)
    print(f"exit status {status} after {took_s:.2f} s; {len(passed_on_late)} late requests "
          f"passed on; (status, whole, run): {dict(counts)}")
    problems = [(problem, r) for r in requests if (problem := problem_of(r, signalled_at))]
    for problem, request in problems:
        times = [request.sent_at, request.ended_at, *itertools.chain(*RUNS[request.id])]
        print(f"{problem}: {request.route} {request.id}, status {request.status}, sent, ended and "
              f"runs after the signal: {[t and round(t - signalled_at, 3) for t in times]}, "
              f"deadline {request.deadline_s} s")
    return 0 if not problems and status == 0 and passed_on_late else 1


if __name__ == "__main__":
    sys.exit(main())
