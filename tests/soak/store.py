"""A stand-in for the platform's store: objects, lists and watches."""

import asyncio
import collections
import json
from urllib.parse import parse_qs, urlsplit

import http_wire
import platform_wire as wire

PAGE_ITEMS = 20
SLOW_S = 0.4


class Store:
    """Stores objects by kind and name, with one revision counter.

    Modes: pass, slow, unavailable (503), silent, reset.
    """

    MODES = ("slow", "unavailable", "silent", "reset")

    def __init__(self, address):
        self.address = address
        self.mode = "pass"
        self.calls = collections.Counter()  # by kind
        self._objects = {}
        self._history = []
        self._compacted_revision = 0
        self._revision = 10
        self._changed = asyncio.Event()
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await http_wire.serve(self.address, self._serve)

    def stop(self):
        self._server.close()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                writer.transport.abort()

    def get(self, kind, name):
        return self._objects.get((kind, name))

    def put(self, kind, name, spec):
        """Writes an object, for the operator or an endpoint. The status stays.
        Writing the same content again changes no revision."""
        current = self._objects.get((kind, name))
        if current and wire.name_and_content(current)[1] == spec:
            return
        self._write(kind, name, spec, wire.status_of(current or {}))

    def _write(self, kind, name, spec, status):
        self._revision += 1
        changed = wire.stored(name, self._revision, spec, status)
        self._objects[kind, name] = changed
        self._record(kind, changed, False)

    def _put_status(self, kind, name, document):
        current = self._objects.get((kind, name))
        if not current:
            return 404, {}
        required = wire.required_revision(document)
        if required not in (None, wire.required_revision(current)):
            return 409, current
        self._write(kind, name, wire.name_and_content(current)[1],
                    wire.status_of(document))
        return 200, self._objects[kind, name]

    def remove(self, kind, name):
        removed = self._objects.pop((kind, name), None)
        if removed:
            self._revision += 1
            removed = wire.stored(name, self._revision,
                                  wire.name_and_content(removed)[1])
            self._record(kind, removed, True)

    def compact_history(self):
        self._compacted_revision = self._revision
        self._history.clear()
        self._notify()

    def _record(self, kind, changed, removed):
        self._history.append((self._revision, kind,
                              wire.change(changed, removed)))
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await http_wire.read_head(reader):
                body = await http_wire.read_body(reader, head)
                status, response = await self._respond(head, body)
                if status is None:
                    return
                writer.write(http_wire.message(
                    f"HTTP/1.1 {status} S",
                    {"Content-Type": "application/json"},
                    json.dumps(response).encode()))
                await writer.drain()
        finally:
            self._writers.discard(writer)

    async def _respond(self, head, body):
        if self.mode == "silent":
            await asyncio.sleep(30)
        if self.mode == "reset" or self.mode == "silent":
            return None, None
        if self.mode == "slow":
            await asyncio.sleep(SLOW_S)
        if self.mode == "unavailable":
            return 503, {}
        url = urlsplit(head.start[1])
        if not url.path.startswith(wire.OBJECTS_PATH):
            return 404, {}
        kind, _, name = url.path[len(wire.OBJECTS_PATH):].partition("/")
        self.calls[kind] += 1
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        return await self._handle_request(head.start[0], kind, name, query,
                                          body)

    async def _handle_request(self, method, kind, name, query, body):
        if method == "GET" and wire.WATCH_FROM in query:
            wait_ms = int(query.get(wire.WATCH_WAIT_MS, "0"))
            return await self._watch(kind, int(query[wire.WATCH_FROM]),
                                     wait_ms / 1000)
        if method == "GET":
            return self._list(kind, query.get(wire.LIST_AFTER, ""))
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        document = json.loads(body)
        name, _, part = name.partition("/")
        if part == wire.STATUS_PATH:
            return self._put_status(kind, name, document)
        body_name, content = wire.name_and_content(document)
        name = name or body_name
        if method == "POST" and (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        self.put(kind, name, content)
        return 200, self._objects[kind, name]

    def _list(self, kind, after):
        names = sorted(name for object_kind, name in self._objects
                       if object_kind == kind and name > after)
        page = names[:PAGE_ITEMS]
        return 200, wire.page([self._objects[kind, name] for name in page],
                              len(names) > len(page), self._revision)

    async def _watch(self, kind, revision, wait_s):
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            if revision < self._compacted_revision:
                return 410, {}
            events = [event for at, object_kind, event in self._history
                      if at > revision and object_kind == kind]
            remaining_s = ends_at - asyncio.get_running_loop().time()
            if events or remaining_s <= 0 or self.mode != "pass":
                return 200, wire.changes(events, self._revision)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass
