"""A soak at work: the instances, those whom they meet, and the troubles of a schedule in their time."""

import time
from random import Random

import trio

from juniperlanding.soak import parties, verdict
from juniperlanding.soak.history import History, SoakAudit, Span
from juniperlanding.soak.instance import SLOW, Instance
from juniperlanding.soak.platform import Agent, Catalog
from juniperlanding.soak.proxy import Proxy
from juniperlanding.soak.schedule import MOST_STOP, STEPS, Kind
from juniperlanding.standins.clients import arrivals
from juniperlanding.standins.temper import SEC, TEMPERS, Temper

RATE = 3.0  # messages a second for each instance
THROTTLING = Temper("throttling", rate=1.0, burst=3.0)  # told waits last up to a second
TEMPER_OF = (TEMPERS["fast"], TEMPERS["slow"], TEMPERS["fast"], THROTTLING, TEMPERS["slow"], TEMPERS["fast"])
BY_DESTINATION = 2  # endpoints of each
LAST_ENDS = 6.0  # seconds for what is still owed once no clients come
HOLD_EVERY = 0.35  # seconds from one hold to the next
CROWD, HALF_REQUESTS, LEAVERS = 120, 25, 30
LAG_EVERY = 0.02  # seconds between looks at how late the rig itself runs


class Rig:
    """`await Rig(schedule, folder).run()`; then `findings` has what the oracle found."""

    def __init__(self, schedule, folder, defect=""):
        self.schedule, self.folder, self.defect = schedule, folder, defect
        self.now, self.findings = time.monotonic_ns, []
        self.history, self.catalog = History(SoakAudit(self.now)), Catalog()
        self.instances, self.endpoints, self.proxies = [], [], []

    async def run(self):
        """Play the whole schedule, wait for the last ends, stop all, and judge."""
        async with trio.open_nursery() as nursery:
            try:
                await self.open(nursery)
                await self.play()
                await self.settle()
                for instance in self.instances:
                    nursery.start_soon(instance.terminate, False)
                await self.until(lambda: not any(one.alive for one in self.instances), 8)
            finally:
                for instance in self.instances:
                    if instance.alive:
                        instance.running.kill()
                nursery.cancel_scope.cancel()
        for instance in self.instances:
            lines = [line for word in (" violation ", " fault ") for line in instance.log_lines(word)]
            if lines:
                self.history.violations[instance.name] = lines
        self.findings = verdict.judged(self.history, self.now())

    async def open(self, nursery):
        """The endpoints behind their proxies, the platform, and all instances, ready."""
        self.nursery = nursery
        for number in range(self.schedule.endpoints):
            chance = Random(f"{self.schedule.seed}/endpoint {number}")
            temper = TEMPER_OF[number % len(TEMPER_OF)]
            character = parties.NotedCharacter(temper, chance)
            destination = 1 + number // BY_DESTINATION
            endpoint = parties.SoakEndpoint(number, destination, character, self.history, self.now)
            await nursery.start(endpoint.run)
            proxy = await Proxy(endpoint.address).open(nursery)
            self.endpoints.append(endpoint)
            self.proxies.append(proxy)
            self.catalog.put(self.entry(number))
        for number in range(self.schedule.processes):
            await self.add_instance(number, nursery)
        async with trio.open_nursery() as starting:
            for instance in self.instances:
                starting.start_soon(instance.start)
        for instance in self.instances:
            nursery.start_soon(instance.watch)
        nursery.start_soon(self.measure)

    async def add_instance(self, number, nursery):
        """One more dispatcher with two agents of the platform."""
        name = f"d{number:02}"
        seen = self.history.told.setdefault(name, [])
        agents = [
            await Agent(
                self.catalog,
                lambda revision: seen.append((self.now(), revision)),
                self.history.audit.notice,
            ).open(nursery)
            for _ in range(2)
        ]
        count, seed = self.schedule.processes, self.schedule.seed
        instance = Instance(number, count, self.folder, seed, self.history, agents)
        instance.order(defect=self.defect)
        self.instances.append(instance)

    def entry(self, number, phase="in_service"):
        """An endpoint's entry in the list, at its proxy's address."""
        host, port = self.proxies[number].address
        listed = self.endpoints[number].listed(scale=SLOW.limit * BY_DESTINATION)
        return listed | {"host_port": f"{host}:{port}", "phase": phase}

    async def play(self):
        """Clients and troubles, each at its time."""
        self.begun = self.now()
        coming_for = int(self.schedule.seconds * SEC)
        destinations = sorted({endpoint.destination for endpoint in self.endpoints})
        async with trio.open_nursery() as nursery:
            for instance in self.instances:
                clients = parties.SoakClients(instance.address, self.history, self.now, instance.name)
                seed = f"{self.schedule.seed}/{instance.name}"
                nursery.start_soon(clients.load, arrivals(seed, RATE, coming_for, destinations))
            for trouble in self.schedule.troubles:
                nursery.start_soon(self.strike, trouble)

    async def strike(self, trouble):
        """One trouble from its begin to its end."""
        await trio.sleep(max(0, trouble.at - (self.now() - self.begun) / SEC))
        handler = getattr(self, "on_" + trouble.kind.replace("-", "_"))
        await handler(trouble)

    async def settle(self):
        """Wait until all is over that was taken on, for as long as its time may take."""
        await self.until(lambda: not self.history.audit.open(), LAST_ENDS + 2)

    async def until(self, condition, seconds):
        """Wait for a condition, for so many seconds at most."""
        with trio.move_on_after(seconds):
            while not condition():
                await trio.sleep(0.05)

    async def measure(self):
        """The instances' descriptors and memory, and how late this process runs."""
        while True:
            before = self.now()
            for instance in self.instances:
                instance.look()
            for _ in range(50):
                await trio.sleep(LAG_EVERY)
                lag = self.now() - before - int(LAG_EVERY * SEC)
                self.history.most_lag = max(self.history.most_lag, lag)
                before = self.now()

    # ---- troubles of processes

    def instance(self, trouble):
        """The dispatcher that a trouble meets."""
        return self.instances[trouble.target]

    async def on_term(self, trouble):
        """SIGTERM, and a new process."""
        await self.instance(trouble).terminate()

    async def on_kill(self, trouble):
        """SIGKILL, and a new process."""
        await self.instance(trouble).kill()

    async def on_kill_in_write(self, trouble):
        """It ends in the middle of its next write."""
        await self.instance(trouble).kill_in_write(trouble.seconds)

    async def on_reload(self, trouble):
        """SIGHUPs in quick succession, some over half a file."""
        for _ in range(1 + int(trouble.amount * 3)):
            await self.instance(trouble).reload()

    async def on_hold(self, trouble):
        """Held by SIGSTOP for up to 0.15 s, again and again."""
        until = trio.current_time() + trouble.seconds
        while trio.current_time() < until:
            await self.instance(trouble).hold(MOST_STOP * (0.3 + 0.7 * trouble.amount))
            await trio.sleep(HOLD_EVERY)

    async def on_clock_step(self, trouble):
        """The wall clock of a third of the processes is stepped, for good."""
        step = STEPS[int(trouble.amount * len(STEPS))] * SEC
        for number, instance in enumerate(self.instances):
            if number % 3 == trouble.target % 3:
                instance.order(wall_ahead=instance.orders.wall_ahead + step)

    async def ordered(self, trouble, **changed):
        """Orders to a third of the instances, lifted in the end."""
        some = [one for number, one in enumerate(self.instances) if number % 3 == trouble.target % 3]
        for instance in some:
            instance.order(**changed)
        await trio.sleep(trouble.seconds)
        for instance in some:
            instance.order(**dict.fromkeys(changed, 0.0))

    async def on_system_calls(self, trouble):
        """Accepts, connects and sends fail."""
        share = 0.1 + 0.25 * trouble.amount
        await self.ordered(trouble, accepts=share, connects=share, breaks=share / 10)

    async def on_disk(self, trouble):
        """Writes fail, some or all."""
        span = Span(self.now(), self.now() + int(trouble.seconds * SEC), trouble.kind)
        for instance in self.instances[trouble.target % 3 :: 3]:
            self.history.disks.setdefault(instance.name, []).append(span)
        await self.ordered(trouble, writes=0.3 if trouble.amount < 0.7 else 1.0)

    async def on_short_writes(self, trouble):
        """Writes and sends take a few bytes."""
        await self.ordered(trouble, short=0.5)

    # ---- troubles between and at endpoints

    async def on_link(self, trouble, **changed):
        """Change a link for a while, and write down when."""
        link = self.proxies[trouble.target].link
        begin = self.now()
        for name, value in changed.items():
            setattr(link, name, value)
        endpoint = self.endpoints[trouble.target].id
        spans = self.history.links.setdefault(endpoint, [])
        spans.append(Span(begin, 1 << 62, trouble.kind))
        await trio.sleep(trouble.seconds)
        for name in changed:
            setattr(link, name, type(changed[name])())
        spans.remove(Span(begin, 1 << 62, trouble.kind))
        spans.append(Span(begin, self.now() + SEC, trouble.kind))

    async def on_link_delay(self, trouble):
        """Each piece comes late."""
        await self.on_link(trouble, delay=0.02 + 0.3 * trouble.amount)

    async def on_link_silence(self, trouble):
        """Nothing is relayed."""
        await self.on_link(trouble, silent=True)

    async def on_link_reset(self, trouble):
        """A reset in the middle of each request."""
        await self.on_link(trouble, resets=True)

    async def on_link_half_answer(self, trouble):
        """Answers break off."""
        await self.on_link(trouble, halves=True)

    async def on_slow_dial(self, trouble):
        """New connections are taken up late."""
        await self.on_link(trouble, dial=0.1 + 1.2 * trouble.amount)

    async def outage(self, trouble, name):
        """Set a flag of an endpoint's character for a while, and write down when."""
        character, begin = self.endpoints[trouble.target].character, self.now()
        setattr(character, name, True)
        await trio.sleep(trouble.seconds)
        setattr(character, name, False)
        outages = self.history.outages.setdefault(self.endpoints[trouble.target].id, [])
        outages.append(Span(begin, self.now(), name))

    async def on_endpoint_hang(self, trouble):
        """It takes calls and answers none."""
        await self.outage(trouble, "silenced")

    async def on_endpoint_down(self, trouble):
        """It refuses connections, and resets those that there are."""
        await self.outage(trouble, "refusing")

    async def on_endpoint_drain(self, trouble):
        """The list tells that it drains, and later that it serves again."""
        begin, endpoint = self.now(), self.endpoints[trouble.target].id
        revision = self.catalog.put(self.entry(trouble.target, "terminating"))
        await trio.sleep(trouble.seconds)
        drains = self.history.drains.setdefault(endpoint, [])
        drains.append((revision, Span(begin, self.now())))
        self.catalog.put(self.entry(trouble.target))

    async def on_discovery_silent(self, trouble):
        """Discovery says nothing to anybody."""
        self.catalog.silent = True
        await trio.sleep(trouble.seconds)
        self.catalog.silent = False
        self.catalog.wake()

    # ---- troubles with clients

    async def on_half_requests(self, trouble):
        """Many clients send half of a request and stay."""
        instance = self.instance(trouble)
        half = parties.HALVES[int(trouble.amount * len(parties.HALVES))]
        async with trio.open_nursery() as nursery:
            for _ in range(HALF_REQUESTS):
                nursery.start_soon(
                    parties.half_request, instance.address, self.history, self.now, instance.name, half
                )

    async def on_early_leavers(self, trouble):
        """Clients ask and leave before their answer, without end."""
        until = trio.current_time() + trouble.seconds
        while trio.current_time() < until:
            async with trio.open_nursery() as nursery:
                for number in range(LEAVERS):
                    nursery.start_soon(parties.early_leaver, self.instance(trouble).address, number / 500)
            await trio.sleep(0.1)

    async def on_crowd(self, trouble):
        """Many idle clients at once."""
        async with trio.open_nursery() as nursery:
            for _ in range(CROWD):
                nursery.start_soon(parties.idle_client, self.instance(trouble).address, trouble.seconds)


def handled():
    """The kinds that a rig can play."""
    return {kind for kind in Kind if hasattr(Rig, "on_" + kind.replace("-", "_"))}
