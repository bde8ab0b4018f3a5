"""One tenant with a prepaid total, and its callers, for the scripts of the third review."""
import asyncio

from fleet import call, now

PROMPT, OUTPUT, STRIDE = 100, 25, 5  # tokens of a request, and of an event


def configuration(prepaid):
    return {
        "version": 7,
        "routes": [{"name": "chat", "host": "h.example", "prefix": "/chat/", "kind": "streaming",
                    "timeout-ms": 4000, "target-latency-ms": 300, "priority": 0, "service": "pool",
                    "max-attempts": 1, "allow-anonymous": False, "session-affinity": True,
                    "resumable": False, "target-gap-ms": 200}],
        "services": [{"name": "pool", "health-check-path": "/health", "max-connections": 360,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kv-capacity-tokens": 500000, "stride": STRIDE}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "org", "api-keys": ["key-of-org"], "priority": 1,
                     "prepaid": prepaid}]}


def last_budget_writer(fleet):
    """The gateway that last wrote a record of the budget under a condition."""
    writers = {k: v for k, v in fleet.store.last_writer.items() if "budget" in k}
    return fleet.gateway(next(iter(writers.values()), fleet.gateways[0].name))


class Callers:
    """Sends requests of the tenant at a rate, and counts the tokens that it gets."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.number = 0
        self.used = 0
        self.statuses = {}
        self.tasks = set()

    async def one(self, gateway):
        self.number += 1
        attempt = f"a{self.number}"
        headers = {"X-Attempt-Id": attempt, "X-Credential": "key-of-org", "X-Deadline-Ms": "3000",
                   "X-Model": "m", "X-Token-Usage": f"{PROMPT},{OUTPUT}",
                   "X-Prompt-Prefix": f"{self.number:x}:{PROMPT}"}
        self.record.add(f"send    {attempt} to {gateway.name}")
        reply = await call(gateway.caller, "POST", "/chat/x", headers, b"prompt", timeout_s=4)
        self.record.add(f"answer  {attempt} {reply.status} {reply.events} events")
        self.statuses[reply.status] = self.statuses.get(reply.status, 0) + 1
        if reply.status == 200:  # it was run: what the tenant got
            self.used += PROMPT + min(OUTPUT, reply.events * STRIDE)
        return reply.status

    async def send(self, seconds, per_s, choose):
        end = now() + seconds
        while now() < end:
            task = asyncio.create_task(self.one(choose()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / per_s)

    async def judge(self, prepaid):
        """The rule: the tenant gets no more than its prepaid total."""
        await asyncio.gather(*self.tasks)
        self.record.say(f"answers by status: {self.statuses}")
        self.record.say(f"prepaid {prepaid}, used {self.used} tokens")
        return self.used <= prepaid
