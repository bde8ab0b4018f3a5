#!/usr/bin/env python3
"""A request under which endpoints end, while all gateways are killed at the same moment and started again.

Bounds are those of the rule: contact-ms is 3 s, and three retries may follow after it.
"""
import concurrent.futures
import dataclasses
import http.client
import time
import unittest

from gateway_environment import Environment, Platform

CONTACT_S = 3
MAX_LATE_RUNS = 3
INTERVAL_S = 4  # of the request; each repetition after the third crash is later than the bound
DOWN_S = 0.5
END_S = 44
GATEWAYS = 3
ENDPOINTS = ["w1", "w2", "w3", "w4"]
BODY = "crash"


@dataclasses.dataclass(frozen=True)
class Row:
    name: str
    path: str
    kills: tuple  # of all gateways: number of crashes before each, and seconds after the last of them


ROWS = [
    Row("at most once, killed after the second crash", "/send/crash", ((2, 2.0),)),
    Row("idempotent, killed after the first crash", "/read/crash", ((1, 2.0),)),
    Row("stream, killed with the second crash", "/chat/crash", ((2, 0.0),)),
    Row("at most once, killed with the third crash", "/send/crash", ((3, 0.0),)),
    Row("resumable stream, killed after each of the first crashes", "/resume/crash",
        ((1, 2.0), (2, 2.0))),
]


class Fleet:
    def __init__(self, path):
        self.path = path
        self.platform = Platform({it: "v1" for it in ENDPOINTS})
        for it in ENDPOINTS:
            self.platform.send_command(worker=it, set={
                "crashing": [[path, "org", BODY]], "new_id_after_crash": True, "run_s": 0.02})
        self.gateways = [Environment(platform=self.platform, name=f"g{n}") for n in range(GATEWAYS)]
        self.sent = 0

    def crashes(self):
        return sorted(it["at"] for it in self.platform.send_command()["crashes"])

    def kill_all(self):
        for it in self.gateways:
            it.gateway.kill()
        for it in self.gateways:
            it.gateway.wait()
        time.sleep(DOWN_S)
        for it in self.gateways:
            it.log.close()
            it.start()

    def send(self):
        gateway = self.gateways[self.sent % GATEWAYS]
        self.sent += 1
        try:
            gateway.call(self.path, f"r{self.sent}", body=BODY.encode())
        except (OSError, http.client.HTTPException):
            pass  # no response

    def close(self):
        for it in self.gateways:
            it.close()
        self.platform.close()


def count_late_runs(row):
    """Returns how many runs follow later than CONTACT_S after the third crash, and all runs."""
    fleet = Fleet(row.path)
    try:
        begin = time.monotonic()
        kills = list(row.kills)
        next_at = begin + CONTACT_S
        while time.monotonic() < begin + END_S:
            crashes = fleet.crashes()
            if kills and len(crashes) >= kills[0][0] and \
                    time.monotonic() >= crashes[kills[0][0] - 1] + kills[0][1]:
                kills.pop(0)
                fleet.kill_all()
                next_at = max(next_at, time.monotonic() + CONTACT_S)
            if time.monotonic() >= next_at:
                fleet.send()
                next_at = time.monotonic() + INTERVAL_S
            time.sleep(0.01)
        runs = sorted(it["at"] for it in fleet.platform.executed_requests())
        return sum(it > runs[2] + CONTACT_S for it in runs), len(runs), not kills
    finally:
        fleet.close()


class CrashingRequestRestartTest(unittest.TestCase):
    # Interruptions were counted in the memory of the gateways only: after the end of all of them, a request that
    # had crashed two endpoints was sent to five more.
    def test_count_outlives_all_gateways(self):
        with concurrent.futures.ThreadPoolExecutor(len(ROWS)) as pool:
            results = list(pool.map(count_late_runs, ROWS))
        for row, (late, runs, are_killed) in zip(ROWS, results):
            print(f"{row.name}: {late} late runs of {runs}", flush=True)
        for row, (late, runs, are_killed) in zip(ROWS, results):
            with self.subTest(row.name):
                self.assertTrue(are_killed)
                self.assertGreaterEqual(runs, 3)
                self.assertLessEqual(late, MAX_LATE_RUNS)


if __name__ == "__main__":
    unittest.main(warnings="ignore")
