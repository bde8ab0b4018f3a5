#!/usr/bin/env python3
"""Gateways that reach no endpoint while callers, the store and the other gateways still reach them.

The bounds are those of the rule: from contact-ms (3 s) after the cut, callers' first tries at the gateways
that are cut off are served at least two thirds as often as those at the others.
"""
import concurrent.futures
import http.client
import itertools
import threading
import time
import unittest

from endpoint_links import HANG, REFUSE_NEW, RESET, Links
from gateway_environment import ROUTES, Environment, Platform, Response, configuration

ENDPOINTS = ["w1", "w2", "w3"]
CONTACT_S = 3
CUT_S = 5
MIN_SHARE = 2 / 3  # of the share that is served at the other gateways
MIN_OTHERS = 0.9
SENDERS, INTERVAL_S = 8, 0.1  # of each gateway
PATHS = ["/send/x", "/read/x", "/chat/x", "/resume/x"]
PREPAID = 10 ** 9
USAGE, MAX_TOKENS = "1000,50", 1050
NEVER_RUN = (408, 421, 429, 503)
PROMPT_S = 0.5
GONE_S = 0.5
HANDED_OVER_S = 2  # silence that calls for a check, the check, and the run at another instance
RESTORED_S = 2  # after the cut, until requests go over the gateway's own connections again


class Fleet:
    """Gateways with links of their own to the endpoints, and callers of each."""

    def __init__(self, gateways, prepaid=PREPAID, senders=SENDERS):
        self.platform = Platform({it: "v1" for it in ENDPOINTS})
        self.platform.send_command(put="op/config", value=configuration(8, prepaid=prepaid))
        self.platform.configure_workers(run_s=0.01, events=3, event_s=0.03)
        self.links = [Links(self.platform) for _ in range(gateways)]
        # An availability zone each, so that none relays its view of the store to another.
        self.gateways = [Environment(platform=self.platform, name=f"g{n}", availability_zone=f"z{n}",
                                     store_address=it.store) for n, it in enumerate(self.links)]
        for it in self.gateways:
            it.wait_for_log_line(lambda line: line.get("version") == "8")
        self.numbers = itertools.count()
        self.stop = threading.Event()
        self.calls = []  # gateway, begin, attempt, status, duration
        self.pool = concurrent.futures.ThreadPoolExecutor(SENDERS * gateways)
        self.senders = [self.pool.submit(self.send_all, n % gateways)
                        for n in range(senders * gateways)]

    def send_all(self, gateway):
        while not self.stop.wait(INTERVAL_S):
            n = next(self.numbers)
            self.call(gateway, PATHS[n % len(PATHS)], f"r{n}", {"X-Prompt-Prefix": f"cc:30,{n + 1:x}:30,bb:40"})

    def call(self, gateway, path, attempt, headers=None):
        begin = time.monotonic()
        try:
            response = self.gateways[gateway].call(path, attempt, headers)
            status = response.status if response.is_complete else 0
            retry_after = response.headers.get("Retry-After")
        except OSError:
            status, retry_after = 0, None
        self.calls.append((gateway, begin, attempt, status, time.monotonic() - begin))
        return status, time.monotonic() - begin, retry_after

    def statuses(self, gateways, begin, end):
        return [it[3] for it in self.calls if it[0] in gateways and begin <= it[1] < end]

    def served(self, gateways, begin, end):
        statuses = self.statuses(gateways, begin, end)
        return sum(it == 200 for it in statuses) / max(1, len(statuses))

    def stop_senders(self):
        self.stop.set()
        for it in self.senders:
            it.result()

    def close(self):
        self.stop_senders()
        for it in self.gateways + self.links:
            it.close()
        self.platform.close()


