#!/usr/bin/env python3
"""Callers that are told the address of an instance that has ended lose their time with it.

Instances end in three ways at once, while the store is up, down, or out of reach for some. A stopped process
stands for a machine without power: its connections stay open and nothing answers on them.
"""
import json
import signal
import time
import unittest

from endpoint_links import HANG, RESET, Link
from gateway_environment import Environment, Platform

GONE_S = 7
LEASE_S = 3
OUTAGE_S = 1.0
LONG_OUTAGE_S = LEASE_S + 1.5
CUT_S = LEASE_S + 2  # until the instance without the store is no longer listed


class Fleet(unittest.TestCase):
    """Instances whose address answers are checked; it has no tests itself."""

    def start_platform(self):
        self.platform = Platform()
        self.addCleanup(self.platform.close)

    def start(self, names, elsewhere=(), **settings):
        """Starts instances; `elsewhere`: those of another zone, `settings`: of single ones, by name."""
        self.instances = {}
        for name in names:
            env = Environment(platform=self.platform, name=name, **settings.get(name, {}))
            self.addCleanup(env.close)
            self.instances[name] = env
        for env in self.instances.values():
            env.wait(lambda env=env: self.named_by(env) == {*names} - {*elsewhere})

    def named_by(self, env):
        reply = env.get(env.directory, "/resolve?zone=a")
        addresses = json.loads(reply.body)["addresses"] if reply.status == 200 else []
        return {name for name, it in self.instances.items()
                if f"127.0.0.1:{it.caller}" in addresses}

    def end(self, killed=(), stopped=(), removed=()):
        for name in killed:
            self.instances[name].gateway.kill()
        for name in stopped:
            gateway = self.instances[name].gateway
            gateway.send_signal(signal.SIGSTOP)
            self.addCleanup(gateway.send_signal, signal.SIGCONT)
        for name in removed:
            self.instances[name].gateway.terminate()
            self.instances[name].gateway.wait()

    def check_gone(self, ended, since, asked, kept):
        """All of `asked` must name all of `kept` at any time, none of `ended` GONE_S after `since`."""
        naming = set(asked)
        while naming and time.monotonic() < since + GONE_S:
            for name in sorted(naming):
                named = self.named_by(self.instances[name])
                self.assertLessEqual({*kept}, named, name)
                if not named & set(ended):
                    naming.remove(name)
            time.sleep(0.05)
        self.assertFalse(naming, f"{naming} still name one of {ended}")


class AddressAnswersTest(Fleet):
    # The store is up; the watches of the store may have been lost without a sign.
    def test_store_is_up(self):
        for is_silent in (False, True):
            with self.subTest(is_silent):
                self.start_platform()
                self.start(["g1", "g2", "g3", "g4", "g5"])
                self.platform.send_command(silence_watches=is_silent)
                self.end(killed=["g3"], stopped=["g4"])
                since = time.monotonic()
                self.end(removed=["g5"])
                self.check_gone(["g3", "g4", "g5"], since, ["g1", "g2"], ["g1", "g2"])
                self.doCleanups()

    def check_outage(self, outage_s, lease_pause_s, is_silent):
        self.start_platform()
        self.start(["g1", "g2", "g3", "g4"])
        self.platform.send_command(silence_watches=is_silent, store_mode="busy")
        self.end(killed=["g3"], stopped=["g4"])
        end = time.monotonic() + outage_s
        while time.monotonic() < end:
            for name in ("g1", "g2"):
                self.assertLessEqual({"g1", "g2"}, self.named_by(self.instances[name]))
            time.sleep(0.05)
        self.platform.send_command(store_mode="up", extend_leases_s=lease_pause_s)
        self.check_gone(["g3", "g4"], time.monotonic(), ["g1", "g2"], ["g1", "g2"])
        self.doCleanups()

    # All leases run on and end in an outage: those of instances that still run must not count.
    def test_leases_end_in_an_outage(self):
        for is_silent in (False, True):
            with self.subTest(is_silent):
                self.check_outage(LONG_OUTAGE_S, 0, is_silent)

    # Leases stand still in an outage: those of ended instances end only after it.
    def test_leases_stand_still_in_an_outage(self):
        for is_silent in (False, True):
            with self.subTest(is_silent):
                self.check_outage(OUTAGE_S, OUTAGE_S, is_silent)


class CutOffFromStoreTest(Fleet):
    # An instance that does not reach the store must learn from others who has ended. They do not list it any
    # more, since its lease has ended too.
    def check_cut_off(self, how, zone, time_s):
        self.start_platform()
        link = Link(self.platform.addresses["store"])
        self.addCleanup(link.close)
        self.start(["g1", "g2", "g3", "g4"], ["g1"] if zone != "a" else [],
                   g1={"store_address": "%s:%d" % link.address, "availability_zone": zone})
        link.cut(how)
        time.sleep(time_s)
        self.end(killed=["g3"], stopped=["g4"])
        self.check_gone(["g3", "g4"], time.monotonic(), ["g1", "g2"], ["g2"])

    def test_store_is_out_of_reach_for_one(self):
        self.check_cut_off(HANG, "a", CUT_S)

    # If a whole zone is cut off, no instance of it can tell the others. What ended at that moment is missed
    # unless it is told again.
    def test_store_is_out_of_reach_for_a_zone(self):
        self.check_cut_off(RESET, "b", 0)


if __name__ == "__main__":
    unittest.main()
