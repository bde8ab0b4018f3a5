"""The endpoints (workers) of the stand-in of the platform."""
import base64
import json
import os
import socket
import struct
import threading
import time

from standin_server import MAX_WAIT_S, POLL_S, Handler, Server

# Time between the last byte and a reset, so that the other side reads the bytes first.
RAW_RESET_DELAY_S = 0.1
# For which an endpoint that has closed its side keeps the connection without reading from it.
RAW_HOLD_S = 1
ENDLESS_BLOCK_BYTES = 65536
# From the begin of a run that ends its endpoint until the end, and until the endpoint is back.
CRASH_DELAY_S = 0.075
CRASH_DURATION_S = 1


class Worker:
    """One endpoint: `mode` selects how it responds, `executed` lists the requests that it ran.

    A stream pauses after event `hold_after` until that is set to 0. In mode "raw", the bytes of `raw`
    are sent as they are (`{attempt}` is replaced by the request's id), and `raw_end` says what
    follows: "close" (an orderly close), "reset", "hold" (nothing), or "endless" (`raw_repeat` again
    and again). In mode "raw-early" they are sent before the request's body is read, and `raw_end` is
    "reset", "close, then reset", "close, and reads on", or "close, and holds" (reads nothing more for a while).

    A run whose path, organisation and body are in `crashing` ends the endpoint, see `crash`; so does one
    with a part of its prompt, but the last, in `crashing_parts`, as it begins to write its response.
    Mode "full" refuses each request, with the headers `refusal` and the statement that it did not run
    if `states_not_run`, after `refuse_after_s`; with `echoes_id` unset, a refusal has no request id. `arrived` lists the requests that were run or refused.

    In mode "refuses-again", it refuses the first request of a connection, and writes this refusal once more
    before its response to each later one; without `echoes_id`, the refusals have no request id.

    With `room`, it runs so many requests at a time and refuses others. With `brittle` too, it says so, and ends
    once it has refused more than that in a second; `falls` lists when.
    """

    def __init__(self, name, changed):
        self.name = name
        self.changed = changed
        self.server = None  # that serves this lifetime of the endpoint
        self.store = None
        self.crashing = []  # lists of path, organisation and body
        self.crashing_parts = []  # identifiers
        self.events_before_crash = 0  # that a stream sends first
        # What its address does between a crash and the next lifetime: "refuse" connections, "close"
        # them without a byte, or "queue" them for the next lifetime.
        self.crashed_listener = "refuse"
        self.new_id_after_crash = False
        self.lifetime = 1
        self.crashes = []  # of all lifetimes
        self.run_s = 0  # how long other requests run
        self.hold_after = 0
        self.mode = "good"
        self.raw = ""
        self.raw_end = "close"
        self.raw_repeat = ""
        self.endless_bytes = 0  # sent in endless responses
        self.endless_closed = 0  # endless responses whose connection the caller closed
        self.events = 5
        self.event_s = 0  # pause after each event of a stream
        self.is_leaving = False  # says so in each response
        self.idle_timeout_s = None  # after which it says that it closes an idle connection
        self.rate_limits = []  # stated in each response, in one header each
        self.cold_until = None  # monotonic time; each response until then states the rest
        self.refusal = {}
        self.states_not_run = True
        self.refuse_after_s = 0
        self.echoes_id = True
        self.refusal_status = 503
        self.arrived = []
        self.room = None
        self.brittle = None
        self.running = 0
        self.refused_at = []
        self.falls = []
        self.executed = []

    def refuse_for_room(self, server):
        """Notes a refusal, and falls over under too many of them."""
        now = time.monotonic()
        self.refused_at = [it for it in self.refused_at if it > now - 1] + [now]
        if isinstance(self.brittle, int) and len(self.refused_at) > self.brittle:
            self.falls.append(now)
            self.crash(server)

    def crash(self, server, request=None):
        """Resets all connections and, by `crashed_listener`, the listening socket; serves again after
        CRASH_DURATION_S.

        The entry in the store stays until then; a new lifetime with another id replaces it.
        """
        with self.changed:
            if server.has_crashed.is_set():
                return  # under another request at the same time
            server.has_crashed.set()
            self.crashes.append({"at": time.monotonic(), "id": self.name, **(request or {})})
        if self.crashed_listener == "refuse":
            server.refuse_connections()
        server.queues_connections = self.crashed_listener == "queue"
        server.close_connections()
        threading.Thread(target=self.start_again, args=(server,), daemon=True).start()

    def start_again(self, server):
        out = Server(server.server_address, WorkerHandler, bind_and_activate=False)
        if self.crashed_listener == "refuse":
            server.shutdown()
            server.server_close()
            # Bound at once, so that no other process is given the port; connections are refused.
            out.server_bind()
        time.sleep(CRASH_DURATION_S)
        if self.crashed_listener != "refuse":
            server.shutdown()
            out.socket.close()
            out.socket = server.socket
        with self.changed:
            old_name = self.name
            self.lifetime += 1
            if self.new_id_after_crash:
                self.name = f"{self.name.split('.')[0]}.{self.lifetime}"
            out.state = self
            self.server = out
            out.server_activate()
            threading.Thread(target=out.serve_forever, args=(POLL_S,), daemon=True).start()
            entry = json.loads(base64.b64decode(self.store.items["servers/" + old_name]["value"]))
            entry |= {"sequence": 1, "born": int(time.time() * 1000)}
            if self.name != old_name:
                self.store.remove("servers/" + old_name)
            self.store.put("servers/" + self.name, json.dumps(entry).encode())
            self.changed.notify_all()


