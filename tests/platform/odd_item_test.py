#!/usr/bin/env python3
"""Items of the store whose own fields are missing, of another type or not base64.

Such an item is passed over; the other items of the response hold, and later changes are followed.
"""
import json
import time
import unittest

from gateway_environment import WAIT_S
from standin_store import MISSING
from store_entries import FOLLOW_S, UNREADABLE, StoreEntriesTest

PREFIXES = ("servers/", "op/", "/gentianloom/instances/", "/gentianloom/instances/blocked-requests/",
            "/gentianloom/crash-evidence/", "/gentianloom/budget-shards/", "/gentianloom/usage/g1-")
FLEET_READS_PER_S = 2_000  # of all instances
FLEET_INSTANCES = 75
ODD_FIELDS = {
    "no base64": {"value": "?"},
    "base64 cut off": {"value": "YWJjY"},
    "value is a number": {"value": 5},
    "value is null": {"value": None},
    "value is nested": {"value": [[{}]]},
    "no value": {"value": MISSING},
    "revision is a text": {"rev": "6"},
    "revision is negative": {"rev": -1},
    "revision beyond 64 bits": {"rev": 10 ** 30},
    "no revision": {"rev": MISSING},
    "key is a number": {"key": 5},
    "no key": {"key": MISSING},
    "deleted is a text": {"deleted": "yes"},
    "lease is a text": {"lease": "none", "created": "never"},
    "no object": 5,
    "null": None,
    "a list": [],
}


class OddItemTest(StoreEntriesTest):
    # One such item made the whole response unreadable, at the start and for a watch, or ended the process.
    def test_odd_items(self):
        for name, odd in ODD_FIELDS.items():
            with self.subTest(name):
                keys = [prefix + "odd" for prefix in PREFIXES]
                platform = self.start_platform()
                platform.send_command(odd_fields={key: odd for key in keys})
                try:
                    running = self.start(platform, "g1")
                    platform.send_command(put=keys, raw=UNREADABLE)
                    self.check_follows([running])
                    self.check_serves(running)
                    self.check_serves(self.start(platform, "g2"))
                finally:
                    self.doCleanups()

    # The pages were read without end, which used what the whole fleet may read.
    def test_pages_that_repeat(self):
        platform = self.start_platform()
        running = self.start(platform, "g1")
        platform.send_command(page=1, repeats_pages=True)
        calls = platform.send_command()["calls"]
        with self.assertRaises(AssertionError):
            self.start(platform, "g2")
        calls = platform.send_command()["calls"] - calls
        self.assertLess(calls, 2 * WAIT_S * FLEET_READS_PER_S / FLEET_INSTANCES)
        self.check_serves(running)
        platform.send_command(repeats_pages=False)
        self.check_serves(self.start(platform, "g3"))
        self.check_follows([running])

    # An instance that reads the list again dropped another one whose record could not be read.
    def test_unreadable_record_of_a_known_instance(self):
        platform = self.start_platform()
        running, other = (self.start(platform, it) for it in ("g1", "g2"))
        running.wait(lambda: self.names(running, other))
        platform.send_command(odd_fields={"/gentianloom/instances/g2": {"value": "?"}})
        platform.send_command(store_mode="busy")
        time.sleep(1)  # the watches that wait end
        platform.send_command(put="unrelated", raw="", forget_history=True)
        platform.send_command(store_mode="up")
        running.wait_for_log_line(lambda it: it.get("prefix") == "/gentianloom/instances/"
                                  and it["change"].startswith("the watched revision is no longer"))
        time.sleep(FOLLOW_S)  # longer than an instance is kept after an outage
        self.assertTrue(self.names(running, other))

    @staticmethod
    def names(asked, other):
        reply = asked.get(asked.directory, "/resolve?zone=a")
        return f"127.0.0.1:{other.caller}" in json.loads(reply.body)["addresses"]

    # A key that is shorter than the prefix ended the process.
    def test_keys_outside_the_prefix(self):
        platform = self.start_platform()
        running = self.start(platform, "g1")
        platform.send_command(ignores_prefix=True, put=["", "x", "servers", "y" * 200], raw=UNREADABLE)
        time.sleep(FOLLOW_S)
        self.check_serves(running)
        self.check_serves(self.start(platform, "g2"))
        self.check_follows([running])


if __name__ == "__main__":
    unittest.main()
