#!/usr/bin/env python3
"""Endpoints that state in their responses how many requests a second they take from all instances.

Bounds are those of the rule: from contact-ms (3 s) after the first statement, an endpoint gets at most one
and a half times its limit, and 5 requests, in any 4 s.
"""
import concurrent.futures
import itertools
import random
import threading
import time
import unittest

from gateway_environment import Environment, Platform, configuration

LIMITED, OTHERS = "w1", ["w2", "w3"]
CONTACT_S = 3
WINDOW_S = 4
MAX_FACTOR, EXTRA = 1.5, 5
MIN_USED_SHARE = 0.5  # of the limit: what it allows is not to be left unused
MAX_UNUSED = 2  # requests, of a small limit in one window
SENDERS, INTERVAL_S = 8, 0.02
GATEWAYS = 4
PATHS = ["/send/x", "/read/x", "/chat/x", "/resume/x"]
PROMPT_S = 0.5


class Fleet:
    """Several gateways, and callers that send requests to any that runs."""

    def __init__(self, gateways=GATEWAYS, service=None, **settings):
        """`service`: further fields of the service; `settings`: further settings of the gateways."""
        self.platform = Platform({it: "v1" for it in [LIMITED] + OTHERS})
        value = configuration(8, prepaid=10 ** 9)
        value["services"][0].update(service or {})
        self.platform.send_command(put="op/config", value=value)
        self.settings = settings
        self.platform.configure_workers(run_s=0.01)
        self.gateways = {}
        self.numbers = itertools.count()
        self.stop = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(SENDERS)
        self.calls = []  # time, status
        for n in range(gateways):
            self.start_gateway(f"g{n}")
        self.senders = [self.pool.submit(self.send_all) for _ in range(SENDERS)]

    def start_gateway(self, name):
        out = Environment(platform=self.platform, name=name, **self.settings)
        out.wait_for_log_line(lambda it: it.get("version") == "8")
        self.gateways[name] = out

    def kill_gateway(self, name):
        self.gateways.pop(name).close()

    def send_all(self):
        while not self.stop.wait(INTERVAL_S):
            gateway = random.choice(list(self.gateways.values()))
            at = time.monotonic()
            try:
                # Prompts differ, so that all endpoints are chosen.
                n = next(self.numbers)
                response = gateway.call(random.choice(PATHS), f"r{n}",
                                        {"X-Prompt-Prefix": f"{n + 1:x}:60,bb:40"})
                self.calls.append((at, response.status))
            except OSError:
                pass  # a gateway was killed

    def state(self, *limits, name=LIMITED):
        self.platform.send_command(worker=name, set={"rate_limits": list(limits)})

    def arrivals(self, name=LIMITED):
        return [it["at"] for it in self.platform.send_command()["arrived"][name]]

    def close(self):
        self.stop.set()
        for it in self.senders:
            it.result()
        for name in list(self.gateways):
            self.kill_gateway(name)
        self.platform.close()


def max_in_window(times, window_s=WINDOW_S):
    return max((sum(at <= it < at + window_s for it in times) for at in times), default=0)


class RateLimitTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        time.sleep(1)

    def check_kept(self, limit, begin, end):
        """The limit holds between two times, and is not left unused."""
        times = [it for it in self.fleet.arrivals() if begin <= it < end]
        allowed = MAX_FACTOR * WINDOW_S * limit + EXTRA
        self.assertLessEqual(max_in_window(times), allowed)
        used = MIN_USED_SHARE * limit * (end - begin) - MAX_UNUSED
        self.assertGreaterEqual(len(times), used)

    # Each instance went on as before: no endpoint was spared by what it stated.
    def test_limit_holds_for_all_instances_together(self):
        for limit in (1.3, 0.0, 12, 0.2):
            with self.subTest(limit):
                self.fleet.state(str(limit))
                begin = time.monotonic() + CONTACT_S
                time.sleep(CONTACT_S + WINDOW_S + 1)
                self.check_kept(limit, begin, time.monotonic())
                served = [status for at, status in self.fleet.calls if at > begin]
                self.assertEqual({200}, set(served))

    # The instance that shared out the limit has ended, and another one started without knowing it.
    def test_limit_holds_while_instances_are_killed_and_start(self):
        limit = 2
        self.fleet.state(str(limit))
        begin = time.monotonic() + CONTACT_S
        for n in range(3):
            time.sleep(2)
            self.fleet.kill_gateway(f"g{n}")
            self.fleet.start_gateway(f"g{GATEWAYS + n}")
        time.sleep(WINDOW_S)
        self.check_kept(limit, begin, time.monotonic())

    # An endpoint that is well again would get as little as it wanted in need.
    def test_limit_ends(self):
        for name, end in (("not stated any more", self.end_by_response),
                          ("a new process", self.end_by_new_process)):
            with self.subTest(name):
                before = len(self.fleet.arrivals())
                time.sleep(1)
                rate = len(self.fleet.arrivals()) - before
                self.fleet.state("0.2")
                time.sleep(CONTACT_S)
                end()
                self.fleet.platform.send_command()
                time.sleep(6)  # the next request of the limit shows it
                before = len(self.fleet.arrivals())
                time.sleep(2)
                self.assertGreater(len(self.fleet.arrivals()) - before, rate)

    def end_by_response(self):
        self.fleet.state()

    def end_by_new_process(self):
        self.fleet.state()
        self.fleet.platform.list_endpoint(LIMITED, born=7, sequence=1)

    # A value that is no limit must not keep requests from an endpoint.
    def test_values_that_are_no_limit(self):
        rows = [("-1",), ("nan",), ("inf",), ("1e99",), ("1,5",), ("",), ("9" * 400,), ("soon",), ("0.1", "0.2"),
                ("0x1",)]
        for row in rows:
            with self.subTest(row):
                self.fleet.state(*row)
                time.sleep(0.5)
                before = len(self.fleet.arrivals())
                time.sleep(1)
                self.assertGreater(len(self.fleet.arrivals()) - before, 10)

    # A request that no endpoint takes would wait for its deadline.
    def test_all_endpoints_state_a_limit(self):
        for it in [LIMITED] + OTHERS:
            self.fleet.state("0.5", name=it)
        time.sleep(CONTACT_S)
        gateway = self.fleet.gateways["g0"]
        calls = []
        for n in range(10):
            begin = time.monotonic()
            response = gateway.call("/send/x", f"all{n}")
            calls.append((response.status, response.headers.get("Retry-After"),
                          time.monotonic() - begin))
        refused = [it for it in calls if it[0] == 503]
        self.assertGreater(len(refused), 0)
        for _, retry_after, duration_s in refused:
            self.assertGreater(float(retry_after), 0)
            self.assertLess(duration_s, PROMPT_S)


if __name__ == "__main__":
    unittest.main()
