"""Orders that may not be repeated, through failures of every process on their
way. The services' own counts decide: no key runs twice, an answered key ran,
and a key that was last said not to have run did not run."""

import json
import signal
import sys
import threading
import time

from fleet import Caller, Fleet, run_threads, wait_until

ZONES = ["palermo", "catania", "agrigento"]
CLERKS = 6
SETTINGS = "[timing]\nendpoint_poll_ms = 500\n"


class Ledger:
    """What callers were told of each key, in order."""

    def __init__(self):
        self.lock = threading.Lock()
        self.told = {}
        self.problems = []

    def note(self, key, what):
        with self.lock:
            self.told.setdefault(key, []).append(what)

    def reasons(self):
        found = {}
        for reason in self.problems:
            found[reason] = found.get(reason, 0) + 1
        return found

    def count(self, what):
        return sum(1 for entries in self.told.values() if what in entries)


def what_came(caller, key, address, ledger):
    try:
        status, headers, body = caller.order(key, address, timeout=3)
    except OSError:
        ledger.note(key, "no reply")
        return
    if status == 200:
        assert json.loads(body)["key"] == key, "somebody else's answer"
        ledger.note(key, "answered")
        return
    problem = json.loads(body)
    assert problem["run"] in ("not-run", "may-have-run"), problem
    if problem["run"] == "not-run":
        assert "Retry-After" in headers, problem
    ledger.note(key, problem["run"])
    ledger.problems.append(problem["title"])


def send_orders(fleet, ledger, stop):
    """Clerks that send every order twice, the second time at another node."""
    def clerk(number):
        caller = Caller(fleet, f"office-{number}", f"entry-{number % 3 + 1}")
        addresses = list(fleet.nodes.values())
        sent = 0
        while not stop.is_set():
            key = caller.new_key()
            what_came(caller, key, None, ledger)
            what_came(caller, key, addresses[(number + sent) % len(addresses)], ledger)
            sent += 1
    return [lambda n=n: clerk(n) for n in range(CLERKS)]


def check(fleet, ledger):
    runs = fleet.runs_per_key()
    twice = [key for key, count in runs.items() if count > 1]
    assert not twice, f"ran twice: {twice}"
    for key, told in ledger.told.items():
        if "answered" in told:
            assert runs.get(key) == 1, f"{key} answered but ran {runs.get(key, 0)} times"
        if told[-1] == "not-run":
            assert runs.get(key, 0) == 0, f"{key}: said not run, ran; told {told}"
    print(f"  {len(ledger.told)} keys: {ledger.count('answered')} answered, "
          f"{ledger.count('may-have-run')} told unknown, {ledger.count('not-run')} told "
          f"not run, {ledger.count('no reply')} without a reply, 0 run twice; "
          f"problems {ledger.reasons() or 'none'}")


def under(fleet, fault):
    """Runs the fault while orders are sent; it decides how long."""
    ledger, stop = Ledger(), threading.Event()
    def run_fault():
        try:
            wait_until(lambda: len(ledger.told) >= 30, "orders are running")
            fault(ledger)
        finally:
            stop.set()
    run_threads(send_orders(fleet, ledger, stop) + [run_fault])
    check(fleet, ledger)
    return ledger


def progress(ledger, more):
    goal = len(ledger.told) + more
    wait_until(lambda: len(ledger.told) >= goal, f"{more} more orders", 60)


def main():
    with Fleet(ZONES, engines=1, services=3, nodes=3, base_port=18000,
               node_settings=SETTINGS) as fleet:
        print("a reply is lost between service and node")
        def lose_replies(ledger):
            for address in fleet.services.values():
                fleet.fault(address, lose_replies=5)
            progress(ledger, 100)
        ledger = under(fleet, lose_replies)
        assert ledger.count("may-have-run") == 15, "each lost reply is unknown, nothing else"

        print("the platform is out")
        def platform_out(ledger):
            fleet.fault(fleet.platform, mode="down")
            progress(ledger, 300)
            fleet.fault(fleet.platform, mode="up")
        ledger = under(fleet, platform_out)
        assert ledger.count("answered") == len(ledger.told), "an outage costs no order"

        print("a node is frozen past every timeout and woken")
        def freeze(ledger):
            fleet.signal("entry-2", signal.SIGSTOP)
            wait_until(lambda: fleet.metrics("entry-1")["members_serving"] == 2,
                       "entry-2 is taken for dead")
            progress(ledger, 50)
            fleet.signal("entry-2", signal.SIGCONT)
            wait_until(lambda: fleet.metrics("entry-1")["members_serving"] == 3,
                       "entry-2 is back")
            progress(ledger, 50)
        under(fleet, freeze)

        print("a node is killed and replaced")
        def kill(ledger):
            fleet.kill("entry-3")
            progress(ledger, 50)
            fleet.start_node("entry-3")
            fleet.wait_ready("entry-3")
            progress(ledger, 50)
        under(fleet, kill)

        print("a node leaves while it runs orders")
        def leave(ledger):
            fleet.signal("entry-1", signal.SIGTERM)
            wait_until(lambda: not fleet.is_running("entry-1"), "entry-1 has left")
            progress(ledger, 20)
        under(fleet, leave)
    return 0


if __name__ == "__main__":
    sys.exit(main())
