"""Case 11: a request crashes each worker that runs it, half a second after its first event.

TROUBLE=0: it does no harm.
"""
import asyncio
import functools
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from budget import Callers, configuration  # noqa: E402
from crash import POISON_PATH, CrashingWorker  # noqa: E402
from fleet import call, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CRASH_AFTER_S = 0.5  # after the first event; without the crash the answer takes 2 s
EVENTS = 40
WORKERS = 6
AGAIN_S = 2.0  # from the end of a try until the request comes again
PLAYED_S = 60
PER_S = 8  # other requests
CONTACT_S = 3.0  # contact-ms
ALLOWED_RETRIES = 3


class Poison:
    """The request that comes again and again, with the same path, caller and body, at any machine."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.sent = 0

    async def send_again(self):
        while True:
            self.sent += 1
            attempt, gateway = f"p{self.sent}", random.choice(self.fleet.gateways)
            headers = {"X-Attempt-Id": attempt, "X-Credential": "key-of-org",
                       "X-Deadline-Ms": "4000", "X-Model": "m", "X-Token-Usage": "100,200",
                       "X-Prompt-Prefix": "aa:80,bb:20"}
            self.record.add(f"send    {attempt} to {gateway.name}")
            reply = await call(gateway.caller, "POST", POISON_PATH, headers, b"poison")
            self.record.add(f"answer  {attempt} {reply.status} {reply.events} events, "
                            f"{'complete' if reply.complete else 'broken off'}")
            await asyncio.sleep(AGAIN_S)


async def case(fleet, record):
    crashes, arrivals = [], []
    CrashingWorker.crash_after_s = CRASH_AFTER_S if TROUBLE else None
    make_worker = functools.partial(CrashingWorker, crashes=crashes, arrivals=arrivals, events=EVENTS)
    await fleet.start(configuration(10_000_000), gateways=3, workers=WORKERS, make_worker=make_worker)
    await asyncio.sleep(3)
    callers = Callers(fleet, record)
    fleet.run(Poison(fleet, record).send_again())
    await callers.send(PLAYED_S, PER_S, lambda: random.choice(fleet.gateways))
    await asyncio.gather(*callers.tasks)
    record.say(f"other requests, answers by status: {callers.statuses}")
    if len(crashes) < 3:
        record.say(f"{len(crashes)} workers crashed, {len(arrivals)} arrivals of the request")
        return True
    late = [it for it in arrivals if it[0] > crashes[2][0] + CONTACT_S]
    record.say(f"{len(crashes)} workers crashed; the request reached workers {len(late)} times later than "
               f"{CONTACT_S} s after the third crash; {ALLOWED_RETRIES} are allowed")
    return len(late) <= ALLOWED_RETRIES


play(case, HERE)
