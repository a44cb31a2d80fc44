"""What goes wrong, and how it ends. Each fault of a scenario is begun and ended here; faults of a kind may overlap."""

from petrellane.decisions import types as api
from petrellane.simulation.event_queue import chance
from petrellane.simulation.network import Network
from petrellane.simulation.scenario import FAULTS

AGAIN = 0.3  # seconds between the times that a counter loses what it had, while it does so


class Faults:
    """Begins and ends faults; every one ends by itself, at the run's end at the latest."""

    def __init__(self, fleet, faults):
        self.fleet = fleet
        for number, fault in enumerate(faults):
            rng = chance(fleet.world.seed, "fault", fault.what, fault.whom, number)
            fleet.heap.at(fault.at, self.begin, fault, rng)

    def begin(self, fault, rng):
        heap = self.fleet.heap
        end = getattr(self, fault.what.replace(" ", "_"))(fault, rng)
        self.fleet.mark(f"{fault.what} {self.whom(fault)}".strip() + " begins")
        if end is not None:
            heap.after(fault.length, self.end, fault, end)

    def end(self, fault, end):
        end()
        self.fleet.mark(f"{fault.what} {self.whom(fault)}".strip() + " ends")

    @staticmethod
    def whom(fault):
        """How a time line names whom a fault befalls."""
        kind = FAULTS[fault.what][0]
        return f"({kind[:1]}{fault.whom})" if kind else ""

    def node(self, fault):
        return self.fleet.nodes[fault.whom % len(self.fleet.nodes)]

    def machine(self, fault):
        return self.fleet.machines[fault.whom % len(self.fleet.machines)]

    def some(self, among, share, rng):
        return rng.sample(among, max(1, min(len(among), round(share * len(among)))))

    # gateways

    def gateway_killed(self, fault, rng):
        node = self.node(fault)
        node.kill()
        return node.start

    def gateways_killed(self, fault, rng):
        nodes = self.some(self.fleet.nodes, fault.size, rng)
        for node in nodes:
            node.kill()
        return lambda: [node.start() for node in nodes]

    def gateway_paused(self, fault, rng):
        node = self.node(fault)
        node.pause()
        return node.resume

    def gateway_twice(self, fault, rng):
        """A second process under one name: half of what comes in goes to it, until the first one is killed."""
        twin = self.fleet.add_twin(fault.whom % len(self.fleet.nodes))
        return twin.kill

    def gateway_followed(self, fault, rng):
        """Another process takes over what this one gives up. In the first third of sizes all goes well; in the second
        what was given is lost, and the old process goes on; in the last the new one dies when the fault ends."""
        number, clean, lost = (
            fault.whom % len(self.fleet.nodes),
            fault.size < 1 / 3,
            fault.size < 2 / 3,
        )
        old = self.fleet.nodes[number]
        if not old.alive or old.paused:
            return None
        if lost and not clean:
            old.given()
            old.resumed()
            return None
        new = self.fleet.follow(old)

        def ends():
            if not clean and self.fleet.nodes[number] is new:
                new.kill()
                self.fleet.unfollow(old, new)

        return ends

    # hosts

    def host_killed(self, fault, rng):
        machine = self.machine(fault)
        machine.kill()
        self.fleet.discovery.noticed(machine, api.GONE)

        def back():
            machine.start()
            self.fleet.discovery.noticed(machine, api.READY)

        return back

    def host_vanished(self, fault, rng):
        """Off the network with all it has; its process lives on."""
        machine = self.machine(fault)
        machine.silent = True
        self.fleet.discovery.noticed(machine, api.GONE, 2.0)

        def back():
            machine.silent = False
            self.fleet.discovery.noticed(machine, api.READY)

        return back

    def host_hangs(self, fault, rng):
        machine = self.machine(fault)
        machine.hanging = True

        def back():
            machine.hanging = False
            machine.begin()

        return back

    def host_slow(self, fault, rng):
        machine = self.machine(fault)
        times = max(1.0, fault.size)
        machine.slow *= times

        def back():
            machine.slow /= times

        return back

    def host_fails(self, fault, rng):
        machine = self.machine(fault)
        before, machine.failing = machine.failing, min(1.0, fault.size)

        def back():
            machine.failing = before

        return back

    def drain(self, machine):
        """Told first, then it finishes what it has, ends, and comes back cold."""
        self.fleet.discovery.told(machine, api.DRAINING)

        def back():
            machine.kill()
            self.fleet.discovery.told(machine, api.GONE)
            self.fleet.heap.after(0.5, restart)

        def restart():
            machine.start()
            self.fleet.discovery.told(machine, api.READY)

        return back

    def host_drains(self, fault, rng):
        return self.drain(self.machine(fault))

    def hosts_drain(self, fault, rng):
        ends = [self.drain(machine) for machine in self.some(self.fleet.machines, fault.size, rng)]
        return lambda: [end() for end in ends]

    def zone_restarts(self, fault, rng):
        machines = [
            machine
            for machine in self.fleet.machines
            if machine.zone == fault.whom % self.fleet.world.zones
        ]
        for machine in machines:
            machine.kill()
            self.fleet.discovery.noticed(machine, api.GONE)

        def back():
            for machine in machines:
                machine.start()
                self.fleet.discovery.noticed(machine, api.READY)

        return back

    def answers_lost(self, fault, rng):
        before, self.fleet.answers_lost = self.fleet.answers_lost, min(1.0, fault.size)

        def back():
            self.fleet.answers_lost = before

        return back

    # the network

    def messages_late(self, fault, rng):
        self.fleet.network.late += fault.size

        def back():
            self.fleet.network.late = max(0.0, self.fleet.network.late - fault.size)

        return back

    def links(self, pairs):
        for pair in pairs:
            self.fleet.network.cut(*pair, by=1)
        return lambda: [self.fleet.network.cut(*pair, by=-1) for pair in pairs]

    def others(self, fault):
        zones = self.fleet.world.zones
        mine = fault.whom % zones
        return mine, [zone for zone in range(zones) if zone != mine]

    def zone_cut(self, fault, rng):
        mine, others = self.others(fault)
        return self.links([(mine, other) for other in others] + [(other, mine) for other in others])

    def zone_deaf(self, fault, rng):
        mine, others = self.others(fault)
        return self.links([(other, mine) for other in others])

    def zone_mute(self, fault, rng):
        mine, others = self.others(fault)
        return self.links([(mine, other) for other in others])

    def counter_cut(self, fault, rng):
        zone = fault.whom % self.fleet.world.zones
        return self.links([(zone, Network.COUNTER), (Network.COUNTER, zone)])

    # the counter

    def counter_slow(self, fault, rng):
        counter, times = self.fleet.counter, max(1.0, fault.size)
        counter.slow *= times

        def back():
            counter.slow /= times

        return back

    def counter_silent(self, fault, rng):
        counter = self.fleet.counter
        counter.silent += 1

        def back():
            counter.silent -= 1

        return back

    def counter_refuses(self, fault, rng):
        counter = self.fleet.counter
        counter.refusing += 1

        def back():
            counter.refusing -= 1

        return back

    def often(self, fault, call, *words):
        """Make a call now and again every so often while the fault lasts: what is lost once is lost again."""
        until = self.fleet.heap.now + fault.length

        def now():
            call(*words)
            if self.fleet.heap.now + AGAIN <= until:
                self.fleet.heap.after(AGAIN, now)

        now()
        return lambda: None

    def counter_forgets(self, fault, rng):
        return self.often(fault, self.fleet.counter.forget, fault.size)

    def counter_replaced(self, fault, rng):
        return self.often(fault, self.fleet.counter.forget, 1.0)

    def counter_rolled_back(self, fault, rng):
        return self.often(fault, self.fleet.counter.roll_back, fault.size)

    def counter_split(self, fault, rng):
        self.fleet.counter.split()
        return self.fleet.counter.join

    # the rest

    def list_late(self, fault, rng):
        self.fleet.discovery.late += fault.size

        def back():
            self.fleet.discovery.late = max(0.0, self.fleet.discovery.late - fault.size)

        return back

    def discovery_refused(self, fault, rng):
        return self.fleet.discovery.begin("refused")

    def discovery_silent(self, fault, rng):
        return self.fleet.discovery.begin("silent")

    def discovery_turned_away(self, fault, rng):
        return self.fleet.discovery.begin("turned away", max(1.0, fault.size))

    def flood(self, fault, rng):
        source = self.fleet.sources[fault.whom % len(self.fleet.sources)]
        times = max(1.0, fault.size)
        source.pace(times)
        return lambda: source.pace(1 / times)
