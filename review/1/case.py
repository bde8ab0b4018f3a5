"""A refusal that comes a second time is taken for the refusal of the retry, which runs; the next retry runs too."""
import collections
import pathlib
import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import fleet  # noqa: E402

SEED = 1
RATE_PER_S = 100  # of a worker that serves some 180 a second: some in a hundred are refused
READERS = 2
WORK_S = 0.03
ONE_WAY_S = 0.0009
SLOTS = 6  # of each worker
PHASE_S, PAUSE_S, PHASES = 5.0, 2.0, 14
REPEAT_EACH = 34  # one in 34 answers of one of the two workers: under 0.03
PROMISES = (408, 421, 429, 503)
ROUTES = [
    {"name": "publish", "host": "h.example", "prefix": "/publish/", "kind": "unsafe", "timeout-ms": 800,
     "target-latency-ms": 300, "service": "publish-desk", "max-attempts": 3},
    {"name": "read", "host": "h.example", "prefix": "/read/", "kind": "safe", "timeout-ms": 800,
     "target-latency-ms": 300, "service": "read-desk", "max-attempts": 2},
]


def case(folder):
    random.seed(SEED)
    it = fleet.Fleet(folder, ["w1", "w2"])
    try:
        return run(it)
    finally:
        it.close()


def run(it):
    it.platform.command(workers={n: {"slots": SLOTS, "work_s": WORK_S, "one_way_s": ONE_WAY_S}
                                 for n in ("w1", "w2")})
    it.platform.put("op/config", fleet.configuration(
        3, ROUTES, [{"name": "org", "api-keys": ["k1"]}],
        [{"name": it, "max-connections": 96} for it in ("publish-desk", "read-desk")]))
    it.platform.put("servers/w1", it.platform.entry("w1", "publish-desk", slots=SLOTS))
    it.platform.put("servers/w2", it.platform.entry("w2", "read-desk", slots=SLOTS))
    it.start_gateways(1)
    time.sleep(fleet.CONTACT_S)
    answers = []
    stop = threading.Event()

    def read():
        while not stop.is_set():
            it.send(it.gateways[0], "/read/x", method="GET", body=None, deadline_ms=1500)
            time.sleep(random.uniform(0.1, 0.3))

    def publish_all():
        """Requests at random times, whether or not earlier ones were answered."""
        with ThreadPoolExecutor(64) as pool:
            at = time.monotonic()
            while not stop.is_set():
                at += random.expovariate(RATE_PER_S)
                time.sleep(max(0, at - time.monotonic()))
                pool.submit(lambda: answers.append(it.send(it.gateways[0], "/publish/x", deadline_ms=1500)))

    threads = [threading.Thread(target=publish_all)]
    threads += [threading.Thread(target=read) for _ in range(READERS)]
    for thread in threads:
        thread.start()
    for _ in range(PHASES):
        if fleet.HAS_TROUBLE:
            it.platform.command(workers={"w1": {"repeat_each": REPEAT_EACH}})
        time.sleep(PHASE_S)
        it.platform.command(workers={"w1": {"repeat_each": 0}})
        time.sleep(PAUSE_S)
    stop.set()
    for thread in threads:
        thread.join()
    time.sleep(1)
    seen = it.read()
    runs = collections.Counter(run["attempt"] for run in seen["runs"])
    statuses = collections.Counter(answer.status for answer in answers)
    it.record.note("answers to /publish/ by status", **{str(k): v for k, v in statuses.items()})
    it.record.note("second copies sent", **seen["repeated"])
    published = {a.attempt for a in answers}
    twice = [k for k, n in runs.items() if n > 1 and k in published]
    it.record.note("ran more than once (TWICE)", count=len(twice), attempts=twice[:5])
    refused = [a.attempt for a in answers if a.status in PROMISES and runs[a.attempt] > 0]
    it.record.note("promised as not run, and ran (REFUSED)", count=len(refused), attempts=refused[:5])
    if statuses[200] < 1000:
        raise fleet.CouldNotRun("too little was served")
    return fleet.BROKEN if refused or twice else fleet.HELD


fleet.main(case, HERE)
