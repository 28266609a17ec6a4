"""Records what callers and endpoints observed, and checks the guarantees."""

import collections
import contextlib
import dataclasses
import math
import time

DRAIN_S = 2.0
EVACUATE_S = 5.0
REVOKE_S = 5.0
APPLY_S = 2.0
GRACE_S = 8
# A graceful shutdown may cut off a request that was sent up to this long after
# SIGTERM, if it still runs in the last sixth of the grace period.
LATE_REQUEST_S = 3.0
RECOVERY_MARGIN_S = 4.0
# A caller that runs on time notices the end of a request up to this late.
DEADLINE_SLACK_S = 0.5
MAX_ATTEMPTS = 2
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class SentRequest:
    """One attempt of a caller, as the caller observed it."""
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
    """One execution of a request at an endpoint, recorded at its start."""
    id: str
    order: str
    endpoint: str
    zone: str
    customer: str
    at: float
    is_complete: bool = False  # the endpoint has sent the whole response


class Ledger:
    """Records runs, attempts and faults, and checks the guarantees."""

    def __init__(self):
        self.sent = {}
        self.runs = collections.defaultdict(list)
        self.order_runs = collections.Counter()
        self.violations = []
        self.draining_since = {}
        self.evacuated = []  # (zone, from, until or None)
        self.revoked_at = {}
        self.terminated_at = collections.defaultdict(list)  # by gateway
        # By component: [from, until, whether it is planned work].
        self.fault_intervals = collections.defaultdict(list)
        self.loop_lags = []  # (at, lag)
        self.limit_periods = []

    def report_violation(self, promise, detail):
        self.violations.append({"promise": promise, "detail": detail})

    @contextlib.contextmanager
    def fault_interval(self, component, is_planned=False):
        """Marks a component as faulty for the duration of the context, in which
        its deadline, drain and evacuation guarantees are not checked."""
        interval = [time.monotonic(), math.inf, is_planned]
        self.fault_intervals[component].append(interval)
        try:
            yield
        finally:
            interval[1] = time.monotonic()

    def had_fault(self, component, begins, ends, margin_s,
                  counts_planned=True):
        return any(start <= ends and begins <= end + margin_s and
                   (counts_planned or not is_planned)
                   for start, end, is_planned in
                   self.fault_intervals[component])

    def on_run(self, run):
        self.runs[run.id].append(run)
        sent = self.sent.get(run.id)
        if not sent:
            self.report_violation("known-request",
                                  f"{run.id} at {run.endpoint}")
            return
        if sent.kind == "unsafe":
            self.order_runs[sent.order] += 1
            if self.order_runs[sent.order] > 1:
                self.report_violation("at-most-once", f"{sent.order}: {run}")
        if len(self.runs[run.id]) > MAX_ATTEMPTS:
            self.report_violation("attempts", f"{run.id}: {self.runs[run.id]}")
        self._check_draining(run, sent)
        self._check_evacuation(run, sent)
        if sent.key and run.customer != "customer-of-" + sent.key:
            self.report_violation("customer", f"{run} with key {sent.key}")

    def had_no_fault(self, gateway, since, until):
        return not (
            self.had_fault(gateway, since, until, RECOVERY_MARGIN_S) or
            self.had_fault("store", since, until, RECOVERY_MARGIN_S))

    def _check_draining(self, run, sent):
        since = self.draining_since.get(run.endpoint)
        if since is not None and run.at > since + DRAIN_S and \
                self.had_no_fault(sent.gateway, since, run.at):
            self.report_violation("drain", f"{run.at - since:.2f} s: {run}")

    def _check_evacuation(self, run, sent):
        for zone, since, until in self.evacuated:
            is_over = until is not None and run.at > until
            if zone == run.zone and run.at > since + EVACUATE_S and \
                    not is_over and \
                    self.had_no_fault(sent.gateway, since, run.at):
                self.report_violation("evacuation", f"{run}")

    def on_end(self, sent, front):
        """`front` names the link between the caller and the gateway."""
        late = sent.ended_at - sent.deadline_at - DEADLINE_SLACK_S
        lag = max((lag for at, lag in self.loop_lags
                   if sent.sent_at <= at <= sent.ended_at), default=0)
        was_faulty = any(
            self.had_fault(component, sent.sent_at, sent.ended_at, 0)
            for component in (sent.gateway, front))
        if late > lag and not was_faulty:
            self.report_violation("deadline", f"{late:.2f} s late: {sent}")
        self._check_shutdown(sent, front)
        self._check_broken_off(sent, front)
        revoked = self.revoked_at.get(sent.key)
        if revoked is not None and 200 <= sent.status < 300 and \
                sent.sent_at > revoked + REVOKE_S:
            self.report_violation("revocation", f"{sent}")

    def _check_shutdown(self, sent, front):
        stopped_at = max((at for at in self.terminated_at[sent.gateway]
                          if at <= sent.ended_at <= at + GRACE_S + 1),
                         default=None)
        runs = self.runs.get(sent.id)
        if stopped_at is None or not sent.error or not runs or \
                sent.ended_at >= sent.deadline_at:
            return
        components = [sent.gateway, front, "store"] + \
            [run.endpoint for run in runs]
        was_disturbed = any(
            self.had_fault(component, sent.sent_at, sent.ended_at,
                           RECOVERY_MARGIN_S, counts_planned=False)
            for component in components)
        outlasted = sent.sent_at <= stopped_at + LATE_REQUEST_S and \
            sent.ended_at >= stopped_at + GRACE_S * 5 / 6
        if not was_disturbed and not outlasted:
            self.report_violation(
                "shutdown", f"{sent.ended_at - stopped_at:.2f} s after "
                            f"SIGTERM: {sent}, {runs}")

    def _check_broken_off(self, sent, front):
        """Outside of shutdowns, which have a check of their own."""
        runs = self.runs.get(sent.id, [])
        is_stopping = any(at <= sent.ended_at <= at + GRACE_S + 1
                          for at in self.terminated_at[sent.gateway])
        if not sent.error or sent.ended_at >= sent.deadline_at or \
                is_stopping or not any(run.is_complete for run in runs):
            return
        components = [sent.gateway, front] + [run.endpoint for run in runs]
        if not any(self.had_fault(component, sent.sent_at, sent.ended_at,
                                  RECOVERY_MARGIN_S)
                   for component in components):
            self.report_violation("broken-off", f"{sent}, {runs}")

    def lag(self, begins, ends):
        """The longest delay of this process in a span of time."""
        return max((lag for at, lag in self.loop_lags
                    if begins <= at <= ends), default=0)

    def on_response(self, sent, endpoint, is_limited):
        """A gateway passed on the head of the endpoint's response."""
        for period in self.limit_periods:
            if is_limited and period.endpoint == endpoint:
                period.passed_on.setdefault(sent.gateway, time.monotonic())

    def on_probe(self, gateway, version, written_at, status):
        """`status` of a request to `gateway` on a route that `version` has
        added, sent later than the configuration has to be applied."""
        if status in (401, 404) and \
                self.had_no_fault(gateway, written_at, time.monotonic()):
            self.report_violation(
                "configuration",
                f"{status} from {gateway} for version {version}, "
                f"{time.monotonic() - written_at:.2f} s old")

    def check_at_end(self):
        for sent in self.sent.values():
            if sent.status in NOT_RUN_STATUSES and self.runs.get(sent.id):
                self.report_violation("not-run",
                                      f"{sent} ran: {self.runs[sent.id]}")
        for period in self.limit_periods:
            if excess := period.excess(self):
                self.report_violation("rate-limit", excess)

    def summary(self):
        statuses = collections.Counter(
            str(sent.status) if sent.status else
            ("gave-up" if sent.gave_up else "broken")
            for sent in self.sent.values())
        return {"attempts": len(self.sent), "outcomes": dict(statuses),
                "violations": len(self.violations)}
