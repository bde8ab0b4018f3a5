"""After a kill of all processes, a request that crashes workers is tried again from the start."""
import collections
import json
import http.client
import pathlib
import random
import subprocess
import sys
import threading
import time
from contextlib import closing

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import fleet  # noqa: E402

SEED = 4
GATEWAYS = 3
WORKERS = ("w1", "w2", "w3", "w4")
AGAIN_S = 4.0  # the request comes again after this time
KILL_AFTER = 2  # crashes
DOWN_S = 1.0
SOUND_PAUSE_S = 0.06
END_S = 60.0
ALLOWED = 3
BODY, PATH = b"a slide that ends its worker", "/publish/x"
ROUTE = {"name": "publish", "host": "h.example", "prefix": "/publish/", "kind": "unsafe",
         "timeout-ms": 800, "target-latency-ms": 300, "service": "desk", "max-attempts": 1}


class ProjectPlatform:
    """The project's own stand-in, whose workers crash under a request and come back."""

    def __init__(self, workers):
        self.process = subprocess.Popen(
            [sys.executable, str(fleet.ROOT / "tests" / "platform" / "standin.py"), *workers],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.addresses = json.loads(self.process.stdout.readline())

    def command(self, **command):
        with closing(http.client.HTTPConnection(self.addresses["control"], timeout=10)) as connection:
            connection.request("POST", "/", json.dumps(command))
            return json.loads(connection.getresponse().read())

    def put(self, key, value):
        self.command(put=key, value=value)

    def close(self):
        self.process.stdin.close()
        self.process.wait(10)
        self.process.stdout.close()


def case(folder):
    random.seed(SEED)
    it = fleet.Fleet(folder, WORKERS, ProjectPlatform)
    try:
        return run(it)
    finally:
        it.close()


def run(it):
    it.platform.put("op/config", fleet.configuration(
        3, [ROUTE], [{"name": "org", "api-keys": ["k1"]}], [{"name": "desk", "max-connections": 96}]))
    born = int(time.time() * 1000)
    for name in WORKERS:
        it.platform.put("servers/" + name, {
            "service": "desk", "address": it.platform.addresses["workers"][name], "zone": "a", "slots": 6,
            "state": "ready", "version": "v1", "cold-remaining-ms": 0, "sequence": 1, "born": born})
        it.platform.command(worker=name, set={"crashing": [[PATH, "org", BODY.decode()]],
                                              "new_id_after_crash": True, "run_s": 0.03})
    it.start_gateways(GATEWAYS)
    started = dict.fromkeys((g.name for g in it.gateways), time.monotonic())
    time.sleep(fleet.CONTACT_S)
    stop = threading.Event()
    sound = []

    def client():
        n = 0
        while not stop.is_set():
            n += 1
            sound.append(it.send(it.gateways[n % GATEWAYS], PATH, body=b"sound %d" % n, deadline_ms=1500))
            time.sleep(SOUND_PAUSE_S)

    thread = threading.Thread(target=client)
    begin = time.monotonic()
    thread.start()
    deadly = []
    killed = not fleet.HAS_TROUBLE
    while time.monotonic() < begin + END_S:
        gateway = it.gateways[len(deadly) % GATEWAYS]
        answer = it.send(gateway, PATH, body=BODY, deadline_ms=1500)
        answer.gateway, answer.in_touch = gateway, answer.sent >= started[gateway.name] + fleet.CONTACT_S
        deadly.append(answer)
        time.sleep(AGAIN_S / 2)
        if not killed and len(it.platform.command()["crashes"]) >= KILL_AFTER:
            killed = True
            for g in it.gateways:
                g.process.kill()
            for g in it.gateways:
                g.process.wait()
            it.record.note("all gateways were killed at the same moment")
            time.sleep(DOWN_S)
            for g in it.gateways:
                g.start()
                started[g.name] = time.monotonic()
            for g in it.gateways:
                g.await_ready()
            time.sleep(fleet.CONTACT_S)
        time.sleep(AGAIN_S / 2)
    stop.set()
    thread.join()
    state = it.platform.command()
    runs = [r for name in state["executed"] for r in state["executed"][name]]
    for r in runs:
        it.record.write("run", at=r["at"], attempt=r["headers"]["X-Attempt-Id"], worker=r["endpoint"],
                        body=r["body"])
    by_attempt = {a.attempt: a for a in deadly}
    crashes = sorted(r["at"] for r in runs if r["headers"]["X-Attempt-Id"] in by_attempt)
    it.record.note("runs of the request, each of which crashed its worker", count=len(crashes),
                   times=[round(at - begin, 1) for at in crashes])
    third = crashes[2] if len(crashes) > 2 else float("inf")
    late = [r for r in runs if r["headers"]["X-Attempt-Id"] in by_attempt
            and r["at"] > third + fleet.CONTACT_S and by_attempt[r["headers"]["X-Attempt-Id"]].in_touch]
    it.record.note("retries later than contact-ms after the third crash, by machines in touch",
                   count=len(late), allowed=ALLOWED)
    statuses = collections.Counter(a.status for a in sound)
    it.record.note("answers to sound requests", **{str(k): v for k, v in statuses.items()})
    if len(crashes) < 3 or statuses[200] < 50:
        raise fleet.CouldNotRun("the request did not crash three workers, or nothing else was served")
    return fleet.BROKEN if len(late) > ALLOWED else fleet.HELD


fleet.main(case, HERE)