class WorkerHandler(Handler):
    first_refusal = None  # headers of the first refusal of this connection

    def serve(self):
        worker = self.server.state
        if worker.mode == "raw-early":
            return self.send_raw_early(worker)
        body = self.body()
        attempt = self.headers.get("X-Attempt-Id", "")
        common = [("X-Attempt-Id", attempt), ("X-Instance-Load", "1,0,8")]
        if self.headers.get("X-Expect-Instance") != worker.name:
            return self.respond(421, b"", common + [("X-Instance-Id", worker.name)])
        worker.arrived.append({"path": self.path, "attempt": attempt, "at": time.monotonic()})
        if worker.is_leaving:
            common.append(("Server-Leaving", "1"))
        if worker.idle_timeout_s is not None:
            common.append(("Keep-Alive", f"timeout={worker.idle_timeout_s}"))
        common += [("Server-Limit", it) for it in worker.rate_limits]
        if worker.cold_until is not None and worker.cold_until > time.monotonic():
            common.append(("X-Cold-Ms", str(int((worker.cold_until - time.monotonic()) * 1000))))
        if worker.mode == "full":
            statement = [("X-Not-Executed", "1")] if worker.states_not_run else []
            time.sleep(worker.refuse_after_s)
            echoed = common if worker.echoes_id else common[1:]
            return self.respond(503, b"", echoed + statement + list(worker.refusal.items()))
        if worker.mode == "refuses-again" and self.refuse_again(worker, common):
            return None
        if worker.brittle is not None:
            common.append(("Server-Brittle", str(worker.brittle)))
        if worker.room is not None:
            with worker.changed:
                is_full = worker.running >= worker.room
                worker.running += 0 if is_full else 1
            if is_full:
                self.respond(503, b"", common + [("X-Not-Executed", "1")])
                return worker.refuse_for_room(self.server)
        try:
            return self.run(worker, body, attempt, common)
        finally:
            if worker.room is not None:
                with worker.changed:
                    worker.running -= 1

    def refuse_again(self, worker, common):
        """Writes the first refusal of the connection; returns whether it is meant for this request."""
        is_first = self.first_refusal is None
        if is_first:
            echoed = common if worker.echoes_id else common[1:]
            self.first_refusal = echoed + [("X-Not-Executed", "1")]
        self.respond(worker.refusal_status, b"", self.first_refusal)
        return is_first

    def run(self, worker, body, attempt, common):
        if self.server.has_crashed.is_set():
            self.close_connection = True
            return None
        text = body.decode("latin-1")
        worker.executed.append({"path": self.path, "headers": dict(self.headers.items()),
                                "body": text, "at": time.monotonic(), "endpoint": worker.name})
        request = [self.path, self.headers.get("X-Tenant-Id", ""), text]
        if request in worker.crashing:
            return self.crash(worker, request, common)
        if self.server.has_crashed.wait(worker.run_s):
            self.close_connection = True
            return None
        if set(self.parts()[:-1]) & set(worker.crashing_parts):
            return self.crash(worker, request, common, sends_head=True)
        if worker.mode == "reset":
            self.close_connection = True
            return None
        if worker.mode == "raw":
            return self.send_raw(worker, attempt)
        if worker.mode == "unsigned":
            return self.respond(200, b"x", common)
        if worker.mode == "other-attempt":
            return self.respond(200, b"x", [("X-Attempt-Id", "other"), ("X-Server-Signature", "s"),
                                            *common[2:]])
        if worker.mode == "unresponsive":
            self.close_connection = True
            self.wait_for_close()
            return None
        common.append(("X-Server-Signature", "sig-" + attempt))
        if "X-Token-Usage" not in self.headers:
            return self.respond(200, b"whole response", common)
        return self.stream(worker, common)

    def parts(self):
        """Identifiers of the parts of the prompt."""
        return [it.split(":")[0] for it in self.headers.get("X-Prompt-Prefix", "").split(",") if it]

    def crash(self, worker, request, headers, sends_head=False):
        self.close_connection = True
        if (sends_head or worker.events_before_crash) and "X-Token-Usage" in self.headers:
            self.start_stream(headers + [("X-Server-Signature", "sig")])
            first = int(self.headers.get("Last-Event-Id", 0)) + 1
            for n in range(first, first + worker.events_before_crash):
                self.send_event(n)
        if not self.server.has_crashed.wait(CRASH_DELAY_S):
            worker.crash(self.server, dict(zip(("path", "organisation", "body"), request)))

    def send_raw(self, worker, attempt):
        self.close_connection = True
        data = worker.raw.replace("{attempt}", attempt).encode()
        self.wfile.write(data)
        if worker.raw_end == "reset":
            time.sleep(RAW_RESET_DELAY_S)  # a reset would discard bytes that are not read yet
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            os.close(self.connection.detach())
        if worker.raw_end == "hold":
            self.wait_for_close()
        if worker.raw_end != "endless":
            return
        block = worker.raw_repeat.encode() * (ENDLESS_BLOCK_BYTES // len(worker.raw_repeat))
        try:
            while True:
                self.connection.sendall(block)
                worker.endless_bytes += len(block)
        except OSError:
            worker.endless_closed += 1  # the caller has closed the connection

    def send_raw_early(self, worker):
        self.close_connection = True
        self.wfile.write(worker.raw.replace("{attempt}", self.headers.get("X-Attempt-Id", "")).encode())
        time.sleep(RAW_RESET_DELAY_S)
        if worker.raw_end != "reset":
            self.connection.shutdown(socket.SHUT_WR)
            time.sleep(RAW_RESET_DELAY_S)
        if worker.raw_end == "close, and reads on":
            return self.body()
        if worker.raw_end == "close, and holds":
            time.sleep(RAW_HOLD_S)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return os.close(self.connection.detach())

    def wait_for_close(self):
        """Blocks until the client has closed the connection."""
        try:
            self.connection.recv(1)
        except OSError:
            pass  # reset

    def start_stream(self, headers):
        self.send_response(200)
        for name, value in headers + [("Content-Type", "text/event-stream"),
                                      ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()

    def send_event(self, number):
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.wfile.flush()

    def stream(self, worker, headers):
        self.start_stream(headers)
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        for n in range(first, worker.events + 1):
            if worker.mode == "breaks" and n == 3:
                self.wfile.write(b"9\r\nid: 3\ndat\r\n")
                self.close_connection = True
                return
            self.send_event(n)
            if self.server.has_crashed.wait(worker.event_s):
                self.close_connection = True
                return
            if n == worker.hold_after:
                with worker.changed:
                    worker.changed.wait_for(lambda: worker.hold_after == 0, timeout=MAX_WAIT_S)
        self.wfile.write(b"0\r\n\r\n")

    do_GET = do_POST = serve
