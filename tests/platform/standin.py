#!/usr/bin/env python3
"""Minimal stand-in of the platform on loopback: its key-value store and its endpoints (workers).

Used by the process tests of the gateway. Prints one JSON line with its addresses, then serves until
its standard input is closed.
"""
import base64
import json
import os
import socket
import struct
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


# Maximum time that a paused request waits for a command of the test to continue. The process does
# not wait for paused requests when it exits.
MAX_WAIT_S = 60
# Time between the last byte and a reset, so that the other side reads the bytes first.
RAW_RESET_DELAY_S = 0.1
ENDLESS_BLOCK_BYTES = 65536
SLOW_READ_S = 0.5
POLL_S = 0.1  # how often a server looks whether it is to shut down
# From the begin of a run that ends its endpoint until the end, and until the endpoint is back.
CRASH_DELAY_S = 0.075
CRASH_DURATION_S = 1


class Store:
    """In-memory key-value store with revisions and leases; each change wakes waiting watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.era = 1
        self.copy = None
        self.oldest_revision = 0  # watches from an earlier one get 410
        self.accepts_any_lease = False  # lease numbers that went back belong to others
        # Or "busy" (503), "silent" (no response), "lost" (POST calls are executed, but get no
        # response), "read-only" (503 to transactions).
        self.mode = "up"
        self.watches = 0
        self.slow_prefix = None  # reads of this prefix wait for SLOW_READ_S
        self.silent_watches = 0  # watches up to this number never get a response
        self.calls = 0

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def save_copy(self):
        self.copy = json.dumps([self.items, self.revision, list(self.leases.items())])

    def go_back_to_copy(self):
        """Comes back from the copy: later items, leases and history are gone, the era rises."""
        self.items, self.revision, leases = json.loads(self.copy)
        self.leases = {number: tuple(lease) for number, lease in leases}
        self.history = []
        self.oldest_revision = self.revision
        self.era += 1

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "rev": self.revision, "deleted": True})

    def end_lease(self, lease):
        """Ends a lease, and removes its keys."""
        if self.leases.pop(lease, None):
            for key in [k for k, it in self.items.items() if it["lease"] == lease]:
                self.remove(key)

    def expire_leases(self):
        now = time.monotonic()
        for lease in [it for it, (_, end) in self.leases.items() if end < now]:
            self.end_lease(lease)

    def commit(self, body):
        for row in body["expected-rev"]:
            if self.items.get(row["key"], {}).get("rev", 0) != row["rev"]:
                keys = [it["key"] for it in body["expected-rev"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        for row in body["puts"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        self.changed.notify_all()
        return 200, {"rev": self.revision}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def respond(self, status, body, headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        if isinstance(self.server.state, Store):
            self.send_header("Store-Era", str(self.server.state.era))
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class StoreHandler(Handler):
    def handle_call(self, method):
        store = self.server.state
        url = urlparse(self.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = self.body()
        with store.changed:
            store.calls += 1
            is_refused = store.mode == "read-only" and url.path == "/kv-txn"
            if store.mode == "busy" or is_refused:
                return self.respond(503, {})
            if store.mode == "silent":
                self.close_connection = True
                store.changed.wait_for(lambda: store.mode != "silent", timeout=MAX_WAIT_S)
                return None
            store.expire_leases()
            era = store.era
            status, out = self.route(store, method, url.path, query, body)
            if store.era != era:
                self.close_connection = True  # a watch that waited when the store went away
                return None
            if store.mode == "lost" and method == "POST":
                self.close_connection = True
                return None
        return self.respond(status, self.seen(out))

    def seen(self, out):
        """What the callers of this listener read: endpoints under the addresses of its `view`."""
        if not self.server.view:
            return out
        out = dict(out)
        for part in set(out) & {"items", "events"}:
            out[part] = [self.seen_item(it) for it in out[part]]
        return out

    def seen_item(self, item):
        if not item["key"].startswith("servers/") or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        address = entry.get("address")
        entry["address"] = self.server.view.get(address, address)
        return item | {"value": base64.b64encode(json.dumps(entry).encode()).decode()}

    def route(self, store, method, path, query, body):
        if path == "/kv-range":
            if query["prefix"] == store.slow_prefix:
                store.changed.wait_for(lambda: False, timeout=SLOW_READ_S)
            matching = [store.items[k] for k in sorted(store.items) if k.startswith(query["prefix"])
                     and k > query.get("after", "")]
            page = matching[:self.server.page]
            return 200, {"items": page, "has-more": len(matching) > len(page), "at": store.revision}
        if path == "/kv-watch":
            return self.watch(store, query)
        if path == "/kv-txn":
            return store.commit(json.loads(body))
        if path == "/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            lease = store.revision * 1000 + len(store.leases) + 1
            store.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in store.leases:
                return (200 if store.accepts_any_lease else 404), {}
            ttl = store.leases[lease][0]
            store.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/kv-lease-end/"):
            store.end_lease(int(path.rsplit("/", 1)[1]))
            store.changed.notify_all()
            return 200, {}
        return 404, {"method": method}

    def watch(self, store, query):
        after = int(query["after"])
        if after < store.oldest_revision or after > store.revision:
            return 410, {}
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        era = store.era
        store.watches += 1
        number = store.watches
        while True:
            if number <= store.silent_watches:
                self.close_connection = True
                store.changed.wait(timeout=MAX_WAIT_S)
                continue
            store.expire_leases()
            events = [it for it in store.history
                      if it["rev"] > after and it["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if store.era != era:
                return 503, {}
            if events or left <= 0 or store.mode not in ("up", "read-only"):
                return 200, {"events": events, "at": store.revision}
            store.changed.wait(min(left, 0.1))

    def do_GET(self):
        self.handle_call("GET")

    def do_POST(self):
        self.handle_call("POST")

    def do_DELETE(self):
        self.handle_call("DELETE")


class Worker:
    """One endpoint: `mode` selects how it responds, `executed` lists the requests that it ran.

    A stream pauses after event `hold_after` until that is set to 0. In mode "raw", the bytes of `raw`
    are sent as they are (`{attempt}` is replaced by the request's id), and `raw_end` says what
    follows: "close" (an orderly close), "reset", "hold" (nothing), or "endless" (`raw_repeat` again
    and again).

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
        self.rate_limits = []  # stated in each response, in one header each
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
        body = self.body()
        attempt = self.headers.get("X-Attempt-Id", "")
        common = [("X-Attempt-Id", attempt), ("X-Instance-Load", "1,0,8")]
        if self.headers.get("X-Expect-Instance") != worker.name:
            return self.respond(421, b"", common + [("X-Instance-Id", worker.name)])
        worker.arrived.append({"path": self.path, "attempt": attempt, "at": time.monotonic()})
        if worker.is_leaving:
            common.append(("Server-Leaving", "1"))
        common += [("Server-Limit", it) for it in worker.rate_limits]
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


class ControlHandler(Handler):
    """Handles commands of the tests: change modes, write items, list the executed requests."""

    def do_POST(self):
        command = json.loads(self.body())
        platform = self.server.state
        store = platform["store"]
        with store.changed:
            if "store_mode" in command:
                store.mode = command["store_mode"]
            if "slow_prefix" in command:
                store.slow_prefix = command["slow_prefix"]
            if command.get("save_copy"):
                store.save_copy()
            if command.get("go_back"):
                store.go_back_to_copy()
                store.accepts_any_lease = command.get("accepts_any_lease", False)
            for _ in range(command.get("fill", 0)):
                store.put("unrelated", b"")
            if "put" in command:
                raw = command.get("raw")
                store.put(command["put"], json.dumps(command["value"]).encode() if raw is None
                          else raw.encode("latin-1"))
            if "remove" in command:
                store.remove(command["remove"])
            if command.get("silence_watches"):
                store.silent_watches = store.watches
            if command.get("forget_history"):
                store.oldest_revision = store.revision
            if "worker" in command:
                vars(platform["workers"][command["worker"]]).update(command["set"])
            added = None
            if "view" in command:
                # Another address of the store, whose callers see other addresses of endpoints.
                server, added = start_server(StoreHandler, store)
                server.view = command["view"]
            for name in command.get("crash", ()):
                worker = platform["workers"][name]
                worker.crash(worker.server)
            store.changed.notify_all()
            out = {"executed": {k: it.executed for k, it in platform["workers"].items()},
                   "arrived": {k: it.arrived for k, it in platform["workers"].items()},
                   "endless": {k: [it.endless_bytes, it.endless_closed]
                               for k, it in platform["workers"].items()},
                   "crashes": [it for w in platform["workers"].values() for it in w.crashes],
                   "falls": {k: it.falls for k, it in platform["workers"].items()},
                   "calls": store.calls,
                   "store": added,
                   "items": {k: base64.b64decode(it["value"]).decode(errors="replace")
                             for k, it in store.items.items()}}
        self.respond(200, out)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *arguments, **named):
        self.has_crashed = threading.Event()
        self.queues_connections = False  # after a crash; otherwise it closes them
        self.connections = set()
        super().__init__(*arguments, **named)

    def get_request(self):
        connection, address = super().get_request()
        self.connections.add(connection)
        if self.has_crashed.is_set():
            connection.shutdown(socket.SHUT_RD)
        return connection, address

    def shutdown_request(self, request):
        self.connections.discard(request)
        if not self.has_crashed.is_set():
            return super().shutdown_request(request)
        request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return self.close_request(request)  # a reset, without an orderly close before it

    def _handle_request_noblock(self):
        if self.has_crashed.is_set() and self.queues_connections:
            time.sleep(POLL_S)
            return
        super()._handle_request_noblock()

    def refuse_connections(self):
        """Refuses new connections at once."""
        self.socket.shutdown(socket.SHUT_RDWR)

    def close_connections(self):
        """Ends the reads of all connections, which are reset then."""
        for it in list(self.connections):
            try:
                it.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # has ended by itself

    def handle_error(self, request, client_address):
        """A client that closes its connection is no error; anything else is printed."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)

    page = 500
    view = None  # addresses of endpoints by those in their entries


def start_server(handler, state):
    server = Server(("127.0.0.1", 0), handler)
    server.state = state
    threading.Thread(target=server.serve_forever, args=(POLL_S,), daemon=True).start()
    return server, "127.0.0.1:%d" % server.server_address[1]


def main():
    names = sys.argv[1:] or ["w1", "w2"]
    store = Store()
    workers = {it: Worker(it, store.changed) for it in names}
    _, store_address = start_server(StoreHandler, store)
    addresses = {}
    for name, worker in workers.items():
        worker.server, addresses[name] = start_server(WorkerHandler, worker)
        worker.store = store
    platform = {"store": store, "workers": workers}
    _, control = start_server(ControlHandler, platform)
    print(json.dumps({"store": store_address, "workers": addresses, "control": control}),
          flush=True)
    sys.stdin.read()


main()
