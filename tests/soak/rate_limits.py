"""What endpoints got while they named a rate limit, and the promise to keep
it."""

import dataclasses
import math

WINDOW_S = 4.0
MAX_RATIO, EXTRA_REQUESTS = 1.5, 5
# The gateways have to know a limit this long after it was first named.
LEARNING_S = 3.0
# A gateway is counted from this long after it passed on a limited response.
READING_S = 0.5


@dataclasses.dataclass
class LimitPeriod:
    """The time in which one endpoint names a limit in its responses."""
    endpoint: str
    rates: list = dataclasses.field(default_factory=list)  # (at, 1/s) per response
    arrivals: list = dataclasses.field(default_factory=list)  # (at, gateway)
    passed_on: dict = dataclasses.field(default_factory=dict)  # at, by gateway

    def excess(self, ledger):
        """Describes the first window with too many requests, if there is one.
        Gateways and links with faults in it or shortly before are left out."""
        checked = [arrival for arrival in self.arrivals if self.rates and
                   arrival[0] >= self.rates[0][0] + LEARNING_S]
        for begins, _ in checked:
            ends = begins + WINDOW_S
            if ledger.had_fault(f"link-{self.endpoint}", begins, ends,
                                LEARNING_S):
                continue
            counted = [
                (round(at - begins, 2), gateway) for at, gateway in checked
                if begins <= at <= ends and
                at >= self.passed_on.get(gateway, math.inf) + READING_S and
                not ledger.had_fault(gateway, begins, ends, LEARNING_S)]
            rate = self._highest_rate(begins - LEARNING_S, ends)
            if len(counted) > MAX_RATIO * rate * (
                    WINDOW_S + ledger.lag(begins, ends)) + EXTRA_REQUESTS:
                return (f"{len(counted)} requests at {self.endpoint} limited "
                        f"to {rate}, from {begins:.2f}: {counted}")
        return None

    def _highest_rate(self, begins, ends):
        earlier = [rate for at, rate in self.rates if at < begins]
        return max(earlier[-1:] + [rate for at, rate in self.rates
                                   if begins <= at <= ends])
