"""Callers: look up addresses, reuse connections and retry as told by the
response."""

import asyncio
import json
import socket
import time
import zlib

import endpoint as endpoints
import http_wire
import ledger as ledgers
import platform_wire as wire

CONNECT_TIMEOUT_S = 1.0
LOOKUP_INTERVAL_S = 2.0
MAX_TRIES = 4
MEAN_PAUSE_S = 0.12
KEEP_CONNECTION_PROBABILITY = 0.8
ABANDON_PROBABILITY = 0.03
UNKNOWN_KEY_STATUS = 401
DEADLINES_MS = {"safe": 1500, "unsafe": 1500, "stream": 12000}
# Slow callers read more slowly than events are made, except in the last seconds
# before the deadline.
RECEIVE_BUFFER_BYTES = 4096
READ_PAUSE_S = 0.06
READ_MARGIN_S = 3.0
SEND_AHEAD_PROBABILITY = 0.1  # after an event
EVENTS, EVENTS_OF_LONG_STREAMS = (2, 40), (80, 200)


class Caller:
    """One caller, with one request at a time.

    `fleet` provides `directories()`, the addresses for lookups, and
    `front(address)`: the gateway's name, the name of the link to it and the
    address to connect to. A slow caller reads slowly into a small buffer,
    directly from the gateway, and may send its next request before it has the
    whole response.
    """

    def __init__(self, name, zone, random, fleet, ledger,
                 sends_long_streams=False, is_slow=False):
        self.name = name
        self.sends_long_streams = sends_long_streams
        self._is_slow = is_slow
        self._ahead = None  # the request sent already on the kept connection
        self.zone = zone
        self._random = random
        self._fleet = fleet
        self._ledger = ledger
        self._addresses = []
        self._looked_up_at = 0.0
        self._connection = None  # (address, reader, writer)
        self._orders = 0
        self._is_stopped = False
        self.consecutive_successes = 0

    def stop(self, task):
        # wait_for can swallow a cancellation if it completes at the same time.
        self._is_stopped = True
        task.cancel()

    async def run(self):
        while not self._is_stopped:
            if not self._ahead:
                await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            await self._send_order()

    def _next_order(self):
        self._orders += 1
        order = f"{self.name}-{self._orders}"
        kind = "stream" if self.sends_long_streams else \
            self._random.choice(("safe", "unsafe", "stream"))
        return order, kind

    async def _send_order(self):
        order, kind = (self._ahead.order, self._ahead.kind) if self._ahead \
            else self._next_order()
        # A request that was sent ahead is read after the response before it.
        ends_at = time.monotonic() + DEADLINES_MS[kind] / 1000
        for attempt in range(MAX_TRIES):
            sent = await self._attempt(order, kind, f"{order}-{attempt}",
                                       ends_at)
            if not sent or sent.gave_up or 200 <= sent.status < 300:
                break
            may_retry = (sent.status in ledgers.NOT_RUN_STATUSES or
                         kind == "safe" and
                         (sent.status >= 500 or not sent.status))
            remaining_s = ends_at - time.monotonic()
            if not may_retry or remaining_s <= 0:
                break
            await asyncio.sleep(min(self._retry_after_s, remaining_s / 3))
        if sent and sent.status == UNKNOWN_KEY_STATUS:
            return
        is_answered = sent and 200 <= sent.status < 300
        self.consecutive_successes = self.consecutive_successes + 1 \
            if is_answered else 0

    async def _attempt(self, order, kind, request_id, ends_at):
        self._retry_after_s = 0.1
        ahead, self._ahead = self._ahead, None
        if not ahead:
            await self._refresh_addresses()
        connection = await self._connect()
        if not connection:
            return None
        address, reader, writer = connection
        gateway, front, _ = self._fleet.front(address)
        now = time.monotonic()
        sent = ahead or self._record(order, kind, request_id, gateway, ends_at)
        sent.deadline_at, sent.gave_up = ends_at, False
        self._connection = None
        is_abandoned = self._random.random() < ABANDON_PROBABILITY
        timeout_s = self._random.uniform(0.01, 0.5) if is_abandoned else \
            ends_at - now + 3
        try:
            if not ahead:
                writer.write(self._message(sent))
            keep = await asyncio.wait_for(self._read(reader, writer, sent),
                                          timeout_s)
            if keep and (self._ahead or self._random.random() <
                         KEEP_CONNECTION_PROBABILITY):
                self._connection = connection
        except asyncio.TimeoutError:
            sent.gave_up = is_abandoned
        except (http_wire.HttpError, ConnectionError) as error:
            sent.error = repr(error)
        sent.ended_at = time.monotonic()
        if not self._connection:
            self._ahead = None
            writer.close()
        self._ledger.on_end(sent, front)
        return sent

    def _record(self, order, kind, request_id, gateway, ends_at):
        sent = ledgers.SentRequest(
            request_id, order, kind, self._fleet.key(), gateway,
            time.monotonic(), ends_at, self._event_count())
        self._ledger.sent[request_id] = sent
        return sent

    def _send_ahead(self, writer, gateway):
        order, kind = self._next_order()
        self._ahead = self._record(
            order, kind, f"{order}-ahead", gateway,
            time.monotonic() + DEADLINES_MS[kind] / 1000)
        self._ahead.gave_up = True  # unless the connection is kept
        writer.write(self._message(self._ahead))

    def _event_count(self):
        return self._random.randint(*(
            EVENTS_OF_LONG_STREAMS if self.sends_long_streams else EVENTS))

    def _message(self, sent):
        remaining_ms = int((sent.deadline_at - time.monotonic()) * 1000)
        fields = {"Host": self._fleet.host,
                  wire.REQUEST_ID: sent.id,
                  wire.DEADLINE_MS: str(max(remaining_ms, 1)),
                  wire.KEY: sent.key}
        if sent.kind == "safe":
            target = f"GET /look/item?order={sent.order}"
            return http_wire.message(f"{target} HTTP/1.1", fields)
        if sent.kind == "unsafe":
            return http_wire.message("POST /order/new HTTP/1.1", fields,
                                     f"order={sent.order}".encode())
        fields[wire.MODEL] = "m"
        fields[wire.TOKEN_USAGE] = f"1500,{sent.events * 10}"
        topic = self._random.randint(0, 9)
        fields[wire.PROMPT_PARTS] = \
            f"aa{topic}:1200,{zlib.crc32(sent.order.encode()):x}:300"
        return http_wire.message("POST /chat/new HTTP/1.1", fields,
                                 f"order={sent.order} events={sent.events}".encode())

    async def _read(self, reader, writer, sent):
        head = await http_wire.read_head(reader)
        if not head:
            raise http_wire.HttpError("connection closed before a response")
        status = head.status
        self._ledger.on_response(
            sent, head.fields.get(wire.SEAL, "").removeprefix("seal."),
            wire.RATE_LIMIT in head.fields)
        if "retry-after" in head.fields:
            self._retry_after_s = float(head.fields["retry-after"])
        if status == 200 and sent.kind == "stream":
            await self._read_events(reader, writer, head, sent)
        else:
            body = await http_wire.read_body(reader, head)
            if status == 200 and \
                    body.decode() != endpoints.response_text(sent.order):
                self._ledger.report_violation("whole-answer",
                                              f"{sent}: {body}")
        if status == 200 and \
                head.fields.get(wire.REQUEST_ID) != sent.id:
            self._ledger.report_violation("own-answer",
                                          f"{sent}: {head.fields}")
        sent.status = status
        return head.keeps_connection()

    async def _read_events(self, reader, writer, head, sent):
        text = ""
        async for piece in http_wire.read_chunks(reader, head):
            text += piece.decode()
            if not self._is_slow:
                continue
            if not self._ahead and \
                    self._random.random() < SEND_AHEAD_PROBABILITY:
                self._send_ahead(writer, sent.gateway)
            if time.monotonic() < sent.deadline_at - READ_MARGIN_S:
                await asyncio.sleep(READ_PAUSE_S)
        expected = "".join(
            f"id: {number}\ndata: {endpoints.event_text(sent.order, number)}"
            "\n\n" for number in range(1, sent.events + 1))
        if text != expected:
            self._ledger.report_violation("whole-answer",
                                          f"{sent}: {text[-200:]}")

    async def _refresh_addresses(self):
        if time.monotonic() - self._looked_up_at < LOOKUP_INTERVAL_S and \
                self._addresses:
            return
        self._looked_up_at = time.monotonic()
        for directory in self._random.sample(self._fleet.directories(), 3):
            try:
                self._addresses = await asyncio.wait_for(
                    self._request_addresses(directory), 1)
                break
            except (asyncio.TimeoutError, OSError, http_wire.HttpError,
                    ValueError):
                continue
        if self._connection and self._connection[0] not in self._addresses:
            self._connection[2].close()
            self._connection = None

    async def _request_addresses(self, directory):
        host, port = directory.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(http_wire.message(
                f"GET {wire.lookup_target(self._fleet.host, self.zone)} "
                "HTTP/1.1", {"Host": directory}))
            head = await http_wire.read_head(reader)
            if not head or head.status != 200:
                raise http_wire.HttpError("address lookup failed")
            return json.loads(await http_wire.read_body(reader, head))[
                "addresses"]
        finally:
            writer.close()

    async def _connect(self):
        if self._connection:
            return self._connection
        if not self._addresses:
            return None
        address = self._random.choice(self._addresses)
        try:
            reader, writer = await asyncio.wait_for(
                self._open(address), CONNECT_TIMEOUT_S)
        except (asyncio.TimeoutError, OSError):
            return None
        return address, reader, writer

    async def _open(self, address):
        host, port = self._fleet.front(address)[2].split(":")
        if not self._is_slow:
            return await asyncio.open_connection(host, int(port))
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                              RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        host, port = address.split(":")
        await asyncio.get_running_loop().sock_connect(connection,
                                                      (host, int(port)))
        return await asyncio.open_connection(sock=connection,
                                             limit=RECEIVE_BUFFER_BYTES)
