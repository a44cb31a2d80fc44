"""The rules of operation, without a socket."""

import unittest

from hypothesis import given
from hypothesis import strategies as some

from petrellane.operation import calls
from petrellane.operation.states import DRAINED, ENDING, SERVING, Service


class States(unittest.TestCase):

    def test_each_call_in_each_state(self):
        """What each call answers, and the state that follows."""
        for before, call, answer, after in (
                (SERVING, "drain", True, "draining"), (SERVING, "resume", True, SERVING),
                ("draining", "drain", True, "draining"), ("draining", "resume", True, SERVING),
                (DRAINED, "drain", True, DRAINED), (DRAINED, "resume", True, SERVING),
                (ENDING, "drain", True, ENDING), (ENDING, "resume", False, ENDING)):
            service = Service(0.5, 1.8)
            service.state = before
            said = service.drain(10.0) if call == "drain" else service.resume()
            self.assertEqual((said, service.state), (answer, after), (before, call))

    @given(some.lists(some.sampled_from(["drain", "resume", "end", "empty"]), max_size=12))
    def test_nothing_leads_back_from_the_end(self, told):
        """Whatever is called, a gateway that ends goes on ending, and one that isn't ready lets clients go in time."""
        service, now, ending = Service(0.5, 1.8), 100.0, False
        for what in told:
            now += 0.1
            {"drain": lambda: service.drain(now), "resume": service.resume, "end": lambda: service.end(now),  # noqa: B023
             "empty": lambda: service.emptied(0)}[what]()
            ending = ending or what == "end"
            self.assertEqual(service.state == ENDING, ending)
            self.assertEqual(service.ready, service.state == SERVING)
            self.assertEqual(service.lets_go(now + 0.6), not service.ready)

    def test_said_again_a_drain_keeps_its_times(self):
        service = Service(0.5, 1.8)
        service.drain(10.0)
        service.drain(11.0)
        self.assertTrue(service.lets_go(10.5))
        self.assertFalse(service.takes(11.9, came=3.0))
        self.assertTrue(service.takes(11.9, came=11.0))    # it came late and asks in vain, but is heard


class Calls(unittest.TestCase):

    def test_what_is_refused(self):
        for head, status in ((b"GET /-/ready HTTP/1.1\r\nHost: x", 0), (b"GET /-/ready?a HTTP/1.0", 0),
                             (b"POST /-/ready HTTP/1.1", 405), (b"GET /-/drain HTTP/1.1", 405), (b"GET / HTTP/1.1", 404),
                             (b"GET /-/ready", 400), (b"GET /-/ready RESP/2", 400), (b"", 400),
                             (b"GET /-/ready HTTP/1.1\r\nno colon", 400), (b"*1\r\n$4\r\nPING", 400)):
            path, found = calls.understood(head)
            self.assertEqual((bool(path), found), (not status, status), head)

    @given(some.binary(max_size=200))
    def test_any_bytes_have_a_verdict(self, head):
        path, status = calls.understood(head)
        self.assertTrue(path in calls.PATHS if path else status in calls.REASONS)
