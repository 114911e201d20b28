"""The I/O half: counts what this dispatcher does, tells it with the fleet's probes, and projects.

A part of one node, which it reads as a plain value; it asks the decision loop's queue for nothing."""

import msgspec
import trio

from juniperlanding.choice import MS, SEC, RateLimit, known_limit
from juniperlanding.fleet.words import ALIVE, DEAD, LEFT, SUSPECT
from juniperlanding.ground.log import error_location, safe_description
from juniperlanding.ground.part import Part
from juniperlanding.series import Series
from juniperlanding.sites import figures as words
from juniperlanding.sites.outage import LOST, Outages, shown
from juniperlanding.sites.project import Member, steps

EVERY = 1.0  # seconds between two looks; one site is projected in each
LEISURE = 15  # times as long as a projection took are left between two
FORGOTTEN = 30 * SEC  # a member dead for longer is no part of its site any more
SLOWED = 30 * SEC  # so long after a throttling the present pace is told, else what the rule allows
RECORD = 512  # bytes of the ledger that one notification is taken to need while none is owed
LEARNT = ("errors", "windows")
LONGEST = 3.0  # threat: on a machine short of CPU a projection grows a minute old
MOST_LINES = 32  # sites at the door


class Sites(Part):
    """`prices()` gives {(from, to): price} by the policy in force; elsewhere the settings' one price goes."""

    section = "sites"

    def __init__(self, node, agent, prices=dict):
        self.node, self.agent, self.log, self.prices = node, agent, node.log, prices
        self.now = agent.now
        self.seen, self.outages, self.projected, self.turn = words.Seen(self.now()), Outages(), {}, 0
        self.ended, self.mine, self.cost = {}, None, 0
        self.named = {}  # prices as they stood at the last look

    @property
    def topics(self):
        return self.node.decision_loop.dispatcher.state.settings["topic_types"]

    # ---- what the decision loop says, in its iterations

    def handed_in(self, topic, destination):
        self.guarded(self.seen.handed_in, topic, destination, self.now())

    def answered(self, *fields):
        self.guarded(self.count, *fields)

    def count(self, ntf, endpoint, latency, in_time, heard):
        site = self.site_of(endpoint.zone) if endpoint else "?"
        self.seen.answered(ntf, site, site != self.agent.told.site, latency, in_time, self.now(), heard)

    def guarded(self, what, *fields):
        """Threat: a fault in counting, and the decision loop never hears the outcome that was counted."""
        try:
            what(*fields)
        except Exception as error:
            self.log("fault", part="sites", why=safe_description(error), at_line=error_location(error))

    def site_of(self, zone):
        """A zone of endpoints is the site of the same name; one that nobody named is no site of ours."""
        zones = self.node.config.zones
        return zones[zone] if zone < len(zones) else "?"

    # ---- the part

    def on_built(self, node):
        node.decision_loop.observer = self

    def export_state(self):
        """What earlier projections missed, so that a replacement forgets nothing."""
        return {
            name: {
                "/".join(key): [s.samples, s.recent, s.mean, s.ewma, s.errors, s.forecast, s.rmse]
                for key, s in getattr(self.outages, name).items()
            }
            for name in LEARNT
        }

    def import_state(self, state):
        try:
            found = {
                name: {tuple(key.split("/", 1)): Series(*fields) for key, fields in state[name].items()}
                for name in LEARNT
            }
        except (TypeError, KeyError, AttributeError) as error:
            # Threat: another version's form, and the replacement fails for it; what was learnt begins anew.
            return self.log("sites", "what was learnt cannot be read", why=safe_description(error))
        for name, series in found.items():
            setattr(self.outages, name, series)

    async def run(self):
        while True:
            try:
                await self.look()
            except Exception as error:  # threat: one odd figure must not end the program
                self.log("fault", part="sites", why=safe_description(error), at_line=error_location(error))
            await trio.sleep(max(EVERY, min(LONGEST, self.cost * LEISURE / SEC)))

    async def look(self):
        decision_loop, view = self.node.decision_loop, self.agent.view
        if not view:
            return
        now = self.now()
        self.mine = self.figures(decision_loop.dispatcher, now)
        view.figures = words.encoded(self.mine)
        members, self.named = self.members(now), self.prices()
        names = sorted({member.site for member in members if member.site})
        self.projected = {name: made for name, made in self.projected.items() if name in names}
        if names:
            name = names[self.turn % len(names)]
            self.turn += 1
            making = steps(members, name, self.topics, self.price, errors=self.outages.error)
            made, spent = None, 0
            while made is None:
                begun = self.now()
                try:
                    next(making)
                except StopIteration as end:
                    made = end.value
                spent += self.now() - begun
                await trio.sleep(0)  # threat: a projection of many members holds the flow up
            made.made_at, self.projected[name], self.cost = now, made, spent
        self.outages.tick(members, self.projected, now)
        said, self.outages.said = self.outages.said, []
        if any(event == "is back" for event, _ in said):
            self.seen.returned(now)
        for event, fields in said:
            self.log("sites", event, sure=f"{view.sure():.2f}", **fields)

    def price(self, source, target):
        return self.named.get(
            (source, target), self.node.decision_loop.dispatcher.state.settings.get("crossing_price")
        )

    def members(self, now):
        """All of the view as the projection takes them.  Threat: a projection from what is known only here
        would differ from the others'; of ourselves it takes what was told too."""
        view, found = self.agent.view, []
        for member in view.members.values():
            record, age = member.record, now - member.figures_at
            if record.state == LEFT or record.state == DEAD and now - member.since > FORGOTTEN:
                continue
            figures = words.decoded(member.figures) if member.figures else None
            found.append(
                Member(
                    record.name,
                    record.site,
                    record.state in (ALIVE, SUSPECT),
                    words.believed(figures, age),
                    age if figures else 0,
                )
            )
        own = words.decoded(view.figures) if view.figures else None
        return [*found, Member(self.agent.name, self.agent.told.site, True, own, 0)]

    # ---- what is told

    def figures(self, at, now):
        """The plain value of this dispatcher, from its decision module's records at this moment."""
        state, ledger, counters = at.state, self.node.ledger, self.node.counters
        for topic in self.topics:
            name = topic.get("name")
            ended = counters.not_delivered_in_time(name)
            self.seen.refused(name, ended - self.ended.get(name, ended), now)
            self.ended[name] = ended
        self.seen.forget(now)
        near = state.settings.get("zone") if state.settings.get("crossing_price") else None
        sites = tuple(dict.fromkeys([self.agent.told.site, *self.node.config.zones, "?"]))[: words.MOST_SITES]
        places = [
            self.place(dest, sites, near, at, now) for dest in state.destinations.values() if dest.endpoints
        ]
        places.sort(key=lambda place: (-place.taken, place.destination))
        each = ledger.pending_size // len(ledger.notifications) + 1 if ledger.notifications else RECORD
        return words.Figures(
            words.VERSION,
            words.BELIEVED // MS,
            sites,
            tuple(self.seen.kind(topic.get("name"), now) for topic in self.topics),
            tuple(places[:256]),
            min(state.settings.get("slots", 1 << 20), 1 << 20),
            max(
                0,
                min(state.settings.get("most_held", 1 << 20), 1 << 30)
                - len(self.node.decision_loop.unfinished),
            ),
            max(0, ledger.max_pending_size - ledger.pending_size) // each,
            near=near is not None,
        )

    def place(self, dest, sites, near, at, now):
        here = [e for e in dest.endpoints if e.state == "ready" and not e.ejected]
        order = words.picked(here, near)
        apart = len({id(e.route) for e in here}) > 1
        pace = self.pace(here[0].route, at, now) if here else words.UNKNOWN
        numbers = tuple(sites.index(site) for e in order if (site := self.site_of(e.zone)) in sites)
        return words.Place(
            dest.id,
            self.seen.load.a_second(("place", dest.id), now),
            words.UNKNOWN if apart else pace,
            max(pace, 0) if apart else 0,
            numbers,
            self.seen.told(dest.id, sites, now),
        )

    def pace(self, route, at, now):
        """What may be offered a route, in thousandths a second: the rule's, or after throttling the
        present."""
        steady = at.now - route.slowed_at > SLOWED or not route.slowed_at
        allowed = (
            RateLimit(at).max_rate(route) if known_limit(route) and steady else 0 if steady else route.rate
        )
        return int(1000 * allowed) if allowed else words.UNKNOWN

    # ---- what staff read

    def gauges(self):
        """For `STATS`, while the part is on."""
        states = [site.state for site in self.outages.sites.values()]
        return {
            "sites.lost": states.count(LOST),
            "sites.known": len(states),
            "sites.look_us": self.cost // 1000,
        }

    def calls(self):
        return {"SITES": self.lines, "FIGURES": self.told}

    def told(self):
        """The door's `FIGURES`, for tools that project otherwise: what the projection rests on, as told."""
        if not self.agent.view:
            return ["--"]
        rows = []
        for member in sorted(self.members(self.now()), key=lambda member: member.name):
            data = msgspec.msgpack.encode(member.figures).hex() if member.figures else "-"
            state = "lives" if member.lives else "dead"
            rows.append(f"{member.name} {member.site or '-'} {state} {member.age} {data}")
        return [*rows, "--"]

    def lines(self):
        """The door's `SITES`: for each site what its loss would cost, or costs."""
        if not self.agent.view:
            return ["--"]
        rows, now = [], self.now()
        for name, site in sorted(self.outages.sites.items())[:MOST_LINES]:
            made = site.outage.foretold if site.outage else self.projected.get(name)
            head = f"{name or '-'} {site.state} since={(now - site.since) / SEC:.1f}s"
            if made is None:
                rows.append(f"{head} not projected yet")
                continue
            rows.append(
                f"{head} rests_on={made.rests_on}/{made.rests_on + len(made.unknown)} "
                f"made={(now - made.made_at) / SEC:.1f}s oldest={made.oldest / SEC:.1f}s "
                f"unknown={','.join(made.unknown) or '-'}"
            )
            if made.nothing:
                rows.append(f"  unknown: {made.nothing}")
                continue
            rows += projection_lines(made)
            rows += [
                f"  seen {measure} {topic} {shown(estimate)} tested={estimate.tested}"
                for (measure, topic), estimate in sorted(self.outages.rest(name).items())
            ]
        return [*rows, "--"]


def projection_lines(made):
    shares = " ".join(f"{name}={100 * share:.1f}%" for name, share in made.shares.items())
    price = shown(made.price) if made.price else "unknown"
    rows = [
        f"  load={made.load:.2f}/s over={100 * made.over:.1f}% {shares}",
        f"  crossings={shown(made.crossings)}/s price={price}/s",
    ]
    for name, line in made.topics.items():
        rows.append(
            f"  {name} offered={line.offered:.2f}/s refused={shown(line.refused)} "
            f"late={shown(line.late)} lost={shown(line.lost)} crossings={shown(line.crossings)} "
            f"now={','.join(f'{figure:.2f}' for figure in line.now)} tested={line.lost.tested}"
        )
    rows += [f"  stranded destinations: {', '.join(map(str, made.stranded[:20]))}"] if made.stranded else []
    return rows + [f"  guessed: {guess}" for guess in made.guessed[:8]]
