#!/usr/bin/env python3
"""Endpoints that refuse a request with 503 and Retry-After: they want nothing for so long."""
import concurrent.futures
import threading
import time
import unittest

from gateway_environment import Environment

BUSY, OTHER = "w1", "w2"
HOLD_S = 1.5
MAX_DELAY_SHARE = 0.25  # the gateway may add to the time, so that instances come back one by one
AFTER_S = 0.5  # after the refusal; later requests count
MAX_REQUESTS = 2  # that may reach the endpoint from then until the end of the time
PROMPT_S = 0.5
SLOW_S = 0.8  # from the arrival of a request until its refusal


class RetryAfterTest(unittest.TestCase):
    def setUp(self):
        self.env = Environment()
        self.addCleanup(self.env.close)

    def arrivals(self, name=BUSY):
        return [it["at"] for it in self.env.send_command()["arrived"][name]]

    def refuse(self, retry_after, path="/send/x", **settings):
        """Lets the endpoint refuse one request; returns the response that its caller got."""
        self.env.send_command(worker=BUSY, set={"mode": "full", "arrived": [],
                                                "refusal": {"Retry-After": retry_after}, **settings})
        for n in range(100):
            response = self.env.call(path, f"refuse-{retry_after}-{n}",
                                     {"X-Prompt-Prefix": f"{n + 1:x}:600,bb:400"})
            if self.arrivals():
                self.env.send_command(worker=BUSY, set={"mode": "good"})
                return response
        return self.fail("no request reached the endpoint")

    def send_for(self, seconds, path="/send/x", pause=0.01):
        end = time.monotonic() + seconds
        statuses = []
        while time.monotonic() < end:
            statuses.append(self.env.call(path, f"later{time.monotonic()}").status)
            time.sleep(pause)
        return statuses

    # An endpoint that asked for a pause got as many requests as before.
    def test_no_requests_until_the_time_has_passed(self):
        for path in ("/send/x", "/read/x", "/chat/x", "/resume/x"):
            with self.subTest(path):
                self.refuse(str(HOLD_S), path)
                refused_at = self.arrivals()[-1]
                for later in ("/send/x", "/read/x"):
                    statuses = self.send_for(HOLD_S / 2, later)
                    self.assertEqual({200}, set(statuses))
                during = [it for it in self.arrivals()
                          if refused_at + AFTER_S < it < refused_at + HOLD_S]
                self.assertLessEqual(len(during), MAX_REQUESTS)
                self.env.wait(lambda: self.env.call("/send/x", f"back{time.monotonic()}").status
                              == 200 and self.arrivals()[-1] > refused_at + HOLD_S)

    def check_pause_is_kept(self, refused_at):
        self.send_for(HOLD_S)
        during = [it for it in self.arrivals()
                  if refused_at + AFTER_S < it < refused_at + HOLD_S]
        self.assertLessEqual(len(during), MAX_REQUESTS)

    def last_pause_at(self):
        """When the gateway last read that the endpoint asks for a pause."""
        times = [it["time_ms"] / 1000 for it in self.env.log_lines()
                 if it["change"] == "an endpoint asked for a pause" and it["endpoint"] == BUSY]
        return times[-1] - time.time() + time.monotonic()

    # The pause was noted for an entry that had been replaced while the request was under way.
    def test_entry_lapses_while_a_request_is_refused(self):
        slow = {"mode": "full", "refusal": {"Retry-After": str(HOLD_S)}, "refuse_after_s": SLOW_S}
        self.env.configure_workers(**slow)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            calls = [pool.submit(self.env.call, "/send/x", f"lapse{n}") for n in range(8)]
            self.env.wait(lambda: self.arrivals() and self.arrivals(OTHER))
            self.env.send_command(remove="servers/" + BUSY)
            self.env.wait_for_log_line(lambda it: it["change"] == "the entry of an endpoint was deleted")
            self.env.platform.list_endpoint(BUSY)
            for it in calls:
                it.result()
        self.env.configure_workers(mode="good", refuse_after_s=0)
        self.check_pause_is_kept(self.last_pause_at())

    # A refusal without a request id on a kept connection was taken for that of another request only.
    def test_refusal_without_an_id(self):
        for n in range(4):
            self.env.call("/send/x", f"kept{n}")
        self.refuse(str(HOLD_S), "/read/x", echoes_id=False)
        self.check_pause_is_kept(self.arrivals()[-1])

    # A value that is no duration, or that no endpoint can mean, must not block it for good.
    def test_values_that_ask_for_nothing(self):
        for it in ("0", "-5", "nan", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "9" * 400, ""):
            with self.subTest(it):
                self.refuse(it)
                before = len(self.arrivals())
                self.send_for(0.4)
                self.assertGreater(len(self.arrivals()), before)

    # The hold of one endpoint must not become that of its service.
    def test_requests_are_placed_elsewhere(self):
        response = self.refuse(str(HOLD_S), "/send/x")
        self.assertEqual(200, response.status)

    # A request that waits for its deadline although no endpoint wants it holds up its caller.
    def test_all_endpoints_refuse(self):
        self.env.configure_workers(mode="full", refusal={"Retry-After": str(HOLD_S)})
        for n in range(3):
            self.env.call("/send/x", f"all{n}")
        self.env.configure_workers(mode="good")
        arrived = len(self.arrivals()) + len(self.arrivals(OTHER))
        begin = time.monotonic()
        response = self.env.call("/send/x", "told")
        self.assertEqual(503, response.status)
        self.assertLess(time.monotonic() - begin, PROMPT_S)
        retry_after = float(response.headers["Retry-After"])
        self.assertTrue(0 < retry_after <= HOLD_S * (1 + MAX_DELAY_SHARE), retry_after)
        self.assertEqual(arrived, len(self.arrivals()) + len(self.arrivals(OTHER)))
        time.sleep(retry_after)
        self.env.wait(lambda: self.env.call("/send/x", f"back{time.monotonic()}").status == 200)

    # All requests that came back at the same moment would fill the endpoint again.
    def test_end_of_the_time_brings_no_burst(self):
        self.refuse(str(HOLD_S))
        refused_at = self.arrivals()[-1]
        self.env.send_command(worker=OTHER, set={"mode": "full", "refusal": {}})
        self.env.send_command(worker=BUSY, set={"run_s": 0.3})
        stop = threading.Event()

        def send(n):
            while not stop.wait(0.02):
                self.env.call("/send/x", f"burst{n}-{time.monotonic()}")

        with concurrent.futures.ThreadPoolExecutor(20) as pool:
            for n in range(20):
                pool.submit(send, n)
            time.sleep(HOLD_S + 1.5)
            stop.set()
        later = [it for it in self.arrivals() if it > refused_at + HOLD_S]
        self.assertGreater(len(later), 1)
        self.assertLessEqual(sum(it < later[0] + 0.25 for it in later), 1)

    # 503 tells the caller that the request did not run and may be sent again; without the endpoint's
    # statement it may have run.
    def test_unproved_refusal_of_work_that_must_not_repeat(self):
        rows = [("/send/x", False, 502), ("/chat/x", False, 502), ("/read/x", False, 503),
                ("/send/x", True, 503), ("/chat/x", True, 503)]
        for path, states_not_run, status in rows:
            with self.subTest(path=path, states_not_run=states_not_run):
                self.env.configure_workers(mode="full", refusal={"Retry-After": "0"},
                                           states_not_run=states_not_run)
                response = self.env.call(path, f"unproved{path}{states_not_run}")
                self.assertEqual(status, response.status)


if __name__ == "__main__":
    unittest.main()
