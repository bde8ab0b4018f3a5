#!/usr/bin/env python3
"""Streams that are interrupted while endpoints of two software versions serve.

What two software versions of an endpoint write does not fit together: a stream may go on only at an
endpoint of the version that began it, at whatever gateway its caller comes back, or not at all.
"""
import copy
import json
import time
import unittest

from endpoint_links import HANG, Link
from gateway_environment import Environment, Platform, configuration

VERSIONS = {"w1": "v1", "w2": "v2", "w3": "v1", "w4": "v2"}
VERSION_KEY = "/gentianloom/software-versions"
STREAMS = 8
# A resume that can't go on is answered within this time.
MAX_REFUSAL_S = 0.5
# A watch that fell silent is noticed within 2.3 s.
HISTORY_EXPIRY_S = 3


class StreamVersionTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(VERSIONS)
        self.addCleanup(self.platform.close)
        self.first = self.start_gateway("g1")
        self.second = self.start_gateway("g2")
        self.first.wait_for_log_line(lambda it: it["instance"] == "g2" and
                                     it["change"] == "the record of an instance changed")

    def start_gateway(self, name):
        out = Environment(platform=self.platform, name=name)
        self.addCleanup(out.close)
        return out

    @staticmethod
    def headers(number):
        return {"X-Prompt-Prefix": f"{number:x}:600,bb:400"}

    def begin(self, gateway, attempt, number):
        """Begins a stream, whose caller disconnects after two events."""
        self.platform.configure_workers(hold_after=2)
        response = gateway.open_call("/resume/x", attempt, self.headers(number))
        data = b""
        while data.count(b"\n\n") < 2:
            data += response.read1()
        response.close()
        self.platform.configure_workers(hold_after=0)

    def resume(self, gateway, attempt, begun_as, number, after=2):
        return gateway.call("/resume/x", attempt, self.headers(number) | {
            "Last-Event-Id": str(after), "Resumes": begun_as})

    def endpoints_of(self, attempt):
        executed = self.platform.send_command()["executed"]
        return [name for name in executed
                if any(it["headers"]["X-Attempt-Id"] == attempt for it in executed[name])]

    def begin_and_occupy(self, gateway, number):
        """Begins a stream, then makes the endpoint that began it refuse requests."""
        attempt = f"begun{number}"
        self.begin(gateway, attempt, number)
        name, = self.endpoints_of(attempt)
        self.platform.configure_workers(mode="good")
        self.platform.send_command(worker=name, set={"mode": "full"})
        return attempt, VERSIONS[name]

    def check_resumed(self, gateway, attempt, version, number, name):
        response = self.resume(gateway, name, attempt, number)
        self.assertEqual((200, True), (response.status, response.is_complete))
        self.assertEqual([version], [VERSIONS[it] for it in self.endpoints_of(name)])

    def test_stream_goes_on_at_the_version_that_began_it(self):
        for number in range(STREAMS):
            with self.subTest(number):
                attempt, version = self.begin_and_occupy(self.first, number)
                self.check_resumed(self.second, attempt, version, number, f"other{number}")
                # Resumed for a second time, by the id of the request that began the stream.
                self.check_resumed(self.first, attempt, version, number, f"again{number}")

    def test_stream_goes_on_after_its_gateway_was_killed(self):
        begun = [self.begin_and_occupy(self.first, number) for number in range(STREAMS)]
        self.first.kill()
        for number, (attempt, version) in enumerate(begun):
            with self.subTest(number):
                self.check_resumed(self.second, attempt, version, number, f"killed{number}")

    def test_stream_is_resumed_within_a_response_at_its_version(self):
        for number in range(STREAMS):
            with self.subTest(number):
                attempt = f"within{number}"
                self.platform.configure_workers(mode="breaks")
                response = self.first.call("/resume/x", attempt, self.headers(number))
                self.assertFalse(response.is_complete)
                versions = {VERSIONS[it] for it in self.endpoints_of(attempt)}
                self.assertEqual(1, len(versions))
                self.assertEqual(2, len(self.endpoints_of(attempt)))

    def test_stream_is_not_resumed_without_an_endpoint_of_its_version(self):
        attempt, version = self.begin_and_occupy(self.first, 1)
        for name in VERSIONS:
            if VERSIONS[name] == version:
                self.platform.send_command(remove="servers/" + name)
        gone = [it for it in VERSIONS if VERSIONS[it] == version]
        for gateway in (self.first, self.second):
            for name in gone:
                gateway.wait_for_log_line(lambda line, name=name: line.get("endpoint") == name and
                                          "deleted" in line["change"])
            self.check_refused(gateway, attempt, f"gone-{gateway.name}")

    def check_refused(self, gateway, attempt, name):
        start = time.monotonic()
        response = self.resume(gateway, name, attempt, 1)
        self.assertEqual(503, response.status)
        self.assertIn("Retry-After", response.headers)
        self.assertLess(time.monotonic() - start, MAX_REFUSAL_S)
        self.assertEqual([], self.endpoints_of(name))

    def test_stream_of_an_unknown_version_is_not_resumed(self):
        attempt, _ = self.begin_and_occupy(self.first, 1)
        self.first.kill()
        self.second.kill()
        self.second.start()
        self.check_refused(self.second, attempt, "unknown")
        # Neither is one whose caller does not name the request that began it.
        response = self.second.call("/resume/x", "unnamed", self.headers(1) | {"Last-Event-Id": "2"})
        self.assertEqual(503, response.status)
        self.assertEqual([], self.endpoints_of("unnamed"))

    def test_new_streams_begin_while_others_cannot_be_resumed(self):
        attempt, _ = self.begin_and_occupy(self.first, 1)
        self.first.kill()
        self.second.kill()
        self.second.start()
        self.check_refused(self.second, attempt, "refused")
        self.assertEqual(200, self.second.call("/resume/x", "new", self.headers(1)).status)

    def test_version_that_served_before_a_restart_is_not_forgotten(self):
        for name in ("w2", "w4"):
            self.platform.send_command(remove="servers/" + name)
        self.begin(self.first, "old", 1)
        self.wait_for_recorded_versions({"v1", "v2"})
        for name in ("w1", "w3"):
            self.platform.send_command(remove="servers/" + name)
        for name in ("w2", "w4"):
            self.platform.list_endpoint(name)
        self.first.kill()
        self.second.kill()
        self.second.start()
        response = self.second.call("/resume/x", "new", self.headers(1) | {"Last-Event-Id": "2"})
        self.assertEqual(503, response.status)
        self.check_refused(self.second, "old", "named")

    # A version that began streams before it was recorded was unknown to all once they were killed.
    def test_version_that_is_not_recorded_begins_no_streams(self):
        self.stop_prepaying()
        for name in ("w2", "w4"):
            self.platform.send_command(remove="servers/" + name)
        self.kill_all()
        self.platform.send_command(remove="/gentianloom/software-versions")
        for it in (self.first, self.second):
            it.start()
        self.wait_for_recorded_versions({"v1"})
        self.platform.send_command(store_mode="read-only")
        for name in ("w2", "w4"):
            self.platform.list_endpoint(name, born=7)
            self.first.wait_for_log_line(lambda it, name=name: it.get("endpoint") == name
                                         and it.get("started_at") == "7")
        for number in range(STREAMS):
            self.begin(self.first, f"early{number}", number)
        begun = {n: self.endpoints_of(f"early{n}") for n in range(STREAMS)}
        self.kill_all()
        for name in ("w2", "w4"):
            self.platform.send_command(remove="servers/" + name)
        self.platform.send_command(store_mode="up")
        for it in (self.first, self.second):
            it.start()
        for number, (name,) in begun.items():
            with self.subTest(number):
                response = self.resume(self.second, f"later{number}", f"early{number}", number)
                joined = {VERSIONS[it] for it in self.endpoints_of(f"later{number}")}
                self.assertIn(response.status, (200, 503))
                self.assertLessEqual(joined, {VERSIONS[name]})

    # An instance that had not read the record yet took all versions for unrecorded, and began at any.
    def test_version_that_another_instance_recorded_a_moment_ago(self):
        self.stop_prepaying()
        self.kill_all()
        self.platform.send_command(remove=VERSION_KEY)
        self.platform.send_command(store_mode="read-only")
        self.first.start()
        self.platform.send_command(put=VERSION_KEY, value={"pool": ["v1"]})
        for number in range(4):
            self.begin(self.first, f"moment{number}", number)
        begun = {VERSIONS[it] for n in range(4) for it in self.endpoints_of(f"moment{n}")}
        self.assertEqual({"v1"}, begun)

    def stop_prepaying(self):
        """Lets requests be served while the store takes no transactions."""
        free = configuration(8)
        del free["tenants"][0]["prepaid"]
        self.platform.send_command(put="op/config", value=free)

    def kill_all(self):
        for it in (self.first, self.second):
            it.kill()

    # A version that nobody has recorded is better than none.
    def test_new_streams_begin_while_no_version_is_recorded(self):
        self.stop_prepaying()
        self.kill_all()
        self.platform.send_command(remove="/gentianloom/software-versions")
        self.platform.send_command(store_mode="read-only")
        self.second.start()
        self.assertEqual(200, self.second.call("/resume/x", "new", self.headers(1)).status)

    def test_stream_goes_on_at_the_service_that_began_it(self):
        # The route is split among two services, by a hash of the request's id.
        services = {"w1": "pool", "w2": "pool", "w3": "other", "w4": "other"}
        both = copy.deepcopy(configuration(8))
        both["services"].append(dict(both["services"][0], name="other"))
        for route in both["routes"]:
            route["backends"] = [{"service": it, "weight": 1} for it in ("pool", "other")]
        for name, service in services.items():
            self.platform.versions[name] = "v1"
            self.platform.list_endpoint(name, service=service)
        self.platform.send_command(put="op/config", value=both)
        for it in (self.first, self.second):
            it.wait_for_log_line(lambda line: line.get("version") == "8")
            it.wait_for_log_line(lambda line: line.get("endpoint") == "w4"
                                 and line.get("service") == "other")
        for number in range(STREAMS):
            with self.subTest(number):
                self.begin(self.first, f"split{number}", number)
                response = self.resume(self.second, f"joined{number}", f"split{number}", number)
                self.assertEqual((200, True), (response.status, response.is_complete))
                began, = self.endpoints_of(f"split{number}")
                resumed, = self.endpoints_of(f"joined{number}")
                self.assertEqual(services[began], services[resumed])

    def wait_for_recorded_versions(self, expected):
        self.first.wait(lambda: set(json.loads(
            self.platform.send_command()["items"].get(VERSION_KEY, "{}")).get("pool", [])) == expected)


