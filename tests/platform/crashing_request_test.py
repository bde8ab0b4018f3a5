#!/usr/bin/env python3
"""Requests under which endpoints end, sent again and again through several gateways.

Bounds are those of the rule: contact-ms is 3 s, and three retries may follow after it.
"""
import concurrent.futures
import dataclasses
import http.client
import itertools
import random
import threading
import time
import unittest

from gateway_environment import Environment, Platform, configuration

CONTACT_S = 3
MARGIN_S = 1
MAX_FURTHER_RUNS = 3
CRASHES_BEFORE = 3
INTERVAL_S = 0.1
PHASE_S = 2  # of each check after the bound
PROMPT_S = 1  # callers give up on a request that was not read after this time
MIN_SERVED_SHARE = 0.95
ENDPOINTS = [f"w{n}" for n in range(10)]
PARALLEL = 3
KEYS = {"k1": "org", "k2": "org2"}


@dataclasses.dataclass(frozen=True)
class Row:
    name: str
    path: str
    body: bytes | None
    events: int  # that a stream sends before its endpoint ends
    late_start: str  # "new": another gateway starts; "again": one is killed and started again
    new_id: bool  # of endpoints that come back
    listener: str = "refuse"  # what an address does while its endpoint is gone, see standin_worker.py


ROWS = [
    Row("idempotent, body", "/read/crash", b"crash", 0, "new", False),
    Row("idempotent, no body", "/read/crash", None, 0, "again", True),
    Row("at most once, body", "/send/crash", b"crash", 0, "again", False),
    Row("at most once, no body", "/send/crash", None, 0, "new", True),
    Row("resumable stream, body", "/resume/crash", b"crash", 1, "new", True),
    Row("resumable stream, no body", "/resume/crash", None, 0, "again", False),
    Row("other stream, body", "/chat/crash", b"crash", 1, "again", True),
    Row("other stream, no body", "/chat/crash", None, 0, "new", False),
    Row("idempotent, connections are closed", "/read/crash", b"crash", 0, "again", True, "close"),
    Row("at most once, connections are closed", "/send/crash", None, 0, "new", False, "close"),
    Row("resumable stream, connections are closed", "/resume/crash", None, 1, "new", False, "close"),
    Row("other stream, connections are closed", "/chat/crash", b"crash", 0, "again", True, "close"),
    Row("at most once, connections are queued", "/send/crash", b"crash", 0, "again", True, "queue"),
    Row("other stream, connections are queued", "/chat/crash", None, 1, "new", False, "queue"),
]


@dataclasses.dataclass
class Call:
    kind: str
    attempt: str
    gateway: str
    sent_at: float
    status: int = 0  # 0: no response
    retry_after: str = ""
    is_complete: bool = False
    duration_s: float = 0

    @property
    def is_served(self):
        return self.status == 200 and self.is_complete


class Fleet:
    """Gateways that share a platform, and callers that send requests to any that runs."""

    def __init__(self, gateways=3):
        self.platform = Platform({it: "v1" for it in ENDPOINTS})
        text = configuration(8, prepaid=10 ** 9)
        text["tenants"] = [{"name": name, "api-keys": [key], "prepaid": 10 ** 9}
                           for key, name in KEYS.items()]
        self.platform.send_command(put="op/config", value=text)
        self.gateways = {}
        self.killed = []  # calls in flight at a kill are not counted
        self.stop = threading.Event()
        self.calls = []
        self.numbers = itertools.count()
        self.pool = concurrent.futures.ThreadPoolExecutor(100)
        self.senders = []
        self.sent = []
        for n in range(1, gateways + 1):
            self.start_gateway(f"g{n}")

    def start_gateway(self, name):
        out = Environment(platform=self.platform, name=name)
        # The first configuration has one organisation; the one with both must be in force.
        out.wait(lambda: all(out.call("/read/first", f"first-{name}-{key}",
                                      {"X-Credential": key}).status == 200 for key in KEYS))
        self.gateways[name] = out

    def kill_gateway(self, name):
        gateway = self.gateways.pop(name)
        self.killed.append(gateway)
        gateway.close()

    def send(self, kind, path, key, body, make_headers=dict):
        """`body`: bytes, none, or a function that returns those of the next request."""
        body = body() if callable(body) else body
        name, gateway = random.choice(list(self.gateways.items()))
        call = Call(kind, f"{kind}-{next(self.numbers)}", name, time.monotonic())
        method = "GET" if body is None and path.startswith("/read") else "POST"
        try:
            out = gateway.call(path, call.attempt, {"X-Credential": key} | make_headers(), method, body)
            call.status, call.is_complete = out.status, out.is_complete
            call.retry_after = out.headers.get("Retry-After", "")
        except (OSError, http.client.HTTPException):
            pass  # no response
        call.duration_s = time.monotonic() - call.sent_at
        if gateway not in self.killed or call.status != 0 and call.is_complete:
            self.calls.append(call)

    def keep_sending(self, kind, path, key, body, interval=INTERVAL_S, make_headers=dict):
        def run():
            while not self.stop.wait(interval):
                self.sent.append(self.pool.submit(self.send, kind, path, key, body, make_headers))

        self.senders.append(threading.Thread(target=run))
        self.senders[-1].start()

    def finish(self):
        """Stops the callers and waits for their calls."""
        self.stop.set()
        for it in self.senders:
            it.join()
        for it in self.sent:
            it.result()
        self.pool.shutdown()

    def close(self):
        self.finish()
        for name in list(self.gateways):
            self.kill_gateway(name)
        self.platform.close()


