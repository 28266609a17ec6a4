"""Measures the CPU, memory and traffic cost of node processes on this machine,
as slopes over the number of nodes, requests and tokens. Prints one line per
figure: name value unit."""

import os
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tests/process"))
from fleet import Caller, Fleet, is_complete_response, run_threads, wait_until  # noqa: E402

ZONES = ["a", "b", "c"]
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
IDLE_SECONDS = 25
LOAD_SECONDS = 8
CALLERS = 24
IDLE_CONNECTIONS = 800
STREAMS = 200


def show(name, value, unit):
    print(f"{name} {value:.4g} {unit}", flush=True)


def cpu_seconds(fleet, names):
    total = 0
    for name in names:
        stat = pathlib.Path(f"/proc/{fleet.processes[name].pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        total += (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    return total


def resident_mb(fleet, names):
    """The largest resident set and the largest anonymous (private) part of one, in
    MB."""
    total, private_mb = 0, 0
    for name in names:
        status = pathlib.Path(f"/proc/{fleet.processes[name].pid}/status").read_text()
        values = {line.split(":")[0]: line.split()[1] for line in status.splitlines()
                  if line.startswith("Rss")}
        total = max(total, sum(int(v) for v in values.values()) / 1024)
        private_mb = max(private_mb, int(values["RssAnon"]) / 1024)
    return total, private_mb


def loopback_bytes():
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    raise AssertionError("no loopback interface")


def platform_calls(fleet):
    from fleet import http_call
    return int(http_call(fleet.platform, "GET", "/calls")[2])


def slope(points):
    """Linear least squares fit: (slope, value at zero)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points)
    run = sum((x - mean_x) ** 2 for x, _ in points)
    return rise / run, mean_y - rise / run * mean_x


def measure_idle():
    """Measures the control cost of nodes without requests."""
    rows = {"cpu": [], "bytes": [], "resident": [], "alone": [], "calls": []}
    for nodes in (4, 8, 16, 32):
        # The settings files of all nodes name the same three seeds.
        with Fleet(ZONES, engines=0, services=1, nodes=nodes, base_port=21000) as fleet:
            names = list(fleet.nodes)
            wait_until(lambda: all(fleet.metrics(n)["members_serving"] == nodes for n in names),
                       "all nodes know each other", 60)
            # Wait until heartbeats no longer carry the updates of the start.
            time.sleep(4 + 0.6 * nodes)
            cpu, sent, calls = cpu_seconds(fleet, names), loopback_bytes(), platform_calls(fleet)
            started = time.monotonic()
            time.sleep(IDLE_SECONDS)
            elapsed = time.monotonic() - started
            per_node = 1 / elapsed / nodes
            cpu_share = (cpu_seconds(fleet, names) - cpu) * per_node * 100
            bytes_rate = (loopback_bytes() - sent) * per_node
            call_rate = (platform_calls(fleet) - calls) * per_node
            resident, private_mb = resident_mb(fleet, names)
        rows["cpu"].append((nodes, cpu_share))
        rows["bytes"].append((nodes, bytes_rate))
        rows["resident"].append((nodes, resident))
        rows["alone"].append((nodes, private_mb))
        rows["calls"].append((nodes, call_rate))
        show(f"idle_{nodes}_nodes_cpu", cpu_share, "%_of_a_core_per_node")
        show(f"idle_{nodes}_nodes_control_sent", bytes_rate, "bytes_per_s_per_node")
        show(f"idle_{nodes}_nodes_resident", resident, "MB")
        show(f"idle_{nodes}_nodes_private", private_mb, "MB")
        show(f"idle_{nodes}_nodes_platform_calls", call_rate, "calls_per_s_per_node")
    for name, unit in (("cpu", "%_per_node"), ("bytes", "bytes_per_s_per_node"),
                       ("resident", "MB_per_node"), ("alone", "MB_per_node")):
        per_node, base = slope(rows[name])
        show(f"idle_{name}_slope", per_node, f"{unit}_of_the_fleet")
        show(f"idle_{name}_base", base, unit.removesuffix("_per_node"))


def measure_load(topology, nodes, direct, events):
    """Measures the CPU time of the nodes for streamed chats of a given length. With
    one node every response takes one hop; with three, two in three take two hops,
    except for `direct` callers, which call the owner of their chat's endpoint."""
    label = f"{topology}_chats_of_{events}_events"
    with Fleet(ZONES, engines=6, services=1, nodes=nodes, base_port=22000, token_ms=5,
               events=events) as fleet:
        names = list(fleet.nodes)
        counts = []
        stop = threading.Event()
        def chat_client(number):
            caller = Caller(fleet, f"office-{number}", f"entry-{number % nodes + 1}")
            turn, hint = 0, ""
            while not stop.is_set():
                if turn % 5 == 0:
                    hint = ""
                status, headers, _ = caller.chat(f"chat-{number}-{turn // 5}", hint)
                turn += 1
                if status != 200:
                    continue
                counts.append(1)
                hint = headers["X-Context-Hint"]
                if direct:
                    caller.follow(headers)
        def timer():
            time.sleep(LOAD_SECONDS)
            stop.set()
        cpu = cpu_seconds(fleet, names)
        run_threads([lambda n=n: chat_client(n) for n in range(CALLERS)] + [timer])
        used = cpu_seconds(fleet, names) - cpu
        resident, _ = resident_mb(fleet, names)
    per_request = used / len(counts) * 1e3
    show(f"{label}_answered", len(counts) / LOAD_SECONDS, "per_s")
    show(f"{label}_node_cpu", per_request, "ms_per_request")
    show(f"{label}_node_resident", resident, "MB")
    return events, per_request


def measure_connections():
    """Measures the memory of a node per idle caller connection and per running
    stream."""
    with Fleet(ZONES, engines=2, services=1, nodes=1, base_port=25000, token_ms=200,
               events=60) as fleet:
        names = list(fleet.nodes)
        host, port = fleet.nodes["entry-1"].rsplit(":", 1)
        before, _ = resident_mb(fleet, names)
        idle = [socket.create_connection((host, int(port))) for _ in range(IDLE_CONNECTIONS)]
        for connection in idle:
            connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        for connection in idle:
            connection.recv(4096)
        after, _ = resident_mb(fleet, names)
        show("node_memory_per_idle_connection", (after - before) / IDLE_CONNECTIONS * 1024, "KB")
        request = (b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Customer: c%d\r\n"
                   b"Content-Length: %d\r\n\r\n%s")
        body = (b'{"model":"dossier","stream":true,"messages":[{"role":"user","content":"'
                + b"x" * 4000 + b'"}]}')
        for number, connection in enumerate(idle[:STREAMS]):
            connection.sendall(request % (number % 20, len(body), body))
            time.sleep(0.002)
        wait_until(lambda: fleet.metrics("entry-1")["calls_running"] > 0, "streams run")
        time.sleep(2)
        streams, _ = resident_mb(fleet, names)
        show("node_memory_per_request_of_4_KB", (streams - after) / STREAMS * 1024, "KB")
        for connection in idle:
            connection.close()


def measure_zone_move(move):
    """Measures turn times and cache reuse of returning chats, with and without a
    zone that is taken out and in again meanwhile."""
    label = "zone_leaves_and_returns" if move else "no_zone_moves"
    with Fleet(ZONES, engines=6, services=1, nodes=6, base_port=26000, token_ms=10) as fleet:
        stop = threading.Event()
        times, reused = [], []
        def chat_client(number):
            caller = Caller(fleet, f"office-{number}", f"entry-{number % 6 + 1}")
            hint, chat = "", f"chat-{number}"
            while not stop.is_set():
                started = time.monotonic()
                status, headers, body = caller.chat(chat, hint)
                while status != 200:
                    time.sleep(int(headers["X-Retry-After-Ms"]) / 1000)
                    status, headers, body = caller.chat(chat, hint)
                assert is_complete_response(headers, body)
                times.append(time.monotonic() - started)
                if hint:
                    reused.append(headers["X-Context-Hint"] == hint)
                hint = headers["X-Context-Hint"]
        def operator():
            time.sleep(5)
            if move:
                fleet.ctl("zone", "out", "b")
            time.sleep(6)
            if move:
                fleet.ctl("zone", "in", "b")
            time.sleep(5)
            stop.set()
        run_threads([lambda n=n: chat_client(n) for n in range(CALLERS)] + [operator])
        peaks = [fleet.stats(address)["max_running"] for address in fleet.engines.values()]
    times.sort()
    show(f"{label}_turns", len(times), "turns_in_16_s")
    show(f"{label}_turn_p50", times[len(times) // 2], "s")
    show(f"{label}_turn_p95", times[int(len(times) * 0.95)], "s")
    show(f"{label}_turn_longest", times[-1], "s")
    show(f"{label}_within_1.9_s", 100 * sum(t <= 1.9 for t in times) / len(times), "%")
    show(f"{label}_reuse", 100 * sum(reused) / len(reused), "%_of_returning_turns")
    show(f"{label}_peak_load_over_mean", max(peaks) / (CALLERS / len(peaks)), "ratio")


def measure_takeover():
    """Measures the time from the kill of an owner until other nodes admit requests
    for its endpoints."""
    with Fleet(ZONES, engines=3, services=1, nodes=6, base_port=23000) as fleet:
        for victim in ("entry-1", "entry-2"):
            survivors = [n for n in fleet.nodes if fleet.is_running(n) and n != victim]
            fleet.kill(victim)
            started = time.monotonic()
            wait_until(lambda: sum(fleet.metrics(n)["endpoints_admitting"]
                                   for n in survivors) == 4, "taken over", 60)
            show(f"takeover_after_kill_of_{victim}", time.monotonic() - started, "s")


def main():
    measure_idle()
    for topology, nodes, direct in (("one_node", 1, False), ("three_nodes", 3, False),
                               ("three_nodes_direct", 3, True)):
        points = [measure_load(topology, nodes, direct, events) for events in (12, 50, 200)]
        per_event, base = slope(points)
        show(f"{topology}_cpu_per_event", per_event * 1e3, "us")
        show(f"{topology}_cpu_per_request", base, "ms")
    measure_connections()
    measure_zone_move(move=False)
    measure_zone_move(move=True)
    measure_takeover()


if __name__ == "__main__":
    main()
