#!/usr/bin/env python3
"""Sentences of the users' rules about an instance and its callers, each of which had no test that fails without it."""
import itertools
import socket
import threading
import time
import unittest

from gateway_environment import Environment, Platform, Response

HEADER_TIMEOUT_S, IDLE_TIMEOUT_S, MARGIN_S = 1.0, 3.0, 0.5  # of the environment's configuration
HEAD = b"POST /send/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: slow\r\nX-Credential: k1\r\n"
STREAM = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
          "Content-Type: text/event-stream\r\n\r\n")
MODEL_HEADERS = {"X-Token-Usage": "1000,50", "X-Prompt-Prefix": "aa:600,bb:400"}
GRACE_S = 4
ACCEPTING_S = 0.5 * GRACE_S  # at most; the rest is for requests that are open
SETTINGS_S = 3  # until changed settings hold
LONG_BYTES, SLOW_READER_S = 8_000_000, 2.5  # within the time that an instance has to leave
RETRY_SLACK, REQUESTS, RETRY_SHARE = 4, 60, 0.2


class InstanceRulesTest(unittest.TestCase):
    def start(self, versions=None, **settings):
        self.platform = Platform(versions)
        self.addCleanup(self.platform.close)
        out = Environment(platform=self.platform, **settings)
        self.addCleanup(out.close)
        return out

    def connect(self, env):
        out = socket.create_connection(("127.0.0.1", env.caller), timeout=2 * IDLE_TIMEOUT_S)
        self.addCleanup(out.close)
        return out

    # Callers that sent nothing, or a head without an end, kept connections as long as they liked.
    def test_slow_callers(self):
        env = self.start()
        rows = [(b"", b"", IDLE_TIMEOUT_S),
                (HEAD, b"HTTP/1.1 408", HEADER_TIMEOUT_S),
                (HEAD + b"Content-Length: 5\r\n\r\nab", b"HTTP/1.1 408", IDLE_TIMEOUT_S)]
        for sent, expected, limit_s in rows:
            with self.subTest(sent):
                connection = self.connect(env)
                connection.sendall(sent)
                begin = time.monotonic()
                received = connection.recv(1000)
                duration_s = time.monotonic() - begin
                self.assertEqual(expected, received[:len(expected)])
                self.assertEqual(not expected, not received)
                self.assertTrue(limit_s - MARGIN_S < duration_s < limit_s + MARGIN_S, duration_s)

    # A head that arrives byte by byte is not finished in time either.
    def test_head_in_single_bytes(self):
        env = self.start()
        connection = self.connect(env)
        connection.sendall(HEAD + b"X-Slow: ")
        begin = time.monotonic()
        stop = threading.Event()

        def send():
            try:
                while not stop.wait(HEADER_TIMEOUT_S / 10):
                    connection.sendall(b"a")
            except OSError:
                pass  # closed

        sender = threading.Thread(target=send)
        sender.start()
        received = connection.recv(1000)
        duration_s = time.monotonic() - begin
        stop.set()
        sender.join()
        self.assertEqual(b"HTTP/1.1 408", received[:12])
        self.assertLess(duration_s, HEADER_TIMEOUT_S + MARGIN_S)

    def connections_after_a_pause(self, path, idle_timeout_s, pause_s):
        """Number of connections that two requests with a pause between them take."""
        env = self.start({"w1": "v1"})
        self.platform.configure_workers(idle_timeout_s=idle_timeout_s)
        self.assertEqual(200, env.call(path, "first").status)
        time.sleep(pause_s)
        self.assertEqual(200, env.call(path, "second").status)
        return self.platform.send_command()["connections"]["w1"]

    # Endpoints close idle connections: work that must not repeat was lost on them, others were retried.
    def test_idle_connections_of_endpoints(self):
        rows = [("/read/x", None, 1, 1), ("/send/x", None, 0.2, 1), ("/send/x", None, 1, 2),
                ("/read/x", 2, 0.5, 1), ("/read/x", 2, 1.8, 2), ("/read/x", 0, 0.1, 2)]
        for *row, connections in rows:
            with self.subTest(row):
                self.assertEqual(connections, self.connections_after_a_pause(*row))

    # The file may change without a signal; an instance kept its first settings.
    def test_settings_change_without_a_signal(self):
        env = self.start()
        env.write_settings(leave_time_s=7)
        begin = time.monotonic()
        env.wait_for_log_line(lambda it: it.get("leave_time_ms") == "7000")
        self.assertLess(time.monotonic() - begin, SETTINGS_S)

    # An instance was ready before it knew any endpoint, and refused its first callers.
    def test_not_ready_before_endpoints_are_read(self):
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        self.platform.send_command(slow_prefix="servers/")
        env = Environment(platform=self.platform, start_gateway=False)
        self.addCleanup(env.close)
        env.start()
        self.assertEqual(200, env.call("/send/x", "first").status)

    # Instances accepted requests for three times the life of addresses, however little time they had.
    def test_accepting_ends_within_the_grace_period(self):
        env = self.start(leave_time_s=GRACE_S, address_life_s=10)
        begin = time.monotonic()
        env.gateway.terminate()
        for n in itertools.count():
            if env.call("/send/x", f"leaving{n}").status == 503:
                break
            self.assertLess(time.monotonic() - begin, ACCEPTING_S + MARGIN_S)
            time.sleep(0.02)
        env.gateway.wait(GRACE_S + MARGIN_S)
        self.assertLess(time.monotonic() - begin, GRACE_S)

    # A response counted as given when it was queued, and the process ended with most of it unsent.
    def test_responses_are_sent_before_the_process_ends(self):
        env = self.start()
        head = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
                f"Content-Length: {LONG_BYTES}\r\n\r\n")
        self.platform.configure_workers(mode="raw", raw=head + "x" * LONG_BYTES)
        response = env.open_call("/read/x", "long")
        env.gateway.terminate()
        time.sleep(SLOW_READER_S)
        self.assertEqual(LONG_BYTES, len(Response(response).body))

    # While all endpoints refuse, each request was sent as often as its route allows.
    def test_retries_are_bounded(self):
        env = self.start({it: "v1" for it in ("w1", "w2", "w3")}, retry_slack=RETRY_SLACK,
                         retry_share=RETRY_SHARE)
        self.platform.configure_workers(mode="full")
        for n in range(REQUESTS):
            self.assertEqual(503, env.call("/read/x", f"refused{n}").status)
        arrived = sum(len(it) for it in self.platform.send_command()["arrived"].values())
        self.assertLessEqual(arrived, REQUESTS * (1 + RETRY_SHARE) + RETRY_SLACK)
        self.assertGreater(arrived, REQUESTS)

    # Endpoints bill by these headers and find cached prompts with them.
    def test_headers_of_models_are_unchanged(self):
        env = self.start()
        self.assertEqual(200, env.call("/chat/x", "model", MODEL_HEADERS).status)
        run, = self.platform.executed_requests()
        for name, value in MODEL_HEADERS.items():
            self.assertEqual(value, run["headers"][name])

    # An endpoint that begins a resumed stream anew made its caller read events twice.
    def test_no_event_twice_after_a_resume(self):
        env = self.start()
        self.platform.configure_workers(
            mode="raw", raw_end="reset",
            raw=STREAM + "".join(f"id: {n}\ndata: token {n}\n\n" for n in (1, 2, 3)))
        response = env.call("/resume/x", "resumed")
        arrived = sum(len(it) for it in self.platform.send_command()["arrived"].values())
        self.assertEqual(2, arrived)
        self.assertFalse(response.is_complete)
        events = [it for it in response.body.decode().splitlines() if it.startswith("id:")]
        self.assertEqual(["id: 1", "id: 2", "id: 3"], events)


if __name__ == "__main__":
    unittest.main()
