"""What callers and endpoints saw, and which promises it breaks."""

import collections
import contextlib
import dataclasses
import math
import time

DRAIN_S = 2.0
EVACUATE_S = 5.0
REVOKE_S = 5.0
CATCH_UP_S = 4.0
# A request's end is noticed this late by a caller that runs on time.
DEADLINE_SLACK_S = 0.5
MAX_ATTEMPTS = 2
PROMISES_NOT_RUN = (408, 421, 429, 503)


@dataclasses.dataclass
class Sent:
    """One attempt of a caller, as the caller knows it."""
    id: str
    order: str
    kind: str
    key: str
    gateway: str
    sent_at: float
    deadline_at: float
    events: int = 0
    status: int = 0
    ended_at: float = 0.0
    gave_up: bool = False
    error: str = ""


@dataclasses.dataclass
class Run:
    """One start of a request at an endpoint."""
    id: str
    order: str
    endpoint: str
    zone: str
    customer: str
    at: float


class Ledger:
    """Collects runs, attempts and disturbances, and checks them."""

    def __init__(self):
        self.sent = {}
        self.runs = collections.defaultdict(list)
        self.order_runs = collections.Counter()
        self.violations = []
        self.draining_since = {}
        self.evacuated = []  # (zone, from, until or None)
        self.revoked_at = {}
        self.disturbances = collections.defaultdict(list)  # by what
        self.loop_lags = []  # (at, lag)

    def break_promise(self, promise, detail):
        self.violations.append({"promise": promise, "detail": detail})

    @contextlib.contextmanager
    def disturbing(self, what):
        """For as long as something is not to be held to its promises."""
        interval = [time.monotonic(), math.inf]
        self.disturbances[what].append(interval)
        try:
            yield
        finally:
            interval[1] = time.monotonic()

    def was_disturbed(self, what, begins, ends, margin_s):
        return any(start <= ends and begins <= end + margin_s
                   for start, end in self.disturbances[what])

    def on_run(self, run):
        self.runs[run.id].append(run)
        sent = self.sent.get(run.id)
        if not sent:
            self.break_promise("known-request", f"{run.id} at {run.endpoint}")
            return
        if sent.kind == "unsafe":
            self.order_runs[sent.order] += 1
            if self.order_runs[sent.order] > 1:
                self.break_promise("at-most-once", f"{sent.order}: {run}")
        if len(self.runs[run.id]) > MAX_ATTEMPTS:
            self.break_promise("attempts", f"{run.id}: {self.runs[run.id]}")
        self._check_draining(run, sent)
        self._check_evacuation(run, sent)
        if sent.key and run.customer != "customer-of-" + sent.key:
            self.break_promise("customer", f"{run} with key {sent.key}")

    def _in_touch(self, gateway, since, until):
        return not (
            self.was_disturbed(gateway, since, until, CATCH_UP_S) or
            self.was_disturbed("store", since, until, CATCH_UP_S))

    def _check_draining(self, run, sent):
        since = self.draining_since.get(run.endpoint)
        if since is not None and run.at > since + DRAIN_S and \
                self._in_touch(sent.gateway, since, run.at):
            self.break_promise("drain", f"{run.at - since:.2f} s: {run}")

    def _check_evacuation(self, run, sent):
        for zone, since, until in self.evacuated:
            is_over = until is not None and run.at > until
            if zone == run.zone and run.at > since + EVACUATE_S and \
                    not is_over and \
                    self._in_touch(sent.gateway, since, run.at):
                self.break_promise("evacuation", f"{run}")

    def on_end(self, sent, front):
        """`front` names the link between the caller and the gateway."""
        late = sent.ended_at - sent.deadline_at - DEADLINE_SLACK_S
        lag = max((lag for at, lag in self.loop_lags
                   if sent.sent_at <= at <= sent.ended_at), default=0)
        disturbed = any(
            self.was_disturbed(what, sent.sent_at, sent.ended_at, 0)
            for what in (sent.gateway, front))
        if late > lag and not disturbed:
            self.break_promise("deadline", f"{late:.2f} s late: {sent}")
        revoked = self.revoked_at.get(sent.key)
        if revoked is not None and 200 <= sent.status < 300 and \
                sent.sent_at > revoked + REVOKE_S:
            self.break_promise("revocation", f"{sent}")

    def check_at_end(self):
        for sent in self.sent.values():
            if sent.status in PROMISES_NOT_RUN and self.runs.get(sent.id):
                self.break_promise("not-run",
                                   f"{sent} ran: {self.runs[sent.id]}")

    def summary(self):
        statuses = collections.Counter(
            str(sent.status) if sent.status else
            ("gave-up" if sent.gave_up else "broken")
            for sent in self.sent.values())
        return {"attempts": len(self.sent), "outcomes": dict(statuses),
                "violations": len(self.violations)}
