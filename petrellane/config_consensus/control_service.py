"""The control process: staff propose settings to it, it brings all gateways to agree.

It decides nothing: `leader` does, and the journal is on the disk before anybody is told. One greenlet a gateway carries
what that one is due; staff call on a listener of their own, under the shared key. The log is one JSON line an event.
"""

import select
import signal
import socket

import greenlet

from petrellane.config import ConfigError, Section, check_no_key_removed, parse_settings
from petrellane.config_consensus import coordinator as rules
from petrellane.config_consensus import message_authentication, rpc_client, safe_settings
from petrellane.config_consensus.coordinator import Coordinator, CoordinatorState
from petrellane.config_consensus.errors import ProposalRejected
from petrellane.config_consensus.journal import Journal
from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.operation.lifecycle import Lifecycle
from petrellane.operation.management_api import ManagementServer


class Control:
    """A control process from its configuration. Raises JournalError, or OSError where it can't listen."""

    PATIENCE = 0.6  # seconds that a gateway may take to answer
    TICK = 0.05  # between looks at what time alone brings
    FRESH = (
        60.0  # seconds that a call of staff may be old, by their clock, and is not taken twice in
    )

    def __init__(self, config, log_descriptor=1, scheduler=None, limits=None):
        self.config, self.scheduler = config, scheduler or Scheduler()
        self.limits = limits or Limits(4096, self.PATIENCE, 1.0, 1, self.PATIENCE)
        self.log = Logger(log_descriptor, config.name, self.scheduler.now, self.limits.log_lines)
        self.scheduler.fault = self.log.fault
        self.journal = Journal(config.journal)
        self.leader = Coordinator(
            config.name, config.members, self.journal, self.scheduler.now(), self.journal.records()
        )
        self.calls, self.told, self.parked, self.complained = {}, None, {}, 0.0
        self.nonces = {}  # of the last calls: one that was listened to must do nothing when it is said again
        self.desk = ManagementServer(
            self.scheduler, self.limits, Lifecycle(0.0, 0.0), lambda: None, lambda trouble: None
        )
        self.desk.handlers[message_authentication.STAFF] = self.heard
        self.desk.listen(config.listen)
        self.workers = set()

    def start(self):
        """Listen, and begin to seek; the scheduler does the rest."""
        self.staff_up()
        self.tick()

    def staff_up(self):
        for name in self.leader.all_participants():
            if name not in self.workers:
                self.workers.add(name)
                self.scheduler.spawn(self.work, name)

    def run(self):
        """Serve until `end`."""
        self.start()
        self.log.event(
            "control",
            listen="%s:%d" % self.config.listen,
            gateways=len(self.config.members),
            epoch=self.leader.epoch.number,
        )
        self.scheduler.run()
        self.desk.close()
        self.journal.close()
        self.log.event("ended")
        self.log.flush()

    def end(self):
        self.scheduler.stop()

    def obey(self, signals):
        """End on these signals, which must wake the poll."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.setblocking(False)
        self.signals = ours, theirs
        signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
        for number in signals:
            signal.signal(number, lambda *_: None)
        self.scheduler.register(ours.fileno(), select.POLLIN, lambda events: self.end())

    # Gateways.

    def tick(self):
        """What time alone brings: a change that is given up or may be decided now, a word to the log."""
        self.scheduler.after(self.TICK, self.tick)
        self.noted(self.leader.try_to_decide, self.scheduler.now())
        self.tell()

    def noted(self, call, *words):
        """Make a call that may write to the journal; where that fails the step was not taken."""
        try:
            call(*words)
            return True
        except OSError as error:
            if self.scheduler.now() - self.complained > 1.0:
                self.complained = self.scheduler.now()
                self.log.event("journal_failed", error=str(error))
            return False

    def tell(self):
        """Log what has changed of the whole, once."""
        leads = self.leader
        told = (
            leads.state,
            leads.epoch,
            leads.in_force and leads.in_force.ballot,
            leads.change and leads.change.generation.ballot,
        )
        if told == self.told:
            return
        self.told = told
        self.staff_up()
        self.log.event(
            leads.state,
            epoch=leads.epoch.number,
            number=leads.in_force.number if leads.in_force else None,
            under_way=leads.change.generation.number if leads.change else None,
            why=leads.reason,
        )
        self.nudge()

    def nudge(self):
        """Something has changed that gateways may be due to hear of."""
        for wake in list(self.parked.values()):
            self.scheduler.soon(wake)

    def work(self, name):
        """Carry to one gateway what it is due, one message at a time."""
        while True:
            message, pause = self.leader.next_message(name, self.scheduler.now())
            if message is None:
                self.park(name, pause)
                continue
            self.carry(name, message)
            self.tell()

    def park(self, name, pause):
        current = greenlet.getcurrent()

        def wake():
            if self.parked.get(name) is wake:
                current.switch()

        self.parked[name] = wake
        self.scheduler.wait(pause)
        del self.parked[name]

    def carry(self, name, message):
        """One message: what comes of it goes to the rules."""
        leads, down, why = self.leader, True, "no address in the roster"
        addresses = self.config.members.get(name, ())
        self.calls[message["do"]] = self.calls.get(message["do"], 0) + 1
        for address in addresses:
            try:
                answer = rpc_client.ask(
                    self.scheduler,
                    self.limits,
                    self.config.key,
                    address,
                    message_authentication.PATH,
                    message,
                    self.PATIENCE,
                )
            except rpc_client.Nobody:
                continue
            except rpc_client.Silent as error:
                down, why = False, str(error)
                continue
            if answer.get("refused") == "elsewhere":  # not the process that is the gateway now
                down, why = False, "it starts, or another process follows it"
                continue
            self.noted(leads.handle_answer, name, message, answer, self.scheduler.now())
            return
        if down and addresses:
            self.noted(leads.handle_connection_refused, name, message, self.scheduler.now())
        else:
            self.noted(leads.handle_no_answer, name, message, self.scheduler.now(), why)

    # Staff.

    def heard(self, fields, body):
        """A call of staff: its status, body and fields."""
        return message_authentication.served(self.config.key, "control", self.new, fields, body)

    def new(self, message):
        self.once(message)
        return self.obeyed(message)

    def once(self, message):
        """Raise Unsealed for a call that is old, or that has come before."""
        now, at, nonce = self.scheduler.now(), message.get("at"), str(message.get("nonce"))
        if not isinstance(at, (int, float)) or abs(now - at) > self.FRESH or nonce in self.nonces:
            raise message_authentication.Unsealed(
                f"at: expected a new call of the last {self.FRESH:g} s, by a clock that is about right"
            )
        self.nonces = {one: until for one, until in self.nonces.items() if until > now} | {
            nonce: now + 2 * self.FRESH
        }

    def obeyed(self, message):
        """What staff asked, carried out: the status and what is told."""
        do, number = message.get("do"), message.get("number")
        if do == "status":
            return 200, self.status()
        if do == "history":
            return 200, {
                "history": [change.to_dict() for _, change in sorted(self.leader.history.items())]
            }
        if do in ("show", "back"):
            found = self.generation(number)
            if not found:
                return 404, {
                    "refused": "unknown",
                    "why": f"generation {number}: expected one of the history",
                }
            if do == "show":
                return 200, found.to_dict()
            return self.propose(found.content, message)
        if do == "propose" and isinstance(message.get("settings"), dict):
            return self.propose(message["settings"], message)
        if do == "change":
            change = next(
                (one for ballot, one in self.leader.history.items() if ballot.number == number),
                None,
            )
            return (
                (200, self.progress(change))
                if change
                else (404, {"refused": "unknown", "why": f"no change {number}"})
            )
        return 400, {"refused": "form", "why": f"do: expected a known word, found {str(do)[:40]}"}

    def generation(self, number):
        """The generation of a number: the one that was in force, else the last that was proposed under it."""
        found = [
            change
            for ballot, change in sorted(self.leader.history.items())
            if ballot.number == number
        ]
        if self.leader.in_force and self.leader.in_force.number == number:
            return self.leader.in_force
        kept = [
            change for change in found if change.outcome == rules.ChangeOutcome.COMMITTED
        ] or found
        return kept[-1].generation if kept else None

    def propose(self, told, message):
        """Propose settings, once they would do anywhere."""
        content, without = safe_settings.shared_settings(told), message.get("without", [])
        if not isinstance(without, list) or not all(isinstance(name, str) for name in without):
            return 400, {"refused": "form", "why": "without: expected a list of names"}
        try:
            parse_settings(Section(content, "settings"))
            if self.leader.in_force and self.leader.in_force.number and not message.get("less"):
                check_no_key_removed(self.leader.in_force.content, content, "settings")
            if self.leader.in_force:
                parse_settings(
                    Section(safe_settings.meet(self.leader.in_force.content, content), "settings")
                )
        except (ConfigError, ValueError, TypeError, AttributeError, KeyError) as error:
            return 422, {"refused": "settings", "why": str(error)}
        try:
            change = self.leader.propose(
                content, tuple(without), str(message.get("by", ""))[:64], self.scheduler.now()
            )
        except ProposalRejected as error:
            return 409, {"refused": "not now", "why": str(error)}
        except OSError as error:
            return 507, {"refused": "journal", "why": str(error)}
        self.tell()
        return 200, self.progress(change)

    def progress(self, change):
        """A change as it stands: its outcome, and where its settings are in force."""
        ballot, seen = change.generation.ballot, self.leader.participant_states
        reached = [
            name
            for name in self.leader.all_participants()
            if name in seen and seen[name].in_force >= ballot
        ]
        owed = [
            name
            for name in change.participants
            if name not in reached and name not in change.confirmed_absent
        ]
        return change.to_dict() | {
            "reached": len(reached),
            "of": len(self.leader.all_participants()),
            "owed": sorted(owed),
            "control": self.leader.state,
        }

    def status(self):
        """The whole as it stands: this control process, what is in force, and each gateway."""
        leads = self.leader
        return {
            "control": self.config.name,
            "state": leads.state,
            "why": leads.reason,
            "epoch": list(leads.epoch),
            "in_force": leads.in_force.identity_to_dict() if leads.in_force else None,
            "under_way": self.progress(leads.change) if leads.change else None,
            "calls": self.calls,
            "settled": leads.state == CoordinatorState.LEADING
            and not leads.change
            and not leads.in_doubt,
            "seeking": leads.state == CoordinatorState.SEEKING,
            "gateways": {
                name: dict(zip(("state", "number"), leads.describe_participant(name), strict=True))
                for name in leads.all_participants()
            },
        }
