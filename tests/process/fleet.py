"""Starts stand-ins and nodes as processes on loopback, and sends requests as
callers."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
BINARY = BUILD / "src/teaselthread/teaselthread"
STANDIN = BUILD / "standins/teaselthread-standin"


class IncompleteResponse(ConnectionError):
    """The connection was closed before the response was complete."""


def http_call(address, method, path, body=None, headers=None, timeout=30):
    """Makes one call on a new connection; returns (status, headers, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except http.client.HTTPException as failure:
        raise IncompleteResponse(str(failure)) from failure
    finally:
        connection.close()


def wait_until(condition, what, seconds=30):
    """Polls until the condition holds; raises AssertionError at the deadline."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f"not within {seconds} s: {what}")


class Fleet:
    """The processes of one deployment. Each is ended by its own process id."""

    def __init__(self, zones, engines, services, nodes, base_port, model="dossier",
                 service="desk", token_ms=5, configuration=None, node_settings="", cut_off=(),
                 events=12):
        self.zones = zones
        self.model = model
        self.service = service
        self.base = base_port
        self.node_settings = node_settings
        self.cut_off = set(cut_off)  # nodes that cannot reach the platform
        self.processes = {}
        self.folder = tempfile.TemporaryDirectory()
        self.platform = f"127.0.0.1:{base_port}"
        self.configuration = configuration or (
            ROOT / "examples/trinacria/configuration.ini")
        self.token_ms = token_ms
        self.events = events  # per response, including the final [DONE]
        self.engines = {f"engine-{i}": f"127.0.0.1:{base_port + 100 + i}"
                        for i in range(1, engines + 1)}
        self.services = {f"{service}-{i}": f"127.0.0.1:{base_port + 200 + i}"
                         for i in range(1, services + 1)}
        self.nodes = {f"entry-{i}": f"127.0.0.1:{base_port + 300 + i}"
                      for i in range(1, nodes + 1)}

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _spawn(self, name, *command):
        log = open(f"{self.folder.name}/{name}.log", "a", encoding="utf-8")
        self.processes[name] = subprocess.Popen(
            [str(word) for word in command], stdout=log, stderr=log)
        log.close()

    def _start(self):
        port_of = lambda address: address.rsplit(":", 1)[1]
        self._spawn("platform", STANDIN, "platform", port_of(self.platform))
        for name, address in self.engines.items():
            self._spawn(name, STANDIN, "engine", port_of(address), self.token_ms,
                        self.events)
        for name, address in self.services.items():
            self._spawn(name, STANDIN, "service", port_of(address))
        for address in [self.platform, *self.engines.values(), *self.services.values()]:
            wait_until(lambda a=address: self._listens(a), f"{address} listens")
        for kind, members, serves in (("model-engine", self.engines, self.model),
                                      ("service", self.services, self.service)):
            for i, (name, address) in enumerate(members.items()):
                self.put_vm(name, self.zones[i % len(self.zones)], address, kind, serves)
        self.ctl("apply", self.configuration)
        for name in self.nodes:
            self.start_node(name)
        for name in self.nodes:
            self.wait_ready(name)
        self.wait_owned()

    @staticmethod
    def _listens(address):
        try:
            http_call(address, "GET", "/load", timeout=1)
            return True
        except OSError:
            return False

    def put_vm(self, name, zone, address, kind, serves, state="live"):
        value = {"zone": zone, "address": address, "kind": kind,
                 "serves": [serves], "state": state}
        status, _, body = http_call(self.platform, "GET", f"/objects/vms/{name}")
        version = json.loads(body)["version"] if status == 200 else 0
        status, _, _ = http_call(self.platform, "PUT",
                                 f"/objects/vms/{name}?version={version}", json.dumps(value))
        assert status == 200, f"cannot register {name}"

    def start_node(self, name):
        number = int(name.rsplit("-", 1)[1])
        seeds = ", ".join(f"127.0.0.1:{self.base + 400 + i}"
                          for i in range(1, min(len(self.nodes), 3) + 1))
        settings = f"{self.folder.name}/{name}.ini"
        platform = "127.0.0.1:1" if name in self.cut_off else self.platform
        with open(settings, "w", encoding="utf-8") as file:
            file.write(f"""[node]
name = {name}
zone = {self.zones[(number - 1) % len(self.zones)]}
caller_listen = {self.nodes[name]}
peer_listen = 127.0.0.1:{self.base + 400 + number}
[peers]
seeds = {seeds}
[platform]
address = {platform}
[callers]
address_ttl_ms = 1000
{self.node_settings}""")
        self._spawn(name, BINARY, "node", "--config", settings)

    def is_ready(self, name):
        try:
            return http_call(self.nodes[name], "GET", "/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def wait_ready(self, name):
        wait_until(lambda: self.is_ready(name), f"{name} is ready")

    def wait_owned(self):
        """Waits until every endpoint admits calls, its owner no longer guarding it."""
        total = len(self.engines) + len(self.services)
        def owned():
            values = [self.metrics(n) for n in self.nodes if self.is_running(n)]
            return sum(v["endpoints_admitting"] for v in values) == total
        wait_until(owned, "every endpoint admits calls")

    def metrics(self, name):
        """Returns the metrics without their prefix: {name or name{labels}: value}."""
        _, _, body = http_call(self.nodes[name], "GET", "/metrics")
        lines = [line.rsplit(" ", 1) for line in body.decode().splitlines()
                 if not line.startswith("#")]
        return {key.removeprefix("teaselthread_"): float(value) for key, value in lines}

    def refusals(self):
        counts = {}
        for name in self.nodes:
            if not self.is_running(name):
                continue
            for key, value in self.metrics(name).items():
                if value and (key.startswith("refusals_total") or
                              key.startswith("unknown_outcomes")):
                    reason = key.split('"')[1]
                    counts[reason] = counts.get(reason, 0) + int(value)
        return counts

    def stats(self, address):
        return json.loads(http_call(address, "GET", "/stats")[2])

    def fault(self, address, **faults):
        query = urllib.parse.urlencode(faults)
        assert http_call(address, "POST", f"/fault?{query}")[0] == 200

    def ctl(self, *words, expect=0):
        done = subprocess.run(
            [str(BINARY), "--platform", self.platform, "ctl", *map(str, words)],
            capture_output=True, text=True, timeout=60, check=False)
        assert done.returncode == expect, f"ctl {words}: {done.returncode} {done.stderr}"
        return done.stdout

    def is_running(self, name):
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def log(self, name):
        return pathlib.Path(f"{self.folder.name}/{name}.log").read_text(encoding="utf-8")

    def runs_per_key(self):
        runs = {}
        for address in self.services.values():
            for key, count in self.stats(address)["keys"].items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()


class Caller:
    """One caller: looks up the address of a node, keeps it for its time to
    live, and uses the next address of a response."""

    def __init__(self, fleet, customer, entry):
        self.fleet = fleet
        self.customer = customer
        self.entry = entry
        self.address = None
        self.ticket = None
        self.address_expires_at = 0
        self.keys = 0

    def look_up(self):
        names = [n for n in self.fleet.nodes if self.fleet.is_running(n)]
        for name in [n for n in names if n == self.entry] + names:
            try:
                status, _, body = http_call(self.fleet.nodes[name], "GET", "/v1/address",
                                            timeout=2)
            except OSError:
                continue
            if status != 200:
                continue
            reply = json.loads(body)
            self.address, self.ticket = reply["address"], reply["ticket"]
            self.address_expires_at = time.monotonic() + reply["ttl_ms"] / 1000
            return
        raise AssertionError("no node responded to an address look-up")

    def current(self):
        if self.address is None or time.monotonic() > self.address_expires_at:
            self.look_up()
        return self.address

    def follow(self, headers):
        """Uses the address that the previous response names for the next turn."""
        if "X-Next-Address" in headers:
            self.address = headers["X-Next-Address"]
            self.address_expires_at = time.monotonic() + 10

    def new_key(self):
        self.current()
        self.keys += 1
        return f"{self.ticket}-{self.keys}"

    def chat(self, chat, hint="", timeout=60, profile="chat"):
        """Sends one streamed turn; returns (status, headers, body)."""
        headers = {"X-Customer": self.customer, "X-Chat-Id": chat, "X-Profile": profile}
        if hint:
            headers["X-Context-Hint"] = hint
        body = json.dumps({"model": self.fleet.model, "stream": True,
                           "messages": [{"role": "user", "content": chat}]})
        return http_call(self.current(), "POST", "/v1/chat/completions", body, headers, timeout)

    def order(self, key, address=None, profile="approval", timeout=60, body="{}"):
        headers = {"X-Customer": self.customer, "X-Profile": profile, "Idempotency-Key": key}
        return http_call(address or self.current(), "POST",
                         f"/services/{self.fleet.service}/orders", body, headers, timeout)


EVENTS_PER_RESPONSE = 12


def is_complete_response(headers, body):
    """Returns whether the stream is complete and belongs to this request."""
    request_id = headers.get("X-Request-Id", "")
    events = body.decode().split("\n\n")
    if len(events) != EVENTS_PER_RESPONSE + 1 or events[-2] != "data: [DONE]":
        return False
    return all(f'"{request_id}:{index} "' in event
               for index, event in enumerate(events[:EVENTS_PER_RESPONSE - 1]))


def run_threads(functions):
    """Runs the functions in parallel; raises the first failure."""
    failures = []
    def guarded(function):
        try:
            function()
        except BaseException as failure:  # pylint: disable=broad-except
            failures.append(failure)
    threads = [threading.Thread(target=guarded, args=(f,)) for f in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failures:
        raise failures[0]
