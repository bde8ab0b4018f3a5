"""One stand-in of the platform and one gateway, as separate processes, for the process tests.

The gateway uses free ports below those of outgoing connections; only these processes are ended.
"""
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
import time
from contextlib import closing

HERE = pathlib.Path(__file__).resolve().parent
BUILD = pathlib.Path(os.environ.get("GENTIANLOOM_BUILD", HERE.parent.parent / "build"))
WAIT_S = 8
ADDRESS_LIFE_S = 0.2
PORTS = (12_000, 32_000)  # below the range that Linux gives to outgoing connections
given_ports = set()

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


def is_free(port):
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False


def free_ports(count):
    """Ports that no outgoing connection takes before a gateway listens on them."""
    out = []
    while len(out) < count:
        port = random.randrange(*PORTS)
        if port not in given_ports and is_free(port):
            given_ports.add(port)
            out.append(port)
    return out


class Response:
    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        try:
            self.body = response.read()
            self.is_complete = True
        except (http.client.IncompleteRead, ConnectionError) as ex:
            self.body = getattr(ex, "partial", b"")
            self.is_complete = False


class Platform:
    """The stand-in of the platform: its key-value store and endpoints."""

    def __init__(self, versions=None):
        """`versions`: software version of each endpoint, by its name."""
        self.versions = dict(versions or {"w1": "v1", "w2": "v1"})
        self.sequence = itertools.count(1)
        self.process = subprocess.Popen([sys.executable, str(HERE / "standin.py"), *self.versions],
                                        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.addresses = json.loads(self.process.stdout.readline())
        self.send_command(put="op/config", value=configuration())
        for name in self.versions:
            self.list_endpoint(name)

    def list_endpoint(self, name, state="ready", **more):
        self.send_command(put="servers/" + name, value={
            "service": "pool", "address": self.addresses["workers"][name], "zone": "a", "slots": 8,
            "state": state, "version": self.versions[name], "cold-remaining-ms": 0,
            "sequence": next(self.sequence), **more})

    def send_command(self, **command):
        with closing(http.client.HTTPConnection(self.addresses["control"], timeout=5)) as connection:
            connection.request("POST", "/", json.dumps(command))
            return json.loads(connection.getresponse().read())

    def configure_workers(self, **changes):
        for name in self.addresses["workers"]:
            self.send_command(worker=name, set=changes)

    def executed_requests(self):
        executed = self.send_command()["executed"]
        return [it for name in executed for it in executed[name]]

    def close(self):
        self.process.stdin.close()
        self.process.wait()
        self.process.stdout.close()


class Environment:
    """One gateway and its stand-in of the platform, which several gateways can share."""

    def __init__(self, start_gateway=True, platform=None, name="g1", **settings):
        self.platform = platform or Platform()
        self.owns_platform = platform is None
        self.name = name
        self.caller, ready, directory, metrics, peer = free_ports(5)
        self.ready, self.directory, self.metrics, self.peer = ready, directory, metrics, peer
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "settings.json"
        self.write_settings(**settings)
        self.gateway = None
        if start_gateway:
            self.start()

    def write_settings(self, **more):
        text = {"instance": self.name, "availability_zone": "a", "leave_time_s": 4,
                "caller_address": f"127.0.0.1:{self.caller}",
                "readiness_address": f"127.0.0.1:{self.ready}",
                "directory_address": f"127.0.0.1:{self.directory}",
                "metrics_address": f"127.0.0.1:{self.metrics}",
                "peer_address": f"127.0.0.1:{self.peer}",
                "address_life_s": ADDRESS_LIFE_S, "retry_slack": 400,
                "store_address": self.platform.addresses["store"], **more}
        self.settings.write_text(json.dumps(text))

    def start(self):
        self.log = open(pathlib.Path(self.folder.name) / "log.txt", "a+")
        self.gateway = subprocess.Popen([str(BUILD / "bin" / "gentianloom-gateway"),
                                         str(self.settings)], stdout=self.log)
        self.wait(lambda: self.get(self.ready, "/readiness").status == 200)

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
                raise AssertionError("condition not met within the timeout")
            time.sleep(0.02)

    def send_command(self, **command):
        return self.platform.send_command(**command)

    def configure_workers(self, **changes):
        self.platform.configure_workers(**changes)

    def executed_requests(self):
        return self.platform.executed_requests()

    @staticmethod
    def get(port, path):
        with closing(http.client.HTTPConnection("127.0.0.1", port, timeout=5)) as connection:
            connection.request("GET", path)
            return Response(connection.getresponse())

    def open_call(self, path, attempt, headers=None, method="POST", body=b"hello", connection=None):
        """Sends a request; returns the response, whose body is not read yet."""
        connection = connection or http.client.HTTPConnection("127.0.0.1", self.caller, timeout=8)
        fields = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Credential": "k1",
                  "X-Deadline-Ms": "3000"}
        if path.startswith(("/chat", "/resume")):
            fields |= {"X-Token-Usage": "1000,50", "X-Prompt-Prefix": "aa:600,bb:400"}
        fields |= headers or {}
        connection.request(method, path, body, {k: v for k, v in fields.items() if v is not None})
        return connection.getresponse()

    def call(self, *arguments, **named):
        return Response(self.open_call(*arguments, **named))

    def log_lines(self):
        self.log.flush()
        path = pathlib.Path(self.folder.name) / "log.txt"
        return [json.loads(it) for it in path.read_text().splitlines()]

    def wait_for_log_line(self, condition):
        self.wait(lambda: any(condition(it) for it in self.log_lines()))

    def kill(self):
        if self.gateway and self.gateway.poll() is None:
            self.gateway.kill()
            self.gateway.wait()

    def close(self):
        self.kill()
        if self.owns_platform:
            self.platform.close()
        if self.gateway:
            self.log.close()
        self.folder.cleanup()
