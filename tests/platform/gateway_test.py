#!/usr/bin/env python3
"""Runs the gateway program against the stand-in of the platform, as separate processes."""
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

from gateway_environment import (ADDRESS_LIFE_S, BUILD, WAIT_S, Environment, Response,
                                 configuration)

MAX_LATE_REQUESTS = 160  # at 50 ms each, more than a process takes to end


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.env = Environment()
        self.addCleanup(self.env.close)

    def event_ids(self, body):
        return [int(it.split()[1]) for it in body.decode().splitlines() if it.startswith("id:")]

    def test_stream(self):
        response = self.env.call("/chat/x", "a1")
        self.assertEqual((200, True), (response.status, response.is_complete))
        self.assertEqual([1, 2, 3, 4, 5], self.event_ids(response.body))
        self.assertEqual("sig-a1", response.headers["X-Server-Signature"])
        request = self.env.executed_requests()[0]
        self.assertEqual("hello", request["body"])
        self.assertEqual("org", request["headers"]["X-Tenant-Id"])
        self.assertNotIn("X-Credential", request["headers"])
        self.assertLessEqual(int(request["headers"]["X-Deadline-Ms"]), 3000)

    def test_statuses_that_the_gateway_sets(self):
        rows = [("/none/x", {}, 404), ("/chat/x", {"X-Credential": "wrong"}, 401),
                ("/chat/x", {"X-Credential": None}, 401),
                ("/chat/x", {"X-Token-Usage": "many"}, 400),
                ("/chat/x", {"X-Token-Usage": "990000,50"}, 402)]
        for n, (path, headers, status) in enumerate(rows):
            with self.subTest(path=path, headers=headers):
                response = self.env.call(path, f"s{n}", headers)
                self.assertEqual(status, response.status)
        self.assertEqual([], self.env.executed_requests())

    def test_token_counts_that_cannot_be_real(self):
        # The sum of both counts overflowed to a negative number: a budget was charged with it, and
        # all later requests of its organisation got 402 or 503.
        self.assertEqual(200, self.env.call("/chat/x", "before").status)
        for n, usage in enumerate(("9223372036854775807,9", "9,9223372036854775807",
                                   "1099511627777,1", "1,1099511627777", "-5,9")):
            with self.subTest(usage):
                response = self.env.call("/chat/x", f"t{n}", {"X-Token-Usage": usage})
                later = [self.env.call("/chat/x", f"later{n}-{k}").status for k in range(3)]
                self.assertEqual((400, [200] * 3), (response.status, later))
        self.assertEqual(16, len(self.env.executed_requests()))

    def test_non_idempotent_requests_are_not_retried(self):
        for mode, status in [("reset", 502), ("unsigned", 502), ("other-attempt", 502),
                             ("unresponsive", 504)]:
            with self.subTest(mode=mode):
                self.env.configure_workers(mode=mode, executed=[])
                response = self.env.call("/send/x", "u-" + mode)
                self.assertEqual(status, response.status)
                self.assertNotIn("Retry-After", response.headers)
                self.assertEqual(1, len(self.env.executed_requests()))
        self.env.configure_workers(mode="full", executed=[])
        response = self.env.call("/send/x", "u-full")
        self.assertEqual(503, response.status)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual([], self.env.executed_requests())

    def test_idempotent_requests_are_retried_on_another_endpoint(self):
        self.env.send_command(worker="w1", set={"mode": "reset"})
        for n in range(4):
            response = self.env.call("/read/x", f"r{n}", method="GET", body=None)
            self.assertEqual((200, b"whole response"), (response.status, response.body))

    def test_interrupted_stream(self):
        self.env.configure_workers(mode="breaks")
        response = self.env.call("/chat/x", "b1")
        self.assertFalse(response.is_complete)
        self.assertEqual([1, 2], self.event_ids(response.body))
        # On a resumable route, the gateway resumes the stream after event 2 on the other endpoint.
        # That endpoint breaks off at event 3 as well, and no attempt is left.
        first = self.env.call("/resume/x", "b2")
        self.assertFalse(first.is_complete)
        self.env.send_command(worker="w1", set={"mode": "good"})
        self.env.send_command(worker="w2", set={"mode": "good"})
        response = self.env.call("/resume/x", "b3")
        # The next request has the same prompt, so it should be placed on the same endpoint.
        preferred = "w1" if any(it["headers"]["X-Attempt-Id"] == "b3"
                                for it in self.env.send_command()["executed"]["w1"]) else "w2"
        self.env.send_command(worker=preferred, set={"mode": "breaks"})
        response = self.env.call("/resume/x", "b4")
        self.assertEqual((200, True), (response.status, response.is_complete))
        self.assertEqual([1, 2, 3, 4, 5], self.event_ids(response.body))
        self.assertEqual("sig-b4", response.headers["X-Server-Signature"])

    def test_caller_disconnects(self):
        self.env.configure_workers(hold_after=1)
        connection = socket.create_connection(("127.0.0.1", self.env.caller))
        connection.sendall(b"POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: g1\r\n"
                           b"X-Credential: k1\r\nX-Token-Usage: 10,2000\r\n"
                           b"X-Prompt-Prefix: aa:10\r\nContent-Length: 0\r\n\r\n")
        self.assertIn(b"200 OK", connection.recv(4096))
        connection.close()
        self.env.wait_for_log_line(lambda it: it.get("end") == "caller-left")
        line = [it for it in self.env.log_lines() if it.get("request") == "g1"][-1]
        self.assertLess(int(line["total_ms"]), 500)

    def test_request_of_caller_that_left_before_it_was_read(self):
        # After a pause, requests and the disconnects that followed them are read together. If a
        # request were dispatched before the disconnect is noticed, endpoints would work for nobody.
        for path in ("/chat/x", "/read/x"):
            self.env.call(path, "w" + path[1])  # leaves an idle connection to an endpoint
        self.env.configure_workers(executed=[])
        self.env.gateway.send_signal(signal.SIGSTOP)
        ids = []
        for n, path in enumerate(("/chat/x", "/read/x", "/chat/x", "/read/x")):
            ids.append(f"left{n}")
            connection = socket.create_connection(("127.0.0.1", self.env.caller))
            connection.sendall(f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
                               f"X-Attempt-Id: left{n}\r\nX-Credential: k1\r\n"
                               "X-Token-Usage: 10,20\r\nX-Prompt-Prefix: aa:10\r\n"
                               "Content-Length: 0\r\n\r\n".encode())
            connection.close()
        self.env.gateway.send_signal(signal.SIGCONT)
        for it in ids:
            self.env.wait_for_log_line(lambda line, it=it: line.get("request") == it)
        self.assertEqual([], self.env.executed_requests())

    def test_ambiguous_framing_is_rejected(self):
        rows = [b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                b"Content-Length: 99000000000\r\n\r\n"]
        for row in rows:
            with self.subTest(row=row):
                connection = socket.create_connection(("127.0.0.1", self.env.caller))
                connection.settimeout(3)
                connection.sendall(b"POST /send/x HTTP/1.1\r\nHost: h.example\r\n"
                                   b"X-Attempt-Id: f1\r\nX-Credential: k1\r\n" + row)
                data = b""
                while chunk := connection.recv(4096):
                    data += chunk
                self.assertRegex(data, rb"^HTTP/1.1 4(00|13)")
                self.assertIn(b"Connection: close", data)
                connection.close()
        self.assertEqual([], self.env.executed_requests())

    def test_configuration_changes(self):
        self.env.send_command(put="op/config", value=configuration(8, keys=("k2",)))
        self.env.wait(lambda: self.env.call("/send/x", "c1").status == 401)
        self.assertEqual(200, self.env.call("/send/x", "c2", {"X-Credential": "k2"}).status)
        # An older version and an invalid configuration have no effect.
        self.env.send_command(put="op/config", value=configuration(7))
        self.env.send_command(put="op/config", value={"version": "?"})
        for change in ("ignored a version that is not newer", "is invalid; keeping the active one"):
            self.env.wait_for_log_line(lambda it, change=change: change in it["change"])
        self.assertEqual(401, self.env.call("/send/x", "c3").status)
        # After the store has discarded its history, the gateway reads a new snapshot.
        self.env.send_command(put="op/config", value=configuration(9), forget_history=True)
        self.env.wait(lambda: self.env.call("/send/x", "c4").status == 200)

    def test_silent_watch_delays_a_version_by_less_than_the_bound(self):
        # A watch whose connection falls silent looks like one without changes. If it were noticed
        # later than instances have to be in touch again, a confirmed version would be in force late.
        bound_s = 3  # contact-ms of the small deployments
        self.env.send_command(silence_watches=True)
        started = time.monotonic()
        self.env.send_command(put="op/config", value=configuration(8, keys=("k2",)))
        self.env.wait(lambda: self.env.call("/send/x", "w1").status == 401)
        self.assertLess(time.monotonic() - started, bound_s)

    def test_draining_endpoint_gets_no_requests(self):
        self.env.platform.list_endpoint("w1", state="draining")
        self.env.send_command(put="servers/w3", value={"service": 4})
        self.env.wait_for_log_line(lambda it: it.get("endpoint") == "w1"
                                   and it.get("leaving") == "yes")
        self.env.wait_for_log_line(lambda it: "ignored an invalid endpoint entry" in it["change"])
        for n in range(6):
            self.assertEqual(200, self.env.call("/send/x", f"d{n}").status)
        self.assertEqual([], self.env.send_command()["executed"]["w1"])
        # An endpoint with another ID now serves the address of w2. It rejects requests that name w2
        # as the expected endpoint.
        self.env.send_command(worker="w2", set={"name": "w9"})
        response = self.env.call("/send/x", "d9")
        self.assertEqual(503, response.status)

    def test_store_outage(self):
        def count_writes_with_rights():
            return sum(it["change"] == "rights were written" and "granted=0" not in it["budgets"]
                       for it in self.env.log_lines())

        for mode in ("busy", "silent"):
            # Starts the outage only after another write has reported the usage and left the gateway
            # with granted rights, which cover the requests below.
            before = count_writes_with_rights()
            self.env.wait(lambda: count_writes_with_rights() > before)
            with self.subTest(mode=mode):
                self.env.send_command(store_mode=mode)
                for n in range(3):
                    self.assertEqual(200, self.env.call("/chat/x", f"o-{mode}{n}").status)
                    self.assertEqual(200, self.env.call("/send/x", f"p-{mode}{n}").status)
                self.env.send_command(store_mode="up")

    def test_budget_is_not_exceeded_after_kills(self):
        self.env.send_command(put="op/config", value=configuration(8, prepaid=20000))
        served = 0
        for n in range(4):
            self.env.wait(lambda: self.env.get(self.env.ready, "/readiness").status == 200)
            for k in range(8):
                served += self.env.call("/chat/x", f"k{n}-{k}").status == 200
            self.env.gateway.kill()
            self.env.gateway.wait()
            self.env.start()
        # Each served request uses 1,000 prompt tokens and 25 output tokens: 5 events of 5 tokens.
        self.assertLessEqual(served * 1025, 20000)
        self.assertGreaterEqual(served, 8)

    def test_graceful_shutdown(self):
        self.env.write_settings(address_life_s=1, leave_time_s=12)
        self.env.gateway.send_signal(signal.SIGHUP)
        self.env.wait_for_log_line(lambda it: it["change"] == "settings were reloaded")
        self.env.configure_workers(hold_after=1)
        connection = http.client.HTTPConnection("127.0.0.1", self.env.caller, timeout=8)
        connection.request("POST", "/chat/x", b"",
                           {"Host": "h.example", "X-Attempt-Id": "l1", "X-Credential": "k1",
                            "X-Token-Usage": "10,400", "X-Prompt-Prefix": "aa:10"})
        stream = connection.getresponse()
        self.env.gateway.send_signal(signal.SIGTERM)
        self.env.wait(lambda: self.env.get(self.env.ready, "/readiness").status == 503)
        self.assertEqual(503, self.env.get(self.env.directory, "/resolve?zone=a").status)
        late = self.env.call("/send/x", "l2")
        self.assertEqual((200, "close"), (late.status, late.headers["Connection"]))
        # After the accepting period new requests get 503, although the open stream keeps the
        # process running, so that callers with a cached address move on to another instance.
        self.env.wait(lambda: self.env.call("/send/x", "l3").status == 503)
        self.env.configure_workers(hold_after=0)
        response = Response(stream)
        self.assertEqual((True, 5), (response.is_complete, len(self.event_ids(response.body))))
        self.assertEqual(0, self.env.gateway.wait(timeout=WAIT_S))
        shards = [v for k, v in self.env.send_command()["items"].items() if "budget-shards" in k]
        budget = json.loads(shards[0])["budgets"]["org"]
        closed = budget["closed"]
        self.assertEqual(({}, 0), (budget["holders"], budget.get("separate", 0)))
        self.assertEqual(closed["spent"], closed["granted"] - closed.get("returned", 0))
        changes = [it["change"] for it in self.env.log_lines()]
        self.assertIn("shutting down", changes)
        self.assertEqual("stopped", changes[-1])

    def test_shutdown_during_store_outage(self):
        # A process that no request is open in gives back its budget and its lease last, which takes
        # long while the store is silent. Requests admitted meanwhile would be cut by its exit.
        self.env.configure_workers(mode="unresponsive")
        results = {}

        def send(path, attempt):
            try:
                response = self.env.call(path, attempt)
                results[attempt] = response.status if response.is_complete else None
            except (OSError, http.client.HTTPException):
                results[attempt] = None

        self.env.wait_for_log_line(lambda it: it["change"] == "rights were written"
                                   and "granted=0" not in it["budgets"])
        self.env.send_command(store_mode="silent")
        self.env.gateway.send_signal(signal.SIGTERM)
        time.sleep(3 * ADDRESS_LIFE_S + 0.1)
        threads = []
        while self.env.gateway.poll() is None and len(threads) < MAX_LATE_REQUESTS:
            path = "/read/x" if len(threads) % 2 else "/send/x"
            threads.append(threading.Thread(target=send, args=(path, f"o{len(threads)}")))
            threads[-1].start()
            time.sleep(0.05)
        for it in threads:
            it.join()
        self.assertEqual(0, self.env.gateway.wait(timeout=WAIT_S))
        executed = {it["headers"]["X-Attempt-Id"] for it in self.env.executed_requests()}
        self.assertEqual([], sorted(it for it in executed if results[it] is None))
        self.assertIn(503, results.values())

    def test_directory_metrics_and_reload(self):
        response = self.env.get(self.env.directory, "/resolve?name=h.example&region=r&zone=a")
        self.assertEqual([f"127.0.0.1:{self.env.caller}"], json.loads(response.body)["addresses"])
        self.env.call("/send/x", "m1")
        metrics = self.env.get(self.env.metrics, "/metrics").body.decode()
        self.assertIn('gentianloom_requests_total{status="200"} 1', metrics)
        self.assertIn("gentianloom_request_seconds_count 1", metrics)
        self.env.write_settings(address_life_s="soon")
        self.env.gateway.send_signal(signal.SIGHUP)
        self.env.wait_for_log_line(lambda it: "keeping the old ones" in it["change"])
        self.env.write_settings(address_life_s=2)
        self.env.gateway.send_signal(signal.SIGHUP)
        self.env.wait(lambda: b'"ttl-s":2.0' in
                        self.env.get(self.env.directory, "/resolve?zone=a").body)


class BadSettingsTest(unittest.TestCase):
    def test_errors_name_the_file_and_the_key(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "settings.json"
            for text, expected in [("{", "is not valid JSON"), ("{}", '"instance" is missing'),
                                   (None, "cannot read the file")]:
                if text is None:
                    file.unlink()
                else:
                    file.write_text(text)
                run = subprocess.run([str(BUILD / "bin" / "gentianloom-gateway"), str(file)],
                                     capture_output=True, text=True, timeout=10, check=False)
                self.assertEqual(2, run.returncode)
                self.assertIn(expected, run.stderr)
                self.assertIn(str(file), run.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
