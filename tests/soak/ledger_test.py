#!/usr/bin/env python3
"""The ledger of the soak detects a violation of each guarantee."""

import time
import unittest

from ledger import Ledger, Run, SentRequest
from rate_limits import LimitPeriod


class LedgerTest(unittest.TestCase):
    """One request of one caller through one gateway."""

    def setUp(self):
        self.ledger = Ledger()
        self.now = time.monotonic()

    def send(self, kind="unsafe", request_id="r1", **fields):
        sent = SentRequest(request_id, "order-1", kind, "k1", "g1", self.now,
                           self.now + 1.5, **fields)
        self.ledger.sent[sent.id] = sent
        return sent

    def run_at(self, endpoint="e1", request_id="r1", after=0.1, zone="a",
               customer="customer-of-k1"):
        self.ledger.on_run(Run(request_id, "order-1", endpoint, zone, customer,
                               self.now + after))

    def end(self, sent, status=200, after=0.2):
        sent.status = status
        sent.ended_at = self.now + after
        self.ledger.on_end(sent, "front-g1")

    def violated_promises(self):
        self.ledger.check_at_end()
        return {item["promise"] for item in self.ledger.violations}

    def test_a_request_that_runs_once_and_is_answered_violates_nothing(self):
        sent = self.send()
        self.run_at()
        self.end(sent)
        self.assertEqual(self.violated_promises(), set())

    def test_an_order_that_runs_twice(self):
        self.send()
        self.run_at("e1")
        self.run_at("e2")
        self.assertEqual(self.violated_promises(), {"at-most-once"})

    def test_an_order_that_runs_again_after_a_false_refusal(self):
        self.end(self.send(request_id="r1"), 503)
        self.run_at(request_id="r1")
        self.send(request_id="r2")
        self.run_at(request_id="r2")
        self.assertEqual(self.violated_promises(), {"at-most-once", "not-run"})

    def test_more_attempts_than_the_route_allows(self):
        self.send("safe")
        for endpoint in ("e1", "e2", "e3"):
            self.run_at(endpoint)
        self.assertEqual(self.violated_promises(), {"attempts"})

    def test_an_answer_after_the_deadline(self):
        self.end(self.send(), 200, 2.5)
        self.assertEqual(self.violated_promises(), {"deadline"})

    def test_a_late_answer_through_a_paused_gateway_is_allowed(self):
        with self.ledger.fault_interval("g1"):
            self.end(self.send(), 200, 2.5)
        self.assertEqual(self.violated_promises(), set())

    def test_new_work_for_a_draining_endpoint(self):
        self.ledger.draining_since["e1"] = self.now
        self.send()
        self.run_at(after=2.2)
        self.assertEqual(self.violated_promises(), {"drain"})

    def test_new_work_for_an_evacuated_zone(self):
        self.ledger.evacuated.append(("a", self.now, None))
        self.send()
        self.run_at(after=5.5)
        self.assertEqual(self.violated_promises(), {"evacuation"})

    def test_an_answer_for_a_revoked_key(self):
        self.ledger.revoked_at["k1"] = self.now - 6
        self.end(self.send())
        self.assertEqual(self.violated_promises(), {"revocation"})

    def stop_and_cut(self, sent_after, cut_after):
        """SIGTERM now; a stream that runs is cut off."""
        self.ledger.terminated_at["g1"].append(self.now)
        sent = SentRequest("r1", "order-1", "stream", "k1", "g1",
                           self.now + sent_after, self.now + 20,
                           error="body truncated")
        self.ledger.sent[sent.id] = sent
        self.run_at(after=sent_after)
        self.end(sent, 0, cut_after)

    def test_a_request_cut_off_by_a_shutdown(self):
        self.stop_and_cut(sent_after=4, cut_after=7.5)
        self.assertEqual(self.violated_promises(), {"shutdown"})

    def test_an_early_request_that_outlasts_the_grace_period(self):
        self.stop_and_cut(sent_after=1, cut_after=7.5)
        self.assertEqual(self.violated_promises(), set())

    def test_an_early_request_cut_off_before_the_end_of_the_grace_period(self):
        self.stop_and_cut(sent_after=1, cut_after=2)
        self.assertEqual(self.violated_promises(), {"shutdown"})

    def test_an_old_configuration(self):
        self.ledger.on_probe("g1", 3, self.now - 2.2, 404)
        self.assertEqual(self.violated_promises(), {"configuration"})

    def test_an_old_configuration_at_a_paused_gateway_is_allowed(self):
        with self.ledger.fault_interval("g1"):
            self.ledger.on_probe("g1", 3, self.now - 2.2, 404)
        self.assertEqual(self.violated_promises(), set())

    def test_a_run_under_another_customers_name(self):
        self.send()
        self.run_at(customer="customer-of-k2")
        self.assertEqual(self.violated_promises(), {"customer"})

    def break_off(self, is_complete=True):
        sent = self.send("stream", error="connection reset")
        self.run_at()
        self.ledger.runs["r1"][0].is_complete = is_complete
        self.end(sent, 0)

    def test_a_whole_response_that_is_broken_off(self):
        self.break_off()
        self.assertEqual(self.violated_promises(), {"broken-off"})

    def test_a_response_that_the_endpoint_did_not_finish_is_allowed(self):
        self.break_off(is_complete=False)
        self.assertEqual(self.violated_promises(), set())

    def test_a_response_broken_off_by_a_paused_gateway_is_allowed(self):
        with self.ledger.fault_interval("g1"):
            self.break_off()
        self.assertEqual(self.violated_promises(), set())

    def limit(self, requests=12, begins=3.1, interval=0.3, lowered_to=None):
        """Requests of g1 and g2 by turns to an endpoint that names 1 a second,
        of which g1 alone has passed on a response, 12 are too many."""
        period = LimitPeriod("e1", [(self.now, 1.0)])
        if lowered_to:
            period.rates.append((self.now + 1, lowered_to))
        self.ledger.limit_periods.append(period)
        self.ledger.on_response(self.send(), "e1", True)
        for number in range(requests):
            at = self.now + begins + number * interval
            period.arrivals += [(at, "g1"), (at, "g2")]

    def test_too_many_requests_for_a_limited_endpoint(self):
        self.limit()
        self.assertEqual(self.violated_promises(), {"rate-limit"})

    def test_as_many_requests_as_a_limited_endpoint_takes(self):
        self.limit(requests=11)
        self.assertEqual(self.violated_promises(), set())

    def test_requests_spread_over_more_than_the_window(self):
        self.limit(interval=0.4)
        self.assertEqual(self.violated_promises(), set())

    def test_requests_before_the_limit_has_to_be_known(self):
        self.limit(begins=2.9)
        self.assertEqual(self.violated_promises(), set())

    def test_a_limit_that_is_lowered(self):
        self.limit(requests=9, begins=4.1, lowered_to=0.5)
        self.assertEqual(self.violated_promises(), {"rate-limit"})

    def test_a_lowered_limit_has_to_be_known_as_late_as_a_new_one(self):
        self.limit(requests=9, begins=3.9, lowered_to=0.5)
        self.assertEqual(self.violated_promises(), set())

    def test_too_many_requests_of_a_paused_gateway_are_allowed(self):
        with self.ledger.fault_interval("g1"):
            self.limit()
            self.assertEqual(self.violated_promises(), set())

    def test_too_many_requests_over_a_disturbed_link_are_allowed(self):
        with self.ledger.fault_interval("link-e1"):
            self.limit()
            self.assertEqual(self.violated_promises(), set())


if __name__ == "__main__":
    unittest.main()
