#!/usr/bin/env python3
"""Responses that never end: an endpoint sends bytes until its connection is closed."""
import pathlib
import re
import socket
import subprocess
import threading
import time
import unittest

from gateway_environment import BUILD, Environment, configuration

HEAD = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
        "Connection: close\r\n")
EVENT = "id: 1\ndata: a\n\n"
# The smallest instances have 88 MB for everything.
MAX_MEMORY_MB = 64
# Callers hear of it well before the 4 s of their route have passed.
MAX_SECONDS = 3
MAX_OTHERS_SECONDS = 0.5
FLOODS = 12
# Two of these nearly fill what all responses that are being received may take together.
LARGE_BYTES = 8_300_000
SMALL_BYTES = 200_000

ROWS = [
    ("a header line", "/chat/x", HEAD + "X-Pad: ", "a"),
    ("header lines", "/chat/x", HEAD, "X-Pad: a\r\n"),
    ("interim responses", "/chat/x", "HTTP/1.1 100 -\r\n\r\n", "HTTP/1.1 100 -\r\n\r\n"),
    ("no response", "/chat/x", "SSH-2.0\r\n", "a"),
    ("an event", "/chat/x", HEAD + "\r\ndata: ", "a"),
    ("events", "/chat/x", HEAD + "\r\n", "data: a\n\n"),
    ("the same event", "/chat/x", HEAD + "\r\n", EVENT),
    ("a chunk's size line", "/chat/x", HEAD + "Transfer-Encoding: chunked\r\n\r\n4;", "a"),
    ("trailers", "/chat/x", HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: a\r\n"),
    ("a body", "/send/x", HEAD + "\r\n", "a"),
    ("chunks", "/send/x", HEAD + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"),
]
# Streams whose first event has come in part, each within the bound of one event.
STREAMS = 250
PART_BYTES = 250_000


def peak_memory_mb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


class EndlessResponseTest(unittest.TestCase):
    def setUp(self):
        self.env = Environment()
        self.addCleanup(self.env.close)

    def peak_memory_mb(self):
        return peak_memory_mb(self.env.gateway)

    def closed_connections(self):
        return sum(it[1] for it in self.env.send_command()["endless"].values())

    def test_endless_response_fails_and_its_connection_is_closed(self):
        for n, (name, path, raw, repeat) in enumerate(ROWS):
            with self.subTest(name):
                closed = self.closed_connections()
                self.env.configure_workers(mode="raw", raw=raw, raw_end="endless", raw_repeat=repeat)
                start = time.monotonic()
                response = self.env.call(path, f"endless{n}", {"X-Deadline-Ms": "8000"})
                self.assertLess(time.monotonic() - start, MAX_SECONDS)
                self.assertTrue(response.status == 502 or not response.is_complete)
                self.env.wait(lambda: self.closed_connections() == closed + 1)
                self.assertLess(self.peak_memory_mb(), MAX_MEMORY_MB)
                line = [it for it in self.env.log_lines() if it.get("request") == f"endless{n}"][-1]
                self.assertEqual("broke", line["end"])

    def test_large_responses_do_not_fail_a_small_one(self):
        # What all responses may take together was held against the one that came last.
        large = HEAD + "\r\n" + "a" * LARGE_BYTES
        self.env.configure_workers(mode="raw", raw=large, raw_end="hold")
        threads = [threading.Thread(target=self.env.call, args=("/send/x", f"large{n}"))
                   for n in range(2)]
        for it in threads:
            it.start()
        self.env.wait(lambda: len(self.env.executed_requests()) == 2)
        time.sleep(0.2)  # the gateway has read them
        self.env.configure_workers(raw=HEAD + "\r\n" + "a" * SMALL_BYTES, raw_end="close")
        response = self.env.call("/send/x", "small")
        self.assertEqual((200, SMALL_BYTES), (response.status, len(response.body)))
        for it in threads:
            it.join()

    # Parts of events were bounded for each stream, not for all of them together.
    def test_parts_of_events_of_many_streams_are_bounded_together(self):
        self.env.send_command(put="op/config", value=configuration(8, prepaid=10 ** 9))
        self.env.wait_for_log_line(lambda it: it.get("version") == "8")
        self.env.configure_workers(mode="raw", raw=HEAD + "\r\ndata: " + "a" * PART_BYTES, raw_end="hold")
        threads = [threading.Thread(target=self.env.call, args=("/chat/x", f"part{n}"))
                   for n in range(STREAMS)]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        self.assertLess(self.peak_memory_mb(), MAX_MEMORY_MB)
        self.env.configure_workers(mode="good")
        self.assertEqual(200, self.env.call("/read/x", "after").status)

    def test_other_requests_go_on_and_the_endpoint_is_avoided(self):
        for path, raw, repeat in [("/read/x", HEAD + "\r\n", "a"),
                                  ("/resume/x", HEAD + "\r\ndata: ", "a")]:
            with self.subTest(path):
                self.env.send_command(worker="w2", set={"mode": "good"})
                self.env.send_command(worker="w1", set={
                    "mode": "raw", "raw": raw, "raw_end": "endless", "raw_repeat": repeat})
                during = []

                def call(attempt, path=path, during=during):
                    response = self.env.call(path, attempt)
                    during.append((response.status, response.is_complete))

                threads = [threading.Thread(target=call, args=(f"b{path[1]}{n}",))
                           for n in range(FLOODS)]
                for it in threads:
                    it.start()
                for n in range(10):
                    start = time.monotonic()
                    self.assertEqual(404, self.env.call("/none/x", f"o{path[1]}{n}").status)
                    self.assertLess(time.monotonic() - start, MAX_OTHERS_SECONDS)
                for it in threads:
                    it.join()
                # Each was tried again at the sound endpoint.
                self.assertEqual([(200, True)] * FLOODS, during)
                responses = [self.env.call(path, f"s{path[1]}{n}") for n in range(4)]
                self.assertEqual([(200, True)] * 4,
                                 [(it.status, it.is_complete) for it in responses])
                self.assertLess(self.peak_memory_mb(), MAX_MEMORY_MB)


class EndlessStore:
    """Accepts any number of connections, and answers each request with the same bytes again and again."""

    def __init__(self, head, repeat):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.head, self.block = head.encode(), repeat.encode() * (65_536 // len(repeat))
        self.sent = 0
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        try:
            connection.recv(65_536)
            connection.sendall(self.head)
            while True:
                connection.sendall(self.block)
                self.sent += len(self.block)
        except OSError:
            pass  # closed by the gateway or the test

    def close(self):
        self.listener.close()
        for it in self.connections:
            it.close()


STORE_SECONDS = 3
STORE_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


class EndlessStoreTest(unittest.TestCase):
    # What the key-value service sends without end must not take the memory of a gateway.
    def test_endless_response_of_the_store(self):
        rows = [("a header line", STORE_HEAD + "X-Pad: ", "a"),
                ("interim responses", "", "HTTP/1.1 100 -\r\n\r\n"),
                ("a body", STORE_HEAD + "\r\n", "a"),
                ("a body with a length", STORE_HEAD + "Content-Length: 4000000000\r\n\r\n", "a"),
                ("chunks", STORE_HEAD + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"),
                ("a chunk's size line", STORE_HEAD + "Transfer-Encoding: chunked\r\n\r\n4;", "a"),
                ("trailers", STORE_HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: a\r\n"),
                ("nested lists", STORE_HEAD + "\r\n", "["),
                ("items", STORE_HEAD + "\r\n{\"items\":[", "{},")]
        for name, head, repeat in rows:
            with self.subTest(name):
                store = EndlessStore(head, repeat)
                self.addCleanup(store.close)
                env = Environment(start_gateway=False, store_address=store.address)
                self.addCleanup(env.close)
                env.log = open(pathlib.Path(env.folder.name) / "log.txt", "a+")
                env.gateway = subprocess.Popen(
                    [str(BUILD / "bin" / "gentianloom-gateway"), str(env.settings)], stdout=env.log)
                time.sleep(STORE_SECONDS)
                self.assertIsNone(env.gateway.poll())
                self.assertGreater(store.sent, 0)
                self.assertLess(peak_memory_mb(env.gateway), MAX_MEMORY_MB)
                env.kill()
                store.close()


if __name__ == "__main__":
    unittest.main()
