"""Stand-ins of the platform on loopback, and gateways as processes, for the scripts of the third review.

One event loop runs the store, the workers and the clients. They follow PROTOCOL.md and letter 5
(`Store-Era`, a store that comes back from a copy). Only processes that are started here are ended.
"""
import asyncio
import base64
import copy
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlparse

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "bin" / "gentianloom-gateway"  # `run` of deploy/system.toml
HEARTBEAT_S = 1.2
PORTS = (12_000, 32_000)  # below the range of outgoing connections


class CannotRun(Exception):
    """The case could not be played; its script exits with 2."""


def now():
    return time.monotonic()


def free_ports(count, used=set()):
    out = []
    while len(out) < count:
        port = random.randrange(*PORTS)
        if port in used:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        used.add(port)
        out.append(port)
    return out


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.start = now()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def add(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")

    def say(self, text):
        self.add(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the start line and the headers (names in lower case) of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (it.split(":", 1) for it in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    """Yields the parts of a body as they arrive."""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield part[:-2]
    length = int(headers.get("content-length", 0))
    if length:
        yield await reader.readexactly(length)


async def serve_http(handle, port=0, on_connect=None):
    """Serves requests one after the other on each connection; `handle` writes the answer itself."""

    async def serve(reader, writer):
        try:
            if on_connect:
                on_connect(writer)
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = b"".join([it async for it in read_body(reader, headers)])
                if await handle(method, target, headers, body, reader, writer) is False:
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port, backlog=512)


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers),
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class StorePort:
    """The store as one machine reaches it: up, busy (503), silent (no answer) or away (resets)."""

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.mode = "up"
        self.writers = set()

    async def start(self):
        self.server = await serve_http(self.handle, on_connect=self.on_connect)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def on_connect(self, writer):
        self.writers = {it for it in self.writers if not it.is_closing()} | {writer}
        if self.mode == "away":
            writer.transport.abort()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "away":
            for it in self.writers:
                it.transport.abort()
        self.store.wake()

    async def handle(self, method, target, _, body, __, writer):
        if self.mode == "silent":
            while self.mode == "silent":
                await asyncio.sleep(0.05)
            return False
        if self.mode == "away":
            writer.transport.abort()
            return False
        status, out = 503, {}
        if self.mode == "up":
            await asyncio.sleep(self.store.delay_s)
            status, out = await self.store.call(self, method, target, body)
        if self.mode in ("silent", "away"):
            writer.transport.abort()
            return False
        headers = [("Content-Type", "application/json"), ("Store-Era", self.store.era)]
        writer.write(answer(status, json.dumps(out).encode(), headers))
        await writer.drain()
        return True


class Store:
    """The key-value store of the platform."""

    def __init__(self, record):
        self.record = record
        self.delay_s = 0.004
        self.stale_s = 0  # how old the answers to reads with `allow-stale` are
        self.era = 1
        self.revision = 1
        self.items = {}
        self.history = []
        self.oldest = 0
        self.leases = {}  # number: (ttl in s, end)
        self.changed = asyncio.Event()
        self.copies = []  # (time, state), for a return to a copy and for stale reads
        self.last_writer = {}  # by key: name of the machine that last wrote it under a condition

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "rev": self.revision, "deleted": True})

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
                self.remove(key)
            self.wake()

    async def run(self):
        """Ends leases, and keeps copies of the last seconds."""
        while True:
            for lease in [n for n, (_, end) in self.leases.items() if end < now()]:
                self.end_lease(lease)
            self.copies = [it for it in self.copies if now() - it[0] < 6]
            self.copies.append((now(), (dict(self.items), self.revision, dict(self.leases))))
            await asyncio.sleep(0.1)

    def copy_of(self, age_s):
        old = [it for it in self.copies if it[0] <= now() - age_s]
        if not old:
            raise CannotRun("no copy of the store is that old")
        return old[-1]

    def go_back(self, saved):
        """Comes back from a copy: what was written since is gone, and the era rises."""
        at, (items, revision, leases) = saved
        age = now() - at
        self.items, self.revision = dict(items), revision
        self.leases = {n: (ttl, end + age) for n, (ttl, end) in leases.items()}
        self.history, self.oldest = [], revision
        self.copies = []
        self.era += 1
        self.wake()

    def value(self, key):
        it = self.items.get(key)
        return json.loads(base64.b64decode(it["value"])) if it else None

    async def call(self, port, method, target, body):
        url = urlparse(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/kv-range":
            items, revision = self.items, self.revision
            if query.get("allow-stale") == "1" and self.stale_s:
                old = [it for it in self.copies if it[0] <= now() - self.stale_s]
                if old:
                    items, revision, _ = old[-1][1]
            found = [items[k] for k in sorted(items)
                     if k.startswith(query["prefix"]) and k > query.get("after", "")]
            return 200, {"items": found[:500], "has-more": len(found) > 500, "at": revision}
        if url.path == "/kv-key":
            it = self.items.get(query["key"])
            return (200, it | {"at": self.revision}) if it else (404, {})
        if url.path == "/kv-watch":
            return await self.watch(port, query)
        if url.path == "/kv-txn":
            return self.commit(port, json.loads(body))
        if url.path == "/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            self.revision += 1
            self.leases[self.revision] = (ttl / 1000, now() + ttl / 1000)
            return 200, {"lease": self.revision, "ttl-ms": ttl}
        number = int(url.path.rsplit("/", 1)[1]) if url.path.rsplit("/", 1)[1].isdigit() else 0
        if url.path.startswith("/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][0]
            self.leases[number] = (ttl, now() + ttl)
            return 200, {"ttl-ms": int(ttl * 1000)}
        if url.path.startswith("/kv-lease-end/"):
            self.end_lease(number)
            return 200, {}
        return 404, {"method": method}

    def commit(self, port, body):
        for row in body["expected-rev"]:
            if self.items.get(row["key"], {}).get("rev", 0) != row["rev"]:
                keys = [it["key"] for it in body["expected-rev"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        if any(it.get("lease") and it["lease"] not in self.leases for it in body["puts"]):
            return 404, {}
        for it in body["puts"]:
            self.put(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
            self.last_writer[it["key"]] = port.name
        for key in body.get("remove", []):
            self.remove(key)
        self.wake()
        return 200, {"rev": self.revision}

    async def watch(self, port, query):
        after, era = int(query["after"]), self.era
        end = now() + int(query["wait-ms"]) / 1000
        if after < self.oldest or after > self.revision:
            return 410, {}
        while True:
            changed = self.changed
            if self.era != era or port.mode != "up":
                return 503, {}
            events = [it for it in self.history
                      if it["rev"] > after and it["key"].startswith(query["prefix"])]
            if events or now() >= end:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass


class Worker:
    """A sound worker: runs each request that expects it, and tells the store of itself."""

    def __init__(self, store, record, name, service="pool", zone="a", events=5, event_s=0.0,
                 work_s=0.005):
        self.store, self.record, self.name = store, record, name
        self.service, self.zone = service, zone
        self.events, self.event_s, self.work_s = events, event_s, work_s
        self.sequence = 0
        self.state = "ready"
        self.listed = True
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, attempt, tenant, path)
        self.running = 0

    async def start(self):
        self.server = await serve_http(self.handle)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.write_entry()
        return self

    def write_entry(self):
        self.sequence += 1
        self.store.put_json("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 64, "state": self.state, "cold-remaining-ms": 0, "sequence": self.sequence,
            "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.listed:
                self.write_entry()

    async def handle(self, method, target, headers, body, reader, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(answer(421, b"", [("X-Attempt-Id", attempt), ("X-Instance-Id", self.name)]))
            await writer.drain()
            return True
        self.runs.append((now(), attempt, headers.get("x-tenant-id", ""), target))
        self.record.add(f"run     {attempt} at {self.name} for {headers.get('x-tenant-id', '-')}"
                        f" usage {headers.get('x-token-usage', '-')}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            common = [("X-Attempt-Id", attempt), ("X-Server-Signature", "sig-" + attempt),
                      ("X-Instance-Load", f"{self.running},0,64")]
            if "x-token-usage" not in headers:
                writer.write(answer(200, b"whole answer of " + attempt.encode(), common))
            else:
                await self.stream(headers, writer, common)
            await writer.drain()
        finally:
            self.running -= 1
        return True

    async def stream(self, headers, writer, common):
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in common),
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for n in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            event = f"id: {n}\ndata: token {n}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if self.event_s:
                await writer.drain()
                await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


class Gateway:
    """One gateway process with settings like those of a small deployment."""

    def __init__(self, name, port, folder, zone="a"):
        self.name, self.port, self.folder, self.zone = name, port, folder, zone
        self.process = None
        self.write_settings()

    def write_settings(self):
        """Writes deploy/settings.json, filled in, with ports that are free now."""
        self.caller, self.ready, self.directory, self.peer, metrics = free_ports(5)
        at = "127.0.0.1:%d"
        settings = {
            "instance": self.name, "availability_zone": self.zone, "caller_address": at % self.caller,
            "readiness_address": at % self.ready, "directory_address": at % self.directory,
            "metrics_address": at % metrics, "peer_address": at % self.peer,
            "store_address": self.port.address, "store_writes_per_s": "400", "rights_window_s": "20",
            "leave_time_s": "8", "retry_share": "0.2", "retry_slack": "54", "cold_overage": "",
            "cold_slack": "", "memory_mb": "260", "link_mbps": "1000.0", "max_fds": "4100",
            "zones": {"a": "r", "b": "r"}}
        self.settings = pathlib.Path(self.folder) / f"{self.name}.json"
        self.settings.write_text(json.dumps(settings))

    def start(self):
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["GENTIANLOOM_NODE_FILE"] = str(self.settings)
        self.process = subprocess.Popen([str(GATEWAY)], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log)
        log.close()

    async def wait_ready(self, timeout_s=10):
        end = now() + timeout_s
        while now() < end:
            if self.process.poll() is not None:  # another process was given one of its ports
                self.write_settings()
                self.start()
            status = (await call(self.ready, "GET", "/readiness", {}, timeout_s=1)).status
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {timeout_s} s")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Reply:
    def __init__(self):
        self.status = None  # None: no answer
        self.headers = {}
        self.body = b""
        self.complete = False

    @property
    def events(self):
        return self.body.count(b"\n\n")


async def call(port, method, target, headers, body=b"", timeout_s=5, connection=None):
    """Sends a request; on a new channel, or on a kept one (reader, writer)."""
    out = Reply()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            if connection:
                reader, writer = connection
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            fields = {"Host": "h.example"} | headers
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, out.headers = await read_head(reader)
            out.status = int(first.split(" ")[1])
            async for part in read_body(reader, out.headers):
                out.body += part
            out.complete = True
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        pass
    finally:
        if writer and not connection:
            writer.close()
    return out


class Fleet:
    """The store, workers and gateways of one case."""

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.workers = []
        self.gateways = []
        self.tasks = []
        self.folder = tempfile.TemporaryDirectory()
        self.number = 0

    def run(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def start(self, configuration, gateways, workers, make_worker=Worker):
        if not GATEWAY.exists():
            raise CannotRun("target/ is not built")
        self.run(self.store.run())
        self.store.put_json("op/config", configuration)
        for n in range(workers):
            worker = await make_worker(self.store, self.record, f"w{n + 1}").start()
            self.workers.append(worker)
            self.run(worker.beat())
        for n in range(gateways):
            port = await StorePort(self.store, f"g{n + 1}").start()
            self.gateways.append(Gateway(f"g{n + 1}", port, self.folder.name))
        for it in self.gateways:
            it.start()
        for it in self.gateways:
            await it.wait_ready()

    def gateway(self, name):
        return next(it for it in self.gateways if it.name == name)

    async def drill(self, age_s, away_s):
        """The store is away for a moment, and comes back from a copy (letter 5)."""
        saved = self.store.copy_of(age_s)
        configuration = self.store.value("op/config")
        modes = {it: it.port.mode for it in self.gateways}
        for it in self.gateways:
            it.port.set_mode("away")
        self.record.say(f"the store is away for {away_s} s")
        await asyncio.sleep(away_s)
        self.store.go_back(saved)
        self.store.put_json("op/config", configuration)  # the operator writes it again
        for it in self.workers:
            if it.listed:
                it.write_entry()  # and so do the workers
        for it, mode in modes.items():
            if it.port.mode == "away":
                it.port.set_mode(mode)
        self.record.say(f"the store is back from a copy {age_s} s old, era {self.store.era}")

    async def close(self):
        for it in self.tasks:
            it.cancel()
        for it in self.gateways:
            it.end()
        if "KEEP_LOGS" in os.environ:  # a folder for the gateways' logs, to look into a run
            for it in pathlib.Path(self.folder.name).glob("*.log"):
                shutil.copy(it, os.environ["KEEP_LOGS"])
        self.folder.cleanup()


def play(case, folder):
    """Plays a case; exits with 1 if it returns False, 0 if True, 2 if it could not run."""
    record = Record(folder)

    async def run():
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(110):
                return await case(fleet, record)
        finally:
            await fleet.close()

    try:
        holds = asyncio.run(run())
        record.say("the rule holds" if holds else "the rule is broken")
        code = 0 if holds else 1
    except (CannotRun, asyncio.TimeoutError, OSError) as ex:
        record.say(f"could not run: {ex!r}")
        code = 2
    record.close()
    raise SystemExit(code)
