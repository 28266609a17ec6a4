"""The gateway processes and stand-ins of one run, and their addresses."""

import asyncio
import os
import pathlib
import re
import signal
import time

import http_wire
import ledger as ledgers
import platform_wire as wire
from endpoint import SLOTS, Endpoint
from proxy import Proxy
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "gateway.ini.template"
ZONES = ("a", "b")
DEREGISTRATION_DELAY_S = 3.0
REUSE_DELAY_S = 2.0
MAX_MEMORY_KB = 64 * 1024
MEMORY_MB = 160
MAX_GATEWAYS = 110
# Versions whose own route is kept in the configuration.
PROBED_VERSIONS = 60
PROBE_MARGIN_S = 0.2
PROBE_TIMEOUT_S = 1.0
FRONT, ADMIN, PEER, STORE, SERVICE = 8000, 8001, 8002, 7000, 9000
BOUNDS = {"revoke_ms": 5000, "drain_ms": 2000, "contact_ms": 3000,
          "budget_ratio": 0.2, "budget_slack": 50, "budget_window_s": 10, "cold_over": 1.5,
          "cold_slack": 5, "cap_x": 2, "apply_ms": 2000,
          "grace_s": ledgers.GRACE_S}


class Gateway:
    """A gateway process, its settings, and the proxies between it and the store
    and between callers and it."""

    def __init__(self, fleet, index):
        self.name = f"gateway-{index}"
        self.zone = ZONES[index % len(ZONES)]
        self.ip = fleet.ip(1 + index)
        self.front_address = f"{self.ip}:{FRONT}"
        self.store_link = Proxy(f"{self.ip}:{STORE}", fleet.store.address)
        self.front_link = Proxy(f"{self.ip}:{FRONT + 100}",
                                self.front_address)
        self.process = None
        self.is_stopping = False
        self._fleet = fleet
        self._settings = fleet.folder / f"{self.name}.ini"
        self._log = fleet.folder / f"{self.name}.log"

    def write_settings(self, seeds):
        values = {"node_name": self.name, "zone": self.zone, "ip": self.ip,
                  "bind.front_http": self.front_address,
                  "bind.readiness": f"{self.ip}:{ADMIN}",
                  "bind.directory": f"{self.ip}:{ADMIN}",
                  "bind.control": f"{self.ip}:{PEER}",
                  "port_range.0": str(ADMIN),
                  "platform.address": self.store_link.listen,
                  "limits.memory_mb": str(MEMORY_MB),
                  "seeds": ", ".join(seeds)}
        values.update({f"bounds.{name}": str(value)
                       for name, value in self._fleet.bounds.items()})
        text = re.sub(
            r"\{\{#(.*?)\}\}(.*?)\{\{/\1\}\}",
            lambda match: match[2] if match[1] in values else "",
            TEMPLATE.read_text(), flags=re.DOTALL)
        self._settings.write_text(re.sub(
            r"\{\{(.*?)\}\}", lambda match: values[match[1]], text))

    async def start(self):
        self.is_stopping = False
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self._fleet.binary, "gateway", "--config", self._settings,
                stdout=log, stderr=log)
        asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        status = await process.wait()
        if not self.is_stopping:
            self._fleet.ledger.report_violation(
                "no-crash", f"{self.name} exited with status {status}")

    def send_signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number):
        """Sends SIGKILL or SIGTERM and waits for the exit. After SIGTERM, the
        process has to exit with status 0 within its grace period."""
        self.is_stopping = True
        began = time.monotonic()
        if number == signal.SIGTERM:
            self._fleet.ledger.terminated_at[self.name].append(began)
        self.send_signal(number)
        try:
            status = await asyncio.wait_for(self.process.wait(),
                                            ledgers.GRACE_S + 1)
        except asyncio.TimeoutError:
            status = None
            self.process.kill()
            await self.process.wait()
        elapsed_s = time.monotonic() - began
        if number == signal.SIGTERM and (
                status != 0 or elapsed_s > ledgers.GRACE_S):
            self._fleet.ledger.report_violation(
                "leaving",
                f"{self.name}: status {status} after {elapsed_s:.1f} s")

    def check_memory(self):
        try:
            text = pathlib.Path(
                f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return
        match = re.search(r"VmHWM:\s+(\d+) kB", text)
        if match and int(match[1]) > MAX_MEMORY_KB:
            self._fleet.ledger.report_violation(
                "memory", f"{self.name}: {match[1]} kB")


class EndpointSlot:
    """An address that successive incarnations of an endpoint use."""

    def __init__(self, fleet, index, service, version="1"):
        self.service = service
        self.version = version
        self.zone = ZONES[index % len(ZONES)]
        ip = fleet.ip(MAX_GATEWAYS + 2 + index)
        self.link = Proxy(f"{ip}:{SERVICE + 100}", f"{ip}:{SERVICE}")
        self.endpoint = None
        self._fleet = fleet
        self._index = index
        self._starts = 0

    async def start(self):
        self._starts += 1
        self.endpoint = Endpoint(
            f"i-{self._index}-{self._starts}", self.service, self.zone,
            self.link.target, self.link.listen, self._fleet.ledger,
            self.version)
        await self.endpoint.start()
        self.register()

    def register(self):
        self._fleet.store.put(wire.ENDPOINTS, self.endpoint.name,
                              self.endpoint.record())

    def deregister(self):
        self._fleet.store.remove(wire.ENDPOINTS, self.endpoint.name)


class Fleet:
    """The store, gateways and endpoints of a run, and the operator's
    actions."""

    host = "soak.example"

    def __init__(self, binary, folder, ledger, gateways, endpoints,
                 bounds=None):
        self.binary = binary
        self.bounds = BOUNDS | (bounds or {})
        self.folder = folder
        self.ledger = ledger
        self.store = Store(f"{self.ip(MAX_GATEWAYS + 1)}:{STORE}")
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        self.slots = [EndpointSlot(self, index,
                                   ("pool", "desk")[index // 2 % 2])
                      for index in range(endpoints)]
        self.keys = ["k1", "k2", "k3"]
        self._version = 0
        self._probed = []  # versions whose routes are in the configuration

    @staticmethod
    def ip(last):
        return f"127.{80 + os.getpid() // 250 % 100}.{os.getpid() % 250}.{last}"

    async def start(self):
        await self.store.start()
        self.write_configuration()
        for slot in self.slots:
            await slot.link.start()
            await slot.start()
        seeds = [f"{gateway.ip}:{PEER}" for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            await gateway.store_link.start()
            await gateway.front_link.start()
            await gateway.start()

    async def stop(self):
        await asyncio.gather(*[
            gateway.stop(signal.SIGTERM) for gateway in self.gateways
            if gateway.process.returncode is None])

    def write_configuration(self):
        self._version += 3
        self._probed = [*self._probed, self._version][-PROBED_VERSIONS:]
        routes = [
            wire.route("look", self.host, "idempotent", "desk", 1500),
            wire.route("order", self.host, "non_idempotent", "desk", 1500),
            wire.route("chat", self.host, "streaming", "pool", 12000)]
        routes += [wire.route(f"v{version}", self.host, "idempotent", "desk",
                              1500) for version in self._probed]
        services = [wire.service("desk"), wire.service("pool", SLOTS)]
        keys = {f"customer-of-{key}": [key] for key in self.keys}
        self.store.put(wire.CONFIGURATION, wire.CONFIGURATION_NAME,
                       wire.configuration(self._version, routes, services,
                                          keys))
        asyncio.create_task(self._probe_gateways(self._version, self.keys[-1]))

    async def _probe_gateways(self, version, key):
        """Sends requests on the route that a version has added, to all
        gateways, once they have to know it."""
        written_at = time.monotonic()
        await asyncio.sleep(ledgers.APPLY_S + PROBE_MARGIN_S)
        if key in self.ledger.revoked_at or version not in self._probed:
            return
        await asyncio.gather(*[
            self._probe(gateway, version, key, written_at)
            for gateway in self.gateways])

    async def _probe(self, gateway, version, key, written_at):
        order = f"probe-{version}-{gateway.name}"
        now = time.monotonic()
        self.ledger.sent[order] = ledgers.SentRequest(
            order, order, "safe", key, gateway.name, now, now + 1.5)
        try:
            status = await asyncio.wait_for(http_wire.request_status(
                gateway.front_address, f"GET /v{version}/?order={order}",
                {"Host": self.host, wire.REQUEST_ID: order, wire.KEY: key,
                 wire.DEADLINE_MS: "1500"}), PROBE_TIMEOUT_S)
        except (asyncio.TimeoutError, OSError, http_wire.HttpError):
            return
        self.ledger.on_probe(gateway.name, version, written_at, status)

    def revoke_oldest_key(self):
        oldest = self.keys.pop(0)
        self.keys.append(f"k{int(self.keys[-1][1:]) + 1}")
        self.write_configuration()
        self.ledger.revoked_at[oldest] = time.monotonic()

    def key(self):
        """A key for a request. Sometimes it is the key revoked last."""
        revoked = list(self.ledger.revoked_at)[-1:]
        keys = self.keys[:2] * 4 + revoked
        return keys[time.monotonic_ns() // 1000 % len(keys)]

    def directories(self):
        return [f"{gateway.ip}:{ADMIN}" for gateway in self.gateways]

    def front(self, address):
        for gateway in self.gateways:
            if gateway.front_address == address:
                return (gateway.name, "front-" + gateway.name,
                        gateway.front_link.listen)
        raise http_wire.HttpError(f"unknown address {address}")
