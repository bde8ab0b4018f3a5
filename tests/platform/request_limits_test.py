#!/usr/bin/env python3
"""Sentences of the users' rules about single requests, each of which had no test that fails without it."""
import http.client
import json
import threading
import time
import unittest

from gateway_environment import ROUTES, Environment, Platform, configuration

ENDPOINTS = ["w1", "w2", "w3", "w4"]
ROUTE_TIMEOUT_S = 1.0  # of /read/ and /send/
MARGIN_S = 0.5
GONE_S = 0.5
TOKENS = 1050  # of a request to a model, at its most
STREAM_HEAD = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")


class RequestLimitsTest(unittest.TestCase):
    def start(self, **config):
        self.platform = Platform({it: "v1" for it in ENDPOINTS})
        self.addCleanup(self.platform.close)
        self.platform.send_command(put="op/config", value=configuration(8, **config))
        return self.start_gateway("g1")

    def start_gateway(self, name):
        out = Environment(platform=self.platform, name=name)
        self.addCleanup(out.close)
        out.wait_for_log_line(lambda it: it.get("version") == "8")
        return out

    def arrived(self, attempt):
        arrived = self.platform.send_command()["arrived"]
        return [it for name in arrived for it in arrived[name] if it["attempt"] == attempt]

    # Callers of a route that needs no key were asked for one.
    def test_route_without_keys(self):
        routes = [it | {"allow-anonymous": it["name"] == "read"} for it in ROUTES]
        env = self.start(routes=routes)
        for key in (None, "unknown"):
            self.assertEqual(200, env.call("/read/x", f"open-{key}", {"X-Credential": key}).status)
            self.assertEqual(401, env.call("/send/x", f"shut-{key}", {"X-Credential": key}).status)

    # An instance that knows no configuration must not say that a route does not exist.
    def test_no_configuration_yet(self):
        platform = Platform({"w1": "v1"})
        self.addCleanup(platform.close)
        platform.send_command(remove="op/config")
        env = Environment(platform=platform, start_gateway=False)
        self.addCleanup(env.close)
        waiting = threading.Thread(target=env.start)
        waiting.start()
        env.wait(lambda: env.call("/send/x", "early").status > 0)
        response = env.call("/send/x", "early")
        self.assertEqual(503, response.status)
        self.assertIn("Retry-After", response.headers)
        platform.send_command(put="op/config", value=configuration())
        waiting.join()
        env.wait(lambda: env.call("/send/x", f"late{time.monotonic()}").status == 200)

    # A caller that reads several responses on a connection could not tell whose an error is.
    def test_errors_state_the_id(self):
        env = self.start()
        rows = [("/nowhere/x", {}, 404), ("/send/x", {"X-Credential": "unknown"}, 401),
                ("/chat/x", {"X-Token-Usage": "1000,999999"}, 402)]
        for path, headers, status in rows:
            response = env.call(path, f"error{status}", headers)
            self.assertEqual((status, f"error{status}"),
                             (response.status, response.headers["X-Attempt-Id"]))

    # A request was held for as long as its caller waited, beyond its route's timeout.
    def test_route_timeout(self):
        env = self.start()
        self.platform.configure_workers(mode="unresponsive")
        begin = time.monotonic()
        response = env.call("/send/x", "held", {"X-Deadline-Ms": "5000"})
        duration_s = time.monotonic() - begin
        self.assertEqual(504, response.status)
        self.assertTrue(ROUTE_TIMEOUT_S - MARGIN_S < duration_s < ROUTE_TIMEOUT_S + MARGIN_S)
        ran, = [it for it in self.platform.send_command()["executed"].values() if it]
        self.assertLessEqual(int(ran[0]["headers"]["X-Deadline-Ms"]), ROUTE_TIMEOUT_S * 1000)

    # More endpoints than the route allows got a request, or fewer than would have served it.
    def test_attempts_of_a_route(self):
        routes = [it | {"max-attempts": {"read": 3, "send": 1}.get(it["name"], 1)} for it in ROUTES]
        env = self.start(routes=routes)
        self.platform.configure_workers(mode="full")
        for path, attempts in (("/read/x", 3), ("/send/x", 1), ("/resume/x", 1)):
            for n in range(3):
                attempt = f"full{path}{n}"
                self.assertEqual(503, env.call(path, attempt).status)
                self.assertEqual(attempts, len(self.arrived(attempt)), path)

    # Refused requests used up what the organisation had paid for.
    def test_requests_that_did_not_run_are_free(self):
        env = self.start(prepaid=2 * TOKENS)
        self.platform.configure_workers(mode="full")
        for n in range(6):
            self.assertEqual(503, env.call("/chat/x", f"refused{n}").status)
        self.platform.configure_workers(mode="good")
        env.wait(lambda: env.call("/chat/x", f"served{time.monotonic()}").status == 200)

    # The next request on the connection was taken to be answered by bytes that belong to none.
    def test_bytes_behind_a_response(self):
        env = self.start()
        whole = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
                 "Content-Length: 2\r\n\r\nok")
        self.platform.configure_workers(mode="raw", raw=whole + "HTTP/1.1 200 OK\r\n", raw_end="hold")
        for n in range(12):
            response = env.call("/send/x", f"behind{n}")
            self.assertEqual((200, b"ok"), (response.status, response.body), n)

    # An endpoint went on working for a caller that had left.
    def test_endpoint_stops_when_the_caller_leaves(self):
        env = self.start(prepaid=10 ** 9)
        self.platform.configure_workers(mode="raw", raw=STREAM_HEAD, raw_end="endless",
                                        raw_repeat="d\r\ndata: token\n\n\r\n")
        response = env.open_call("/resume/x", "left", {"X-Token-Usage": "1000,1000000"})
        response.read1()
        response.close()
        begin = time.monotonic()
        env.wait(lambda: sum(it for _, it in self.platform.send_command()["endless"].values()) == 1)
        self.assertLess(time.monotonic() - begin, GONE_S)

    # Work that must not repeat was cut when its caller left, and nobody knows whether it ran.
    def test_work_that_must_not_repeat_outlives_its_caller(self):
        env = self.start()
        self.platform.configure_workers(run_s=0.4)
        connection = http.client.HTTPConnection("127.0.0.1", env.caller, timeout=5)
        connection.request("POST", "/send/x", b"hello", {
            "Host": "h.example", "X-Attempt-Id": "outlives", "X-Credential": "k1"})
        env.wait(lambda: self.arrived("outlives"))
        connection.close()
        env.wait_for_log_line(lambda it: it.get("request") == "outlives"
                              and it["change"] == "request ended")
        line, = [it for it in env.log_lines() if it.get("request") == "outlives"]
        self.assertEqual("done", line["end"])

    # Callers were sent to an instance that was about to end.
    def test_instance_that_leaves_is_not_offered(self):
        first = self.start()
        second = self.start_gateway("g2")

        def offered():
            return json.loads(second.get(second.directory, "/resolve?zone=a").body)["addresses"]

        address = f"127.0.0.1:{first.caller}"
        second.wait(lambda: address in offered())
        first.gateway.terminate()
        begin = time.monotonic()
        second.wait(lambda: address not in offered())
        self.assertLess(time.monotonic() - begin, 1)
        self.assertIsNone(first.gateway.poll(), "it still serves those that have its address")


if __name__ == "__main__":
    unittest.main()
