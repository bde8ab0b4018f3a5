"""The key-value store of the stand-in of the platform."""
import base64
import json
import re
import threading
import time
from urllib.parse import parse_qs, urlparse

from standin_server import MAX_WAIT_S, Handler

SLOW_READ_S = 0.5
PAGE_ITEMS = 500
MISSING = "(missing)"  # instead of a field's value: the field is left out
# Target of a request in origin form (RFC 9112): no blanks, no fragment, only whole escapes.
TARGET = re.compile(r"/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*")


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
        self.page = PAGE_ITEMS
        self.repeats_pages = False  # each page of a range is the first one
        self.ignores_prefix = False  # ranges and watches are of all keys
        self.invalid_targets = []
        self.odd_fields = {}  # by key: what responses state instead of an item's own fields

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

    def extend_leases(self, time_s):
        """Leases stand still while the store is down, if this time is that of the outage."""
        self.leases = {number: (ttl, end + time_s) for number, (ttl, end) in self.leases.items()}

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


class StoreHandler(Handler):
    disable_nagle_algorithm = True  # a response is written in two parts
    def common_headers(self):
        return (("Store-Era", str(self.server.state.era)),)

    def handle_call(self, method):
        store = self.server.state
        url = urlparse(self.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = self.body()
        with store.changed:
            store.calls += 1
            if not TARGET.fullmatch(self.path):
                store.invalid_targets.append(self.path)
                return self.respond(400, {})
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
        if not self.server.view and not self.server.state.odd_fields:
            return out
        out = dict(out)
        for part in set(out) & {"items", "events"}:
            out[part] = [self.seen_item(it) for it in out[part]]
        return out

    def seen_item(self, item):
        odd = self.server.state.odd_fields.get(item["key"], item)
        if odd is not item:
            return {k: v for k, v in (item | odd).items() if v != MISSING} if isinstance(odd, dict) else odd
        if not self.server.view or not item["key"].startswith("servers/") or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        address = entry.get("address")
        entry["address"] = self.server.view.get(address, address)
        return item | {"value": base64.b64encode(json.dumps(entry).encode()).decode()}

    def route(self, store, method, path, query, body):
        prefix = "" if store.ignores_prefix else query.get("prefix")
        if path == "/kv-range":
            if query["prefix"] == store.slow_prefix:
                store.changed.wait_for(lambda: False, timeout=SLOW_READ_S)
            after = "" if store.repeats_pages else query.get("after", "")
            matching = [store.items[k] for k in sorted(store.items) if k.startswith(prefix) and k > after]
            page = matching[:store.page]
            return 200, {"items": page, "has-more": len(matching) > len(page), "at": store.revision}
        if path == "/kv-watch":
            return self.watch(store, query, prefix)
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

    def watch(self, store, query, prefix):
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
                      if it["rev"] > after and it["key"].startswith(prefix)]
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
