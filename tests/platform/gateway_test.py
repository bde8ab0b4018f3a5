#!/usr/bin/env python3
"""Runs the real gateway program against the stand-in of the platform, as separate processes.

Each case starts a fresh world. Ports are chosen by the system; only own processes are ended.
"""
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

HERE = pathlib.Path(__file__).resolve().parent
BUILD = pathlib.Path(os.environ.get("GENTIANLOOM_BUILD", HERE.parent.parent / "build"))
WAIT_S = 8

ROUTES = [
    {"name": "chat", "host": "h.example", "prefix": "/chat/", "kind": "streaming",
     "timeout-ms": 4000, "target-latency-ms": 300, "service": "pool", "max-attempts": 1,
     "session-affinity": True, "target-gap-ms": 200},
    {"name": "resume", "host": "h.example", "prefix": "/resume/", "kind": "streaming",
     "timeout-ms": 4000, "target-latency-ms": 300, "service": "pool", "max-attempts": 2,
     "session-affinity": True, "resumable": True, "target-gap-ms": 200},
    {"name": "send", "host": "h.example", "prefix": "/send/", "kind": "unsafe",
     "timeout-ms": 1000, "target-latency-ms": 150, "service": "pool", "max-attempts": 2},
    {"name": "read", "host": "h.example", "prefix": "/read/", "kind": "safe",
     "timeout-ms": 1000, "target-latency-ms": 150, "service": "pool", "max-attempts": 2},
]


def configuration(version=7, prepaid=100000, keys=("k1",), routes=None):
    return {"version": version, "routes": routes or ROUTES,
            "services": [{"name": "pool", "max-connections": 100,
                          "engine": {"slots": 8, "kv-capacity-tokens": 9000, "stride": 5}}],
            "limits": {"max-header-bytes": 4096, "max-body-bytes": 100000,
                       "header-timeout-ms": 1000, "idle-timeout-ms": 3000},
            "tenants": [{"name": "org", "api-keys": list(keys), "prepaid": prepaid}]}


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Answer:
    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        try:
            self.body = response.read()
            self.whole = True
        except (http.client.IncompleteRead, ConnectionError) as ex:
            self.body = getattr(ex, "partial", b"")
            self.whole = False


