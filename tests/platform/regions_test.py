#!/usr/bin/env python3
"""Routes and organisations whose requests stay in regions, and addresses by region."""
import json
import time
import unittest

from endpoint_links import RESET, Links
from gateway_environment import ROUTES, Environment, Platform, configuration

REGIONS = {"n1": "north", "n2": "north", "s1": "south"}
ZONES = {"w1": "n1", "w2": "s1", "w3": "unknown"}
REQUESTS = 12  # of each path; enough for all endpoints to be chosen
PATHS = ("/send/x", "/read/x", "/chat/x", "/resume/x")
PROMPT_S = 0.5


def restricted(version, routes=None, organisations=None):
    """A configuration; `routes` gives the regions by name, `organisations` those by API key."""
    out = configuration(version, prepaid=10 ** 9)
    out["routes"] = [it | {"allowed-regions": (routes or {}).get(it["name"])} for it in ROUTES]
    out["tenants"] = [{"name": "org-" + key, "api-keys": [key], "prepaid": 10 ** 9, "allowed-regions": it}
                      for key, it in (organisations or {"k1": []}).items()]
    return out


class RegionsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform({it: "v1" for it in ZONES})
        self.addCleanup(self.platform.close)
        for name, zone in ZONES.items():
            self.platform.list_endpoint(name, zone=zone)
        self.version = 7

    def configure(self, *arguments, **named):
        self.version += 1
        self.platform.send_command(put="op/config", value=restricted(self.version, *arguments, **named))

    def start_gateway(self, name="g1", zone="n1", **settings):
        out = Environment(platform=self.platform, name=name, availability_zone=zone,
                          **{"zones": REGIONS, **settings})
        self.addCleanup(out.close)
        return out

    def wait_for_version(self, gateway):
        gateway.wait_for_log_line(lambda it: it.get("version") == str(self.version)
                                  and it["change"] == "activated a new version")

    def endpoints_of(self, gateway, path, key):
        """Sends requests; returns the endpoints that got them, or nothing if all were refused."""
        self.platform.configure_workers(arrived=[])
        statuses = set()
        for n in range(REQUESTS):
            begin = time.monotonic()
            response = gateway.call(path, f"{self.version}{path}{key}{n}", {
                "X-Credential": key, "X-Prompt-Prefix": f"{n + 1:x}:600,bb:400"})
            statuses.add(response.status)
            if response.status == 503:
                self.assertGreater(float(response.headers["Retry-After"]), 0)
                self.assertLess(time.monotonic() - begin, PROMPT_S)
        arrived = {k for k, it in self.platform.send_command()["arrived"].items() if it}
        self.assertEqual({200} if arrived else {503}, statuses)
        return arrived

    # Requests whose data must stay in a region went to endpoints of all regions.
    def test_endpoints(self):
        gateway = self.start_gateway()
        north, south = ["north"], ["south"]
        self.configure({"send": north, "chat": south, "read": ["west"]},
                       {"k1": None, "k2": south, "k3": ["north", 4], "k4": "south"})
        self.wait_for_version(gateway)
        rows = [("/send/x", "k1", {"w1"}), ("/chat/x", "k1", {"w2"}), ("/read/x", "k1", set()),
                ("/send/x", "k2", set()),
                ("/resume/x", "k2", {"w2"}), ("/resume/x", "k3", {"w1"}), ("/chat/x", "k4", set())]
        for path, key, expected in rows:
            with self.subTest(path=path, key=key):
                self.assertEqual(expected, self.endpoints_of(gateway, path, key))
        problems = [it for it in gateway.log_lines()
                    if it["change"] == "a part of the configuration is malformed"]
        self.assertEqual(["org-k3", "org-k4"], [it["error"].split()[1][:-1] for it in problems])

    # A gateway that reaches no endpoint passed the bodies of requests to instances of all regions.
    def test_bodies_at_other_instances(self):
        links = Links(self.platform)
        self.addCleanup(links.close)
        cut = self.start_gateway("cut", "n1", store_address=links.store)
        others = {zone: self.start_gateway(zone, zone) for zone in ("n2", "s1")}
        self.configure({"send": ["north"], "chat": ["west"]})
        for it in (cut, *others.values()):
            self.wait_for_version(it)
        cut.wait(lambda: len(json.loads(cut.get(cut.directory, "/resolve").body)["addresses"]) == 3)
        links.cut(RESET)
        cut.wait(lambda: cut.call("/read/x", "read").status == 200)
        for n in range(REQUESTS):
            self.assertEqual(200, cut.call("/send/x", f"send{n}").status)
            self.assertEqual(503, cut.call("/chat/x", f"chat{n}").status)
            cut.call("/read/x", f"read{n}")

        def received(zone):
            return {it["request"].rstrip("0123456789") for it in others[zone].log_lines()
                    if it["change"] == "request ended" and it.get("source") == "instance"}

        self.assertLessEqual({"send"}, received("n2"))
        self.assertEqual({"read"}, received("s1"))

    # An evacuation of the only allowed region must not send requests to another one.
    def test_evacuated_region(self):
        gateway = self.start_gateway()
        self.configure({it["name"]: ["north"] for it in ROUTES})
        self.wait_for_version(gateway)
        self.platform.send_command(put="op/evacuate/n1", raw="{}")
        gateway.wait_for_log_line(lambda it: "a zone is evacuated" in it["change"])
        for path in PATHS:
            self.assertEqual(set(), self.endpoints_of(gateway, path, "k1"))

    # One odd zone of the settings must not keep a process from starting.
    def test_odd_zones(self):
        gateway = self.start_gateway(zones=REGIONS | {"n1": 4, "n9": None})
        self.configure({"send": ["north"]})
        self.wait_for_version(gateway)
        self.assertEqual(set(), self.endpoints_of(gateway, "/send/x", "k1"))
        skipped = [it for it in gateway.log_lines() if "malformed and is skipped" in it["change"]]
        self.assertEqual(2, len(skipped))

    # Without a table, as in a deployment of one region, everything is as before.
    def test_no_regions(self):
        gateway = self.start_gateway(zones={})
        self.configure()
        self.wait_for_version(gateway)
        for path in PATHS:
            self.assertNotEqual(set(), self.endpoints_of(gateway, path, "k1"), path)
        self.platform.send_command(remove="servers/w1")
        self.platform.send_command(remove="servers/w2")
        gateway.wait(lambda: self.endpoints_of(gateway, "/send/x", "k1") == {"w3"})

    # Callers were given instances that may not read the bodies of their requests.
    def test_addresses(self):
        gateways = {zone: self.start_gateway(zone, zone) for zone in ("n1", "n2", "s1", "w1")}
        names = {f"127.0.0.1:{it.caller}": zone for zone, it in gateways.items()}

        def addresses(query):
            """The zones of the instances that all instances answer with."""
            out = {"".join(sorted(names[address] for address in json.loads(
                it.get(it.directory, "/resolve?" + query).body)["addresses"]))
                   for it in gateways.values()}
            self.assertEqual(1, len(out), (query, out))
            return out.pop()

        for it in gateways.values():
            it.wait(lambda it=it: len(json.loads(
                it.get(it.directory, "/resolve?name=q").body)["addresses"]) == len(gateways))
        self.assertEqual("n1n2", addresses("name=h.example&region=north&zone=n1"))
        self.assertEqual("s1", addresses("name=h.example&region=south&zone=s1"))
        self.assertEqual("n1n2s1w1", addresses("name=h.example&region=east&zone=e1"))
        self.configure({it["name"]: ["south"] for it in ROUTES})
        for it in gateways.values():
            self.wait_for_version(it)
        self.assertEqual("n1n2", addresses("name=h.example&region=north&zone=n1"))
        self.assertEqual("s1", addresses("name=H.EXAMPLE:80&region=east&zone=e1"))
        self.assertEqual("s1", addresses("name=h.example"))
        self.assertEqual("n1n2s1w1", addresses("name=other&region=east&zone=e1"))


if __name__ == "__main__":
    unittest.main()
