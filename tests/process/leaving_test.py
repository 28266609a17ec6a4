"""Nodes and endpoints that leave: no request in progress is cut, and a leaving
endpoint receives no new calls after a few seconds."""

import signal
import sys
import threading
import time

from fleet import Caller, Fleet, is_complete_response, run_threads, wait_until

ZONES = ["palermo", "catania", "agrigento"]
EVENTS = 12
TOKEN_MS = 150  # a response takes about two seconds
CHAT_CALLERS = 12
LAST_NEW_WORK_WITHIN_S = 3


def long_chat_callers(fleet, stop, done):
    """Callers whose responses must all be complete, whatever leaves."""
    def chat_caller(number):
        caller = Caller(fleet, f"office-{number}", f"entry-{number % 3 + 1}")
        turn = 0
        while not stop.is_set():
            try:
                status, headers, body = caller.chat(f"chat-{number}-{turn}")
            except ConnectionRefusedError:
                caller.address_expires_at = 0  # the node has left: look up another
                continue
            if status == 200:
                assert is_complete_response(headers, body), f"cut: {body[-100:]}"
                turn += 1
                done.append(number)
            else:
                time.sleep(int(headers["X-Retry-After-Ms"]) / 1000)
    return [lambda n=n: chat_caller(n) for n in range(CHAT_CALLERS)]


def node_leaves(fleet, stop, done):
    wait_until(lambda: fleet.metrics("entry-2")["calls_running"] > 0
               and len(done) > CHAT_CALLERS, "entry-2 runs calls")
    running = fleet.metrics("entry-2")["calls_running"]
    fleet.signal("entry-2", signal.SIGTERM)
    started = time.monotonic()
    wait_until(lambda: not fleet.is_running("entry-2"), "entry-2 has left", 60)
    assert fleet.processes["entry-2"].returncode == 0
    print(f"a node left with {running:.0f} calls running, {time.monotonic() - started:.1f} s "
          f"after SIGTERM, and cut none")
    goal = len(done) + CHAT_CALLERS
    wait_until(lambda: len(done) >= goal, "the others go on")


def endpoint_leaves(fleet, stop, done):
    name, address = "engine-1", fleet.engines["engine-1"]
    wait_until(lambda: fleet.stats(address)["running"] > 0, f"{name} works")
    fleet.put_vm(name, ZONES[0], address, "model-engine", fleet.model, state="leaving")
    listed = time.monotonic()
    last_start, count = listed, fleet.stats(address)["started"]
    while time.monotonic() < listed + 6:
        now_count = fleet.stats(address)["started"]
        if now_count != count:
            last_start, count = time.monotonic(), now_count
        time.sleep(0.02)
    stats = fleet.stats(address)
    print(f"last new work at a leaving endpoint {last_start - listed:.2f} s after the list "
          f"said so; {stats['started']} started, {stats['finished']} finished there")
    assert last_start - listed <= LAST_NEW_WORK_WITHIN_S
    assert stats["running"] == 0 and stats["started"] == stats["finished"]


def main():
    with Fleet(ZONES, engines=4, services=1, nodes=3, base_port=27000, token_ms=TOKEN_MS,
               events=EVENTS) as fleet:
        for leave in (endpoint_leaves, node_leaves):
            stop, done = threading.Event(), []
            def run_and_stop(leave=leave, stop=stop, done=done):
                try:
                    leave(fleet, stop, done)
                finally:
                    stop.set()
            run_threads(long_chat_callers(fleet, stop, done) + [run_and_stop])
            print(f"{len(done)} answers, all whole")
    return 0


if __name__ == "__main__":
    sys.exit(main())
