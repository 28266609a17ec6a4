"""Configuration changes and the removal of availability zones during outages of
the platform, with nodes that cannot reach it, with lost replies and with
concurrent changes by operators."""

import subprocess
import sys
import threading
import time

from fleet import (BINARY, ROOT, Caller, Fleet, http_call, is_complete_response, run_threads,
                   wait_until)

ZONES = ["palermo", "catania", "agrigento"]
IN_FORCE_WITHIN_S = 8
LAST_NEW_WORK_WITHIN_S = 3
CHAT_CALLERS = 8


def versions(fleet):
    return {name: int(fleet.metrics(name)["configuration_version"]) for name in fleet.nodes
            if fleet.is_running(name)}


def version_of(output):
    return int(output.split("version ")[1].split(",")[0])


def wait_in_force(fleet, version, what):
    started = time.monotonic()
    wait_until(lambda: all(v >= version for v in versions(fleet).values()), what,
               IN_FORCE_WITHIN_S)
    print(f"{what}: version {version} in force on {len(versions(fleet))} nodes after "
          f"{time.monotonic() - started:.2f} s")


def zone_starts(fleet, zone):
    return sum(fleet.stats(address)["started"]
               for i, address in enumerate(fleet.engines.values())
               if ZONES[i % len(ZONES)] == zone)


def take_zone_out_under_load(fleet, zone):
    stop = threading.Event()
    turns = []
    def chat_caller(number):
        # Every caller stays at one node, one of which cannot reach the platform.
        caller = Caller(fleet, f"office-{number}", "")
        caller.address = fleet.nodes[f"entry-{number % 3 + 1}"]
        caller.address_expires_at = time.monotonic() + 3600
        hint, answered = "", 0
        while not stop.is_set():
            # Running chats stay at the engine with their context. New chats may use
            # the zone again after its return.
            chat = f"chat-{number}-{answered // 10}"
            status, headers, body = caller.chat(chat, hint if answered % 10 else "")
            if status == 200:
                assert is_complete_response(headers, body), "response cut by the change of the zone"
                hint = headers["X-Context-Hint"]
                answered += 1
                turns.append(1)
            else:
                time.sleep(int(headers["X-Retry-After-Ms"]) / 1000)
    def move():
        try:
            wait_until(lambda: len(turns) > 50, "chats are running")
            fleet.ctl("zone", "out", zone)
            accepted = time.monotonic()
            last_start, count = accepted, zone_starts(fleet, zone)
            while time.monotonic() < accepted + 5:
                now_count = zone_starts(fleet, zone)
                if now_count != count:
                    last_start, count = time.monotonic(), now_count
                time.sleep(0.02)
            latest = last_start - accepted
            print(f"last new work in {zone} {latest:.2f} s after its removal was accepted; "
                  f"{len(turns)} turns whole")
            assert latest <= LAST_NEW_WORK_WITHIN_S
            fleet.ctl("zone", "in", zone)
            wait_until(lambda: zone_starts(fleet, zone) > count, "the zone works again")
        finally:
            stop.set()
    run_threads([lambda n=n: chat_caller(n) for n in range(CHAT_CALLERS)] + [move])


def main():
    example = ROOT / "examples/trinacria/configuration.ini"
    with Fleet(ZONES, engines=3, services=1, nodes=4, base_port=20000, token_ms=5,
               cut_off=["entry-3"]) as fleet:
        wait_in_force(fleet, 1, "a node without platform learns from its peers")
        take_zone_out_under_load(fleet, "catania")

        output = fleet.ctl("vm", "out", "engine-1")
        fleet.fault(fleet.platform, mode="down")
        version = version_of(output)
        wait_in_force(fleet, version, "the platform fails right after the write")

        fleet.kill("entry-4")
        fleet.start_node("entry-4")
        fleet.wait_ready("entry-4")
        wait_in_force(fleet, version, "a node is born during the outage")
        fleet.ctl("vm", "in", "engine-1", expect=3)

        fleet.fault(fleet.platform, mode="up")
        fleet.fault(fleet.platform, mode="stale")
        fleet.fault(fleet.platform, mode="up")
        output = fleet.ctl("vm", "in", "engine-1")
        fleet.fault(fleet.platform, mode="lose-replies")
        version = version_of(fleet.ctl("vm", "out", "engine-2"))
        wait_in_force(fleet, version, "the reply to the write is lost")
        fleet.fault(fleet.platform, mode="stale")
        fleet.fault(fleet.platform, mode="up")

        # Operators write concurrently. All changes of lists are kept, and a
        # replacement of the whole document is accepted or fails as a conflict.
        writers = [subprocess.Popen([str(BINARY), "--platform", fleet.platform, "ctl", *words],
                                    stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
                   for words in (("vm", "out", "a"), ("vm", "out", "b"), ("vm", "out", "c"),
                                 ("apply", str(example)), ("apply", str(example)))]
        codes = [(writer.wait(), writer.communicate()) for writer in writers]
        assert [code for code, _ in codes[:3]] == [0, 0, 0], codes
        assert all(code in (0, 4) for code, _ in codes[3:]), codes
        print(f"concurrent operators: {sum(code == 0 for code, _ in codes)} accepted, "
              f"{sum(code == 4 for code, _ in codes)} refused with a conflict")
        document = fleet.ctl("show")
        for name in ("a", "b", "c", "engine-2"):
            assert name in document.split("vms_out = ")[1].split("\n")[0].split(", "), document
        wait_in_force(fleet, int(document.split("version ")[1].split("\n")[0]), "the race")

        # The platform returns an older state: no node goes back to it.
        before = versions(fleet)
        fleet.fault(fleet.platform, mode="stale")
        fleet.kill("entry-4")
        fleet.start_node("entry-4")
        fleet.wait_ready("entry-4")
        wait_in_force(fleet, max(before.values()), "the platform answers with an older state")
        status, _, _ = http_call(fleet.nodes["entry-4"], "GET", "/v1/address")
        assert status == 200
    return 0


if __name__ == "__main__":
    sys.exit(main())
