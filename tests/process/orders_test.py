"""Orders that may not be repeated, during failures of the services, the platform
and the nodes. By the counts of the services themselves, no key runs twice, an
answered key ran, and a key last reported as not run did not run."""

import json
import signal
import sys
import threading
import time

from fleet import Caller, Fleet, run_threads, wait_until

ZONES = ["palermo", "catania", "agrigento"]
ORDER_CALLERS = 6
SETTINGS = "[timing]\nendpoint_poll_ms = 500\n"


class Ledger:
    """The outcomes that callers received for each key, in order."""

    def __init__(self):
        self.lock = threading.Lock()
        self.outcomes = {}
        self.problems = []

    def record(self, key, what):
        with self.lock:
            self.outcomes.setdefault(key, []).append(what)

    def reasons(self):
        found = {}
        for reason in self.problems:
            found[reason] = found.get(reason, 0) + 1
        return found

    def count(self, what):
        return sum(1 for entries in self.outcomes.values() if what in entries)


def send_order(caller, key, address, ledger):
    try:
        status, headers, body = caller.order(key, address, timeout=3)
    except OSError:
        ledger.record(key, "no reply")
        return
    if status == 200:
        assert json.loads(body)["key"] == key, "the response to another order"
        ledger.record(key, "answered")
        return
    problem = json.loads(body)
    assert problem["run"] in ("not-run", "may-have-run"), problem
    if problem["run"] == "not-run":
        assert "Retry-After" in headers, problem
    ledger.record(key, problem["run"])
    ledger.problems.append(problem["title"])


def send_orders(fleet, ledger, stop):
    """Callers that send every order twice, the second time to another node."""
    def order_caller(number):
        caller = Caller(fleet, f"office-{number}", f"entry-{number % 3 + 1}")
        addresses = list(fleet.nodes.values())
        sent = 0
        while not stop.is_set():
            key = caller.new_key()
            send_order(caller, key, None, ledger)
            send_order(caller, key, addresses[(number + sent) % len(addresses)], ledger)
            sent += 1
    return [lambda n=n: order_caller(n) for n in range(ORDER_CALLERS)]


def check(fleet, ledger):
    runs = fleet.runs_per_key()
    twice = [key for key, count in runs.items() if count > 1]
    assert not twice, f"ran twice: {twice}"
    for key, outcomes in ledger.outcomes.items():
        if "answered" in outcomes:
            assert runs.get(key) == 1, f"{key} answered but ran {runs.get(key, 0)} times"
        if outcomes[-1] == "not-run":
            assert runs.get(key, 0) == 0, f"{key}: said not run, ran; told {outcomes}"
    print(f"  {len(ledger.outcomes)} keys: {ledger.count('answered')} answered, "
          f"{ledger.count('may-have-run')} told unknown, {ledger.count('not-run')} told "
          f"not run, {ledger.count('no reply')} without a reply, 0 run twice; "
          f"problems {ledger.reasons() or 'none'}")


def run_with_fault(fleet, fault):
    """Sends orders for as long as the fault function runs, then checks them."""
    ledger, stop = Ledger(), threading.Event()
    def run_fault():
        try:
            wait_until(lambda: len(ledger.outcomes) >= 30, "orders are running")
            fault(ledger)
        finally:
            stop.set()
    run_threads(send_orders(fleet, ledger, stop) + [run_fault])
    check(fleet, ledger)
    return ledger


def wait_for_orders(ledger, more):
    goal = len(ledger.outcomes) + more
    wait_until(lambda: len(ledger.outcomes) >= goal, f"{more} more orders", 60)


def main():
    with Fleet(ZONES, engines=1, services=3, nodes=3, base_port=18000,
               node_settings=SETTINGS) as fleet:
        print("a reply is lost between service and node")
        def lose_replies(ledger):
            for address in fleet.services.values():
                fleet.fault(address, lose_replies=5)
            wait_for_orders(ledger, 100)
        ledger = run_with_fault(fleet, lose_replies)
        assert ledger.count("may-have-run") == 15, "each lost reply is unknown, nothing else"

        print("the platform is out")
        def platform_out(ledger):
            fleet.fault(fleet.platform, mode="down")
            wait_for_orders(ledger, 300)
            fleet.fault(fleet.platform, mode="up")
        ledger = run_with_fault(fleet, platform_out)
        assert ledger.count("answered") == len(ledger.outcomes), "an outage costs no order"

        print("a node is frozen past every timeout and woken")
        def freeze(ledger):
            fleet.signal("entry-2", signal.SIGSTOP)
            wait_until(lambda: fleet.metrics("entry-1")["members_serving"] == 2,
                       "entry-2 is taken for dead")
            wait_for_orders(ledger, 50)
            fleet.signal("entry-2", signal.SIGCONT)
            wait_until(lambda: fleet.metrics("entry-1")["members_serving"] == 3,
                       "entry-2 is back")
            wait_for_orders(ledger, 50)
        run_with_fault(fleet, freeze)

        print("a node is killed and replaced")
        def kill(ledger):
            fleet.kill("entry-3")
            wait_for_orders(ledger, 50)
            fleet.start_node("entry-3")
            fleet.wait_ready("entry-3")
            wait_for_orders(ledger, 50)
        run_with_fault(fleet, kill)

        print("a node leaves while it runs orders")
        def leave(ledger):
            fleet.signal("entry-1", signal.SIGTERM)
            wait_until(lambda: not fleet.is_running("entry-1"), "entry-1 has left")
            wait_for_orders(ledger, 20)
        run_with_fault(fleet, leave)
    return 0


if __name__ == "__main__":
    sys.exit(main())