class SoleVersionTest(unittest.TestCase):
    def test_stream_goes_on_while_one_version_serves(self):
        # Callers need not name the request that began the stream, and a restart changes nothing.
        platform = Platform({"w1": "v1", "w2": "v1"})
        self.addCleanup(platform.close)
        gateway = Environment(platform=platform)
        self.addCleanup(gateway.close)
        for restarts in (False, True):
            if restarts:
                gateway.kill()
                gateway.start()
                gateway.wait(lambda: len([it for it in gateway.log_lines() if it["change"] ==
                                          "read the record of software versions"]) == 2)
            for number, fields in enumerate(({"Last-Event-Id": "2"},
                                             {"Last-Event-Id": "2", "Resumes": "forgotten"})):
                with self.subTest(restarts=restarts, fields=fields):
                    response = gateway.call("/resume/x", f"sole{restarts}{number}", fields)
                    self.assertEqual((200, True), (response.status, response.is_complete))

    def test_ready_gateway_knows_the_versions(self):
        # A gateway that was ready before it had read them refused all streams of unknown origin.
        platform = Platform({"w1": "v1", "w2": "v1"})
        self.addCleanup(platform.close)
        platform.send_command(slow_prefix="/gentianloom/software-versions")
        gateway = Environment(platform=platform)
        self.addCleanup(gateway.close)
        response = gateway.call("/resume/x", "first", {"Last-Event-Id": "2"})
        self.assertEqual((200, True), (response.status, response.is_complete))

    def test_unknown_stream_is_not_resumed_by_an_outdated_history(self):
        # While the store does not answer, another version may serve that this gateway has not seen.
        platform = Platform({"w1": "v1", "w2": "v1"})
        self.addCleanup(platform.close)
        gateway = Environment(platform=platform)
        self.addCleanup(gateway.close)
        fields = {"Last-Event-Id": "2"}
        self.assertEqual(200, gateway.call("/resume/x", "before", fields).status)
        platform.send_command(store_mode="silent")
        time.sleep(HISTORY_EXPIRY_S)
        self.assertEqual(503, gateway.call("/resume/x", "outdated", fields).status)
        self.assertEqual(200, gateway.call("/resume/x", "new").status)
        platform.send_command(store_mode="up")
        gateway.wait(lambda: gateway.call("/resume/x", "after", fields).status == 200)


