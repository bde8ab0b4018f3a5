"""A refusal that comes a second time is taken for the refusal of the retry, which runs."""
import collections
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import fleet  # noqa: E402

SEED = 1
PUBLISHERS, READERS = 20, 2
WORK_S = 0.03
ONE_WAY_S = 0.0014
SLOTS = 6  # of each worker
PHASE_S, PAUSE_S, PHASES = 5.0, 2.0, 8
REPEAT_EACH = 34  # one in 34 answers of one of the two workers: under 0.03
PROMISES = (408, 421, 429, 503)
ROUTES = [
    {"name": "publish", "host": "h.example", "prefix": "/publish/", "kind": "unsafe", "timeout-ms": 800,
     "target-latency-ms": 300, "service": "publish-desk", "max-attempts": 2},
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
        [{"name": it, "max-connections": 100} for it in ("publish-desk", "read-desk")]))
    it.platform.put("servers/w1", it.platform.entry("w1", "publish-desk", slots=SLOTS))
    it.platform.put("servers/w2", it.platform.entry("w2", "read-desk", slots=SLOTS))
    it.start_gateways(1)
    time.sleep(fleet.CONTACT_S)
    answers = []
    stop = threading.Event()

    def client(path, pause_s):
        while not stop.is_set():
            answer = it.send(it.gateways[0], path, deadline_ms=1500)
            if path.startswith("/publish"):
                answers.append(answer)
            time.sleep(random.uniform(0.5, 1.5) * pause_s)

    threads = [threading.Thread(target=client, args=("/publish/x", 0.02)) for _ in range(PUBLISHERS)]
    threads += [threading.Thread(target=client, args=("/read/x", 0.2)) for _ in range(READERS)]
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
    refused = [a.attempt for a in answers if a.status in PROMISES and runs[a.attempt] > 0]
    it.record.note("promised as not run, and ran (REFUSED)", count=len(refused), attempts=refused[:5])
    if statuses[200] < 100 or statuses[503] < 100:
        raise fleet.CouldNotRun("the worker was not full, or nothing was served")
    return fleet.BROKEN if refused else fleet.HELD


fleet.main(case, HERE)
