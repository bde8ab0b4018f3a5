"""What the scripts of the review share: gateways, the stand-in of the platform, clients, a record.

The gateways are started as the deploy file says (`run` and `template`), each on ports of 127.0.0.1 of its
own. A script ends the processes that it started and no others.
"""
import http.client
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import closing

ROOT = pathlib.Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
CONTACT_S = 3.0
DRAIN_S = 2.0
PORTS = (12_000, 32_000)  # below the range of outgoing connections
BOUNDS = {"grace-s": 8, "retry-budget-ratio": 0.2, "budget-slack": 52}
WRITES_PER_S = 400


class CouldNotRun(Exception):
    """The case could not be set up as it is described."""


def is_free(port):
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False


class Ports:
    def __init__(self):
        self.given = set()

    def take(self):
        while True:
            port = random.SystemRandom().randrange(*PORTS)
            if port not in self.given and is_free(port):
                self.given.add(port)
                return port


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.begin = time.monotonic()

    def write(self, what, **fields):
        at = fields.pop("at", time.monotonic())
        with self.lock:
            self.file.write(json.dumps({"s": round(at - self.begin, 3), "what": what, **fields}) + "\n")

    def note(self, text, **fields):
        self.write("note", text=text, **fields)
        print(f"{time.monotonic() - self.begin:7.2f} s  {text} {fields or ''}", flush=True)

    def close(self):
        self.file.close()


class Answer:
    def __init__(self, status, headers=None, body=b"", is_complete=False, sent=0.0, ended=0.0):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete
        self.sent = sent
        self.ended = ended


class Platform:
    def __init__(self, workers):
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "review" / "lib" / "standin.py"), *workers],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.addresses = json.loads(self.process.stdout.readline())
        self.born = {it: int(time.time() * 1000) for it in workers}
        self.sequence = 0

    def command(self, **command):
        with closing(http.client.HTTPConnection(self.addresses["control"], timeout=10)) as connection:
            connection.request("POST", "/", json.dumps(command))
            return json.loads(connection.getresponse().read())

    def entry(self, name, service="pool", state="ready", **more):
        self.sequence += 1
        return {"service": service, "address": self.addresses["workers"][name], "zone": "a",
                "slots": 64, "state": state, "version": "v1", "cold-remaining-ms": 0,
                "sequence": self.sequence, "born": self.born[name], **more}

    def put(self, key, value):
        self.command(put={key: value})

    def close(self):
        self.process.stdin.close()
        self.process.wait(10)
        self.process.stdout.close()


def fill(template, values):
    """Fills in the placeholders that deploy/settings.json has. One without a value gives nothing, as JSON null."""
    def value(it):
        name = it.group(1)
        return str(values.get(name, "null" if name.endswith("|json") else ""))
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Gateway:
    def __init__(self, name, store, ports):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["gateway"]
        self.program = ROOT / self.role["run"]
        if not self.program.exists():
            raise CouldNotRun(f"{self.role['run']} is not built")
        self.name = name
        self.caller, self.ready, self.directory, metrics, peer = (ports.take() for _ in range(5))
        here = "127.0.0.1:"
        text = fill((ROOT / self.role["template"]).read_text(), {
            "node": name, "zone": "a", "ip": "127.0.0.1", "port-range.0": peer,
            "listen.front": f"{here}{self.caller}", "listen.ready": f"{here}{self.ready}",
            "listen.directory": f"{here}{self.directory}", "provider.address": store,
            "provider.writes-per-s": WRITES_PER_S, "zones|json": "{}", **{"bounds." + k: v for k, v in BOUNDS.items()}})
        # All gateways of a script have one address, so their fixed port of the metrics would collide.
        text = text.replace("127.0.0.1:9464", f"{here}{metrics}")
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "settings.json"
        self.settings.write_text(text)
        self.log = open(pathlib.Path(self.folder.name) / "log.txt", "w+", encoding="utf-8")
        self.process = None

    def start(self):
        self.process = subprocess.Popen([str(self.program)], cwd=ROOT, stdout=self.log, stderr=self.log,
                                        env={"PATH": os.environ["PATH"], "LANG": "C",
                                             "GENTIANLOOM_NODE_FILE": str(self.settings)})

    def is_ready(self):
        try:
            with closing(http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)) as connection:
                connection.request("GET", "/readiness")
                return connection.getresponse().status == 200
        except OSError:
            return False

    def await_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > end:
                raise CouldNotRun(f"{self.name} did not become ready")
            time.sleep(0.05)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_text(self):
        self.log.flush()
        return (pathlib.Path(self.folder.name) / "log.txt").read_text(errors="replace")

    def close(self):
        self.kill()
        self.log.close()
        self.folder.cleanup()


