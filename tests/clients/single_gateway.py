"""A gateway process with small limits, and the stand-ins that it needs."""

import asyncio
import pathlib
import re
import resource
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

import http_wire  # noqa: E402, after the path is set
import ledger as ledgers  # noqa: E402
import platform_wire as wire  # noqa: E402
from endpoint import Endpoint  # noqa: E402
from store import Store  # noqa: E402

HOST, KEY = "clients.example", "key-1"
MAX_BODY_BYTES = 1 << 20
# Bodies of all requests together get 8 MB, the least that a gateway allows.
MEMORY_MB = 64
START_TIMEOUT_S = 20
# Shorter than the limits on a body and on an idle connection, 15 s, after which
# a gateway that is blocked by its clients would serve others in any case.
ORDINARY_TIMEOUT_S = 8
ORDINARY_BODY_BYTES = 12_000
PAUSE_S = 0.05


class FloodEndpoint(Endpoint):
    """Streams large events as fast as they are read, or with pauses."""

    EVENTS, EVENT_BYTES, EVENT_PAUSE_S = 400, 64 * 1024, 0

    async def _stream(self, head, order, events, writer):
        fields = self._fields(head.fields[wire.REQUEST_ID])
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 200 S\r\n{lines}\r\n".encode())
        for number in range(1, self.EVENTS + 1):
            await asyncio.sleep(self.EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {'x' * self.EVENT_BYTES}\n\n"
            writer.write(http_wire.chunk(event.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class SingleGateway:
    """One gateway with an endpoint for orders and one for streams, of the given
    types."""

    def __init__(self, binary, folder, base_port, descriptors,
                 endpoint_types=(Endpoint, FloodEndpoint)):
        self._binary = binary
        self._folder = folder
        self._descriptors = descriptors
        address = lambda offset: f"127.0.0.1:{base_port + offset}"
        self.front = address(0)
        self._metrics = address(2)
        self._peer = address(3)
        self._store = Store(address(4))
        ledger = ledgers.Ledger()
        self._endpoints = [
            endpoint_types[0]("desk-1", "desk", "a", address(5), address(5), ledger),
            endpoint_types[1]("pool-1", "pool", "a", address(6), address(6), ledger)]
        self.directory = address(1)
        self.process = None

    async def start(self):
        await self._store.start()
        configuration = wire.configuration(
            1, [wire.route("order", HOST, "non_idempotent", "desk", 5000),
                wire.route("chat", HOST, "streaming", "pool", 60000)],
            [wire.service("desk"), wire.service("pool", 64)], {"office": [KEY]})
        configuration["limits"] = {
            "max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self._store.put(wire.CONFIGURATION, wire.CONFIGURATION_NAME, configuration)
        for endpoint in self._endpoints:
            await endpoint.start()
            self._store.put(wire.ENDPOINTS, endpoint.name, endpoint.record())
        settings = self._folder / "gateway.ini"
        settings.write_text(
            f"[gateway]\nname = gateway-1\nzone = a\nfront_listen = {self.front}\n"
            f"readiness_listen = {self.directory}\n"
            f"directory_listen = {self.directory}\n"
            f"metrics_listen = {self._metrics}\npeer_listen = {self._peer}\n"
            f"store = {self._store.address}\nmemory_mb = {MEMORY_MB}\n")
        limits = (self._descriptors, self._descriptors)
        with (self._folder / "gateway.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self._binary, "gateway", "--config", settings, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits))
        problem = await self.order_problem(START_TIMEOUT_S)
        assert not problem, f"no response after the start: {problem}"

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for endpoint in self._endpoints:
            endpoint.stop()
        self._store.stop()

    async def order_problem(self, timeout_s=ORDINARY_TIMEOUT_S):
        """Sends an ordinary request, again if it is refused. Returns None after
        a response 200, or what was seen instead until the time-out."""
        return await self._problem(self._order, timeout_s)

    async def directory_problem(self):
        """The same for a caller that asks for addresses."""
        return await self._problem(self._look_up, ORDINARY_TIMEOUT_S)

    async def _problem(self, send, timeout_s):
        ends_at = time.monotonic() + timeout_s
        seen = "nothing"
        while (left_s := ends_at - time.monotonic()) > 0:
            try:
                status = await asyncio.wait_for(send(), left_s)
            except (OSError, http_wire.HttpError, asyncio.TimeoutError) as failure:
                seen = repr(failure)
            else:
                if status == 200:
                    return None
                seen = f"status {status}"
            await asyncio.sleep(PAUSE_S)
        return f"{seen} within {timeout_s} s"

    async def _look_up(self):
        return await http_wire.request_status(
            self.directory, f"GET {wire.lookup_target(HOST, 'a')}", {"Host": HOST})

    async def _order(self):
        host, port = self.front.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"order=1 ".ljust(ORDINARY_BODY_BYTES, b"x")
            writer.write(request_head("order", len(body)) + body)
            head = await http_wire.read_head(reader)
            return head.status if head else 0
        finally:
            writer.close()

    def peak_memory_kb(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])

    def descriptors(self):
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def metrics(self):
        """The values other than zero that concern callers, for the output."""
        host, port = self._metrics.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")
            head = await http_wire.read_head(reader)
            text = (await http_wire.read_body(reader, head)).decode()
        finally:
            writer.close()
        return [line.removeprefix("teaselthread_") for line in text.splitlines()
                if re.match(r"teaselthread_(refusals|caller|buffer|connections)", line)
                and not line.endswith(" 0")]


def request_head(route, length=None):
    """The head of a request, for a body of `length` bytes or in chunks."""
    framing = (f"Content-Length: {length}" if length is not None
               else "Transfer-Encoding: chunked")
    return (f"POST /{route}/ HTTP/1.1\r\nHost: {HOST}\r\n{wire.KEY}: {KEY}\r\n"
            f"{wire.REQUEST_ID}: {time.monotonic_ns()}\r\n"
            f"{wire.DEADLINE_MS}: 60000\r\n{framing}\r\n\r\n").encode()
