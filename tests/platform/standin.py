#!/usr/bin/env python3
"""Minimal stand-in of the platform on loopback: its key-value store and its endpoints (workers).

Used by the process tests of the gateway. Prints one JSON line with its addresses, then serves until
its standard input is closed.
"""
import base64
import json
import sys

from standin_server import Handler, start_server
from standin_store import Store, StoreHandler
from standin_worker import Worker, WorkerHandler


class ControlHandler(Handler):
    """Handles commands of the tests: change modes, write items, list the executed requests."""

    def do_POST(self):
        command = json.loads(self.body())
        platform = self.server.state
        store = platform["store"]
        with store.changed:
            if "store_mode" in command:
                store.mode = command["store_mode"]
            store.page = command.get("page", store.page)
            store.repeats_pages = command.get("repeats_pages", store.repeats_pages)
            store.ignores_prefix = command.get("ignores_prefix", store.ignores_prefix)
            store.odd_fields.update(command.get("odd_fields", {}))
            if "slow_prefix" in command:
                store.slow_prefix = command["slow_prefix"]
            store.extend_leases(command.get("extend_leases_s", 0))
            if command.get("save_copy"):
                store.save_copy()
            if command.get("go_back"):
                store.go_back_to_copy()
                store.accepts_any_lease = command.get("accepts_any_lease", False)
            for _ in range(command.get("fill", 0)):
                store.put("unrelated", b"")
            if "put" in command:
                raw = command.get("raw")
                value = json.dumps(command["value"]).encode() if raw is None else raw.encode("latin-1")
                keys = command["put"]
                for key in keys if isinstance(keys, list) else [keys]:
                    store.put(key, value)
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
                   "connections": {k: it.server.accepted for k, it in platform["workers"].items()},
                   "calls": store.calls,
                   "invalid_targets": store.invalid_targets,
                   "store": added,
                   "items": {k: base64.b64decode(it["value"]).decode(errors="replace")
                             for k, it in store.items.items()}}
        self.respond(200, out)


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
