#!/usr/bin/env python3
"""Availability zones that an operator evacuates, and that come back into use."""
import time
import unittest

from gateway_environment import Environment, Platform, configuration

EVACUATION_S = 5  # evacuation-ms
GRACE_S = 10  # for a key that the store has lost
REQUESTS = 24  # enough for each endpoint to be chosen
PATHS = ("/send/x", "/read/x", "/chat/x", "/resume/x")
PROMPT_S = 0.5
ZONES = {"w1": "a", "w2": "b"}


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        self.platform.send_command(put="op/config", value=configuration(8, prepaid=10 ** 9))
        for name, zone in ZONES.items():
            self.platform.list_endpoint(name, zone=zone)

    def start_gateway(self, name="g1", **settings):
        out = Environment(platform=self.platform, name=name, **settings)
        self.addCleanup(out.close)
        return out

    def evacuate(self, zone, raw="{}"):
        self.platform.send_command(put="op/evacuate/" + zone, raw=raw)

    def send_requests(self, gateway, prefix):
        """Sends requests of each kind; returns the number that arrived at each endpoint."""
        self.platform.configure_workers(arrived=[])
        for path in PATHS:
            for n in range(REQUESTS // len(PATHS)):
                response = gateway.call(path, f"{prefix}{path}{n}",
                                        {"X-Prompt-Prefix": f"{n + 1:x}:600,bb:400"})
                self.assertEqual((200, True), (response.status, response.is_complete), prefix)
        return {k: len(it) for k, it in self.platform.send_command()["arrived"].items()}

    def open_stream(self, gateway, path, endpoint):
        """Opens streams until one is at the endpoint; returns its request and response."""
        for n in range(REQUESTS):
            response = gateway.open_call(path, f"find{n}", {"X-Prompt-Prefix": f"{n + 1:x}:600"})
            if f"find{n}" in [it["attempt"] for it in self.platform.send_command()["arrived"][endpoint]]:
                return f"find{n}", response
        return self.fail("no stream reached the endpoint")

    def wait_for_evacuation(self, gateway, zone, is_begin=True):
        change = "a zone is evacuated" if is_begin else "a zone is no longer evacuated"
        begin = time.monotonic()
        gateway.wait_for_log_line(lambda it: it.get("zone") == zone and change in it["change"])
        self.assertLess(time.monotonic() - begin, EVACUATION_S)
        gateway.log.truncate(0)

    # A zone that was evacuated got requests until its endpoints ended.
    def test_requests_stop_and_come_back(self):
        gateway = self.start_gateway()
        self.platform.configure_workers(hold_after=1)
        _, held = self.open_stream(gateway, "/chat/x", "w1")
        self.evacuate("a")
        self.wait_for_evacuation(gateway, "a")
        self.platform.configure_workers(hold_after=0)
        self.assertIn(b"id: 5", held.read())
        self.assertEqual({"w1": 0, "w2": REQUESTS}, self.send_requests(gateway, "e"))
        self.platform.send_command(remove="op/evacuate/a")
        self.wait_for_evacuation(gateway, "a", is_begin=False)
        self.assertGreater(self.send_requests(gateway, "b")["w1"], 0)

    # A retry goes to the endpoints that are left, also if there are none besides the one that failed.
    def test_retries_and_nothing_left(self):
        gateway = self.start_gateway()
        self.evacuate("a")
        self.wait_for_evacuation(gateway, "a")
        self.platform.configure_workers(arrived=[])
        self.platform.send_command(worker="w2", set={"mode": "full"})
        self.assertEqual(503, gateway.call("/read/x", "retry").status)
        self.platform.send_command(worker="w2", set={"mode": "good"})
        self.evacuate("b")
        self.wait_for_evacuation(gateway, "b")
        for path in PATHS:
            begin = time.monotonic()
            response = gateway.call(path, "none" + path)
            self.assertEqual(503, response.status)
            self.assertGreater(float(response.headers["Retry-After"]), 0)
            self.assertLess(time.monotonic() - begin, PROMPT_S)
        arrived = self.platform.send_command()["arrived"]
        self.assertEqual([], arrived["w1"])
        self.assertEqual({"retry"}, {it["attempt"] for it in arrived["w2"]})

    # A stream that began in the evacuated zone must not go on at another software version.
    def test_resume_of_a_version_of_the_evacuated_zone(self):
        self.platform.send_command(remove="servers/w1")
        self.platform.versions["w1"] = "v2"
        self.platform.list_endpoint("w1", zone="a", born=9)
        gateway = self.start_gateway()
        begun, stream = self.open_stream(gateway, "/resume/x", "w1")
        self.assertIn(b"id: 5", stream.read())
        self.evacuate("a")
        self.wait_for_evacuation(gateway, "a")
        self.platform.configure_workers(arrived=[])
        response = gateway.call("/resume/x", "resumed",
                                {"Resumes": begun, "Last-Event-Id": "2"})
        self.assertEqual(503, response.status)
        self.assertEqual({"w1": [], "w2": []}, self.platform.send_command()["arrived"])

    # An odd key or value of an operator ended the watch of the configuration, or all evacuations.
    def test_odd_keys(self):
        gateway = self.start_gateway()
        malformed = ("op/evacuate/", "op/evacuate/" + "z" * 201, "op/evacuate/" + "z" * 5000)
        ignored = ("op/evacuate", "op/other/a", "op/", "op/config2")
        for key in malformed + ignored:
            self.platform.send_command(put=key, raw="[" * 1000)
        for zone in ("nowhere", "a/b", "\x00\x7f", "z" * 200, "\u00fc"):
            self.evacuate(zone)
        self.evacuate("a", raw="")
        self.wait_for_evacuation_of_odd(gateway, malformed)
        self.assertEqual({"w1": 0, "w2": REQUESTS}, self.send_requests(gateway, "o"))
        for key in malformed + ignored:
            self.platform.send_command(remove=key)
        self.platform.send_command(put="op/config", value=configuration(9, keys=("k2",)))
        gateway.wait(lambda: gateway.call("/send/x", "odd").status == 401)
        # A process that starts reads all of them at once.
        for key in malformed + ignored:
            self.platform.send_command(put=key, raw="{}")
        self.platform.send_command(put="op/config", value=configuration(10, prepaid=10 ** 9))
        other = self.start_gateway("g2")
        self.wait_for_evacuation_of_odd(other, malformed)
        self.assertEqual({"w1": 0, "w2": REQUESTS}, self.send_requests(other, "s"))

    def wait_for_evacuation_of_odd(self, gateway, malformed):
        gateway.wait_for_log_line(lambda it: it.get("zone") == "a"
                                  and "a zone is evacuated" in it["change"])
        lines = [it for it in gateway.log_lines() if "malformed key" in it["change"]]
        self.assertEqual(sorted(it[:256] for it in malformed), sorted(it["key"] for it in lines))

    # A process that starts during an evacuation served one request before it knew of it.
    def test_start_during_an_evacuation(self):
        self.evacuate("a")
        gateway = self.start_gateway()
        self.assertEqual({"w1": 0, "w2": REQUESTS}, self.send_requests(gateway, "s"))

    # A watch whose connection falls silent looks like one without changes.
    def test_silent_watch(self):
        gateway = self.start_gateway()
        self.platform.send_command(silence_watches=True)
        self.evacuate("a")
        self.wait_for_evacuation(gateway, "a")

    # The store came back from a copy without the key, and the zone was used again at once.
    def test_store_that_has_lost_the_key(self):
        gateway = self.start_gateway()
        self.platform.send_command(save_copy=True)
        for zone in ("a", "nowhere"):
            self.evacuate(zone)
            self.wait_for_evacuation(gateway, zone)
        self.platform.send_command(go_back=True)
        begin = time.monotonic()
        for zone in ("a", "nowhere"):
            gateway.wait_for_log_line(lambda it, zone=zone: it.get("zone") == zone
                                      and "has lost the key" in it["change"])
        self.assertEqual({"w1": 0, "w2": REQUESTS}, self.send_requests(gateway, "l"))
        self.evacuate("a")  # the operator writes one of them again
        time.sleep(max(0, begin + GRACE_S - time.monotonic()))
        gateway.wait_for_log_line(lambda it: it.get("zone") == "nowhere"
                                  and "no longer evacuated" in it["change"])
        self.assertEqual({"w1": 0, "w2": REQUESTS}, self.send_requests(gateway, "k"))


if __name__ == "__main__":
    unittest.main()
