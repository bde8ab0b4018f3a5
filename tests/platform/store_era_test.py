#!/usr/bin/env python3
"""A key-value store that comes back from a copy that is some seconds old."""
import signal
import time
import unittest

from gateway_environment import Environment, Platform, configuration

# More changes than any test makes, so that a revision is passed that was given out before.
FILL = 200
ORGANISATION_TOKENS = 40_000


class StoreEraTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.addCleanup(self.platform.close)

    def start_gateway(self, name="g1"):
        out = Environment(platform=self.platform, name=name)
        self.addCleanup(out.close)
        return out

    def go_back_while_paused(self, gateway, **changes):
        """The store goes back and passes the last revision again before the gateway runs on."""
        gateway.gateway.send_signal(signal.SIGSTOP)
        self.platform.send_command(go_back=True, **changes)
        self.platform.send_command(fill=FILL)
        gateway.gateway.send_signal(signal.SIGCONT)

    def test_version_that_was_written_under_an_old_revision_is_in_force(self):
        gateway = self.start_gateway()
        self.platform.send_command(save_copy=True)
        self.platform.send_command(fill=FILL // 2)
        self.assertEqual(200, gateway.call("/send/x", "before").status)
        time.sleep(2.5)  # the watches move on to the revisions that will be lost
        self.go_back_while_paused(gateway, put="op/config", value=configuration(8, keys=("k2",)))
        gateway.wait(lambda: gateway.call("/send/x", "after").status == 401)

    def test_older_version_of_the_copy_is_not_put_in_force(self):
        gateway = self.start_gateway()
        self.platform.send_command(save_copy=True)
        self.platform.send_command(put="op/config", value=configuration(8, keys=("k2",)))
        gateway.wait(lambda: gateway.call("/send/x", "new").status == 401)
        self.platform.send_command(go_back=True)
        end = time.monotonic() + 4
        while time.monotonic() < end:
            self.assertEqual(401, gateway.call("/send/x", "old").status)
            time.sleep(0.1)

    def test_endpoint_that_leaves_is_not_used_again(self):
        gateway = self.start_gateway()
        self.platform.list_endpoint("w1", sequence=7)
        self.platform.send_command(save_copy=True)
        self.platform.list_endpoint("w1", state="draining", sequence=9)
        gateway.wait_for_log_line(lambda it: it.get("endpoint") == "w1"
                                  and it.get("leaving") == "yes")
        self.check_not_used_after_going_back(gateway, "w1")

    def test_endpoint_that_has_gone_is_not_used_again(self):
        gateway = self.start_gateway()
        self.platform.list_endpoint("w1", sequence=7)
        self.platform.send_command(save_copy=True)
        self.platform.list_endpoint("w1", sequence=8)
        self.platform.send_command(remove="servers/w1")
        gateway.wait_for_log_line(lambda it: it.get("endpoint") == "w1"
                                  and "deleted" in it["change"])
        self.check_not_used_after_going_back(gateway, "w1")

    def check_not_used_after_going_back(self, gateway, endpoint):
        self.platform.configure_workers(executed=[])
        self.platform.send_command(go_back=True)
        for n in range(40):
            self.assertEqual(200, gateway.call("/send/x", f"back{n}").status)
            time.sleep(0.1)
        self.assertEqual([], self.platform.send_command()["executed"][endpoint])

    def test_endpoint_that_registered_since_the_copy_is_kept(self):
        gateway = self.start_gateway()
        for name in ("w1", "w2"):
            self.platform.send_command(remove="servers/" + name)
        gateway.wait_for_log_line(lambda it: it.get("endpoint") == "w2"
                                  and "deleted" in it["change"])
        self.platform.send_command(save_copy=True)
        self.platform.list_endpoint("w1", sequence=3)
        gateway.wait(lambda: gateway.call("/send/x", "listed").status == 200)
        self.platform.send_command(go_back=True)
        for n in range(10):
            self.assertEqual(200, gateway.call("/send/x", f"kept{n}").status)
            time.sleep(0.1)

    def test_software_version_is_recorded_again(self):
        gateway = self.start_gateway()
        key = "/gentianloom/software-versions"
        gateway.wait(lambda: key in self.platform.send_command()["items"])
        self.platform.send_command(save_copy=True)
        self.platform.versions["w2"] = "v2"
        self.platform.list_endpoint("w2")
        gateway.wait(lambda: "v2" in self.platform.send_command()["items"][key])
        self.platform.send_command(go_back=True)
        self.assertNotIn("v2", self.platform.send_command()["items"][key])
        gateway.wait(lambda: "v2" in self.platform.send_command()["items"][key])

    def test_instance_is_registered_again(self):
        for number, accepts_any_lease in enumerate((False, True)):
            with self.subTest(accepts_any_lease=accepts_any_lease):
                self.platform.send_command(save_copy=True)
                gateway = self.start_gateway(f"r{number}")
                key = f"/gentianloom/instances/r{number}"
                gateway.wait(lambda key=key: key in self.platform.send_command()["items"])
                self.platform.send_command(go_back=True, accepts_any_lease=accepts_any_lease)
                self.assertNotIn(key, self.platform.send_command()["items"])
                gateway.wait(lambda key=key: key in self.platform.send_command()["items"])

    def test_prepaid_tokens_are_not_exceeded(self):
        self.platform.send_command(put="op/config",
                                   value=configuration(8, prepaid=ORGANISATION_TOKENS))
        first, second = self.start_gateway("g1"), self.start_gateway("g2")
        self.spend(first, "a", 3)
        self.platform.send_command(save_copy=True)
        self.spend(first, "b", 18)
        self.spend(second, "c", 3)
        self.platform.send_command(go_back=True)
        end = time.monotonic() + 9
        number = 0
        while time.monotonic() < end:
            number += 1
            self.spend(second, f"d{number}", 1)
            self.spend(first, f"e{number}", 1)
        used = sum(1000 + 25 for it in self.platform.executed_requests())
        self.assertLessEqual(used, ORGANISATION_TOKENS)
        self.assertGreater(used, ORGANISATION_TOKENS * 0.6)

    def test_prepaid_tokens_are_not_exceeded_after_a_kill(self):
        self.platform.send_command(put="op/config",
                                   value=configuration(8, prepaid=ORGANISATION_TOKENS))
        first, second = self.start_gateway("g1"), self.start_gateway("g2")
        self.spend(first, "a", 3)
        self.platform.send_command(save_copy=True)
        self.spend(first, "b", 18)
        time.sleep(2.5)  # the other gateway learns of what was drawn
        first.kill()
        self.platform.send_command(go_back=True)
        first.start()
        end = time.monotonic() + 9
        number = 0
        while time.monotonic() < end:
            number += 1
            self.spend(second, f"d{number}", 1)
            self.spend(first, f"e{number}", 1)
        used = sum(1000 + 25 for it in self.platform.executed_requests())
        self.assertLessEqual(used, ORGANISATION_TOKENS)

    @staticmethod
    def spend(gateway, name, count):
        for n in range(count):
            gateway.call("/chat/x", f"{name}-{n}", {"X-Token-Usage": "1000,50",
                                                    "X-Prompt-Prefix": f"{n:x}:1000"})


if __name__ == "__main__":
    unittest.main()