class Fleet:
    """A stand-in of the platform and gateways in front of its workers."""

    def __init__(self, folder, workers, platform=None):
        self.record = Record(folder)
        self.platform = (platform or Platform)(workers)
        self.ports = Ports()
        self.gateways = []
        self.numbers = itertools.count(1)
        self.own_path = {}

    def start_gateways(self, count, own_paths=False):
        for n in range(count):
            name = f"front-a-{n + 1}"
            store = self.platform.addresses["store"]
            if own_paths:
                store = self.platform.command(path=name)["path"]
            self.gateways.append(Gateway(name, store, self.ports))
        for it in self.gateways:
            it.start()
        for it in self.gateways:
            it.await_ready()

    def send(self, gateway, path, key="k1", usage=None, method="POST", deadline_ms=3000, body=b"hello",
             attempt=None, prefix=None):
        """One client attempt on a channel of its own."""
        attempt = attempt or f"r{next(self.numbers):06d}"
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Credential": key,
                   "X-Deadline-Ms": str(deadline_ms)}
        if usage:
            part = prefix or f"{random.getrandbits(40):x}"
            headers |= {"X-Model": "m", "X-Token-Usage": usage,
                        "X-Prompt-Prefix": f"{part}:{usage.split(',')[0]}"}
        sent = time.monotonic()
        self.record.write("sent", at=sent, attempt=attempt, gateway=gateway.name, path=path, usage=usage)
        out = Answer(0, sent=sent)
        try:
            with closing(http.client.HTTPConnection("127.0.0.1", gateway.caller,
                                                    timeout=deadline_ms / 1000)) as connection:
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                out.status, out.headers = response.status, dict(response.headers.items())
                out.body = response.read()
                out.is_complete = True
        except (OSError, http.client.HTTPException):
            pass
        out.ended = time.monotonic()
        out.attempt = attempt
        self.record.write("answered", attempt=attempt, status=out.status, complete=out.is_complete,
                          after_ms=round((out.ended - sent) * 1000),
                          retry_after=out.headers.get("Retry-After"))
        return out

    def held_tokens(self, tenant):
        """Tokens of a tenant that each gateway holds, by what it reports to the store."""
        items = self.platform.command(read=True)["items"]
        out = {}
        for gateway in self.gateways:
            report = json.loads(items.get("/gentianloom/usage/" + gateway.name, "{}"))
            for shard in report.get("shards", ()):
                holder = shard["holders"].get(tenant)
                if holder:
                    out[gateway.name] = holder["granted"] - holder.get("returned", 0) - holder["spent"]
        return out

    def read(self):
        out = self.platform.command(read=True)
        for it in out["runs"]:
            self.record.write("run", **it)
        return out

    def close(self):
        for it in self.gateways:
            it.close()
        self.platform.close()
        self.record.close()


def configuration(version, routes, tenants, services=None):
    pool = {"name": "pool", "max-connections": 360,
            "engine": {"slots": 64, "kv-capacity-tokens": 518_475, "stride": 5}}
    return {"version": version, "routes": routes, "services": services or [pool],
            "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
            "tenants": tenants}


def main(case, folder):
    """Runs a case and exits with what it returns; any failure of the script itself is COULD_NOT_RUN."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # ends what was started
    try:
        code = case(folder)
    except Exception as ex:  # a broken script must not look like a broken rule
        print(f"could not run: {type(ex).__name__}: {ex}")
        code = COULD_NOT_RUN
    sys.exit(code)
