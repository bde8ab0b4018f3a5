#!/usr/bin/env python3
"""Entries of other writers among those of the endpoints and the instances.

An odd entry names nothing to use; the others hold, and later changes are followed.
"""
import json
import time
import unittest

from gateway_environment import Environment

MAX_MEMORY_KB = 60_000  # of 88 MB machines
VALUE_BYTES = 1_000_000
NESTED_LEVELS = 400_000
GOOD = {"service": "pool", "address": "127.0.0.1:9", "zone": "a", "slots": 8, "state": "ready", "version": "v1",
        "cold-remaining-ms": 0, "sequence": 1}


def changed(**fields):
    return json.dumps(GOOD | fields)


ENTRIES = {
    "nested lists": "[" * NESTED_LEVELS,
    "closed nested lists": "[" * NESTED_LEVELS + "]" * NESTED_LEVELS,
    "nested objects": '{"a":' * (VALUE_BYTES // 5),
    "nested value": json.dumps(GOOD)[:-1] + ',"x":' + "[" * NESTED_LEVELS + "]" * NESTED_LEVELS + "}",
    "number too large": changed(slots=0).replace('"slots": 0', '"slots": 1e999'),
    "slots too large": changed(slots=0).replace('"slots": 0', '"slots": 1e300'),
    "slots beyond 64 bits": changed(slots=10 ** 30),
    "negative slots": changed(slots=-5),
    "port out of range": changed(address="127.0.0.1:70000"),
    "port 0": changed(address="127.0.0.1:0"),
    "no address": changed(address="nowhere"),
    "start too large": changed(born=0).replace('"born": 0', '"born": 1e300'),
    "warm-up too large": changed(**{"cold-remaining-ms": 2 ** 63 - 1}),
    "sequence too large": changed(sequence=10 ** 30),
    "no object": "[1, 2]",
    "no text": "\xff\xfe",
    "nothing": "",
    "null": "null",
    "twice": '{"service": "pool", "service": 5}',
    "unknown state": changed(state="sleeping"),
    "large": json.dumps("x" * VALUE_BYTES),
    "no warm-up": json.dumps({k: v for k, v in GOOD.items() if k != "cold-remaining-ms"}),
    "no sequence": json.dumps({k: v for k, v in GOOD.items() if k != "sequence"}),
}
PREFIXES = ("servers/", "/gentianloom/instances/", "/gentianloom/instances/blocked-requests/")


class OddEntryTest(unittest.TestCase):
    def setUp(self):
        self.env = Environment()
        self.addCleanup(self.env.close)

    def peak_memory_kb(self):
        with open(f"/proc/{self.env.gateway.pid}/status", encoding="ascii") as lines:
            return int(next(it for it in lines if it.startswith("VmHWM")).split()[1])

    def check_follows(self, name):
        """The gateway runs, serves, and follows the list: an endpoint leaves it and comes back."""
        self.assertIsNone(self.env.gateway.poll(), name)
        self.env.log.truncate(0)
        for leaving in ("w1", "w2"):
            self.env.send_command(remove="servers/" + leaving)
            before = time.monotonic()
            self.env.wait_for_log_line(lambda it, id=leaving: it.get("endpoint") == id
                                       and it["change"] == "the entry of an endpoint was deleted")
            self.assertLess(time.monotonic() - before, 3)
            self.assertEqual(200, self.env.call("/send/x", f"{name}-{leaving}").status, name)
            self.env.platform.list_endpoint(leaving)
            self.env.wait_for_log_line(lambda it, id=leaving: it.get("endpoint") == id
                                       and it["change"] == "the entry of an endpoint changed")

    # One entry of another writer ended the processes that read the list, or their reading.
    def test_entries_of_other_writers(self):
        for prefix in PREFIXES:
            for n, (name, value) in enumerate(ENTRIES.items()):
                with self.subTest(prefix=prefix, name=name):
                    self.env.send_command(put=f"{prefix}odd{n}", raw=value)
                    try:
                        if prefix == "servers/":
                            self.env.wait_for_log_line(
                                lambda it, id=f"odd{n}": it.get("endpoint") == id
                                and it["change"] == "ignored an invalid endpoint entry")
                        self.check_follows(f"{prefix.replace('/', '-')}{n}")
                        self.assertLess(self.peak_memory_kb(), MAX_MEMORY_KB)
                    finally:
                        self.env.send_command(remove=f"{prefix}odd{n}")

    # An entry that lacks fields brought a leaving endpoint back into use.
    def test_entry_of_another_writer_for_a_leaving_endpoint(self):
        self.env.platform.list_endpoint("w1", state="draining", born=7)
        self.env.wait_for_log_line(lambda it: it.get("endpoint") == "w1" and it.get("leaving") == "yes")
        address = self.env.platform.addresses["workers"]["w1"]
        for missing in ("born", "sequence", "cold-remaining-ms", "zone"):
            with self.subTest(missing):
                odd = {**GOOD, "address": address, "born": 7}
                del odd[missing]
                self.env.send_command(put="servers/w1", value=odd)
                # Changes of one prefix are handled in order.
                self.env.platform.list_endpoint("w2", born=100 + len(missing))
                self.env.wait_for_log_line(lambda it, at=str(100 + len(missing)): it.get("started_at") == at)
                self.env.configure_workers(executed=[])
                for n in range(6):
                    self.env.call("/send/x", f"{missing}{n}")
                self.assertEqual([], self.env.send_command()["executed"]["w1"])

    # A process that starts reads all of them at once.
    def test_start_among_odd_entries(self):
        for n, value in enumerate(ENTRIES.values()):
            for prefix in PREFIXES:
                self.env.send_command(put=f"{prefix}odd{n}", raw=value)
        other = Environment(platform=self.env.platform, name="g2")
        self.addCleanup(other.close)
        self.assertEqual(200, other.call("/send/x", "started").status)


if __name__ == "__main__":
    unittest.main()