class World:
    """The stand-in and one gateway."""

    def __init__(self, start_gateway=True):
        self.standin = subprocess.Popen([sys.executable, str(HERE / "standin.py"), "w1", "w2"],
                                        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.addresses = json.loads(self.standin.stdout.readline())
        self.order(put="op/config", value=configuration())
        for name, address in self.addresses["workers"].items():
            self.order(put="servers/" + name, value=self.entry(address))
        self.caller, ready, directory, metrics = free_ports(4)
        self.ready, self.directory, self.metrics = ready, directory, metrics
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "settings.json"
        self.write_settings()
        self.gateway = None
        if start_gateway:
            self.start()

    def write_settings(self, **more):
        text = {"instance": "g1", "availability_zone": "a", "leave_time_s": 4,
                "caller_address": f"127.0.0.1:{self.caller}",
                "readiness_address": f"127.0.0.1:{self.ready}",
                "directory_address": f"127.0.0.1:{self.directory}",
                "metrics_address": f"127.0.0.1:{self.metrics}",
                "address_life_s": 0.2, "retry_slack": 400, "store_address": self.addresses["store"], **more}
        self.settings.write_text(json.dumps(text))

    def start(self):
        self.log = open(pathlib.Path(self.folder.name) / "log.txt", "a+")
        self.gateway = subprocess.Popen([str(BUILD / "bin" / "gentianloom-gateway"),
                                         str(self.settings)], stdout=self.log)
        self.wait(lambda: self.get(self.ready, "/readiness").status == 200)

    @staticmethod
    def entry(address, state="ready"):
        return {"service": "pool", "address": address, "zone": "a", "slots": 8, "state": state}

    @staticmethod
    def wait(condition):
        end = time.monotonic() + WAIT_S
        while True:
            try:
                if condition():
                    return
            except OSError:
                pass
            if time.monotonic() > end:
                raise AssertionError("not in time")
            time.sleep(0.02)

    def order(self, **order):
        link = http.client.HTTPConnection(self.addresses["control"], timeout=5)
        link.request("POST", "/", json.dumps(order))
        return json.loads(link.getresponse().read())

    def workers(self, **changes):
        for name in self.addresses["workers"]:
            self.order(worker=name, set=changes)

    def seen(self):
        seen = self.order()["seen"]
        return [it for name in seen for it in seen[name]]

    @staticmethod
    def get(port, path):
        link = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        link.request("GET", path)
        return Answer(link.getresponse())

    def call(self, path, attempt, headers=None, method="POST", body=b"hello", link=None):
        link = link or http.client.HTTPConnection("127.0.0.1", self.caller, timeout=8)
        fields = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Credential": "k1",
                  "X-Deadline-Ms": "3000"}
        if path.startswith(("/chat", "/resume")):
            fields |= {"X-Token-Usage": "1000,50", "X-Prompt-Prefix": "aa:600,bb:400"}
        fields |= headers or {}
        link.request(method, path, body, {k: v for k, v in fields.items() if v is not None})
        return Answer(link.getresponse())

    def lines(self):
        self.log.flush()
        path = pathlib.Path(self.folder.name) / "log.txt"
        return [json.loads(it) for it in path.read_text().splitlines()]

    def wait_for_line(self, condition):
        self.wait(lambda: any(condition(it) for it in self.lines()))

    def close(self):
        if self.gateway and self.gateway.poll() is None:
            self.gateway.kill()
            self.gateway.wait()
        self.standin.stdin.close()
        self.standin.wait()
        self.standin.stdout.close()
        if self.gateway:
            self.log.close()
        self.folder.cleanup()


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.addCleanup(self.world.close)

    def ids(self, body):
        return [int(it.split()[1]) for it in body.decode().splitlines() if it.startswith("id:")]

    def test_stream(self):
        answer = self.world.call("/chat/x", "a1")
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual([1, 2, 3, 4, 5], self.ids(answer.body))
        self.assertEqual("sig-a1", answer.headers["X-Server-Signature"])
        seen = self.world.seen()[0]
        self.assertEqual("hello", seen["body"])
        self.assertEqual("org", seen["headers"]["X-Tenant-Id"])
        self.assertNotIn("X-Credential", seen["headers"])
        self.assertLessEqual(int(seen["headers"]["X-Deadline-Ms"]), 3000)

    def test_statuses_of_its_own(self):
        rows = [("/none/x", {}, 404), ("/chat/x", {"X-Credential": "wrong"}, 401),
                ("/chat/x", {"X-Credential": None}, 401),
                ("/chat/x", {"X-Token-Usage": "many"}, 400),
                ("/chat/x", {"X-Token-Usage": "990000,50"}, 402)]
        for n, (path, headers, status) in enumerate(rows):
            with self.subTest(path=path, headers=headers):
                answer = self.world.call(path, f"s{n}", headers)
                self.assertEqual(status, answer.status)
        self.assertEqual([], self.world.seen())

    def test_work_that_must_not_repeat(self):
        for mode, status in [("reset", 502), ("unproved", 502), ("foreign", 502), ("mute", 504)]:
            with self.subTest(mode=mode):
                self.world.workers(mode=mode, seen=[])
                answer = self.world.call("/send/x", "u-" + mode)
                self.assertEqual(status, answer.status)
                self.assertNotIn("Retry-After", answer.headers)
                self.assertEqual(1, len(self.world.seen()))
        self.world.workers(mode="full", seen=[])
        answer = self.world.call("/send/x", "u-full")
        self.assertEqual(503, answer.status)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual([], self.world.seen())

    def test_idempotent_work_is_tried_elsewhere(self):
        self.world.order(worker="w1", set={"mode": "reset"})
        for n in range(4):
            answer = self.world.call("/read/x", f"r{n}", method="GET", body=None)
            self.assertEqual((200, b"whole answer"), (answer.status, answer.body))

    def test_broken_stream(self):
        self.world.workers(mode="breaks")
        answer = self.world.call("/chat/x", "b1")
        self.assertFalse(answer.whole)
        self.assertEqual([1, 2], self.ids(answer.body))
        # Where the route allows it, another worker goes on where the first one broke.
        first = self.world.call("/resume/x", "b2")
        self.assertFalse(first.whole)
        self.world.order(worker="w1", set={"mode": "good"})
        self.world.order(worker="w2", set={"mode": "good"})
        answer = self.world.call("/resume/x", "b3")
        holder = "w1" if any(it["headers"]["X-Attempt-Id"] == "b3"
                             for it in self.world.order()["seen"]["w1"]) else "w2"
        self.world.order(worker=holder, set={"mode": "breaks"})
        answer = self.world.call("/resume/x", "b4")
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual([1, 2, 3, 4, 5], self.ids(answer.body))
        self.assertEqual("sig-b4", answer.headers["X-Server-Signature"])

    def test_caller_leaves(self):
        self.world.workers(hold_after=1)
        link = socket.create_connection(("127.0.0.1", self.world.caller))
        link.sendall(b"POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: g1\r\n"
                     b"X-Credential: k1\r\nX-Token-Usage: 10,2000\r\nX-Prompt-Prefix: aa:10\r\n"
                     b"Content-Length: 0\r\n\r\n")
        self.assertIn(b"200 OK", link.recv(4096))
        link.close()
        self.world.wait_for_line(lambda it: it.get("end") == "caller-left")
        line = [it for it in self.world.lines() if it.get("request") == "g1"][-1]
        self.assertLess(int(line["total_ms"]), 500)

    def test_framing_that_two_readers_could_understand_differently(self):
        rows = [b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                b"Content-Length: 99000000000\r\n\r\n"]
        for row in rows:
            with self.subTest(row=row):
                link = socket.create_connection(("127.0.0.1", self.world.caller))
                link.settimeout(3)
                link.sendall(b"POST /send/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: f1\r\n"
                             b"X-Credential: k1\r\n" + row)
                data = b""
                while chunk := link.recv(4096):
                    data += chunk
                self.assertRegex(data, rb"^HTTP/1.1 4(00|13)")
                self.assertIn(b"Connection: close", data)
                link.close()
        self.assertEqual([], self.world.seen())

    def test_configuration_changes(self):
        self.world.order(put="op/config", value=configuration(8, keys=("k2",)))
        self.world.wait(lambda: self.world.call("/send/x", "c1").status == 401)
        self.assertEqual(200, self.world.call("/send/x", "c2", {"X-Credential": "k2"}).status)
        # An older version and one that cannot be read change nothing.
        self.world.order(put="op/config", value=configuration(7))
        self.world.order(put="op/config", value={"version": "?"})
        for change in ("not newer was passed over", "cannot be read; the one in force stays"):
            self.world.wait_for_line(lambda it, change=change: change in it["change"])
        self.assertEqual(401, self.world.call("/send/x", "c3").status)
        # The history is gone: everything is read again.
        self.world.order(put="op/config", value=configuration(9), forget_history=True)
        self.world.wait(lambda: self.world.call("/send/x", "c4").status == 200)

    def test_leaving_endpoint_gets_nothing(self):
        address = self.world.addresses["workers"]["w1"]
        self.world.order(put="servers/w1", value=self.world.entry(address, "draining"))
        self.world.order(put="servers/w3", value={"service": 4})
        self.world.wait_for_line(lambda it: it.get("endpoint") == "w1" and it.get("leaving") == "yes")
        self.world.wait_for_line(lambda it: "names no endpoint" in it["change"])
        for n in range(6):
            self.assertEqual(200, self.world.call("/send/x", f"d{n}").status)
        self.assertEqual([], self.world.order()["seen"]["w1"])
        # Another worker has the address: it does not run what was meant for the first.
        self.world.order(worker="w2", set={"name": "w9"})
        answer = self.world.call("/send/x", "d9")
        self.assertEqual(503, answer.status)

    def test_outage_of_the_store(self):
        def written():
            return sum(it["change"] == "rights were written" and "granted=0" not in it["budgets"]
                       for it in self.world.lines())

        for mode in ("busy", "silent"):
            # The outage begins once rights were drawn and their use was reported.
            before = written()
            self.world.wait(lambda: written() > before)
            with self.subTest(mode=mode):
                self.world.order(store_mode=mode)
                for n in range(3):
                    self.assertEqual(200, self.world.call("/chat/x", f"o-{mode}{n}").status)
                    self.assertEqual(200, self.world.call("/send/x", f"p-{mode}{n}").status)
                self.world.order(store_mode="up")

    def test_budget_over_kills(self):
        self.world.order(put="op/config", value=configuration(8, prepaid=20000))
        served = 0
        for n in range(4):
            self.world.wait(lambda: self.world.get(self.world.ready, "/readiness").status == 200)
            for k in range(8):
                served += self.world.call("/chat/x", f"k{n}-{k}").status == 200
            self.world.gateway.kill()
            self.world.gateway.wait()
            self.world.start()
        # Each served request has used 1,000 tokens of its prompt and 25 of its answer.
        self.assertLessEqual(served * 1025, 20000)
        self.assertGreaterEqual(served, 8)

    def test_leaving(self):
        self.world.write_settings(address_life_s=1, leave_time_s=12)
        self.world.gateway.send_signal(signal.SIGHUP)
        self.world.wait_for_line(lambda it: it["change"] == "settings were read again")
        self.world.workers(hold_after=1)
        link = http.client.HTTPConnection("127.0.0.1", self.world.caller, timeout=8)
        link.request("POST", "/chat/x", b"", {"Host": "h.example", "X-Attempt-Id": "l1",
                                              "X-Credential": "k1", "X-Token-Usage": "10,400",
                                              "X-Prompt-Prefix": "aa:10"})
        response = link.getresponse()
        self.world.gateway.send_signal(signal.SIGTERM)
        self.world.wait(lambda: self.world.get(self.world.ready, "/readiness").status == 503)
        self.assertEqual(503, self.world.get(self.world.directory, "/resolve?zone=a").status)
        late = self.world.call("/send/x", "l2")
        self.assertEqual((200, "close"), (late.status, late.headers["Connection"]))
        # Callers with an old address are turned away in time to be served elsewhere.
        self.world.wait(lambda: self.world.call("/send/x", "l3").status == 503)
        self.world.workers(hold_after=0)
        answer = Answer(response)
        self.assertEqual((True, 5), (answer.whole, len(self.ids(answer.body))))
        self.assertEqual(0, self.world.gateway.wait(timeout=WAIT_S))
        shards = [v for k, v in self.world.order()["items"].items() if "budget-shards" in k]
        self.assertEqual({}, json.loads(shards[0])["budgets"]["org"]["holders"])
        changes = [it["change"] for it in self.world.lines()]
        self.assertIn("leaving", changes)
        self.assertEqual("stopped", changes[-1])

    def test_directory_metrics_and_reload(self):
        answer = self.world.get(self.world.directory, "/resolve?name=h.example&region=r&zone=a")
        self.assertEqual([f"127.0.0.1:{self.world.caller}"], json.loads(answer.body)["addresses"])
        self.world.call("/send/x", "m1")
        metrics = self.world.get(self.world.metrics, "/metrics").body.decode()
        self.assertIn('gentianloom_requests_total{status="200"} 1', metrics)
        self.assertIn("gentianloom_request_seconds_count 1", metrics)
        self.world.write_settings(address_life_s="soon")
        self.world.gateway.send_signal(signal.SIGHUP)
        self.world.wait_for_line(lambda it: "old ones stay" in it["change"])
        self.world.write_settings(address_life_s=2)
        self.world.gateway.send_signal(signal.SIGHUP)
        self.world.wait(lambda: b'"ttl-s":2.0' in
                        self.world.get(self.world.directory, "/resolve?zone=a").body)


class BadSettingsTest(unittest.TestCase):
    def test_errors_name_place_and_key(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "settings.json"
            for text, expected in [("{", "is no JSON"), ("{}", '"instance" is missing'),
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
