"""Case 11: the store comes back from a copy while it turns one machine away. TROUBLE=0: it does not."""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from budget import Callers, configuration, last_budget_writer  # noqa: E402
from fleet import play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREPAID = 120_000
STALE_S = 3.0  # reads with allow-stale "may be seconds old"
CALM_S = 16  # until each machine holds what it keeps for a calm time
COPY_S = 3.0  # "a copy some seconds old"
AWAY_S = 0.5  # "away for a moment"
TURNED_AWAY_S = 7.0  # the site files have up to 9 s, for up to 0.35 of the machines
FIRST_CALLERS_S, FIRST_PER_S = 2.0, 100  # callers of the one machine, before the store goes away
CALLERS_S, PER_S = 30, 60  # callers of all machines


async def case(fleet, record):
    fleet.store.stale_s = STALE_S
    await fleet.start(configuration(PREPAID), gateways=3, workers=3)
    await asyncio.sleep(CALM_S)
    victim = last_budget_writer(fleet)
    callers = Callers(fleet, record)
    record.say(f"callers come, all of them to {victim.name}")
    await callers.send(FIRST_CALLERS_S, FIRST_PER_S, lambda: victim)
    if TROUBLE:
        record.say(f"the store turns {victim.name} away for {TURNED_AWAY_S} s, and has a drill")
        drill = fleet.run(fleet.drill(COPY_S, AWAY_S))
        victim.port.set_mode("silent")

        async def let_in_again():
            await asyncio.sleep(TURNED_AWAY_S)
            victim.port.set_mode("up")
            record.say(f"the store serves {victim.name} again")
        fleet.run(let_in_again())
        await drill
    record.say("callers come to all machines")
    await callers.send(CALLERS_S, PER_S, lambda: random.choice(fleet.gateways))
    return await callers.judge(PREPAID)


play(case, HERE)
