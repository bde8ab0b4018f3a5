#!/usr/bin/env python3
"""Responses with status 421 of a raw endpoint, some of them to another request."""
import unittest

from gateway_environment import Environment, Platform

MISDIRECTED = "HTTP/1.1 421 Misdirected Request\r\n"
END = "Content-Length: 0\r\n\r\n"
OTHER_REQUEST = MISDIRECTED + "X-Attempt-Id: other\r\nX-Instance-Id: w9\r\n" + END
SAME_REQUEST = MISDIRECTED + "X-Attempt-Id: {attempt}\r\nX-Instance-Id: w9\r\n" + END
NO_REQUEST = MISDIRECTED + "X-Instance-Id: w9\r\n" + END


class MisdirectedResponseTest(unittest.TestCase):
    def setUp(self):
        self.env = Environment()
        self.addCleanup(self.env.close)

    def call_raw(self, path, name, raw):
        self.env.configure_workers(mode="raw", raw=raw, executed=[])
        return self.env.call(path, name)

    def failed_attempts(self, name):
        return [it for it in self.env.log_lines()
                if it["change"] == "attempt failed" and it["request"] == name]

    def test_response_to_another_request_proves_nothing(self):
        # A late 421 of another request was taken as proof that this one did not run, and an
        # at-most-once request reached a second endpoint.
        for n, more in enumerate(("", "X-Not-Executed: 1\r\n")):
            with self.subTest(more):
                raw = OTHER_REQUEST.replace(END, more + END)
                response = self.call_raw("/send/x", f"other{n}", raw)
                self.assertEqual((502, 1), (response.status, len(self.env.executed_requests())))
                self.assertNotIn("Retry-After", response.headers)

    def test_response_without_id_on_a_reused_connection_proves_nothing(self):
        # Nothing shows whether it is a late response to the request before.
        executed = {}
        for n in range(20):
            self.assertEqual(200, self.env.call("/read/x", f"before{n}").status)
            executed = self.env.send_command()["executed"]
            if all(executed.values()):
                break
        self.assertTrue(all(executed.values()))
        self.call_raw("/read/x", "reused", NO_REQUEST)
        attempts = self.failed_attempts("reused")
        self.assertEqual("no", attempts[0]["proved_not_run"])

    def test_response_to_this_request_proves_that_it_did_not_run(self):
        # The other endpoint must still be tried, also with a response without id to the first
        # request of a connection, which can be meant for no other.
        for raw in (SAME_REQUEST, NO_REQUEST):
            with self.subTest(raw):
                env, self.env = self.env, Environment()
                self.addCleanup(self.env.close)
                response = self.call_raw("/send/x", "same", raw)
                self.assertEqual((503, 2), (response.status, len(self.env.executed_requests())))
                self.assertIn("Retry-After", response.headers)
                self.env = env


class RepeatedRefusalTest(unittest.TestCase):
    # A refusal that was written once more was taken for that of the next request, which ran.
    def test_earlier_refusal_proves_nothing(self):
        for status in (408, 421, 429, 503):
            for echoes_id in (True, False):
                for path in ("/send/x", "/chat/x"):
                    with self.subTest(status=status, echoes_id=echoes_id, path=path):
                        self.check_at_most_once(path, status, echoes_id)

    def check_at_most_once(self, path, status, echoes_id):
        env = Environment()
        self.addCleanup(env.close)
        env.configure_workers(mode="refuses-again", refusal_status=status, echoes_id=echoes_id)
        repeated = 0  # refusals before the response to a request that ran
        for n in range(12):
            response = env.call(path, f"r{n}", {"X-Prompt-Prefix": f"{n + 1:x}:60,bb:40"})
            runs = [it for it in env.executed_requests() if it["headers"]["X-Attempt-Id"] == f"r{n}"]
            self.assertLessEqual(len(runs), 1, n)
            if response.status in (408, 421, 429, 503):
                self.assertEqual([], runs, n)
            repeated += len(runs) == 1 and response.status == 502
        # Without an id, or after a 421, the connection or the endpoint is not used again.
        if echoes_id and status != 421:
            self.assertGreater(repeated, 0)


class RetryAtTheSameEndpointTest(unittest.TestCase):
    # A refusal that was written once more was taken for that of the retry, which went over the same connection
    # with the same id, and ran: its caller was told that it had not run.
    def test_second_copy_of_a_refusal_is_not_that_of_the_retry(self):
        platform = Platform({"w1": "v1"})
        self.addCleanup(platform.close)
        env = Environment(platform=platform)
        self.addCleanup(env.close)
        env.configure_workers(mode="refuses-again", refusal_status=503, echoes_id=True)
        refused = 0
        for n in range(12):
            response = env.call("/send/x", f"r{n}")
            runs = [it for it in env.executed_requests() if it["headers"]["X-Attempt-Id"] == f"r{n}"]
            self.assertLessEqual(len(runs), 1, n)
            if response.status == 503:
                self.assertEqual([], runs, n)
                refused += 1
        self.assertGreater(refused, 0)

    # The same, where the caller itself sends its request again: that went over the connection of the first one.
    def test_second_copy_of_a_refusal_is_not_that_of_the_callers_own_retry(self):
        for path in ("/send/x", "/chat/x"):
            with self.subTest(path):
                platform = Platform({"w1": "v1"})
                self.addCleanup(platform.close)
                env = Environment(platform=platform)
                self.addCleanup(env.close)
                env.configure_workers(mode="refuses-again", refusal_status=503, echoes_id=True)
                statuses = [env.call(path, "again").status for _ in range(6)]
                self.assertEqual([503] * 6, statuses)  # the first request of each connection is refused
                self.assertEqual([], env.executed_requests())


if __name__ == "__main__":
    unittest.main()
