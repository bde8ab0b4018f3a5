"""A small deployment on loopback: stand-ins of the store, of workers and of clients, and gateways as processes.

The store and the HTTP server are the project's own stand-ins (tests/platform), with what PROTOCOL.md says besides: an
answer can be lost and its call executed seconds later, a waiting watch can be cut, and an entry of a worker changes
only when more than its `sequence` changes.
"""
import base64
import http.client
import itertools
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "platform"))
from standin_server import Handler, start_server  # noqa: E402
from standin_store import Store, StoreHandler  # noqa: E402

HEARTBEAT_S = 1.2  # heartbeat-ms of sites/vitosha-swapline.toml
DRAIN_S = 2.0  # drain-ms
CONTACT_S = 3.0  # contact-ms
GRACE_S = 8
HOST = "h.example"
KEY = "n2ctnfzs989anu6wsjnb"
given_ports = set()


class Record:
    """Lines of record.txt: seconds since the start, what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class LossyStore(Store):
    """`late`: key and seconds; the next write of this key gets no answer and is executed so much later."""

    def __init__(self):
        super().__init__()
        self.late = None
        self.cut_watches_of = None  # prefix whose waiting watches are cut once
        self.removed_at = {}
        self.executed_late_at = None

    def put(self, key, value, lease=0):
        known = self.items.get(key)
        if known and key.startswith("servers/"):
            old = json.loads(base64.b64decode(known["value"]))
            new = json.loads(value)
            if old | {"sequence": 0} == new | {"sequence": 0}:
                known["lease"] = lease
                return
        super().put(key, value, lease)

    def remove(self, key):
        if key in self.items:
            self.removed_at[key] = time.monotonic()
        super().remove(key)


class LossyStoreHandler(StoreHandler):
    def handle_call(self, method):
        store = self.server.state
        if method == "POST" and self.path == "/kv-txn" and store.late:
            body = self.body()
            keys = [it["key"] for it in json.loads(body)["puts"]]
            with store.changed:
                key, delay = store.late
                is_late = key in keys
                store.late = None if is_late else store.late
            if is_late:
                threading.Timer(delay, self.execute_late, (store, json.loads(body))).start()
                self.close_connection = True
                time.sleep(delay)  # nothing further comes on this channel
                return None
            self.body = lambda: body
        return super().handle_call(method)

    @staticmethod
    def execute_late(store, body):
        with store.changed:
            store.expire_leases()
            store.executed_late_at = time.monotonic()
            store.commit(body)

    def watch(self, store, query):
        store.changed.wait(0)  # lets a cut that is due reach watches that begin now as well
        prefix = query["prefix"]
        cut_before = store.cut_watches_of
        after = int(query["after"])
        if after < store.oldest_revision or after > store.revision:
            return 410, {}
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            store.expire_leases()
            events = [it for it in store.history if it["rev"] > after and it["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": store.revision}
            if store.cut_watches_of == prefix and cut_before != prefix:
                raise WatchCut
            cut_before = store.cut_watches_of
            store.changed.wait(min(left, 0.05))

    def do_GET(self):
        try:
            super().do_GET()
        except WatchCut:
            self.close_connection = True


class WatchCut(Exception):
    """The store ends a waiting watch without an answer."""


class Worker:
    """A worker of a plain service, which writes its entry into the store every HEARTBEAT_S."""

    def __init__(self, record, store_address, name, service, work_s, on_arrival):
        self.record = record
        self.store_address = store_address
        self.name = name
        self.service = service
        self.work_s = work_s
        self.on_arrival = on_arrival
        self.state = "ready"
        self.version = "v1"
        self.sequence = itertools.count(1)
        self.born = int(time.time() * 1000)
        self.has_ended = threading.Event()
        self.lease = 0
        self.beats = True
        self.server, self.address = start_server(WorkerHandler, self)

    def call(self, method, path, body=None, timeout=1.0):
        connection = http.client.HTTPConnection(self.store_address, timeout=timeout)
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None,
                               {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException):
            return None, {}
        finally:
            connection.close()

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "sofia-a", "version": self.version,
                "slots": 6, "state": self.state, "cold-remaining-ms": 0, "sequence": next(self.sequence),
                "born": self.born}

    def beat(self):
        """Writes the entry. Returns whether the store has acknowledged it."""
        if self.lease and self.call("POST", f"/kv-keep/{self.lease}")[0] == 404:
            self.lease = 0  # it has ended
        if self.lease == 0:
            self.lease = self.call("POST", "/kv-lease", {"ttl-ms": int(3 * HEARTBEAT_S * 1000)})[1].get("lease", 0)
        entry = self.entry()
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        status, _ = self.call("POST", "/kv-txn", {"expected-rev": [], "remove": [], "puts": [
            {"key": "servers/" + self.name, "value": value, "lease": self.lease}]})
        self.record.line(f"worker {self.name} wrote state={entry['state']} sequence={entry['sequence']}, "
                         f"store answered {status}")
        return status == 200

    def leave_list(self):
        """Removes the entry, as a worker does that never reports `draining`. Returns whether it is acknowledged."""
        self.beats = False
        status, _ = self.call("POST", "/kv-txn", {"expected-rev": [], "puts": [],
                                                  "remove": ["servers/" + self.name]})
        self.record.line(f"worker {self.name} removed its entry, store answered {status}")
        return status == 200

    def end(self):
        """Ends the process that this stand-in stands for: all channels end, no new ones are accepted."""
        self.record.line(f"worker {self.name} exits")
        self.beats = False
        self.has_ended.set()
        self.server.has_crashed.set()
        self.server.refuse_connections()
        self.server.close_connections()


class WorkerHandler(Handler):
    def serve(self):
        worker = self.server.state
        arrived = time.monotonic()
        self.body()
        attempt = self.headers.get("X-Attempt-Id", "")
        common = [("X-Attempt-Id", attempt), ("X-Instance-Load", "1,0,6")]
        if self.headers.get("X-Expect-Instance") != worker.name:
            return self.respond(421, b"", common + [("X-Instance-Id", worker.name)])
        worker.record.line(f"worker {worker.name} runs {attempt}")
        worker.on_arrival(worker, attempt, arrived)
        if worker.has_ended.wait(worker.work_s):
            self.close_connection = True
            worker.record.line(f"worker {worker.name} broke off {attempt}")
            return None
        if "X-Token-Usage" in self.headers:
            return self.stream(common + [("X-Server-Signature", "s-" + attempt)])
        return self.respond(200, b"done " + attempt.encode(), common + [("X-Server-Signature", "s-" + attempt)])

    def stream(self, headers):
        """A generation of one event."""
        self.send_response(200)
        for name, value in headers + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        event = b"id: 1\ndata: five tokens\n\n"
        self.wfile.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))

    do_GET = do_POST = serve


def configuration(services, version=7, model_service=None):
    """One `unsafe` route for each service, and a `streaming` one for the model service: /SERVICE/."""
    routes = [{"name": "r-" + it, "host": HOST, "prefix": f"/{it}/", "kind": "unsafe", "timeout-ms": 2500,
               "target-latency-ms": 150, "priority": 0, "service": it, "max-attempts": 1,
               "allow-anonymous": False} for it in services]
    plain = [{"name": it, "health-check-path": "/health", "max-connections": 96, "protocol": "h1", "tls": False}
             for it in services]
    if model_service:
        routes.append({"name": "r-" + model_service, "host": HOST, "prefix": f"/{model_service}/",
                       "kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 300, "priority": 0,
                       "service": model_service, "max-attempts": 1, "allow-anonymous": False,
                       "session-affinity": True, "resumable": False, "target-gap-ms": 200})
        plain.append({"name": model_service, "health-check-path": "/health", "max-connections": 360,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kv-capacity-tokens": 518475, "kv-bytes": 163840,
                                 "link-mbps": 740000.0, "stride": 5, "models": [{"name": "m"}]}})
    return {"version": version, "routes": routes, "services": plain,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1, "prepaid": 4663829}]}


def free_port():
    """A port below those of outgoing channels, which no other gateway has been given."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            return port


