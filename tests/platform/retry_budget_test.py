#!/usr/bin/env python3
"""The limit on retries at each service, in a gateway process."""
import unittest

from gateway_environment import ROUTES, Environment, Platform, configuration

SHARE = 0.2
SLACK = 3
READS = 20
SENDS_PER_READ = 9


class RetryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform({f"w{n}": "v1" for n in range(1, 5)})
        self.addCleanup(self.platform.close)
        routes = [dict(it, service="reads") if it["name"] == "read" else it for it in ROUTES]
        changed = configuration(8, routes=routes)
        changed["services"].append({"name": "reads", "max-connections": 100})
        self.platform.send_command(put="op/config", value=changed)
        for name in ("w3", "w4"):
            self.platform.list_endpoint(name, service="reads")
            self.platform.send_command(worker=name, set={"mode": "reset"})
        self.env = Environment(start_gateway=False, platform=self.platform)
        self.addCleanup(self.env.close)
        self.env.write_settings(retry_share=SHARE, retry_slack=SLACK)
        self.env.start()

    def test_requests_for_one_service_do_not_pay_for_retries_at_another(self):
        for n in range(READS):
            for k in range(SENDS_PER_READ):
                self.assertEqual(200, self.env.call("/send/x", f"s{n}-{k}").status)
            self.env.call("/read/x", f"r{n}", method="GET", body=None)
        executed = self.env.send_command()["executed"]
        repeats = len(executed["w3"]) + len(executed["w4"]) - READS
        self.assertGreaterEqual(repeats, 1)
        self.assertLessEqual(repeats, SHARE * READS + SLACK)


if __name__ == "__main__":
    unittest.main(verbosity=2)
