#!/usr/bin/env python3
"""Requests that share one part of their prompts, under which endpoints end, and are else all different.

Bounds are those of the rule: contact-ms is 3 s, and three requests may follow after it.
"""
import concurrent.futures
import dataclasses
import itertools
import time
import unittest

from crashing_request_test import (CONTACT_S, ENDPOINTS, MARGIN_S, MAX_FURTHER_RUNS, MIN_SERVED_SHARE,
                                   PARALLEL, PHASE_S, PROMPT_S, Checks, Fleet)
from gateway_environment import Environment

CRASHES_BEFORE = 5
BAD, OTHER_BAD = "b1", "b2"
BAD_INTERVAL_S = 0.2
SOUND_INTERVAL_S = 0.15
RARE_INTERVAL_S = 0.7
RUN_S = 0.03
EVENT_S = 0.05
EVENTS = 12  # of sound streams, which run beside those that end their endpoints
END_MARGIN_S = 0.1  # between the end of an endpoint and what its callers see of it
own_parts = itertools.count(0x10000)
bodies = itertools.count()


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Requests of one kind: their path, key and parts, to which each adds one of its own."""
    path: str
    key: str
    parts: tuple

    def headers(self):
        parts = [f"{it}:300" for it in self.parts] + [f"{next(own_parts):x}:50"]
        return {"X-Prompt-Prefix": ",".join(parts)}

    @staticmethod
    def body():
        return b"%d" % next(bodies)


@dataclasses.dataclass(frozen=True)
class Row:
    name: str
    bad: tuple
    sound: tuple  # sent often; they share caller, first part and other parts with the bad ones
    late_start: str  # "new": another gateway starts; "again": one is killed and started again
    events: int = 0  # that a bad stream writes before its endpoint ends
    listener: str = "refuse"


ROWS = [
    Row("part stands first", (Prompt("/chat/x", "k1", (BAD, "aa")),),
        (Prompt("/chat/x", "k1", ("aa", "cc")), Prompt("/chat/x", "k1", ("dd", "aa"))), "new"),
    Row("part stands in the middle, several kinds and organisations",
        (Prompt("/chat/x", "k1", ("aa", BAD, "cc")), Prompt("/resume/x", "k2", ("dd", BAD))),
        (Prompt("/chat/x", "k1", ("aa", "cc")), Prompt("/resume/x", "k2", ("dd", "cc"))), "again"),
    Row("two parts", (Prompt("/resume/x", "k1", ("aa", BAD)), Prompt("/chat/x", "k2", (OTHER_BAD, "dd"))),
        (Prompt("/resume/x", "k1", ("aa",)), Prompt("/chat/x", "k2", ("dd",))), "new", 0, "close"),
    Row("an event before the end", (Prompt("/resume/x", "k1", ("aa", "cc", BAD)),),
        (Prompt("/resume/x", "k1", ("aa", "cc")),), "again", 1),
    Row("plain responses", (Prompt("/read/x", "k1", ("aa", BAD)), Prompt("/send/x", "k1", ("aa", BAD))),
        (Prompt("/read/x", "k1", ("aa", "cc")), Prompt("/send/x", "k1", ("aa", "dd"))), "new"),
]


class Day:
    """A fleet with bad and sound requests of a row."""

    def __init__(self, row):
        self.fleet = Fleet()
        self.row = row
        for name in ENDPOINTS:
            self.fleet.platform.send_command(worker=name, set={
                "crashing_parts": [BAD, OTHER_BAD], "events_before_crash": row.events, "run_s": RUN_S,
                "crashed_listener": row.listener, "events": EVENTS, "event_s": EVENT_S})

    def send(self):
        for n, it in enumerate(self.row.sound):
            self.keep_sending(f"sound{n}", it, SOUND_INTERVAL_S)
        # A conversation that few instances see: its part stands in no other prompt.
        rare = dataclasses.replace(self.row.sound[0], parts=(self.row.sound[0].parts[0], "ee"))
        self.keep_sending("rare", rare, RARE_INTERVAL_S)
        for n, it in enumerate(self.row.bad):
            self.keep_sending(f"bad{n}", it, BAD_INTERVAL_S)

    def keep_sending(self, kind, prompt, interval):
        self.fleet.keep_sending(kind, prompt.path, prompt.key, prompt.body, interval, prompt.headers)

    def bad_parts(self):
        return [it for it in (BAD, OTHER_BAD) if any(it in prompt.parts for prompt in self.row.bad)]

    def runs(self, part):
        """When requests with a part reached endpoints."""
        executed = self.fleet.platform.send_command()["executed"]
        return sorted(it["at"] for ran in executed.values() for it in ran
                      if f"{part}:" in it["headers"].get("X-Prompt-Prefix", ""))

    def lost_with_endpoints(self):
        """Attempts that were under way at an endpoint when it ended."""
        state = self.fleet.platform.send_command()
        ends = [(it["id"].split(".")[0], it["at"]) for it in state["crashes"]]
        calls = {it.attempt: it for it in self.fleet.calls}
        out = set()
        for name, arrived in state["arrived"].items():
            for it in arrived:
                call = calls.get(it["attempt"])
                if call and any(id == name and it["at"] - END_MARGIN_S <= at
                                <= call.sent_at + call.duration_s + END_MARGIN_S for id, at in ends):
                    out.add(it["attempt"])
        return out

    def crashes(self):
        return sorted(it["at"] for it in self.fleet.platform.send_command()["crashes"])


def play_crashing_part(row, checks):
    day = Day(row)
    try:
        run_crashing_part(row, checks, day)
    finally:
        day.fleet.close()


def run_crashing_part(row, checks, day):
    fleet = day.fleet
    day.send()
    Environment.wait(lambda: all(len(day.runs(it)) >= CRASHES_BEFORE for it in day.bad_parts()))
    bounds = {it: day.runs(it)[CRASHES_BEFORE - 1] + CONTACT_S + MARGIN_S for it in day.bad_parts()}
    bound_at = max(bounds.values())
    time.sleep(max(0, bound_at + PHASE_S - time.monotonic()))
    ends = {"with those that saw the crashes": time.monotonic()}
    if row.late_start == "again":
        fleet.kill_gateway("g3")
    late = "g3" if row.late_start == "again" else "g4"
    fleet.start_gateway(late)
    time.sleep(PHASE_S)
    ends["with a gateway that started late"] = time.monotonic()
    for name in [it for it in fleet.gateways if it != late]:
        fleet.kill_gateway(name)
    time.sleep(PHASE_S)
    ends["with that gateway's peers killed"] = time.monotonic()
    fleet.start_gateway("g9")
    fleet.kill_gateway(late)
    time.sleep(PHASE_S)
    ends["with all killed but a new one"] = time.monotonic()
    fleet.finish()

    for part in day.bad_parts():
        runs = day.runs(part)
        for text, end in ends.items():
            further = [it for it in runs if bounds[part] < it <= end]
            checks.check(row.name, f"{part}, {text}: {len(further)} runs later than "
                         f"{CONTACT_S + MARGIN_S} s after the fifth (in all {len(runs)})",
                         len(further) <= MAX_FURTHER_RUNS)
    calls = [it for it in fleet.calls if it.sent_at > bound_at]
    bad = [it for it in calls if it.kind.startswith("bad")]
    refused = [it for it in bad if it.status == 503 and it.retry_after and it.duration_s <= PROMPT_S]
    checks.check(row.name, f"prompt 503 with Retry-After: {len(refused)} of {len(bad)}",
                 len(bad) > 0 and len(refused) >= len(bad) - MAX_FURTHER_RUNS * len(day.bad_parts()))
    # The single trials that are allowed end an endpoint, and the runs beside them.
    lost = day.lost_with_endpoints()
    calls = [it for it in calls if it.is_served or it.status == 503 or it.attempt not in lost]
    for kind in sorted({it.kind for it in fleet.calls if not it.kind.startswith("bad")}):
        checks.check_served(row.name, f"sound requests, {kind}",
                            [it for it in calls if it.kind == kind], MIN_SERVED_SHARE)


BACK_S = 6  # two trials of a blocked part follow within it


class CrashingPartTest(unittest.TestCase):
    # Each request was new, so that requests with the part went on to end endpoints.
    def test_part_that_ends_endpoints_is_not_sent_on(self):
        checks = Checks()
        with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
            for it in [pool.submit(play_crashing_part, row, checks) for row in ROWS]:
                it.result()
        self.assertEqual(0, checks.failed, "broken checks, printed above")

    # A part that endpoints survive again would be refused until the block ends.
    def test_part_that_endpoints_survive_is_served_again(self):
        day = Day(ROWS[0])
        self.addCleanup(day.fleet.close)
        day.send()
        Environment.wait(lambda: any(it.kind == "bad0" and it.status == 503 and it.retry_after
                                     for it in day.fleet.calls))
        for name in ENDPOINTS:
            day.fleet.platform.send_command(worker=name, set={"crashing_parts": []})
        time.sleep(BACK_S)
        mended_at = time.monotonic()
        time.sleep(PHASE_S)
        day.fleet.finish()
        bad = [it for it in day.fleet.calls if it.kind == "bad0" and it.sent_at > mended_at]
        self.assertGreater(len(bad), 0)
        self.assertGreaterEqual(sum(it.is_served for it in bad), MIN_SERVED_SHARE * len(bad))


if __name__ == "__main__":
    unittest.main(warnings="ignore")  # the lines of the checks stand alone
