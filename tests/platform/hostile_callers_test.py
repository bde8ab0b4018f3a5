#!/usr/bin/env python3
"""Hostile callers: clients that make a gateway hold memory or descriptors until its machine has none left.

Each class is one way to do so, with the limits of the gateway lowered so that few clients suffice. It checks that
the process lives, that its memory and open descriptors stay under a bound, and that ordinary requests are answered
while the clients are still connected. Nothing depends on the speed of the machine. The crowds and the bounds were
fixed on the code without limits on what callers make a process hold; each class failed on it.
"""
import pathlib
import resource
import select
import socket
import time
import unittest

from gateway_environment import Environment, Platform, configuration

# A gateway without callers takes some 15 MB; without an account each crowd below takes it over this.
MEMORY_MB = 32
# Descriptors of a gateway without callers, its endpoints and the store are some 25.
MAX_FDS = 120
BODY_BYTES = 1 << 20  # largest body
HEAD_BYTES = 16384  # largest head
SHORT_BYTES = 16  # that a body stops before its end
SERVICE_BODY_BYTES = 60000  # of a request to an address that needs no body
SEND_S = 10  # longest time for which a crowd sends
STEP_S = 0.02
SMALL_BUFFER_BYTES = 4096
IDLE_S = 0.25
IDLE_TICKS = 5  # of 10 ms, that an idle gateway uses from time to time
ORDINARY_S = 6  # an ordinary request may be refused (503, it did not run) for so long while load is shed


def memory_mb(pid, name):
    with open(f"/proc/{pid}/status") as status:
        line, = [it for it in status if it.startswith(name + ":")]
    return int(line.split()[1]) / 1024


