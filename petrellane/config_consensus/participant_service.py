"""The agent at a gateway: answers control processes and other gateways on the management listener, asks other gateways
what it may have missed, and puts in force what the rules say.

It decides nothing: `member` does. What is remembered is on the disk before it is answered or put in force; a thread of its
own waits for the disk, as RPCs must not. It promises that `begin` is called once the gateway knows what is in force, never
before, and that `admits` is cheap.
"""

import contextlib
import select
import socket
import threading
import time
from functools import partial

import greenlet

from petrellane.config_consensus import message_authentication, participant, rpc_client
from petrellane.config_consensus.ballots import Generation, parse_generation
from petrellane.config_consensus.errors import MessageRejected
from petrellane.config_consensus.participant import (
    INITIAL_BALLOT,
    ParticipantState,
    ParticipantStatus,
)
from petrellane.config_consensus.safe_settings import describe_changes, digest, shared_settings
from petrellane.config_consensus.state_store import Store


class Agent:
    """One gateway's. `settings` are those of its own file; `takes` says why settings will not do here, or None; `adopt`
    puts settings in force; `chance` draws from 0 to 1."""

    SIDE_BY_SIDE = 4  # others that are asked at a time
    PATIENCE = 0.5  # seconds that one may take to answer
    IN_DOUBT = 3  # others asked a round while the decision is not known

    def __init__(self, scheduler, limits, log, told, name, settings, takes, adopt, chance):
        self.scheduler, self.limits, self.log, self.told, self.name = (
            scheduler,
            limits,
            log,
            told,
            name,
        )
        self.settings, self.takes, self.adopt, self.chance = settings, takes, adopt, chance
        self.store, self.remembers, self.writable = Store(told.state, name), True, True
        self.state = ParticipantState(
            Generation(
                INITIAL_BALLOT, digest(settings), shared_settings(settings), tuple(told.members)
            )
        )
        self.standing = ParticipantStatus(name, told.members, False, self.clock())
        self.part = False  # we answer and ask: this process is the gateway
        self.begin = None
        self.asking = self.over = self.busy = False
        self.announced = self.drifted = None

    @staticmethod
    def clock():
        """A steady clock that goes on while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    # Life.

    def load(self):
        """Take up what is remembered, where there is anything; a folder that can't be used takes us out of changes."""
        found, why = self.store.load()
        self.remembers = found is not None and why is None
        if why:
            self.log.event("agreement_unreadable", error=why)
        if (
            found and self.writable and found.in_force.ballot >= self.state.in_force.ballot
        ):  # never back to an earlier one
            self.state = (
                found
                if found.in_force.number
                else self.state._replace(
                    promised=found.promised, prepared=found.prepared, aborted=found.aborted
                )
            )
        if self.bound():
            self.put()
            self.drifts(self.settings)

    def start(self, begin, told=None):
        """Take part from now on, and call `begin` once it is known what is in force. `told` is what the process before
        said that it remembers: where our folder does not have it, we ask as one that remembers nothing."""
        self.load()
        if told and told != self.state.to_dict():
            self.remembers = False
        self.begin, self.part = begin, True
        self.anew()

    def anew(self):
        """Know nothing, and ask."""
        self.standing = ParticipantStatus(self.name, self.members(), self.remembers, self.clock())
        self.knows()
        self.ask()

    def members(self):
        """Who has to agree: whom the generation in force names, or our file where none was agreed on."""
        return (
            self.state.in_force.roster if self.state.in_force.number else tuple(self.told.members)
        )

    def leave(self):
        """Another process is the gateway from now on."""
        self.part = False

    def back(self):
        """It is gone again; what it did meanwhile is in the folder."""
        self.load()
        self.part = True
        self.anew()

    def end(self):
        self.over = True

    def bound(self):
        """Whether settings are agreed: with the first generation on, what a file says of them counts no more."""
        return bool(self.state.in_force.number or self.state.prepared)

    # What is remembered, and in force.

    @contextlib.contextmanager
    def turn(self):
        """One greenlet at a time goes from what is remembered to what is."""
        while self.busy:
            self.scheduler.wait(0.002)
        self.busy = True
        try:
            yield
        finally:
            self.busy = False

    def remember(self, state):
        """Remember durably, in a turn of ours; False where the folder can't be written, and nothing is changed then."""
        trouble = self.saved(state)
        if trouble and self.writable:
            self.log.event("agreement_unwritten", folder=self.told.state, error=str(trouble))
        self.writable = not trouble
        if not trouble:
            self.state = state
        return not trouble

    def saved(self, state):
        """Wait until the disk has it; the OSError where it has not."""
        ours, theirs = socket.socketpair()
        told, current = [], greenlet.getcurrent()

        def save():
            try:
                self.store.save(state)
                told.append(None)
            except OSError as error:
                told.append(error)
            theirs.send(b".")

        self.scheduler.register(ours.fileno(), select.POLLIN, lambda events: current.switch())
        threading.Thread(target=save, daemon=True).start()
        try:
            while not told:
                self.scheduler.wait()
        finally:
            self.scheduler.unregister(ours.fileno())
            ours.close()
            theirs.close()
        return told[0]

    def put(self):
        """Admit under what is remembered."""
        self.standing.set_roster(self.members())
        said = self.state.in_force.ballot, tuple(one.ballot for one in self.state.prepared)
        if said != self.announced:
            self.announced = said
            self.adopt(participant.admissible_settings(self.state))
            self.log.event(
                "generation",
                number=said[0].number,
                epoch=list(said[0].epoch),
                digest=self.state.in_force.digest,
                possible=[one.number for one in said[1]],
            )
            if self.state.prepared:
                self.ask()

    def desk(self, fields, body):
        """A call on the management listener: its status, body and fields."""
        return message_authentication.served(self.told.key, self.name, self.heard, fields, body)

    def heard(self, message):
        """A message under the key: the status and the answer."""
        if not self.part:
            return 503, {
                "refused": "elsewhere",
                "why": "another process of this gateway is asked, or none yet",
            }
        with self.turn():
            try:
                after, told = participant.handle_message(self.state, message, self.takes)
            except MessageRejected as refusal:
                if refusal.cause == "settings":
                    self.log.event(
                        "agreement_refused",
                        do=message["do"],
                        number=message.get("number"),
                        error=refusal.text,
                    )
                return refusal.status, refusal.to_dict()
            if after != self.state:
                if not self.remember(after):
                    return 507, {
                        "refused": "unwritten",
                        "why": f"{self.told.state}: the state can't be written",
                    }
                self.put()
                self.knows()
            return 200, told

    def drifts(self, settings):
        """The gateway's file was read anew. What it says of settings, where these are agreed, is told and not taken; else
        it is what is in force here. True where it was taken."""
        if self.bound():
            if digest(settings) not in (
                self.state.in_force.digest,
                self.drifted,
            ):  # staff see it, once
                self.drifted = digest(settings)
                self.log.event(
                    "drift",
                    number=self.state.in_force.number,
                    lines=describe_changes(self.state.in_force.content, settings)[:20],
                )
            return False
        self.settings = settings
        self.state = self.state._replace(
            in_force=Generation(
                INITIAL_BALLOT,
                digest(settings),
                shared_settings(settings),
                tuple(self.told.members),
            )
        )
        return True

    # What we may have missed.

    def admits(self):
        """Whether an RPC that is here now may be admitted."""
        if self.standing.may_admit(self.clock()):
            return True
        self.look()
        return self.standing.knows_in_force

    def look(self):
        """Told often: whether we stood still so long that others may have gone on without us."""
        if self.standing.check_stall(self.clock()) and self.part:
            self.log.event("stood_still", known=self.standing.knows_in_force)
            if not self.busy:
                self.load()  # a process that took our place may have written there
            self.ask()

    def ask(self):
        if not self.asking and not self.over:
            self.asking = True
            self.scheduler.spawn(self.rounds)

    def rounds(self):
        """Ask others for as long as we don't know what is in force, or whether what is possible was decided."""
        try:
            self.until_known()
        finally:
            self.asking = False

    def until_known(self):
        outside = False
        with self.turn():
            self.remember(
                self.state
            )  # whether the folder can be written shows now, not in the first change
        while (
            self.part
            and not self.over
            and (not self.standing.knows_in_force or self.state.prepared)
        ):
            if self.name not in self.standing.roster and not outside:
                outside = True
                self.log.event(
                    "not_on_roster",
                    number=self.state.in_force.number,
                    members=len(self.standing.roster),
                )
            if self.standing.knows_in_force:  # a decision mostly comes by itself
                self.scheduler.wait(participant.PEER_POLL_INTERVAL_S * (0.5 + self.chance()))
                if not self.state.prepared and self.standing.knows_in_force:
                    break
            names = [
                name
                for name in self.told.members
                if name != self.name
                and (
                    self.standing.knows_in_force or outside or name not in self.standing.responders
                )
            ]
            names.sort(key=lambda name: self.chance())
            self.round(names[: self.IN_DOUBT] if self.standing.knows_in_force else names)
            if not self.standing.knows_in_force:
                self.scheduler.wait(participant.PEER_POLL_INTERVAL_S * (0.5 + self.chance()))

    def round(self, names):
        """Ask these, a few side by side, until we know."""
        left, busy = list(names), []
        knew = self.standing.knows_in_force

        def some():
            try:
                while left and (knew or not self.standing.knows_in_force) and self.part:
                    self.learn_from(left.pop())
            finally:
                busy.pop()

        for _ in range(min(self.SIDE_BY_SIDE, len(left))):
            busy.append(None)
            self.scheduler.spawn(some)
        while busy:
            self.scheduler.wait(0.01)

    def learn_from(self, name):
        """Ask one gateway, and take up what it knows and we do not."""
        self.look()
        standing, since = self.standing, self.standing.stall_count
        for address in self.told.members[name]:
            try:
                call = partial(
                    rpc_client.ask,
                    self.scheduler,
                    self.limits,
                    self.told.key,
                    address,
                    message_authentication.PATH,
                )
                told = call({"do": "state", "to": name}, self.PATIENCE)
                if "refused" in told:
                    continue
                learnt = participant.parse_peer_state(told)
                wanted = participant.missing_ballots(self.state, learnt)
                fetched = [
                    parse_generation(
                        call(
                            {
                                "do": "content",
                                "to": name,
                                "number": one.number,
                                "epoch": list(one.epoch),
                            },
                            self.PATIENCE,
                        ),
                        digest,
                    )
                    for one in wanted
                ]
                with self.turn():
                    after = participant.merge_peer_state(self.state, learnt, fetched, self.takes)
                    if after != self.state:
                        if not self.remember(after):
                            self.state, self.remembers = after, False  # it holds for this life
                        self.put()
            except (rpc_client.Nobody, rpc_client.Silent, ValueError):
                continue
            except MessageRejected as refusal:
                self.log.event(
                    "agreement_refused", do="learn", gateway_asked=name, error=refusal.text
                )
                return
            self.look()  # an answer may have lain here while we stood still
            standing.on_peer_answered(name, since)
            self.knows()
            return

    def knows(self):
        """Begin, where that was waited for and it is known now what is in force."""
        if self.standing.knows_in_force and self.begin:
            begin, self.begin = self.begin, None
            self.put()
            self.log.event(
                "agreed", number=self.state.in_force.number, asked=len(self.standing.responders)
            )
            begin()
