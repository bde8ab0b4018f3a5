"""What tests of entries of other writers in the store share: gateways that serve and follow the list."""
import time
import unittest

from gateway_environment import Environment, Platform
from standin_store import PAGE_ITEMS

UNREADABLE = "?"
REQUESTS = 12
FOLLOW_S = 3


class StoreEntriesTest(unittest.TestCase):
    """Gateways among entries of other writers; it has no tests itself."""

    def start_platform(self):
        """Two endpoints are listed; a test may list the third one."""
        out = Platform({"w1": "v1", "w2": "v1", "w3": "v1"})
        self.addCleanup(out.close)
        out.send_command(remove="servers/w3")
        return out

    def start(self, platform, name="g1"):
        out = Environment(platform=platform, name=name, start_gateway=False)
        self.addCleanup(out.close)
        out.start()
        return out

    def check_serves(self, gateway):
        routes = ("send", "read", "chat")
        statuses = [gateway.call(f"/{routes[n % len(routes)]}/x", f"{gateway.name}-{time.monotonic()}").status
                    for n in range(REQUESTS)]
        self.assertEqual([200] * REQUESTS, statuses)
        self.assertEqual([], gateway.send_command()["invalid_targets"])

    def check_start(self, keys, page=PAGE_ITEMS):
        """A gateway that starts among unreadable entries serves."""
        platform = self.start_platform()
        platform.send_command(put=keys, raw=UNREADABLE, page=page)
        try:
            gateway = self.start(platform)
            gateway.wait(lambda: gateway.call("/chat/x", f"first-{time.monotonic()}").status == 200)
            self.check_serves(gateway)
        finally:
            self.doCleanups()

    def check_follows(self, gateways):
        """All gateways learn in time that an endpoint leaves the list, and that it is back."""
        platform = gateways[0].platform
        for it in gateways:
            it.log.truncate(0)
        for change, make in (("the entry of an endpoint was deleted",
                              lambda: platform.send_command(remove="servers/w1")),
                             ("the entry of an endpoint changed", lambda: platform.list_endpoint("w1"))):
            make()
            before = time.monotonic()
            for it in gateways:
                it.wait_for_log_line(lambda line: line.get("endpoint") == "w1" and line["change"] == change)
            self.assertLess(time.monotonic() - before, FOLLOW_S)
