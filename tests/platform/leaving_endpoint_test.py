#!/usr/bin/env python3
"""Endpoints that state in their responses that they are leaving, while their entries say nothing."""
import concurrent.futures
import time
import unittest

from gateway_environment import Environment, configuration

LEAVING, STAYING = "w1", "w2"
REQUESTS = 24  # enough for both endpoints to be chosen
PROMPT_S = 0.5


class LeavingEndpointTest(unittest.TestCase):
    def setUp(self):
        self.env = Environment()
        self.addCleanup(self.env.close)
        self.env.send_command(put="op/config", value=configuration(8, prepaid=10 ** 9))
        self.env.wait_for_log_line(lambda it: it.get("previous_version") == "7")

    def arrived(self, name=LEAVING):
        return [it["attempt"] for it in self.env.send_command()["arrived"][name]]

    def learn(self, path, prefix):
        """Sends requests until the leaving endpoint has responded to one."""
        self.env.send_command(worker=LEAVING, set={"is_leaving": True, "arrived": []})
        for n in range(100):
            self.env.call(path, f"{prefix}-learn{n}", self.prompt(n))
            if self.arrived():
                return
        self.fail("no request reached the endpoint")

    @staticmethod
    def prompt(n):
        return {"X-Prompt-Prefix": f"{n + 1:x}:600,bb:400"}

    def prompt_placed_at_leaving_endpoint(self):
        for n in range(100):
            self.env.call("/chat/x", f"find{n}", self.prompt(n))
            if f"find{n}" in self.arrived():
                return self.prompt(n)
        return self.fail("no request reached the endpoint")

    def count_later(self, prefix, path="/send/x"):
        """Returns how many of several requests reached the leaving endpoint; all must be served."""
        before = len(self.arrived())
        for n in range(REQUESTS):
            response = self.env.call(path, f"{prefix}{n}", self.prompt(n))
            self.assertEqual((200, True), (response.status, response.is_complete))
        return len(self.arrived()) - before

    # An endpoint that leaves got requests until its entry said so, some of them past the bound.
    def test_no_requests_after_a_response_that_states_it(self):
        rows = [("/send/x", {}), ("/read/x", {}), ("/chat/x", {}), ("/resume/x", {}),
                ("/send/x", {"mode": "full"}), ("/chat/x", {"mode": "full"})]
        for n, (path, settings) in enumerate(rows):
            with self.subTest(path=path, settings=settings):
                self.env.send_command(worker=LEAVING, set={"mode": "good", "is_leaving": False})
                self.env.platform.list_endpoint(LEAVING, born=n + 1)
                self.env.wait_for_log_line(lambda it: it.get("started_at") == str(n + 1))
                self.env.send_command(worker=LEAVING, set=settings)
                self.learn(path, f"r{n}")
                for later in ("/send/x", "/read/x", "/chat/x"):
                    self.assertEqual(0, self.count_later(f"r{n}{later}", later))

    # What an instance has learned itself binds it also while the key-value service is away.
    def test_no_requests_while_the_store_is_away(self):
        self.env.send_command(store_mode="busy")
        self.learn("/send/x", "s")
        self.assertEqual(0, self.count_later("s"))

    # The statement stands in the head: the end of a long stream would be too late.
    def test_statement_counts_at_the_head_of_a_stream(self):
        prompt = self.prompt_placed_at_leaving_endpoint()
        self.env.send_command(worker=LEAVING, set={"is_leaving": True, "hold_after": 1})
        response = self.env.open_call("/chat/x", "long", prompt)
        self.assertEqual(200, response.status)
        self.assertIn("long", self.arrived())
        self.assertEqual(0, self.count_later("h"))
        self.env.send_command(worker=LEAVING, set={"hold_after": 0})
        self.assertIn(b"id: 5", response.read())

    # An entry that its endpoint writes as before, or that expires and comes back, unsays nothing.
    def test_entry_written_again_does_not_take_it_back(self):
        self.env.platform.list_endpoint(LEAVING, born=7)
        self.env.wait_for_log_line(lambda it: it.get("started_at") == "7")
        self.learn("/send/x", "e")
        self.env.platform.list_endpoint(LEAVING, born=7, sequence=9)
        self.assertEqual(0, self.count_later("e1"))
        self.env.send_command(remove="servers/" + LEAVING)
        self.env.wait_for_log_line(lambda it: it["change"] == "the entry of an endpoint was deleted")
        self.env.platform.list_endpoint(LEAVING, born=7, sequence=10)
        time.sleep(0.3)
        self.assertEqual(0, self.count_later("e2"))

    # A later process at the same address has said nothing yet.
    def test_later_process_gets_requests(self):
        self.learn("/send/x", "p")
        self.env.send_command(worker=LEAVING, set={"is_leaving": False})
        self.env.platform.list_endpoint(LEAVING, born=8)
        self.env.wait_for_log_line(lambda it: it.get("started_at") == "8")
        self.assertGreater(self.count_later("p"), 0)

    # A late response to another request may come from an endpoint that has used the address before.
    def test_statement_of_a_foreign_response_does_not_count(self):
        self.env.send_command(worker=STAYING, set={"mode": "full"})
        self.env.send_command(worker=LEAVING, set={"is_leaving": True, "mode": "other-attempt"})
        self.assertEqual(502, self.env.call("/send/x", "foreign").status)
        self.env.send_command(worker=LEAVING, set={"is_leaving": False, "mode": "good"})
        self.env.send_command(worker=STAYING, set={"mode": "good"})
        self.assertGreater(self.count_later("f"), 0)

    # A request that no endpoint may get would wait for its deadline.
    def test_all_endpoints_leave(self):
        self.env.configure_workers(is_leaving=True)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda n: self.env.call("/send/x", f"a{n}").status, range(REQUESTS)))
        before = len(self.arrived()) + len(self.arrived(STAYING))
        begin = time.monotonic()
        response = self.env.call("/send/x", "last")
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertLess(time.monotonic() - begin, PROMPT_S)
        self.assertEqual(before, len(self.arrived()) + len(self.arrived(STAYING)))


if __name__ == "__main__":
    unittest.main()