class Checks:
    """Prints a line for each check and counts those that failed."""

    def __init__(self):
        self.failed = 0

    def check(self, row, text, is_kept):
        print(f"{'kept' if is_kept else 'BROKEN'}: {row}: {text}", flush=True)
        if not is_kept:
            self.failed += 1

    def check_served(self, row, text, calls, min_share):
        served = sum(it.is_served for it in calls)
        refused = sum(it.status == 503 for it in calls)
        self.check(row, f"{text}: {served} of {len(calls)} served, {refused} refused",
                   len(calls) > 0 and served >= min_share * len(calls) and refused == 0)


def play_crashing_request(row, checks):
    fleet = Fleet()
    try:
        run_crashing_request(row, checks, fleet)
    finally:
        fleet.close()


def run_crashing_request(row, checks, fleet):
    body = (row.body or b"").decode()
    for name in ENDPOINTS:
        fleet.platform.send_command(worker=name, set={
            "crashing": [[row.path, "org", body]], "events_before_crash": row.events,
            "new_id_after_crash": row.new_id, "crashed_listener": row.listener, "run_s": 0.02})
    fleet.keep_sending("crash", row.path, "k1", row.body)
    fleet.keep_sending("other-path", row.path.replace("crash", "calm"), "k1", row.body)
    fleet.keep_sending("other-body", row.path, "k1", b"calm")
    fleet.keep_sending("other-organisation", row.path, "k2", row.body)
    fleet.keep_sending("other-kind", "/read/calm", "k1", None)

    def crash_times():
        return sorted(it["at"] for it in fleet.platform.send_command()["crashes"])

    Environment.wait(lambda: len(crash_times()) >= CRASHES_BEFORE)
    third_at = crash_times()[CRASHES_BEFORE - 1]
    bound_at = third_at + CONTACT_S + MARGIN_S
    time.sleep(max(0, bound_at + PHASE_S - time.monotonic()))
    late_start_at = time.monotonic()
    if row.late_start == "again":
        fleet.kill_gateway("g3")
    late = "g3" if row.late_start == "again" else "g4"
    fleet.start_gateway(late)
    time.sleep(PHASE_S)
    peers_killed_at = time.monotonic()
    for name in [it for it in fleet.gateways if it != late]:
        fleet.kill_gateway(name)
    time.sleep(PHASE_S)
    fleet.finish()

    out = fleet.platform.send_command()
    runs = sorted(it["at"] for ran in out["executed"].values() for it in ran
                  if [it["path"], it["headers"].get("X-Tenant-Id"), it["body"]]
                  == [row.path, "org", body])
    further = [it for it in runs if it > bound_at]
    by_late_start = [it for it in further if it <= late_start_at]
    by_kill = [it for it in further if it <= peers_killed_at]
    checks.check(row.name, f"(a) runs later than {CONTACT_S + MARGIN_S} s after the third crash: "
                 f"{len(by_late_start)} (crashes in all: {len(out['crashes'])})",
                 len(by_late_start) <= MAX_FURTHER_RUNS)
    checks.check(row.name, f"(b) runs with a gateway that started late: {len(by_kill)}, "
                 f"{len(by_kill) - len(by_late_start)} of them after its start",
                 len(by_kill) <= MAX_FURTHER_RUNS)
    checks.check(row.name, f"(c) runs with that gateway's peers killed: {len(further)}, "
                 f"{len(further) - len(by_kill)} of them after the kill",
                 len(further) <= MAX_FURTHER_RUNS)
    calls = [it for it in fleet.calls if it.sent_at > bound_at]
    crashing = [it for it in calls if it.kind == "crash"]
    refused = [it for it in crashing
               if it.status == 503 and it.retry_after and it.duration_s <= PROMPT_S]
    checks.check(row.name, f"(e) prompt 503 with Retry-After: {len(refused)} of {len(crashing)}, "
                 f"longest call {max((it.duration_s for it in crashing), default=0):.2f} s",
                 len(crashing) > 0 and len(refused) >= len(crashing) - MAX_FURTHER_RUNS)
    for kind in ("other-path", "other-body", "other-kind"):
        checks.check_served(row.name, f"(d) innocent requests, {kind}",
                            [it for it in calls if it.kind == kind], MIN_SERVED_SHARE)
    checks.check_served(row.name, "(g) the same path and body of another organisation",
                        [it for it in calls if it.kind == "other-organisation"], MIN_SERVED_SHARE)