class InstanceWithoutEndpointsTest(unittest.TestCase):
    def start(self, gateways, **options):
        out = Fleet(gateways, **options)
        self.addCleanup(out.close)
        time.sleep(1)
        return out

    def cut(self, fleet, gateways, how, seconds=CUT_S):
        """Returns the time from which on the rule counts, and the end of the cut."""
        at = time.monotonic()
        for it in gateways:
            fleet.links[it].cut(how)
        time.sleep(seconds)
        return at + CONTACT_S, at + seconds

    def check_served(self, fleet, cut, begin, end):
        others = [n for n in range(len(fleet.gateways)) if n not in cut]
        # Streams that break off at the cut must not block what they share with others.
        self.assertGreaterEqual(fleet.served(others, begin, end), MIN_OTHERS)
        share = fleet.served(cut, begin, end)
        self.assertGreaterEqual(share, MIN_SHARE * fleet.served(others, begin, end),
                                fleet.statuses(cut, begin, end))

    def check_runs(self, fleet):
        """No request that must not repeat ran twice, and none ran that its caller was told did not."""
        runs = {}
        for it in fleet.platform.executed_requests():
            attempt = it["headers"]["X-Attempt-Id"]
            runs.setdefault(attempt, []).append(it["path"])
        for _, _, attempt, status, _ in fleet.calls:
            paths = runs.get(attempt, [])
            if "/send/x" in paths or "/chat/x" in paths:
                self.assertEqual(1, len(paths), attempt)
                self.assertNotIn(status, NEVER_RUN, attempt)

    # Each request tried three endpoints, one time limit after the other, and was refused then.
    def test_callers_are_served_at_an_instance_that_is_cut_off(self):
        for how in (HANG, RESET, REFUSE_NEW):
            with self.subTest(how):
                fleet = self.start(3)
                begin, end = self.cut(fleet, [0], how)
                fleet.links[0].restore()
                time.sleep(RESTORED_S)
                forwarded = fleet.links[0].forwarded()
                time.sleep(1)
                self.assertGreater(fleet.links[0].forwarded(), forwarded)
                fleet.stop_senders()
                self.check_served(fleet, [0], begin, end)
                self.check_runs(fleet)
                self.assertEqual(1, fleet.served([0], end + RESTORED_S, time.monotonic()))

    # An instance that asked another one that is cut off as well found no third.
    def test_most_instances_are_cut_off(self):
        fleet = self.start(4)
        begin, end = self.cut(fleet, [0, 1, 2], HANG)
        fleet.stop_senders()
        self.check_served(fleet, [0, 1, 2], begin, end)
        self.check_runs(fleet)

    # Two instances that both reserve and charge a request would use its tokens up twice.
    def test_requests_are_charged_once(self):
        fleet = self.start(3, prepaid=10 * MAX_TOKENS, senders=0)
        fleet.platform.configure_workers(event_s=0)
        self.cut(fleet, [0], RESET, 0)
        statuses = [fleet.call(0, "/chat/x", f"charged{n}", {"X-Token-Usage": USAGE})[0]
                    for n in range(20)]
        self.assertEqual({200, 402}, set(statuses))
        served = statuses.count(200)
        self.assertEqual(served, len(fleet.platform.executed_requests()))
        # The stand-in delivers 3 of the 50 events that a request allows.
        self.assertTrue(9 <= served <= 11, statuses)

    def start_cut_off(self, gateways=2, **workers):
        """A fleet without callers whose first gateway knows that it reaches no endpoint."""
        fleet = self.start(gateways, senders=0)
        fleet.platform.configure_workers(**workers)
        fleet.links[0].cut(RESET)
        fleet.call(0, "/read/x", "begin")
        fleet.gateways[0].wait_for_log_line(lambda it: it["change"].startswith("no endpoint of a"))
        return fleet

    # An endpoint that got more time than is left would work for nobody, and an id has to lead to its cause.
    def test_deadline_and_log_lines_of_both_instances(self):
        fleet = self.start_cut_off()
        self.assertEqual(200, fleet.call(0, "/send/x", "timed", {"X-Deadline-Ms": "700"})[0])
        ran, = [it for it in fleet.platform.executed_requests()
                if it["headers"]["X-Attempt-Id"] == "timed"]
        self.assertLessEqual(int(ran["headers"]["X-Deadline-Ms"]), 700)
        self.assertNotIn("X-Credential", ran["headers"])
        lines = [[it for it in gateway.log_lines() if it.get("request") == "timed"
                  and it["change"] == "request ended"] for gateway in fleet.gateways]
        self.assertEqual([1, 1], [len(it) for it in lines])
        self.assertEqual(f"127.0.0.1:{fleet.gateways[1].peer}", lines[0][0]["forwarded_to"])
        self.assertEqual("instance", lines[1][0]["source"])

    # Work went on for callers that had left, since a second instance did not see it.
    def test_caller_that_leaves_ends_the_work(self):
        head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n" \
               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        fleet = self.start_cut_off()
        fleet.platform.configure_workers(mode="raw", raw=head, raw_end="endless",
                                         raw_repeat="d\r\ndata: token\n\n\r\n")
        response = fleet.gateways[0].open_call("/resume/x", "left", {"X-Token-Usage": "1000,1000000"})
        response.read1()
        response.close()
        at = time.monotonic()
        fleet.gateways[0].wait(lambda: sum(
            closed for _, closed in fleet.platform.send_command()["endless"].values()) > 0)
        self.assertLess(time.monotonic() - at, GONE_S)

    # A request that may have run at an instance that ended must not run again, nor be called "not run".
    def test_instance_that_serves_is_killed(self):
        fleet = self.start_cut_off(3, run_s=0.5)
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            calls = [pool.submit(fleet.call, 0, "/send/x", f"killed{n}") for n in range(16)]
            fleet.gateways[0].wait(lambda: len(fleet.platform.executed_requests()) >= 8)
            fleet.gateways[1].kill()
            statuses = [it.result()[0] for it in calls]
        self.assertIn(502, statuses)
        self.assertIn(200, statuses)
        self.check_runs(fleet)

    # A planned stop of the instance that serves cut requests of others that it had accepted.
    def test_instance_that_serves_is_stopped(self):
        fleet = self.start_cut_off(2, run_s=0.5)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            calls = [pool.submit(fleet.call, 0, "/send/x", f"stopped{n}") for n in range(8)]
            fleet.gateways[0].wait(lambda: len(fleet.platform.executed_requests()) >= 8)
            fleet.gateways[1].gateway.terminate()
            self.assertEqual({200}, {it.result()[0] for it in calls})

    # Requests on kept connections that fell silent waited for their deadline.
    def test_requests_that_hang_at_the_cut(self):
        fleet = self.start(2, senders=0)
        fleet.platform.configure_workers(run_s=0.3, event_s=0)
        patient = [it | {"timeout-ms": 4000} for it in ROUTES]
        fleet.platform.send_command(put="op/config", value=configuration(9, PREPAID, routes=patient))
        for it in fleet.gateways:
            it.wait_for_log_line(lambda line: line.get("version") == "9")
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for path in ("/read/x", "/resume/x"):
                with self.subTest(path):
                    for it in [pool.submit(fleet.call, 0, path, f"kept{path}{n}") for n in range(8)]:
                        it.result()
                    calls = [pool.submit(fleet.call, 0, path, f"hung{path}{n}") for n in range(8)]
                    time.sleep(0.1)
                    fleet.links[0].cut(HANG)
                    results = [it.result() for it in calls]
                    fleet.links[0].restore()
                    self.assertEqual({200}, {status for status, _, _ in results})
                    self.assertLess(max(duration for _, duration, _ in results), HANDED_OVER_S)
                    time.sleep(RESTORED_S)

    # Any host could have requests served without the bounds that hold for callers.
    def test_requests_of_hosts_that_are_no_instances(self):
        fleet = self.start(1, senders=0)
        connection = http.client.HTTPConnection("127.0.0.1", fleet.gateways[0].peer, timeout=5,
                                                source_address=("127.0.0.2", 0))
        self.addCleanup(connection.close)
        response = Response(fleet.gateways[0].open_call("/send/x", "stranger", connection=connection))
        self.assertEqual(503, response.status)
        self.assertEqual([], fleet.platform.executed_requests())

    # Callers waited 1.8 s for a refusal that was certain.
    def test_callers_are_told_at_once_if_all_instances_are_cut_off(self):
        fleet = self.start(3)
        begin, _ = self.cut(fleet, [0, 1, 2], HANG)
        refused = [it for it in fleet.calls if it[1] >= begin and it[3] == 503]
        late = [it for it in refused if it[4] > PROMPT_S]
        for it in fleet.links:
            it.restore()
        time.sleep(RESTORED_S)
        begin = time.monotonic()
        time.sleep(1)
        fleet.stop_senders()
        self.assertGreater(len(refused), 0)
        # One request in a while may find out whether the cut has ended.
        self.assertLessEqual(len(late), len(refused) / 10)
        self.assertEqual(1, fleet.served([0, 1, 2], begin, time.monotonic()))
        self.check_runs(fleet)


if __name__ == "__main__":
    unittest.main()