class Gateway:
    """The program of the deploy file, with the settings that the bench shows for sites/vitosha-swapline.toml."""

    def __init__(self, folder, name, store_address):
        self.name = name
        self.ports = [free_port() for _ in range(5)]
        front, ready, directory, metrics, peer = [f"127.0.0.1:{it}" for it in self.ports]
        self.front, self.ready = front, ready
        settings = {"instance": name, "availability_zone": "sofia-a", "caller_address": front,
                    "readiness_address": ready, "directory_address": directory, "metrics_address": metrics,
                    "peer_address": peer, "store_address": store_address, "store_writes_per_s": "400",
                    "rights_window_s": "20", "leave_time_s": str(GRACE_S), "retry_share": "0.2", "retry_slack": "52",
                    "cold_overage": "", "cold_slack": "", "memory_mb": "110", "max_fds": "4100",
                    "zones": {"sofia-a": "sofia"}}
        path = pathlib.Path(folder) / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.settings_path = path
        self.log = open(self.log_path, "wb")
        self.start()

    def start(self):
        program = ROOT / "target" / "bin" / "gentianloom-gateway"
        if not program.exists():
            raise FileNotFoundError(program)
        environment = {"PATH": os.environ.get("PATH", ""), "GENTIANLOOM_NODE_FILE": str(self.settings_path)}
        self.process = subprocess.Popen([str(program)], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=subprocess.STDOUT)

    def memory_mb(self):
        """VmRSS of the process; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0
        return next((int(it.split()[1]) / 1024 for it in status.splitlines() if it.startswith("VmRSS:")), 0)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ready, timeout=1)
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_until_ready(self, time_s=10):
        end = time.monotonic() + time_s
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise RuntimeError("the gateway is not ready")
            time.sleep(0.05)

    def log_lines(self):
        out = []
        for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines():
            try:
                out.append(json.loads(line))
            except ValueError:
                continue
        return out

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Clients:
    """Clients that send `per_s` requests a second to one path, each on one of `count` channels."""

    def __init__(self, record, gateway, path, per_s, count=8):
        self.record = record
        self.gateway = gateway
        self.path = path
        self.interval = count / per_s
        self.answers = {}
        self.sent_at = {}
        self.stopped = threading.Event()
        self.numbers = itertools.count(1)
        self.prefix = 0  # distinguishes the requests of several crowds
        self.threads = [threading.Thread(target=self.run, args=(n * self.interval / count,), daemon=True)
                        for n in range(count)]

    def start(self):
        for it in self.threads:
            it.start()

    def stop(self):
        self.stopped.set()
        for it in self.threads:
            it.join(timeout=6)

    def run(self, delay):
        connection = None
        next_at = time.monotonic() + delay
        while not self.stopped.wait(max(0, next_at - time.monotonic())):
            next_at = max(next_at + self.interval, time.monotonic())
            connection = self.send(connection)

    def send(self, connection):
        attempt = f"{os.getpid():x}-{self.prefix}-{next(self.numbers):06d}"
        connection = connection or http.client.HTTPConnection(self.gateway.front, timeout=5)
        self.sent_at[attempt] = time.monotonic()
        try:
            connection.request("POST", self.path, b"affirmation", {
                "Host": HOST, "X-Attempt-Id": attempt, "X-Credential": KEY, "X-Deadline-Ms": "2500"})
            response = connection.getresponse()
            response.read()
            self.answers[attempt] = response.status
            if response.status != 200 or response.headers.get("Connection") == "close":
                connection.close()
                connection = None
        except (OSError, http.client.HTTPException) as ex:
            self.answers[attempt] = type(ex).__name__
            connection.close()
            connection = None
        self.record.line(f"client sent {attempt} at {self.sent_at[attempt] - self.record.start:.3f}, "
                         f"got {self.answers[attempt]}")
        return connection


class Deployment:
    """The store, its workers and one gateway; ends all of it."""

    def __init__(self, folder, services, model_service=None, record=None):
        self.record = record or Record(pathlib.Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.store = LossyStore()
        self.store_server, self.store_address = start_server(LossyStoreHandler, self.store)
        self.gateway = None
        self.workers = []
        self.arrivals = []  # worker, attempt, time
        with self.store.changed:
            self.store.put("op/config", json.dumps(configuration(services, model_service=model_service)).encode())

    def add_worker(self, name, service, work_s):
        worker = Worker(self.record, self.store_address, name, service, work_s,
                        lambda it, attempt, at: self.arrivals.append((it.name, attempt, at)))
        self.workers.append(worker)
        return worker

    def start_gateway(self):
        self.gateway = Gateway(self.temporary.name, "front-sofia-a-1", self.store_address)
        self.gateway.wait_until_ready()

    def close(self):
        for it in self.workers:
            it.beats = False
        if self.gateway:
            self.gateway.close()
        self.temporary.cleanup()


def sleep_until(moment):
    time.sleep(max(0, moment - time.monotonic()))
