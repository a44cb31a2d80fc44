"""Tests of the hot restart protocol: which process owns connections, credit and hard limits."""

import itertools
from collections.abc import Sequence
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.decisions.leases import Lease
from petrellane.operation import hot_restart, hot_restart_messages
from tests.unit.controller_settings import CONTROLLER_SETTINGS

LIMITED_PLAN = api.Plan("p", rate=5.0, burst=10.0, hard_limit_rate=2.0, hard_limit_burst=8.0)
METHOD = api.Method("m", 1.0, 2.0)
MESSAGES = [
    (hot_restart_messages.TransferRequest(1), b'{"ask":1}'),
    (hot_restart_messages.TransferRefusal(1), b'{"refused":1}'),
    (hot_restart_messages.ConsensusState({"a": 1}), b'{"generation":{"a":1}}'),
    (hot_restart_messages.LeaseBatch([{"customer": "c"}]), b'{"leases":[{"customer":"c"}]}'),
    (hot_restart_messages.LeasesComplete(3), b'{"given":3}'),
    (hot_restart_messages.ConnectionOffer(7, True), b'{"client":7,"asked":true}'),
    (hot_restart_messages.ConnectionOffer(7, False), b'{"client":7,"asked":false}'),
    (hot_restart_messages.ConnectionReceived(7), b'{"got":7}'),
    (hot_restart_messages.ConnectionReleased(7), b'{"yours":7}'),
    (hot_restart_messages.ConnectionRetained(7), b'{"kept":7}'),
    (hot_restart_messages.RequestEnded("c"), b'{"ended":"c"}'),
]


class Handoff:
    """A sender and a receiver with the messages in transit; each example creates one.

    Attributes:
        old_readers: The connections that the old process reads again.
        new_readers: The connections that the new process reads.
    """

    def __init__(self) -> None:
        self.sender: hot_restart.HandoffSender[int] = hot_restart.HandoffSender()
        self.receiver: hot_restart.HandoffReceiver[int] = hot_restart.HandoffReceiver()
        self.to_new: list[tuple[Any, int | None]] = []
        self.to_old: list[Any] = []
        self.old_readers: set[int] = set()
        self.new_readers: set[int] = set()
        self.connections = itertools.count()

    def offer(self) -> None:
        """Offer another connection."""
        connection = next(self.connections)
        number = self.sender.offer(connection)
        self.to_new.append((hot_restart_messages.ConnectionOffer(number, False), connection))

    def withdraw(self, choice: int) -> None:
        """Withdraw one of the pending offers."""
        if not self.sender.offered:
            return
        number = sorted(self.sender.offered)[choice % len(self.sender.offered)]
        self.old_readers.add(self.sender.offered[number])
        self.sender.withdraw(number)

    def deliver_to_new(self) -> None:
        """Deliver the oldest message to the new process."""
        if not self.to_new:
            return
        message, connection = self.to_new.pop(0)
        descriptors = None if connection is None else (connection,)
        answer, adopted, dropped = self.receiver.on_message(message, descriptors)
        self.new_readers |= set(adopted or ())
        assert not set(dropped or ()) & self.new_readers
        if answer:
            self.to_old.append(answer)

    def deliver_to_old(self) -> None:
        """Deliver the oldest message to the old process."""
        if not self.to_old:
            return
        _, answer = self.sender.on_received(self.to_old.pop(0).number)
        self.to_new.append((answer, None))

    def cut(self) -> None:
        """Break the link; the old process keeps the connections with a pending offer."""
        self.old_readers |= set(self.sender.offered.values())
        dropped = {connection for (connection,) in self.receiver.on_sender_lost()}
        assert not self.old_readers & self.new_readers
        assert not dropped & self.new_readers


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "back", "to_new", "to_old"]),
            st.integers(0, 3),
        ),
        max_size=40,
    ),
    st.booleans(),
)
def test_a_connection_has_one_reader(steps: list[tuple[str, int]], is_cut: bool) -> None:
    """At most one process reads a connection, whatever the order of messages and timeouts.

    This also holds after the link breaks.
    """
    handoff = Handoff()
    for step, choice in steps:
        if step == "offer":
            handoff.offer()
        elif step == "back":
            handoff.withdraw(choice)
        elif step == "to_new":
            handoff.deliver_to_new()
        else:
            handoff.deliver_to_old()
        assert not handoff.old_readers & handoff.new_readers
    if is_cut:
        handoff.cut()


def controller_at(now: float, seed: int) -> AdmissionController:
    """Return a controller that has started at this time."""
    controller = AdmissionController(**CONTROLLER_SETTINGS, seed=seed)
    controller.start(now)
    return controller


def controller_with_lease(
    plan: api.Plan, waiting: Sequence[api.Rpc] = ()
) -> tuple[AdmissionController, Lease]:
    """Return a controller and its lease of a customer with this plan; the RPCs wait for it."""
    controller = controller_at(100.0, seed=1)
    lease = controller.lease_manager.lease_of(api.Customer("c", plan), 110.0)
    lease.waiting += waiting
    return controller, lease


