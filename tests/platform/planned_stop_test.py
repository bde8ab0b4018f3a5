#!/usr/bin/env python3
"""Requests before and after the SIGTERM of a gateway, on kept and on new connections, in each part of the grace."""
import concurrent.futures
import http.client
import time
import unittest

from gateway_environment import ROUTES, Environment, configuration

GRACE_S = 4
LATE_S = 0.3  # after SIGTERM, within the time in which requests are still accepted
REFUSING_S = 2  # after SIGTERM, when all requests are refused
LONG_MS = 8000  # more than the grace
PROMPT_S = 0.5
SLOW_ROUTES = [it | {"name": it["name"] + "-slow", "prefix": it["prefix"][:-1] + "-slow/", "timeout-ms": LONG_MS}
               for it in ROUTES]


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        self.env = Environment(start_gateway=False, leave_time_s=GRACE_S, address_life_s=10)
        self.addCleanup(self.env.close)
        self.env.send_command(put="op/config", value=configuration(8, routes=ROUTES + SLOW_ROUTES))
        self.env.start()
        self.env.wait(lambda: self.env.call("/read-slow/x", "warm-up").status == 200)
        self.pool = concurrent.futures.ThreadPoolExecutor(20)
        self.addCleanup(self.pool.shutdown)

    def start_call(self, path, attempt, deadline_ms=LONG_MS, connection=None):
        return self.pool.submit(self.env.call, path, attempt, {"X-Deadline-Ms": str(deadline_ms)},
                                connection=connection)

    def executed(self, attempt):
        return [it for it in self.env.executed_requests() if it["headers"]["X-Attempt-Id"] == attempt]

    # At the end of the grace, requests that were still running were cut without an answer.
    def test_running_requests_get_an_answer_at_the_end_of_the_grace(self):
        self.env.configure_workers(mode="unresponsive")
        paths = ("/send-slow/x", "/read-slow/x", "/chat-slow/x", "/resume-slow/x")
        calls = [self.start_call(it, f"running{n}") for n, it in enumerate(paths)]
        self.env.wait(lambda: all(self.executed(f"running{n}") for n in range(len(paths))))
        start = time.monotonic()
        self.env.gateway.terminate()
        for path, call in zip(paths, calls):
            with self.subTest(path):
                response = call.result()
                self.assertEqual((502, True), (response.status, response.is_complete))
                self.assertNotIn("Retry-After", response.headers)  # it may have run
        self.assertLess(time.monotonic() - start, GRACE_S)
        self.assertEqual(0, self.env.gateway.wait(GRACE_S))

    # A stream that is cut must not look complete.
    def test_running_stream_is_broken_off_at_the_end_of_the_grace(self):
        self.env.configure_workers(hold_after=2)
        call = self.start_call("/chat-slow/x", "stream")
        self.env.wait(lambda: self.executed("stream"))
        self.env.gateway.terminate()
        response = call.result()
        self.env.configure_workers(hold_after=0)
        self.assertEqual((200, False), (response.status, response.is_complete))
        self.assertEqual(2, response.body.count(b"id: "))

    # Requests that may not be repeated, with more time than was left of the grace, were passed on and cut.
    def test_late_requests_are_taken_only_if_they_end_in_time(self):
        self.env.configure_workers(mode="unresponsive")
        holder = self.start_call("/read-slow/x", "holder")  # the process has work until the end of the grace
        self.env.wait(lambda: self.executed("holder"))
        self.env.configure_workers(mode="good")
        rows = [  # path, deadline, seconds after SIGTERM, status
            ("/send-slow/x", LONG_MS, LATE_S, 503),
            ("/chat-slow/x", LONG_MS, LATE_S, 503),
            ("/send-slow/x", 1000, LATE_S, 200),
            ("/chat-slow/x", 1000, LATE_S, 200),
            ("/send/x", LONG_MS, LATE_S, 200),  # the timeout of its route ends in time
            ("/read-slow/x", LONG_MS, LATE_S, 200),
            ("/resume-slow/x", LONG_MS, LATE_S, 200),
            ("/send/x", 1000, REFUSING_S, 503),
            ("/read-slow/x", LONG_MS, REFUSING_S, 503),
        ]
        kept = [http.client.HTTPConnection("127.0.0.1", self.env.caller, timeout=8) for _ in rows]
        for n, it in enumerate(kept):
            self.assertEqual(200, self.env.call("/read/x", f"kept{n}", connection=it).status)
        start = time.monotonic()
        self.env.gateway.terminate()
        for n, (path, deadline_ms, after_s, status) in enumerate(rows):
            time.sleep(max(0, start + after_s - time.monotonic()))
            for kind, connection in (("kept", kept[n]), ("new", None)):
                with self.subTest(path=path, deadline_ms=deadline_ms, after_s=after_s, connection=kind):
                    attempt = f"{kind}-late{n}"
                    sent = time.monotonic()
                    response = self.start_call(path, attempt, deadline_ms, connection).result()
                    self.assertEqual((status, True), (response.status, response.is_complete))
                    self.assertLess(time.monotonic() - sent, PROMPT_S)
                    self.assertEqual(status == 200, bool(self.executed(attempt)))
                    self.assertEqual("close", response.headers["Connection"])
                    if status == 503:
                        self.assertIn("Retry-After", response.headers)
        self.assertEqual(502, holder.result().status)


if __name__ == "__main__":
    unittest.main(warnings="ignore")
