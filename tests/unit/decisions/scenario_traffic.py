"""Steps that send RPCs, answer attempts and counter requests, and advance the time."""

import contextlib
from collections.abc import Iterator

from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from tests.unit.decisions.scenario_setup import SetupSteps, as_options

COUNTER_TURNS = 19  # default number of requests that `counter` answers
DEFAULT_DURATION_S = 0.1  # of an attempt


class TrafficSteps(SetupSteps):
    """Simulates clients, endpoints, the counter and the clock."""

    def do_rpc(self, name: str, method: str, customer: str, *words: str) -> None:
        """Send an RPC whose client gives up after `left` seconds."""
        options = as_options(words)
        rpc = api.Rpc(
            self.methods[method],
            self.customers[customer],
            options.get("units", 1.0),
            self.now + options.get("left", 4.0),
            self.now,
        )
        self.rpcs[name] = rpc
        self.execute(self.controller.admit(self.now, rpc))

    def do_flood(self, count: str, method: str, customer: str, *words: str) -> None:
        """Send many RPCs, one every `every` seconds, and answer them as the words say."""
        options = as_options(words)
        rpc_words = [word for word in words if word.startswith(("units", "left"))]
        for index in range(int(count)):
            name = f"flood{index}"
            self.do_rpc(name, method, customer, *rpc_words)
            if options.get("counter") == "ok":
                self.do_counter("ok")
            rpc = self.rpcs[name]
            if "serve" in options and rpc.attempts:
                self.end_attempt(rpc, options.get("as", api.OK), options["serve"])
            self.wait(options.get("every", 0.0))

    def do_scan(self, count: str, method: str, plan: str) -> None:
        """Send one RPC for each of many customers, and serve all of them."""
        for index in range(int(count)):
            customer = f"once{index}"
            self.do_customer(customer, plan)
            self.do_rpc("once", method, customer)
            self.do_counter("ok")
            self.end_attempt(self.rpcs["once"], api.OK)

    def do_wait(self, seconds: str) -> None:
        """Advance the time; timers expire."""
        self.wait(float(seconds))

    def wait(self, seconds: float) -> None:
        """Advance the time; timers expire in the order of their times."""
        until = self.now + seconds
        while due := [timer for timer in self.timers if timer.due <= until]:
            timer = min(due, key=lambda entry: (entry.due, entry.number))
            self.timers.remove(timer)
            self.now = max(self.now, timer.due)
            with self._using_controller(timer.controller):
                self.execute(self.controller.on_timer(self.now, timer.subject))
        self.now = until

    def do_counter(self, outcome: str, *words: str) -> None:
        """Answer the pending counter requests; with `lost`, the counter loses all counts."""
        if outcome == "lost":
            self.counter_totals.clear()
            return
        options = as_options(words)
        maximum = options.get("turns", COUNTER_TURNS)
        answered = 0
        while self.counter_requests and answered < maximum:
            answered += 1
            add, controller = self.counter_requests.pop(0)
            total = 0.0
            if outcome in (api.OK, api.ERROR):
                before = self.counter_totals.get(add.name, options.get("others", 0.0))
                total = before + add.amount
                self.counter_totals[add.name] = total
            with self._using_controller(controller):
                self.execute(self.controller.on_counter_reply(self.now, add, outcome, total))

    @contextlib.contextmanager
    def _using_controller(self, controller: AdmissionController) -> Iterator[None]:
        before = self.controller
        self.controller = controller
        yield
        self.controller = before

    def end_attempt(
        self, rpc: api.Rpc, outcome: str, took: float = DEFAULT_DURATION_S, units: float = 0.0
    ) -> None:
        """End the attempt in flight of an RPC."""
        attempt = rpc.attempts[-1]
        assert not attempt.outcome, "the RPC has no attempt in flight"
        is_final = outcome == api.OK
        self.execute(
            self.controller.on_attempt_ended(
                self.now, attempt, outcome, is_final=is_final, duration=took, units=units
            )
        )

    def do_answer(self, name: str, outcome: str, *words: str) -> None:
        """End the RPC's attempt in flight with this outcome."""
        self.end_attempt(self.rpcs[name], outcome, **as_options(words))

    def do_answer_all(self) -> None:
        """End all attempts in flight with the outcome OK."""
        for rpc in self.rpcs.values():
            if rpc.attempts and not rpc.attempts[-1].outcome:
                self.end_attempt(rpc, api.OK)

    def do_disconnect(self, name: str) -> None:
        """Disconnect the RPC's client."""
        self.execute(self.controller.on_client_disconnected(self.now, self.rpcs[name]))

    def do_unknown_events(self) -> None:
        """Report a timer and a counter reply that the gateway does not know."""
        self.execute(self.controller.on_timer(self.now, "unknown"))
        add = actions.CounterAdd(7, 1.0, 1.0)
        self.execute(self.controller.on_counter_reply(self.now, add, "odd", 0.0))