LOST_TOGETHER = 3
LOSSES = 3
LOSS_INTERVAL_S = 1.5
BACK_S = 1.5  # an endpoint is back 1 s after its end
LOSS_ROWS = [("idempotent", "/read/busy"), ("at most once", "/send/busy"),
             ("resumable stream", "/resume/busy")]


def play_losses(name, path, checks):
    """Several endpoints end at the same moment, under many copies of an innocent request."""
    fleet = Fleet()
    try:
        for it in ENDPOINTS:
            fleet.platform.send_command(worker=it, set={"run_s": 0.2})
        begin = time.monotonic()
        for _ in range(4):
            fleet.keep_sending("busy", path, "k1", b"")
        time.sleep(1)
        for n in range(LOSSES):
            fleet.platform.send_command(
                crash=[ENDPOINTS[(n * LOST_TOGETHER + k) % len(ENDPOINTS)]
                       for k in range(LOST_TOGETHER)])
            time.sleep(LOSS_INTERVAL_S)
        end = time.monotonic() - LOSS_INTERVAL_S + BACK_S
        time.sleep(PHASE_S)
        fleet.finish()
        during = [it for it in fleet.calls if begin < it.sent_at <= end]
        after = [it for it in fleet.calls if it.sent_at > end]
        served = sum(it.is_served for it in during)
        checks.check(name, f"(f) innocent request, during losses: {served} of {len(during)} served",
                     len(during) > 0 and served >= 0.75 * len(during))
        checks.check_served(name, "(f) innocent request, after losses", after, 1)
    finally:
        fleet.close()


RESET_ROWS = [("idempotent", "/read/reset"), ("at most once", "/send/reset"),
              ("resumable stream", "/resume/reset")]
RESET_S = 2


def play_resets(name, path, checks):
    """Endpoints reset all connections with requests for some time, but do not end."""
    fleet = Fleet()
    try:
        fleet.platform.configure_workers(mode="reset")
        fleet.keep_sending("reset", path, "k1", b"")
        time.sleep(RESET_S)
        fleet.platform.configure_workers(mode="good")
        time.sleep(MARGIN_S)
        end = time.monotonic()
        time.sleep(PHASE_S)
        fleet.finish()
        after = [it for it in fleet.calls if it.sent_at > end]
        checks.check_served(name, "innocent request, after resets", after, 1)
    finally:
        fleet.close()


class CrashingRequestTest(unittest.TestCase):
    def run_together(self, plays):
        checks = Checks()
        with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
            for it in [pool.submit(*play, checks) for play in plays]:
                it.result()
        self.assertEqual(0, checks.failed, "broken checks, printed above")

    # Without memory of what ended endpoints, each repetition of the request ends more of them.
    def test_request_that_ends_endpoints_is_not_sent_on(self):
        self.run_together([(play_crashing_request, row) for row in ROWS])

    # A guard that takes every lost endpoint for a crash under its requests blocks the innocent.
    def test_innocent_request_is_served_after_losses_of_several_endpoints(self):
        self.run_together([(play_losses, *row) for row in LOSS_ROWS])

    # A guard that takes every reset connection for a crash blocks requests of endpoints that live.
    def test_request_that_endpoints_reset_is_not_blocked(self):
        self.run_together([(play_resets, *row) for row in RESET_ROWS])


if __name__ == "__main__":
    unittest.main(warnings="ignore")  # the lines of the checks stand alone
