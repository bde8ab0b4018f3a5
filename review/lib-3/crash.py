"""Workers that a request crashes, for the scripts of the third review."""
import asyncio
import time

from fleet import Worker, now, serve_http

POISON_PATH = "/chat/poison"


class CrashingWorker(Worker):
    """Ends like a killed process `crash_after_s` after the first event of a poisoned request.

    Its connections are reset and its port is closed. It is back after `back_s`, as another lifetime
    under its id and address.
    """

    crash_after_s = None  # None: poisoned requests do no harm
    back_s = 3.0
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
        self.server = await serve_http(self.handle, self.port, on_connect=self.writers.add)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.alive = self.listed = True
        self.write_entry()
        self.record.say(f"{self.name} is back")
