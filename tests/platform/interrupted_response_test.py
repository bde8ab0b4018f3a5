#!/usr/bin/env python3
"""Responses that an endpoint breaks off, in every framing and at every place, by a raw endpoint."""
import time
import unittest

from gateway_environment import Environment, configuration

SIGNED = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
          "Content-Type: text/event-stream\r\n")
UNTIL_CLOSE = SIGNED + "Connection: close\r\n\r\n"
CHUNKED = SIGNED + "Transfer-Encoding: chunked\r\n\r\n"
EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
PART = "id: 3\nda"
LAST_CHUNK = "0\r\n\r\n"

ECHOED = "X-Attempt-Id: {attempt}\r\n"
SIGNATURE = "X-Server-Signature: s\r\n"
STREAM_TYPE = "Content-Type: text/event-stream\r\n"
ERROR_TEXT = "id: 3\ndata: error\n\nInternal error\n\n"  # reads like events
# Callers hear of it well before the 4 s of their route have passed.
MAX_SECONDS = 2
# More than the operating system takes from the gateway while the endpoint does not read.
UPLOAD = b"x" * 8_000_000
UPLOADS = 5


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n"


def length(text, missing=0):
    return SIGNED + f"Content-Length: {len(text) + missing}\r\n\r\n" + text


class InterruptedResponseTest(unittest.TestCase):
    def setUp(self):
        self.env = Environment()
        self.addCleanup(self.env.close)

    def call(self, path, name, raw, end):
        self.env.configure_workers(mode="raw", raw=raw, raw_end=end, executed=[])
        return self.env.call(path, name)

    def test_interrupted_stream_does_not_look_complete(self):
        # A stream that ends inside an event was forwarded with that part of an event, as complete.
        rows = [
            ("inside an event, close", UNTIL_CLOSE + EVENTS + PART, "close"),
            ("inside an event, reset", UNTIL_CLOSE + EVENTS + PART, "reset"),
            ("between events, reset", UNTIL_CLOSE + EVENTS, "reset"),
            ("inside a chunk, close", CHUNKED + chunk(EVENTS) + "9\r\n" + PART, "close"),
            ("between chunks, close", CHUNKED + chunk(EVENTS), "close"),
            ("between chunks, inside an event", CHUNKED + chunk(EVENTS + PART), "close"),
            ("inside an event, last chunk", CHUNKED + chunk(EVENTS + PART) + LAST_CHUNK, "close"),
            ("inside an event, short of its length", length(EVENTS + PART, missing=9), "close"),
            ("between events, short of its length", length(EVENTS, missing=9), "close"),
            ("inside an event, with its length", length(EVENTS + PART), "close"),
        ]
        for n, (name, raw, end) in enumerate(rows):
            with self.subTest(name):
                response = self.call("/chat/x", f"stream{n}", raw, end)
                self.assertEqual((200, False), (response.status, response.is_complete))
                self.assertEqual(EVENTS.encode(), response.body)

    def test_stream_that_ends_before_its_first_event_fails(self):
        rows = [("no byte", "", "close"), ("no byte, reset", "", "reset"),
                ("inside the head", UNTIL_CLOSE[:60], "close"),
                ("inside the head, reset", UNTIL_CLOSE[:60], "reset"),
                ("after the head", UNTIL_CLOSE, "close"),
                ("inside the first event", UNTIL_CLOSE + PART, "close"),
                ("inside the first event, last chunk", CHUNKED + chunk(PART) + LAST_CHUNK, "close")]
        for n, (name, raw, end) in enumerate(rows):
            with self.subTest(name):
                response = self.call("/chat/x", f"early{n}", raw, end)
                self.assertEqual((502, True), (response.status, response.is_complete))

    def test_whole_stream_is_complete(self):
        comment = ": bye\n"
        rows = [("until close", UNTIL_CLOSE + EVENTS, EVENTS),
                ("until close, comment at the end", UNTIL_CLOSE + EVENTS + comment, EVENTS + comment),
                ("chunked", CHUNKED + chunk(EVENTS) + LAST_CHUNK, EVENTS),
                ("length", length(EVENTS), EVENTS)]
        for n, (name, raw, body) in enumerate(rows):
            with self.subTest(name):
                response = self.call("/chat/x", f"whole{n}", raw, "close")
                self.assertEqual((200, True), (response.status, response.is_complete))
                self.assertEqual(body.encode(), response.body)

    def test_plain_response(self):
        rows = [("until close", UNTIL_CLOSE + "body", "close", 200),
                ("until close, reset", UNTIL_CLOSE + "body", "reset", 502),
                ("short of its length", length("body", missing=1), "close", 502),
                ("no last chunk", CHUNKED + chunk("body"), "close", 502),
                ("inside a chunk", CHUNKED + "9\r\nbody", "close", 502),
                ("inside the head", UNTIL_CLOSE[:60], "close", 502)]
        for path in ("/read/x", "/send/x"):
            for n, (name, raw, end, status) in enumerate(rows):
                with self.subTest(name, path=path):
                    response = self.call(path, f"plain{path[1]}{n}", raw, end)
                    self.assertEqual((status, True), (response.status, response.is_complete))
                    if status == 200:
                        self.assertEqual(b"body", response.body)

    # MIXED: an answer whose status is none came to the caller, or held its request up to the deadline.
    def test_response_without_a_status_is_none(self):
        for path in ("/read/x", "/send/x", "/chat/x"):
            for n, status in enumerate(("000", "099", "600", "999")):
                raw = (f"HTTP/1.1 {status} X\r\n{ECHOED}{SIGNATURE}{STREAM_TYPE}"
                       f"Content-Length: {len(EVENTS)}\r\n\r\n{EVENTS}")
                with self.subTest(status, path=path):
                    start = time.monotonic()
                    response = self.call(path, f"status{path[1]}{n}", raw, "hold")
                    self.assertEqual((502, True), (response.status, response.is_complete))
                    self.assertLess(time.monotonic() - start, MAX_SECONDS)

    # MIXED: the connection of an endpoint that answered a long request at once, without a length, was reset while
    # the request was being written; the part of the answer that had come was handed on as a whole one.
    def test_response_that_is_reset_while_the_request_is_written_is_not_complete(self):
        limits = {**configuration()["limits"], "max-body-bytes": 2 * len(UPLOAD)}
        self.env.send_command(put="op/config", value={**configuration(version=8), "limits": limits})
        self.env.wait_for_log_line(lambda it: it.get("version") == "8")
        rows = [("reset", 502), ("close, then reset", 502), ("close, and reads on", 200),
                ("close, and holds", 200)]
        for path in ("/read/x", "/send/x"):
            for name, status in rows:
                self.env.configure_workers(mode="raw-early", raw=UNTIL_CLOSE + "part", raw_end=name)
                for n in range(UPLOADS):
                    with self.subTest(name, path=path):
                        response = self.env.call(path, f"upload{path[1]}{name[-1]}{n}", body=UPLOAD)
                        self.assertEqual((status, True), (response.status, response.is_complete))

    def test_interrupted_stream_is_resumed_after_its_last_whole_event(self):
        self.env.call("/resume/x", "first")
        executed = self.env.send_command()["executed"]
        # The next request has the same prompt, so it is placed on the same endpoint.
        preferred = "w1" if executed["w1"] else "w2"
        for n, end in enumerate(("close", "reset")):
            with self.subTest(end):
                self.env.send_command(worker=preferred, set={
                    "mode": "raw", "raw": UNTIL_CLOSE + EVENTS + PART, "raw_end": end})
                response = self.env.call("/resume/x", f"resume{n}")
                self.assertEqual((200, True), (response.status, response.is_complete))
                self.assertEqual([b"id: %d" % it for it in range(1, 6)],
                                 [it for it in response.body.split(b"\n") if it.startswith(b"id")])

    # A stream broke off, and the error text of the next endpoint, or its whole head, stood in the caller's stream,
    # or the stream ended as if it were complete.
    def test_error_after_a_stream_has_begun_is_not_part_of_it(self):
        def respond(status, fields=ECHOED + SIGNATURE + STREAM_TYPE, text=ERROR_TEXT, version="1.1"):
            return (f"HTTP/{version} {status} X\r\n{fields}Content-Length: {len(text)}\r\n\r\n{text}",
                    "close")

        chunked_error = ("HTTP/1.1 500 X\r\n" + ECHOED + "Transfer-Encoding: chunked\r\n\r\n"
                         + chunk(ERROR_TEXT) + LAST_CHUNK)
        rows = [(f"status {it}", *respond(it)) for it in (400, 404, 408, 421, 429, 500, 502, 503, 504)]
        rows += [(f"status {it}, not signed", *respond(it, ECHOED)) for it in (200, 500, 503)]
        rows += [
            ("refused", *respond(503, ECHOED + "X-Not-Executed: 1\r\n")),
            ("HTTP/1.0", *respond(500, version="1.0")),
            ("of another request", *respond(200, "X-Attempt-Id: other\r\n" + SIGNATURE)),
            ("without id", *respond(200, SIGNATURE)),
            ("interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + respond(500)[0], "close"),
            ("chunked", chunked_error, "close"),
            ("until close", "HTTP/1.1 500 X\r\n" + ECHOED + "\r\n" + ERROR_TEXT, "close"),
            ("until reset", "HTTP/1.1 500 X\r\n" + ECHOED + "\r\n" + ERROR_TEXT, "reset"),
            ("does not end", "HTTP/1.1 500 X\r\n" + ECHOED + "\r\n" + ERROR_TEXT, "hold"),
            ("no content", "HTTP/1.1 204 X\r\n" + ECHOED + SIGNATURE + "\r\n", "close"),
            ("another success", *respond(206)),
            ("another type", *respond(200, ECHOED + SIGNATURE + "Content-Type: text/html\r\n")),
            ("no response", ERROR_TEXT, "close"),
            ("a second head", UNTIL_CLOSE + respond(500)[0] + "\n\n", "close"),
        ]
        for n, (name, raw, end) in enumerate(rows):
            with self.subTest(name):
                env = Environment()
                self.addCleanup(env.close)
                env.call("/resume/x", "first")
                # The next request has the same prompt, so it is placed on the same endpoint.
                first, second = ("w1", "w2") if env.send_command()["executed"]["w1"] else ("w2", "w1")
                env.send_command(worker=first, set={
                    "mode": "raw", "raw": UNTIL_CLOSE + EVENTS + PART, "raw_end": "reset"})
                env.send_command(worker=second, set={"mode": "raw", "raw": raw, "raw_end": end})
                start = time.monotonic()
                response = env.call("/resume/x", f"error{n}", {"X-Deadline-Ms": "8000"})
                self.assertLess(time.monotonic() - start, MAX_SECONDS)
                self.assertEqual((200, False), (response.status, response.is_complete))
                self.assertEqual(EVENTS.encode(), response.body)
                self.assertEqual(1, len(env.send_command()["executed"][second]))

    # An endpoint that begins the stream anew, or answers with an error, when a caller takes up its stream again.
    def test_stream_that_a_caller_takes_up_again_goes_on_where_it_was(self):
        anew = UNTIL_CLOSE + EVENTS + "id: 3\ndata: c\n\n"
        rows = [("begins anew", anew, b"id: 3\ndata: c\n\n", 200),
                ("an error in a signed stream", UNTIL_CLOSE + "Internal error\n\n", None, 502)]
        for name, raw, body, status in rows:
            with self.subTest(name):
                env = Environment()
                self.addCleanup(env.close)
                env.configure_workers(mode="raw", raw=raw, raw_end="close")
                response = env.call("/resume/x", "again", {"Last-Event-Id": "2"})
                self.assertEqual((status, True), (response.status, response.is_complete))
                if body is not None:
                    self.assertEqual(body, response.body)

    def test_stream_without_event_ids_is_not_resumed(self):
        # Without a position, the endpoint would begin anew, and pieces would come twice.
        self.env.call("/resume/x", "first")
        preferred = "w1" if self.env.send_command()["executed"]["w1"] else "w2"
        self.env.send_command(worker=preferred, set={
            "mode": "raw", "raw": UNTIL_CLOSE + "data: a\n\n" + PART, "raw_end": "close"})
        response = self.env.call("/resume/x", "without")
        self.assertEqual((200, False), (response.status, response.is_complete))
        self.assertEqual(b"data: a\n\n", response.body)

    def test_broken_off_stream_is_charged_by_its_whole_events(self):
        self.call("/chat/x", "charged", UNTIL_CLOSE + EVENTS + PART, "close")
        self.env.wait_for_log_line(lambda it: it.get("request") == "charged" and "status" in it)
        line = [it for it in self.env.log_lines() if it.get("request") == "charged"][-1]
        self.assertEqual(("broke", "2"), (line["end"], line["events"]))


if __name__ == "__main__":
    unittest.main()