def open_descriptors(pid):
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def wait_until_idle(pid):
    """Waits until a process has read what was sent to it: it uses no more memory, descriptors or time."""
    end = time.monotonic() + SEND_S
    before = None
    while time.monotonic() < end:
        ticks = sum(int(it) for it in pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()[11:13])
        now = (memory_mb(pid, "VmRSS"), open_descriptors(pid), ticks // IDLE_TICKS)
        if now == before:
            return
        before = now
        time.sleep(IDLE_S)


class Client:
    """A connection with a queue of bytes, of which as many are sent as the gateway takes."""

    def __init__(self, port, buffer_bytes=None):
        self.socket = socket.socket()
        if buffer_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.socket.settimeout(5)
        self.is_open = True
        self.queue = memoryview(b"")
        try:
            self.socket.connect(("127.0.0.1", port))
        except OSError:
            self.is_open = False
        self.socket.setblocking(False)

    def send_some(self):
        """Returns whether bytes are left that may still be taken."""
        try:
            while self.is_open and self.queue:
                self.queue = self.queue[self.socket.send(self.queue):]
        except BlockingIOError:
            pass
        except OSError:
            self.is_open = False  # closed by the gateway, which it may do
        return self.is_open and len(self.queue) > 0

    def wait_for_bytes(self):
        select.select([self.socket], [], [], SEND_S)


def send_all(clients):
    """Sends what is queued, as far as the gateway takes it."""
    end = time.monotonic() + SEND_S
    left = list(clients)
    while left and time.monotonic() < end:
        left = [it for it in left if it.send_some()]
        if left:
            select.select([], [it.socket for it in left], [], STEP_S)


def send_in_pieces(clients, data, size):
    """Sends the same bytes on each connection, a piece on each in turn."""
    end = time.monotonic() + SEND_S
    for begin in range(0, len(data), size):
        for it in clients:
            it.queue = memoryview(bytes(it.queue) + data[begin:begin + size])
            it.send_some()
        if time.monotonic() > end:
            break
    send_all(clients)


def request_head(path, *fields, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", "X-Credential: k1", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunks(body_bytes, size):
    one = b"%x\r\n" % size + b"x" * size + b"\r\n"
    return one * (body_bytes // size)


class HostileCallersTest(unittest.TestCase):
    worker = {}
    prepaid = 100_000
    cached_tokens = 9_000  # of each endpoint
    limits = {"max-header-bytes": HEAD_BYTES, "max-body-bytes": BODY_BYTES,
              "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

    def setUp(self):
        self.clients = []
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        config = configuration(8, prepaid=self.prepaid)
        config["limits"] = self.limits
        config["services"][0]["engine"]["kv-capacity-tokens"] = self.cached_tokens
        self.platform.send_command(put="op/config", value=config)
        self.platform.configure_workers(**self.worker)

    def start(self, max_fds=MAX_FDS):
        """A new gateway, so that each row of a test begins with the memory of an idle one."""
        env = Environment(platform=self.platform, memory_mb=str(MEMORY_MB), max_fds=str(max_fds))
        self.addCleanup(env.close)
        self.addCleanup(self.disconnect)
        env.wait_for_log_line(lambda it: it.get("version") == "8")
        return env

    def connect(self, port, count, buffer_bytes=None):
        out = [Client(port, buffer_bytes) for _ in range(count)]
        self.clients += out
        return out

    def disconnect(self):
        for it in self.clients:
            it.socket.close()
        self.clients = []

    def check(self, env, way):
        """The sentences that hold for each crowd, which is still connected."""
        pid = env.gateway.pid
        self.assertIsNone(env.gateway.poll(), f"{way}: the gateway has ended")
        wait_until_idle(pid)
        self.assert_ordinary_request(env, way)
        open_fds = open_descriptors(pid)
        peak, now = memory_mb(pid, "VmHWM"), memory_mb(pid, "VmRSS")
        print(f"{way}: VmHWM {peak:.1f} MB, VmRSS {now:.1f} MB, descriptors {open_fds}", flush=True)
        self.assertLess(peak, MEMORY_MB, f"{way}: VmHWM in MB")
        self.assertLess(now, MEMORY_MB, f"{way}: VmRSS in MB")
        self.assertLessEqual(open_fds, MAX_FDS, f"{way}: open descriptors")
        self.disconnect()
        env.kill()

    def assert_ordinary_request(self, env, way):
        self.platform.configure_workers(mode="good", run_s=0)
        end = time.monotonic() + ORDINARY_S
        seen = []
        while time.monotonic() < end:
            try:
                seen.append(env.call("/send/x", f"ordinary{len(seen)}").status)
            except OSError as ex:
                seen.append(repr(ex))
            if seen[-1] == 200:
                break
            time.sleep(0.1)
        self.assertEqual(200, seen[-1], f"{way}: ordinary requests: {seen}")
        for port, path in ((env.ready, "/readiness"), (env.directory, "/resolve?zone=a"),
                           (env.metrics, "/metrics")):
            self.assertEqual(200, env.get(port, path).status, f"{way}: {path}")

    def callers_ways(self):
        """Where the server of callers and the server of instances read requests, with and without a route."""
        return (("caller", "caller", "/send/x"), ("no route", "caller", "/nowhere/x"),
                ("peer", "peer", "/send/x"))

    def service_ways(self):
        return (("readiness", "ready", "/readiness"), ("directory", "directory", "/resolve?zone=a"),
                ("metrics", "metrics", "/metrics"))


# Bodies that stop just short of their end are held until a timeout, as many as there are callers.
class StalledBodiesTest(HostileCallersTest):
    def test(self):
        for way, address, path in self.callers_ways():
            with self.subTest(way):
                env = self.start()
                data = request_head(path, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - SHORT_BYTES)
                crowd = self.connect(getattr(env, address), 48)
                for it in crowd:
                    it.queue = memoryview(data)
                send_all(crowd)
                self.check(env, way)


# The same at the addresses whose requests need no body.
class StalledServiceBodiesTest(HostileCallersTest):
    def test(self):
        for way, address, path in self.service_ways():
            with self.subTest(way):
                env = self.start()
                data = (request_head(path, f"Content-Length: {SERVICE_BODY_BYTES}") +
                        b"x" * (SERVICE_BODY_BYTES - SHORT_BYTES))
                crowd = self.connect(getattr(env, address), 300)
                for it in crowd:
                    it.queue = memoryview(data)
                send_all(crowd)
                self.check(env, way)


# Each piece of a body renews the time that its caller is given.
class SmallPiecesTest(HostileCallersTest):
    def test(self):
        for way, address, path in self.callers_ways():
            with self.subTest(way):
                env = self.start()
                data = request_head(path, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - SHORT_BYTES)
                send_in_pieces(self.connect(getattr(env, address), 48), data, 16384)
                self.check(env, way)


# The buffer of a body without a stated length grows with its chunks, and is copied as it grows.
class TinyChunksTest(HostileCallersTest):
    def test(self):
        for way, address, path in self.callers_ways():
            with self.subTest(way):
                env = self.start()
                data = request_head(path, "Transfer-Encoding: chunked") + chunks(BODY_BYTES - SHORT_BYTES, 16)
                crowd = self.connect(getattr(env, address), 48)
                for it in crowd:
                    it.queue = memoryview(data)
                send_all(crowd)
                self.check(env, way)


# A body over the limit was held, with what followed it, while its caller was told so.
class ChunkedOverLimitTest(HostileCallersTest):
    def test(self):
        for way, address, path in self.callers_ways():
            with self.subTest(way):
                env = self.start()
                data = request_head(path, "Transfer-Encoding: chunked") + chunks(4 * BODY_BYTES, 8192)
                crowd = self.connect(getattr(env, address), 48)
                for it in crowd:
                    it.queue = memoryview(data)
                send_all(crowd)
                self.check(env, way)


# A field of a few bytes takes more than a hundred in memory.
class ManyFieldsTest(HostileCallersTest):
    def test(self):
        for way, address, path in self.callers_ways():
            with self.subTest(way):
                env = self.start()
                fields = ["a:"] * ((HEAD_BYTES - 200) // len("a:\r\n"))
                data = request_head(path, "Content-Length: 10", *fields) + b"x"
                crowd = self.connect(getattr(env, address), 100)
                for it in crowd:
                    it.queue = memoryview(data)
                send_all(crowd)
                self.check(env, way)


# What is known of the prompts that an endpoint has in its cache was bounded by their tokens only.
class ManyPromptPartsTest(HostileCallersTest):
    prepaid = 10 ** 9
    cached_tokens = 518_475

    def test(self):
        for tokens in (0, 1):
            with self.subTest(tokens=tokens):
                env = self.start()
                for n in range(400):
                    parts = ",".join(f"{n * 1300 + it:x}:{tokens}" for it in range(1300))
                    response = env.call("/chat/x", f"parts{tokens}-{n}", {
                        "X-Token-Usage": "1300,5", "X-Prompt-Prefix": parts})
                    self.assertEqual(200, response.status)
                self.check(env, f"parts of {tokens} tokens")


# Responses were produced and queued for callers that read none.
class UnreadResponsesTest(HostileCallersTest):
    def test(self):
        rows = (("metrics", "metrics", "/metrics", 8, 6000), ("directory", "directory", "/resolve?zone=a", 8, 20000),
                ("readiness", "ready", "/readiness", 8, 30000), ("no route", "caller", "/nowhere/x", 16, 15000),
                ("peer", "peer", "/nowhere/x", 16, 15000))
        for way, address, path, count, requests in rows:
            with self.subTest(way):
                env = self.start()
                crowd = self.connect(getattr(env, address), count, SMALL_BUFFER_BYTES)
                for it in crowd:
                    it.queue = memoryview(request_head(path, method="GET") * requests)
                send_all(crowd)
                self.check(env, way)


# A whole response of an endpoint was kept for each caller that did not read it.
class UnreadLargeResponsesTest(HostileCallersTest):
    worker = {"mode": "raw", "raw_end": "close", "raw":
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
              f"Content-Length: {6 * BODY_BYTES}\r\n\r\n" + "x" * (6 * BODY_BYTES)}

    def test(self):
        env = self.start()
        for n in range(16):
            client, = self.connect(env.caller, 1, SMALL_BUFFER_BYTES)
            client.queue = memoryview(request_head("/read/x", f"X-Attempt-Id: large{n}", method="GET"))
            send_all([client])
            client.wait_for_bytes()
        self.check(env, "caller")


# Many legal bodies at once, each of which is kept while its request runs.
class WholeBodiesTest(HostileCallersTest):
    worker = {"run_s": 3}

    def test(self):
        env = self.start()
        crowd = self.connect(env.caller, 48)
        for n, it in enumerate(crowd):
            it.queue = memoryview(request_head("/send/x", f"X-Attempt-Id: whole{n}", f"Content-Length: {BODY_BYTES}") +
                                  b"x" * BODY_BYTES)
        send_all(crowd)
        self.check(env, "caller")


# Callers that send nothing, or stop in a head, take the descriptors that endpoints and the store need.
class StalledHeadsTest(HostileCallersTest):
    def test(self):
        rows = (("caller", "caller"), ("peer", "peer"), ("readiness", "ready"), ("directory", "directory"),
                ("metrics", "metrics"))
        for way, address in rows:
            with self.subTest(way):
                env = self.start()
                crowd = self.connect(getattr(env, address), 300)
                for n, it in enumerate(crowd):
                    it.queue = memoryview(b"POST /send/x HTTP/1.1\r\nHost: h"[:n % 30])
                send_all(crowd)
                self.check(env, way)


# A caller that is told to leave and does not close its connection kept it, and its buffer, for ever.
class RefusedCallersStayTest(HostileCallersTest):
    limits = HostileCallersTest.limits | {"header-timeout-ms": 300, "idle-timeout-ms": 600}

    def test(self):
        env = self.start(max_fds=4096)
        for _ in range(4):
            crowd = self.connect(env.caller, 60)
            for it in crowd:
                it.queue = memoryview(b"POST /send/x HTTP/1.1\r\n")
            send_all(crowd)
            for it in crowd:
                it.wait_for_bytes()
        end = time.monotonic() + SEND_S
        while open_descriptors(env.gateway.pid) > MAX_FDS and time.monotonic() < end:
            time.sleep(STEP_S)
        self.check(env, "caller")


if __name__ == "__main__":
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    unittest.main()
