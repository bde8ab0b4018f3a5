#!/usr/bin/env python3
"""Endpoints that are cold take few requests a second from all instances together.

The bound is that of the rule: in any second an endpoint gets at most cold-per-s x cold-overage + cold-slack requests
while it is cold.
"""
import time
import unittest

from rate_limit_test import LIMITED as COLD
from rate_limit_test import OTHERS, Fleet, max_in_window

PER_S, OVERAGE, SLACK = 12, 1.5, 5
BOUND = PER_S * OVERAGE + SLACK
WINDOW_S = 1
COLD_S = 6
MIN_USED_SHARE = 0.5
SPREAD_S = 0.5  # until all instances know what an endpoint states in a response
LISTED_S = 2  # until an instance that has started knows the others
MAX_REFUSAL_S = 0.5
SERVICE = {"cold-per-s": PER_S, "cold-start-s": COLD_S}
SETTINGS = {"cold_overage": str(OVERAGE), "cold_slack": str(SLACK)}
PERMITS = 'gentianloom_endpoint_permits_total{outcome="granted",reason="warm-up"}'


class ColdEndpointTest(unittest.TestCase):
    def start(self, service=None, settings=None):
        self.fleet = Fleet(service=SERVICE if service is None else service,
                           **(SETTINGS if settings is None else settings))
        self.addCleanup(self.fleet.close)
        time.sleep(LISTED_S)

    def start_cold_endpoint(self, name):
        """A new process of an endpoint registers as cold; returns when."""
        self.fleet.platform.send_command(remove="servers/" + name)
        time.sleep(SPREAD_S)
        begin = time.monotonic()
        self.fleet.platform.list_endpoint(name, born=int(time.time() * 1000), sequence=1,
                                          **{"cold-remaining-ms": COLD_S * 1000})
        return begin

    def arrivals(self, name, begin, end):
        return [it for it in self.fleet.arrivals(name) if begin <= it < end]

    def check_bound(self, name, begin, end):
        times = self.arrivals(name, begin, end)
        self.assertLessEqual(max_in_window(times, WINDOW_S), BOUND)
        self.assertGreaterEqual(len(times), MIN_USED_SHARE * PER_S * (end - begin))

    # Each instance sent what it liked to an endpoint that had just started.
    def test_bound_holds_while_an_instance_is_killed(self):
        self.start()
        begin = self.start_cold_endpoint(COLD)
        time.sleep(COLD_S / 3)
        self.fleet.kill_gateway("g0")
        time.sleep(max(0, begin + COLD_S - time.monotonic()))
        self.check_bound(COLD, begin, begin + COLD_S)
        self.assertEqual({200}, {status for at, status in self.fleet.calls if at > begin})
        time.sleep(2)
        warm = self.arrivals(COLD, begin + COLD_S + 1, begin + COLD_S + 2)
        self.assertGreater(len(warm), BOUND)
        for gateway in self.fleet.gateways.values():
            texts = [it.get("change") for it in gateway.log_lines() if it.get("endpoint") == COLD]
            self.assertEqual(1, texts.count("an endpoint has begun to warm up"))
            self.assertEqual(1, texts.count("an endpoint no longer warms up"))
        metrics = [it.get(it.metrics, "/").body.decode() for it in self.fleet.gateways.values()]
        self.assertTrue(any(PERMITS in it for it in metrics))

    # An endpoint says in a response that it is cold again: only the instance that reads it knew.
    def test_endpoint_is_cold_again(self):
        self.start()
        begin = time.monotonic()
        self.fleet.platform.send_command(worker=COLD, set={"cold_until": begin + COLD_S})
        time.sleep(COLD_S)
        self.check_bound(COLD, begin + SPREAD_S, begin + COLD_S)

    # Requests that no endpoint takes waited, or were sent all the same.
    def test_all_endpoints_are_cold(self):
        self.start()
        begins = {it: self.start_cold_endpoint(it) for it in [COLD] + OTHERS}
        begin, end = max(begins.values()), min(begins.values()) + COLD_S
        gateway = self.fleet.gateways["g0"]
        refused = []
        for n in range(20):
            sent_at = time.monotonic()
            response = gateway.call("/send/x", f"all{n}")
            if response.status == 503:
                refused.append((time.monotonic() - sent_at, response.headers.get("Retry-After")))
        time.sleep(max(0, end - time.monotonic()))
        for name in begins:
            self.check_bound(name, begin, end)
        self.assertGreater(len(refused), 0)
        for duration_s, retry_after in refused:
            self.assertLess(duration_s, MAX_REFUSAL_S)
            self.assertGreater(float(retry_after), 0)

    def check_unlimited(self):
        begin = self.start_cold_endpoint(COLD)
        time.sleep(3)
        self.assertGreater(max_in_window(self.arrivals(COLD, begin, begin + 3), WINDOW_S), BOUND)

    # A deployment without the rule must be served as before.
    def test_without_the_rule(self):
        self.start(settings={"cold_overage": "", "cold_slack": ""})
        self.check_unlimited()

    # A service without a limit must be served as before.
    def test_without_a_limit(self):
        self.start(service={})
        self.check_unlimited()


if __name__ == "__main__":
    unittest.main()
