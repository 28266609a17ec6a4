"""Stand-ins for the platform's endpoints: services and model engines."""

import asyncio
import hashlib
import re
import time

import http_wire
import ledger as ledgers
import platform_wire as wire
from rate_limits import LimitPeriod

EVENT_INTERVAL_S = 0.04
RESPONSE_DELAY_S = 0.01
SLOW_FACTOR = 15
SILENCE_S = 20
IDLE_TIMEOUT_S = 3
PAUSE_S = 0.3
SLOTS = 24
# Orders whose names begin so have events of 4 KB.
LARGE_ORDERS, LARGE_FACTOR = "s", 100


def response_text(order):
    return hashlib.sha256(order.encode()).hexdigest()


def event_text(order, number):
    text = hashlib.sha1(f"{order}:{number}".encode()).hexdigest()
    return text * (LARGE_FACTOR if order.startswith(LARGE_ORDERS) else 1)


class Endpoint:
    """One incarnation of an endpoint.

    Modes: pass, slow, errors (500), full (503), cut (truncates responses),
    silent (stalls responses), extra (sends bytes after a response).
    """

    MODES = ("slow", "errors", "full", "cut", "silent", "extra")

    def __init__(self, name, service, zone, address, public_address, ledger,
                 version="1"):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.public_address = public_address
        self.version = version
        self.mode = "pass"
        self.is_draining = False
        self.rate_limit = None  # requests per second that responses name
        self._limit_period = None
        self._ledger = ledger
        self._started_ms = int(time.time() * 1000)
        self._writers = set()
        self._running = 0
        self._server = None

    async def start(self):
        self._server = await http_wire.serve(self.address, self._serve)

    def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def name_limit(self, rate):
        """From now on, or until the next call with None."""
        if not self.rate_limit:
            self._limit_period = LimitPeriod(self.name)
            self._ledger.limit_periods.append(self._limit_period)
        self.rate_limit = rate

    def record(self):
        return wire.endpoint_record(self.service, self.public_address,
                                    self.zone, SLOTS, self.is_draining,
                                    self._started_ms, self.version)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await asyncio.wait_for(http_wire.read_head(reader),
                                              IDLE_TIMEOUT_S)
                if not head:
                    return
                body = await http_wire.read_body(reader, head)
                self._running += 1
                try:
                    await self._respond(head, body.decode(), writer)
                finally:
                    self._running -= 1
        except asyncio.TimeoutError:
            return
        finally:
            self._writers.discard(writer)

    async def _respond(self, head, body, writer):
        request_id = head.fields.get(wire.REQUEST_ID, "")
        expected = head.fields.get(wire.EXPECTED_ENDPOINT)
        if not request_id:
            return await self._refuse(400, request_id, writer)
        sent = self._ledger.sent.get(request_id)
        if self.rate_limit and sent:
            self._limit_period.arrivals.append((time.monotonic(), sent.gateway))
        if expected != self.name:
            return await self._refuse(421, request_id, writer)
        if self.mode == "full":
            return await self._refuse(503, request_id, writer)
        order = re.search(r"order=(\S+)", body or head.start[1])[1]
        run = ledgers.Run(
            request_id, order, self.name, self.zone,
            head.fields.get(wire.CUSTOMER, ""), time.monotonic())
        self._ledger.on_run(run)
        if self.mode == "silent":
            await asyncio.sleep(SILENCE_S)
            raise http_wire.HttpError("no response in mode silent")
        if self.mode == "errors":
            return await self._send(500, request_id, b"failed", writer)
        events = re.search(r"events=(\d+)", body)
        if events:
            await self._stream(head, order, int(events[1]), writer)
        else:
            await asyncio.sleep(self._delay(RESPONSE_DELAY_S))
            await self._send(200, request_id, response_text(order).encode(),
                             writer)
        run.is_complete = True

    def _delay(self, base):
        return base * (SLOW_FACTOR if self.mode == "slow" else 1)

    def _fields(self, request_id):
        fields = {wire.REQUEST_ID: request_id,
                  wire.SEAL: f"seal.{self.name}",
                  wire.LOAD: f"{self._running},0,{SLOTS}",
                  "Keep-Alive": f"timeout={IDLE_TIMEOUT_S}"}
        if self.is_draining:
            fields[wire.LEAVING] = "1"
        if self.rate_limit:
            fields[wire.RATE_LIMIT] = f"{self.rate_limit:.2f}"
            self._limit_period.rates.append((time.monotonic(), self.rate_limit))
        return fields

    async def _refuse(self, status, request_id, writer):
        fields = self._fields(request_id)
        fields[wire.NOT_RUN] = "1"
        if status == 503:
            fields["Retry-After"] = str(PAUSE_S)
        writer.write(http_wire.message(f"HTTP/1.1 {status} R", fields))
        await writer.drain()

    async def _send(self, status, request_id, body, writer):
        response = http_wire.message(f"HTTP/1.1 {status} A",
                                     self._fields(request_id), body)
        if self.mode == "cut":
            writer.write(response[:-len(body) // 2])
            await writer.drain()
            raise http_wire.HttpError("response truncated in mode cut")
        writer.write(response + (b"HTTP/1.1 200 extra\r\n\r\n"
                                 if self.mode == "extra" else b""))
        await writer.drain()

    async def _stream(self, head, order, events, writer):
        fields = self._fields(head.fields[wire.REQUEST_ID])
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        lines = "".join(f"{name}: {value}\r\n"
                        for name, value in fields.items())
        writer.write(f"HTTP/1.1 200 S\r\n{lines}\r\n".encode())
        first = int(head.fields.get(wire.RESUME_AFTER, "0")) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(self._delay(EVENT_INTERVAL_S))
            if self.mode == "silent":
                await asyncio.sleep(SILENCE_S)
            event = f"id: {number}\ndata: {event_text(order, number)}\n\n"
            data = http_wire.chunk(event.encode())
            if self.mode == "cut" and number == (first + events) // 2:
                writer.write(data[:len(data) // 2])
                await writer.drain()
                raise http_wire.HttpError("response truncated in mode cut")
            writer.write(data)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
