#!/usr/bin/env python3
"""Stand-in of the platform for the review: the key-value store and the workers, on loopback.

The store is the project's own stand-in (tests/platform/standin_store.py). The workers are written here.
Prints one JSON line with its addresses, serves commands at its control address, and ends when its
standard input is closed.
"""
import base64
import json
import pathlib
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))

from standin_server import Handler, Server  # noqa: E402
from standin_store import Store, StoreHandler  # noqa: E402

PATIENCE_S = 60


class Worker:
    """One worker. `runs` and `answers` list what it ran and what it answered."""

    def __init__(self, name):
        self.name = name
        self.lock = threading.Lock()
        self.running = 0
        # What a test may set.
        self.slots = 64
        self.work_s = 0.02
        self.one_way_s = 0.0  # delay of the link, added to each way
        self.events = 5
        self.event_s = 0.01
        self.is_leaving = False  # says so in each answer
        self.repeat_each = 0  # of so many answers, one is sent a second time, late; 0: none
        # What a test reads.
        self.answers_sent = 0
        self.repeated = 0
        self.runs = []
        self.refused = []

    def set(self, values):
        with self.lock:
            vars(self).update(values)

    def begin(self):
        with self.lock:
            if self.running >= self.slots:
                return False
            self.running += 1
            return True

    def end(self):
        with self.lock:
            self.running -= 1

    def shall_repeat(self):
        with self.lock:
            self.answers_sent += 1
            if self.repeat_each == 0 or self.answers_sent % self.repeat_each != 0:
                return False
            self.repeated += 1
            return True


class WorkerHandler(Handler):
    late_copy = None  # (status, headers, body) of an earlier answer of this channel

    def answer(self, status, body, headers):
        self.respond(status, body, headers)
        if self.server.state.shall_repeat():
            self.late_copy = (status, body, list(headers))

    def serve(self):
        worker = self.server.state
        body = self.body()
        time.sleep(2 * worker.one_way_s)
        if self.late_copy:
            # The second copy comes where the answer to the next request is expected.
            status, copy, headers = self.late_copy
            self.late_copy = None
            self.respond(status, copy, headers)
        attempt = self.headers.get("X-Attempt-Id")
        if self.path == "/health":
            return self.respond(200, b"", [("X-Instance-Id", worker.name)])
        if attempt is None:
            return self.answer(400, b"", [("X-Not-Executed", "1")])
        common = [("X-Attempt-Id", attempt),
                  ("X-Instance-Load", f"{worker.running},0,{worker.slots}")]
        if self.headers.get("X-Expect-Instance", worker.name) != worker.name:
            return self.answer(421, b"", common + [("X-Instance-Id", worker.name)])
        if worker.is_leaving:
            common.append(("Server-Leaving", "1"))
        if not worker.begin():
            worker.refused.append({"at": time.monotonic(), "attempt": attempt})
            return self.answer(503, b"", common + [("X-Not-Executed", "1")])
        try:
            return self.run(worker, attempt, common, body)
        finally:
            worker.end()

    def run(self, worker, attempt, common, body):
        usage = self.headers.get("X-Token-Usage", "")
        run = {"at": time.monotonic(), "attempt": attempt, "path": self.path, "usage": usage,
               "tenant": self.headers.get("X-Tenant-Id", ""), "worker": worker.name, "events": 0,
               "size": len(body)}
        worker.runs.append(run)
        time.sleep(worker.work_s)
        common = common + [("X-Server-Signature", "sig." + attempt)]
        if not usage:
            return self.answer(200, b"whole answer of " + attempt.encode(), common)
        self.send_response(200)
        for name, value in common + [("Content-Type", "text/event-stream"),
                                     ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        for n in range(int(self.headers.get("Last-Event-Id", 0)) + 1, worker.events + 1):
            event = f"id: {n}\ndata: token {n}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.flush()
            run["events"] += 1
            time.sleep(worker.event_s)
        return self.wfile.write(b"0\r\n\r\n")

    do_GET = do_POST = serve


class GatedStoreHandler(StoreHandler):
    """The store as one machine reaches it; this path can be silent while others are served."""

    def handle_call(self, method):
        gate = self.server.gate
        if gate["silent"]:
            self.close_connection = True
            self.body()
            gate["wake"].wait(PATIENCE_S)
            return None
        return super().handle_call(method)


class ControlHandler(Handler):
    def do_POST(self):
        command = json.loads(self.body())
        self.respond(200, self.server.state.handle(command))


class Platform:
    def __init__(self, workers):
        self.store = Store()
        self.workers = {it: Worker(it) for it in workers}
        self.gates = {}
        self.addresses = {"workers": {}, "control": self.start(ControlHandler, self)[1]}
        for name, it in self.workers.items():
            self.addresses["workers"][name] = self.start(WorkerHandler, it)[1]
        _, self.addresses["store"] = self.start(StoreHandler, self.store)

    @staticmethod
    def start(handler, state):
        server = Server(("127.0.0.1", 0), handler)
        server.state = state
        threading.Thread(target=server.serve_forever, args=(0.1,), daemon=True).start()
        return server, "127.0.0.1:%d" % server.server_address[1]

    def handle(self, command):
        out = {}
        store = self.store
        with store.changed:
            for key, value in command.get("put", {}).items():
                store.put(key, json.dumps(value).encode())
            for key in command.get("remove", ()):
                store.remove(key)
            if "store_mode" in command:
                store.mode = command["store_mode"]
            if command.get("save_copy"):
                store.save_copy()
            if command.get("go_back"):
                store.go_back_to_copy()
            store.changed.notify_all()
        for name, values in command.get("workers", {}).items():
            self.workers[name].set(values)
        if "path" in command:
            server, out["path"] = self.start(GatedStoreHandler, store)
            server.gate = {"silent": False, "wake": threading.Event()}
            self.gates[command["path"]] = server
        if "silence" in command:
            server = self.gates[command["silence"]]
            server.gate["silent"] = True
        if "restore" in command:
            server = self.gates[command["restore"]]
            old, server.gate = server.gate, {"silent": False, "wake": threading.Event()}
            old["silent"] = False
            old["wake"].set()
        if command.get("read"):
            out["runs"] = [run for it in self.workers.values() for run in it.runs]
            out["refused"] = {k: it.refused for k, it in self.workers.items()}
            out["items"] = {k: base64.b64decode(it["value"]).decode(errors="replace")
                            for k, it in store.items.items()}
            out["repeated"] = {k: it.repeated for k, it in self.workers.items()}
        return out


def main():
    platform = Platform(sys.argv[1:])
    print(json.dumps(platform.addresses), flush=True)
    sys.stdin.read()


main()
