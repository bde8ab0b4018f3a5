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
CLIENTS = 10
WORK_S = 0.03
ONE_WAY_S = 0.0014
SLOTS = 6  # of the one worker of the service
PHASE_S, PAUSE_S, PHASES = 5.0, 1.0, 2
REPEAT_EACH = 33  # one in 33 answers: 0.03
PROMISES = (408, 421, 429, 503)
ROUTE = {"name": "publish", "host": "h.example", "prefix": "/publish/", "kind": "unsafe",
         "timeout-ms": 800, "target-latency-ms": 300, "service": "desk", "max-attempts": 2}


def case(folder):
    random.seed(SEED)
    it = fleet.Fleet(folder, ["w1"])
    try:
        return run(it)
    finally:
        it.close()


def run(it):
    it.platform.command(workers={n: {"slots": SLOTS, "work_s": WORK_S, "one_way_s": ONE_WAY_S} for n in ("w1",)})
    it.platform.put("op/config", fleet.configuration(
        3, [ROUTE], [{"name": "org", "api-keys": ["k1"]}],
        [{"name": "desk", "max-connections": 100}]))
    for name in ("w1",):
        it.platform.put("servers/" + name, it.platform.entry(name, "desk", slots=SLOTS))
    it.start_gateways(1)
    time.sleep(1)
    answers = []
    stop = threading.Event()

    def client():
        while not stop.is_set():
            answers.append(it.send(it.gateways[0], "/publish/x", deadline_ms=1500))
            time.sleep(random.uniform(0, 0.02))

    threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
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
    seen = it.read(); open("/tmp/g.log","w").write(it.gateways[0].log_text()); c=collections.Counter(r["attempt"] for r in seen["refused"]["w1"]); print(collections.Counter(c.values()))
    runs = collections.Counter(run["attempt"] for run in seen["runs"])
    statuses = collections.Counter(answer.status for answer in answers)
    it.record.note("answers by status", **{str(k): v for k, v in statuses.items()})
    it.record.note("second copies sent", **seen["repeated"])
    twice = [k for k, n in runs.items() if n > 1]
    refused = [a.attempt for a in answers if a.status in PROMISES and runs[a.attempt] > 0]
    it.record.note("ran more than once (TWICE)", count=len(twice), attempts=twice[:5])
    it.record.note("promised as not run, and ran (REFUSED)", count=len(refused), attempts=refused[:5])
    if statuses[200] < 100:
        raise fleet.CouldNotRun("too few requests were served")
    return fleet.BROKEN if twice or refused else fleet.HELD


fleet.main(case, HERE)
