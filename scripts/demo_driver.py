"""Generates the traffic of scripts/demo and reports the results."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tests/process"))
from fleet import Caller, Fleet, is_complete_response, run_threads  # noqa: E402

ZONES = ["palermo", "catania", "agrigento"]
CHAT_CLIENTS = 10
CHATS_PER_CLIENT = 10
TURNS = 5
ORDER_CLIENTS = 4
ORDERS_PER_CLIENT = 30
RETRY_TIMEOUT_S = 60


class Report:
    def __init__(self):
        self.lock = threading.Lock()
        self.answered = 0
        self.lost = 0
        self.retried = 0
        self.turns_with_context = 0
        self.returning_turns = 0
        self.answered_keys = set()

    def count(self, **changes):
        with self.lock:
            for name, change in changes.items():
                setattr(self, name, getattr(self, name) + change)


def retry_until_answered(attempt, report):
    """Retries after each refusal that has a retry delay, until the time-out."""
    deadline = time.monotonic() + RETRY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            status, headers, body = attempt()
        except OSError:
            return None
        if status == 200:
            return headers, body
        if "X-Retry-After-Ms" not in headers:
            return None
        report.count(retried=1)
        time.sleep(int(headers["X-Retry-After-Ms"]) / 1000)
    return None


def chat_client(fleet, number, report):
    caller = Caller(fleet, f"office-{number % 3}", f"entry-{number % 3 + 1}")
    for chat_number in range(CHATS_PER_CLIENT):
        chat, hint = f"chat-{number}-{chat_number}", ""
        for turn in range(TURNS):
            response = retry_until_answered(lambda: caller.chat(chat, hint), report)
            if response is None or not is_complete_response(*response):
                report.count(lost=1)
                continue
            endpoint = response[0].get("X-Context-Hint", "")
            if turn > 0:
                report.count(returning_turns=1,
                             turns_with_context=int(endpoint == hint))
            hint = endpoint
            caller.follow(response[0])
            report.count(answered=1)


def order_client(fleet, number, report):
    caller = Caller(fleet, f"office-{number % 3}", f"entry-{number % 3 + 1}")
    addresses = list(fleet.nodes.values())
    for order_number in range(ORDERS_PER_CLIENT):
        key = caller.new_key()
        response = retry_until_answered(lambda: caller.order(key), report)
        if response is None:
            report.count(lost=1)
            continue
        # The same order sent again, to any node, must return the stored response.
        repeated = retry_until_answered(
            lambda: caller.order(key, addresses[order_number % len(addresses)]), report)
        if repeated is None or repeated[1] != response[1]:
            report.count(lost=1)
            continue
        report.count(answered=1)
        with report.lock:
            report.answered_keys.add(key)


def move_zone(fleet, zone):
    time.sleep(1.0)
    print(f"zone {zone} out: {fleet.ctl('zone', 'out', zone).strip()}")
    time.sleep(3.0)
    before = {name: fleet.stats(address)["started"]
              for name, address in zone_engines(fleet, zone).items()}
    time.sleep(1.5)
    after = {name: fleet.stats(address)["started"]
             for name, address in zone_engines(fleet, zone).items()}
    print(f"new work in {zone} from 3.0 s to 4.5 s after it was taken out: "
          f"{sum(after.values()) - sum(before.values())}")
    print(f"zone {zone} in: {fleet.ctl('zone', 'in', zone).strip()}")


def zone_engines(fleet, zone):
    return {name: address for i, (name, address) in enumerate(fleet.engines.items())
            if ZONES[i % len(ZONES)] == zone}


def main():
    report = Report()
    expected = CHAT_CLIENTS * CHATS_PER_CLIENT * TURNS + ORDER_CLIENTS * ORDERS_PER_CLIENT
    with Fleet(ZONES, engines=4, services=2, nodes=3, base_port=17000, token_ms=15) as fleet:
        print("3 nodes, 4 engines and 2 services over 3 zones are ready")
        tasks = [lambda n=n: chat_client(fleet, n, report) for n in range(CHAT_CLIENTS)]
        tasks += [lambda n=n: order_client(fleet, n, report) for n in range(ORDER_CLIENTS)]
        tasks.append(lambda: move_zone(fleet, "catania"))
        started = time.monotonic()
        run_threads(tasks)
        print(f"traffic took {time.monotonic() - started:.1f} s")
        finished = 0
        for name, address in fleet.engines.items():
            stats = fleet.stats(address)
            finished += stats["finished"]
            print(f"{name}: {stats['finished']} answers, {stats['hits']} with the chat's "
                  f"context, at most {stats['max_running']} at a time")
        print(f"returning turns with cached context: {report.turns_with_context} "
              f"of {report.returning_turns}")
        print(f"refused with a retry delay: {report.retried}; "
              f"by reason at the nodes: {fleet.refusals() or 'none'}")
        runs = fleet.runs_per_key()
    run_twice = sum(1 for count in runs.values() if count > 1)
    chats_answered = report.answered - len(report.answered_keys)
    counts_agree = (all(runs.get(key) == 1 for key in report.answered_keys)
                    and finished >= chats_answered)
    if not counts_agree:
        print("the stand-ins' counts do not agree with the callers'")
    print(f"demo: {report.answered} of {expected} answered, {report.lost} lost, "
          f"{run_twice} run twice")
    complete = report.answered == expected and report.lost == 0 and run_twice == 0
    return 0 if counts_agree and complete else 1


if __name__ == "__main__":
    sys.exit(main())
