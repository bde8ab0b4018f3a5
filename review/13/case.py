"""Case 13: the machine that last wrote to the store is killed, once. TROUBLE=0: none is."""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from budget import OUTPUT, PROMPT, Callers, configuration, last_budget_writer  # noqa: E402
from fleet import now, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREPAID = 240_000
KILL_AT_S = 8  # after the callers have come
DOWN_S = 3.5  # node_kill, on = "core", how = "power leader": for_s 3.5
CONTACT_S = 3.0  # contact-ms
SETTLE_S = 1.5  # settle_ms
CALLERS_S, PER_S = 45, 60
OWED_SHARE = 0.97  # "into 97 in 100 of `prepaid`"


class OwedCallers(Callers):
    """Counts the requests that are refused with 402 although the prepaid total covers them."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.open_until = {}  # requests that had not ended SETTLE_S before count at their most
        self.out_of_touch = {}  # until when, by the name of a machine
        self.denied = 0

    async def one(self, gateway):
        number = self.number + 1
        most = PROMPT + OUTPUT
        self.open_until[number] = None
        open_requests = sum(end is None or now() - end < SETTLE_S for end in self.open_until.values())
        is_owed = self.used + open_requests * most <= OWED_SHARE * PREPAID
        in_touch = now() >= self.out_of_touch.get(gateway.name, 0)
        status = await super().one(gateway)
        self.open_until[number] = now()
        if status == 402 and is_owed and in_touch:
            self.denied += 1
        return status


async def case(fleet, record):
    await fleet.start(configuration(PREPAID), gateways=6, workers=3)
    await asyncio.sleep(4)
    callers = OwedCallers(fleet, record)

    async def kill():
        await asyncio.sleep(KILL_AT_S)
        victim = last_budget_writer(fleet)
        record.say(f"{victim.name} is killed, used {callers.used} tokens so far")
        callers.out_of_touch[victim.name] = now() + DOWN_S + CONTACT_S
        victim.end()
        await asyncio.sleep(DOWN_S)
        victim.start()
        record.say(f"{victim.name} starts again")

    if TROUBLE:
        fleet.run(kill())
    # Clients leave out an address that has failed them.
    running = lambda: [it for it in fleet.gateways if it.process.poll() is None]  # noqa: E731
    await callers.send(CALLERS_S, PER_S, lambda: random.choice(running()))
    await callers.judge(PREPAID)
    limit = 5 + callers.number / 500
    record.say(f"{callers.denied} of {callers.number} requests got 402 from machines in touch though the prepaid total "
               f"covers them; {limit:.0f} are allowed")
    return callers.denied <= limit


play(case, HERE)