def exported_rows(controller: AdmissionController) -> list[dict[str, Any]]:
    """Return the rows of the leases that a controller exports, after JSON encoding and decoding."""
    messages = [
        hot_restart_messages.encode(message)
        for message in hot_restart.export_leases(controller, 110.0)
    ]
    rows = [row for message in messages for row in message.get("leases", ())]
    received: list[dict[str, Any]] = orjson.loads(orjson.dumps(rows))
    return received


def test_credit_and_hard_limit_have_one_holder() -> None:
    """The old process hands over credit and hard limits, and neither refills there afterwards.

    It keeps only the hard-limit units of its waiting RPCs.
    """
    customer = api.Customer("c", LIMITED_PLAN)
    waiting = api.Rpc(METHOD, api.Customer("c", LIMITED_PLAN), 3.0, 112.0, 110.0)
    old, old_lease = controller_with_lease(LIMITED_PLAN, [waiting])
    before = old_lease.refill_hard_limit(110.0)
    old_lease.available = 4.0
    old_lease.in_flight = 2
    rows = [*exported_rows(old), {"customer": "c"}, {}]
    new = controller_at(110.0, seed=2)
    customers = {"c": customer}
    number = hot_restart.import_leases(new, 110.0, rows, lambda name, *_: customers[name])
    new_lease = new.lease_manager.lease_of(customer, 110.0)
    assert number == 1
    assert (new_lease.available, new_lease.in_flight, old_lease.available) == (4.0, 2, 0.0)
    assert old_lease.hard_limit == 3.0
    total = old_lease.hard_limit + new_lease.refill_hard_limit(110.0)
    assert total == pytest.approx(before, rel=0, abs=1e-8)
    assert old_lease.refill_hard_limit(150.0) == 3.0
    refilled = min(before - 3.0 + 2.0, 8.0)
    assert new_lease.refill_hard_limit(111.0) == pytest.approx(refilled, rel=0, abs=1e-8)
    hot_restart.release_in_flight(new, 110.0, customer, 5)
    assert new_lease.in_flight == 0
    # After the new process has exited, its units are lost: the old one refills what it kept.
    hot_restart.resume_hard_limit_refill(old, 150.0)
    assert old_lease.refill_hard_limit(151.0) == pytest.approx(5.0, rel=0, abs=1e-8)


def test_a_plan_without_a_quota() -> None:
    """JSON cannot encode the infinite credit: the export contains 0, which the lease never uses."""
    old, old_lease = controller_with_lease(api.Plan("open"))
    old_lease.granted = float("inf")
    old_lease.available = float("inf")
    message = next(iter(hot_restart.export_leases(old, 110.0)))
    first = orjson.loads(orjson.dumps(hot_restart_messages.encode(message)))
    new = controller_at(110.0, seed=2)
    customer = api.Customer("c", api.Plan("open"))
    hot_restart.import_leases(new, 110.0, first["leases"], lambda *_: customer)
    assert new.lease_manager.lease_of(customer, 110.0).available == 0.0
    for _ in range(2):
        new.admit(110.0, api.Rpc(METHOD, customer, 3.0, 112.0, 110.0))


def test_a_predecessor_that_hands_nothing_over() -> None:
    """The predecessor may still refill its hard limits, so the successor's stay empty meanwhile.

    Otherwise a customer's hard limit would refill in both processes at the same time.
    """
    controller, _ = controller_with_lease(api.Plan("q"))
    hot_restart.withhold_hard_limits(controller, 110.0)
    lease = controller.lease_manager.lease_of(api.Customer("d", LIMITED_PLAN), 111.0)
    refills = [lease.refill_hard_limit(now) for now in (112.0, 119.9, 121.0)]
    assert refills == [0.0, 0.0, 2.0]


def test_another_version_is_refused() -> None:
    """A request of another version is refused, and the refusal contains the receiver's version."""
    version = hot_restart_messages.PROTOCOL_VERSION
    request = hot_restart_messages.TransferRequest(version)
    assert hot_restart.validate_transfer_request(request) is None
    refusal = hot_restart.validate_transfer_request(hot_restart_messages.TransferRequest(0))
    assert refusal is not None
    assert hot_restart_messages.encode(refusal) == {"refused": version}


@pytest.mark.parametrize(("message", "text"), MESSAGES)
def test_messages_keep_their_wire_form(message: hot_restart_messages.Message, text: bytes) -> None:
    """The keys and their order must not change: the two processes may run different versions."""
    assert orjson.dumps(hot_restart_messages.encode(message)) == text
    decoded = hot_restart_messages.decode(orjson.loads(text))
    assert (type(decoded), decoded) == (type(message), message)


def test_lease_records_keep_their_wire_form() -> None:
    """The keys of a lease and their order must not change."""
    record = hot_restart_messages.LeaseRecord("c", "p", 3, 2, {"out": 1})
    row = b'{"customer":"c","plan":"p","first":3,"spread":2,"lease":{"out":1}}'
    assert orjson.dumps(hot_restart_messages.encode_lease(record)) == row
    assert hot_restart_messages.decode_lease(orjson.loads(row)) == record


def test_an_unknown_message_is_no_message() -> None:
    """A message with an unknown key decodes to None."""
    assert hot_restart_messages.decode({"another": 1}) is None
