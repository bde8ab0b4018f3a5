#!/usr/bin/env python3
"""Entries of other writers whose names hold characters that have a meaning in a target or a header.

Such an entry names nothing to use; the others hold, and later changes are followed. Pages of one item
make each key one after which a page begins.
"""
import json
import time
import unittest

from standin_store import PAGE_ITEMS
from store_entries import FOLLOW_S, UNREADABLE, StoreEntriesTest

MAX_KEY_BYTES = 200
NAMES = (
    "&x", "+x", "#x", "%x", "%20x", "%", "a b", "a ", " a", "&after=zz", "&prefix=op/", "a\tb", "a\nb",
    "a\r\nX-Model: n", "=", "?", "/", "a/b", ";", '"', "\\", "é", "\U0001f600", "\0", "", ".", "..",
    "x\ud800", "x\udcffy",
    "%" * (MAX_KEY_BYTES - len("/gentianloom/instances/blocked-requests/")),
)
USABLE_NAMES = ("i-7f3a91c2", "W.1_x~y", "10.1.0.40:8721", "a@b")
WATCHED_PREFIXES = ("servers/", "op/", "op/evacuate/", "/gentianloom/instances/",
                    "/gentianloom/instances/blocked-requests/")
OTHER_PREFIXES = ("/gentianloom/crash-evidence/", "/gentianloom/software-versions",
                  "/gentianloom/budget-shards/", "/gentianloom/usage/g1")
WATCHED_KEYS = [prefix + name for prefix in WATCHED_PREFIXES for name in NAMES]
ODD_SHARDS = ("007", "+7", "7 ", "256", "99999", "-1")
ODD_INSTANCES = (("&x", {}), ("g8", {}), ("a b", {"name": "g1"}), ("g9", {"address": "nowhere"}),
                 ("g9", {"address": "127.0.0.1:0"}), ("g9", {"address": ""}), ("g9", {"peer_address": "?"}),
                 ("", {"name": ""}))
INSTANCES = 6  # of a zone, so that some learn of changes from the others only


class OddNameTest(StoreEntriesTest):
    # RECOVER: processes that started while one such entry stood in the store were not ready.
    def test_start_with_one_odd_name(self):
        for name in NAMES:
            with self.subTest(name):
                self.check_start(["servers/" + name], page=1)

    def test_start_with_odd_names_under_each_prefix(self):
        for prefix in WATCHED_PREFIXES + OTHER_PREFIXES:
            for page in (1, PAGE_ITEMS):
                with self.subTest(prefix=prefix, page=page):
                    self.check_start([prefix + it for it in NAMES], page)

    # Callers of all prepaid organisations were told that nothing was left (402).
    def test_start_with_odd_names_of_shards(self):
        self.check_start(["/gentianloom/budget-shards/" + it for it in ODD_SHARDS])

    # The odd entry is the last one of the first page, and the endpoints are on the second.
    def test_start_with_a_list_of_several_pages(self):
        unusable = [f"servers/!{n:03}" for n in range(PAGE_ITEMS - 1)]
        for name in NAMES:
            with self.subTest(name):
                self.check_start([*unusable, "servers/!z" + name])

    # The watch tells of the entries, then the list is read again after 410.
    def test_odd_names_that_appear_while_a_gateway_runs(self):
        platform = self.start_platform()
        platform.send_command(page=1)
        gateway = self.start(platform)
        platform.send_command(put=WATCHED_KEYS, raw=UNREADABLE)
        self.check_follows([gateway])
        self.check_serves(gateway)
        platform.send_command(store_mode="busy")
        time.sleep(1)  # the watches that wait end
        platform.send_command(put="unrelated", raw="", forget_history=True)
        platform.send_command(store_mode="up")
        for prefix in ("op/", "servers/", "/gentianloom/instances/"):
            gateway.wait_for_log_line(lambda it, prefix=prefix: it.get("prefix") == prefix
                                      and it["change"].startswith("the watched revision is no longer"))
        self.check_follows([gateway])
        self.check_serves(gateway)

    def test_odd_names_told_by_the_watchers_of_a_zone(self):
        platform = self.start_platform()
        gateways = [self.start(platform, f"g{n}") for n in range(INSTANCES)]
        time.sleep(FOLLOW_S)  # until all know of each other
        platform.send_command(put=WATCHED_KEYS, raw=UNREADABLE)
        self.check_follows(gateways)
        told = [line for it in gateways for line in it.log_lines()
                if line["change"] == "read changes" and line["source"] != "own watch"]
        self.assertNotEqual([], told)
        for it in gateways:
            self.check_serves(it)


    # An id is sent to its endpoint in a header; an entry whose name cannot be one names no endpoint.
    def test_sound_entry_under_an_odd_name_is_not_used(self):
        platform = self.start_platform()
        platform.send_command(put=["servers/" + it for it in NAMES], value=self.sound_entry(platform, 1))
        gateway = self.start(platform)
        self.check_serves(gateway)
        platform.send_command(put=["servers/" + it for it in NAMES], value=self.sound_entry(platform, 2))
        self.check_follows([gateway])
        self.check_serves(gateway)
        self.assertEqual(0, platform.send_command()["connections"]["w3"])

    def test_sound_entry_under_a_plain_name_is_used(self):
        for name in USABLE_NAMES:
            with self.subTest(name):
                platform = self.start_platform()
                for it in ("w1", "w2"):
                    platform.send_command(remove="servers/" + it)
                platform.send_command(worker="w3", set={"name": name})
                platform.send_command(put="servers/" + name, value=self.sound_entry(platform, 1))
                self.check_serves(self.start(platform))
                self.doCleanups()

    # Such an address was given to callers, and it stayed when the entry was deleted.
    def test_sound_record_that_is_no_instance_is_not_named(self):
        platform = self.start_platform()
        running = self.start(platform, "g1")
        for key, changes in ODD_INSTANCES:
            with self.subTest(key=key, changes=changes):
                key = "/gentianloom/instances/" + key
                record = {"name": "g9", "incarnation": "run-9", "zone": "a", "address": "127.0.0.1:9",
                          "peer_address": "127.0.0.1:10", "leaving": False}
                platform.send_command(put=key, value=record | changes)
                self.check_follows([running])
                for it in (running, self.start(platform, f"g{time.monotonic_ns()}")):
                    reply = it.get(it.directory, "/resolve?zone=a")
                    addresses = json.loads(reply.body)["addresses"]
                    self.assertIn(f"127.0.0.1:{running.caller}", addresses)
                    self.assertNotIn(record.get("address"), addresses)
                    self.assertNotIn(changes.get("address"), addresses)
                platform.send_command(remove=key)

    @staticmethod
    def sound_entry(platform, sequence):
        return {"service": "pool", "address": platform.addresses["workers"]["w3"], "zone": "a", "slots": 8,
                "state": "ready", "version": "v1", "cold-remaining-ms": 0, "sequence": sequence}


if __name__ == "__main__":
    unittest.main()
