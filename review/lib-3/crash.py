"""Workers that a request crashes, and that request, for the scripts of the third review."""
import asyncio
import functools
import random
import time

from budget import Callers, configuration
from fleet import Worker, call, now, serve_http

POISON_PATH = "/chat/poison"
CONTACT_S = 3.0  # contact-ms
ALLOWED_RETRIES = 3
WARM_UP_S = 3  # until the machines know each other


class CrashingWorker(Worker):
    """Ends like a killed process `crash_after_s` after it has begun to run a poisoned request.

    Its connections are reset and its port is closed. It is back after `back_s` as another lifetime:
    under its id and address, or, if it `moves`, under another id at another address.
    """

    crash_after_s = None  # None: poisoned requests do no harm
    answers_first = True  # whether it writes events before it crashes
    back_s = 3.0
    moves = False
    event_s = 0.05

    def __init__(self, *arguments, crashes, arrivals, **named):
        super().__init__(*arguments, **named)
        self.event_s = type(self).event_s
        self.crashes = crashes  # of all workers: (time, worker, attempt)
        self.arrivals = arrivals  # of poisoned requests at all workers: (time, worker, attempt)
        self.writers = set()
        self.alive = True

    async def start(self):
        self.server = await serve_http(self.handle, on_connect=self.writers.add)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.write_entry()
        return self

    async def handle(self, method, target, headers, body, reader, writer):
        is_poisoned = target == POISON_PATH
        if is_poisoned and headers.get("x-expect-instance") == self.name:
            attempt = headers["x-attempt-id"]
            self.arrivals.append((now(), self.name, attempt))
            self.record.add(f"poison  {attempt} reaches {self.name}")
            if self.crash_after_s is not None:
                asyncio.get_running_loop().call_later(self.work_s + self.crash_after_s, self.crash,
                                                      attempt)
                if not self.answers_first:
                    await asyncio.sleep(self.crash_after_s + 1)  # its connection has ended by then
                    return False
        return await super().handle(method, target, headers, body, reader, writer)

    def crash(self, attempt):
        if not self.alive:
            return  # under another request at the same time
        self.alive = self.listed = False  # a worker that crashes sends nothing
        self.crashes.append((now(), self.name, attempt))
        self.record.say(f"{self.name} crashes under {attempt}")
        self.server.close()
        for it in self.writers:
            it.transport.abort()
        self.writers.clear()
        self.back = asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(self.back_s)
        if self.moves:
            self.store.remove("servers/" + self.name)
            self.name = f"{self.name.split('.')[0]}.{len(self.crashes)}"
            self.port = 0
        self.server = await serve_http(self.handle, self.port, on_connect=self.writers.add)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.alive = self.listed = True
        self.write_entry()
        self.record.say(f"{self.name} is back")


class Poison:
    """The request that comes again and again, with the same path, caller and body, at any machine."""

    def __init__(self, fleet, record, name, again_s):
        self.fleet, self.record = fleet, record
        self.name, self.again_s = name, again_s

    async def send_again(self):
        number = 0
        while True:
            number += 1
            attempt, gateway = f"{self.name}{number}", random.choice(self.fleet.gateways)
            headers = {"X-Attempt-Id": attempt, "X-Credential": "key-of-org",
                       "X-Deadline-Ms": "4000", "X-Model": "m", "X-Token-Usage": "100,200",
                       "X-Prompt-Prefix": "aa:80,bb:20"}
            self.record.add(f"send    {attempt} to {gateway.name}")
            reply = await call(gateway.caller, "POST", POISON_PATH, headers, b"poison")
            self.record.add(f"answer  {attempt} {reply.status} {reply.events} events, "
                            f"{'complete' if reply.complete else 'broken off'}")
            # Clients honour Retry-After, up to a third of the time that they have left.
            retry_after_s = reply.headers.get("retry-after")
            await asyncio.sleep(min(float(retry_after_s), 4 / 3) if retry_after_s else self.again_s)



async def play_poison(fleet, record, *, workers, senders, again_s, played_s, per_s, events=5):
    """Plays the request beside others. The rule: it reaches workers in no more than three retries later than
    contact-ms after it has crashed the third."""
    crashes, arrivals = [], []
    make_worker = functools.partial(CrashingWorker, crashes=crashes, arrivals=arrivals, events=events)
    await fleet.start(configuration(10_000_000), gateways=3, workers=workers, make_worker=make_worker)
    await asyncio.sleep(WARM_UP_S)
    callers = Callers(fleet, record)
    for n in range(senders):
        fleet.run(Poison(fleet, record, f"p{n}-", again_s).send_again())
    await callers.send(played_s, per_s, lambda: random.choice(fleet.gateways))
    await asyncio.gather(*callers.tasks)
    record.say(f"other requests, answers by status: {callers.statuses}")
    if len(crashes) < 3:
        record.say(f"{len(crashes)} workers crashed, {len(arrivals)} arrivals of the request")
        return True
    late = [it for it in arrivals if it[0] > crashes[2][0] + CONTACT_S]
    record.say(f"{len(crashes)} workers crashed; the request reached workers {len(late)} times later than "
               f"{CONTACT_S} s after the third crash; {ALLOWED_RETRIES} are allowed")
    return len(late) <= ALLOWED_RETRIES