class OutOfStepTest(unittest.TestCase):
    # A gateway that had not heard of a version that joined took the one it knew for the only one.
    def test_stream_of_a_version_that_joined_meanwhile(self):
        platform = Platform({"w1": "v1", "w2": "v2"})
        self.addCleanup(platform.close)
        platform.send_command(remove="servers/w2")
        link = Link(platform.addresses["store"])
        self.addCleanup(link.close)
        gateways = []
        for name, store in (("g1", platform.addresses["store"]), ("g2", "%s:%d" % link.address)):
            # An availability zone each, so that none learns from the other's watch.
            gateways.append(Environment(platform=platform, name=name, availability_zone=name,
                                        store_address=store))
            self.addCleanup(gateways[-1].close)
        first, second = gateways
        fields = {"Last-Event-Id": "2"}
        second.wait(lambda: second.call("/resume/x", f"sole{time.monotonic()}", fields).status == 200)
        first.wait(lambda: "v1" in platform.send_command()["items"].get(VERSION_KEY, ""))
        link.cut(HANG)
        platform.list_endpoint("w2")
        first.wait(lambda: "v2" in platform.send_command()["items"].get(VERSION_KEY, ""))
        response = second.call("/resume/x", "joined", fields)
        ran = [name for name, requests in platform.send_command()["executed"].items()
               if any(it["headers"]["X-Attempt-Id"] == "joined" for it in requests)]
        self.assertEqual((503, []), (response.status, ran))
        link.restore()
        second.wait_for_log_line(lambda it: it.get("endpoint") == "w2" or it["change"] == "read the list of endpoints")
        second.wait(lambda: second.call("/resume/x", f"new{time.monotonic()}").status == 200)


if __name__ == "__main__":
    unittest.main()
